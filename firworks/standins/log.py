"""A small stand-in for the platform's log service, for tests and demonstrations.

Streams are append-only lists of byte strings with offsets. Records are dropped by
age. Faults are set from Python or by ``POST /admin/faults``.
"""

import asyncio
import time

import cbor2
from aiohttp import web

from firworks.kernel.messages import Struct

READ_LIMIT_ENTRIES = 500


class LogFaults(Struct):
    """Faults injected into the stand-in.

    Attributes:
        down (bool): Every append and read fails.
        slow_ms (float): Delay before each append and read.
        lose (int): Number of next appends that take effect without a response.
        late (int): Number of next appends that fail and take effect later.
        late_ms (float): Delay of these appends.
        double (int): Number of next appends that take effect twice.
    """

    __slots__ = ("down", "slow_ms", "lose", "late", "late_ms", "double")
    DEFAULTS = {
        "down": False,
        "slow_ms": 0.0,
        "lose": 0,
        "late": 0,
        "late_ms": 100.0,
        "double": 0,
    }

    def take(self, name):
        """Decrement a counted fault; return whether it was above zero."""
        left = getattr(self, name)
        setattr(self, name, max(0, left - 1))
        return left > 0


class StreamStore:
    """One stream: retained entries as (offset, written_s, data)."""

    __slots__ = ("entries", "head")

    def __init__(self):
        self.entries = []
        self.head = 0

    def append(self, data, wall_s):
        """Store bytes and return their offset."""
        offset = self.head
        self.entries.append((offset, wall_s, data))
        self.head += 1
        return offset

    def trim(self, before_s):
        """Drop the entries written before a wall time."""
        keep = 0
        while keep < len(self.entries) and self.entries[keep][1] < before_s:
            keep += 1
        del self.entries[:keep]

    @property
    def oldest(self):
        """The oldest retained offset; the head when nothing is retained."""
        return self.entries[0][0] if self.entries else self.head

    def read(self, offset, limit):
        """Return up to `limit` entries from `offset` on."""
        start = max(0, offset - self.oldest)
        return self.entries[start : start + limit]


class LogStore:
    """All streams of the stand-in.

    Args:
        retention_s (float): Age at which entries are dropped.
        clock (callable): Returns the wall time in seconds.
    """

    def __init__(self, retention_s=604_800.0, clock=time.time):
        self.retention_s = retention_s
        self._clock = clock
        self._streams = {}

    def stream(self, name):
        """Return the named stream, trimmed to its retention."""
        store = self._streams.setdefault(name, StreamStore())
        store.trim(self._clock() - self.retention_s)
        return store

    def append(self, name, data):
        """Store bytes in a stream and return their offset."""
        return self.stream(name).append(data, self._clock())


class LogStandin:
    """The HTTP service, by default on an ephemeral port.

    Args:
        retention_s (float): Age at which entries are dropped.
        clock (callable): Returns the wall time in seconds.
    """

    def __init__(self, retention_s=604_800.0, clock=time.time):
        self.store = LogStore(retention_s, clock)
        self.faults = LogFaults()
        self.appends = 0
        self._runner = None
        self._late = set()

    async def start(self, host="127.0.0.1", port=0):
        """Listen and return the base URL."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/streams/{stream}", self._append)
        app.router.add_get("/streams/{stream}", self._read)
        app.router.add_post("/admin/faults", self._set_faults)
        app.router.add_get("/admin/faults", self._show_faults)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        address = self._runner.addresses[0]
        return f"http://{address[0]}:{address[1]}"

    async def stop(self):
        """Stop listening; delayed appends are dropped."""
        for task in list(self._late):
            task.cancel()
        await self._runner.cleanup()

    async def _append(self, request):
        stream = request.match_info["stream"]
        data = await request.read()
        await self._delay()
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="log service is down")
        if self.faults.take("late"):
            self._append_late(stream, data)
            return _cut(request)
        offset = self._store(stream, data)
        if self.faults.take("lose"):
            return _cut(request)
        return web.json_response({"offset": offset})

    def _store(self, stream, data):
        self.appends += 1
        offset = self.store.append(stream, data)
        if self.faults.take("double"):
            self.store.append(stream, data)
        return offset

    def _append_late(self, stream, data):
        task = asyncio.ensure_future(self._store_later(stream, data))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _store_later(self, stream, data):
        await asyncio.sleep(self.faults.late_ms / 1000)
        self._store(stream, data)

    async def _read(self, request):
        await self._delay()
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="log service is down")
        store = self.store.stream(request.match_info["stream"])
        try:
            offset = int(request.query.get("offset", store.oldest))
            limit = int(request.query.get("limit", READ_LIMIT_ENTRIES))
        except ValueError:
            raise web.HTTPBadRequest(text="offset and limit are integers") from None
        entries = store.read(offset, min(limit, READ_LIMIT_ENTRIES))
        body = {"oldest": store.oldest, "head": store.head, "entries": entries}
        return web.Response(body=cbor2.dumps(body), content_type="application/cbor")

    async def _delay(self):
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)

    async def _set_faults(self, request):
        try:
            changes = await request.json()
            self.faults = self.faults.replace(**changes)
        except (ValueError, TypeError) as error:
            raise web.HTTPBadRequest(text=str(error)) from None
        return await self._show_faults(request)

    async def _show_faults(self, request):
        names = self.faults.fields()
        shown = dict(zip(names, self.faults.values(), strict=True))
        return web.json_response(shown)


def _cut(request):
    """Close the caller's connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
