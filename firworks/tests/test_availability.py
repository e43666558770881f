"""Tests of targets that announce that they are leaving or ask to back off."""

import asyncio

import pytest

from firworks.kernel.forwarding.notices import (
    FORGET_AFTER_S,
    MAX_BACKOFF_S,
    PROBE_TIMEOUT_S,
    TargetBackoffs,
)
from firworks.platform.headers import read_notice
from firworks.tests.gateway_testbed import play, wait_until

NOW_UNIX_S = 1_700_000_000.0
INCARNATION = ("loans-1", 0)
ENGINE_HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "40,20",
    "X-Prefix-Hash": "a1:30,b2:10",
}
PIECE_HEADERS = {"X-Pieces": "2,1", "X-Piece-Key": "k", **ENGINE_HEADERS}
SERVICE_CASES = [
    ("loans", "/stock/a", {}),
    ("engines", "/rules/a", ENGINE_HEADERS),
    ("repair", "/advice/a", PIECE_HEADERS),
]


def list_targets(testbed, service):
    """Return the targets (list) of a service."""
    return [target for target in testbed.targets.values() if target.service == service]


def count_received(target):
    """Count the requests that a target received, other than releases of results."""
    return sum(
        not line.startswith("POST /stage-free") for line, _, _ in target.received
    )


async def send_requests(testbed, path, headers, count=8):
    """Send requests to the gateways in turn; return the statuses (list of int)."""
    return [
        (
            await testbed.send_request(
                path,
                "POST",
                testbed.gateways[number % len(testbed.gateways)],
                **headers,
            )
        )[0]
        for number in range(count)
    ]


async def find_used_target(testbed, service, path, headers):
    """Return the target that gets most of such requests.

    Engines are selected by the prefix of the prompt, so that it may be only one.
    """
    await send_requests(testbed, path, headers, 2)
    return max(list_targets(testbed, service), key=count_received)


class TestNotices:
    @pytest.mark.parametrize(
        ("retry_after", "backoff_s", "unusual"),
        [
            ("4", 4.0, False),
            ("0.25", 0.25, False),
            ("0", 0.0, False),
            ("Tue, 14 Nov 2023 22:13:25 GMT", 5.0, False),
            ("-3", 0.0, True),
            ("", 0.0, True),
            ("soon", 0.0, True),
            ("nan", 0.0, True),
            ("inf", 0.0, True),
            ("1000000000000", MAX_BACKOFF_S, True),
            ("Tue, 14 Nov 2023 22:13:10 GMT", 0.0, True),
        ],
    )
    def test_retry_after_is_parsed_and_capped(self, retry_after, backoff_s, unusual):
        notice = read_notice(503, {"Retry-After": retry_after}, NOW_UNIX_S)
        assert notice.backoff_s == pytest.approx(backoff_s)
        assert bool(notice.unusual_value) == (unusual and bool(retry_after))

    def test_retry_after_counts_only_with_status_503(self):
        assert read_notice(429, {"Retry-After": "4"}, NOW_UNIX_S).backoff_s == 0.0

    @pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False)])
    def test_server_leaving_is_parsed(self, value, leaving):
        headers = {"Server-Leaving": value}
        assert read_notice(200, headers, NOW_UNIX_S).leaving is leaving


class TestTargetBackoffs:
    def test_nothing_is_sent_during_a_backoff(self):
        backoffs = TargetBackoffs()
        backoffs.add(INCARNATION, 4.0, 10.0)
        assert backoffs.get_wait_s(INCARNATION, 12.0) == 2.0
        assert backoffs.get_wait_s(("loans-1", 1), 12.0) == 0.0
        assert backoffs.get_wait_s(INCARNATION, 14.0) == 0.0

    def test_a_shorter_backoff_does_not_end_a_longer_one(self):
        backoffs = TargetBackoffs()
        backoffs.add(INCARNATION, 4.0, 10.0)
        backoffs.add(INCARNATION, 1.0, 11.0)
        backoffs.mark_accepted(INCARNATION, 12.0)
        assert backoffs.get_wait_s(INCARNATION, 12.0) == 2.0

    def test_requests_resume_one_at_a_time_after_a_backoff(self):
        backoffs = TargetBackoffs()
        backoffs.add(INCARNATION, 4.0, 10.0)
        sent, now = 0, 14.0
        while now < 14.0 + 2.5 * PROBE_TIMEOUT_S:
            if backoffs.get_wait_s(INCARNATION, now) == 0.0:
                backoffs.mark_sent(INCARNATION, now)
                sent += 1
            now += 0.01
        assert sent == 3
        backoffs.mark_accepted(INCARNATION, now)
        assert backoffs.get_wait_s(INCARNATION, now) == 0.0

    def test_only_a_new_incarnation_ends_a_backoff_early(self):
        backoffs = TargetBackoffs()
        backoffs.add(INCARNATION, 30.0, 10.0)
        backoffs.expire(30.0)
        assert backoffs.get_wait_s(("loans-1", 1), 30.0) == 0.0
        assert backoffs.get_wait_s(INCARNATION, 30.0) == 10.0
        backoffs.expire(40.0 + FORGET_AFTER_S)
        assert not backoffs.active


