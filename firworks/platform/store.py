"""The client of the platform's store."""

import asyncio

import aiohttp

from firworks.errors import FirworksError
from firworks.platform.records import (
    decode_newest,
    decode_slice,
    encode_keyed,
    encode_records,
)
from firworks.sockets import open_socket

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Keys of the operator's topic under which the failure domains stand that get no work.
EVACUATION_PREFIX = "evacuate/"
TARGETS_TOPIC = "keyed.servers"
MEMBERS_TOPIC = "keyed.firworks-members"

# An answer takes a few milliseconds; a store that is slow takes up to 100 times that.
CALL_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
# A page of newest records holds 1 MB, a configuration of 1,400 routes some 500 KB.
MAX_ANSWER_BYTES = 8_388_608
# Beyond the wait of a read that waits for records.
READ_TIMEOUT_MARGIN_S = 0.8


class StoreError(FirworksError):
    """The store gave no usable answer."""


class StoreGapError(StoreError):
    """The records that were asked for are no longer kept."""


class StoreClient:
    """Calls of the platform's store.

    Args:
        address (str): "ip:port".
        name (str): Of this daemon; the store's operators see it.

    Attributes:
        calls (int): Calls made since the start.
        read_bytes (int): Bytes of their answers.
    """

    def __init__(self, address, name):
        self.calls = 0
        self.read_bytes = 0
        self._base = f"http://{address}"
        self._name = name
        self._session = None

    async def start(self):
        """Open the session; must run on the loop that uses it."""
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=IDLE_TIMEOUT_S, socket_factory=open_socket
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            headers={"User-Agent": self._name},
        )

    async def close(self):
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def list_newest(self, topic):
        """Return ([KeyedValue], offset to read on from) of a keyed topic.

        Raises:
            StoreError: When the store gave no usable answer.
        """
        values, start, after, more = [], None, None, True
        while more:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            data = await self._call("GET", "/log-newest", query)
            page, more, end = decode_newest(data)
            # Pages are not a snapshot: read on from before the first one.
            start = end if start is None else start
            values += page
            more = more and bool(page)
            after = page[-1].key if page else None
        return values, start

    async def read(self, topic, offset, wait_s):
        """Return the `Slice` from an offset, waiting for records.

        Raises:
            StoreGapError: When the offset is no longer kept.
            StoreError: When the store gave no usable answer.
        """
        query = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_s > 0:
            query["wait-ms"] = str(int(wait_s * 1000))
        timeout_s = wait_s + READ_TIMEOUT_MARGIN_S
        data = await self._call("GET", "/log-read", query, timeout_s=timeout_s)
        return decode_slice(data)

    async def put_value(self, topic, key, value):
        """Set a key of a keyed topic; an empty value drops it.

        Raises:
            StoreError: When it is not known to be stored.
        """
        body = encode_records([encode_keyed(key, value)])
        await self._call("POST", "/log-append", {"topic": topic, "part": "0"}, body)

    async def _call(self, method, path, query, body=None, timeout_s=CALL_TIMEOUT_S):
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method, self._base + path, params=query, data=body
                ) as answer:
                    data = await self._read_body(answer)
                    status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise StoreError(f"{path}: {error!r}") from error
        self.read_bytes += len(data)
        if status == 410:
            raise StoreGapError(f"{path}: the offset is no longer kept")
        if status != 200:
            raise StoreError(f"{path}: status {status}")
        return data

    async def _read_body(self, answer):
        parts, size = [], 0
        async for part in answer.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                # Leaving the context of an answer that has not ended closes its
                # connection.
                raise StoreError(f"an answer of over {MAX_ANSWER_BYTES} bytes")
        return b"".join(parts)
