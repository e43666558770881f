"""Runs the scheduler of an engine pool."""

from firworks.gateway.timers import RestartableTimer
from firworks.kernel.pools.engines import EngineScheduler
from firworks.kernel.pools.token_placement import MEGABYTE


class EnginePoolRunner:
    """Drives an engine scheduler's timer and delivers its results.

    Args:
        service (Service): The service of the pool.
        clock (callable): Returns monotonic seconds.
        deliver (callable): ``deliver(result)`` receives each `Placed` and `NotPlaced`.
        limits (TargetLimits): Permits for engines that name a limit.
        settings (GatewaySettings): How engines are chosen.
        shares (AccountShares or UnsharedCapacity): Shares of client accounts.
    """

    def __init__(self, service, clock, deliver, limits, settings, shares):
        self.scheduler = EngineScheduler(
            service.engine,
            limits.limiter,
            settings.engine_placement,
            int(settings.engine_memory_mb * MEGABYTE),
            shares,
            settings.engine_waste_weight,
        )
        self._service = service
        self._limits = limits
        self._clock = clock
        self._deliver = deliver
        self._timer = RestartableTimer(clock, self._run_scheduler)

    def plan(self):
        """Place the requests that can be placed now."""
        self._run_scheduler()

    def set_targets(self, targets):
        """Replace the usable targets (iterable of Target)."""
        self._deliver_all(self.scheduler.set_targets(targets, self._clock()))

    def submit(self, job):
        """Submit an `EngineJob` for placement."""
        self._deliver_all(self.scheduler.submit(job, self._clock()))

    def adopt(self, job, target_id, begun):
        """Register a request that another scheduler has placed."""
        self.scheduler.adopt(job, target_id, begun, self._clock())

    def note_begun(self, job_id):
        """Record that a request's first token has arrived."""
        self.scheduler.note_begun(job_id, self._clock())

    def end(self, job_id, failed):
        """Record that a request has finished on its engine, successfully or not."""
        self._deliver_all(self.scheduler.end(job_id, failed, self._clock()))

    def drop(self, job_id):
        """Record that a request was abandoned."""
        self.end(job_id, False)

    def close(self):
        """Stop the timer."""
        self._timer.cancel()

    def _deliver_all(self, results):
        for result in results:
            self._deliver(result)
        if self._limits.active and self.scheduler.waiting:
            self._limits.prefetch(self._service.name, self.scheduler.targets)
        self._timer.set(self.scheduler.next_due_s(self._clock()))

    def _run_scheduler(self):
        self._deliver_all(self.scheduler.plan(self._clock()))
