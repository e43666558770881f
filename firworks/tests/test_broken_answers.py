"""Tests that callers get no part of a broken or invalid response as a whole one."""

import asyncio
from functools import partial
from itertools import count

import aiohttp
import pytest

from firworks.platform.store import CONFIGURATION_TOPIC, StoreError
from firworks.plugins.target_calls import TargetSessions
from firworks.standins.platform_targets import (
    EVENTS,
    STAMP,
    PlatformEngine,
    PlatformStage,
    PlatformTarget,
    end_connection,
    make_event,
)
from firworks.standins.web import LOOPBACK
from firworks.tests.gateway_process import Caller
from firworks.tests.gateway_testbed import PROMPT, make_configuration, play, wait_until

HEAD_END = b"\r\n\r\n"
PART = b"part of the response"
ERROR = b"error: first line\n\nid: 4\ndata: second line\n\n"
# More than the buffers of both ends of a connection hold.
UPLOAD_BYTES = 8_000_000
FRAMINGS = ("none", "close", "length", "chunks")
# How parts of a response end early, by its framing, the end of its connection, and the
# size of the upload. Without a length, the close of a connection ends it well.
CUT_SHORT = [
    (framing, end, size)
    for framing in FRAMINGS
    for end in ("reset", "half-closed", "closed")
    for size in (100, UPLOAD_BYTES)
    if size == UPLOAD_BYTES or end == "reset" or framing in ("length", "chunks")
]
PATHS = ("/stock/a", "/book/a", "/rules/a", "/once/a")


numbers = count()


def make_head(status, request_id, framing, length):
    """Return the head (bytes) of a response.

    Args:
        status (str): Its status.
        request_id (str): Id that it echoes.
        framing (str): One of ``FRAMINGS``.
        length (int): Length that it states with "length".
    """
    rows = [
        f"HTTP/1.1 {status} Status",
        f"X-Request-Id: {request_id}",
        f"X-Server-Stamp: {STAMP}",
        *{
            "none": (),
            "close": ("Connection: close",),
            "length": (f"Content-Length: {length}",),
            "chunks": ("Transfer-Encoding: chunked",),
        }[framing],
    ]
    return "\r\n".join(rows).encode() + HEAD_END


def frame_body(body, framing):
    """Return a complete body (bytes) as it is sent."""
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if framing == "chunks" else body


async def send_to(testbed, path, body=None):
    """Return (status, body) of a complete response, or (0, b"") of a broken one.

    No two requests share parts, so that none is held back for the failure of another.
    """
    prefix = f"{next(numbers):x}:30,b2:10"
    headers = {**PROMPT, "X-Prefix-Hash": prefix}
    try:
        status, _, answer = await testbed.send_request(
            path, "POST", body=body, **headers
        )
    except (aiohttp.ClientError, TimeoutError):
        return 0, b""
    return status, answer


def list_targets(testbed, cls=PlatformTarget):
    """Return the targets of a class, stages only if asked for."""
    return [
        target
        for target in testbed.targets.values()
        if isinstance(target, cls)
        and (cls is PlatformStage or not isinstance(target, PlatformStage))
    ]


