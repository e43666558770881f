"""Tests that no request gets a response to another one on the same connection."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.gateway.connections import TargetConnections
from firworks.gateway.exchanges import Exchange
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.outcomes import AttemptError
from firworks.standins.web import LOOPBACK

HEAD_END = b"\r\n\r\n"
CLOSE = object()
# Time-outs for a response that will arrive, and for one that may never arrive.
TIMEOUT_S = 20.0
SHORT_TIMEOUT_S = 0.05


def make_response(request_id, body=b"body", chunked=False, status=200):
    """Return the bytes of a valid response."""
    head = f"HTTP/1.1 {status} OK\r\nX-Request-Id: {request_id}\r\n"
    if chunked:
        part = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + part
    return head.encode() + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class ScriptedTarget:
    """HTTP server that replies to each request with the parts given in a script.

    Args:
        script (list of list): For each request, the parts (bytes) to write in order;
            ``CLOSE`` aborts the connection.
    """

    def __init__(self, script):
        self._script = iter(script)
        self._server = None
        self.target = None

    async def start(self):
        """Start to listen on a free port and set ``target``."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.target = Target(
            "t", "loans", f"{LOOPBACK}:{port}", "fd-1", "", 1, False, 0, 0.0
        )

    def stop(self):
        """Close the listener."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                await reader.readuntil(HEAD_END)
                for part in next(self._script, ()):
                    if part is CLOSE:
                        writer.transport.abort()
                        return
                    writer.write(part)
                    await writer.drain()
                    # Lets the client read this part separately.
                    await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the client closed the connection
        finally:
            writer.close()


async def send_request(connections, target, request_id, limit_s):
    """Return the body of the response to a request, or None.

    One response with another id is skipped, as for non-repeatable requests.
    """
    loop = asyncio.get_running_loop()
    exchange = Exchange(connections, target, loop.time)
    head = b"GET / HTTP/1.1\r\nX-Request-Id: " + request_id.encode() + HEAD_END
    try:
        async with asyncio.timeout(limit_s):
            await exchange.send(head)
            if exchange.headers.get("X-Request-Id") != request_id:
                await exchange.skip_response()
            if exchange.headers.get("X-Request-Id") != request_id:
                exchange.abort()
                return None
            body = await exchange.read_all()
    except (AttemptError, TimeoutError):
        exchange.abort()
        return None
    exchange.finish()
    return body


def run_script(script, requests, limit_s=TIMEOUT_S):
    """Send requests in sequence; return the body that each received, or None."""

    async def run():
        server = ScriptedTarget(script)
        await server.start()
        connections = TargetConnections()
        try:
            return [
                await send_request(connections, server.target, name, limit_s)
                for name in requests
            ]
        finally:
            connections.close()
            server.stop()

    return asyncio.run(run())


class TestDuplicateResponses:
    RESPONSE = make_response("a", b"of a")

    @pytest.mark.parametrize("split_at", range(0, len(RESPONSE) + 1, 3))
    def test_split_duplicate_reaches_no_other_request(self, split_at):
        first, second = self.RESPONSE[:split_at], self.RESPONSE[split_at:]
        next_response = make_response("b", b"of b")
        bodies = run_script(
            [[self.RESPONSE + first], [second + next_response], [next_response]],
            ["a", "b"],
        )
        assert bodies[0] == b"of a" and bodies[1] in (b"of b", None)

    @pytest.mark.parametrize("split_at", range(0, len(RESPONSE) + 1, 3))
    def test_duplicate_after_the_next_request_is_skipped(self, split_at):
        first, second = self.RESPONSE[:split_at], self.RESPONSE[split_at:]
        next_response = make_response("b", b"of b")
        bodies = run_script(
            [[self.RESPONSE], [first, second, next_response], [next_response]],
            ["a", "b"],
        )
        assert bodies == [b"of a", b"of b"]


PARTS = st.sampled_from(
    [
        make_response("a", b"of a"),
        make_response("b", b"of b"),
        make_response("b", b"of b", chunked=True),
        make_response("c", b"of c"),
        make_response("c", b"of c", status=500),
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nX-Request-Id: a\r\n\r\n",
        b"\x00\x17 no answer\r\n\r\n",
        b"\r\n\r\n",
        b"surplus",
    ]
)


@st.composite
def make_scripts(draw):
    """Draw the parts that a target sends for each of three requests."""
    script = []
    for _ in range(3):
        data = b"".join(draw(st.lists(PARTS, max_size=3)))
        split_points = sorted(draw(st.lists(st.integers(0, len(data)), max_size=3)))
        bounds = [0, *split_points, len(data)]
        parts = [
            data[begin:end] for begin, end in zip(bounds, bounds[1:], strict=False)
        ]
        if draw(st.booleans()):
            parts.append(CLOSE)
        script.append(parts)
    return script


class TestMixedResponses:
    @given(make_scripts())
    def test_each_request_gets_its_own_complete_response_or_none(self, script):
        for name, body in zip(
            "abc", run_script(script, "abc", SHORT_TIMEOUT_S), strict=True
        ):
            assert body in (None, b"of " + name.encode(), b"")
            if body == b"":
                assert name == "a"
