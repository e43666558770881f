"""Tests of targets that name a limit of requests per second."""

import asyncio

import pytest
from loguru import logger

from firworks.tests.gateway_testbed import play, wait_until
from firworks.tests.limit_rule import (
    STABLE_S,
    WINDOW_S,
    compute_allowed,
    count_most,
)
from firworks.tests.test_availability import SERVICE_CASES, list_targets

RATE_PER_S = 24
# Requests that are still waiting at the end of a test end soon.
SHORT_DEADLINE = {"X-Deadline-Ms": "1000"}


async def send_steadily(testbed, path, headers, length_s, rate_per_s=RATE_PER_S):
    """Send requests to the gateways in turn; return their statuses (list of int).

    Paths differ, so that targets that break off responses quarantine no request.
    """
    tasks = []
    for number in range(int(length_s * rate_per_s)):
        gateway = testbed.gateways[number % len(testbed.gateways)]
        request = testbed.send_request(
            f"{path}{number}", "POST", gateway, **{**SHORT_DEADLINE, **headers}
        )
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(1 / rate_per_s)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


async def wait_for_members(testbed):
    """Wait until all gateways know each other."""
    count = len(testbed.gateways)
    await wait_until(lambda: all(g.roster.count == count for g in testbed.gateways))


class TestLimitedTargets:
    """Guards against targets that get more requests than the limit they named."""

    @pytest.mark.parametrize("gateways", [1, 4])
    def test_a_target_gets_no_more_than_the_limit_it_named(self, gateways):
        async def scenario(testbed):
            await wait_for_members(testbed)
            for target in testbed.targets.values():
                target.limit = "1"
            begin_s = asyncio.get_running_loop().time()
            length_s = STABLE_S + WINDOW_S + 1.0
            await asyncio.gather(
                *(
                    send_steadily(testbed, path, headers, length_s)
                    for _, path, headers in SERVICE_CASES
                )
            )
            most = {
                target.target_id: count_most(
                    time_s
                    for time_s, _ in target.arrivals
                    if time_s > begin_s + STABLE_S
                )
                for target in testbed.targets.values()
            }
            assert max(most.values()) <= compute_allowed(1), most

        play(scenario, gateways)

    @pytest.mark.parametrize("fault", ["busy", "fail", "reset", "cut"])
    def test_failing_responses_count_against_the_limit(self, fault):
        async def scenario(testbed):
            await wait_for_members(testbed)
            limited, other = list_targets(testbed, "loans")
            await other.stop()
            testbed.store.put_target(other.target_id, None)
            limited.limit = "1"
            await send_steadily(testbed, "/stock/a", {}, 0.5)
            limited.fault = fault
            begin_s = asyncio.get_running_loop().time()
            await send_steadily(testbed, "/stock/a", {}, STABLE_S + WINDOW_S)
            arrivals_s = [
                time_s
                for time_s, _ in limited.arrivals
                if time_s > begin_s + STABLE_S - 1.0
            ]
            assert count_most(arrivals_s) <= compute_allowed(1)

        play(scenario, 3)

    def test_a_check_of_a_limited_target_does_not_wait_behind_callers(self):
        async def scenario(testbed):
            limited, other = list_targets(testbed, "loans")
            await other.stop()
            testbed.store.put_target(other.target_id, None)
            limited.limit, limited.fault = "4", "cut"
            lines = []
            sink = logger.add(lambda line: lines.append(line.record["extra"]))
            await send_steadily(testbed, "/stock/a", {}, 3.0)
            logger.remove(sink)
            checks = [line["evidence"] for line in lines if line.get("event") == 924]
            assert "identity" in checks
            assert "target accepts no more requests" not in checks

        play(scenario)

    def test_a_stale_entry_is_no_alternative_to_a_limited_target(self):
        async def scenario(testbed):
            limited, stale = list_targets(testbed, "loans")
            limited.limit = "5"
            while not testbed.gateways[0].limits.active:
                await testbed.send_request("/stock/a")
            stale.target_id = "someone-else"
            before = len(stale.received)
            statuses = await send_steadily(testbed, "/stock/a", {}, 3.0)
            assert len(stale.received) - before < len(statuses) / 4
            assert 200 in statuses

        play(scenario)

    def test_callers_lose_nothing_beside_a_free_target(self):
        async def scenario(testbed):
            await wait_for_members(testbed)
            limited, free = list_targets(testbed, "loans")
            limited.limit = "1"
            await send_steadily(testbed, "/stock/a", {}, 0.5)
            before = len(limited.arrivals), len(free.arrivals)
            statuses = await send_steadily(testbed, "/stock/a", {}, 3.0)
            assert set(statuses) == {200}
            got = len(limited.arrivals) - before[0]
            assert 0 < got <= 5
            assert len(free.arrivals) - before[1] == len(statuses) - got

        play(scenario, 3)

    @pytest.mark.parametrize(("service", "path", "headers"), SERVICE_CASES)
    def test_callers_of_a_service_that_accepts_nothing_get_retry_after(
        self, service, path, headers
    ):
        async def scenario(testbed):
            for target in list_targets(testbed, service):
                target.limit = "0"
            limiter = testbed.gateways[0].limits.limiter
            while limiter.limits.count < 2:
                await testbed.send_request(path, "POST", **headers)
            targets = list_targets(testbed, service)
            received = sum(len(target.arrivals) for target in targets)
            statuses, delays_s = set(), []
            for _ in range(5):
                status, answered, _ = await testbed.send_request(
                    path, "POST", **headers
                )
                statuses.add(status)
                delays_s.append(float(answered["Retry-After"]))
            assert statuses == {503} and min(delays_s) > 1.0
            assert len(set(delays_s)) > 1
            assert sum(len(target.arrivals) for target in targets) == received

        play(scenario)

    def test_a_gateway_that_starts_later_is_informed(self):
        async def scenario(testbed):
            (first,) = testbed.gateways
            limited, _ = list_targets(testbed, "loans")
            limited.limit = "0"
            while not first.limits.active:
                await testbed.send_request("/stock/a")
            late = await testbed.add_gateway("gateway-late")
            await wait_until(lambda: late.limits.active)
            before = len(limited.arrivals)
            for _ in range(4):
                assert (await testbed.send_request("/stock/a", gateway=late))[0] == 200
            assert len(limited.arrivals) == before

        play(scenario)

    def test_a_value_that_is_no_limit_is_logged_once(self):
        async def scenario(testbed):
            limited, _ = list_targets(testbed, "loans")
            limited.limit, lines = "soon", []
            sink = logger.add(lambda line: lines.append(line.record["extra"]))
            assert set(await send_steadily(testbed, "/stock/a", {}, 0.5)) == {200}
            logger.remove(sink)
            (line,) = [one for one in lines if one.get("event") == 927]
            assert (line["target"], line["value"]) == (limited.target_id, "soon")
            assert not testbed.gateways[0].limits.active

        play(scenario)

    def test_a_target_that_is_well_again_gets_full_work(self):
        async def scenario(testbed):
            await wait_for_members(testbed)
            limited, other = list_targets(testbed, "loans")
            limited.limit, other.limit = "0", "0"
            gateways = testbed.gateways
            while any(one.limits.limiter.limits.count < 2 for one in gateways):
                await send_steadily(testbed, "/stock/a", {}, 0.2)
            limited.limit = other.limit = None
            await wait_until(lambda: not any(one.limits.active for one in gateways))
            assert set(await send_steadily(testbed, "/stock/a", {}, 0.5)) == {200}

        play(scenario, 2)

    def test_a_request_can_be_traced_to_the_limit_that_refused_it(self):
        async def scenario(testbed):
            for target in list_targets(testbed, "loans"):
                target.limit = "0"
            limits = testbed.gateways[0].limits
            while limits.limiter.limits.count < 2:
                await testbed.send_request("/stock/a")
            lines = []
            sink = logger.add(lambda line: lines.append(line.record["extra"]))
            await testbed.send_request("/stock/a")
            logger.remove(sink)
            (line,) = [
                one for one in lines if one.get("event_name") == "REQUEST_LIMITED"
            ]
            assert line["outcome"] == "refused" and line["request"]
            assert sorted(line["targets"]) == ["loans-1", "loans-2"]
            assert line["rates_per_s"] == [0.0, 0.0]
            assert all(age_s >= 0.0 for age_s in line["ages_s"])
            refused = limits._gateway.metrics.requests_limited.labels("refused")
            assert refused._value.get() >= 1

        play(scenario)
