"""Detects that this process was paused, and how stale its view of the store is.

Load pattern: a process is stopped, suspended or starved of CPU for seconds and resumes
with stale state, while targets have left and keys have been revoked. The requests that
callers sent meanwhile are the first thing it reads. It refreshes its view before it
admits requests, and sends peers only state that was confirmed recently.
"""

# Ticks are 0.1 s apart; on a busy core they are late by a few tenths of a second.
PAUSE_THRESHOLD_S = 1.0
# A listing takes a few milliseconds, or some hundred from a slow store. After this time
# requests are served with the state at hand.
CATCH_UP_LIMIT_S = 0.6


class ProcessPauseDetector:
    """Tracks the last tick of this process and the last confirmation of its view."""

    def __init__(self):
        self._last_tick_s = None
        self._confirmed_s = float("-inf")
        self._catch_up_until_s = float("-inf")

    def record_tick(self, now):
        """Record that the process is running; return how long it was paused.

        Args:
            now (float): Seconds of a clock that continues while the VM is suspended.

        Returns:
            float: Seconds; 0.0 if it was not paused.
        """
        previous_s, self._last_tick_s = self._last_tick_s, now
        if previous_s is None or now - previous_s < PAUSE_THRESHOLD_S:
            return 0.0
        self._catch_up_until_s = now + CATCH_UP_LIMIT_S
        self._confirmed_s = float("-inf")
        return now - previous_s

    def must_catch_up(self, now):
        """Return whether requests must wait until the view of the store is fresh."""
        return now < self._catch_up_until_s

    def mark_caught_up(self):
        """Record that the view was refreshed after a pause."""
        self._catch_up_until_s = float("-inf")

    def mark_confirmed(self, now):
        """Record that the store, or a reader of it, has confirmed the view."""
        self._confirmed_s = now

    def is_current(self, now, limit_s):
        """Return whether the view was confirmed within the last ``limit_s`` seconds."""
        return now - self._confirmed_s <= limit_s
