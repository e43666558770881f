"""Lookups of deferred results: the asking and the answering side."""

from firworks.kernel.deferred.records import DeferredFound, DeferredLookup
from firworks.kernel.deferred.state import RESULT_MISSING, RESULT_UNAVAILABLE
from firworks.kernel.ledger.claims import ResultFound
from firworks.kernel.ledger.records import Reply
from firworks.kernel.messages import Struct

LOOKUP_TIMEOUT_S = 5.0
LOOKUP_SILENCE_S = 1.0
QUESTION_TTL_S = 5.0
READS_BEFORE_MISSING = 2


class _Lookup(Struct):
    """A caller's open question and the daemon (str or None) asked for it."""

    __slots__ = ("message", "due_s", "asked", "asked_s")


class ResultLookups:
    """The asking side: asks one daemon after another until one can tell.

    Args:
        choice (WriterChoice): Chooses the daemon to ask.
        stream (str): The deferred stream.
    """

    def __init__(self, choice, stream):
        self._choice = choice
        self._stream = stream
        self._open = {}

    def add(self, event, now):
        """Take a `ResultRequested`."""
        message = DeferredLookup(event.lookup_id, event.request_id, event.account)
        due_s = now + LOOKUP_TIMEOUT_S
        self._open[event.lookup_id] = _Lookup(message, due_s, None, now)

    def finish(self, message):
        """Take a `DeferredFound` and return the `ResultFound`, if awaited."""
        if self._open.pop(message.lookup_id, None) is None:
            return []
        return [ResultFound(message.lookup_id, message.state, message.answer)]

    def poll(self, now):
        """Return questions to send, as `Reply`."""
        replies = []
        for lookup in self._open.values():
            if lookup.asked is None or now >= lookup.asked_s + LOOKUP_SILENCE_S:
                replies += self._ask(lookup, now)
        return replies

    def expire(self, now):
        """Give up the overdue lookups."""
        late = [i for i, lookup in self._open.items() if now >= lookup.due_s]
        for lookup_id in late:
            del self._open[lookup_id]
        return [ResultFound(i, RESULT_UNAVAILABLE) for i in late]

    def _ask(self, lookup, now):
        if lookup.asked is not None:
            self._choice.avoid(lookup.asked, self._stream, now)
        lookup.asked = self._choice.choose(self._stream, now)
        lookup.asked_s = now
        return [] if lookup.asked is None else [Reply(lookup.asked, lookup.message)]


class _Question(Struct):
    """A `DeferredLookup` of `origin` and how often the head was read since."""

    __slots__ = ("origin", "lookup", "due_s", "reads")
    DEFAULTS = {"reads": 0}


class LookupResponder:
    """The answering side, at a daemon that follows the stream.

    A request counts as missing only after the stream was read to its head again.
    """

    def __init__(self):
        self._open = []

    def __len__(self):
        return len(self._open)

    def add(self, origin, lookup, now):
        """Take a daemon's question."""
        self._open.append(_Question(origin, lookup, now + QUESTION_TTL_S))

    def answer(self, stream, now):
        """Return the answers that a stream just read gives, as `Reply`."""
        replies, remaining = [], []
        for question in self._open:
            question.reads += 1
            found = self._find(question, stream)
            if found is not None:
                message = DeferredFound(question.lookup.lookup_id, *found)
                replies.append(Reply(question.origin, message))
            elif now < question.due_s:
                remaining.append(question)
        self._open = remaining
        return replies

    def _find(self, question, stream):
        if not stream.caught_up:
            return None
        lookup = question.lookup
        state, answer = stream.state.find(lookup.request_id, lookup.account)
        if state == RESULT_MISSING and question.reads < READS_BEFORE_MISSING:
            return None
        return state, answer
