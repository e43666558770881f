"""Token buckets of targets that name a limit."""

# A bucket holds at most the permits of this time, and at least one.
BURST_S = 0.25
# Rounding errors must not delay a permit.
_EPSILON = 1e-9


class PermitBucket:
    """Permits to send requests to one target; starts empty.

    Args:
        now (float): Monotonic seconds.

    Attributes:
        permits (float): Permits available now.
        granted_s (float): When a permit was last taken.
    """

    __slots__ = ("permits", "granted_s", "_refilled_s")

    def __init__(self, now):
        self.permits = 0.0
        self.granted_s = now
        self._refilled_s = now

    @property
    def has_permit(self):
        """Whether a permit can be taken."""
        return self.permits >= 1.0 - _EPSILON

    def refill(self, rate_per_s, now):
        """Add the permits that accrued since the last call at a rate."""
        accrued = max(0.0, now - self._refilled_s) * rate_per_s
        self.permits = min(max(1.0, rate_per_s * BURST_S), self.permits + accrued)
        self._refilled_s = max(now, self._refilled_s)

    def take(self, now):
        """Take a permit; return whether there was one."""
        if not self.has_permit:
            return False
        self.permits = max(0.0, self.permits - 1.0)
        self.granted_s = now
        return True

    def get_wait_s(self, rate_per_s):
        """Return the seconds until the next permit at a rate; inf if there is none."""
        missing = 1.0 - self.permits
        if missing <= _EPSILON:
            return 0.0
        return missing / rate_per_s if rate_per_s > 0.0 else float("inf")
