"""Executes the calls that the scheduler of a stage pool decides on."""

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

FREE_TIMEOUT_S = 1.0
# Results released within this time are freed by one call.
FREE_DELAY_S = 0.05
# Interval of attempts to free results of a target that accepts no more requests now.
LIMITED_FREE_RETRY_S = 0.2


class StagePoolRunner:
    """Executes the actions of a stage pool's scheduler.

    Args:
        service (Service): The service of the pool.
        connections (TargetConnections): Connection pool.
        clock (callable): Returns monotonic seconds.
        deliver (callable): ``deliver(result)`` receives each `JobDone`, `JobRefused`
            and `InputsRead`.
        metrics (GatewayMetrics): Counts the calls.
        crashes (CrashTracker): Tracks requests that crash targets.
        availability (TargetAvailability): Tells which targets accept work.
        limits (TargetLimits): Permits for targets that name a limit.
        shares (AccountShares or UnsharedCapacity): Shares of client accounts.
        reuses_memory (bool): Calls may use memory that is being freed.
        prefers_home (bool): Large results are made near the engines that read them.
        reads_loads (bool): Targets state their speed, which predicts calls.
    """

    def __init__(
        self,
        service,
        connections,
        clock,
        deliver,
        metrics,
        crashes,
        availability,
        limits,
        shares,
        reuses_memory=False,
        prefers_home=False,
        reads_loads=False,
    ):
        self._reads_loads = reads_loads
        self.service = service
        self.scheduler = StageScheduler(service.stage_pool, limits.limiter, shares)
        self.scheduler.freeing.enabled = reuses_memory
        self.scheduler.prefers_home = prefers_home
        self._limits = limits
        self._connections = connections
        self._clock = clock
        self._deliver = deliver
        self._metrics = metrics
        self._crashes = crashes
        self._availability = availability
        self._tasks = set()
        self._timer = RestartableTimer(clock, self._run_scheduler)
        self._pending_frees = {}

    def set_targets(self, targets):
        """Replace the usable targets (iterable of Target)."""
        self._execute_all(self.scheduler.set_targets(targets, self._clock()))

    def plan(self):
        """Send the calls that can be sent now."""
        self._run_scheduler()

    def submit(self, job):
        """Submit a `PieceJob`."""
        self._execute_all(self.scheduler.submit(job, self._clock()))

    def drop(self, job_id):
        """Cancel a job, or free its results if it is finished."""
        self._execute_all(self.scheduler.cancel(job_id, self._clock()))

    def adopt(self, job, handles, read):
        """Register the results of a job that another scheduler has finished."""
        addresses = {handle: get_handle_address(handle) for handle in handles}
        now = self._clock()
        self._execute_all(self.scheduler.adopt(job, addresses, read, now))

    def mark_read(self, job_id):
        """Allow a job's results to be evicted under memory pressure."""
        self._execute_all(self.scheduler.mark_read(job_id, self._clock()))

    def close(self):
        """Cancel all calls and the timer."""
        for task in self._tasks:
            task.cancel()
        self._timer.cancel()

    def _execute_all(self, actions):
        for action in actions:
            self._execute(action)
        if self._limits.active and self.scheduler.queued_pieces:
            self._limits.prefetch(self.service.name, self.scheduler.targets)
        self._timer.set(self.scheduler.next_due_s(self._clock()))

    def _run_scheduler(self):
        self._execute_all(self.scheduler.plan(self._clock()))

    @singledispatchmethod
    def _execute(self, action):
        raise TypeError(f"not a stage pool action: {action!r}")

    @_execute.register
    def _(self, action: StageCall):
        key = action.target.incarnation
        if self.scheduler.freeing.enabled and key in self._pending_frees:
            # The call may rely on the memory of these results.
            self._start_free(key, self._clock())
        self._spawn(self._call(action))

    @_execute.register(InputsRead)
    @_execute.register(JobDone)
    @_execute.register(JobRefused)
    def _(self, action):
        self._deliver(action)

    @_execute.register
    def _(self, action: FreeResults):
        key = action.target.incarnation
        pending = self._pending_frees.setdefault(key, [])
        if not pending:
            expired_s = self._clock() + self.service.stage_pool.result_ttl_s
            self._schedule_free(FREE_DELAY_S, key, expired_s)
        pending.append(action)

    def _schedule_free(self, delay_s, key, expired_s):
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._start_free, key, expired_s)

    def _start_free(self, key, expired_s):
        """Free results, once a limited target accepts a request, until they expire."""
        pending = self._pending_frees.get(key)
        if pending is None:
            # They were freed when a call was sent.
            return
        permitted = self._limits.take(pending[0].target)
        if not permitted and self._clock() < expired_s:
            self._schedule_free(LIMITED_FREE_RETRY_S, key, expired_s)
            return
        del self._pending_frees[key]
        self._spawn(self._free(pending, permitted))

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
                self._check_liveness(call, silent=isinstance(error, TimeoutError))
            is_quarantined = self._crashes.is_quarantined
            actions = self.scheduler.fail_call(
                call.call_id, self._clock(), is_quarantined
            )
        else:
            now = self._clock()
            self._count(call, "full" if results is None else "answered")
            if results is None:
                actions = self.scheduler.reject_call(call.call_id, now)
            else:
                self._log_results(call, results, now)
                actions = self.scheduler.complete_call(call.call_id, results, now)
        self._execute_all(actions)

    def _check_liveness(self, call, silent):
        """Start to check whether a target terminated during a call."""
        fingerprints = {piece.job.fingerprint for piece in call.pieces}
        self._crashes.checks.begin(call.target, fingerprints - {b""}, silent)

    def _count(self, call, result):
        took_s = self._clock() - call.started_s
        name, pieces = self.service.name, len(call.pieces)
        self._metrics.record_stage_call(name, result, pieces, took_s)

    def _log_results(self, call, results, now):
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
        """Send a call; return its results, or None when the target rejected it."""
        target = call.target
        body = encode_run_request(call.pieces, self._clock())
        head = build_call_head(
            "POST", RUN_PATH, target.address, len(body), target.target_id
        )
        exchange = Exchange(self._connections, target, self._clock)
        self._availability.record_request(target)
        try:
            await exchange.send(head, body)
            self._availability.record_response(target, exchange)
            self._note_load(target, exchange)
            data = await exchange.read_all()
        except TimeoutError:
            exchange.abort()
            raise
        exchange.finish()
        backoff_s = self._availability.get_wait_s(target)
        if backoff_s:
            self.scheduler.pause_target(target.incarnation, self._clock() + backoff_s)
        if exchange.status == 200:
            return decode_run_response(data, len(call.pieces))
        if exchange.not_run:
            return None
        raise AttemptError(BROKEN, True, f"status {exchange.status}")

    def _note_load(self, target, exchange):
        """Pass the speed that a response states to the scheduler."""
        if not self._reads_loads:
            return
        notice = self._availability.read_load(target, exchange)
        if notice is not None and notice.slowdown is not None:
            now = self._clock()
            self.scheduler.note_load(target.incarnation, notice.slowdown, now)

    async def _free(self, pending, permitted):
        """Ask a target to free results.

        Args:
            pending (list of FreeResults): All of one target.
            permitted (bool): Whether its limit, if any, allows a request.
        """
        target = pending[0].target
        handles = [handle for freed in pending for handle in freed.handles]
        body = encode_free_request(handles)
        head = build_call_head("POST", FREE_PATH, target.address, len(body))
        exchange = Exchange(self._connections, target, self._clock)
        try:
            if not permitted:
                raise AttemptError(NOT_RUN, False, "target accepts no more requests")
            if not self._availability.may_send_control(target):
                raise AttemptError(NOT_RUN, False, "target backs off or leaves")
            async with asyncio.timeout(FREE_TIMEOUT_S):
                await exchange.send(head, body)
                self._availability.record_response(target, exchange)
                await exchange.read_all()
            exchange.finish()
        except (AttemptError, TimeoutError) as error:
            exchange.abort()
            log_event(
                LogEvent.RESULTS_NOT_FREED,
                target=target.target_id,
                results=len(handles),
                error=repr(error),
            )
        now = self._clock()
        for freed in pending:
            self._execute_all(self.scheduler.note_freed(freed, now))


def list_requests(call):
    """Return the ids (list of str) of the requests that a call works for."""
    return sorted({piece.job.request_id for piece in call.pieces})
