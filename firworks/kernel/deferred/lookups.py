"""Lookups of deferred results: the requesting and the responding daemon's side."""

from firworks.kernel.deferred.records import DeferredFound, DeferredLookup
from firworks.kernel.deferred.state import RESULT_MISSING, RESULT_UNAVAILABLE
from firworks.kernel.ledger.claims import ResultFound
from firworks.kernel.ledger.records import Reply
from firworks.kernel.messages import Struct

LOOKUP_TIMEOUT_S = 5.0
RESPONSE_TIMEOUT_S = 1.0
QUERY_TTL_S = 5.0
# The first read may have been in flight when the lookup arrived.
MIN_READS_FOR_MISSING = 2


class _Lookup(Struct):
    """A caller's pending lookup and the daemon (str or None) it was last sent to."""

    __slots__ = ("message", "due_s", "daemon", "sent_s")


class ResultLookups:
    """Sends callers' lookups to one daemon after another until one replies.

    Args:
        writers (WriterSelector): Chooses the daemon to send to.
        stream (str): Name of the deferred stream.
    """

    def __init__(self, writers, stream):
        self._writers = writers
        self._stream = stream
        self._open = {}

    def add(self, event, now):
        """Add a `ResultRequested`."""
        message = DeferredLookup(event.lookup_id, event.request_id, event.account)
        due_s = now + LOOKUP_TIMEOUT_S
        self._open[event.lookup_id] = _Lookup(message, due_s, None, now)

    def finish(self, message):
        """Return the `ResultFound` (in a list) for a `DeferredFound`, if awaited."""
        if self._open.pop(message.lookup_id, None) is None:
            return []
        return [ResultFound(message.lookup_id, message.state, message.response)]

    def poll(self, now):
        """Return the lookups to send now, as `Reply`."""
        replies = []
        for lookup in self._open.values():
            if lookup.daemon is None or now >= lookup.sent_s + RESPONSE_TIMEOUT_S:
                replies += self._send(lookup, now)
        return replies

    def expire(self, now):
        """Complete the overdue lookups as unavailable."""
        overdue = [i for i, lookup in self._open.items() if now >= lookup.due_s]
        for lookup_id in overdue:
            del self._open[lookup_id]
        return [ResultFound(i, RESULT_UNAVAILABLE) for i in overdue]

    def _send(self, lookup, now):
        if lookup.daemon is not None:
            self._writers.avoid(lookup.daemon, self._stream, now)
        lookup.daemon = self._writers.choose(self._stream, now)
        lookup.sent_s = now
        return [] if lookup.daemon is None else [Reply(lookup.daemon, lookup.message)]


class _Query(Struct):
    """A `DeferredLookup` from `origin` and the number of `reads` of the log since."""

    __slots__ = ("origin", "lookup", "due_s", "reads")
    DEFAULTS = {"reads": 0}


class LookupResponder:
    """Replies to lookups at a daemon that follows the stream.

    A request counts as missing only after the stream was read to its head again.
    """

    def __init__(self):
        self._open = []

    def __len__(self):
        return len(self._open)

    def add(self, origin, lookup, now):
        """Add the lookup (DeferredLookup) of a daemon."""
        self._open.append(_Query(origin, lookup, now + QUERY_TTL_S))

    def pop_replies(self, stream, now):
        """Return the replies (list of Reply) known after a read of the stream."""
        replies, remaining = [], []
        for query in self._open:
            query.reads += 1
            found = self._find(query, stream)
            if found is not None:
                message = DeferredFound(query.lookup.lookup_id, *found)
                replies.append(Reply(query.origin, message))
            elif now < query.due_s:
                remaining.append(query)
        self._open = remaining
        return replies

    def _find(self, query, stream):
        if not stream.caught_up:
            return None
        lookup = query.lookup
        state, response = stream.state.find(lookup.request_id, lookup.account)
        if state == RESULT_MISSING and query.reads < MIN_READS_FOR_MISSING:
            return None
        return state, response
