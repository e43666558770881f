"""Outlier detection: ejects failing or slow targets and probes their recovery."""

from statistics import median_low

FAILURES_TO_EJECT = 2
OUTLIER_RATIO = 3.0
MIN_SAMPLES = 3
SMOOTHING = 0.3
EJECTION_S = 3.0
MAX_EJECTION_S = 60.0
SLOW_START_S = 5.0
MIN_WEIGHT = 0.1
REPORT_TIMEOUT_S = 2.0
REPORT_TIMEOUT_INTERVALS = 4.0
STALL_CHECK_INTERVAL_S = 0.25
MAX_COMPARED_TARGETS = 32
PACE_SMOOTHING = 0.5
PACE_TTL_S = 10.0
REPROBE_DELAY_S = 1.0
PEER_EJECTION_QUORUM = 2
VOTE_TTL_S = 5.0
OWN_RESPONSE_TTL_S = 2.0


class TargetHealth:
    """What one daemon knows of one target's health.

    Attributes:
        failures (int): Failures since the last success.
        slowness (float): Smoothed latency relative to the typical one of its stage.
        samples (int): Latencies recorded.
        ejected_until_s (float): Time before which it gets no calls; 0 if not ejected.
        ejected_s (float): Time of the last ejection.
        ejections (int): Exponent of the ejection backoff; a passed probe lowers it.
        probe (int): Call that tests whether the target has recovered, or 0.
        recovered_s (float): Time of the last recovery, when slow start began.
        last_progress_s (float): Time of the last progress of the target.
        votes (dict of str to float): Peers that ejected it, and the time of their
            reports.
        locally_ejected (bool): Ejected on this daemon's own observations.
        pace (float): Smoothed seconds per token of its streams; 0 when unknown.
        pace_s (float): Time of the last update of `pace`.
        next_stall_check_s (float): Time before which stalls are not checked again.
    """

    __slots__ = (
        "failures",
        "slowness",
        "samples",
        "ejected_until_s",
        "ejected_s",
        "ejections",
        "probe",
        "recovered_s",
        "last_progress_s",
        "votes",
        "locally_ejected",
        "pace",
        "pace_s",
        "next_stall_check_s",
    )

    def __init__(self):
        self.failures = 0
        self.slowness = 1.0
        self.samples = 0
        self.ejected_until_s = 0.0
        self.ejected_s = 0.0
        self.ejections = 0
        self.probe = 0
        self.recovered_s = float("-inf")
        self.last_progress_s = float("-inf")
        self.votes = {}
        self.locally_ejected = False
        self.pace = 0.0
        self.pace_s = float("-inf")
        self.next_stall_check_s = 0.0

    @property
    def ejected(self):
        """Whether the target is ejected and has not passed a probe since."""
        return self.ejected_until_s > 0

    def is_usable(self, now):
        """Return whether the target may get a call: healthy, or due for a probe."""
        if not self.ejected:
            return True
        return now >= self.ejected_until_s and not self.probe

    def weight(self, now):
        """Return the share of normal traffic that the target should get, 0 to 1."""
        if self.ejected:
            return MIN_WEIGHT
        age = now - self.recovered_s
        if age >= SLOW_START_S:
            return 1.0
        return max(MIN_WEIGHT, age / SLOW_START_S)

    def update_slowness(self, ratio):
        """Add a latency, as a ratio to the typical one, to the moving average."""
        self.samples += 1
        step = max(SMOOTHING, 1.0 / (self.samples + 1))
        self.slowness += step * (ratio - self.slowness)


