"""Ejects targets that fail or lag behind their own pool, and lets them return."""

from statistics import median_low

FAILURES_TO_EJECT = 2
OUTLIER_RATIO = 3.0
FEWEST_SAMPLES = 3
SMOOTHING = 0.3
EJECTION_S = 3.0
LONGEST_EJECTION_S = 60.0
SLOW_START_S = 5.0
SMALLEST_WEIGHT = 0.1
REPORT_TIMEOUT_S = 2.0
REPORT_TIMEOUT_INTERVALS = 4.0
SILENCE_CHECK_S = 0.25
LARGEST_JURY = 32
PACE_SMOOTHING = 0.5
PACE_TTL_S = 10.0
REPROBE_S = 1.0
PEER_VOTES = 2
VOTE_TTL_S = 5.0
TRUST_S = 2.0


class TargetHealth:
    """What one daemon knows of one target's health.

    Attributes:
        failures (int): Failures since the last success.
        slowness (float): Smoothed latency relative to the typical one of its stage.
        samples (int): Latencies counted.
        ejected_until_s (float): No work before this time; 0 when not ejected.
        ejected_s (float): When it was last ejected.
        ejections (int): Ejections since the last full return.
        probe (int): Call that tests whether the target has recovered, or 0.
        returned_s (float): When slow start began.
        answered_s (float): When the target last showed progress.
        votes (dict of str to float): Peers that ejected it, and when they said so.
        locally_ejected (bool): Ejected on this daemon's own evidence.
        pace (float): Smoothed seconds per token of its streams; 0 when unknown.
        pace_s (float): When the pace was last measured.
        silence_check_s (float): When its silence may be judged again.
    """

    __slots__ = (
        "failures",
        "slowness",
        "samples",
        "ejected_until_s",
        "ejected_s",
        "ejections",
        "probe",
        "returned_s",
        "answered_s",
        "votes",
        "locally_ejected",
        "pace",
        "pace_s",
        "silence_check_s",
    )

    def __init__(self):
        self.failures = 0
        self.slowness = 1.0
        self.samples = 0
        self.ejected_until_s = 0.0
        self.ejected_s = 0.0
        self.ejections = 0
        self.probe = 0
        self.returned_s = float("-inf")
        self.answered_s = float("-inf")
        self.votes = {}
        self.locally_ejected = False
        self.pace = 0.0
        self.pace_s = float("-inf")
        self.silence_check_s = 0.0

    @property
    def ejected(self):
        """Whether the target is ejected or still on probation."""
        return self.ejected_until_s > 0

    def is_usable(self, now):
        """Return whether the target may get a call: healthy, or ready for a probe."""
        if not self.ejected:
            return True
        return now >= self.ejected_until_s and not self.probe

    def weight(self, now):
        """Return the share of normal traffic the target should get, 0 to 1."""
        if self.ejected:
            return SMALLEST_WEIGHT
        age = now - self.returned_s
        if age >= SLOW_START_S:
            return 1.0
        return max(SMALLEST_WEIGHT, age / SLOW_START_S)

    def smooth(self, ratio):
        """Count one latency relative to the typical one."""
        self.samples += 1
        step = max(SMOOTHING, 1.0 / (self.samples + 1))
        self.slowness += step * (ratio - self.slowness)


