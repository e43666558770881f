"""Client of the platform's store, which keeps a log for each topic."""

import asyncio

import aiohttp

from firworks.bodies import BodyTooLargeError, read_body
from firworks.client_connections import make_connector
from firworks.decoding import parse_integer
from firworks.errors import CodecError, FirworksError
from firworks.events import LogEvent, log_event
from firworks.kernel.buffers import ResponseBuffers
from firworks.kernel.forwarding.positions import MAX_ERA
from firworks.platform.records import (
    Listing,
    decode_first_offset,
    decode_newest,
    decode_slice,
    encode_keyed,
    encode_records,
)
from firworks.sockets import open_socket

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Keys of the operator's topic that name evacuated failure domains, which get no work.
EVACUATION_PREFIX = "evacuate/"
TARGETS_TOPIC = "keyed.servers"
MEMBERS_TOPIC = "keyed.firworks-members"
VERSIONS_TOPIC = "keyed.firworks-versions"
STREAMS_TOPIC = "firworks-streams"

# Header of all responses: rises when the store comes back from an older copy.
ERA = "Store-Era"

# Responses take a few milliseconds; up to 100 times as long when the store is slow.
CALL_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
# A page of a listing has 1 MB; a configuration of 1,400 routes has about 500 KB.
MAX_RESPONSE_BYTES = 8_388_608
# Of a header that is logged as malformed.
MAX_LOGGED_CHARACTERS = 100
# Added to the long-poll time of a read.
READ_TIMEOUT_MARGIN_S = 0.8


class StoreError(FirworksError):
    """A call of the store failed or returned an unusable response."""


class StoreGapError(StoreError):
    """The requested offset is not retained.

    Attributes:
        first (int or None): Offset of the oldest record retained, if it is known.
    """

    def __init__(self, message, first=None):
        super().__init__(message)
        self.first = first


_FAILURES = (aiohttp.ClientError, OSError, TimeoutError, BodyTooLargeError)


class StoreClient:
    """HTTP client of the platform's store.

    Args:
        address (str): "ip:port".
        name (str): Name of this daemon, sent as User-Agent to identify it.

    Attributes:
        era (int): Number of times that the store was restored from a copy, as far as
            known; 0 until it is stated.
        on_restored (callable): ``on_restored(era, previous)`` is called when it rises.
        calls (int): Calls made since the start, failed ones included.
        read_bytes (int): Total size of the response bodies.
    """

    def __init__(self, address, name):
        self.era = 0
        self._era_known = False
        self._unreadable_era = None
        self.on_restored = lambda era, previous: None
        self.calls = 0
        self.read_bytes = 0
        self._base = f"http://{address}"
        self._name = name
        self._session = None
        self._buffers = ResponseBuffers(MAX_RESPONSE_BYTES)

    async def start(self):
        """Open the HTTP session; must run on the event loop that makes the calls."""
        connector = make_connector(
            limit=0, keepalive_timeout=IDLE_TIMEOUT_S, socket_factory=open_socket
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            headers={"User-Agent": self._name},
        )

    async def close(self):
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def list_newest(self, topic):
        """Return the `Listing` of a keyed topic.

        Raises:
            StoreError: When the call fails or times out, its response is unusable, or
                the store was restored between two pages.
        """
        values, start, after, more, first_era = [], None, None, True, None
        while more:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            data, era = await self._call("GET", "/log-newest", query)
            first_era = era if first_era is None else first_era
            if era != first_era:
                raise StoreError(f"{topic}: store restored during a listing")
            page, more, end = decode_newest(data)
            # The pages are not one snapshot: read on from the end offset of the first.
            start = end if start is None else start
            values += page
            more = more and bool(page)
            after = page[-1].key if page else None
        return Listing(values, first_era, start)

    async def read(self, topic, offset, wait_s):
        """Return the `Slice` from an offset on, waiting for records if there are none.

        Args:
            topic (str): Name of the topic.
            offset (int): Offset of the first record to return.
            wait_s (float): Long-poll time in seconds; 0 returns at once.

        Raises:
            StoreGapError: When the offset is no longer retained.
            StoreError: When the call fails or times out, or its response is unusable.
        """
        query = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_s > 0:
            query["wait-ms"] = str(int(wait_s * 1000))
        timeout_s = wait_s + READ_TIMEOUT_MARGIN_S
        data, era = await self._call("GET", "/log-read", query, timeout_s=timeout_s)
        return decode_slice(data, era)

    async def put_value(self, topic, key, value):
        """Set a key of a keyed topic; an empty value deletes the key.

        Raises:
            StoreError: When the value is not confirmed to be stored.
        """
        await self.append(topic, [encode_keyed(key, value)])

    async def append(self, topic, records):
        """Append records (list of bytes) to a topic, all or none.

        Raises:
            StoreError: When they are not confirmed to be stored.
        """
        body = encode_records(records)
        await self._call("POST", "/log-append", {"topic": topic, "part": "0"}, body)

    async def _call(self, method, path, query, body=None, timeout_s=CALL_TIMEOUT_S):
        """Return the body (bytes) of a response and the era (int) that it states."""
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method, self._base + path, params=query, data=body
                ) as response:
                    data = await read_body(response, self._buffers)
                    status = response.status
                    era = self._read_era(response.headers.get(ERA))
        except _FAILURES as error:
            raise StoreError(f"{path}: {error!r}") from error
        self.read_bytes += len(data)
        if status == 410:
            raise StoreGapError(
                f"{path}: offset no longer retained (status 410)",
                decode_first_offset(data),
            )
        if status != 200:
            raise StoreError(f"{path}: unexpected status {status}")
        return data, era

    def note_era(self, era):
        """Record an era (int) of the store, as this or another daemon has read it."""
        previous, self.era = self.era, max(self.era, era)
        is_first, self._era_known = not self._era_known, True
        if self.era > previous and not is_first:
            self.on_restored(self.era, previous)

    def _read_era(self, value):
        """Return the era (int) that a response states.

        The last one that is known stands in for one that is missing or not a number.
        """
        if value is None:
            return self.era
        try:
            era = parse_integer(value, ERA, MAX_ERA)
        except CodecError:
            if value != self._unreadable_era:
                self._unreadable_era = value
                log_event(
                    LogEvent.STORE_ERA_UNREADABLE, value=value[:MAX_LOGGED_CHARACTERS]
                )
            return self.era
        self.note_era(era)
        return era
