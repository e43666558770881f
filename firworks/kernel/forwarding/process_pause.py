"""Notices that this process stood still, and how old its view of the store is.

Load pattern: a process is stopped, suspended or starved for seconds and goes on with
the facts of before, while targets have left and keys were taken away. What callers had
sent meanwhile is read first. Such a process learns what is new before it takes requests
in, and tells others nothing that it has not had confirmed a moment ago.
"""

# A tick is due every tenth of a second; a busy core delays it by some tenths.
PAUSE_THRESHOLD_S = 1.0
# A listing of the store takes a few milliseconds, of a slow one some hundred. Then
# requests are served by what is known.
CATCH_UP_LIMIT_S = 0.6


class ProcessPauseDetector:
    """Keeps when this process ran last and when its view was confirmed."""

    def __init__(self):
        self._last_tick_s = None
        self._confirmed_s = float("-inf")
        self._until_s = float("-inf")

    def record_tick(self, now):
        """Take in that the process runs; return for how long it stood still.

        Args:
            now (float): Seconds of a clock that goes on while the VM is suspended.

        Returns:
            float: Seconds; 0.0 if it ran.
        """
        before_s, self._last_tick_s = self._last_tick_s, now
        if before_s is None or now - before_s < PAUSE_THRESHOLD_S:
            return 0.0
        self._until_s = now + CATCH_UP_LIMIT_S
        self._confirmed_s = float("-inf")
        return now - before_s

    def must_catch_up(self, now):
        """Return whether requests wait while the view of the store is renewed."""
        return now < self._until_s

    def mark_caught_up(self):
        """Take in that the view was renewed after a standstill."""
        self._until_s = float("-inf")

    def mark_confirmed(self, now):
        """Take in that the store, or a reader of it, has confirmed the view."""
        self._confirmed_s = now

    def is_current(self, now, limit_s):
        """Return whether the view was confirmed within a limit."""
        return now - self._confirmed_s <= limit_s
