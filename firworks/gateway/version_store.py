"""The store's records of software versions that served, and of streams that began."""

import asyncio
import time
from hashlib import blake2b

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.versions.messages import StreamsBegun
from firworks.kernel.versions.served import ServedVersion
from firworks.platform.store import (
    STREAMS_TOPIC,
    VERSIONS_TOPIC,
    StoreError,
    StoreGapError,
)

KEY_BYTES = 12
# Callers that resume streams wait for these calls.
READ_TIMEOUT_S = 0.3
# Minimum times from one call to the next: any gateway lists the versions, only keepers
# read the streams.
LIST_INTERVAL_S = 0.25
READ_INTERVAL_S = 0.1
# Records of streams are collected for this time before they are written.
FLUSH_INTERVAL_S = 0.25
MAX_PENDING_RECORDS = 1_024
# Records read at once; each one holds streams of up to a flush interval. Those of the
# life of a stream are within the newest ones of this number for several services.
MAX_READ_RECORDS = 2_048


class VersionStore:
    """Reads and writes the topics of versions and of streams.

    Args:
        store (StoreClient): The store.
        clock (callable): Returns monotonic seconds.
        on_streams (callable): ``on_streams(record)`` receives each `StreamsBegun` read.
    """

    def __init__(self, store, clock, on_streams):
        self._store = store
        self._clock = clock
        self._on_streams = on_streams
        self._listing = SharedCall(self._list, clock, LIST_INTERVAL_S, VERSIONS_TOPIC)
        self._reading = SharedCall(self._read, clock, READ_INTERVAL_S, STREAMS_TOPIC)
        self._position = None
        self._pending = []
        self._flushed_s = float("-inf")
        self._flush_task = None

    async def list_versions(self):
        """Return the stored versions (list of ServedVersion), or None.

        The listing starts after the call. None if the store does not answer in time.
        """
        return await self._listing.run()

    async def read_streams(self):
        """Read what was written since the last read, if the store answers.

        The read starts after the call.
        """
        await self._reading.run()

    async def add_version(self, served):
        """Write a `ServedVersion`.

        Raises:
            StoreError: When the store does not confirm it.
        """
        await self._store.put_value(
            VERSIONS_TOPIC, make_key(served), encode_record(served)
        )

    async def remove_version(self, served):
        """Remove a `ServedVersion`.

        Raises:
            StoreError: When the store does not confirm it.
        """
        await self._store.put_value(VERSIONS_TOPIC, make_key(served), b"")

    def add_streams(self, record):
        """Queue a `StreamsBegun` to be written; the oldest are dropped in an outage."""
        self._pending.append(record)
        del self._pending[:-MAX_PENDING_RECORDS]

    def tick(self):
        """Write the queued records, unless a write is in progress."""
        now = self._clock()
        idle = self._flush_task is None or self._flush_task.done()
        if self._pending and idle and now - self._flushed_s >= FLUSH_INTERVAL_S:
            self._flushed_s = now
            self._flush_task = asyncio.ensure_future(self._flush())

    def close(self):
        """Cancel the calls in progress."""
        for call in (self._listing, self._reading):
            call.close()
        if self._flush_task is not None:
            self._flush_task.cancel()

    async def _flush(self):
        records, self._pending = merge_streams(self._pending), []
        try:
            await self._store.append(
                STREAMS_TOPIC, [encode_record(record) for record in records]
            )
        except StoreError as error:
            log_event(LogEvent.STORE_LOST, topic=STREAMS_TOPIC, error=str(error))
            self._pending = [*records, *self._pending][-MAX_PENDING_RECORDS:]

    async def _list(self):
        listing = await self._store.list_newest(VERSIONS_TOPIC)
        stored = []
        for value in listing.values:
            record = self._decode(VERSIONS_TOPIC, value.value, ServedVersion)
            if record is not None:
                stored.append(record)
        return stored

    async def _read(self):
        if self._position is None:
            self._position = await self._find_start()
        while True:
            try:
                batch = await self._store.read(STREAMS_TOPIC, self._position, 0.0)
            except StoreGapError as error:
                # The oldest records were deleted meanwhile.
                self._position = error.first
                if error.first is None:
                    return
                continue
            if batch.end < self._position:
                # The store came back without the newest records.
                self._position = batch.first
                continue
            for data in batch.records:
                record = self._decode(STREAMS_TOPIC, data, StreamsBegun)
                if record is not None:
                    self._on_streams(record)
            self._position += len(batch.records)
            if not batch.records or self._position >= batch.end:
                return

    async def _find_start(self):
        """Return the offset (int) of the oldest record that may still matter."""
        try:
            batch = await self._store.read(STREAMS_TOPIC, 0, 0.0)
        except StoreGapError as error:
            if error.first is None:
                raise
            batch = await self._store.read(STREAMS_TOPIC, error.first, 0.0)
        return max(batch.first, batch.end - MAX_READ_RECORDS)

    def _decode(self, topic, data, kind):
        """Return the record of a kind, or None; one that is invalid is logged."""
        if not data:
            return None
        try:
            record = decode_record(data)
            if not isinstance(record, kind):
                raise CodecError(f"not a {kind.__name__}")
        except CodecError as error:
            log_event(LogEvent.STORE_RECORD_SKIPPED, topic=topic, error=str(error))
            return None
        return record


class SharedCall:
    """Runs a call of the store for all that wait for its next result.

    Args:
        call (callable): Coroutine function without arguments.
        clock (callable): Returns monotonic seconds.
        interval_s (float): Minimum time from one call to the next.
        topic (str): Topic of the store, for the log.
    """

    def __init__(self, call, clock, interval_s, topic):
        self._call = call
        self._clock = clock
        self._interval_s = interval_s
        self._topic = topic
        self._started_s = float("-inf")
        self._task = None
        self._is_started = False

    async def run(self):
        """Return the result of a call that starts after this; None if it fails."""
        if self._task is not None and self._is_started:
            # The call in progress may have missed what happened since it started.
            await asyncio.wait({self._task})
        if self._task is None or self._task.done():
            self._is_started = False
            self._task = asyncio.ensure_future(self._run())
        return await asyncio.shield(self._task)

    def close(self):
        """Cancel the call in progress."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self):
        await asyncio.sleep(self._started_s + self._interval_s - self._clock())
        self._started_s, self._is_started = self._clock(), True
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._call()
        except (StoreError, CodecError, TimeoutError) as error:
            log_event(LogEvent.STORE_LOST, topic=self._topic, error=repr(error))
            return None


def merge_streams(records):
    """Return fewer `StreamsBegun` (list) with the same streams."""
    merged = {}
    for record in records:
        key = (record.service, record.version)
        merged.setdefault(key, []).extend(record.digests)
    now = time.time()
    return [
        StreamsBegun(service, version, tuple(digests), now)
        for (service, version), digests in merged.items()
    ]


def make_key(served):
    """Return the store key (str) of a `ServedVersion`."""
    digest = blake2b(encode_record(served), digest_size=KEY_BYTES)
    return f"served/{digest.hexdigest()}"
