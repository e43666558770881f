"""Tests of a store that comes back from an older copy of its contents.

Offsets go back and are given out again, so that a reader may find other records at the
offset from which it reads on.
"""

import asyncio
from functools import partial

from firworks.gateway.suspicion_store import SUSPICION_KEY_PREFIX
from firworks.kernel.pools.messages import MemberEntry
from firworks.platform.store import (
    CONFIGURATION_TOPIC,
    EVACUATION_PREFIX,
    MEMBERS_TOPIC,
    TARGETS_TOPIC,
)
from firworks.standins.platform_targets import PlatformTarget
from firworks.tests.gateway_testbed import (
    KEY,
    make_configuration,
    make_route,
    play,
    play_cases,
    wait_until,
)

# How soon what was written again must be in force; the platform's rules allow 2 s.
APPLY_S = 2.0
# How soon a target must get no more work whose entry is missing after a restore, and
# how soon an evacuation written at once must be in force: the store counts as disturbed
# for 3 s after it is back, and then 2 and 5 s are allowed.
LEAVE_S = 3.0
EVACUATE_S = 5.0
# How long a state is observed that must not change: targets are read every 0.6 s.
OBSERVED_S = 1.2
HEARTBEATS = 5
# Time for messages between gateways.
SETTLE_S = 0.3


async def wait_in_time(condition, limit_s=APPLY_S):
    """Wait until a condition holds, for some seconds; return whether it does."""
    try:
        async with asyncio.timeout(limit_s):
            await wait_until(condition)
    except TimeoutError:
        return False
    return True


def write_filler(store, count):
    """Write and take back evacuations of a domain without targets."""
    for number in range(count):
        value = b"" if number % 2 else b"{}"
        store.put(CONFIGURATION_TOPIC, f"{EVACUATION_PREFIX}fd-unused", value)


def beat(testbed, count=HEARTBEATS, but=()):
    """Write the entries of all targets again, as their heartbeats do."""
    for _ in range(count):
        for name, target in testbed.targets.items():
            if name not in but:
                testbed.store.put_target(name, target.make_entry())


def has_version(testbed, version):
    """Return whether a version is in force at all gateways."""
    return all(g.configuration.version == version for g in testbed.gateways)


async def wait_for_reads(testbed):
    """Wait until all gateways have read what is in the store."""
    await asyncio.sleep(0.7)


async def see_members(testbed):
    """Wait until all gateways know each other and one reads for the others."""
    count = len(testbed.gateways)
    await wait_until(lambda: all(g.roster.count == count for g in testbed.gateways))
    await wait_for_reads(testbed)


def uses(gateway, target_id):
    """Return whether a gateway uses a target."""
    return gateway.directory.find(target_id) is not None


