"""Tests of responses without a length or chunks, which end with their connection."""

import asyncio

import pytest

from firworks.standins.crashing_targets import (
    DEADLY_PART,
    UNFRAMED,
    UNFRAMED_EVENT,
    CrashingEngine,
    CrashingTarget,
)
from firworks.standins.platform_targets import EVENTS
from firworks.tests.crash_testbed import OWN_PROMPT, run_crash_testbed
from firworks.tests.gateway_testbed import PROMPT, play, run_together, wait_until
from firworks.tests.test_gateway import list_requests, set_fault

STAGED = {**PROMPT, "X-Pieces": "2,3", "X-Piece-Key": "k"}
EVENT_IDS = [f"id: {number}".encode() for number in range(1, EVENTS + 1)]
LIMIT_S = 30.0
SETTLE_S = 1.5
PERIOD_S = 0.1
REPEATS = 40
MAX_CRASHES = 6


async def send_raw(testbed, path, version, **headers):
    """Send a request over a socket.

    Returns:
        tuple: The bytes received, and whether the connection was reset.
    """
    gateway = testbed.gateways[0]
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.callers.port)
    lines = [f"POST {path} HTTP/{version}", "Content-Length: 0", "Connection: close"]
    lines += [
        f"{name}: {value}" for name, value in testbed.make_headers(**headers).items()
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    data = b""
    try:
        while part := await reader.read(65_536):
            data += part
        return data, False
    except ConnectionResetError:
        return data, True
    finally:
        writer.close()


async def play_crashing(scenario, cls, **traits):
    """Run ``scenario(testbed)`` with targets that can crash."""
    async with asyncio.timeout(LIMIT_S):
        async with run_crash_testbed(cls, **traits) as testbed:
            await scenario(testbed)


def list_ids(data):
    """Return the lines with ids of events (list of bytes)."""
    return [line for line in data.split(b"\n") if line.startswith(b"id: ")]


class TestPlainAnswers:
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    def test_a_complete_answer_is_forwarded_with_its_length(self, version):
        async def scenario(testbed):
            set_fault(testbed, "loans", "unframed")
            data, reset = await send_raw(testbed, "/stock/a", version)
            head, _, body = data.partition(b"\r\n\r\n")
            assert not reset and b" 200 " in head.split(b"\r\n")[0]
            assert body == b"answer to POST /stock/a HTTP/1.1"
            assert b"content-length: %d" % len(body) in head.lower()

        play(scenario)

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize(("path", "status"), [("stock", b"200"), ("book", b"502")])
    def test_a_reset_answer_is_retried_or_fails(self, version, path, status):
        async def scenario(testbed):
            set_fault(testbed, "loans", "unframed reset", count=1)
            seen = set()
            for _ in range(8):
                data, _ = await send_raw(testbed, f"/{path}/a", version)
                seen.add(data.split(b" ")[1])
            assert seen <= {b"200", status} and status in seen

        play(scenario)


class TestStreams:
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("path", ["rules", "once"])
    def test_a_complete_stream_is_forwarded(self, version, path):
        async def scenario(testbed):
            set_fault(testbed, "engines", "unframed")
            data, reset = await send_raw(testbed, f"/{path}/a", version, **PROMPT)
            assert list_ids(data) == EVENT_IDS and not reset
            assert (b"\r\n0\r\n\r\n" in data) == (version == "1.1")

        play(scenario)

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("fault", ["unframed reset", "unframed torn"])
    def test_a_broken_stream_resumes(self, version, fault):
        async def scenario(testbed):
            set_fault(testbed, "engines", fault, count=1)
            for number in range(8):
                prompt = {**PROMPT, "X-Prefix-Hash": f"a{number}:40"}
                data, reset = await send_raw(testbed, "/rules/a", version, **prompt)
                assert list_ids(data) == EVENT_IDS and not reset
            sent = [headers for _, headers, _ in list_requests(testbed, "engines")]
            assert any(headers.get("last-event-id") == "2" for headers in sent)

        play(scenario)

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    @pytest.mark.parametrize("fault", ["unframed reset", "unframed torn"])
    def test_a_broken_stream_that_cannot_resume_does_not_look_complete(
        self, version, fault
    ):
        async def scenario(testbed):
            set_fault(testbed, "engines", fault)
            data, reset = await send_raw(testbed, "/once/a", version, **PROMPT)
            assert list_ids(data) == EVENT_IDS[:2]
            if version == "1.0":
                assert reset
            else:
                assert b"\r\n0\r\n\r\n" not in data

        play(scenario)


class TestStageCalls:
    @pytest.mark.parametrize("fault", ["unframed", "unframed reset"])
    def test_a_request_gets_its_results(self, fault):
        async def scenario(testbed):
            set_fault(testbed, "repair", fault, count=1 if "reset" in fault else 2)
            for _ in range(4):
                status, _, body = await testbed.send_request(
                    "/advice/a", "POST", **STAGED
                )
                assert status == 200 and list_ids(body) == EVENT_IDS

        play(scenario)


class TestCrashes:
    def test_a_broken_stream_of_a_living_engine_is_no_crash(self):
        async def scenario(testbed):
            set_fault(testbed, "engines", "unframed torn")
            await testbed.send_tolerantly("/rules/a", testbed.gateways[0], **PROMPT)
            await asyncio.sleep(SETTLE_S)
            assert not testbed.gateways[0].crashes.is_quarantined(b"part/a1")

        asyncio.run(play_crashing(scenario, CrashingEngine))

    def test_a_complete_stream_of_a_living_engine_clears_its_parts(self):
        async def scenario(testbed):
            crashes = testbed.gateways[0].crashes
            crashes.record_ended(("engines-9", 1), {b"part/a1"})
            set_fault(testbed, "engines", "unframed")
            await testbed.send_tolerantly("/rules/a", testbed.gateways[0], **PROMPT)
            await wait_until(lambda: not crashes.is_quarantined(b"part/a1"))

        asyncio.run(play_crashing(scenario, CrashingEngine))

    def test_a_target_that_crashes_behind_a_clean_close_is_noticed(self):
        """The system closes the connections of a killed process."""
        deadly_part = {**OWN_PROMPT, "X-Prefix-Hash": f"{DEADLY_PART}:30,b2:10"}
        cases = [
            (CrashingTarget, "/stock/deadly", {}, UNFRAMED),
            (CrashingEngine, "/rules/deadly", OWN_PROMPT, UNFRAMED_EVENT),
            (CrashingEngine, "/rules/a", deadly_part, UNFRAMED_EVENT),
        ]

        async def run(case):
            cls, path, headers, manner = case

            async def scenario(testbed):
                await testbed.repeat(path, PERIOD_S, REPEATS, **headers)
                assert 2 <= len(testbed.ended_s) <= MAX_CRASHES

            await play_crashing(scenario, cls, manner=manner, back_s=0.3)

        asyncio.run(run_together(run, cases))
