"""Tests of evacuating failure domains and putting them back into service."""

import asyncio

import pytest

from firworks.kernel.forwarding.evacuations import Evacuated, Evacuations
from firworks.kernel.forwarding.positions import make_position
from firworks.platform.store import CONFIGURATION_TOPIC, EVACUATION_PREFIX
from firworks.standins.platform_targets import (
    PlatformEngine,
    PlatformStage,
    PlatformTarget,
)
from firworks.tests.gateway_testbed import run_testbed, wait_until

LIMIT_S = 60.0
ENGINE_HEADERS = {
    "X-Model": "m",
    "X-Token-Counts": "40,20",
    "X-Prefix-Hash": "a1:30,b2:10",
}
PIECE_HEADERS = {"X-Pieces": "2,1", "X-Piece-Key": "k", **ENGINE_HEADERS}
KINDS = [
    (PlatformTarget, "loans", "/stock/a", {}),
    (PlatformEngine, "engines", "/rules/a", ENGINE_HEADERS),
    (PlatformStage, "repair", "/advice/a", PIECE_HEADERS),
]
KEY = EVACUATION_PREFIX + "fd-1"


def run_scenario(scenario, gateways=2):
    """Run ``scenario(world)`` on a testbed with two failure domains."""

    async def run():
        async with asyncio.timeout(LIMIT_S):
            async with run_testbed(gateways) as world:
                for cls, service, _, _ in KINDS:
                    await world.add_target(cls, f"{service}-3", service, "fd-2")
                await wait_until(lambda: all(map(knows_all, world.gateways)))
                await scenario(world)

    asyncio.run(run())


def knows_all(gateway):
    """Return whether a gateway knows the targets of both failure domains."""
    return len(gateway.directory.list_all()) == 9


def evacuate(world, evacuated=True):
    """Write the operator's record for the first failure domain to the store."""
    world.store.put(CONFIGURATION_TOPIC, KEY, b"{}" if evacuated else b"")


async def wait_until_known(world, evacuated=True):
    """Wait until all gateways have applied the operator's record."""
    domains = ("fd-1",) if evacuated else ()
    await wait_until(
        lambda: all(
            gateway._configurations.evacuations.current.domains == domains
            for gateway in world.gateways
        )
    )


def count_received(world, domain):
    """Return the number of requests that the targets of a failure domain have read."""
    return sum(
        len(target.received)
        for target in world.targets.values()
        if target.failure_domain == domain
    )


class TestEvacuations:
    def test_listing_replaces_and_record_adds_or_removes(self):
        evacuations = Evacuations()
        assert evacuations.apply_listing(["b", "a"], make_position(0, 5))
        assert evacuations.apply_change("b", False, make_position(0, 6))
        assert evacuations.apply_change("c", True, make_position(0, 7))
        assert not evacuations.apply_change("c", True, make_position(0, 8))
        assert evacuations.current == Evacuated(make_position(0, 8), ("a", "c"))

    @pytest.mark.parametrize(
        ("era", "offset", "changes"),
        [(1, 4, False), (1, 5, True), (1, 6, True), (0, 9, False), (2, 1, True)],
    )
    def test_older_state_of_a_peer_is_ignored(self, era, offset, changes):
        evacuations = Evacuations()
        evacuations.apply_listing(["a"], make_position(1, 5))
        assert evacuations.merge(Evacuated(make_position(era, offset), ())) is changes


class TestGateway:
    @pytest.mark.parametrize(("cls", "service", "path", "headers"), KINDS)
    def test_no_request_is_sent_to_an_evacuated_failure_domain(
        self, cls, service, path, headers
    ):
        async def scenario(world):
            evacuate(world)
            await wait_until_known(world)
            before = count_received(world, "fd-1")
            for number in range(6):
                gateway = world.gateways[number % 2]
                status, _, _ = await world.send_request(
                    path, "POST", gateway, **headers
                )
                assert status == 200
            assert count_received(world, "fd-1") == before
            assert count_received(world, "fd-2") >= 6

        run_scenario(scenario)

    def test_failure_domain_gets_requests_after_its_return(self):
        async def scenario(world):
            evacuate(world)
            await wait_until_known(world)
            evacuate(world, False)
            await wait_until_known(world, False)
            world.targets["loans-3"].fault = "busy"
            assert (await world.send_request("/stock/a"))[0] == 200

        run_scenario(scenario)

    def test_new_gateways_learn_of_the_evacuation(self):
        async def scenario(world):
            evacuate(world)
            await wait_until_known(world)
            world.store.trim(CONFIGURATION_TOPIC)
            new_gateway = await world.add_gateway("gateway-late")
            before = count_received(world, "fd-1")
            for _ in range(4):
                assert (await world.send_request("/stock/a", gateway=new_gateway))[
                    0
                ] == 200
            assert count_received(world, "fd-1") == before

        run_scenario(scenario)

    def test_a_gateway_rejected_by_the_store_learns_of_it_from_peers(self):
        async def scenario(world):
            world.store.turned_away.add("gateway-2")
            evacuate(world)
            await wait_until_known(world)

        run_scenario(scenario)

    def test_requests_to_a_fully_evacuated_service_are_refused(self):
        async def scenario(world):
            evacuate(world)
            world.store.put_target("loans-3", None)
            await wait_until_known(world)
            await wait_until(
                lambda: not world.gateways[0].directory.get_usable("loans")
            )
            assert (await world.send_request("/stock/a"))[0] == 503

        run_scenario(scenario)
