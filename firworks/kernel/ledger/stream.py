"""Serves one ledger stream: appends and reads records, replies to submitters."""

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
STALL_BACKOFF_S = 0.5
WAITER_TTL_S = 20.0
SWEEP_INTERVAL_S = 1.0
OWNER = "ledger"


class _Waiter(Struct):
    """A submitted record and the daemons that wait for its result.

    Attributes:
        record (Record): The record.
        origins (dict): Names of the daemons that submitted it, as keys.
        submitted_s (float): Kernel time in seconds of the last submission.
        queued (bool): Whether its append is queued or in flight.
        parked (bool): Whether its append failed; it waits to be submitted again.
        appended_offset (int): Offset of its last confirmed append, or -1.
        reported (str): State last reported.
    """

    __slots__ = (
        "record",
        "origins",
        "submitted_s",
        "queued",
        "parked",
        "appended_offset",
        "reported",
    )
    DEFAULTS = {"queued": False, "parked": False, "appended_offset": -1, "reported": ""}


class LedgerStream:
    """Serves one stream in one daemon.

    Nothing is retried here: the submitter of a record submits it again, to this
    daemon or another, until it receives the result.

    Args:
        stream (str): Name of the stream.
        make_state (callable): Returns an empty `LedgerState`.
        interval_s (float): Minimum time between two appends, in seconds.
        is_full (callable): Returns whether the memory limit is reached.

    Attributes:
        state (LedgerState): Computed from the entries read so far.
        last_used_s (float): Kernel time in seconds of the last use.
        gaps (int): How often reading started again because entries were missing.
    """

    def __init__(self, stream, make_state, interval_s, is_full):
        self.stream = stream
        self.state = make_state()
        self.last_used_s = 0.0
        self.gaps = 0
        self._make_state = make_state
        self._is_full = is_full
        self._appender = Appender(OWNER, stream, interval_s)
        self._reader = StreamReader(stream, POLL_INTERVAL_S)
        self._waiters = {}
        self._stalled_until_s = 0.0
        self._next_sweep_s = 0.0

    @property
    def idle(self):
        """Whether no record waits for its result or to be appended."""
        return not self._waiters and not len(self._appender)

    @property
    def caught_up(self):
        """Whether the stream has been read to its head at least once."""
        return self._reader.caught_up

    def refresh(self):
        """Read again as soon as possible."""
        self._reader.request_poll()

    def submit(self, record, origin, now):
        """Accept a record for appending.

        Args:
            record (Record): A ledger record.
            origin (str): The daemon that submits it.
            now (float): Kernel time in seconds.

        Returns:
            list of Reply: Results known at once.
        """
        self.last_used_s = now
        if now < self._stalled_until_s:
            return [Reply(origin, LedgerStalled(self.stream))]
        record_id = get_record_id(record)
        waiter = self._waiters.get(record_id)
        if waiter is None:
            waiter = self._waiters[record_id] = _Waiter(record, {}, now)
            self._reader.request_poll()
        waiter.origins[origin] = True
        waiter.submitted_s = now
        waiter.parked = False
        waiter.reported = ""
        return self._advance(record_id, waiter)

    def poll(self, now):
        """Return the log actions due now."""
        if now >= self._next_sweep_s:
            self._next_sweep_s = now + SWEEP_INTERVAL_S
            self._drop_stale(now)
        idle_s = IDLE_POLL_INTERVAL_S
        self._reader.poll_interval_s = POLL_INTERVAL_S if self._waiters else idle_s
        return self._appender.poll(now) + self._reader.poll(now)

    @singledispatchmethod
    def handle_event(self, event, now):
        """Handle a log event of this stream.

        Returns:
            list of Reply: Results known now.
        """
        return []

    @handle_event.register
    def _(self, event: RecordsAppended, now):
        for record in self._finish(event):
            waiter = self._waiters.get(get_record_id(record))
            if waiter is not None:
                waiter.appended_offset = event.offset
        self._reader.request_poll()
        return []

    @handle_event.register
    def _(self, event: AppendFailed, now):
        records = self._finish(event)
        if not records:
            return []
        for record in self._appender.clear():
            self._mark_unqueued(record)
        return self._stall(now)

    @handle_event.register
    def _(self, event: LogReadFailed, now):
        self._reader.fail(event, now)
        return self._stall(now)

    @handle_event.register
    def _(self, event: LogRead, now):
        entries = self._reader.take(event)
        if self._reader.restarted:
            self.gaps += 1
            self.state = self._make_state()
        for entry in entries:
            self.state.apply_entry(entry)
        replies = []
        for record_id, waiter in list(self._waiters.items()):
            replies += self._advance(record_id, waiter)
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
        """Tell every waiting daemon that this one cannot reach the log."""
        self._stalled_until_s = now + STALL_BACKOFF_S
        for waiter in self._waiters.values():
            waiter.parked = not waiter.queued
        origins = {o: True for w in self._waiters.values() for o in w.origins}
        return [Reply(origin, LedgerStalled(self.stream)) for origin in origins]

    def _advance(self, record_id, waiter):
        """Queue a record if it must be appended; return the replies known now."""
        if isinstance(waiter.record, ClaimRecord):
            return self._advance_claim(record_id, waiter)
        if isinstance(waiter.record, ResolutionRecord) and not self.caught_up:
            return []
        was_read = 0 <= waiter.appended_offset < self._get_position()
        if was_read or self.state.reflects(waiter.record):
            return self._report_stored(record_id)
        self._queue(waiter)
        return []

    def _advance_claim(self, record_id, waiter):
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
        if decision.state == CLAIM_IN_PROGRESS and waiter.reported == decision.state:
            return []
        waiter.reported = decision.state
        if decision.state != CLAIM_IN_PROGRESS:
            del self._waiters[record_id]
        return [Reply(origin, decision) for origin in waiter.origins]

    def _queue(self, waiter):
        if (
            waiter.queued
            or waiter.parked
            or waiter.appended_offset >= self._get_position()
        ):
            return
        waiter.queued = True
        self._appender.add(waiter.record)

    def _get_position(self):
        offset = self._reader.next_offset
        return 0 if offset is None else offset

    def _report_stored(self, record_id):
        waiter = self._waiters.pop(record_id, None)
        if waiter is None:
            return []
        return [Reply(origin, LedgerStored(record_id)) for origin in waiter.origins]

    def _drop_stale(self, now):
        for record_id, waiter in list(self._waiters.items()):
            if not waiter.queued and now > waiter.submitted_s + WAITER_TTL_S:
                del self._waiters[record_id]