class PoolHealth:
    """Judges the targets of one pool against each other.

    Args:
        targets (list of TargetHealth): All targets of the pool.
        ejection_share (float): Largest share ejected at once; 0 ejects nobody.
    """

    def __init__(self, targets, ejection_share):
        self._targets = targets
        self._share = ejection_share
        self._ejected = sum(target.ejected for target in targets)

    @property
    def cap(self):
        """Largest number of targets ejected at once."""
        if not self._share or len(self._targets) < 2:
            return 0
        return max(1, int(self._share * len(self._targets)))

    def record_success(self, health, call_id, ratio, now):
        """Count a whole answer.

        Args:
            health (TargetHealth): The target's.
            call_id (int): The call that was answered.
            ratio (float): Latency relative to the typical one of the stage.
            now (float): Kernel time.
        """
        health.failures = 0
        health.last_progress_s = now
        health.smooth(ratio)
        if health.probe == call_id and health.ejected:
            self._end_probe(health, ratio, now)
        elif self.is_outlier(health):
            self.eject(health, now)

    def record_refused(self, health, call_id):
        """Count a call that the target had no room for."""
        if health.probe == call_id:
            health.probe = 0

    def record_cancelled(self, health, call_id, ratio, now):
        """Count a call that was cancelled; a long one shows at least its slowness."""
        if health.probe == call_id:
            health.probe = 0
            if ratio > OUTLIER_RATIO:
                self._extend(health, now)
        if ratio > health.slowness:
            health.smooth(ratio)

    def record_crash(self, health, call_id, now):
        """Count a call that ended because the target went away."""
        health.failures = FAILURES_TO_EJECT
        self.record_failure(health, call_id, now)

    def record_failure(self, health, call_id, now):
        """Count a call that ended without a whole answer."""
        health.failures += 1
        if health.probe == call_id and health.ejected:
            health.probe = 0
            self._extend(health, now)
        elif health.failures >= FAILURES_TO_EJECT:
            self.eject(health, now)

    def record_stall(self, health, since_s, now):
        """Take note of a call that shows no progress for much too long.

        The target is ejected only when most of the pool has made progress since
        `since_s`; otherwise the cause is not the target's own.

        Returns:
            bool: Whether the target was ejected.
        """
        if now < health.silence_check_s:
            return False
        health.silence_check_s = now + SILENCE_CHECK_S
        stride = 1 + len(self._targets) // LARGEST_JURY
        others = [other for other in self._targets[::stride] if other is not health]
        moving = sum(other.answered_s > since_s for other in others)
        if health.last_progress_s > since_s or 2 * moving < len(others):
            return False
        return self.eject(health, now)

    def record_vote(self, health, origin, now):
        """Take note that a peer ejected the target; enough peers eject it here.

        Peers are not heeded while the target answers this daemon.
        """
        health.votes[origin] = now
        if now - health.last_progress_s <= TRUST_S:
            return
        fresh = [at for at in health.votes.values() if now - at <= VOTE_TTL_S]
        if len(fresh) >= PEER_VOTES and not health.ejected:
            health.votes.clear()
            if self.eject(health, now):
                health.locally_ejected = False

    def record_pace(self, health, pace, now):
        """Count the pace of a stream.

        Args:
            health (TargetHealth): The target's.
            pace (float): Seconds per token over a part of the stream.
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
            self._extend(health, now)
        self.eject(health, now)

    def keep_ejected(self, health, now):
        """Eject a target, or keep it ejected, while it stays silent."""
        if not health.ejected:
            self.eject(health, now)
        elif not health.probe:
            health.ejected_until_s = max(health.ejected_until_s, now + REPROBE_S)

    def is_outlier(self, health):
        """Return whether a target is far slower than the median of its pool."""
        if health.samples < FEWEST_SAMPLES or health.slowness < OUTLIER_RATIO:
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
        self._extend(health, now)
        return True

    def _extend(self, health, now):
        duration = min(EJECTION_S * 2**health.ejections, LONGEST_EJECTION_S)
        health.ejections += 1
        health.ejected_s = now
        health.ejected_until_s = now + duration
        health.locally_ejected = True

    def _end_probe(self, health, ratio, now):
        health.probe = 0
        if ratio > OUTLIER_RATIO:
            self._extend(health, now)
            return
        self._ejected -= 1
        health.ejected_until_s = 0.0
        health.locally_ejected = False
        health.ejections = max(0, health.ejections - 1)
        health.failures = 0
        health.slowness = ratio
        health.samples = 1
        health.pace = 0.0
        health.returned_s = now
        health.votes.clear()
