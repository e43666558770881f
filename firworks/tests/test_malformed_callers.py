"""Tests that malformed requests cost no more than their own connection."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firworks.codes import Code
from firworks.kernel.callers import RAN_YES, FinishResponse, RequestArrived
from firworks.plugins.http_callers import HttpCallers
from firworks.settings import make_settings

# Turns of the loop in which a server that needs no more bytes has answered.
TURNS = 60
BODY_LIMIT = 4_096
HEADER_LIMIT = 1_024


class FakeDaemon:
    """Answers each request that reaches the kernel, after checking its form."""

    def __init__(self, **changes):
        table = {
            "name": "d1",
            "log_url": "http://127.0.0.1:1",
            "vms_url": "http://127.0.0.1:1",
            "callers": "127.0.0.1:0",
            "body_limit_bytes": BODY_LIMIT,
            "header_limit_bytes": HEADER_LIMIT,
        }
        self.settings = make_settings({**table, **changes})
        self.incarnation = "d1.a"
        self.problems = []
        self.ingress = None
        self.callers = HttpCallers(self)

    def feed(self, event):
        for value in event.values():
            if isinstance(value, str):
                try:
                    value.encode()
                except UnicodeEncodeError:
                    self.problems.append(event)
        request_id = event.values()[0]
        if isinstance(event, RequestArrived):
            if not 0 <= event.deadline_ms <= 600_000:
                self.problems.append(event)
            answer = FinishResponse(request_id, Code.OK, RAN_YES, body=event.body)
        else:
            answer = FinishResponse(request_id, Code.UNKNOWN_RESULT, "no")
        self.callers.carry_out(answer)


@asynccontextmanager
async def connect(daemon):
    """Yield a reader and writer of a fresh connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", daemon.callers.port)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


