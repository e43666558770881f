"""A restartable timer, used to run a scheduler when its next decision is due."""

import asyncio


class RestartableTimer:
    """Calls a function at a time that can be changed; setting it replaces the last one.

    Args:
        clock (callable): Returns monotonic seconds.
        function (callable): Called without arguments when the timer expires.
    """

    def __init__(self, clock, function):
        self._clock = clock
        self._function = function
        self._timer = None

    def set(self, due_s):
        """Schedule the call for a monotonic time (float); None cancels it."""
        self.cancel()
        if due_s is not None:
            delay_s = max(0.0, due_s - self._clock())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._function)

    def cancel(self):
        """Cancel the scheduled call, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