# A target answered a long upload at once without a length, and reset the connection
# while the upload was still being written: its caller got a part as the whole.
class TestEarlyAnswers:
    async def answer(self, framing, end, writer, headers):
        """Send a part of a response before the body of the request was read."""
        head = make_head("200", headers["x-request-id"], framing, 10 * len(PART))
        part = PART
        if framing == "chunks":
            part = b"%x\r\n%b\r\n" % (len(PART), PART)
        writer.write(head + part)
        if end == "half-closed":
            writer.write_eof()
        await end_connection(writer, reset=end != "closed")

    async def make_parts(self, size):
        """Yield a body in parts, which is sent in chunks."""
        for _ in range(10):
            yield bytes(size // 10)

    @pytest.mark.parametrize(("framing", "end", "size"), CUT_SHORT)
    @pytest.mark.parametrize("chunked", [False, True], ids=["whole", "chunked"])
    def test_a_part_is_not_passed_on_as_whole(self, chunked, framing, end, size):
        async def scenario(testbed):
            configuration = make_configuration(2)
            configuration["limits"]["max-body-bytes"] = 2 * UPLOAD_BYTES
            testbed.store.put_configuration(configuration)
            (gateway,) = testbed.gateways
            await wait_until(lambda: gateway.configuration.version == 2)
            for target in list_targets(testbed):
                target.early = partial(self.answer, framing, end)
            for path in PATHS:
                upload = self.make_parts(size) if chunked else bytes(size)
                status, body = await send_to(testbed, path, upload)
                assert not 200 <= status < 300, (path, status, body)
                assert PART not in body

        play(scenario)


# A target sent a status that HTTP does not have, and its caller got it as an answer.
class TestStatuses:
    async def answer(self, status, framing, writer, line, headers, body):
        """Send a complete response with a status."""
        head = make_head(status, headers["x-request-id"], framing, len(ERROR))
        writer.write(head + frame_body(ERROR, framing))
        if framing in ("none", "close"):
            await end_connection(writer)

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize(
        "status",
        [
            *("000", "001", "099", "101", "199", "600", "601", "999", "1000"),
            *("20", "OK", "2x0", "-20", "+200", ""),
        ],
    )
    def test_an_invalid_status_is_a_failure_of_the_target(self, status, framing):
        async def scenario(testbed):
            for target in list_targets(testbed):
                target.serve = partial(self.answer, status, framing)
            for path in PATHS:
                got, body = await send_to(testbed, path, b"x")
                # Interim responses are valid, but none of the others follows.
                expected = (502, 504) if status in ("101", "199") else (502,)
                assert got in expected, (path, got, body)
                assert ERROR not in body

        play(scenario)

    @pytest.mark.parametrize("status", ["000", "600", "999"])
    def test_a_request_that_may_be_repeated_is_answered_by_another_target(self, status):
        async def scenario(testbed):
            for target_id in ("loans-1", "engine-1"):
                target = testbed.targets[target_id]
                target.serve = partial(self.answer, status, "length")
            for number in range(4):
                for path in (f"/stock/{number}", f"/rules/{number}"):
                    assert (await send_to(testbed, path, b"x"))[0] == 200

        play(scenario)

    @pytest.mark.parametrize("status", ["200", "404", "500", "599"])
    def test_a_valid_status_is_passed_on(self, status):
        async def scenario(testbed):
            for target in list_targets(testbed):
                target.serve = partial(self.answer, status, "length")
            assert (await send_to(testbed, "/stock/a", b"x")) == (int(status), ERROR)

        play(scenario)


# A target stopped in the middle of its answer's head and closed: its caller got a 200
# with an empty or short body, framed as whole.
class TestCutHeads:
    HEAD = make_head("200", "ID", "length", len(PART))
    CUTS = (
        *(b"H", b"HTTP/1.1", b"HTTP/1.1 200", b"HTTP/1.1 200 Status\r\n"),
        *(b"HTTP/1.1 200 Status\r\nX-Req", HEAD[:-4], HEAD[:-2], HEAD[:-1]),
        *(b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\n\r\n" + HEAD[:-4]),
    )

    async def answer(self, cut, end, writer, line, headers, body):
        """Send a part of a head and end the connection."""
        writer.write(cut.replace(b"ID", headers["x-request-id"].encode()))
        await end_connection(writer, reset=end == "reset")

    @pytest.mark.parametrize("end", ["reset", "closed"])
    def test_a_part_of_a_head_is_no_response(self, end):
        async def scenario(testbed):
            for cut in self.CUTS:
                for target in list_targets(testbed):
                    target.serve = partial(self.answer, cut, end)
                for path in PATHS:
                    status, _ = await send_to(testbed, path, b"x")
                    assert status not in range(200, 300), (cut, path, status)

        play(scenario)

    @pytest.mark.parametrize("end", ["reset", "closed"])
    def test_a_call_of_a_stage_is_repeated_at_another_target(self, end):
        async def scenario(testbed):
            headers = {**PROMPT, "X-Pieces": "2,3", "X-Piece-Key": "k"}
            answer = self.answer_stage
            for cut in self.CUTS:
                testbed.targets["repair-1"].serve = partial(answer, cut, end)
                status, _, body = await testbed.send_request(
                    "/advice/a", "POST", **headers
                )
                assert (status, body.count(b"id:")) == (200, EVENTS), cut

        play(scenario)

    async def answer_stage(self, cut, end, writer, line, headers, body):
        writer.write(cut)
        await end_connection(writer, reset=end == "reset")


# A stream had begun and broke off; the next target answered with an error. Callers
# found its text in the middle of their stream, or the stream ended as if complete.
class TestResumedStreams:
    async def begin(self, gate, writer, line, headers, body):
        """Send two events, and break off in the third one once the gate opens."""
        head = make_head("200", headers["x-request-id"], "chunks", 0)
        events = [make_event(number, "v1") for number in (1, 2, 3)]
        data = events[0] + events[1]
        writer.write(head + b"%x\r\n%b\r\n" % (len(data), data))
        await gate.wait()
        part = events[2][: self.torn_at]
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if part else b"")
        await end_connection(writer, reset=True)

    async def fail(self, status, framing, writer, line, headers, body):
        """Answer the attempt that goes on with an error, with text of its own."""
        text = b"" if status == "204" else ERROR
        head = make_head(status, headers["x-request-id"], framing, len(text))
        head = head.replace(HEAD_END, b"\r\nContent-Type: text/plain" + HEAD_END)
        if status == "302":
            head = head.replace(HEAD_END, b"\r\nLocation: /rules/b" + HEAD_END)
        writer.write(head + frame_body(text, framing))
        if framing in ("none", "close"):
            await end_connection(writer)

    @pytest.mark.parametrize("torn_at", [0, -4], ids=["between events", "inside one"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize(
        "status", ["200", "201", "204", "302", "400", "404", "500", "502", "503", "600"]
    )
    @pytest.mark.parametrize("path", ["/rules/a", "/once/a"])
    def test_no_byte_of_an_error_reaches_the_caller(
        self, path, status, framing, torn_at
    ):
        self.torn_at = torn_at

        async def scenario(testbed):
            gate = asyncio.Event()
            engines = list_targets(testbed, PlatformEngine)
            for target in engines:
                target.serve = partial(self.begin, gate)
            async with Caller(testbed.gateways[0].callers.port) as caller:
                caller.send(path, **PROMPT)
                assert (await caller.read_head())[0] == 200
                begun = await caller.read_until(make_event(2, "v1"))
                for target in engines:
                    target.serve = partial(self.fail, status, framing)
                gate.set()
                rest = await caller.read_rest()
            assert begun.count(b"id: ") == 2
            assert b"error" not in rest and b"second line" not in rest
            assert b"HTTP/1.1" not in rest and b"id:" not in rest
            assert not rest.endswith(b"0\r\n\r\n")

        play(scenario)


class RawServer:
    """Server that answers each request with some bytes and ends the connection.

    Args:
        data (bytes): The bytes.
        reset (bool): The connection is reset.
    """

    def __init__(self, data, reset):
        self._data = data
        self._reset = reset
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(HEAD_END)
        writer.write(self._data)
        await end_connection(writer, self._reset)


# Clients of the store, and of the targets of firworksd, took what came before a reset
# as a whole response without a length.
class TestClients:
    LISTING = b'{"entries": [], "end": 0}'

    RESPONSES = pytest.mark.parametrize(
        ("data", "reset"),
        [
            (b"HTTP/1.1 200 OK\r\n\r\n" + LISTING, True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + LISTING, False),
            (b"HTTP/1.1 200 OK\r\nContent-", False),
            (b"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}", False),
            (b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", False),
        ],
        ids=["unframed reset", "short", "cut head", "status 600", "status 000"],
    )

    @RESPONSES
    def test_a_broken_response_of_the_store_is_an_error(self, data, reset):
        async def scenario(testbed):
            store = testbed.gateways[0].store
            async with RawServer(data, reset) as address:
                base, store._base = store._base, f"http://{address}"
                try:
                    with pytest.raises(StoreError):
                        await store.list_newest(CONFIGURATION_TOPIC)
                finally:
                    store._base = base

        play(scenario)

    @RESPONSES
    def test_a_broken_response_of_a_target_is_an_error(self, data, reset):
        async def scenario(testbed):
            sessions = TargetSessions(1.0)
            async with RawServer(data, reset) as address:
                for session in (sessions.get(address), sessions.open_single_use()):
                    with pytest.raises(aiohttp.ClientError):
                        async with session.post(f"http://{address}/call") as response:
                            await response.read()
                    await session.close()

        play(scenario)
