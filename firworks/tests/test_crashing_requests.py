"""Requests that end the targets which run them, and harmless ones beside such ends."""

import asyncio

import pytest

from firworks.gateway.suspicion_store import SUSPICION_KEY_PREFIX
from firworks.kernel.codec import decode_record
from firworks.platform.store import MEMBERS_TOPIC
from firworks.standins.crashing_targets import (
    CLOSE,
    EVENT,
    FAIL,
    HEAD,
    RESET,
    SILENT,
    CrashingEngine,
    CrashingStage,
    CrashingTarget,
)
from firworks.tests.crash_testbed import PIECES, make_path, run_crash_testbed
from firworks.tests.gateway_testbed import KEY, make_configuration, wait_until

# Ends a wait for something that never happens.
LIMIT_S = 60.0
PERIOD_S = 0.05
REPEATS = 50
# What is on its way when the third target ends; the platform's rules allow 3 s.
SETTLE_S = 0.7
# Requests that may reach targets afterwards, by the platform's rules.
MOST_LATE = 3
DEADLY_PATH = "/stock/deadly"
OTHER_KEY = "other-key"


def play(scenario, *args, **traits):
    """Run ``scenario(world)`` on a site with targets that can end."""

    async def run():
        async with asyncio.timeout(LIMIT_S):
            async with run_crash_testbed(*args, **traits) as world:
                await scenario(world)

    asyncio.run(run())


def count_late(world):
    """Return how many requests reached targets after the third end had settled."""
    limit_s = world.ended_s[2] + SETTLE_S
    return sum(time_s > limit_s for time_s in world.reached_s)


async def end_tried(world):
    """Send a request until it is refused and has ended a target in its first trial."""
    while 503 not in world.statuses:
        await world.repeat(DEADLY_PATH, PERIOD_S, 1)
    ended = len(world.ended_s)
    while len(world.ended_s) == ended or world.statuses[-1] != 503:
        await world.repeat(DEADLY_PATH, PERIOD_S, 1)


def list_kept_trials(world):
    """Return how often each refused request that the store keeps has been tried."""
    kept = world.store.get_values(MEMBERS_TOPIC)
    return [
        len(decode_record(value).trial_ages_s)
        for key, value in kept.items()
        if key.startswith(SUSPICION_KEY_PREFIX)
    ]


class TestCrashingRequests:
    @pytest.mark.parametrize(
        ("cls", "traits"),
        [
            (CrashingTarget, {"manner": CLOSE, "back_s": 0.2}),
            (CrashingTarget, {"manner": CLOSE, "back_s": 0.2, "keeps_entry": True}),
            (CrashingTarget, {"manner": RESET, "back_s": 0.0}),
            (CrashingTarget, {"manner": RESET, "back_s": 0.0, "keeps_entry": True}),
            (CrashingTarget, {"manner": FAIL, "back_s": 0.0}),
            (CrashingTarget, {"manner": HEAD, "back_s": 0.0}),
            (CrashingTarget, {"manner": SILENT, "back_s": 0.2}),
            (CrashingEngine, {"manner": EVENT, "back_s": 0.0}),
            (CrashingEngine, {"manner": CLOSE, "back_s": 0.2}),
            (CrashingStage, {"manner": CLOSE, "back_s": 0.2}),
            (CrashingStage, {"manner": RESET, "back_s": 0.0}),
        ],
        ids=[
            "closes",
            "closes-same-entry",
            "reset",
            "reset-same-entry",
            "some-runs-fail",
            "head",
            "silent",
            "event",
            "engine-closes",
            "piece",
            "piece-reset",
        ],
    )
    def test_sends_of_a_crashing_request_are_bounded(self, cls, traits):
        async def scenario(world):
            path, headers = make_path(cls)
            await world.repeat(path, PERIOD_S, REPEATS, **headers)
            assert len(world.ended_s) >= 3
            assert count_late(world) <= MOST_LATE

        play(scenario, cls, **traits)

    def test_two_keys_of_an_account_share_the_quarantine(self):
        async def scenario(world):
            account = {"name": "club", "api-keys": [KEY, OTHER_KEY], "priority": 1}
            table = make_configuration(2, tenants=[account])
            world.store.put_configuration(table)
            await wait_until(
                lambda: all(g.configuration.version == 2 for g in world.gateways)
            )
            await end_tried(world)
            before = len(world.reached_s)
            for gateway in world.gateways:
                status = await world.send_tolerantly(DEADLY_PATH, gateway, key=OTHER_KEY)
                assert status == 503
            assert len(world.reached_s) == before

        play(scenario, back_s=0.1)

    def test_new_gateway_learns_of_the_quarantine(self):
        async def scenario(world):
            await end_tried(world)
            late = await world.add_gateway("gateway-late")
            await wait_until(lambda: late.roster.count == 4)
            await asyncio.sleep(SETTLE_S)
            before = len(world.reached_s)
            assert await world.send_tolerantly(DEADLY_PATH, late) == 503
            assert len(world.reached_s) == before

        play(scenario, back_s=0.1)

    def test_quarantine_survives_a_restart_of_all_gateways(self):
        async def scenario(world):
            await end_tried(world)
            await wait_until(lambda: list_kept_trials(world) == [1])
            for gateway in world.gateways:
                await gateway.stop()
            world.gateways.clear()
            for number in (1, 2):
                await world.add_gateway(f"gateway-{number}")
            await asyncio.sleep(SETTLE_S)
            before = len(world.reached_s)
            for gateway in world.gateways:
                assert await world.send_tolerantly(DEADLY_PATH, gateway) == 503
            assert len(world.reached_s) == before

        play(scenario, back_s=0.1)


class TestHarmlessRequests:
    def test_frequent_request_is_served_again_after_all_targets_crashed(self):
        async def scenario(world):
            asking = asyncio.ensure_future(world.repeat("/stock/hot", 0.02, 200))
            await wait_until(lambda: len(world.statuses) > 20)
            for target in world.crashing:
                target.end(0.3)
            await asking
            assert world.statuses[-30:] == [200] * 30

        play(scenario, targets=3, manner=CLOSE, work_s=0.1)

    def test_requests_batched_with_a_crashing_one_are_served(self):
        async def scenario(world):
            path, headers = make_path(CrashingStage)
            deadly = asyncio.ensure_future(world.repeat(path, 0.05, 40, **headers))
            served = []
            for number in range(20):
                gateway = world.gateways[number % 3]
                harmless = {"X-Piece-Key": f"k{number}", **PIECES}
                served.append(world.send_tolerantly("/advice/b", gateway, **harmless))
                await asyncio.sleep(0.1)
            statuses = await asyncio.gather(*served)
            await deadly
            assert statuses == [200] * 20

        play(scenario, CrashingStage, manner=RESET, back_s=0.0)

    def test_connection_resets_alone_quarantine_nothing(self):
        async def scenario(world):
            for target in world.crashing:
                target.fault = "reset"
            for number in range(6):
                await world.send_tolerantly("/stock/a", world.gateways[number % 3])
            for target in world.crashing:
                target.fault = ""
            await asyncio.sleep(SETTLE_S)
            for gateway in world.gateways:
                assert await world.send_tolerantly("/stock/a", gateway) == 200

        play(scenario)
