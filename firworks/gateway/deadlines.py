"""Deadlines of the work in progress, which a drain brings forward."""

import asyncio
from contextlib import asynccontextmanager
from math import inf


class Deadlines:
    """Limits the time of work, all of which ends at a common limit at the latest."""

    __slots__ = ("_scopes", "_limit_s")

    def __init__(self):
        self._scopes = set()
        self._limit_s = inf

    @asynccontextmanager
    async def limit(self, duration_s):
        """Return a context that is cancelled after some seconds.

        Raises:
            TimeoutError: When the time, or that until the common limit, has passed.
        """
        when_s = asyncio.get_running_loop().time() + duration_s
        async with asyncio.timeout_at(min(when_s, self._limit_s)) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def bring_forward(self, duration_s):
        """Set the common limit, in seconds from now, also for work in progress."""
        self._limit_s = asyncio.get_running_loop().time() + duration_s
        for scope in self._scopes:
            if not scope.expired() and scope.when() > self._limit_s:
                scope.reschedule(self._limit_s)