class TestCollidingOffsets:
    def test_a_configuration_written_again_is_applied(self):
        def make(more):
            async def scenario(testbed):
                await see_members(testbed)
                copy = testbed.store.take_copy()
                write_filler(testbed.store, 4)
                await wait_for_reads(testbed)
                testbed.store.restore(copy)
                testbed.store.put_configuration(make_configuration(7))
                write_filler(testbed.store, 3 + more)
                assert await wait_in_time(
                    lambda: all(g.configuration.version == 7 for g in testbed.gateways)
                )

            return scenario

        play_cases(make, [(1, 0), (1, 4), (3, 0), (3, 4)])

    def test_a_target_that_leaves_after_the_restore_gets_no_more_work(self):
        def make(state):
            async def scenario(testbed):
                await see_members(testbed)
                store, leaving = testbed.store, testbed.targets["loans-2"]
                copy = store.take_copy()
                beat(testbed)
                end = store.count_records(TARGETS_TOPIC)
                await wait_for_reads(testbed)
                store.restore(copy)
                entry = None if state is None else leaving.make_entry(state)
                store.put_target("loans-2", entry)
                while store.count_records(TARGETS_TOPIC) < end:
                    beat(testbed, 1, but=("loans-2",))
                assert await wait_in_time(
                    lambda: not any(uses(g, "loans-2") for g in testbed.gateways),
                    LEAVE_S if state is None else APPLY_S,
                )

            return scenario

        play_cases(make, [(1, "draining"), (1, None), (3, "draining"), (3, None)])

    def test_an_evacuation_after_the_restore_is_in_force(self):
        def make():
            async def scenario(testbed):
                await see_members(testbed)
                copy = testbed.store.take_copy()
                write_filler(testbed.store, 4)
                await wait_for_reads(testbed)
                testbed.store.restore(copy)
                key = f"{EVACUATION_PREFIX}fd-1"
                testbed.store.put(CONFIGURATION_TOPIC, key, b"{}")
                write_filler(testbed.store, 3)
                assert await wait_in_time(
                    lambda: not any(uses(g, "loans-1") for g in testbed.gateways),
                    EVACUATE_S,
                )

            return scenario

        play_cases(make, [(1,), (3,)])

    def test_a_new_target_is_used(self):
        async def scenario(testbed):
            await see_members(testbed)
            store = testbed.store
            copy = store.take_copy()
            beat(testbed)
            end = store.count_records(TARGETS_TOPIC)
            await wait_for_reads(testbed)
            store.restore(copy)
            await testbed.add_target(PlatformTarget, "loans-9", "loans")
            while store.count_records(TARGETS_TOPIC) < end:
                beat(testbed, 1, but=("loans-9",))
            assert await wait_in_time(
                lambda: all(uses(g, "loans-9") for g in testbed.gateways)
            )

        play(scenario, 2)

    def test_two_restores_in_a_row_are_noticed(self):
        def make(eras):
            async def scenario(testbed):
                await see_members(testbed)
                copy = testbed.store.take_copy()
                for version in (7, 9):
                    write_filler(testbed.store, 4)
                    await wait_for_reads(testbed)
                    testbed.store.restore(copy, eras)
                    testbed.store.put_configuration(make_configuration(version))
                    write_filler(testbed.store, 3)
                    assert await wait_in_time(partial(has_version, testbed, version))

            return scenario

        play_cases(make, [(1, 1), (1, 3)])

    def test_a_listing_whose_pages_span_a_restore_is_made_again(self):
        async def scenario(testbed):
            store = testbed.store
            copy = store.take_copy()
            store.put_target("loans-1", None)
            await wait_until(lambda: not uses(testbed.gateways[0], "loans-1"))
            pages = []

            def restore():
                pages.append(None)
                if len(pages) == 2:
                    store.restore(copy)
                    store.put_target("loans-0", testbed.targets["loans-2"].make_entry())

            store.page_size, store.on_page = 2, restore
            store.trim(TARGETS_TOPIC)
            testbed.gateways[0]._targets_follower.refresh()
            assert await wait_in_time(lambda: uses(testbed.gateways[0], "loans-0"))

        play(scenario)

    def test_a_store_without_eras_is_read_as_before(self):
        async def scenario(testbed):
            testbed.store.era = None
            testbed.store.put_configuration(make_configuration(7))
            gateway = testbed.gateways[0]
            assert await wait_in_time(lambda: gateway.configuration.version == 7)
            copy = testbed.store.take_copy()
            write_filler(testbed.store, 4)
            await wait_for_reads(testbed)
            testbed.store.restore(copy)
            testbed.store.put_configuration(make_configuration(8))
            assert await wait_in_time(lambda: gateway.configuration.version == 8)

        play(scenario)

    def test_an_era_that_is_no_number_is_ignored(self):
        async def scenario(testbed):
            testbed.store.era = "new"
            testbed.store.put_configuration(make_configuration(7))
            gateway = testbed.gateways[0]
            assert await wait_in_time(lambda: gateway.configuration.version == 7)

        play(scenario)


