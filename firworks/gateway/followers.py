"""Follows topics of the platform's store."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.platform.records import decode_keyed
from firworks.platform.store import StoreError, StoreGapError

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Nothing can be served before a topic has been listed once: a daemon that starts in an
# outage tries this often.
MAX_BACKOFF_BEFORE_LISTING_S = 0.2


class _InterruptedError(Exception):
    """A read was given up to begin anew."""


class TopicFollower:
    """Lists a keyed topic once and then reads what is added.

    Args:
        store (StoreClient): The store.
        topic (str): A keyed topic.
        listener (object): Gets ``apply_listing(values)`` after a listing,
            ``take_value(value)`` for each value that follows, and ``record_store_status(ok)``
            after each call of the store.
        wait_s (float): How long a read waits for records.
        pause_s (float): Least time from one read to the next.
    """

    def __init__(self, store, topic, listener, wait_s, pause_s):
        self._store = store
        self._topic = topic
        self._listener = listener
        self._wait_s = wait_s
        self._read_interval_s = pause_s
        self._offset = None
        self._failed = False
        self._read_task = None
        self._interrupted = asyncio.Event()
        self._known_offset = 0
        self._delegated = False
        self._paused = False
        self._listed = False
        self._refresh_pending = False

    @property
    def is_delegated(self):
        """Whether reading is left to another daemon."""
        return self._delegated

    @property
    def is_reading(self):
        """Whether a read is in progress."""
        return self._read_task is not None

    @property
    def offset(self):
        """Up to where the topic is known here (int)."""
        return self._known_offset

    def advance(self, offset):
        """Take in that another daemon has told all up to an offset."""
        self._offset = self._known_offset = offset

    def set_delegated(self, delegated):
        """Leave off reading, as another daemon tells what is new, or go on."""
        if delegated == self._delegated:
            return
        self._delegated = delegated
        self._interrupted.set()
        if delegated:
            self._listener.record_store_status(True)

    def set_paused(self, paused):
        """Make no calls while another follower finds that the store does not answer.

        Load pattern: in an outage of the store each topic would be tried by each daemon
        several times a second, at a price a call, to learn the same.
        """
        if paused != self._paused:
            self._paused = paused
            self.interrupt()

    @property
    def refresh_pending(self):
        """Whether the topic is still to be listed anew."""
        return self._refresh_pending

    def refresh(self):
        """List the topic once even while this daemon does not read."""
        self._refresh_pending = True
        self.interrupt()

    def set_read_interval(self, pause_s):
        """Take in another least time from one read to the next, in seconds."""
        self._read_interval_s = pause_s

    def interrupt(self):
        """Read anew at once: the store's connections may carry nothing."""
        self._interrupted.set()
        if self._read_task is not None:
            self._read_task.cancel()

    async def run(self):
        """Follow the topic until cancelled."""
        pause_s = INITIAL_BACKOFF_S
        while True:
            if self._paused or (self._delegated and not self._refresh_pending):
                self._interrupted.clear()
                await self._interrupted.wait()
                continue
            try:
                await self._step()
            except _InterruptedError:
                continue
            except (StoreError, CodecError) as error:
                self._record_failure(error)
                await self._sleep(pause_s)
                max_backoff_s = (
                    MAX_BACKOFF_S if self._listed else MAX_BACKOFF_BEFORE_LISTING_S
                )
                pause_s = min(max_backoff_s, 2 * pause_s)
                continue
            pause_s = INITIAL_BACKOFF_S
            self._record_success()
            if not self._delegated:
                await self._sleep(self._read_interval_s)

    async def _sleep(self, seconds):
        self._interrupted.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._interrupted.wait()
        except TimeoutError:
            return

    async def _step(self):
        start = self._offset
        if start is None or self._refresh_pending:
            await self._list()
            return
        try:
            part = await self._read()
        except StoreGapError:
            self._offset = None
            return
        if self._offset != start:
            # Another daemon has told more meanwhile.
            return
        if part.end < start:
            self._offset, self._known_offset = None, 0
            return
        self._offset = self._known_offset = start + len(part.records)
        for record in part.records:
            try:
                value = decode_keyed(record)
            except CodecError as error:
                log_event(
                    LogEvent.STORE_RECORD_SKIPPED, topic=self._topic, error=str(error)
                )
                continue
            self._listener.apply_value(value)

    async def _list(self):
        values, offset = await self._store.list_newest(self._topic)
        if offset < self._known_offset:
            # Another daemon has told more meanwhile, or the store has begun anew.
            self._known_offset = 0
            return
        self._offset = self._known_offset = offset
        self._refresh_pending = False
        self._listed = True
        self._listener.apply_listing(values)

    async def _read(self):
        read = self._store.read(self._topic, self._offset, self._wait_s)
        self._read_task = asyncio.ensure_future(read)
        try:
            return await self._read_task
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise _InterruptedError from None
        finally:
            self._read_task = None

    def _record_failure(self, error):
        if not self._failed:
            self._failed = True
            log_event(LogEvent.STORE_LOST, topic=self._topic, error=str(error))
        self._listener.record_store_status(False)

    def _record_success(self):
        if self._failed:
            self._failed = False
            log_event(LogEvent.STORE_REGAINED, topic=self._topic)
        self._listener.record_store_status(True)
