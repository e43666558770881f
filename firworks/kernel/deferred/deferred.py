"""Deferred requests: accepted once logged, run somewhere, read anywhere."""

from functools import singledispatchmethod

from firworks.kernel.appends import compute_interval_s
from firworks.kernel.deferred.lookups import ResultLookups, LookupResponder
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
from firworks.kernel.deferred.assignments import Assignments
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
from firworks.kernel.ledger.writers import WriterSelector
from firworks.kernel.ledger.records import (
    LedgerDecision,
    LedgerHeard,
    LedgerStalled,
    LedgerStored,
    LedgerSubmit,
    get_record_id,
)
from firworks.kernel.messages import (
    LogResponse,
    LogRead,
    PeerDisconnected,
    PeerReceived,
    Struct,
    Tick,
)
from firworks.kernel.record_server import RecordServer

STREAM = "deferred-0"
BEAT_INTERVAL_S = 2.0
IDLE_S = 60.0
WARM_AFTER_S = 2.0
STAND_IN_AFTER_S = 20.0  # after which a daemon that does not lead hands out too
MEMORY_LIMIT_BYTES = 16_777_216
CARRY_SHARE = 0.5  # of the retention, after which an open request is appended again


class _Waiting(Struct):
    """A request whose acceptance is awaited, and until when."""

    __slots__ = ("record", "deadline_s")


class DeferredQueue(RecordServer):
    """Keeps deferred requests in the log and sees that each gets an answer.

    The stream's usual writer follows the stream, hands open requests to live
    daemons and answers lookups; another daemon takes its place when it is silent.

    Args:
        settings (Settings): Uses name, ledger_streams, append_budget_per_s,
            dedupe_window_s and log_retention_s.
    """

    def __init__(self, settings):
        self._name = settings.name
        self._keep_s = settings.dedupe_window_s
        self._carry_s = settings.log_retention_s * CARRY_SHARE
        self._interval_s = compute_interval_s(
            settings.append_budget_per_s,
            settings.ledger_streams + 1,
        )
        self._choice = WriterSelector(settings.name)
        self._outbox = Outbox(self._choice)
        self._assignments = Assignments()
        self._stream = None
        self._waiting = {}
        self._running = {}
        self._lookups = ResultLookups(self._choice, STREAM)
        self._questions = LookupResponder()
        self._draining = False
        self._wall_s = None
        self._ticked_s = 0.0
        self._started_s = None
        self._beat_s = 0.0

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
        self._follow_or_leave(now)
        results = self._refuse_late(now) + self._lookups.expire(now)
        results += self._deliver(self._lookups.poll(now), now)
        return results + self._hand_out(now) + self._beat(now)

    @_take.register
    def _(self, event: DeferRequested, now):
        if self._wall_s is None:
            return [DeferRefused(event.request_id)]
        carried_s = self._wall_s + now - self._ticked_s
        record = AcceptRecord(
            event.request_id, event.account, event.pipeline, event.body, carried_s
        )
        if event.request_id not in self._waiting:
            waiting = _Waiting(record, event.deadline_s)
            self._waiting[event.request_id] = waiting
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
            replies = self._questions.answer(self._stream, now)
            results += self._deliver(replies, now)
            results += self._hand_out(now)
            if len(self._questions):
                self._stream.refresh()
        return results

    @singledispatchmethod
    def _receive_message(self, message, peer, now):
        """Take a peer's message; `peer` is this daemon's name for its own."""
        return []

    @_receive_message.register
    def _(self, message: LedgerSubmit, peer, now):
        if message.stream != STREAM:
            return []
        records = [r for r in message.records if isinstance(r, DEFERRED_RECORDS)]
        names = tuple(get_record_id(record) for record in records)
        results = self._send(peer, LedgerHeard(names), now)
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
        waiting = self._waiting.pop(submission.record.request_id, None)
        return [] if waiting is None else [DeferAccepted(waiting.record.request_id)]

    @_receive_message.register
    def _(self, message: LedgerDecision, peer, now):
        waiting = self._waiting.get(message.claim_id)
        return [] if waiting is None else self._refuse(waiting)

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
        self._questions.add(peer, message, now)
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
        self._stream.used_s = now
        return self._stream

    def _make_state(self):
        return DeferredState(self._keep_s)

    def _is_full(self):
        return self._stream.state.size_bytes >= MEMORY_LIMIT_BYTES

    def _leads(self):
        return self._choice.get_writer(STREAM) == self._name

    def _follow_or_leave(self, now):
        if self._leads() and now >= self._started_s + WARM_AFTER_S:
            self._open_stream(now)
        stream = self._stream
        if stream is not None and stream.idle and now > stream.used_s + IDLE_S:
            self._stream = None

    def _refuse_late(self, now):
        late = [w for w in self._waiting.values() if now >= w.deadline_s]
        return [signal for waiting in late for signal in self._refuse(waiting)]

    def _refuse(self, waiting):
        record = waiting.record
        del self._waiting[record.request_id]
        submission = self._outbox.drop(get_record_id(record))
        may_run = submission is None or submission.sends > 0
        return [DeferRefused(record.request_id, may_run)]

    def _hand_out(self, now):
        """Hand open requests to live daemons."""
        stream = self._stream
        if stream is None or not stream.caught_up or self._wall_s is None:
            return []
        wall_s = self._wall_s + now - self._ticked_s
        requests = stream.state.open
        if not self._leads():
            newest_s = wall_s - STAND_IN_AFTER_S
            requests = {i: r for i, r in requests.items() if r.carried_s < newest_s}
        members = self._choice.members
        if self._draining and len(members) > 1:
            members = [name for name in members if name != self._name]
        results = []
        for action in self._assignments.poll(requests, members, now):
            results += self._send(action.peer, action.message, now)
        self._carry(requests, wall_s)
        return results

    def _carry(self, requests, wall_s):
        """Append open requests again before the log drops them."""
        for record in requests.values():
            if wall_s - record.carried_s >= self._carry_s:
                self._outbox.add(record.replace(carried_s=wall_s), STREAM)

    def _beat(self, now):
        if now < self._beat_s + BEAT_INTERVAL_S:
            return []
        self._beat_s = now
        runs = {}
        for request_id, (assigner, _) in self._running.items():
            runs.setdefault(assigner, []).append(request_id)
        results = []
        for assigner, request_ids in runs.items():
            results += self._send(assigner, DeferredBeat(tuple(request_ids)), now)
        return results
