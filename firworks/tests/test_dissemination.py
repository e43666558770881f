"""Tests of the spread of facts, and of leaving targets."""

from random import Random

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from firworks.kernel.calls import TargetLeaving
from firworks.kernel.fleet.departures import LEAVING_TTL_S, Departures
from firworks.kernel.fleet.digests import Digest, Fact
from firworks.kernel.fleet.dissemination import BUDGET_BYTES_PER_S
from firworks.kernel.fleet.events import (
    TOPIC_DEMAND,
    TOPIC_LOAD,
    TOPIC_QUARANTINE,
    TOPIC_TARGET_LEAVING,
    FactChanged,
)
from firworks.kernel.fleet.facts import FactTable
from firworks.kernel.ledger.claims import WorkKey
from firworks.kernel.messages import PeerReceived, SendPeer, Tick, VmEntry, VmsListed
from firworks.tests.virtual_fleet import VirtualFleet, make_vms

VALUE = WorkKey("a", "s", "k")


def change(key, topic=TOPIC_QUARANTINE, ttl_s=600.0, value=VALUE):
    return FactChanged(topic, key, value, ttl_s)


def list_holders(fleet, key, value=VALUE):
    """Names of daemons whose table holds a value under a key."""
    return sorted(
        name
        for name, daemon in fleet.daemons.items()
        for entry in daemon.dissemination.table.list_entries()
        if entry.fact.key == key and entry.fact.value == value
    )


def reach_all(fleet, key, value=VALUE):
    return lambda: list_holders(fleet, key, value) == sorted(fleet.daemons)


class TestFactTable:
    @given(st.permutations([(1, 1), (1, 2), (2, 1), (2, 5), (3, 0)]))
    def test_the_newest_wins_in_any_order(self, versions):
        table = FactTable()
        for version in versions:
            table.store(Fact("t", "k", "o", *version, 9.0, VALUE), 0.0)
        assert [e.fact.version for e in table.list_entries()] == [(3, 0)]

    def test_a_full_table_evicts_the_lowest_priority_first(self):
        table = FactTable(limit=3)
        for index, topic in enumerate((TOPIC_LOAD, TOPIC_QUARANTINE, TOPIC_LOAD)):
            table.store(Fact(topic, str(index), "o", 1, 1, 9.0 + index, VALUE), 0.0)
        assert table.store(Fact(TOPIC_QUARANTINE, "3", "o", 1, 1, 9.0, VALUE), 0.0)
        assert sorted(e.fact.key for e in table.list_entries()) == ["1", "2", "3"]
        table.store(Fact(TOPIC_QUARANTINE, "4", "o", 1, 1, 9.0, VALUE), 0.0)
        assert table.store(Fact(TOPIC_LOAD, "5", "o", 1, 1, 9.0, VALUE), 0.0) is None
        assert len(table) == 3

    @given(st.permutations(range(6)), st.permutations(range(6)))
    def test_equal_tables_have_equal_checksums(self, one, other):
        tables = (FactTable(), FactTable())
        for table, order in zip(tables, (one, other), strict=True):
            for key in order:
                table.store(Fact("t", str(key), "o", 1, key, 9.0, VALUE), 0.0)
        assert tables[0].digest == tables[1].digest != 0
        tables[0].expire(10.0)
        assert tables[0].digest == 0


