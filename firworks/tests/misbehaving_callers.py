"""Callers that misbehave on raw connections: endless, stalled, slow, or not reading."""

import asyncio
import os
from contextlib import asynccontextmanager, suppress

from firworks.standins.web import LOOPBACK
from firworks.tests.gateway_testbed import HOST, KEY

# A caller counts as settled when it can write nothing for this long.
STUCK_S = 0.5
# Limits the bytes that one caller sends without an end.
MAX_SENT_BYTES = 12_000_000
WRITE_BYTES = 65_536
SLOW_PAUSE_S = 0.02
# A caller that is disconnected connects again, up to this many connections.
CONNECTIONS = 6
BODY_LIMIT_BYTES = 4_194_304


def count_descriptors(child):
    """Return the number (int) of open descriptors of a process (Process)."""
    return len(os.listdir(f"/proc/{child.pid}/fd"))


def make_head(path, method="POST", **fields):
    """Return the head (bytes) of a request with a valid key, without its empty line."""
    rows = {
        "Host": HOST,
        "X-Request-Id": "misbehaving",
        "X-Deadline-Ms": "60000",
        "Authorization": f"Bearer {KEY}",
        **fields,
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in rows.items())]
    return "\r\n".join(lines).encode() + b"\r\n"


def make_chunked_head(path):
    """Return the complete head (bytes) of a request with a chunked body."""
    return make_head(path, Transfer_Encoding="chunked").replace(b"_", b"-") + b"\r\n"


def make_length_head(path, length):
    """Return the complete head (bytes) of a request with a body of some bytes."""
    return make_head(path, **{"Content-Length": length}) + b"\r\n"


def list_pieces(data, size):
    """Return the pieces (list of bytes) of some size that data consists of."""
    return [data[start : start + size] for start in range(0, len(data), size)]


def repeat(part):
    """Yield a part (bytes) again and again, joined to larger writes."""
    joined = part * max(1, WRITE_BYTES // len(part))
    for _ in range(MAX_SENT_BYTES // len(joined)):
        yield joined


def send_body_in_one_piece(path):
    """Yield a legal body that lacks its last byte."""
    yield make_length_head(path, BODY_LIMIT_BYTES) + bytes(BODY_LIMIT_BYTES - 1)


def send_body_in_pieces(path):
    """Yield the same body in pieces of 4 KB."""
    yield make_length_head(path, BODY_LIMIT_BYTES)
    yield from list_pieces(bytes(BODY_LIMIT_BYTES - 1), 4_096)


def send_body_in_chunks(path):
    """Yield the same body in chunks, without the chunk that ends it."""
    yield make_chunked_head(path)
    for piece in list_pieces(bytes(BODY_LIMIT_BYTES - 1), 4_096):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


def send_body_over_limit(path):
    """Yield a body of a length far over the limit."""
    yield make_length_head(path, 1 << 40)
    yield from repeat(b"0123456789")


def send_endless_chunks(path):
    """Yield a chunked body without an end."""
    yield make_chunked_head(path)
    yield from repeat(b"1000\r\n" + bytes(4_096) + b"\r\n")


def send_small_chunks(path):
    """Yield a body in chunks of one byte."""
    yield make_chunked_head(path)
    yield from repeat(b"1\r\nx\r\n")


def send_trailers(path):
    """Yield trailers without an end."""
    yield make_chunked_head(path) + b"1\r\nx\r\n0\r\n"
    yield from repeat(b"X-Filler: 0123456789\r\n")


def send_request_line(path):
    """Yield a request line without an end."""
    yield f"GET {path}".encode()
    yield from repeat(b"0123456789")


def send_garbage(path):
    """Yield bytes that are no request, without an end."""
    yield from repeat(b"\x00\x17 no request\r\n\r\n")


def send_fields(path):
    """Yield heads of 2,500 short fields, one request after the other."""
    fields = b"".join(b"%x:\r\n" % number for number in range(2_500))
    yield from repeat(make_head(path, "GET") + fields + b"\r\n")


def send_endless_head(path):
    """Yield fields without the end of the head."""
    yield make_head(path, "GET")
    yield from repeat(b"X-Filler: 0123456789\r\n")


def send_pipelined(path):
    """Yield 2,000 requests whose responses are not read."""
    yield from [(make_head(path, "GET") + b"\r\n") * 20] * 100


def send_slowly(path):
    """Yield a head byte by byte."""
    yield from list_pieces(make_head(path, "GET"), 1)


def send_body_slowly(path):
    """Yield a body byte by byte."""
    yield make_length_head(path, 1_000)
    yield from [b"x"] * 150


def send_upgrade(path):
    """Yield a request to change the protocol, and bytes of that protocol."""
    upgrade = {"Connection": "Upgrade", "Upgrade": "websocket"}
    yield make_head(path, "GET", **upgrade) + b"\r\n"
    yield from repeat(b"0123456789")


def send_nothing(path):
    """Yield nothing."""
    yield from ()


SLOW = (send_slowly, send_body_slowly)


class MisbehavingCaller:
    """Sends what a function yields and reads nothing; reconnects when disconnected.

    Args:
        port (int): Port to connect to.
        path (str): Path of its requests.
        behavior (callable): ``behavior(path)`` yields what to send (bytes).

    Attributes:
        settled (bool): It sent everything, can send no more, or was disconnected.
    """

    def __init__(self, port, path, behavior):
        self._port, self._path = port, path
        self._behavior = behavior
        self.settled = False

    async def run(self):
        """Send until cancelled; keep the last connection open afterwards."""
        for _ in range(CONNECTIONS):
            with suppress(OSError):
                await self._use_connection()
        self.settled = True

    async def _use_connection(self):
        _, writer = await asyncio.open_connection(
            LOOPBACK, self._port, limit=WRITE_BYTES
        )
        # Nothing is read from the socket, so that the sender's buffer fills.
        writer.transport.pause_reading()
        try:
            await self._send(writer)
            self.settled = True
            await asyncio.Event().wait()
        finally:
            writer.transport.abort()

    async def _send(self, writer):
        for part in self._behavior(self._path):
            writer.write(part)
            try:
                async with asyncio.timeout(STUCK_S):
                    await writer.drain()
            except TimeoutError:
                self.settled = True
                await writer.drain()
            await asyncio.sleep(SLOW_PAUSE_S if self._behavior in SLOW else 0)


@asynccontextmanager
async def misbehave(ports, path, behavior, count):
    """Run callers, spread over ports; yield them once all have settled.

    Args:
        ports (list of int): Where they connect.
        path (str): Path of their requests.
        behavior (callable): What each of them sends; see `MisbehavingCaller`.
        count (int): Number of callers.
    """
    callers = [
        MisbehavingCaller(ports[number % len(ports)], path, behavior)
        for number in range(count)
    ]
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    try:
        while not all(caller.settled for caller in callers):
            await asyncio.sleep(0.05)
        yield callers
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
