"""The pools that this gateway sends work to, and those that it schedules."""

import asyncio
from functools import singledispatch, singledispatchmethod
from itertools import count

from firworks.events import LogEvent, log_event
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

# Told to callers when no engine had room before their deadline.
ENGINE_RETRY_AFTER_S = 1.0


class PoolRefusedError(Exception):
    """A pool will not do a job.

    Attributes:
        reason (str): Why.
        retry_after_s (float): When there will be room again.
    """

    def __init__(self, reason, retry_after_s):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class Pools:
    """Schedulers of all pools, by service; each may also run in another gateway.

    Args:
        directory (TargetDirectory): The usable targets.
        connections (TargetConnections): Where connections come from.
        clock (callable): Returns monotonic seconds.
        roster (Roster): The members.
        metrics (GatewayMetrics): Counts calls and suspicions.
        crashes (CrashDesk): Finds out which requests end targets.
        availability (Standings): Tells to which targets work may be sent.

    Attributes:
        peers (Peers or None): Set by the gateway before it starts.
    """

    def __init__(
        self, directory, connections, clock, roster, metrics, crashes, availability
    ):
        self.peers = None
        self._directory = directory
        self._connections = connections
        self._clock = clock
        self._roster = roster
        self._metrics = metrics
        self._crashes = crashes
        self._availability = availability
        self._client = PoolClient(roster)
        self._stages = {}
        self._engines = {}
        self._waiting = {}
        self._on_read = {}
        self._owners = JobOwners()
        self._job_numbers = count(1)

    @property
    def busy(self):
        """Whether stage calls for some gateway are in progress or wait."""
        return any(runner.scheduler.busy for runner in self._stages.values())

    @property
    def queued_pieces(self):
        """How many pieces wait here for a call."""
        runners = self._stages.values()
        return sum(runner.scheduler.queued_pieces for runner in runners)

    def make_job_id(self):
        """Return a name for a job that no other job of any gateway has."""
        return f"{self._roster.own.incarnation}/{next(self._job_numbers)}"

    def configure(self, services):
        """Take in the services (dict of str to Service) of a new configuration."""
        for name, service in services.items():
            if service.stage_pool is not None:
                self._configure_stage(name, service)
            elif service.engine is not None:
                self._configure_engines(name, service)
        self._client.watch([*self._stages, *self._engines])
        self.refresh()

    def refresh(self):
        """Take in a change of the usable targets."""
        for name, runner in [*self._stages.items(), *self._engines.items()]:
            runner.set_targets(self._directory.get_usable(name))

    def note_suspended(self, suspended_s):
        """Take in that this process stood still for some seconds."""
        self._client.note_suspended(suspended_s)

    def tick(self):
        """Ping schedulers, and leave those and owners of jobs that fell silent."""
        now = self._clock()
        self._carry_out(self._client.tick(now))
        for job_id in self._owners.pop_orphaned_jobs(now):
            self._disown(job_id)

    def get_stage_spec(self, service):
        """Return the `StagePoolSpec` of a service, or None."""
        runner = self._stages.get(service)
        return None if runner is None else runner.scheduler.spec

    def has_engines(self, service):
        """Return whether a service is a pool of engines."""
        return service in self._engines

    async def make_pieces(self, service, job, on_read):
        """Return the handles (tuple of str) of a job's results.

        Args:
            service (str): The pool.
            job (PieceJob): The job.
            on_read (callable): Called when the job's inputs have been fetched.

        Raises:
            PoolRefusedError: When the pool will not finish the job.
        """
        if service not in self._stages:
            raise PoolRefusedError(f"no stage pool {service!r}", 1.0)
        self._on_read[job.job_id] = on_read
        try:
            result = await self._run_job(service, job)
        finally:
            del self._on_read[job.job_id]
        return result.handles

    async def place_request(self, service, job):
        """Return the id of the engine that a request is to go to.

        Raises:
            PoolRefusedError: When no engine has room in time.
        """
        result = await self._run_job(service, job)
        return result.target_id

    def note_begun(self, job_id):
        """Take in that the first token of a placed request has come."""
        self._carry_out(self._client.note_begun(job_id))

    def end_request(self, job_id, failed):
        """Take in that a request has left its engine, or is given up."""
        self._carry_out(self._client.end_request(job_id, failed))

    async def _run_job(self, service, job):
        future = asyncio.get_running_loop().create_future()
        self._waiting[job.job_id] = future
        try:
            self._carry_out(self._client.submit(service, job, self._clock()))
            return await future
        finally:
            self._waiting.pop(job.job_id, None)

    def free(self, job_id):
        """Give up a job, or its results."""
        self._carry_out(self._client.drop(job_id))

    def mark_read(self, job_id):
        """Let a pool give up the results of a job when it needs room."""
        self._carry_out(self._client.mark_read(job_id))

    def close(self):
        """Stop all calls."""
        for runner in [*self._stages.values(), *self._engines.values()]:
            runner.close()

    def note_link_lost(self, peer):
        """Take in that messages from another gateway may be lost, or that it died."""
        self._owners.note_disconnected(peer, self._clock())
        self.sync_jobs(peer)

    def sync_jobs(self, peer):
        """Name the jobs at another gateway, as messages to or from it may be lost."""
        self._carry_out(self._client.sync(peer))

    def note_member(self, name):
        """Drop the jobs of a member's earlier runs."""
        incarnation = self._roster.find_incarnation(name)
        for job_id in self._owners.list_superseded(name, incarnation):
            self._disown(job_id)

    def receive(self, peer, record):
        """Take a record from another gateway."""
        self._owners.note_received(peer)
        self._carry_out(self._client.note_received(peer, self._clock()))
        self._take(record, peer)

    def _carry_out(self, actions):
        for action in actions:
            self._do(action)

    @singledispatchmethod
    def _do(self, action):
        raise TypeError(f"not a client's action: {action!r}")

    @_do.register
    def _(self, action: SendTo):
        if action.peer == self._roster.own.name:
            self._take(action.record, action.peer)
        else:
            self.peers.send(action.peer, action.record)

    @_do.register
    def _(self, action: Reconnect):
        self.peers.reconnect(action.peer)

    @_do.register
    def _(self, action: Deliver):
        result = action.result
        if isinstance(result, InputsFetched):
            on_read = self._on_read.get(result.job_id)
            if on_read is not None:
                on_read()
            return
        future = self._waiting.get(result.job_id)
        if future is None or future.done():
            return
        if isinstance(result, PiecesRefused):
            future.set_exception(PoolRefusedError(result.reason, result.retry_after_s))
        elif isinstance(result, RequestRefused):
            future.set_exception(PoolRefusedError("no room", result.retry_after_s))
        else:
            future.set_result(result)

    @_do.register
    def _(self, action: MemberSuspected):
        self._metrics.suspected.inc()
        log_event(LogEvent.MEMBER_SUSPECTED, member=action.peer, jobs=action.jobs)

    @_do.register
    def _(self, action: MemberCleared):
        log_event(LogEvent.MEMBER_CLEARED, member=action.peer)

    @singledispatchmethod
    def _take(self, record, peer):
        """Take a record, as a scheduler or as its client."""
        self._carry_out(self._client.receive(record, peer, self._clock()))

    @_take.register
    def _(self, record: SubmitPieces, peer):
        self._submit(peer, record.job, self._stages.get(record.service))

    @_take.register
    def _(self, record: DropJob, peer):
        self._drop(record.job_id)

    @_take.register
    def _(self, record: SyncJobs, peer):
        known = {*record.awaited, *record.held}
        for job_id in self._owners.list_jobs(peer):
            if job_id not in known:
                self._drop(job_id)
        for job_id in record.awaited:
            self._repeat(job_id, peer)

    @_take.register
    def _(self, record: ResultsHeld, peer):
        runner = self._stages.get(record.service)
        self._adopt(peer, record.job, runner, record.handles, record.read)

    @_take.register
    def _(self, record: ResultsRead, peer):
        owner = self._owners.find(record.job_id)
        if owner is not None:
            owner[1].mark_read(record.job_id)

    @_take.register
    def _(self, record: SubmitRequest, peer):
        self._submit(peer, record.job, self._engines.get(record.service))

    @_take.register
    def _(self, record: RequestRunning, peer):
        runner = self._engines.get(record.service)
        self._adopt(peer, record.job, runner, record.target_id, record.begun)

    @_take.register
    def _(self, record: RequestBegun, peer):
        owner = self._owners.find(record.job_id)
        if owner is not None:
            owner[1].note_begun(record.job_id)

    @_take.register
    def _(self, record: RequestEnded, peer):
        owner = self._owners.pop(record.job_id)
        if owner is not None:
            owner[1].end(record.job_id, record.failed)

    def _submit(self, peer, job, runner):
        """Take in another gateway's job, or one of this gateway."""
        if runner is None:
            return
        self._owners.put(job.job_id, peer, runner)
        self._carry_out([SendTo(peer, JobTaken(job.job_id))])
        runner.submit(job.shift(self._clock()))

    def _drop(self, job_id):
        owner = self._owners.pop(job_id)
        if owner is not None:
            owner[1].drop(job_id)

    def _disown(self, job_id):
        """Drop a job whose daemon seems to be gone; one that lives submits it again."""
        owner = self._owners.find(job_id)
        self._drop(job_id)
        self._carry_out([SendTo(owner[0], JobUnknown(job_id))])

    def _repeat(self, job_id, peer):
        """Tell a gateway again what a job has come to."""
        owner = self._owners.find(job_id)
        results = None if owner is None else owner[1].scheduler.resend_outcome(job_id)
        if results is None:
            self._carry_out([SendTo(peer, JobUnknown(job_id))])
            return
        for result in results:
            self._deliver(result)

    def _adopt(self, peer, job, runner, *progress):
        """Take in a job that another scheduler had, with what it had come to."""
        if runner is None:
            return
        self._owners.put(job.job_id, peer, runner)
        runner.adopt(job.shift(self._clock()), *progress)

    def _configure_engines(self, name, service):
        runner = self._engines.get(name)
        if runner is None:
            self._engines[name] = EnginePoolRunner(service, self._clock, self._deliver)
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
            )
        else:
            runner.scheduler.spec = service.stage_pool

    def _deliver(self, result):
        """Send a result to the gateway that asked for it."""
        job_id = result.job.job_id
        owner = self._owners.find(job_id)
        if owner is None:
            return
        self._carry_out([SendTo(owner[0], make_reply(result))])
        if isinstance(result, JobRefused | NotPlaced):
            self._owners.pop(job_id)


@singledispatch
def make_reply(result):
    """Return the record that tells a gateway of a scheduler's result."""
    raise TypeError(f"not a result: {result!r}")


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
    return RequestRefused(result.job.job_id, ENGINE_RETRY_AFTER_S)
