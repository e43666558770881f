"""Tests that no request is reported as not run because of an earlier refusal."""

import asyncio

import pytest

from firworks.tests.gateway_testbed import TEST_TIMEOUT_S, run_testbed

REQUESTS = 12
MISDIRECTED = b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"


async def send_all(testbed, path):
    """Send requests one after the other; return the statuses by request id."""
    statuses = {}
    for number in range(REQUESTS):
        headers = {"X-Request-Id": f"n{number}"}
        answer = await testbed.send_request(path, method="POST", body=b"x", **headers)
        statuses[headers["X-Request-Id"]] = answer[0]
    return statuses


def count_runs(testbed):
    """Return the number of runs by request id."""
    runs = [run for target in testbed.targets.values() for run in target.runs]
    counts = {}
    for run in runs:
        counts[run.request_id] = counts.get(run.request_id, 0) + 1
    return counts


# A target wrote an earlier refusal once more on a kept connection.
class TestRepeatedRefusals:
    @pytest.mark.parametrize("path", ["/book/a", "/once/a"])
    @pytest.mark.parametrize("after", [1, 3])
    @pytest.mark.parametrize("refusal", [None, MISDIRECTED])
    def test_not_run_is_true(self, path, after, refusal):
        async def test():
            async with asyncio.timeout(TEST_TIMEOUT_S), run_testbed() as testbed:
                for target in testbed.targets.values():
                    target.repeat_refusal_after = after
                    target.refusal = refusal or target.refusal
                statuses = await send_all(testbed, path)
                counts = count_runs(testbed)
                told = [one for one, status in statuses.items() if status == 503]
                assert not [one for one in told if one in counts]
                assert max(counts.values(), default=0) <= 1

        asyncio.run(test())

    def test_connection_with_a_verified_refusal_is_kept(self):
        async def test():
            async with asyncio.timeout(TEST_TIMEOUT_S), run_testbed() as testbed:
                for target_id in ("loans-1", "loans-2"):
                    testbed.targets[target_id].fault = "busy"
                await send_all(testbed, "/book/a")
                for target_id in ("loans-1", "loans-2"):
                    assert testbed.targets[target_id].connections <= 1

        asyncio.run(test())
