"""The pools that this gateway sends work to."""

import asyncio

from firworks.gateway.stage_pools import StagePoolRunner
from firworks.kernel.pools.engines import EngineScheduler
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
    """Schedulers of all pools, by service.

    Args:
        directory (TargetDirectory): The usable targets.
        connections (TargetConnections): Where connections come from.
        clock (callable): Returns monotonic seconds.
    """

    def __init__(self, directory, connections, clock):
        self._directory = directory
        self._connections = connections
        self._clock = clock
        self._stages = {}
        self._engines = {}
        self._waiting = {}

    def configure(self, services):
        """Take in the services (dict of str to Service) of a new configuration."""
        for name, service in services.items():
            if service.stage_pool is not None:
                self._configure_stage(name, service)
            elif service.engine is not None and name not in self._engines:
                self._engines[name] = EngineScheduler(service.engine)
        self.refresh()

    def refresh(self):
        """Take in a change of the usable targets."""
        now = self._clock()
        for name, runner in self._stages.items():
            runner.set_targets(self._directory.get_usable(name))
        for name, scheduler in self._engines.items():
            scheduler.set_targets(self._directory.get_usable(name), now)

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
        runner = self._stages.get(service)
        if runner is None:
            raise PoolRefusedError(f"no stage pool {service!r}", 1.0)
        future = asyncio.get_running_loop().create_future()
        self._waiting[job.job_id] = future
        try:
            runner.submit(job)
            return await future
        except asyncio.CancelledError:
            runner.cancel(job.job_id)
            raise
        finally:
            self._waiting.pop(job.job_id, None)

    def free(self, service, job_id):
        """Give up the results of a job, or the job."""
        runner = self._stages.get(service)
        if runner is not None:
            runner.cancel(job_id)

    def close(self):
        """Stop all calls."""
        for runner in self._stages.values():
            runner.close()

    def _configure_stage(self, name, service):
        runner = self._stages.get(name)
        if runner is None:
            self._stages[name] = StagePoolRunner(
                service, self._connections, self._clock, self._deliver
            )
        else:
            runner.scheduler.spec = service.stage_pool

    def _deliver(self, result):
        future = self._waiting.get(result.job.job_id)
        if future is None or future.done():
            return
        if isinstance(result, JobDone):
            future.set_result(result.handles)
        else:
            future.set_exception(PoolRefusedError(result.reason, result.retry_after_s))
