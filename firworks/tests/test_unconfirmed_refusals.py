"""Tests that callers get a status that means "not run" only when that is known."""

import asyncio
from functools import partial
from itertools import count

import pytest

from firworks.codes import Code
from firworks.kernel.forwarding.outcomes import (
    BROKEN,
    FAILED,
    INPUTS_GONE,
    NOT_RUN,
    NOT_RUN_STATUSES,
    SUSPENDED,
    WRONG_VERSION,
    AttemptError,
    Progress,
)
from firworks.standins.endless import send_endlessly
from firworks.standins.platform_targets import (
    STAMP,
    PlatformEngine,
    PlatformTarget,
    end_connection,
)
from firworks.tests.gateway_testbed import PROMPT, play

BODY = b"the reason of the target"
# Longer than a response that a gateway holds.
LONG_BODY = bytes(2_000_000)
STATUSES = (503, 429, 408)
# Requests that may run once: booked, streamed, and streamed after stages.
ONCE = (
    ("/book/a", {}),
    ("/once/a", PROMPT),
    ("/advice/a", {**PROMPT, "X-Pieces": "1,1", "X-Piece-Key": "k"}),
)
# Headers beside the status, by what they state.
NOTICES = {
    "plain": "",
    "retry-after": "Retry-After: 7\r\n",
    "stamp": f"X-Server-Stamp: {STAMP}\r\n",
    "leaving": "Server-Leaving: 1\r\n",
    "limit": "Server-Limit: 900\r\n",
    "load": "X-Server-Load: 1,0,8\r\n",
    "close": "Connection: close\r\n",
}
FRAMINGS = ("length", "empty", "chunks", "none", "trailer", "early hints")

numbers = count()


def frame(framing, body):
    """Return the header rows (str) and the bytes of a response with a body (bytes)."""
    if framing in ("chunks", "trailer"):
        trailer = b"X-Not-Run: 1\r\n" if framing == "trailer" else b""
        chunk = b"%x\r\n%b\r\n" % (len(body), body)
        return "Transfer-Encoding: chunked\r\n", chunk + b"0\r\n" + trailer + b"\r\n"
    if framing == "none":
        return "", body
    body = b"" if framing == "empty" else body
    return f"Content-Length: {len(body)}\r\n", body


async def refuse(status, rows, framing, body, writer, line, headers, _):
    """Answer a request that has run with a status that means that it has not."""
    framed, data = frame(framing, body)
    hints = "HTTP/1.1 103 Hints\r\n\r\n" if framing == "early hints" else ""
    request_id = headers["x-request-id"]
    head = f"{hints}HTTP/1.1 {status} S\r\nX-Request-Id: {request_id}\r\n{rows}"
    writer.write(f"{head}{framed}\r\n".encode() + data)
    if framing == "none":
        await end_connection(writer)


async def refuse_endlessly(status, writer, line, headers, _):
    """Begin a response whose body has no end."""
    begin = f"HTTP/1.1 {status} S\r\nX-Request-Id: {headers['x-request-id']}\r\n\r\n"
    async for _ in send_endlessly(writer, begin.encode(), b"x" * 4_096):
        pass


async def refuse_in_part(status, writer, line, headers, _):
    """Reset the connection in the body."""
    request_id = headers["x-request-id"]
    head = f"HTTP/1.1 {status} S\r\nX-Request-Id: {request_id}\r\nContent-Length: 99"
    writer.write(f"{head}\r\n\r\npart".encode())
    await end_connection(writer, reset=True)


def list_final_targets(testbed):
    """Return the targets (list) that requests reach once their stages are done."""
    return [
        target
        for target in testbed.targets.values()
        if type(target) in (PlatformTarget, PlatformEngine)
    ]


def set_answer(testbed, answer):
    """Let plain targets and engines answer with a coroutine function."""
    for target in list_final_targets(testbed):
        target.serve = answer


async def send(testbed, path, headers):
    """Return status, headers and body of the response to a request of its own."""
    if headers:
        headers = {**headers, "X-Prefix-Hash": f"{next(numbers):x}:30,b2:10"}
    return await testbed.send_request(path, "POST", body=b"x", **headers)


async def check_unknown(testbed, path, headers):
    """Check that the response to a request leaves open whether it ran."""
    status, answered, body = await send(testbed, path, headers)
    assert status == 502, (path, status, body)
    assert "X-Server-Stamp" not in answered
    assert "Retry-After" not in answered
    assert BODY not in body
    runs = [run for target in testbed.targets.values() for run in target.runs]
    assert len([run for run in runs if run.line.startswith(f"POST {path} ")]) == 1


