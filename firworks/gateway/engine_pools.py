"""Runs the scheduler of an engine pool."""

from firworks.gateway.timers import RestartableTimer
from firworks.kernel.pools.engines import EngineScheduler


class EnginePoolRunner:
    """Keeps the time of a pool's scheduler and passes on what it decides.

    Args:
        service (Service): The pool.
        clock (callable): Returns monotonic seconds.
        deliver (callable): ``deliver(result)`` takes each `Placed` and `NotPlaced`.
    """

    def __init__(self, service, clock, deliver):
        self.scheduler = EngineScheduler(service.engine)
        self._clock = clock
        self._deliver = deliver
        self._wake_up = RestartableTimer(clock, self._wake)

    def set_targets(self, targets):
        """Take in the usable targets."""
        self._carry_out(self.scheduler.set_targets(targets, self._clock()))

    def submit(self, job):
        """Take in an `EngineJob`."""
        self._carry_out(self.scheduler.submit(job, self._clock()))

    def adopt(self, job, target_id, begun):
        """Take in a request that another scheduler has placed."""
        self.scheduler.adopt(job, target_id, begun)

    def note_begun(self, job_id):
        """Take in that a request's first token has come."""
        self.scheduler.note_begun(job_id)

    def end(self, job_id, failed):
        """Take in that a request has left its engine."""
        self._carry_out(self.scheduler.end(job_id, failed, self._clock()))

    def drop(self, job_id):
        """Take in that a request is given up."""
        self.end(job_id, False)

    def close(self):
        """Stop the timer."""
        self._wake_up.cancel()

    def _carry_out(self, results):
        for result in results:
            self._deliver(result)
        self._wake_up.set(self.scheduler.next_due_s(self._clock()))

    def _wake(self):
        self._carry_out(self.scheduler.plan(self._clock()))
