"""Tests of cells and membership over the kernel parts of many daemons."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from firworks.kernel.fleet.cells import CELL_LIMIT, choose_links, make_cells
from firworks.kernel.fleet.events import (
    MEMBER_ALIVE,
    MEMBER_DEAD,
    MEMBER_LEAVING,
    MEMBER_SUSPECT,
    DrainFinished,
    DrainStarted,
    MemberChanged,
)
from firworks.tests.virtual_fleet import VirtualFleet, make_vms


def start_fleet(size=12, **options):
    fleet = VirtualFleet(make_vms(size), **options)
    assert fleet.run(10, fleet.converged)
    return fleet


def cut(group):
    """Block all messages between a group of names and the others."""
    return lambda one, other: (one in group) != (other in group)


class TestCells:
    @pytest.mark.parametrize("size", [1, 12, 18])
    def test_fleets_up_to_the_cell_limit_are_one_cell(self, size):
        vms = make_vms(size)
        assert make_cells(vms) == [tuple(sorted(vm.name for vm in vms))]

    @given(st.integers(1, 200), st.integers(1, 3), st.randoms(use_true_random=False))
    def test_cells_partition_the_daemons_within_regions(self, size, regions, rng):
        vms = make_vms(size, regions)
        cells = make_cells(vms)
        rng.shuffle(vms)
        assert make_cells(vms) == cells
        assert sorted(n for cell in cells for n in cell) == sorted(v.name for v in vms)
        region = {vm.name: vm.region for vm in vms}
        assert all(len(cell) <= CELL_LIMIT for cell in cells)
        assert all(len({region[name] for name in cell}) == 1 for cell in cells)

    def test_removing_a_daemon_changes_one_cell(self):
        vms = make_vms(330, 2, 2)
        for seed in range(20):
            gone = Random(seed).choice(vms)
            before = set(make_cells(vms))
            after = set(make_cells([vm for vm in vms if vm is not gone]))
            assert sum(len(cell) for cell in after - before) <= CELL_LIMIT

    def test_cells_of_the_design_size_mix_failure_domains(self):
        vms = make_vms(330, 2, 2)
        domain = {vm.name: vm.failure_domain for vm in vms}
        cells = make_cells(vms)
        assert all(len({domain[name] for name in cell}) == 2 for cell in cells)

    def test_removing_a_daemon_moves_only_links_to_it(self):
        names = [vm.name for vm in make_vms(100)]
        before = {name: set(choose_links(name, set(names) - {name})) for name in names}
        left = names[1:]
        moved = [n for n in left if before[n] != set(choose_links(n, set(left) - {n}))]
        assert moved == [n for n in left if names[0] in before[n]]


class TestMembership:
    def test_a_dead_daemon_is_declared_dead_everywhere(self):
        fleet = start_fleet()
        fleet.kill("vm-003", sockets_close=False)
        assert fleet.run(15, fleet.converged)
        views = {d.membership.find_status("vm-003") for d in fleet.daemons.values()}
        assert views == {MEMBER_DEAD}

    def test_a_new_incarnation_is_known_everywhere(self):
        fleet = start_fleet()
        fleet.kill("vm-003")
        fleet.run(1)
        daemon = fleet.start(fleet.listed["vm-003"])
        assert fleet.run(10, fleet.converged)
        wanted = daemon.membership.incarnation
        others = [d for d in fleet.daemons.values() if d is not daemon]
        assert {d.membership.find_incarnation("vm-003") for d in others} == {wanted}

    @profile(max_examples=8)
    @given(st.integers(0, 1000), st.sampled_from([0.0, 0.1]), st.integers(1, 9))
    def test_mass_restarts_converge(self, seed, loss, restarts):
        fleet = start_fleet(9, seed=seed)
        fleet.loss = loss
        rng = Random(seed)
        for name in rng.sample(sorted(fleet.daemons), restarts):
            fleet.kill(name)
            fleet.run(rng.random())
            fleet.start(fleet.listed[name])
        fleet.run(15)
        fleet.loss = 0.0
        assert fleet.run(15, fleet.converged)
        wanted = {d.name: d.membership.incarnation for d in fleet.daemons.values()}
        for daemon in fleet.daemons.values():
            for name in set(wanted) - {daemon.name}:
                assert daemon.membership.find_incarnation(name) == wanted[name]

    @profile(max_examples=6)
    @given(st.integers(0, 1000), st.integers(1, 6), st.floats(1, 40))
    def test_a_network_partition_is_detected_and_heals(self, seed, size, lasting_s):
        fleet = start_fleet(seed=seed)
        group = set(Random(seed).sample(sorted(fleet.daemons), size))
        fleet.blocked = cut(group)
        fleet.run(lasting_s)
        if lasting_s > 15:
            for name in fleet.daemons:
                side = group if name in group else set(fleet.daemons) - group
                assert fleet.daemons[name].membership.list_alive() == sorted(side)
        fleet.blocked = lambda one, other: False
        assert fleet.run(30, fleet.converged)

    @pytest.mark.parametrize("both", [True, False])
    def test_a_stalled_connection_is_replaced_without_suspicion(self, both):
        fleet = start_fleet()
        fleet.silent.add(("vm-001", "vm-002"))
        if both:
            fleet.silent.add(("vm-002", "vm-001"))
        seen = len(fleet.daemons["vm-002"].recorder.seen)
        fleet.run(15)
        assert not fleet.silent
        news = fleet.daemons["vm-002"].recorder.seen[seen:]
        assert not [e for _, e in news if isinstance(e, MemberChanged)]

    @pytest.mark.parametrize("both", [True, False])
    def test_two_daemons_cut_off_from_each_other_stay_alive_to_all(self, both):
        fleet = start_fleet()
        pairs = {("vm-001", "vm-002"), ("vm-002", "vm-001") if both else None}
        fleet.blocked = lambda one, other: (one, other) in pairs
        fleet.run(30)
        assert fleet.converged()

    def test_a_paused_daemon_is_suspected_and_refutes_when_it_resumes(self):
        fleet = start_fleet()
        fleet.pause("vm-003")
        fleet.run(5)
        view = fleet.daemons["vm-001"].membership
        assert view.find_status("vm-003") == MEMBER_SUSPECT
        fleet.resume("vm-003")
        assert fleet.run(5, fleet.converged)
        fleet.pause("vm-003")
        fleet.run(20)
        assert view.find_status("vm-003") == MEMBER_DEAD
        fleet.resume("vm-003")
        assert fleet.run(15, fleet.converged)

    def test_drain_start_and_end_are_announced(self):
        fleet = start_fleet()
        fleet.feed("vm-003", DrainStarted())
        fleet.run(2)
        others = [d.membership for n, d in fleet.daemons.items() if n != "vm-003"]
        assert {m.find_status("vm-003") for m in others} == {MEMBER_LEAVING}
        fleet.feed("vm-003", DrainFinished())
        fleet.run(0.5)
        fleet.kill("vm-003")
        assert {m.find_status("vm-003") for m in others} == {MEMBER_DEAD}
        fleet.start(fleet.listed["vm-003"])
        assert fleet.run(10, fleet.converged)

    def test_an_unlisted_daemon_joins_by_its_own_digests(self):
        fleet = start_fleet()
        vm = make_vms(13)[-1]
        fleet.start(vm)
        assert fleet.run(10, fleet.converged)
        assert fleet.daemons["vm-001"].membership.find_status(vm.name) == MEMBER_ALIVE

    def test_membership_survives_an_empty_vm_list(self):
        fleet = start_fleet()
        listed, fleet.listed = fleet.listed, {}
        fleet.run(120)
        assert fleet.converged()
        fleet.kill("vm-003")
        assert fleet.run(15, fleet.converged)
        fleet.listed = listed
        fleet.start(listed["vm-003"])
        assert fleet.run(15, fleet.converged)

    def test_a_vm_removed_from_the_list_is_reported_dead_and_evicted(self):
        fleet = VirtualFleet(make_vms(12, 2))
        fleet.run(3)
        daemon = fleet.daemons["vm-000"]
        near = set(daemon.membership.list_neighbours())
        far = next(n for n in sorted(fleet.daemons) if n not in near | {"vm-000"})
        ghost = make_vms(13, 2)[-1]
        for name in (far, ghost.name):
            fleet.listed[name] = fleet.listed.get(name, ghost)
        fleet.run(2)
        fleet.kill(far)
        del fleet.listed[far], fleet.listed[ghost.name]
        fleet.run(75)
        for name in (far, ghost.name):
            assert daemon.membership.find_status(name) is None
            events = [e for _, e in daemon.recorder.seen]
            news = [e for e in events if isinstance(e, MemberChanged)]
            assert [e for e in news if e.member == name][-1].status == MEMBER_DEAD

    def test_a_listed_vm_that_never_ran_is_declared_dead(self):
        fleet = start_fleet()
        ghost = make_vms(13)[-1]
        fleet.listed[ghost.name] = ghost
        assert fleet.run(2) is False
        assert fleet.run(15, fleet.converged)

    def test_ten_percent_message_loss_causes_no_false_death(self):
        fleet = start_fleet(loss=0.1)
        fleet.run(120)
        for daemon in fleet.daemons.values():
            events = [e for _, e in daemon.recorder.seen]
            assert not [e for e in events if getattr(e, "status", "") == MEMBER_DEAD]

    def test_deaths_reach_other_cells(self):
        fleet = VirtualFleet(make_vms(60, 2, 2), seed=3)
        assert fleet.run(15, fleet.converged)
        fleet.kill("vm-007", sockets_close=False)
        assert fleet.run(20, fleet.converged)
        fleet.start(fleet.listed["vm-007"])
        assert fleet.run(20, fleet.converged)
