"""Serves one ledger stream: appends records, reads it, and answers who asked."""

from functools import singledispatchmethod

from firworks.kernel.appends import Appender
from firworks.kernel.ledger.claims import CLAIM_FULL, CLAIM_IN_PROGRESS
from firworks.kernel.ledger.records import (
    ClaimRecord,
    LedgerDecision,
    LedgerStalled,
    LedgerStored,
    Reply,
    ResolutionRecord,
    get_record_id,
)
from firworks.kernel.log_reader import StreamReader
from firworks.kernel.messages import (
    AppendFailed,
    LogRead,
    LogReadFailed,
    RecordsAppended,
    Struct,
)

POLL_INTERVAL_S = 0.5
IDLE_POLL_INTERVAL_S = 2.0
STALL_S = 0.5
WAIT_TTL_S = 20.0
SWEEP_INTERVAL_S = 1.0
OWNER = "ledger"


class _Waiter(Struct):
    """A submitted record and who waits for its fate.

    Attributes:
        record (Record): The record.
        origins (dict): Names of who asked, as keys; "" is this daemon.
        renewed_s (float): When it was last submitted.
        queued (bool): It is queued or in flight.
        parked (bool): Its append failed; it waits to be submitted again.
        landed (int): Offset of its last confirmed append, or -1.
        told (str): State last reported.
    """

    __slots__ = (
        "record",
        "origins",
        "renewed_s",
        "queued",
        "parked",
        "landed",
        "told",
    )
    DEFAULTS = {"queued": False, "parked": False, "landed": -1, "told": ""}


class LedgerStream:
    """The serving side of one stream in one daemon.

    Nothing is retried here: whoever submitted a record submits it again, here or
    elsewhere, until it learns the record's fate.

    Args:
        stream (str): Name of the stream.
        make_state (callable): Returns an empty `LedgerState`.
        interval_s (float): Least time between two appends.
        is_full (callable): Whether the daemon's ledger memory is used up.
    """

    def __init__(self, stream, make_state, interval_s, is_full):
        self.stream = stream
        self.state = make_state()
        self.used_s = 0.0
        self.gaps = 0
        self._make_state = make_state
        self._is_full = is_full
        self._appender = Appender(OWNER, stream, interval_s)
        self._reader = StreamReader(stream, POLL_INTERVAL_S)
        self._waiters = {}
        self._stalled_until_s = 0.0
        self._sweep_s = 0.0

    @property
    def idle(self):
        """Whether nothing waits here."""
        return not self._waiters and not len(self._appender)

    @property
    def caught_up(self):
        """Whether the stream has been read to its head at least once."""
        return self._reader.caught_up

    def refresh(self):
        """Read again as soon as possible."""
        self._reader.request_poll()

    def submit(self, record, origin, now):
        """Take a record to append.

        Args:
            record (Record): A ledger record.
            origin (str): The peer that asks; "" is this daemon.
            now (float): Kernel time.

        Returns:
            list of Reply: What can be said at once.
        """
        self.used_s = now
        if now < self._stalled_until_s:
            return [Reply(origin, LedgerStalled(self.stream))]
        name = get_record_id(record)
        waiter = self._waiters.get(name)
        if waiter is None:
            waiter = self._waiters[name] = _Waiter(record, {}, now)
            self._reader.request_poll()
        waiter.origins[origin] = True
        waiter.renewed_s = now
        waiter.parked = False
        waiter.told = ""
        return self._advance(name, waiter)

    def poll(self, now):
        """Return the log actions to take now."""
        if now >= self._sweep_s:
            self._sweep_s = now + SWEEP_INTERVAL_S
            self._drop_stale(now)
        idle_s = IDLE_POLL_INTERVAL_S
        self._reader.poll_interval_s = POLL_INTERVAL_S if self._waiters else idle_s
        return self._appender.poll(now) + self._reader.poll(now)

    @singledispatchmethod
    def take(self, event, now):
        """Take a log event on this stream.

        Returns:
            list of Reply: Fates that are known now.
        """
        return []

    @take.register
    def _(self, event: RecordsAppended, now):
        for record in self._finish(event):
            waiter = self._waiters.get(get_record_id(record))
            if waiter is not None:
                waiter.landed = event.offset
        self._reader.request_poll()
        return []

    @take.register
    def _(self, event: AppendFailed, now):
        records = self._finish(event)
        if not records:
            return []
        for record in self._appender.clear():
            self._mark_unqueued(record)
        return self._stall(now)

    @take.register
    def _(self, event: LogReadFailed, now):
        self._reader.fail(event, now)
        return self._stall(now)

    @take.register
    def _(self, event: LogRead, now):
        entries = self._reader.take(event)
        if self._reader.restarted:
            self.gaps += 1
            self.state = self._make_state()
        for entry in entries:
            self.state.apply_entry(entry)
        replies = []
        for name, waiter in list(self._waiters.items()):
            replies += self._advance(name, waiter)
        return replies

    def _finish(self, event):
        records = self._appender.finish(event)
        for record in records:
            self._mark_unqueued(record)
        return records

    def _mark_unqueued(self, record):
        waiter = self._waiters.get(get_record_id(record))
        if waiter is not None:
            waiter.queued = False

    def _stall(self, now):
        """Tell every waiting daemon that the log is out of reach from here."""
        self._stalled_until_s = now + STALL_S
        for waiter in self._waiters.values():
            waiter.parked = not waiter.queued
        origins = {o: True for w in self._waiters.values() for o in w.origins}
        return [Reply(origin, LedgerStalled(self.stream)) for origin in origins]

    def _advance(self, name, waiter):
        """Do what a waiting record needs next; return what can be said."""
        if isinstance(waiter.record, ClaimRecord):
            return self._advance_claim(name, waiter)
        if isinstance(waiter.record, ResolutionRecord) and not self.caught_up:
            return []
        was_read = 0 <= waiter.landed < self._position()
        if was_read or self.state.reflects(waiter.record):
            return self._settle(name)
        self._queue(waiter)
        return []

    def _advance_claim(self, name, waiter):
        if not self._reader.caught_up:
            return []
        decision = self.state.find_decision(waiter.record)
        if decision is None:
            decision = self.state.predict_decision(waiter.record)
        if decision is None and not waiter.queued and self._is_full():
            decision = LedgerDecision(waiter.record.claim_id, CLAIM_FULL)
        if decision is None:
            self._queue(waiter)
            return []
        if decision.state == CLAIM_IN_PROGRESS and waiter.told == decision.state:
            return []
        waiter.told = decision.state
        if decision.state != CLAIM_IN_PROGRESS:
            del self._waiters[name]
        return [Reply(origin, decision) for origin in waiter.origins]

    def _queue(self, waiter):
        if waiter.queued or waiter.parked or waiter.landed >= self._position():
            return
        waiter.queued = True
        self._appender.add(waiter.record)

    def _position(self):
        offset = self._reader.next_offset
        return 0 if offset is None else offset

    def _settle(self, name):
        waiter = self._waiters.pop(name, None)
        if waiter is None:
            return []
        return [Reply(origin, LedgerStored(name)) for origin in waiter.origins]

    def _drop_stale(self, now):
        for name, waiter in list(self._waiters.items()):
            if not waiter.queued and now > waiter.renewed_s + WAIT_TTL_S:
                del self._waiters[name]
