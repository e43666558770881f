"""Operators' open questions to the ledger."""

from firworks.kernel.ledger.claims import CLAIM_UNAVAILABLE
from firworks.kernel.ledger.records import (
    DECISION_FREE,
    LookupCompleted,
    ResolutionRecord,
    get_record_id,
)
from firworks.kernel.messages import Struct

LOOKUP_TIMEOUT_S = 10.0


class Lookup(Struct):
    """An open question.

    Attributes:
        key (WorkKey): What it is about.
        stream (str): The key's stream.
        due_s (float): Kernel time at which it is given up.
        resolution (ResolutionRecord or None): What the operator wants recorded.
    """

    __slots__ = ("key", "stream", "due_s", "resolution")


class Lookups:
    """Answers lookups and resolutions once their stream was read to its head.

    Args:
        outbox (Outbox): Takes resolutions to the log.
    """

    def __init__(self, outbox):
        self._outbox = outbox
        self._open = {}

    def ask(self, event, stream, now):
        """Take a `LookupRequested`."""
        due_s = now + LOOKUP_TIMEOUT_S
        self._open[event.lookup_id] = Lookup(event.key, stream, due_s, None)

    def resolve(self, event, stream, now, wall_s):
        """Take a `ResolutionRequested` at a wall time."""
        record = ResolutionRecord(
            event.lookup_id, event.key, event.ran, event.response, wall_s
        )
        due_s = now + LOOKUP_TIMEOUT_S
        self._open[event.lookup_id] = Lookup(event.key, stream, due_s, record)
        self._outbox.add(record, stream)

    def answer(self, stream):
        """Return the answers that a `LedgerStream` just read gives."""
        if not stream.caught_up:
            return []
        ready = [i for i, one in self._open.items() if self._is_ready(one, stream)]
        return [self._describe(i, self._open.pop(i), stream) for i in ready]

    def expire(self, now):
        """Give up the lookups that are overdue."""
        late = [i for i, lookup in self._open.items() if now >= lookup.due_s]
        for lookup_id in late:
            resolution = self._open.pop(lookup_id).resolution
            if resolution is not None:
                self._outbox.drop(get_record_id(resolution))
        return [LookupCompleted(i, CLAIM_UNAVAILABLE) for i in late]

    def _is_ready(self, lookup, stream):
        if lookup.stream != stream.stream:
            return False
        return lookup.resolution is None or stream.state.reflects(lookup.resolution)

    def _describe(self, lookup_id, lookup, stream):
        entry = stream.state.look_up(lookup.key)
        if entry is None:
            return LookupCompleted(lookup_id, DECISION_FREE)
        state = stream.state.find_state(entry, stream.state.wall_s)
        return LookupCompleted(lookup_id, state, entry.answer)
