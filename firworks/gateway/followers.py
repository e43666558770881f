"""Follows topics of the platform's store: one listing, then incremental reads."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.positions import (
    ORIGIN,
    get_era,
    get_offset,
    make_position,
)
from firworks.platform.records import decode_keyed
from firworks.platform.store import StoreError, StoreGapError

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Until the topics have been listed once, a gateway can't serve any request, so one that
# starts during a store outage retries more often.
MAX_BACKOFF_BEFORE_LISTING_S = 0.2


# Time for the store's clients to write again what it lost when it was restored.
REWRITE_S = 4.0


class _InterruptedError(Exception):
    """A read was cancelled so that it can be restarted."""


class TopicFollower:
    """Lists a keyed topic once and then reads the records appended to it.

    Args:
        store (StoreClient): The store.
        topic (str): A keyed topic.
        listener (object): Receives ``apply_listing(values)`` after a listing, or
            ``apply_restored(values)`` after the first one since the store was restored
            from a copy, which returns whether to list again once all has been written
            again, ``apply_value(value)`` for each later value, and
            ``record_store_status(ok)`` after each call to the store.
        wait_s (float): Long-poll time: how long a read waits for records, in seconds.
        read_interval_s (float): Minimum time between two reads, in seconds.
    """

    def __init__(self, store, topic, listener, wait_s, read_interval_s):
        self._store = store
        self._topic = topic
        self._listener = listener
        self._wait_s = wait_s
        self._read_interval_s = read_interval_s
        self._must_list = True
        self._failed = False
        self._read_task = None
        self._interrupted = asyncio.Event()
        self._position = ORIGIN
        self._delegated = False
        self._paused = False
        self._listed = False
        self._refresh_pending = False

    @property
    def is_delegated(self):
        """Whether another gateway reads the topic on behalf of this one."""
        return self._delegated

    @property
    def is_reading(self):
        """Whether a read is in progress."""
        return self._read_task is not None

    @property
    def position(self):
        """Position up to which this gateway knows the topic (int)."""
        return self._position

    def advance(self, position):
        """Record that another gateway has sent all records up to a position."""
        self._position = position
        self._must_list, self._listed = False, True

    def set_delegated(self, delegated):
        """Stop reading because another gateway forwards updates, or resume."""
        if delegated == self._delegated:
            return
        self._delegated = delegated
        self._interrupted.set()
        if delegated:
            self._listener.record_store_status(True)

    def set_paused(self, paused):
        """Make no calls while another follower finds that the store does not answer.

        One topic is enough to notice the end of an outage. Calls are billed, and
        otherwise each gateway would try each topic several times a second.
        """
        if paused != self._paused:
            self._paused = paused
            self.interrupt()

    @property
    def refresh_pending(self):
        """Whether a requested listing has not succeeded yet."""
        return self._refresh_pending

    def refresh(self):
        """List the topic again, once, even while reading is delegated."""
        self._refresh_pending = True
        self.interrupt()

    def list_again(self):
        """List the topic again, unless another gateway reads it for this one."""
        self._must_list = True
        self.interrupt()

    def set_read_interval(self, interval_s):
        """Set the minimum time between two reads, in seconds."""
        self._read_interval_s = interval_s

    def interrupt(self):
        """Restart the current read at once, as its connection may be dead."""
        self._interrupted.set()
        if self._read_task is not None:
            self._read_task.cancel()

    async def run(self):
        """Follow the topic until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
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
                await self._sleep(backoff_s)
                max_backoff_s = (
                    MAX_BACKOFF_S if self._listed else MAX_BACKOFF_BEFORE_LISTING_S
                )
                backoff_s = min(max_backoff_s, 2 * backoff_s)
                continue
            backoff_s = INITIAL_BACKOFF_S
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
        start = self._position
        if self._must_list or self._refresh_pending:
            await self._list()
            return
        try:
            batch = await self._read()
        except StoreGapError:
            self._must_list = True
            return
        if self._position != start:
            # Another gateway has sent newer records in the meantime.
            return
        if batch.era != get_era(start) or batch.end < get_offset(start):
            self._must_list = True
            return
        self._position = start + len(batch.records)
        for record in batch.records:
            try:
                value = decode_keyed(record)
            except CodecError as error:
                log_event(
                    LogEvent.STORE_RECORD_SKIPPED, topic=self._topic, error=str(error)
                )
                continue
            self._listener.apply_value(value)

    async def _list(self):
        listing = await self._store.list_newest(self._topic)
        position = make_position(listing.era, listing.offset)
        if position < self._position:
            # Another gateway has sent newer records in the meantime, or the store was
            # reset and its offsets start again.
            self._position = make_position(listing.era, 0)
            return
        is_restored = self._listed and get_era(position) > get_era(self._position)
        self._position = position
        self._must_list, self._refresh_pending = False, False
        self._listed = True
        if not is_restored:
            self._listener.apply_listing(listing.values)
        elif self._listener.apply_restored(listing.values):
            asyncio.get_running_loop().call_later(REWRITE_S, self.list_again)

    async def _read(self):
        read = self._store.read(self._topic, get_offset(self._position), self._wait_s)
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