class TestOlderCopies:
    def test_an_older_configuration_is_no_change_back(self):
        async def scenario(testbed):
            await see_members(testbed)
            copy = testbed.store.take_copy()
            table = make_configuration(7, tenants=[])
            table["tenants"] = [{"name": "club", "api-keys": ["new"], "priority": 1}]
            testbed.store.put_configuration(table)
            await wait_until(
                lambda: all(g.configuration.version == 7 for g in testbed.gateways)
            )
            testbed.store.restore(copy)
            await asyncio.sleep(APPLY_S)
            for gateway in testbed.gateways:
                assert gateway.configuration.version == 7
                status, _, _ = await testbed.send_request("/stock/a", gateway=gateway)
                assert status == 401

        play(scenario, 2)

    def test_a_target_that_left_is_not_used_again(self):
        def make(state):
            async def scenario(testbed):
                await see_members(testbed)
                store, target = testbed.store, testbed.targets["loans-2"]
                copy = store.take_copy()
                store.put_target("loans-2", state and target.make_entry(state))
                await wait_until(
                    lambda: not any(uses(g, "loans-2") for g in testbed.gateways)
                )
                store.restore(copy)
                beat(testbed, 1, but=("loans-2",))
                for _ in range(20):
                    await asyncio.sleep(OBSERVED_S / 20)
                    assert not any(uses(g, "loans-2") for g in testbed.gateways)

            return scenario

        play_cases(make, [(1, "draining"), (1, None), (2, "draining"), (2, None)])

    def test_a_target_that_the_copy_lacks_is_used_until_it_is_entered_again(self):
        async def scenario(testbed):
            await see_members(testbed)
            copy = testbed.store.take_copy()
            await testbed.add_target(PlatformTarget, "loans-9", "loans")
            await wait_until(lambda: all(uses(g, "loans-9") for g in testbed.gateways))
            testbed.store.restore(copy)
            for _ in range(20):
                await asyncio.sleep(OBSERVED_S / 20)
                assert all(uses(g, "loans-9") for g in testbed.gateways)
            testbed.store.put_target("loans-9", testbed.targets["loans-9"].make_entry())
            await asyncio.sleep(LEAVE_S - OBSERVED_S)
            assert all(uses(g, "loans-9") for g in testbed.gateways)

        play(scenario, 2)

    def test_a_target_that_is_not_entered_again_is_dropped(self):
        async def scenario(testbed):
            copy = testbed.store.take_copy()
            await testbed.add_target(PlatformTarget, "loans-9", "loans")
            await wait_until(lambda: uses(testbed.gateways[0], "loans-9"))
            testbed.store.restore(copy)
            await asyncio.sleep(APPLY_S)
            assert await wait_in_time(lambda: not uses(testbed.gateways[0], "loans-9"))

        play(scenario)

    def test_evacuations_are_as_before_until_written_again(self):
        """What a gateway knows is newer than the copy."""

        def make(evacuated):
            async def scenario(testbed):
                await see_members(testbed)
                key = f"{EVACUATION_PREFIX}fd-1"
                if not evacuated:
                    testbed.store.put(CONFIGURATION_TOPIC, key, b"{}")
                    await wait_until(
                        lambda: not any(uses(g, "loans-1") for g in testbed.gateways)
                    )
                copy = testbed.store.take_copy()
                value = b"{}" if evacuated else b""
                testbed.store.put(CONFIGURATION_TOPIC, key, value)
                await wait_until(
                    lambda: all(
                        uses(g, "loans-1") != evacuated for g in testbed.gateways
                    )
                )
                testbed.store.restore(copy)
                for _ in range(20):
                    await asyncio.sleep(OBSERVED_S / 20)
                    assert all(
                        uses(g, "loans-1") != evacuated for g in testbed.gateways
                    )
                testbed.store.put(CONFIGURATION_TOPIC, key, b"" if evacuated else b"{}")
                assert await wait_in_time(
                    lambda: all(
                        uses(g, "loans-1") == evacuated for g in testbed.gateways
                    )
                )

            return scenario

        play_cases(make, [(3, True), (3, False)])

    def test_a_gateway_that_starts_on_the_copy_gets_the_newer_state(self):
        async def scenario(testbed):
            await see_members(testbed)
            copy = testbed.store.take_copy()
            routes = [*make_configuration()["routes"], make_route("new", "loans")]
            testbed.store.put_configuration(make_configuration(7, routes=routes))
            await wait_until(
                lambda: all(g.configuration.version == 7 for g in testbed.gateways)
            )
            testbed.store.restore(copy)
            new = await testbed.add_gateway("gateway-late")
            assert await wait_in_time(lambda: new.configuration.version == 7)
            status, _, _ = await testbed.send_request("/new/a", gateway=new)
            assert status == 200

        play(scenario, 2)


