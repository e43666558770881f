"""Weighs the speed that targets report against the speed that their calls show.

Load pattern: the speed of a target changes many times a second, and it states the
current one in each response. What calls show is an average over a call, and older.
A report says less the older it is, and may be false: it never counts for more than what
calls show, so that a target that looks fast for a moment does not draw all calls, and
choices do not change with every report.
"""

# Weight of a report just received; below one half, so that calls outweigh it.
REPORT_WEIGHT = 0.4
# A report has lost its weight at this age: the speed has changed several times.
REPORT_AGE_S = 1.0
# Limits of a reported duration relative to the usual one.
MIN_REPORTED = 0.25
MAX_REPORTED = 8.0


class ReportedLoad:
    """The latest load report of one target."""

    __slots__ = ("_slowdown", "_received_s")

    def __init__(self):
        self._slowdown = None
        self._received_s = float("-inf")

    def note(self, slowdown, now):
        """Record the reported duration of calls relative to the usual one (float)."""
        self._slowdown = min(MAX_REPORTED, max(MIN_REPORTED, slowdown))
        self._received_s = now

    def combine(self, measured, now):
        """Return the expected duration of calls relative to the usual one.

        Args:
            measured (float): What its calls have shown.
            now (float): Monotonic seconds.
        """
        age_s = now - self._received_s
        if self._slowdown is None or age_s >= REPORT_AGE_S:
            return measured
        weight = REPORT_WEIGHT * (1.0 - max(0.0, age_s) / REPORT_AGE_S)
        return measured + weight * (self._slowdown - measured)
