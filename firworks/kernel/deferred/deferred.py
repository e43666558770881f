"""The queue of deferred requests: stored in the log, run by any live daemon."""

from functools import singledispatchmethod

from firworks.kernel.appends import compute_interval_s
from firworks.kernel.deferred.assignments import Assignments
from firworks.kernel.deferred.lookups import LookupResponder, ResultLookups
from firworks.kernel.deferred.records import (
    DEFERRED_RECORDS,
    AcceptRecord,
    DeferredBeat,
    DeferredFound,
    DeferredLookup,
    DeferredRun,
    DeferredStopped,
    DoneRecord,
)
from firworks.kernel.deferred.state import DeferredState
from firworks.kernel.deferred.stream import DeferredStream
from firworks.kernel.fleet.events import DrainStarted, MemberChanged
from firworks.kernel.ledger.claims import (
    DeferAccepted,
    DeferredDone,
    DeferredReady,
    DeferRefused,
    DeferRequested,
    ResultRequested,
)
from firworks.kernel.ledger.holder import Outbox
from firworks.kernel.ledger.records import (
    LedgerDecision,
    LedgerHeard,
    LedgerStalled,
    LedgerStored,
    LedgerSubmit,
    get_record_id,
)
from firworks.kernel.ledger.writers import WriterSelector
from firworks.kernel.messages import (
    LogRead,
    LogResponse,
    PeerDisconnected,
    PeerReceived,
    Struct,
    Tick,
)
from firworks.kernel.record_server import RecordServer

STREAM = "deferred-0"
HEARTBEAT_INTERVAL_S = 2.0
IDLE_TIMEOUT_S = 60.0
FOLLOW_DELAY_S = 2.0
STANDBY_DELAY_S = 20.0  # age of a request from which any follower may assign it
MEMORY_LIMIT_BYTES = 16_777_216
REAPPEND_SHARE = 0.5  # age at which open requests are re-appended, in log retentions


class _PendingAccept(Struct):
    """A request that waits for acceptance until `deadline_s` (kernel time)."""

    __slots__ = ("record", "deadline_s")


