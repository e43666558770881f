"""Applies the limits that the targets of a stage pool name."""

from firworks.kernel.pools.results import REASON_LATE, REASON_LIMITED
from firworks.kernel.pools.workers import (
    estimate_completion_s,
    estimate_limited_completion_s,
)
from firworks.kernel.target_limits.forecasts import MIN_RETRY_AFTER_S


class WorkerLimits:
    """Limits of the targets of a stage pool.

    Args:
        limiter (TargetLimiter): Permits for targets that name a limit.
    """

    def __init__(self, limiter):
        self._limiter = limiter

    def get_wait_s(self, worker, now):
        """Return the seconds until a target accepts a call; 0.0 if now."""
        return self._limiter.get_wait_s(worker.target.incarnation, now)

    def take(self, worker, now):
        """Take the permit for a call to a target."""
        return self._limiter.take(worker.target.incarnation, now)

    def are_limited(self, workers):
        """Return whether there are some targets and all of them name a limit."""
        return self._limiter.are_limited(list_incarnations(workers))

    def estimate_completion_s(self, spec, workers, pieces, now):
        """Return the seconds until some targets complete some pieces.

        Args:
            spec (StagePoolSpec): Capacity of each target.
            workers (list of StageWorker): The targets; not empty.
            pieces (int): Number of pieces, counted from the head of the queue.
            now (float): Monotonic seconds.
        """
        intervals_s = {}
        for worker in workers if self._limiter.active else ():
            rate_per_s = self._limiter.get_rate(worker.target.incarnation)
            if rate_per_s is not None:
                interval_s = 1 / rate_per_s if rate_per_s else float("inf")
                intervals_s[worker] = (self.get_wait_s(worker, now), interval_s)
        if not intervals_s:
            return estimate_completion_s(spec, workers, pieces, now)
        return estimate_limited_completion_s(spec, workers, pieces, intervals_s, now)

    def explain_late(self, workers, wait_s, now):
        """Return reason and Retry-After (tuple) of a job that would take too long.

        Args:
            workers (list of StageWorker): The usable targets.
            wait_s (float): Seconds until they would complete the job.
            now (float): Monotonic seconds.
        """
        if not self.are_limited(workers):
            return REASON_LATE, max(MIN_RETRY_AFTER_S, wait_s)
        incarnations, room_s = list_incarnations(workers), now + wait_s
        return REASON_LIMITED, self._limiter.book_return(incarnations, room_s, now)


def list_incarnations(workers):
    """Return the incarnations (list of tuple) of some targets (StageWorker)."""
    return [worker.target.incarnation for worker in workers]
