"""HTTP client of the platform's log service."""

import asyncio

import aiohttp
import cbor2

from firworks.bodies import read_body, read_json
from firworks.client_connections import make_connector
from firworks.errors import CodecError, LogUnavailableError
from firworks.events import LogEvent, log_event
from firworks.kernel.buffers import ResponseBuffers
from firworks.kernel.codec import decode_cbor, decode_record, encode_record
from firworks.kernel.messages import LogEntry, LogRead

REQUEST_TIMEOUT_S = 2.0
READ_LIMIT_ENTRIES = 100
DECODE_LIMIT_BYTES = 65_536
MAX_RESPONSE_BYTES = 33_554_432


class HttpLog:
    """Client of the log service.

    An entry is a CBOR array of byte strings, each an encoded record.

    Args:
        url (str): Base URL of the service.
        timeout_s (float): Timeout of each request, in seconds.
    """

    def __init__(self, url, timeout_s=REQUEST_TIMEOUT_S):
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session = None
        self._buffers = ResponseBuffers(MAX_RESPONSE_BYTES)

    async def append(self, stream, records):
        """Append records as one entry and return its offset.

        Args:
            stream (str): Name of the stream.
            records (iterable of Record): The records of the entry.

        Returns:
            int: The entry's offset.

        Raises:
            LogUnavailableError: When the append is not acknowledged. The entry may
                have been stored nevertheless.
        """
        body = cbor2.dumps([encode_record(record) for record in records])
        try:
            async with self._open().post(self._path(stream), data=body) as response:
                _check_status(response)
                result = await read_json(response, self._buffers)
                return int(result["offset"])
        except _FAILURES as error:
            raise LogUnavailableError(f"append to {stream}: {error!r}") from error

    async def read(self, stream, offset):
        """Read a batch of entries from a stream.

        Args:
            stream (str): Name of the stream.
            offset (int or None): First offset to read; None reads from the oldest
                entry.

        Returns:
            LogRead: The entries, without the records that cannot be decoded. The
                stream may hold further entries.

        Raises:
            LogUnavailableError: When the request fails or the response is invalid.
        """
        params = {"limit": str(READ_LIMIT_ENTRIES)}
        if offset is not None:
            params["offset"] = str(offset)
        try:
            request = self._open().get(self._path(stream), params=params)
            async with request as response:
                _check_status(response)
                body = decode_cbor(await read_body(response, self._buffers))
                items = _limit_batch(body["entries"])
                entries = tuple(_decode_entry(stream, item) for item in items)
                return LogRead(stream, offset, body["oldest"], body["head"], entries)
        except (*_FAILURES, CodecError) as error:
            raise LogUnavailableError(f"read of {stream}: {error!r}") from error

    async def close(self):
        """Close the HTTP session; the next request opens a new one."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=make_connector(), timeout=self._timeout
            )
        return self._session

    def _path(self, stream):
        return f"{self._url}/streams/{stream}"


_FAILURES = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


def _check_status(response):
    if response.status != 200:
        raise ValueError(f"unexpected HTTP status {response.status}")


def _limit_batch(items):
    """Return the leading items up to ``DECODE_LIMIT_BYTES``, and at least one.

    Decoding a long stream at once would block the event loop. The items left out
    are fetched again by a later read.
    """
    size = 0
    for number, (_, _, data) in enumerate(items):
        size += len(data)
        if number and size > DECODE_LIMIT_BYTES:
            return items[:number]
    return items


def _decode_entry(stream, item):
    offset, written_s, data = item
    records = tuple(_decode_records(stream, offset, data))
    return LogEntry(offset, float(written_s), records)


def _decode_records(stream, offset, data):
    """Yield the records of an entry; log and skip those that cannot be decoded."""
    try:
        items = decode_cbor(data)
    except CodecError as error:
        items = [error]
    if not isinstance(items, list):
        items = [items]
    for item in items:
        try:
            yield decode_record(item)
        except (CodecError, TypeError) as error:
            log_event(
                LogEvent.LOG_RECORD_SKIPPED,
                stream=stream,
                offset=offset,
                problem=str(error),
            )
