"""Wakes a scheduler when it is due."""

import asyncio


class RestartableTimer:
    """One timer that is set anew after each decision.

    Args:
        clock (callable): Returns monotonic seconds.
        function (callable): Called without arguments when it is time.
    """

    def __init__(self, clock, function):
        self._clock = clock
        self._function = function
        self._timer = None

    def set(self, due_s):
        """Call the function at a monotonic time; None for never."""
        self.cancel()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._clock())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._function)

    def cancel(self):
        """Call nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
