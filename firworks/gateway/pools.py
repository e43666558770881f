"""Sends jobs to pool schedulers, and runs those that this gateway hosts."""

import asyncio
from functools import singledispatch, singledispatchmethod
from itertools import count

from firworks.events import LogEvent, log_event
from firworks.gateway.account_shares import make_shares, report_shares
from firworks.gateway.engine_pools import EnginePoolRunner
from firworks.gateway.stage_pools import StagePoolRunner
from firworks.kernel.pools.clients import (
    Deliver,
    MemberCleared,
    MemberSuspected,
    PoolClient,
    Reconnect,
    SendTo,
)
from firworks.kernel.pools.engines import NotPlaced, Placed
from firworks.kernel.pools.messages import (
    DropJob,
    InputsFetched,
    JobTaken,
    JobUnknown,
    PiecesMade,
    PiecesRefused,
    RequestBegun,
    RequestEnded,
    RequestPlaced,
    RequestRefused,
    RequestRunning,
    ResultsHeld,
    ResultsRead,
    SubmitPieces,
    SubmitRequest,
    SyncJobs,
)
from firworks.kernel.pools.owners import JobOwners
from firworks.kernel.pools.results import InputsRead, JobDone, JobRefused


class PoolRefusedError(Exception):
    """A pool rejected a job.

    Attributes:
        reason (str): Why it was rejected.
        retry_after_s (float): Expected seconds until there is capacity.
    """

    def __init__(self, reason, retry_after_s):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class Pools:
    """Jobs of this gateway at all pools, and the schedulers of pools that run here.

    The scheduler of a pool runs in one gateway, which may change: each gateway
    submits its jobs there and keeps runners ready for all pools.

    Args:
        directory (TargetDirectory): Provides the usable targets.
        connections (TargetConnections): Connection pool.
        clock (callable): Returns monotonic seconds.
        roster (Roster): Gateways in the cluster.
        metrics (GatewayMetrics): Counts calls and suspicions.
        crashes (CrashTracker): Tracks requests that crash targets.
        availability (TargetAvailability): Tells which targets accept work.
        limits (TargetLimits): Permits for targets that name a limit.
        settings (GatewaySettings): How engines are chosen, shares of accounts, use of
            memory that is being freed, where large results are made, and whether
            targets state their speed.

    Attributes:
        peers (Peers or None): Set by the gateway before it starts.
    """

    def __init__(
        self,
        directory,
        connections,
        clock,
        roster,
        metrics,
        crashes,
        availability,
        limits,
        settings,
    ):
        self.peers = None
        self._directory = directory
        self._connections = connections
        self._clock = clock
        self._roster = roster
        self._metrics = metrics
        self._crashes = crashes
        self._availability = availability
        self._limits = limits
        self._settings = settings
        self._client = PoolClient(roster)
        self._stages = {}
        self._engines = {}
        self._waiting = {}
        self._on_read = {}
        self._owners = JobOwners()
        self._job_counter = count(1)

    @property
    def busy(self):
        """Whether stage calls for any gateway are queued or in progress here."""
        return any(runner.scheduler.busy for runner in self._stages.values())

    @property
    def queued_pieces(self):
        """Number of pieces queued here."""
        runners = self._stages.values()
        return sum(runner.scheduler.queued_pieces for runner in runners)

    def describe_speeds(self):
        """Return the learned speeds of engines (dict of str to list of EngineSpeed)."""
        now = self._clock()
        return {
            name: runner.scheduler.describe_speeds(now)
            for name, runner in self._engines.items()
        }

    def make_job_id(self):
        """Return a new job id (str) that is unique across gateways and restarts."""
        return f"{self._roster.own.incarnation}/{next(self._job_counter)}"

    def configure(self, services):
        """Apply the services (dict of str to Service) of a new configuration."""
        for name, service in services.items():
            if service.stage_pool is not None:
                self._configure_stage(name, service)
            elif service.engine is not None:
                self._configure_engines(name, service)
        self._client.watch([*self._stages, *self._engines])
        self.refresh()

    def refresh(self):
        """Pass the current usable targets to all runners."""
        for name, runner in [*self._stages.items(), *self._engines.items()]:
            runner.set_targets(self._directory.get_usable(name))

    def plan(self, service):
        """Let the scheduler of a service decide again, as permits have changed."""
        runner = self._stages.get(service) or self._engines.get(service)
        if runner is not None:
            runner.plan()

    def note_suspended(self, suspended_s):
        """Extend time-outs after this process was suspended for some seconds."""
        self._client.note_suspended(suspended_s)

    def tick(self):
        """Ping schedulers, leave unresponsive ones and drop orphaned jobs."""
        now = self._clock()
        self._execute_all(self._client.tick(now))
        for job_id in self._owners.pop_orphaned_jobs(now):
            self._drop_orphaned(job_id)
        for name, runner in [*self._stages.items(), *self._engines.items()]:
            report = runner.scheduler.shares.take_report(now)
            report_shares(name, report, self._metrics)

    def get_stage_spec(self, service):
        """Return the `StagePoolSpec` of a service, or None."""
        runner = self._stages.get(service)
        return None if runner is None else runner.scheduler.spec

    def has_engines(self, service):
        """Return whether a service is a pool of engines."""
        return service in self._engines

    async def make_pieces(self, service, job, on_inputs_fetched):
        """Run a job in a stage pool; return the handles (tuple of str) of its results.

        Args:
            service (str): Service of the pool.
            job (PieceJob): The job.
            on_inputs_fetched (callable): Called when the inputs have been fetched.

        Raises:
            PoolRefusedError: When the pool rejects the job.
        """
        if service not in self._stages:
            raise PoolRefusedError(f"no stage pool {service!r}", 1.0)
        self._on_read[job.job_id] = on_inputs_fetched
        try:
            result = await self._run_job(service, job)
        finally:
            del self._on_read[job.job_id]
        return result.handles

    async def place_request(self, service, job):
        """Have a request placed; return the id (str) of its engine.

        Raises:
            PoolRefusedError: When no engine has capacity in time.
        """
        result = await self._run_job(service, job)
        return result.target_id

    def note_begun(self, job_id):
        """Report the first token of a placed request to its scheduler."""
        self._execute_all(self._client.note_begun(job_id))

    def end_request(self, job_id, failed):
        """Report to the scheduler that a request ended or was abandoned."""
        self._execute_all(self._client.end_request(job_id, failed))

    async def _run_job(self, service, job):
        future = asyncio.get_running_loop().create_future()
        self._waiting[job.job_id] = future
        try:
            self._execute_all(self._client.submit(service, job, self._clock()))
            return await future
        finally:
            self._waiting.pop(job.job_id, None)

    def free(self, job_id):
        """Cancel a job, or free its results."""
        self._execute_all(self._client.drop(job_id))

    def mark_read(self, job_id):
        """Allow a pool to evict the results of a job, which have been fetched."""
        self._execute_all(self._client.mark_read(job_id))

    def close(self):
        """Cancel all calls and timers."""
        for runner in [*self._stages.values(), *self._engines.values()]:
            runner.close()

    def note_link_lost(self, peer):
        """Handle a lost connection from a peer, whose messages may be lost."""
        self._owners.note_disconnected(peer, self._clock())
        self.sync_jobs(peer)

    def sync_jobs(self, peer):
        """Send a peer the list of jobs submitted to it, as messages may be lost."""
        self._execute_all(self._client.sync(peer))

    def note_member(self, name):
        """Drop the jobs of earlier incarnations of a member (str)."""
        incarnation = self._roster.find_incarnation(name)
        for job_id in self._owners.list_superseded(name, incarnation):
            self._drop_orphaned(job_id)

    def receive(self, peer, record):
        """Handle a record from a peer."""
        self._owners.note_received(peer)
        self._execute_all(self._client.note_received(peer, self._clock()))
        self._handle_record(record, peer)

    def _execute_all(self, actions):
        for action in actions:
            self._execute(action)

    @singledispatchmethod
    def _execute(self, action):
        raise TypeError(f"not a pool client action: {action!r}")

    @_execute.register
    def _(self, action: SendTo):
        if action.peer == self._roster.own.name:
            self._handle_record(action.record, action.peer)
        else:
            self.peers.send(action.peer, action.record)

    @_execute.register
    def _(self, action: Reconnect):
        self.peers.reconnect(action.peer)

    @_execute.register
    def _(self, action: Deliver):
        result = action.result
        if isinstance(result, InputsFetched):
            on_inputs_fetched = self._on_read.get(result.job_id)
            if on_inputs_fetched is not None:
                on_inputs_fetched()
            return
        future = self._waiting.get(result.job_id)
        if future is None or future.done():
            return
        if isinstance(result, PiecesRefused):
            future.set_exception(PoolRefusedError(result.reason, result.retry_after_s))
        elif isinstance(result, RequestRefused):
            future.set_exception(
                PoolRefusedError("no engine free", result.retry_after_s)
            )
        else:
            future.set_result(result)

    @_execute.register
    def _(self, action: MemberSuspected):
        self._metrics.suspected.inc()
        log_event(LogEvent.MEMBER_SUSPECTED, member=action.peer, jobs=action.jobs)

    @_execute.register
    def _(self, action: MemberCleared):
        log_event(LogEvent.MEMBER_CLEARED, member=action.peer)

    @singledispatchmethod
    def _handle_record(self, record, peer):
        """Handle a record from a scheduler or from a client of one."""
        self._execute_all(self._client.receive(record, peer, self._clock()))

    @_handle_record.register
    def _(self, record: SubmitPieces, peer):
        self._submit(peer, record.job, self._stages.get(record.service))

    @_handle_record.register
    def _(self, record: DropJob, peer):
        self._drop(record.job_id)

    @_handle_record.register
    def _(self, record: SyncJobs, peer):
        known = {*record.awaited, *record.held}
        for job_id in self._owners.list_jobs(peer):
            if job_id not in known:
                self._drop(job_id)
        for job_id in record.awaited:
            self._resend_results(job_id, peer)

    @_handle_record.register
    def _(self, record: ResultsHeld, peer):
        runner = self._stages.get(record.service)
        self._adopt_job(peer, record.job, runner, record.handles, record.read)

    @_handle_record.register
    def _(self, record: ResultsRead, peer):
        owner = self._owners.find(record.job_id)
        if owner is not None:
            owner[1].mark_read(record.job_id)

    @_handle_record.register
    def _(self, record: SubmitRequest, peer):
        self._submit(peer, record.job, self._engines.get(record.service))

    @_handle_record.register
    def _(self, record: RequestRunning, peer):
        runner = self._engines.get(record.service)
        self._adopt_job(peer, record.job, runner, record.target_id, record.begun)

    @_handle_record.register
    def _(self, record: RequestBegun, peer):
        owner = self._owners.find(record.job_id)
        if owner is not None:
            owner[1].note_begun(record.job_id)

    @_handle_record.register
    def _(self, record: RequestEnded, peer):
        owner = self._owners.pop(record.job_id)
        if owner is not None:
            owner[1].end(record.job_id, record.failed)

    def _submit(self, peer, job, runner):
        """Submit the job of a gateway, which may be this one, to a local runner."""
        if runner is None:
            return
        self._owners.put(job.job_id, peer, runner)
        self._execute_all([SendTo(peer, JobTaken(job.job_id))])
        runner.submit(job.shift(self._clock()))

    def _drop(self, job_id):
        owner = self._owners.pop(job_id)
        if owner is not None:
            owner[1].drop(job_id)

    def _drop_orphaned(self, job_id):
        """Drop a job whose gateway seems gone; a live one then submits it again."""
        owner = self._owners.find(job_id)
        if owner is None:
            # Refused when the place of another one was planned anew.
            return
        self._drop(job_id)
        self._execute_all([SendTo(owner[0], JobUnknown(job_id))])

    def _resend_results(self, job_id, peer):
        """Send a gateway the results of a job again."""
        owner = self._owners.find(job_id)
        results = None if owner is None else owner[1].scheduler.resend_outcome(job_id)
        if results is None:
            self._execute_all([SendTo(peer, JobUnknown(job_id))])
            return
        for result in results:
            self._deliver(result)

    def _adopt_job(self, peer, job, runner, *progress):
        """Take over a job from another scheduler, with its progress."""
        if runner is None:
            return
        self._owners.put(job.job_id, peer, runner)
        runner.adopt(job.shift(self._clock()), *progress)

    def _configure_engines(self, name, service):
        runner = self._engines.get(name)
        if runner is None:
            self._engines[name] = EnginePoolRunner(
                service,
                self._clock,
                self._deliver,
                self._limits,
                self._settings,
                make_shares(self._settings.account_shares),
            )
        else:
            runner.scheduler.spec = service.engine

    def _configure_stage(self, name, service):
        runner = self._stages.get(name)
        if runner is None:
            self._stages[name] = StagePoolRunner(
                service,
                self._connections,
                self._clock,
                self._deliver,
                self._metrics,
                self._crashes,
                self._availability,
                self._limits,
                make_shares(self._settings.account_shares),
                self._settings.stage_memory_reuse,
                self._settings.result_locality == "home",
                self._settings.target_load_reports,
            )
        else:
            runner.scheduler.spec = service.stage_pool

    def _deliver(self, result):
        """Send a scheduler's result to the gateway that submitted the job."""
        job_id = result.job.job_id
        owner = self._owners.find(job_id)
        if owner is None:
            return
        self._execute_all([SendTo(owner[0], make_reply(result))])
        if isinstance(result, JobRefused | NotPlaced):
            self._owners.pop(job_id)


@singledispatch
def make_reply(result):
    """Return the record that reports a scheduler's result to a gateway."""
    raise TypeError(f"not a scheduler result: {result!r}")


@make_reply.register
def _(result: InputsRead):
    return InputsFetched(result.job.job_id)


@make_reply.register
def _(result: JobDone):
    return PiecesMade(result.job.job_id, result.handles)


@make_reply.register
def _(result: JobRefused):
    return PiecesRefused(result.job.job_id, result.reason, result.retry_after_s)


@make_reply.register
def _(result: Placed):
    target_id = result.target.target_id
    return RequestPlaced(result.job.job_id, target_id, result.cached_tokens)


@make_reply.register
def _(result: NotPlaced):
    return RequestRefused(result.job.job_id, result.retry_after_s)
