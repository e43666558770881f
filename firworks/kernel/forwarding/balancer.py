"""Load balancing for services that are neither engine pools nor stage pools.

Load pattern: a few targets with a handful of slots each, called by many daemons that
see little traffic each. Each daemon scores targets by its own requests in flight,
recent failures and latency, and prefers its own failure domain among equals.
"""

from math import exp

# Time constant of the exponential decay of failure counts.
FAILURE_DECAY_S = 5.0
# A recent failure adds as much to the score as this many requests in flight.
FAILURE_WEIGHT = 4.0
# Added to the requests in flight of a target in another failure domain.
REMOTE_WEIGHT = 0.4
# Weight of the newest sample in the moving average of the latency.
LATENCY_SMOOTHING = 0.3


class _TargetStats:
    """Statistics of one target."""

    __slots__ = ("in_flight", "failures", "updated_s", "latency_s")

    def __init__(self):
        self.in_flight = 0
        self.failures = 0.0
        self.updated_s = 0.0
        self.latency_s = 0.0

    def decay(self, now):
        self.failures *= exp((self.updated_s - now) / FAILURE_DECAY_S)
        self.updated_s = now


class Balancer:
    """Selects targets by their load, failures and latency as seen by this daemon.

    Args:
        failure_domain (str): Failure domain of this daemon.
        rng (random.Random): Breaks ties.
    """

    def __init__(self, failure_domain, rng):
        self._failure_domain = failure_domain
        self._rng = rng
        self._stats = {}

    def choose(self, targets, excluded, now):
        """Return the `Target` with the lowest score, or None.

        Args:
            targets (iterable of Target): The usable targets.
            excluded (set of tuple): Incarnations that have had the request already.
            now (float): Monotonic seconds.
        """
        candidates = [
            target for target in targets if target.incarnation not in excluded
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda target: self._score(target, now))

    def get_latency_s(self, targets):
        """Return the least average latency of some targets in seconds; 0 if unknown."""
        return min((self._get(target).latency_s for target in targets), default=0.0)

    def begin(self, target):
        """Count a request as in flight at a target."""
        self._get(target).in_flight += 1

    def end(self, target, failed, latency_s, now):
        """Record the end of a request.

        Args:
            target (Target): Where it ran.
            failed (bool): It ended without a usable response.
            latency_s (float): Time since it was sent.
            now (float): Monotonic seconds.
        """
        stats = self._get(target)
        stats.in_flight -= 1
        stats.decay(now)
        if failed:
            stats.failures += 1.0
        else:
            stats.latency_s += LATENCY_SMOOTHING * (latency_s - stats.latency_s)

    def forget(self, targets):
        """Drop the statistics of idle targets other than these."""
        incarnations = {target.incarnation for target in targets}
        for incarnation in [
            incarnation
            for incarnation in self._stats
            if incarnation not in incarnations
        ]:
            if not self._stats[incarnation].in_flight:
                del self._stats[incarnation]

    def _get(self, target):
        return self._stats.setdefault(target.incarnation, _TargetStats())

    def _score(self, target, now):
        stats = self._get(target)
        stats.decay(now)
        is_remote = target.failure_domain != self._failure_domain
        load = stats.in_flight + REMOTE_WEIGHT * is_remote
        cost = load * (1.0 + 2.0 * stats.latency_s) + FAILURE_WEIGHT * stats.failures
        return (cost, self._rng.random())
