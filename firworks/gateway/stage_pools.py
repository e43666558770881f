"""Runs the calls of a stage pool's scheduler."""

import asyncio
from functools import singledispatchmethod

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.gateway.exchanges import Exchange
from firworks.gateway.timers import RestartableTimer
from firworks.kernel.forwarding.outcomes import BROKEN, NOT_RUN, AttemptError
from firworks.kernel.pools.results import FreeResults, InputsRead, JobDone, JobRefused
from firworks.kernel.pools.stages import StageScheduler
from firworks.kernel.pools.workers import StageCall
from firworks.platform.headers import build_call_head
from firworks.platform.stages import (
    FREE_PATH,
    RUN_PATH,
    decode_run_response,
    encode_free_request,
    encode_run_request,
    get_handle_address,
)

# Longest time that a target may take to free results.
FREE_TIMEOUT_S = 1.0
# Results that are given up within this time are named in one call.
FREE_DELAY_S = 0.05


class StagePoolRunner:
    """Carries out what a pool's scheduler decides.

    Args:
        service (Service): The pool.
        connections (TargetConnections): Where connections come from.
        clock (callable): Returns monotonic seconds.
        deliver (callable): ``deliver(result)`` takes each `JobDone`, `JobRefused` and
            `InputsRead`.
        metrics (GatewayMetrics): Counts the calls.
        crashes (CrashDesk): Finds out which requests end targets.
        availability (Standings): Tells to which targets work may be sent.
    """

    def __init__(
        self, service, connections, clock, deliver, metrics, crashes, availability
    ):
        self.service = service
        self.scheduler = StageScheduler(service.stage_pool)
        self._connections = connections
        self._clock = clock
        self._deliver = deliver
        self._metrics = metrics
        self._crashes = crashes
        self._availability = availability
        self._tasks = set()
        self._wake_up = RestartableTimer(clock, self._wake)
        self._to_free = {}

    def set_targets(self, targets):
        """Take in the usable targets."""
        self._carry_out(self.scheduler.set_targets(targets, self._clock()))

    def submit(self, job):
        """Take in a `PieceJob`."""
        self._carry_out(self.scheduler.submit(job, self._clock()))

    def drop(self, job_id):
        """Drop a job, or free its results when it is finished."""
        self._carry_out(self.scheduler.cancel(job_id, self._clock()))

    def adopt(self, job, handles, read):
        """Take in the results of a job that another scheduler has finished."""
        addresses = {handle: get_handle_address(handle) for handle in handles}
        now = self._clock()
        self._carry_out(self.scheduler.adopt(job, addresses, read, now))

    def mark_read(self, job_id):
        """Take in that a job's results may be given up when room is needed."""
        self._carry_out(self.scheduler.mark_read(job_id, self._clock()))

    def close(self):
        """Stop all calls."""
        for task in self._tasks:
            task.cancel()
        self._wake_up.cancel()

    def _carry_out(self, actions):
        for action in actions:
            self._do(action)
        self._wake_up.set(self.scheduler.next_due_s(self._clock()))

    def _wake(self):
        self._carry_out(self.scheduler.plan(self._clock()))

    @singledispatchmethod
    def _do(self, action):
        raise TypeError(f"not a pool action: {action!r}")

    @_do.register
    def _(self, action: StageCall):
        self._spawn(self._call(action))

    @_do.register(InputsRead)
    @_do.register(JobDone)
    @_do.register(JobRefused)
    def _(self, action):
        self._deliver(action)

    @_do.register
    def _(self, action: FreeResults):
        key = action.target.incarnation
        waiting = self._to_free.setdefault(key, [])
        if not waiting:
            loop = asyncio.get_running_loop()
            loop.call_later(FREE_DELAY_S, self._start_free, key)
        waiting.append(action)

    def _start_free(self, key):
        waiting = self._to_free.pop(key, ())
        if waiting:
            self._spawn(self._free(waiting))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, call):
        now = self._clock()
        try:
            async with asyncio.timeout(call.overdue_s - now):
                results = await self._exchange(call)
        except (AttemptError, CodecError, TimeoutError) as error:
            sent = not isinstance(error, AttemptError) or error.sent
            log_event(
                LogEvent.STAGE_CALL_FAILED,
                target=call.target.target_id,
                jobs=list_requests(call),
                pieces=len(call.pieces),
                sent=sent,
                error=repr(error),
                took_s=round(self._clock() - call.started_s, 3),
            )
            self._count(call, "failed")
            if sent:
                self._look_at(call, silent=isinstance(error, TimeoutError))
            suspended = self._crashes.is_refused
            actions = self.scheduler.fail_call(
                call.call_id, self._clock(), suspended
            )
        else:
            now = self._clock()
            self._count(call, "full" if results is None else "answered")
            if results is None:
                actions = self.scheduler.reject_call(call.call_id, now)
            else:
                self._log_answer(call, results, now)
                actions = self.scheduler.complete_call(call.call_id, results, now)
        self._carry_out(actions)

    def _look_at(self, call, silent):
        """Find out whether a target has ended under a call."""
        fingerprints = {piece.job.fingerprint for piece in call.pieces}
        self._crashes.checks.begin(call.target, fingerprints - {b""}, silent)

    def _count(self, call, result):
        took_s = self._clock() - call.started_s
        name, pieces = self.service.name, len(call.pieces)
        self._metrics.record_stage_call(name, result, pieces, took_s)

    def _log_answer(self, call, results, now):
        reasons = [reason for handle, reason in results if handle is None]
        log_event(
            LogEvent.STAGE_CALL_ANSWERED,
            service=self.service.name,
            target=call.target.target_id,
            jobs=list_requests(call),
            pieces=len(call.pieces),
            failed=reasons,
            took_s=round(now - call.started_s, 3),
            predicted_s=round(call.due_s - call.started_s, 3),
            queued=self.scheduler.queued_pieces,
        )

    async def _exchange(self, call):
        """Return the results of a call, or None when the target did not run it."""
        target = call.target
        body = encode_run_request(call.pieces, self._clock())
        head = build_call_head(
            "POST", RUN_PATH, target.address, len(body), target.target_id
        )
        exchange = Exchange(self._connections, target, self._clock)
        self._availability.record_request(target)
        try:
            await exchange.send(head, body)
            data = await exchange.read_all()
        except TimeoutError:
            exchange.abort()
            raise
        exchange.finish()
        self._availability.record_response(target, exchange)
        rest_s = self._availability.get_wait_s(target)
        if rest_s:
            self.scheduler.pause_target(target.incarnation, self._clock() + rest_s)
        if exchange.status == 200:
            return decode_run_response(data, len(call.pieces))
        if exchange.not_run:
            return None
        raise AttemptError(BROKEN, True, f"status {exchange.status}")

    async def _free(self, waiting):
        """Tell a target to give up results (list of FreeResults, all its own)."""
        target = waiting[0].target
        handles = [handle for freed in waiting for handle in freed.handles]
        body = encode_free_request(handles)
        head = build_call_head("POST", FREE_PATH, target.address, len(body))
        exchange = Exchange(self._connections, target, self._clock)
        try:
            if not self._availability.may_send_control(target):
                raise AttemptError(NOT_RUN, False, "the target wants no work")
            async with asyncio.timeout(FREE_TIMEOUT_S):
                await exchange.send(head, body)
                await exchange.read_all()
            exchange.finish()
            self._availability.record_response(target, exchange)
        except (AttemptError, TimeoutError) as error:
            exchange.abort()
            log_event(
                LogEvent.RESULTS_NOT_FREED,
                target=target.target_id,
                results=len(handles),
                error=repr(error),
            )
        now = self._clock()
        for freed in waiting:
            self._carry_out(self.scheduler.note_freed(freed, now))


def list_requests(call):
    """Return the ids (list of str) of the requests whose pieces a call carries."""
    return sorted({piece.job.request_id for piece in call.pieces})
