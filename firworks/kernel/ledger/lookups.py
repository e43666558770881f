"""Operators' pending lookups and resolutions of keys."""

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
    """A pending lookup or resolution.

    Attributes:
        key (WorkKey): The key.
        stream (str): The key's stream.
        due_s (float): Kernel time in seconds at which it times out.
        resolution (ResolutionRecord or None): The record to append, if any.
    """

    __slots__ = ("key", "stream", "due_s", "resolution")


class Lookups:
    """Completes lookups and resolutions after a read of their stream to its head.

    Args:
        outbox (Outbox): Submits resolutions to the log.
    """

    def __init__(self, outbox):
        self._outbox = outbox
        self._open = {}

    def add(self, event, stream, now):
        """Add a `LookupRequested`."""
        due_s = now + LOOKUP_TIMEOUT_S
        self._open[event.lookup_id] = Lookup(event.key, stream, due_s, None)

    def add_resolution(self, event, stream, now, wall_s):
        """Add a `ResolutionRequested`, received at wall time `wall_s`."""
        record = ResolutionRecord(
            event.lookup_id, event.key, event.ran, event.response, wall_s
        )
        due_s = now + LOOKUP_TIMEOUT_S
        self._open[event.lookup_id] = Lookup(event.key, stream, due_s, record)
        self._outbox.add(record, stream)

    def pop_completed(self, stream):
        """Return the lookups (LookupCompleted) that a stream just read completes."""
        if not stream.caught_up:
            return []
        ready = [i for i, item in self._open.items() if self._is_ready(item, stream)]
        return [self._describe(i, self._open.pop(i), stream) for i in ready]

    def expire(self, now):
        """Complete the overdue lookups as unavailable."""
        overdue = [i for i, lookup in self._open.items() if now >= lookup.due_s]
        for lookup_id in overdue:
            resolution = self._open.pop(lookup_id).resolution
            if resolution is not None:
                self._outbox.drop(get_record_id(resolution))
        return [LookupCompleted(i, CLAIM_UNAVAILABLE) for i in overdue]

    def _is_ready(self, lookup, stream):
        if lookup.stream != stream.stream:
            return False
        return lookup.resolution is None or stream.state.reflects(lookup.resolution)

    def _describe(self, lookup_id, lookup, stream):
        entry = stream.state.look_up(lookup.key)
        if entry is None:
            return LookupCompleted(lookup_id, DECISION_FREE)
        state = stream.state.find_state(entry, stream.state.wall_s)
        return LookupCompleted(lookup_id, state, entry.response)
