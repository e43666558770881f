"""Targets that say that they leave, or that they want no work for a time."""

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
RUN = ("loans-1", 0)
ENGINE_HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "40,20",
    "X-Prefix-Hash": "a1:30,b2:10",
}
PIECE_HEADERS = {"X-Pieces": "2,1", "X-Piece-Key": "k", **ENGINE_HEADERS}
KINDS = [
    ("loans", "/stock/a", {}),
    ("engines", "/rules/a", ENGINE_HEADERS),
    ("repair", "/advice/a", PIECE_HEADERS),
]


def list_targets(world, service):
    """Return the targets of a service."""
    return [one for one in world.targets.values() if one.service == service]


def count_received(target):
    """Return how many requests other than releases of results a target has read."""
    return sum(
        not line.startswith("POST /stage-free") for line, _, _ in target.received
    )


async def ask_often(world, path, headers, count=8):
    """Return the statuses of some requests, one after the other."""
    return [
        (
            await world.send_request(
                path, "POST", world.gateways[number % len(world.gateways)], **headers
            )
        )[0]
        for number in range(count)
    ]


async def find_used(world, service, path, headers):
    """Return a target that gets such requests: engines are chosen by what they read."""
    await ask_often(world, path, headers, 2)
    return max(list_targets(world, service), key=count_received)


class TestNotices:
    @pytest.mark.parametrize(
        ("wish", "rest_s", "odd"),
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
    def test_retry_after_is_parsed_and_capped(self, wish, rest_s, odd):
        notice = read_notice(503, {"Retry-After": wish}, NOW_UNIX_S)
        assert notice.backoff_s == pytest.approx(rest_s)
        assert bool(notice.unusual_value) == (odd and bool(wish))

    def test_retry_after_counts_only_with_status_503(self):
        assert read_notice(429, {"Retry-After": "4"}, NOW_UNIX_S).rest_s == 0.0

    @pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False)])
    def test_leaving(self, value, leaving):
        headers = {"Server-Leaving": value}
        assert read_notice(200, headers, NOW_UNIX_S).leaving is leaving


class TestTargetBackoffs:
    def test_nothing_is_sent_during_a_backoff(self):
        rests = TargetBackoffs()
        rests.add(RUN, 4.0, 10.0)
        assert rests.get_wait_s(RUN, 12.0) == 2.0
        assert rests.get_wait_s(("loans-1", 1), 12.0) == 0.0
        assert rests.get_wait_s(RUN, 14.0) == 0.0

    def test_a_shorter_backoff_does_not_end_a_longer_one(self):
        rests = TargetBackoffs()
        rests.add(RUN, 4.0, 10.0)
        rests.add(RUN, 1.0, 11.0)
        rests.mark_accepted(RUN, 12.0)
        assert rests.get_wait_s(RUN, 12.0) == 2.0

    def test_requests_resume_one_at_a_time_after_a_backoff(self):
        rests = TargetBackoffs()
        rests.add(RUN, 4.0, 10.0)
        sent, now = 0, 14.0
        while now < 14.0 + 2.5 * PROBE_TIMEOUT_S:
            if rests.get_wait_s(RUN, now) == 0.0:
                rests.mark_sent(RUN, now)
                sent += 1
            now += 0.01
        assert sent == 3
        rests.mark_accepted(RUN, now)
        assert rests.get_wait_s(RUN, now) == 0.0

    def test_only_a_new_incarnation_ends_a_backoff_early(self):
        rests = TargetBackoffs()
        rests.add(RUN, 30.0, 10.0)
        rests.expire(30.0)
        assert rests.get_wait_s(("loans-1", 1), 30.0) == 0.0
        assert rests.get_wait_s(RUN, 30.0) == 10.0
        rests.expire(40.0 + FORGET_AFTER_S)
        assert not rests.active


