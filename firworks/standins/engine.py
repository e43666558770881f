"""Stand-in for a model engine that streams tokens derived from the prompt."""

import asyncio
import json
from collections import OrderedDict, deque

from aiohttp.web import StreamResponse, get, json_response, post
from xxhash import xxh3_64_intdigest

from firworks.kernel.prompts import hash_prefix
from firworks.standins.engine_orders import EngineOrders
from firworks.standins.web import TargetFaults, WebStandin, wait_for_ever

IDENTITY_HEADER = "Firworks-Call"
VOCABULARY = 50_000
CACHE_BLOCKS = 4096
CACHE_EVENTS = 1024
KEEPALIVE_S = 0.25


class StandinEngine(WebStandin):
    """Streams ``tokens`` tokens, which depend on the prompt only.

    Args:
        name (str): The engine's name.
        port (int): Port to listen on; 0 for any free port.
        tokens (int): Length of each complete response.
        interval_s (float): Interval between tokens.

    Attributes:
        faults (TargetFaults): Faults to inject.
        runs (list of str): Identity of each call that was started.
        cancelled (list of str): Identity of each call whose caller disconnected.
        orders (EngineOrders): Handles orders to load models.
    """

    def __init__(self, name, port=0, tokens=24, interval_s=0.0):
        super().__init__(port)
        self.name = name
        self.tokens = tokens
        self.interval_s = interval_s
        self.faults = TargetFaults()
        self.runs = []
        self.cancelled = []
        self.running = 0
        self.cache = BlockCache()
        self.orders = EngineOrders()

    def make_routes(self):
        """Return the routes."""
        return [
            get("/load", self._get_load),
            post("/v1/generate", self._post_generate),
            *self.orders.make_routes(),
        ]

    async def _get_load(self, request):
        report = {"running": self.running, "queued": 0}
        since = int(request.query.get("since", 0))
        return json_response({**report, **self.cache.report(since)})

    async def _post_generate(self, request):
        if self.faults.take("refuse"):
            return json_response({"error": "busy"}, status=429)
        body = await request.json()
        identity = request.headers.get(IDENTITY_HEADER, "")
        self.runs.append(identity)
        self.running += 1
        try:
            return await self._stream(request, body, identity)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled.append(identity)
            raise
        finally:
            self.running -= 1

    async def _stream(self, request, body, identity):
        response = StreamResponse(headers={"Content-Type": "text/event-stream"})
        if self.faults.take("mismatch"):
            identity = "another/call/0/1"
        await response.prepare(request)
        if self.faults.take("stall"):
            await wait_for_ever()
        await self._delay(response)
        self.cache.hold(hash_prefix(body.get("model", ""), body["prompt"]))
        start = len(body.get("resume", []))
        gap_at = self.faults.take_value("gap_at")
        cut_after = self.faults.take_value("cut_after") or self.tokens + 1
        for offset in range(start, self.tokens):
            if offset - start >= cut_after:
                request.transport.abort()
                raise ConnectionError("the stream was cut")
            if gap_at and offset == gap_at:
                continue
            token = make_token(body["prompt"], offset)
            await self._send(
                response, {"call": identity, "offset": offset, "tokens": [token]}
            )
            if self.interval_s:
                await asyncio.sleep(self.interval_s)
        if self.faults.take("reset"):
            request.transport.abort()
            raise ConnectionError("the stream was reset")
        await self._send(
            response, {"call": identity, "done": True, "count": self.tokens}
        )
        await response.write_eof()
        return response

    async def _delay(self, response):
        """Delay a response like a queued request, with keep-alive comments."""
        left_s = self.faults.delay_s
        while left_s > 0:
            await asyncio.sleep(min(left_s, KEEPALIVE_S))
            left_s -= KEEPALIVE_S
            await response.write(b": queued\n")

    async def _send(self, response, event):
        data = f"data: {json.dumps(event)}\n\n".encode()
        await response.write(data * 2 if self.faults.repeat else data)


class BlockCache:
    """Prompt cache of limited size (LRU), and its latest events."""

    def __init__(self):
        self._blocks = OrderedDict()
        self._events = deque(maxlen=CACHE_EVENTS)
        self._number = 0

    def hold(self, blocks):
        """Cache blocks; evict the least recently used ones."""
        for block in blocks:
            if block not in self._blocks:
                self._record("cached", block)
            self._blocks[block] = True
            self._blocks.move_to_end(block)
        while len(self._blocks) > CACHE_BLOCKS:
            block, _ = self._blocks.popitem(last=False)
            self._record("evicted", block)

    def report(self, since):
        """Return the events after a sequence number, as fields of a load report."""
        events = [event for event in self._events if event[0] > since]
        first = events[0][0] - 1 if events else self._number
        report = {"first": first, "sequence": self._number}
        for kind in ("cached", "evicted"):
            report[kind] = [block.hex() for _, k, block in events if k == kind]
        return report

    def _record(self, kind, block):
        self._number += 1
        self._events.append((self._number, kind, block))


def make_token(prompt, offset):
    """Return the token at an offset of the response to a prompt."""
    number = xxh3_64_intdigest(f"{prompt}\0{offset}".encode()) % VOCABULARY
    return f"w{number} "
