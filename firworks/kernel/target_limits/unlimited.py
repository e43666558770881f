"""Stands for a limiter where no target names a limit."""


class UnlimitedTargets:
    """Stands for a `TargetLimiter` where no target names a limit."""

    active = False

    def get_rate(self, incarnation):
        """Return None: there is no limit."""
        return None

    def are_limited(self, incarnations):
        """Return False: no target names a limit."""
        return False

    def get_wait_s(self, incarnation, now):
        """Return 0.0: requests may be sent at once."""
        return 0.0

    def take(self, incarnation, now):
        """Return True: no permit is needed."""
        return True

    def find_late(self, waiting, now):
        """Return an empty list: no request is late because of a limit."""
        return []
