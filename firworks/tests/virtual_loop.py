"""An event loop whose time passes at once when nothing is left to do."""

import asyncio


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, for coroutines without I/O."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0

    def time(self):
        """Return virtual seconds."""
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0].when())
        super()._run_once()


def run_virtual(coroutine):
    """Run a coroutine in a new `VirtualLoop`; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