class TestLeaving:
    @pytest.mark.parametrize(("service", "path", "headers"), SERVICE_CASES)
    def test_a_leaving_target_gets_no_more_requests(self, service, path, headers):
        async def scenario(testbed):
            await wait_until(lambda: all(g.roster.count == 2 for g in testbed.gateways))
            target = await find_used_target(testbed, service, path, headers)
            before, target.leaves = count_received(target), True
            while count_received(target) == before:
                await send_requests(testbed, path, headers, 2)
            await asyncio.sleep(0.2)
            before = count_received(target)
            assert await send_requests(testbed, path, headers) == [200] * 8
            assert count_received(target) == before

        play(scenario, gateways=2)

    def test_a_ready_entry_does_not_cancel_leaving(self):
        async def scenario(testbed):
            target, other = list_targets(testbed, "loans")
            target.leaves = True
            while not target.received:
                await send_requests(testbed, "/stock/a", {}, 2)
            before = len(target.received)
            testbed.store.put_target(
                target.target_id, {**target.make_entry(), "sequence": 9}
            )
            await asyncio.sleep(0.8)
            await send_requests(testbed, "/stock/a", {})
            assert len(target.received) == before
            testbed.store.put_target(
                target.target_id, {**target.make_entry(), "born": 9}
            )
            target.leaves = False
            other.fault = "busy"
            while len(target.received) == before:
                await send_requests(testbed, "/stock/a", {}, 1)

        play(scenario)

    def test_a_gateway_that_starts_later_is_informed(self):
        async def scenario(testbed):
            target, _ = list_targets(testbed, "loans")
            target.leaves = True
            while not target.received:
                await send_requests(testbed, "/stock/a", {}, 2)
            before = len(target.received)
            late = await testbed.add_gateway("gateway-late")
            directory = late.directory
            await wait_until(lambda: directory.find(target.target_id) is None)
            for _ in range(4):
                assert (await testbed.send_request("/stock/a", gateway=late))[0] == 200
            assert len(target.received) == before

        play(scenario)

    def test_leaving_announced_by_another_target_is_ignored(self):
        async def scenario(testbed):
            target, other = list_targets(testbed, "loans")
            other.fault = "busy"
            target.target_id, name = "someone-else", target.target_id
            target.leaves = True
            await send_requests(testbed, "/stock/a", {}, 2)
            target.target_id, target.leaves = name, False
            assert await send_requests(testbed, "/stock/a", {}, 2) == [200] * 2

        play(scenario)


class TestBackoff:
    @pytest.mark.parametrize("service, path, headers", SERVICE_CASES)
    def test_a_backed_off_target_gets_no_requests(self, service, path, headers):
        async def scenario(testbed):
            target = await find_used_target(testbed, service, path, headers)
            before, target.fault, target.retry_after = (
                count_received(target),
                "busy",
                "30",
            )
            while count_received(target) == before:
                await send_requests(testbed, path, headers, 2)
            before = count_received(target)
            target.fault = ""
            assert await send_requests(testbed, path, headers) == [200] * 8
            assert count_received(target) == before

        play(scenario)

    @pytest.mark.parametrize("service, path, headers", SERVICE_CASES[:2])
    def test_callers_of_a_backed_off_service_get_retry_after(
        self, service, path, headers
    ):
        async def scenario(testbed):
            for target in list_targets(testbed, service):
                target.fault, target.retry_after = "busy", "3"
            await send_requests(testbed, path, headers, 2)
            received = sum(map(count_received, list_targets(testbed, service)))
            status, response_headers, _ = await testbed.send_request(
                path, "POST", **headers
            )
            assert status == 503
            assert 2.0 < float(response_headers["Retry-After"]) < 4.0
            assert sum(map(count_received, list_targets(testbed, service))) == received

        play(scenario)

    def test_a_new_incarnation_is_used_at_once(self):
        async def scenario(testbed):
            target, other = list_targets(testbed, "loans")
            other.fault = "busy"
            target.fault, target.retry_after = "busy", "30"
            await send_requests(testbed, "/stock/a", {}, 2)
            target.fault = ""
            testbed.store.put_target(
                target.target_id, {**target.make_entry(), "born": 9}
            )
            while (await send_requests(testbed, "/stock/a", {}, 1)) != [200]:
                await asyncio.sleep(0.05)

        play(scenario)
