"""Adapter that runs the kernel's log actions and feeds the results back."""

import asyncio
from functools import singledispatchmethod

from firworks.adapter import Adapter
from firworks.errors import LogUnavailableError
from firworks.events import LogEvent, log_event
from firworks.kernel.messages import (
    AppendFailed,
    AppendRecords,
    LogReadFailed,
    ReadLog,
    RecordsAppended,
)
from firworks.plugins.http_log import HttpLog


class LogDriver:
    """Runs `AppendRecords` and `ReadLog` against a log service.

    Appends to one stream run sequentially, in order; reads run concurrently.

    Args:
        log (HttpLog): Client of the log service, or an object with its methods.
        feed (callable): ``feed(event)`` receives each resulting event.
    """

    def __init__(self, log, feed):
        self._log = log
        self._feed = feed
        self._locks = {}
        self._tasks = set()

    @singledispatchmethod
    def carry_out(self, action):
        """Start a log action without waiting for its result.

        Returns:
            bool: Whether the action is a log action.
        """
        return False

    @carry_out.register
    def _(self, action: AppendRecords):
        return self._start_task(self._append(action))

    @carry_out.register
    def _(self, action: ReadLog):
        return self._start_task(self._read(action))

    async def close(self):
        """Cancel the actions in flight and close the log client."""
        for task in list(self._tasks):
            task.cancel()
        await self._log.close()

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _append(self, action):
        lock = self._locks.setdefault(action.stream, asyncio.Lock())
        async with lock:
            event = await self._try_append(action)
        self._feed(event)

    async def _try_append(self, action):
        try:
            offset = await self._log.append(action.stream, action.records)
        except LogUnavailableError as error:
            log_event(LogEvent.LOG_APPEND_FAILED, problem=str(error))
            return AppendFailed(action.append_id, action.stream)
        return RecordsAppended(action.append_id, action.stream, offset)

    async def _read(self, action):
        try:
            event = await self._log.read(action.stream, action.offset)
        except LogUnavailableError as error:
            log_event(LogEvent.LOG_READ_FAILED, problem=str(error))
            event = LogReadFailed(action.stream, action.offset)
        self._feed(event)


class LogAdapter(Adapter):
    """Connects the daemon to the log service at ``settings.log_url``."""

    ACTIONS = (AppendRecords, ReadLog)

    def __init__(self, context):
        super().__init__(context)
        log = HttpLog(context.settings.log_url)
        self._driver = LogDriver(log, context.feed)

    async def stop(self):
        """Cancel the actions in flight and close the connections."""
        await self._driver.close()

    def carry_out(self, action):
        """Start a log action without waiting for its result."""
        self._driver.carry_out(action)


def register(registry):
    """Register the adapter as ``http`` for ``log``."""
    registry.add("log", "http", LogAdapter)