class TestLeaving:
    @pytest.mark.parametrize(("service", "path", "headers"), KINDS)
    def test_a_leaving_target_gets_no_more_requests(self, service, path, headers):
        async def scenario(world):
            await wait_until(lambda: all(g.roster.count == 2 for g in world.gateways))
            one = await find_used(world, service, path, headers)
            before, one.leaves = count_received(one), True
            while count_received(one) == before:
                await ask_often(world, path, headers, 2)
            await asyncio.sleep(0.2)
            before = count_received(one)
            assert await ask_often(world, path, headers) == [200] * 8
            assert count_received(one) == before

        play(scenario, gateways=2)

    def test_a_ready_entry_does_not_cancel_leaving(self):
        async def scenario(world):
            one, other = list_targets(world, "loans")
            one.leaves = True
            while not one.received:
                await ask_often(world, "/stock/a", {}, 2)
            before = len(one.received)
            world.store.put_target(one.target_id, {**one.make_entry(), "sequence": 9})
            await asyncio.sleep(0.8)
            await ask_often(world, "/stock/a", {})
            assert len(one.received) == before
            world.store.put_target(one.target_id, {**one.make_entry(), "born": 9})
            one.leaves = False
            other.fault = "busy"
            while len(one.received) == before:
                await ask_often(world, "/stock/a", {}, 1)

        play(scenario)

    def test_a_gateway_that_starts_later_is_informed(self):
        async def scenario(world):
            one, _ = list_targets(world, "loans")
            one.leaves = True
            while not one.received:
                await ask_often(world, "/stock/a", {}, 2)
            before = len(one.received)
            late = await world.add_gateway("gateway-late")
            directory = late.directory
            await wait_until(lambda: directory.find(one.target_id) is None)
            for _ in range(4):
                assert (await world.send_request("/stock/a", gateway=late))[0] == 200
            assert len(one.received) == before

        play(scenario)

    def test_leaving_announced_by_another_target_is_ignored(self):
        async def scenario(world):
            one, other = list_targets(world, "loans")
            other.fault = "busy"
            one.target_id, name = "someone-else", one.target_id
            one.leaves = True
            await ask_often(world, "/stock/a", {}, 2)
            one.target_id, one.leaves = name, False
            assert await ask_often(world, "/stock/a", {}, 2) == [200] * 2

        play(scenario)


class TestBackoff:
    @pytest.mark.parametrize("service, path, headers", KINDS)
    def test_a_backed_off_target_gets_no_requests(self, service, path, headers):
        async def scenario(world):
            one = await find_used(world, service, path, headers)
            before, one.fault, one.wish = count_received(one), "busy", "30"
            while count_received(one) == before:
                await ask_often(world, path, headers, 2)
            before = count_received(one)
            one.fault = ""
            assert await ask_often(world, path, headers) == [200] * 8
            assert count_received(one) == before

        play(scenario)

    @pytest.mark.parametrize("service, path, headers", KINDS[:2])
    def test_callers_of_a_backed_off_service_get_retry_after(
        self, service, path, headers
    ):
        async def scenario(world):
            for target in list_targets(world, service):
                target.fault, target.wish = "busy", "3"
            await ask_often(world, path, headers, 2)
            received = sum(map(count_received, list_targets(world, service)))
            status, told, _ = await world.send_request(path, "POST", **headers)
            assert status == 503
            assert 2.0 < float(told["Retry-After"]) < 4.0
            assert sum(map(count_received, list_targets(world, service))) == received

        play(scenario)

    def test_a_new_incarnation_is_used_at_once(self):
        async def scenario(world):
            one, other = list_targets(world, "loans")
            other.fault = "busy"
            one.fault, one.wish = "busy", "30"
            await ask_often(world, "/stock/a", {}, 2)
            one.fault = ""
            world.store.put_target(one.target_id, {**one.make_entry(), "born": 9})
            while (await ask_often(world, "/stock/a", {}, 1)) != [200]:
                await asyncio.sleep(0.05)

        play(scenario)
