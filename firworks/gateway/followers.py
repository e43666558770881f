"""Follows topics of the platform's store."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.platform.records import decode_keyed
from firworks.platform.store import StoreError, StoreGapError

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
# Nothing can be served before a topic has been listed once: a daemon that starts in an
# outage tries this often.
UNLISTED_PAUSE_S = 0.2


class _InterruptedError(Exception):
    """A read was given up to begin anew."""


class TopicFollower:
    """Lists a keyed topic once and then reads what is added.

    Args:
        store (StoreClient): The store.
        topic (str): A keyed topic.
        listener (object): Gets ``apply_listing(values)`` after a listing,
            ``take_value(value)`` for each value that follows, and ``note_store(ok)``
            after each call of the store.
        wait_s (float): How long a read waits for records.
        pause_s (float): Least time from one read to the next.
    """

    def __init__(self, store, topic, listener, wait_s, pause_s):
        self._store = store
        self._topic = topic
        self._listener = listener
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._offset = None
        self._failed = False
        self._reading = None
        self._interrupted = asyncio.Event()
        self._floor = 0
        self._resting = False
        self._held = False
        self._listed = False
        self._refreshing = False

    @property
    def rests(self):
        """Whether reading is left to another daemon."""
        return self._resting

    @property
    def waits(self):
        """Whether a read is in progress."""
        return self._reading is not None

    @property
    def offset(self):
        """Up to where the topic is known here (int)."""
        return self._floor

    def advance(self, offset):
        """Take in that another daemon has told all up to an offset."""
        self._offset = self._floor = offset

    def set_delegated(self, resting):
        """Leave off reading, as another daemon tells what is new, or go on."""
        if resting == self._resting:
            return
        self._resting = resting
        self._interrupted.set()
        if resting:
            self._listener.record_store_status(True)

    def set_paused(self, held):
        """Make no calls while another follower finds that the store does not answer.

        Load pattern: in an outage of the store each topic would be tried by each daemon
        several times a second, at a price a call, to learn the same.
        """
        if held != self._held:
            self._held = held
            self.interrupt()

    @property
    def refreshing(self):
        """Whether the topic is still to be listed anew."""
        return self._refreshing

    def refresh(self):
        """List the topic once even while this daemon does not read."""
        self._refreshing = True
        self.interrupt()

    def set_read_interval(self, pause_s):
        """Take in another least time from one read to the next, in seconds."""
        self._pause_s = pause_s

    def interrupt(self):
        """Read anew at once: the store's connections may carry nothing."""
        self._interrupted.set()
        if self._reading is not None:
            self._reading.cancel()

    async def run(self):
        """Follow the topic until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            if self._held or (self._resting and not self._refreshing):
                self._interrupted.clear()
                await self._interrupted.wait()
                continue
            try:
                await self._step()
            except _InterruptedError:
                continue
            except (StoreError, CodecError) as error:
                self._note_failure(error)
                await self._pause(pause_s)
                longest_s = LONGEST_PAUSE_S if self._listed else UNLISTED_PAUSE_S
                pause_s = min(longest_s, 2 * pause_s)
                continue
            pause_s = FIRST_PAUSE_S
            self._note_success()
            if not self._resting:
                await self._pause(self._pause_s)

    async def _pause(self, seconds):
        self._interrupted.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._interrupted.wait()
        except TimeoutError:
            return

    async def _step(self):
        start = self._offset
        if start is None or self._refreshing:
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
            self._offset, self._floor = None, 0
            return
        self._offset = self._floor = start + len(part.records)
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
        if offset < self._floor:
            # Another daemon has told more meanwhile, or the store has begun anew.
            self._floor = 0
            return
        self._offset = self._floor = offset
        self._refreshing = False
        self._listed = True
        self._listener.apply_listing(values)

    async def _read(self):
        read = self._store.read(self._topic, self._offset, self._wait_s)
        self._reading = asyncio.ensure_future(read)
        try:
            return await self._reading
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            raise _InterruptedError from None
        finally:
            self._reading = None

    def _note_failure(self, error):
        if not self._failed:
            self._failed = True
            log_event(LogEvent.STORE_LOST, topic=self._topic, error=str(error))
        self._listener.record_store_status(False)

    def _note_success(self):
        if self._failed:
            self._failed = False
            log_event(LogEvent.STORE_REGAINED, topic=self._topic)
        self._listener.record_store_status(True)
