"""The pools that this gateway sends work to, and those that it schedules."""

import asyncio
from functools import singledispatchmethod

from firworks.events import LogEvent, log_event
from firworks.gateway.stage_pools import StagePoolRunner
from firworks.kernel.pools.clients import (
    Deliver,
    MemberCleared,
    MemberSuspected,
    PoolClient,
    Reconnect,
    SendTo,
)
from firworks.kernel.pools.engines import EngineScheduler
from firworks.kernel.pools.messages import (
    DropJob,
    JobTaken,
    PiecesMade,
    PiecesRefused,
    Ping,
    Pong,
    SubmitPieces,
)
from firworks.kernel.pools.stages import JobDone


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
        peers (Peers or None): Set by the gateway before it starts.
    """

    def __init__(self, directory, connections, clock, roster):
        self.peers = None
        self._directory = directory
        self._connections = connections
        self._clock = clock
        self._roster = roster
        self._client = PoolClient(roster)
        self._stages = {}
        self._engines = {}
        self._waiting = {}
        self._owners = {}

    def configure(self, services):
        """Take in the services (dict of str to Service) of a new configuration."""
        for name, service in services.items():
            if service.stage_pool is not None:
                self._configure_stage(name, service)
            elif service.engine is not None and name not in self._engines:
                self._engines[name] = EngineScheduler(service.engine)
        self._client.watch(self._stages)
        self.refresh()

    def refresh(self):
        """Take in a change of the usable targets."""
        now = self._clock()
        for name, runner in self._stages.items():
            runner.set_targets(self._directory.get_usable(name))
        for name, scheduler in self._engines.items():
            scheduler.set_targets(self._directory.get_usable(name), now)

    def tick(self):
        """Ping schedulers and move jobs from those that fell silent."""
        self._carry_out(self._client.tick(self._clock()))

    def get_nominal_s(self, service, pieces):
        """Return the seconds that an idle target of a stage pool needs."""
        runner = self._stages.get(service)
        return 0.0 if runner is None else runner.scheduler.get_nominal_s(pieces)

    def get_engines(self, service):
        """Return the `EngineScheduler` of a service, or None."""
        return self._engines.get(service)

    async def make_pieces(self, service, job):
        """Return the handles (tuple of str) of a job's results.

        Raises:
            PoolRefusedError: When the pool will not finish the job.
        """
        if service not in self._stages:
            raise PoolRefusedError(f"no stage pool {service!r}", 1.0)
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

    def close(self):
        """Stop all calls."""
        for runner in self._stages.values():
            runner.close()

    def receive(self, peer, record):
        """Take a record from another gateway."""
        self._carry_out(self._client.hear(peer, self._clock()))
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
        future = self._waiting.get(result.job_id)
        if future is None or future.done():
            return
        if isinstance(result, PiecesMade):
            future.set_result(result.handles)
        else:
            future.set_exception(PoolRefusedError(result.reason, result.retry_after_s))

    @_do.register
    def _(self, action: MemberSuspected):
        log_event(LogEvent.MEMBER_SUSPECTED, member=action.peer, jobs=action.jobs)

    @_do.register
    def _(self, action: MemberCleared):
        log_event(LogEvent.MEMBER_CLEARED, member=action.peer)

    @singledispatchmethod
    def _take(self, record, peer):
        """Take a record, as a scheduler or as its client."""
        self._carry_out(self._client.take(record, peer, self._clock()))

    @_take.register
    def _(self, record: Ping, peer):
        if record.unheard:
            self.peers.reconnect(peer)
        self.peers.send(peer, Pong(record.number))

    @_take.register
    def _(self, record: SubmitPieces, peer):
        runner = self._stages.get(record.service)
        if runner is None:
            return
        job_id = record.job.job_id
        self._owners[job_id] = (peer, runner)
        self._carry_out([SendTo(peer, JobTaken(job_id))])
        runner.submit(record.job.shift(self._clock()))

    @_take.register
    def _(self, record: DropJob, peer):
        owner = self._owners.pop(record.job_id, None)
        if owner is not None:
            owner[1].cancel(record.job_id)

    def _configure_stage(self, name, service):
        runner = self._stages.get(name)
        if runner is None:
            self._stages[name] = StagePoolRunner(
                service, self._connections, self._clock, self._deliver
            )
        else:
            runner.scheduler.spec = service.stage_pool

    def _deliver(self, result):
        """Send a result to the gateway that asked for it."""
        job_id = result.job.job_id
        owner = self._owners.get(job_id)
        if owner is None:
            return
        if isinstance(result, JobDone):
            record = PiecesMade(job_id, result.handles)
        else:
            self._owners.pop(job_id)
            record = PiecesRefused(job_id, result.reason, result.retry_after_s)
        self._carry_out([SendTo(owner[0], record)])