def build_request(method="POST", path="/v1/pipelines/ask", headers=(), body=b"{}"):
    """Return the bytes of a request; well formed with the default arguments."""
    lines = [f"{method} {path} HTTP/1.1".encode(), b"Host: x"]
    lines += [b"%s: %s" % header for header in headers]
    if not any(name.lower() == b"content-length" for name, _ in headers):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def read_answer(reader):
    """Return the status and JSON of one whole answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split()[1])
    lengths = [
        int(line.split(b":")[1])
        for line in head.splitlines()
        if line.lower().startswith(b"content-length:")
    ]
    return status, json.loads(await reader.readexactly(lengths[0]))


async def check_good_request(connection):
    """Check that a well-formed request on another connection is answered."""
    reader, writer = connection
    writer.write(build_request(body=b'{"ask": 1}'))
    status, table = await read_answer(reader)
    assert (status, table["code"], table["answer"]) == (200, Code.OK, {"ask": 1})


async def send_malformed(daemon, data):
    """Send bytes, close the sending side, and return all that came back."""
    async with connect(daemon) as (reader, writer):
        try:
            writer.write(data)
            for _ in range(TURNS):
                await asyncio.sleep(0)
            writer.write_eof()
            return await reader.read()
        except ConnectionError:
            return b""


def check_refusal(data, sent):
    """Check that bytes from the server are nothing or answers with codes.

    An answer to HEAD has a status and no body. A refusal of a request that may be a
    resend of its key does not say what became of the key.
    """
    head_only = sent.startswith(b"HEAD")
    keyed = b"idempotency-key" in sent.lower()
    while data and not head_only:
        head, _, rest = data.partition(b"\r\n\r\n")
        if b"100 Continue" in head:
            data = rest
            continue
        status = int(head.split()[1])
        if status == 200:
            return
        table, end = json.JSONDecoder().raw_decode(rest.decode())
        data = rest.decode()[end:].encode()
        assert 2000 <= Code(table["code"]) < 3000
        parsed = table.get("detail") != "the request is not valid HTTP"
        assert table["ran"] == ("unknown" if keyed and parsed else "no")


NAMES = st.sampled_from(
    [
        *(b"Authorization", b"Idempotency-Key", b"Firworks-Deadline-Ms", b"Accept"),
        *(b"Firworks-Key-Issued", b"Content-Length", b"Transfer-Encoding"),
        *(b"Expect", b"Connection", b"Upgrade", b"Content-Encoding", b"Host"),
    ]
)
LATIN = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=20)
FIELD_VALUES = LATIN.map(lambda text: text.encode("latin-1")) | st.sampled_from(
    [
        *(b"chunked", b"100-continue", b"gzip", b"close", b"websocket", b"-1", b"+1"),
        *(b"Bearer \xff\xfe", b"a" * 2 * HEADER_LIMIT, b"9" * 40, b"0x10", b"1e3"),
        *(b"text/event-stream", b"chunked, chunked", b"\x00", b" \r\n folded", b"\xd9"),
    ]
)
BODIES = st.binary(max_size=40) | st.sampled_from(
    [
        *(b"", b"{", b"[" * 3_000, b"1" * 4_000, b'"\\ud800"', b"NaN", b"\xff\xfe{}"),
        *(b"a" * 2 * BODY_LIMIT, b"5\r\nhello\r\n0\r\n\r\n", b"ffffffffff\r\n", b"-1"),
    ]
)
PATHS = st.sampled_from(
    [
        *("/v1/pipelines/ask", "/v1/pipelines/", "/v1/results/x", "/", "*", "//"),
        *("/v1/pipelines/%ff%fe", "/v1/pipelines/../x", "http://[", "/" + "a" * 3_000),
        *("/v1/results/%00", "/v1/pipelines/%ed%a0%80", "x", "/v1/pipelines/a?b=%zz"),
    ]
)
GARBAGE = st.binary(max_size=60) | st.lists(st.binary(max_size=20), max_size=5).map(
    lambda lines: b"\r\n".join(lines) + b"\r\n\r\n"
)
METHODS = st.sampled_from(["POST", "GET", "PUT", "HEAD", "TRACE", "P OST", "\x00", ""])
HEADERS = st.tuples(NAMES, FIELD_VALUES)
REQUESTS = st.one_of(
    # Wrong in one place, so that the rest is read as well.
    st.builds(build_request, method=METHODS),
    st.builds(build_request, path=PATHS),
    st.builds(build_request, headers=st.tuples(HEADERS)),
    st.builds(build_request, body=BODIES),
    st.builds(build_request, METHODS, PATHS, st.lists(HEADERS, max_size=4), BODIES),
    GARBAGE,
)


class TestMalformedRequests:
    def test_a_thousand_malformed_inputs(self):
        with asyncio.Runner() as runner:
            daemon = FakeDaemon()
            runner.run(daemon.callers.start())
            good = runner.run(asyncio.open_connection("127.0.0.1", daemon.callers.port))

            @settings(max_examples=1_000)
            @given(REQUESTS)
            def check(data):
                answers = runner.run(send_malformed(daemon, data))
                check_refusal(answers, data)
                runner.run(check_good_request(good))

            try:
                check()
            finally:
                good[1].close()
                runner.run(daemon.callers.stop())
            assert daemon.problems == []

    @pytest.mark.parametrize(
        ("request_bytes", "code"),
        [
            (build_request(body=b"{"), Code.MALFORMED_REQUEST),
            (build_request(body=b"[" * 3_000), Code.MALFORMED_REQUEST),
            (build_request(body=b"a" * 5_000), Code.BODY_TOO_LARGE),
            (
                build_request(headers=[(b"X", b"a" * 2_000)]),
                Code.HEADERS_TOO_LARGE,
            ),
            (build_request(method="PUT"), Code.MALFORMED_REQUEST),
            (build_request(path="/v2"), Code.MALFORMED_REQUEST),
            (b"\x16\x03\x01\x00\xa5\r\n\r\n", Code.MALFORMED_REQUEST),
            (
                build_request(headers=[(b"Content-Encoding", b"gzip")]),
                Code.MALFORMED_REQUEST,
            ),
            (
                build_request(headers=[(b"Idempotency-Key", b"\xff")]),
                Code.MALFORMED_REQUEST,
            ),
        ],
        ids=[
            *("json", "nesting", "body", "headers", "method", "path", "tls"),
            *("encoding", "key"),
        ],
    )
    def test_codes(self, request_bytes, code):
        async def run():
            daemon = FakeDaemon()
            await daemon.callers.start()
            async with connect(daemon) as (reader, writer):
                writer.write(request_bytes)
                answer = await read_answer(reader)
            await daemon.callers.stop()
            return answer

        status, table = asyncio.run(run())
        assert (status, table["code"]) == (code.http_status, code)


class TestSlowRequests:
    @pytest.mark.parametrize(
        ("part", "code"),
        [
            (b"", None),
            (b"POST /v1/pip", Code.REQUEST_TIMEOUT),
            (build_request()[:-6], Code.REQUEST_TIMEOUT),
            (build_request(body=b'{"a": 1}')[:-3], Code.REQUEST_TIMEOUT),
        ],
        ids=["nothing", "line", "head", "body"],
    )
    def test_half_sent_requests_end(self, part, code):
        async def run():
            daemon = FakeDaemon(body_timeout_s=0.5)
            await daemon.callers.start()
            async with connect(daemon) as (reader, writer):
                writer.write(part)
                async with connect(daemon) as good:
                    await check_good_request(good)
                got = await (read_answer(reader) if code else reader.read())
            await daemon.callers.stop()
            return got

        got = asyncio.run(run())
        assert got == b"" if code is None else got[1]["code"] == code