class TestOwnRecords:
    def test_member_entries_are_written_again(self):
        async def scenario(testbed):
            copy = testbed.store.take_copy()
            copy.pop(MEMBERS_TOPIC, None)
            await see_members(testbed)
            testbed.store.restore(copy)
            names = {g.settings.name for g in testbed.gateways}
            assert await wait_in_time(
                lambda: names <= set(testbed.store.get_values(MEMBERS_TOPIC))
            )
            for gateway in testbed.gateways:
                assert gateway.roster.count == len(names)

        play(scenario, 3)

    def test_a_member_is_known_while_its_entry_is_missing(self):
        async def scenario(testbed):
            copy = testbed.store.take_copy()
            copy.pop(MEMBERS_TOPIC, None)
            await see_members(testbed)
            testbed.store.restore(copy)
            for _ in range(20):
                await asyncio.sleep(OBSERVED_S / 20)
                assert all(g.roster.count == 3 for g in testbed.gateways)

        play(scenario, 3)

    def test_an_older_incarnation_of_a_member_is_ignored(self):
        async def scenario(testbed):
            await see_members(testbed)
            copy = testbed.store.take_copy()
            restarted = testbed.gateways.pop(1)
            await restarted.stop()
            again = await testbed.add_gateway(restarted.settings.name)
            first = testbed.gateways[0]
            await wait_until(
                lambda: (
                    first.roster.find_incarnation(again.settings.name)
                    == again.incarnation
                )
            )
            testbed.store.restore(copy)
            for _ in range(20):
                await asyncio.sleep(OBSERVED_S / 20)
                entry = first.roster.find(again.settings.name)
                assert isinstance(entry, MemberEntry)
                assert entry.incarnation == again.incarnation

        play(scenario, 2)

    def test_quarantined_features_are_stored_again(self):
        async def scenario(testbed):
            await see_members(testbed)
            copy = testbed.store.take_copy()
            for number in range(3):
                testbed.gateways[0].crashes.record_ended(
                    (f"loans-{number}", 1), {b"crashing"}
                )
            key = SUSPICION_KEY_PREFIX + b"crashing".hex()
            await wait_until(lambda: key in testbed.store.get_values(MEMBERS_TOPIC))
            testbed.store.restore(copy)
            assert await wait_in_time(
                lambda: key in testbed.store.get_values(MEMBERS_TOPIC)
            )

        play(scenario, 3)

    def test_requests_are_served_meanwhile(self):
        async def scenario(testbed):
            await see_members(testbed)
            copy = testbed.store.take_copy()
            beat(testbed)
            await wait_for_reads(testbed)
            testbed.store.restore(copy)
            for number in range(20):
                gateway = testbed.gateways[number % 2]
                status, _, _ = await testbed.send_request(
                    "/stock/a", gateway=gateway, key=KEY
                )
                assert status == 200
                await asyncio.sleep(SETTLE_S / 3)

        play(scenario, 2)
