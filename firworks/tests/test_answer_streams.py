"""Any mix and split of answers on one connection: each request gets its own or none."""

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
# Ends a wait for an answer that will come, and for one that may never come.
LIMIT_S = 20.0
SILENT_S = 0.05


def make_answer(request_id, body=b"body", chunked=False, status=200):
    """Return the bytes of a sound answer."""
    head = f"HTTP/1.1 {status} OK\r\nX-Request-Id: {request_id}\r\n"
    if chunked:
        part = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + part
    return head.encode() + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class ScriptedTarget:
    """Sends, for each request that it reads, the parts that a script holds for it.

    Args:
        script (list of list): For each request, bytes to write one after the other, or
            ``CLOSE``.
    """

    def __init__(self, script):
        self._script = iter(script)
        self._server = None
        self.target = None

    async def start(self):
        """Open the listener."""
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
                    # Lets the other end read this part by itself.
                    await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the other end has closed
        finally:
            writer.close()


async def ask(connections, target, request_id, limit_s):
    """Return the body of a request's own answer, or None.

    An answer under another id is passed over once, as for work that may not repeat.
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


def play(script, requests, limit_s=LIMIT_S):
    """Return what each of some requests got, sent one after the other."""

    async def run():
        server = ScriptedTarget(script)
        await server.start()
        connections = TargetConnections()
        try:
            return [
                await ask(connections, server.target, name, limit_s)
                for name in requests
            ]
        finally:
            connections.close()
            server.stop()

    return asyncio.run(run())


class TestDuplicateResponses:
    COPY = make_answer("a", b"of a")

    @pytest.mark.parametrize("cut", range(0, len(COPY) + 1, 3))
    def test_split_duplicate_reaches_no_other_request(self, cut):
        first, second = self.COPY[:cut], self.COPY[cut:]
        own = make_answer("b", b"of b")
        got = play([[self.COPY + first], [second + own], [own]], ["a", "b"])
        assert got[0] == b"of a" and got[1] in (b"of b", None)

    @pytest.mark.parametrize("cut", range(0, len(COPY) + 1, 3))
    def test_duplicate_after_the_next_request_is_skipped(self, cut):
        first, second = self.COPY[:cut], self.COPY[cut:]
        own = make_answer("b", b"of b")
        got = play([[self.COPY], [first, second, own], [own]], ["a", "b"])
        assert got == [b"of a", b"of b"]


PARTS = st.sampled_from(
    [
        make_answer("a", b"of a"),
        make_answer("b", b"of b"),
        make_answer("b", b"of b", chunked=True),
        make_answer("c", b"of c"),
        make_answer("c", b"of c", status=500),
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nX-Request-Id: a\r\n\r\n",
        b"\x00\x17 no answer\r\n\r\n",
        b"\r\n\r\n",
        b"surplus",
    ]
)


@st.composite
def make_scripts(draw):
    """Draw what a target sends for each of some requests."""
    script = []
    for _ in range(3):
        data = b"".join(draw(st.lists(PARTS, max_size=3)))
        cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=3)))
        bounds = [0, *cuts, len(data)]
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
        for name, body in zip("abc", play(script, "abc", SILENT_S), strict=True):
            assert body in (None, b"of " + name.encode(), b"")
            if body == b"":
                assert name == "a"