class TestDissemination:
    @profile(max_examples=5)
    @given(st.integers(0, 1000), st.sampled_from([0.0, 0.1, 0.3]))
    def test_facts_reach_all_despite_loss_and_cuts(self, seed, loss):
        fleet = VirtualFleet(make_vms(30, 2), seed=seed)
        fleet.run(3)
        fleet.loss = loss
        rng = Random(seed)
        names = sorted(fleet.daemons)
        origin, one, other = rng.sample(names, 3)
        fleet.blocked = lambda a, b: (a, b) == (origin, one)
        fleet.silent.add((origin, other))
        for number in range(5):
            fleet.feed(origin, change("k", value=VALUE.replace(key=str(number))))
            fleet.run(0.1)
        last = VALUE.replace(key="4")
        assert fleet.run(30, reach_all(fleet, "k", last))

    def test_a_new_daemon_receives_existing_facts(self):
        fleet = VirtualFleet(make_vms(6))
        fleet.run(3)
        fleet.feed("vm-001", change("k"))
        fleet.run(3)
        fleet.start(make_vms(7)[-1])
        assert fleet.run(10, reach_all(fleet, "k"))

    def test_facts_of_a_restarted_origin_supersede_its_earlier_ones(self):
        fleet = VirtualFleet(make_vms(6))
        fleet.run(3)
        for _ in range(9):
            fleet.feed("vm-001", change("k"))
        fleet.run(3)
        fleet.kill("vm-001")
        fleet.start(fleet.listed["vm-001"])
        fleet.feed("vm-001", change("k", value=VALUE.replace(key="new")))
        assert fleet.run(10, reach_all(fleet, "k", VALUE.replace(key="new")))

    def test_facts_expire(self):
        fleet = VirtualFleet(make_vms(6))
        fleet.run(3)
        fleet.feed("vm-001", change("k", ttl_s=5.0))
        assert fleet.run(3, reach_all(fleet, "k"))
        fleet.run(6)
        assert list_holders(fleet, "k") == []

    def test_loads_stay_in_the_cell_and_demands_with_neighbours(self):
        fleet = VirtualFleet(make_vms(40, 2))
        fleet.run(5)
        membership = fleet.daemons["vm-000"].membership
        fleet.feed("vm-000", change("load", TOPIC_LOAD))
        fleet.feed("vm-000", change("demand", TOPIC_DEMAND))
        fleet.run(5)
        assert tuple(list_holders(fleet, "load")) == membership.list_cell()
        near = sorted([*membership.list_neighbours(), "vm-000"])
        assert list_holders(fleet, "demand") == near

    def test_the_budget_limits_traffic_and_urgent_facts_go_first(self):
        fleet = VirtualFleet(make_vms(12), measure=True)
        fleet.run(10)
        daemon = fleet.daemons["vm-001"]
        for number in range(200):
            fleet.feed("vm-001", change(f"load{number}", TOPIC_LOAD))
        fleet.feed("vm-001", change("urgent", TOPIC_TARGET_LEAVING))
        sent = daemon.sent_bytes
        assert fleet.run(1.5, reach_all(fleet, "urgent"))
        fleet.run(10)
        spent = daemon.sent_bytes - sent
        assert spent <= 13 * BUDGET_BYTES_PER_S
        assert daemon.dissemination.deferred_facts > 0
        waits = daemon.dissemination.waits
        assert waits[TOPIC_TARGET_LEAVING] < 1.5 < waits[TOPIC_LOAD]

    def test_digests_batch_facts(self):
        fleet = VirtualFleet(make_vms(3))
        fleet.run(5)
        sent = []
        daemon = fleet.daemons["vm-001"]
        for number in range(20):
            for action in daemon.kernel.handle(
                change(str(number), TOPIC_LOAD), fleet.now
            ):
                sent.append(action)
        sent += daemon.kernel.handle(Tick(0.0), fleet.now + 1.0)
        digests = [a.message for a in sent if isinstance(a, SendPeer)]
        assert [len(digest.facts) for digest in digests] == [20, 20]

    @profile(max_examples=30)
    @given(st.lists(st.integers(-(2**63), 2**63), min_size=10, max_size=10))
    def test_hostile_digests_break_nothing(self, numbers):
        fleet = VirtualFleet(make_vms(2))
        fleet.run(3)
        digest = Digest(*numbers[:9], True, numbers[9], (), ())
        fleet.feed("vm-000", PeerReceived("vm-001", digest))
        fleet.feed("vm-000", PeerReceived("stranger", digest))
        fleet.run(1)


class TestDepartures:
    @profile(max_examples=6)
    @given(st.integers(0, 1000), st.sampled_from([18, 40]))
    def test_all_daemons_know_within_three_seconds(self, seed, size):
        fleet = make_fleet_with_departures(size, seed)
        fleet.run(5)
        fleet.silent.add(("vm-001", "vm-002"))
        origin = Random(seed).choice(sorted(fleet.daemons))
        fleet.feed(origin, TargetLeaving("target-1"))
        assert fleet.run(3.0, lambda: len(list_knowing(fleet)) == size)

    def test_the_vm_list_announces_a_leaving_target_also_after_a_restart(self):
        fleet = make_fleet_with_departures(6, 0)
        target = VmEntry("target-1", "10.9.0.1:1", "target", "r", "f", True)
        fleet.run(3)
        fleet.feed("vm-001", VmsListed((*fleet.listed.values(), target)))
        fleet.run(3)
        assert len(list_knowing(fleet)) == 6
        fleet.kill("vm-002")
        fleet.start(fleet.listed["vm-002"])
        fleet.run(5)
        assert len(list_knowing(fleet)) == 6

    def test_a_leaving_target_expires_after_its_ttl(self):
        fleet = make_fleet_with_departures(3, 0)
        fleet.run(3)
        fleet.feed("vm-001", TargetLeaving("target-1"))
        fleet.run(LEAVING_TTL_S + 5)
        assert list_knowing(fleet) == []


def make_fleet_with_departures(size, seed):
    return VirtualFleet(make_vms(size), seed=seed, make_extra_parts=lambda _: (Departures(),))


def list_knowing(fleet):
    return [
        name
        for name, daemon in fleet.daemons.items()
        if daemon.parts[2].is_leaving("target-1")
    ]
