"""Chooses a target of a service that is neither an engine pool nor a stage pool.

Load pattern: a few targets with a handful of slots each, called by many daemons that
see little traffic each. Own requests in flight and recent failures decide; ties go to
the caller's own failure domain.
"""

from math import exp

# Failures and latencies count half after this time.
FAILURE_DECAY_S = 5.0
# One recent failure weighs like this many requests in flight.
FAILURE_WEIGHT = 4.0
# A target elsewhere weighs like this many requests in flight more.
REMOTE_WEIGHT = 0.4
LATENCY_SMOOTHING = 0.3


class _Record:
    """What is known of one target."""

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
    """Requests in flight and failures by target.

    Args:
        failure_domain (str): This daemon's.
        rng (random.Random): Breaks ties.
    """

    def __init__(self, failure_domain, rng):
        self._failure_domain = failure_domain
        self._rng = rng
        self._records = {}

    def choose(self, targets, excluded, now):
        """Return the `Target` to send to, or None.

        Args:
            targets (iterable of Target): Usable ones.
            excluded (set of tuple): Runs of targets that have had the request.
            now (float): Monotonic seconds.
        """
        candidates = [target for target in targets if target.incarnation not in excluded]
        if not candidates:
            return None
        return min(candidates, key=lambda target: self._weigh(target, now))

    def begin(self, target):
        """Count a request that is being sent."""
        self._get(target).in_flight += 1

    def end(self, target, failed, latency_s, now):
        """Count the end of a request.

        Args:
            target (Target): Where it ran.
            failed (bool): Without a usable answer.
            latency_s (float): Since it was sent.
            now (float): Monotonic seconds.
        """
        record = self._get(target)
        record.in_flight -= 1
        record.decay(now)
        if failed:
            record.failures += 1.0
        else:
            record.latency_s += LATENCY_SMOOTHING * (latency_s - record.latency_s)

    def forget(self, targets):
        """Drop what is known of targets other than these."""
        runs = {target.incarnation for target in targets}
        for run in [run for run in self._records if run not in runs]:
            if not self._records[run].in_flight:
                del self._records[run]

    def _get(self, target):
        return self._records.setdefault(target.incarnation, _Record())

    def _weigh(self, target, now):
        record = self._get(target)
        record.decay(now)
        remote = target.failure_domain != self._failure_domain
        busy = record.in_flight + REMOTE_WEIGHT * remote
        cost = busy * (1.0 + 2.0 * record.latency_s) + FAILURE_WEIGHT * record.failures
        return (cost, self._rng.random())