class PoolHealth:
    """Detects outliers among the targets of one pool.

    Args:
        targets (list of TargetHealth): All targets of the pool.
        ejection_share (float): Maximum share ejected at a time; 0 disables ejection.
    """

    def __init__(self, targets, ejection_share):
        self._targets = targets
        self._share = ejection_share
        self._ejected = sum(target.ejected for target in targets)

    @property
    def cap(self):
        """Maximum number of targets ejected at a time."""
        if not self._share or len(self._targets) < 2:
            return 0
        return max(1, int(self._share * len(self._targets)))

    def record_success(self, health, call_id, ratio, now):
        """Record a complete response.

        Args:
            health (TargetHealth): Health of the target.
            call_id (int): The completed call.
            ratio (float): Latency relative to the typical one of the stage.
            now (float): Kernel time.
        """
        health.failures = 0
        health.last_progress_s = now
        health.update_slowness(ratio)
        if health.probe == call_id and health.ejected:
            self._end_probe(health, ratio, now)
        elif self.is_outlier(health):
            self.eject(health, now)

    def record_refused(self, health, call_id):
        """Record a call that the target refused for lack of capacity."""
        if health.probe == call_id:
            health.probe = 0

    def record_cancelled(self, health, call_id, ratio, now):
        """Record a cancelled call; its duration is a lower bound of the latency."""
        if health.probe == call_id:
            health.probe = 0
            if ratio > OUTLIER_RATIO:
                self._extend_ejection(health, now)
        if ratio > health.slowness:
            health.update_slowness(ratio)

    def record_crash(self, health, call_id, now):
        """Record a call that ended because the target crashed."""
        health.failures = FAILURES_TO_EJECT
        self.record_failure(health, call_id, now)

    def record_failure(self, health, call_id, now):
        """Record a call that ended without a complete response."""
        health.failures += 1
        if health.probe == call_id and health.ejected:
            health.probe = 0
            self._extend_ejection(health, now)
        elif health.failures >= FAILURES_TO_EJECT:
            self.eject(health, now)

    def record_stall(self, health, since_s, now):
        """Record a call without progress since `since_s`, beyond its expected time.

        The target is ejected only if at least half of the compared targets of the pool
        have made progress since then; otherwise the cause is not the target itself.

        Returns:
            bool: Whether the target was ejected.
        """
        if now < health.next_stall_check_s:
            return False
        health.next_stall_check_s = now + STALL_CHECK_INTERVAL_S
        stride = 1 + len(self._targets) // MAX_COMPARED_TARGETS
        others = [other for other in self._targets[::stride] if other is not health]
        moving = sum(other.last_progress_s > since_s for other in others)
        if health.last_progress_s > since_s or 2 * moving < len(others):
            return False
        return self.eject(health, now)

    def record_vote(self, health, origin, now):
        """Record that a peer ejected the target; a quorum of peers ejects it here.

        Votes do not count while the target responds to this daemon.
        """
        health.votes[origin] = now
        if now - health.last_progress_s <= OWN_RESPONSE_TTL_S:
            return
        fresh = [at for at in health.votes.values() if now - at <= VOTE_TTL_S]
        if len(fresh) >= PEER_EJECTION_QUORUM and not health.ejected:
            health.votes.clear()
            if self.eject(health, now):
                health.locally_ejected = False

    def record_pace(self, health, pace, now):
        """Record the pace of a stream; ejects the target if it is an outlier.

        Args:
            health (TargetHealth): Health of the target.
            pace (float): Seconds per token over a section of the stream.
            now (float): Kernel time.
        """
        health.pace += (PACE_SMOOTHING if health.pace else 1.0) * (pace - health.pace)
        health.pace_s = now
        known = [
            other.pace
            for other in self._targets
            if other is not health and now - other.pace_s <= PACE_TTL_S
        ]
        if not known or health.pace <= OUTLIER_RATIO * median_low(known):
            return
        if health.probe:
            health.probe = 0
            self._extend_ejection(health, now)
        self.eject(health, now)

    def keep_ejected(self, health, now):
        """Eject a target, or extend its ejection, while it does not report."""
        if not health.ejected:
            self.eject(health, now)
        elif not health.probe:
            health.ejected_until_s = max(health.ejected_until_s, now + REPROBE_DELAY_S)

    def is_outlier(self, health):
        """Return whether a target exceeds `OUTLIER_RATIO` times the pool's median."""
        if health.samples < MIN_SAMPLES or health.slowness < OUTLIER_RATIO:
            return False
        known = [t.slowness for t in self._targets if t.samples and t is not health]
        if not known:
            return False
        return health.slowness > OUTLIER_RATIO * median_low(known)

    def eject(self, health, now):
        """Eject a target unless the cap is reached; return whether it is ejected."""
        if health.ejected:
            return True
        if self._ejected >= self.cap:
            return False
        self._ejected += 1
        self._extend_ejection(health, now)
        return True

    def _extend_ejection(self, health, now):
        duration = min(EJECTION_S * 2**health.ejections, MAX_EJECTION_S)
        health.ejections += 1
        health.ejected_s = now
        health.ejected_until_s = now + duration
        health.locally_ejected = True

    def _end_probe(self, health, ratio, now):
        health.probe = 0
        if ratio > OUTLIER_RATIO:
            self._extend_ejection(health, now)
            return
        self._ejected -= 1
        health.ejected_until_s = 0.0
        health.locally_ejected = False
        health.ejections = max(0, health.ejections - 1)
        health.failures = 0
        health.slowness = ratio
        health.samples = 1
        health.pace = 0.0
        health.recovered_s = now
        health.votes.clear()