class DeferredQueue(RecordServer):
    """Stores deferred requests in the log and has each run until it has a result.

    The stream's usual writer follows the stream, assigns open requests to live
    daemons and replies to lookups. Other daemons take over when it is unresponsive.

    Args:
        settings (Settings): Uses name, ledger_streams, append_budget_per_s,
            dedupe_window_s and log_retention_s.
    """

    def __init__(self, settings):
        self._name = settings.name
        self._result_ttl_s = settings.dedupe_window_s
        self._reappend_age_s = settings.log_retention_s * REAPPEND_SHARE
        self._interval_s = compute_interval_s(
            settings.append_budget_per_s,
            settings.ledger_streams + 1,
        )
        self._writers = WriterSelector(settings.name)
        self._outbox = Outbox(self._writers)
        self._assignments = Assignments()
        self._stream = None
        self._pending = {}
        self._running = {}
        self._lookups = ResultLookups(self._writers, STREAM)
        self._responder = LookupResponder()
        self._draining = False
        self._wall_s = None
        self._ticked_s = 0.0
        self._started_s = None
        self._last_heartbeat_s = 0.0

    @singledispatchmethod
    def _take(self, event, now):
        return []

    @_take.register
    def _(self, event: Tick, now):
        self._wall_s = event.wall_s
        self._ticked_s = now
        if self._started_s is None:
            self._started_s = now
        self._outbox.wake()
        self._open_or_close_stream(now)
        results = self._refuse_overdue(now) + self._lookups.expire(now)
        results += self._deliver(self._lookups.poll(now), now)
        return results + self._dispatch_open(now) + self._send_heartbeats(now)

    @_take.register
    def _(self, event: DeferRequested, now):
        if self._wall_s is None:
            return [DeferRefused(event.request_id)]
        copied_s = self._wall_s + now - self._ticked_s
        record = AcceptRecord(
            event.request_id, event.account, event.pipeline, event.body, copied_s
        )
        if event.request_id not in self._pending:
            pending = _PendingAccept(record, event.deadline_s)
            self._pending[event.request_id] = pending
            self._outbox.add(record, STREAM)
        return []

    @_take.register
    def _(self, event: DeferredDone, now):
        run = self._running.pop(event.request_id, None)
        if run is None:
            return []
        assigner, account = run
        if event.response:
            record = DoneRecord(event.request_id, account, event.response)
            self._outbox.add(record, STREAM)
            return []
        return self._send(assigner, DeferredStopped(event.request_id), now)

    @_take.register
    def _(self, event: ResultRequested, now):
        self._lookups.add(event, now)
        return self._deliver(self._lookups.poll(now), now)

    @_take.register
    def _(self, event: DrainStarted, now):
        self._draining = True
        return []

    @_take.register
    def _(self, event: MemberChanged | PeerDisconnected, now):
        self._outbox.apply_event(event, now)
        return []

    @_take.register
    def _(self, event: PeerReceived, now):
        return self._receive_message(event.message, event.peer, now)

    @_take.register
    def _(self, event: LogResponse, now):
        if self._stream is None or event.stream != STREAM:
            return []
        results = self._deliver(self._stream.handle_event(event, now), now)
        if isinstance(event, LogRead):
            replies = self._responder.pop_replies(self._stream, now)
            results += self._deliver(replies, now)
            results += self._dispatch_open(now)
            if len(self._responder):
                self._stream.refresh()
        return results

    @singledispatchmethod
    def _receive_message(self, message, peer, now):
        """Handle a message from `peer` (str), which may be this daemon itself."""
        return []

    @_receive_message.register
    def _(self, message: LedgerSubmit, peer, now):
        if message.stream != STREAM:
            return []
        records = [r for r in message.records if isinstance(r, DEFERRED_RECORDS)]
        record_ids = tuple(get_record_id(record) for record in records)
        results = self._send(peer, LedgerHeard(record_ids), now)
        stream = self._open_stream(now)
        for record in records:
            results += self._deliver(stream.submit(record, peer, now), now)
        return results

    @_receive_message.register
    def _(self, message: LedgerHeard, peer, now):
        self._outbox.mark_acknowledged(peer, message.ids)
        return []

    @_receive_message.register
    def _(self, message: LedgerStalled, peer, now):
        if message.stream == STREAM:
            self._outbox.mark_stalled(peer, STREAM, now)
        return []

    @_receive_message.register
    def _(self, message: LedgerStored, peer, now):
        submission = self._outbox.drop(message.id)
        if submission is None or not isinstance(submission.record, AcceptRecord):
            return []
        pending = self._pending.pop(submission.record.request_id, None)
        return [] if pending is None else [DeferAccepted(pending.record.request_id)]

    @_receive_message.register
    def _(self, message: LedgerDecision, peer, now):
        pending = self._pending.get(message.claim_id)
        return [] if pending is None else self._refuse(pending)

    @_receive_message.register
    def _(self, message: DeferredRun, peer, now):
        if self._draining:
            return self._send(peer, DeferredStopped(message.request_id), now)
        known = message.request_id in self._running
        self._running[message.request_id] = (peer, message.account)
        return [] if known else [DeferredReady(*message.values())]

    @_receive_message.register
    def _(self, message: DeferredBeat, peer, now):
        self._assignments.record_heartbeat(peer, message.request_ids, now)
        return []

    @_receive_message.register
    def _(self, message: DeferredStopped, peer, now):
        self._assignments.record_stopped(peer, message.request_id, now)
        return []

    @_receive_message.register
    def _(self, message: DeferredLookup, peer, now):
        self._open_stream(now).refresh()
        self._responder.add(peer, message, now)
        return []

    @_receive_message.register
    def _(self, message: DeferredFound, peer, now):
        return self._lookups.finish(message)

    def _list_streams(self):
        return () if self._stream is None else (self._stream,)

    def _open_stream(self, now):
        if self._stream is None:
            self._stream = DeferredStream(
                STREAM, self._make_state, self._interval_s, self._is_full
            )
        self._stream.last_used_s = now
        return self._stream

    def _make_state(self):
        return DeferredState(self._result_ttl_s)

    def _is_full(self):
        return self._stream.state.size_bytes >= MEMORY_LIMIT_BYTES

    def _is_usual_writer(self):
        return self._writers.get_writer(STREAM) == self._name

    def _open_or_close_stream(self, now):
        if self._is_usual_writer() and now >= self._started_s + FOLLOW_DELAY_S:
            self._open_stream(now)
        stream = self._stream
        if (
            stream is not None
            and stream.idle
            and now > stream.last_used_s + IDLE_TIMEOUT_S
        ):
            self._stream = None

    def _refuse_overdue(self, now):
        overdue = [p for p in self._pending.values() if now >= p.deadline_s]
        return [signal for pending in overdue for signal in self._refuse(pending)]

    def _refuse(self, pending):
        record = pending.record
        del self._pending[record.request_id]
        submission = self._outbox.drop(get_record_id(record))
        may_run = submission is None or submission.sends > 0
        return [DeferRefused(record.request_id, may_run)]

    def _dispatch_open(self, now):
        """Assign open requests to live daemons, and re-append old ones."""
        stream = self._stream
        if stream is None or not stream.caught_up or self._wall_s is None:
            return []
        wall_s = self._wall_s + now - self._ticked_s
        requests = stream.state.open
        if not self._is_usual_writer():
            newest_s = wall_s - STANDBY_DELAY_S
            requests = {i: r for i, r in requests.items() if r.copied_s < newest_s}
        members = self._writers.members
        if self._draining and len(members) > 1:
            members = [name for name in members if name != self._name]
        results = []
        for action in self._assignments.poll(requests, members, now):
            results += self._send(action.peer, action.message, now)
        self._reappend_old(requests, wall_s)
        return results

    def _reappend_old(self, requests, wall_s):
        """Append old open requests again, before the log trims their entries."""
        for record in requests.values():
            if wall_s - record.copied_s >= self._reappend_age_s:
                self._outbox.add(record.replace(copied_s=wall_s), STREAM)

    def _send_heartbeats(self, now):
        if now < self._last_heartbeat_s + HEARTBEAT_INTERVAL_S:
            return []
        self._last_heartbeat_s = now
        runs = {}
        for request_id, (assigner, _) in self._running.items():
            runs.setdefault(assigner, []).append(request_id)
        results = []
        for assigner, request_ids in runs.items():
            results += self._send(assigner, DeferredBeat(tuple(request_ids)), now)
        return results