# A target ran a booking and failed with a status that means that it has not run; the
# caller sent the booking again, and it was made twice.
class TestRefusalsAfterRuns:
    @pytest.mark.parametrize("notice", NOTICES)
    @pytest.mark.parametrize("status", STATUSES)
    def test_whatever_else_the_target_states(self, status, notice):
        async def scenario(testbed):
            rows = NOTICES[notice]
            set_answer(testbed, partial(refuse, status, rows, "length", BODY))
            for path, headers in ONCE:
                await check_unknown(testbed, path, headers)

        play(scenario)

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("status", STATUSES)
    def test_however_the_response_ends(self, status, framing):
        async def scenario(testbed):
            set_answer(testbed, partial(refuse, status, "", framing, BODY))
            for path, headers in ONCE:
                await check_unknown(testbed, path, headers)

        play(scenario)

    @pytest.mark.parametrize("framing", ["length", "chunks", "none"])
    @pytest.mark.parametrize("status", STATUSES)
    def test_with_a_body_that_is_not_held(self, status, framing):
        async def scenario(testbed):
            set_answer(testbed, partial(refuse, status, "", framing, LONG_BODY))
            for path, headers in ONCE:
                await check_unknown(testbed, path, headers)

        play(scenario)

    @pytest.mark.parametrize("answer", [refuse_endlessly, refuse_in_part])
    @pytest.mark.parametrize("status", STATUSES)
    def test_with_a_body_that_does_not_end_well(self, status, answer):
        async def scenario(testbed):
            set_answer(testbed, partial(answer, status))
            for path, headers in ONCE:
                await check_unknown(testbed, path, headers)

        play(scenario)

    # Such requests may be repeated anyway, and the response tells callers when.
    @pytest.mark.parametrize("status", STATUSES)
    def test_a_repeatable_request_gets_the_answer_of_its_target(self, status):
        async def scenario(testbed):
            rows = NOTICES["stamp"] + "Retry-After: 0.2\r\n"
            set_answer(testbed, partial(refuse, status, rows, "length", BODY))
            got, headers, body = await send(testbed, "/stock/a", {})
            assert (got, body) == (status, BODY)
            assert headers["X-Server-Stamp"] == STAMP
            assert headers["Retry-After"] == "0.2"

        play(scenario)


# What a target states to be not run, by a header of any value or as it is another one.
class TestConfirmedRefusals:
    @pytest.mark.parametrize("framing", ["length", "empty", "chunks", "none"])
    @pytest.mark.parametrize(
        ("status", "rows"),
        [
            *((status, "X-Not-Run: 1\r\n") for status in (*STATUSES, 400, 409, 500)),
            *((503, f"x-not-run:{value}\r\n") for value in ("", " 0", " false")),
            (421, ""),
        ],
    )
    def test_the_caller_is_told_so(self, status, rows, framing):
        async def scenario(testbed):
            set_answer(testbed, partial(refuse, status, rows, framing, BODY))
            for path, headers in ONCE[:2]:
                got, _, body = await send(testbed, path, headers)
                assert got == 503, (path, got, body)

        play(scenario)


class TestOwnCodes:
    KINDS = (NOT_RUN, BROKEN, FAILED, SUSPENDED, INPUTS_GONE, WRONG_VERSION)
    RAN = (BROKEN, FAILED, SUSPENDED)

    @pytest.mark.parametrize("repeatable", [False, True])
    @pytest.mark.parametrize("second", KINDS)
    @pytest.mark.parametrize("first", KINDS)
    def test_no_code_means_not_run_after_an_attempt_that_may_have(
        self, first, second, repeatable
    ):
        progress = Progress(repeatable, 3)
        for kind in (first, second):
            failure = AttemptError(kind, kind != WRONG_VERSION, kind)
            progress.record(failure)
        ran = first in self.RAN or second in self.RAN
        for code in Code:
            means_not_run = progress.correct(code).http_status in NOT_RUN_STATUSES
            assert means_not_run == (not ran and code.http_status in NOT_RUN_STATUSES)
        refusal = progress.judge(failure, 0.0, True).code
        assert (refusal.http_status in NOT_RUN_STATUSES) == (not ran)

    async def begin(self, testbed, path, headers):
        """Start a request (Task) whose target never responds, once it has run."""
        targets = list_final_targets(testbed)
        for target in targets:
            target.fault = "hang"
        task = asyncio.ensure_future(send(testbed, path, headers))
        while not any(target.runs for target in targets):
            await asyncio.sleep(0.01)
        return task

    @pytest.mark.parametrize(("path", "headers"), ONCE)
    def test_a_drain_that_ends_a_running_request(self, path, headers):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            task = await self.begin(testbed, path, headers)
            gateway.shutdown._begin()
            gateway.shutdown.deadlines.bring_forward(0.0)
            assert (await task)[0] == 504

        play(scenario)

    @pytest.mark.parametrize(("path", "headers"), ONCE)
    def test_a_deadline_that_ends_a_running_request(self, path, headers):
        async def scenario(testbed):
            late = {**headers, "X-Deadline-Ms": "600"}
            task = await self.begin(testbed, path, late)
            assert (await task)[0] == 504

        play(scenario)
