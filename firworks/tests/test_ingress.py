"""Tests of the limits on what callers may occupy, without a network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.gateway.settings import make_gateway_settings
from firworks.kernel.buffers import ResponseBuffers
from firworks.kernel.ingress.budget import STALL_S, IngressBudget
from firworks.kernel.ingress.limits import (
    ASSURED_BYTES,
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    compute_budget_bytes,
    make_limits,
)
from firworks.kernel.ingress.progress import BodyProgress

MIB = 1_048_576
BODY_BYTES = 4 * MIB
CAPACITY = 40 * MIB
ADDRESSES = ("callers", "readiness", "peers", "metrics", "store")
REQUIRED = {
    **{name: "127.0.0.1:1" for name in ADDRESSES},
    **{"name": "g", "region": "r", "failure_domain": "f"},
}


def make_settings(**more):
    return make_gateway_settings({**REQUIRED, **more})


class TestLimits:
    def test_the_smallest_vm_serves_a_largest_body(self):
        # It is held, joined, and written at the same time; 50 MB are in use at rest.
        assert 3 * BODY_BYTES <= compute_budget_bytes(152) <= (152 - 50) * 1e6 / 2

    def test_descriptors_of_the_smallest_vm_are_left_for_targets_and_peers(self):
        limits = make_limits(make_settings(max_descriptors=1_535), 1 << 20)
        taken = limits.max_connections + limits.max_peer_connections
        taken += 2 * limits.max_probe_connections + FILE_DESCRIPTORS
        assert limits.max_connections > 400
        # Each caller's request may need a connection to a target; 140 gateways.
        taken += limits.max_connections - limits.max_peer_connections + 2 * 140
        assert taken < 1_535

    def test_the_limit_of_the_system_counts(self):
        limits = make_limits(make_settings(max_descriptors=10_000), 1_000)
        assert limits.max_connections == 256

    def test_each_of_330_gateways_may_connect_to_the_smallest_vm(self):
        # With 267 connections of peers, 62 gateways would have been turned away.
        limits = make_limits(make_settings(max_descriptors=1_535), 1 << 20)
        assert limits.max_peer_connections >= 329

    def test_named_limits_win_over_derived_ones(self):
        settings = make_settings(max_caller_connections=70, max_unused_connections=90)
        limits = make_limits(settings, 1 << 20)
        assert (limits.max_connections, limits.max_unused_connections) == (70, 70)


class TestBodyProgress:
    def test_a_body_on_a_slow_link_goes_on(self):
        # 4 MiB at twice the rate take longer than any total limit of today.
        progress, now, received = BodyProgress(10.0, 1_000, 0.0, 0), 0.0, 0
        while received < BODY_BYTES:
            now, received = now + 1.0, received + 2_000
            assert progress.update(received, now, False)

    def test_a_body_sent_byte_by_byte_ends(self):
        progress = BodyProgress(10.0, 1_000, 0.0, 0)
        ends = [s for s in range(1, 60) if not progress.update(s, float(s), False)]
        assert 10 <= ends[0] <= 11

    def test_a_burst_gives_no_credit_for_a_later_stall(self):
        progress = BodyProgress(10.0, 1_000, 0.0, 0)
        assert progress.update(BODY_BYTES - 1, 1.0, False)
        assert not progress.update(BODY_BYTES - 1, 11.5, False)

    def test_time_without_reading_does_not_count(self):
        progress = BodyProgress(10.0, 1_000, 0.0, 0)
        assert progress.update(0, 100.0, True)
        assert progress.update(0, 109.0, False)
        assert not progress.update(0, 111.0, False)


def fill(budget, names, size, now):
    """Let connections hold some bytes each, in pieces, as far as they may."""
    for name in names:
        budget.add(name, now)
    held = 0
    while held < size:
        held += ASSURED_BYTES
        for name in names:
            if not budget._holdings[name].waiting:
                budget.resize(name, held, now)


class TestBudget:
    def test_open_bodies_are_ended_so_that_an_ordinary_one_arrives(self):
        # 80 bodies of 4 MiB less one byte, held open; then an ordinary one.
        budget, now = IngressBudget(CAPACITY), 0.0
        names = [f"open-{number}" for number in range(80)]
        fill(budget, names, BODY_BYTES, now)
        assert not budget.has_room
        assert budget.held_bytes < CAPACITY + 80 * 2 * ASSURED_BYTES
        budget.add("ordinary", now)
        sent = 0
        while sent < BODY_BYTES:
            now += 0.25
            if budget.resize("ordinary", sent + ASSURED_BYTES, now):
                sent += 8 * ASSURED_BYTES
            for victim in budget.choose_victims(now):
                assert victim != "ordinary"
                budget.remove(victim)
            while budget.grant(now) is not None:
                pass
            assert now < 60.0
        assert budget.held_bytes <= CAPACITY + BODY_BYTES

    def test_small_requests_are_read_while_there_is_no_room(self):
        budget = IngressBudget(CAPACITY)
        budget.reserve(CAPACITY + 1)
        budget.add("small", 0.0)
        assert budget.resize("small", ASSURED_BYTES, 0.0)
        assert not budget.resize("small", ASSURED_BYTES + 1, 0.0)

    def test_a_stalled_connection_goes_before_a_larger_one_with_progress(self):
        budget = IngressBudget(MIB)
        budget.add("stalled", 0.0)
        budget.add("large", 0.0)
        budget.resize("stalled", MIB // 2, 0.0)
        budget.resize("large", MIB, STALL_S)
        assert budget.choose_victims(STALL_S) == ["stalled"]

    def test_a_new_connection_takes_the_place_of_the_one_stalled_longest(self):
        budget = IngressBudget(CAPACITY)
        names = {"older": 0.1, "newer": 0.2, "runs": 0.0, "empty": 0.0, "other": 0.0}
        for name, moved_s in names.items():
            budget.add(name, 0.0)
            budget.resize(name, 0 if name == "empty" else MIB, moved_s)
        budget.protect("runs", True)
        mine = set(names) - {"other"}
        assert budget.choose_victim(mine, 0.15 + STALL_S) == "older"
        budget.resize("newer", 2 * MIB, 0.5)
        budget.resize("older", MIB - 1, 0.6)
        # None is stalled, so that the largest one is ended.
        assert budget.choose_victim(mine, 0.6) == "newer"
        assert budget.choose_victim({"empty", "runs"}, 99.0) is None

    def test_nobody_is_chosen_before_it_is_known_who_is_stalled(self):
        budget = IngressBudget(MIB)
        budget.add("a", 0.0)
        budget.resize("a", 2 * MIB, 0.0)
        assert budget.choose_victims(0.0) == []
        assert budget.choose_victims(STALL_S - 0.01) == []
        # It was refused further bytes, so that it is not stalled, but the largest.
        assert budget.choose_victims(STALL_S) == ["a"]

    def test_small_stalled_connections_do_not_shield_large_ones(self):
        # A caller opens one after the other, while large ones wait for room.
        budget, now = IngressBudget(MIB), 0.0
        budget.add("large", now)
        budget.resize("large", 2 * MIB, now)
        ended = []
        for number in range(12):
            budget.add(number, now)
            budget.resize(number, 500, now)
            now += 0.25
            ended += budget.choose_victims(now)
            for victim in ended:
                budget.remove(victim)
        assert "large" in ended

    def test_running_requests_are_not_ended(self):
        budget = IngressBudget(MIB)
        budget.add("runs", 0.0)
        budget.resize("runs", 4 * MIB, 0.0)
        budget.protect("runs", True)
        budget.choose_victims(0.0)
        assert budget.choose_victims(9.0) == []
        budget.protect("runs", False)
        assert budget.choose_victims(9.0) == ["runs"]

    def test_no_one_is_chosen_while_there_is_room(self):
        budget = IngressBudget(MIB)
        budget.add("idle", 0.0)
        budget.resize("idle", MIB, 0.0)
        assert budget.choose_victims(1_000.0) == []

    def test_responses_draw_on_the_same_budget(self):
        budget = IngressBudget(MIB)
        responses = ResponseBuffers(4 * MIB, budget)
        responses.resize(0, 2 * MIB)
        assert not budget.has_room
        responses.resize(2 * MIB, 0)
        assert budget.held_bytes == 0 and budget.has_room


NAMES = st.sampled_from("abcdef")
STEPS = st.one_of(
    st.tuples(st.just("resize"), NAMES, st.integers(0, MIB)),
    st.tuples(st.just("remove"), NAMES, st.none()),
    st.tuples(st.just("protect"), NAMES, st.booleans()),
    st.tuples(st.just("wait"), NAMES, st.floats(0, 2 * STALL_S)),
)


class TestBudgetProperties:
    @given(st.lists(STEPS, max_size=60), st.integers(1, 2 * MIB))
    def test_bytes_return_and_victims_follow_the_order(self, steps, capacity):
        budget, now, held, moved, protected = IngressBudget(capacity), 0.0, {}, {}, {}
        for step, name, value in steps:
            if name not in held:
                budget.add(name, now)
                held[name], moved[name], protected[name] = 0, now, False
            if step == "resize":
                if held[name] != value:
                    moved[name] = now
                held[name] = value
                budget.resize(name, value, now)
            elif step == "protect":
                protected[name] = value
                budget.protect(name, value)
            elif step == "wait":
                now += value
            else:
                budget.remove(name)
                del held[name], moved[name], protected[name]
            total = sum(held.values()) + CONNECTION_BYTES * len(held)
            assert budget.held_bytes == total
            victims = budget.choose_victims(now)
            assert not victims or total > capacity
            assert not any(protected[victim] for victim in victims)
            self.check_order(budget, victims, held, moved, protected, now)
        for name in held:
            budget.remove(name)
        assert budget.held_bytes == 0 and not budget.has_waiting

    def check_order(self, budget, victims, held, moved, protected, now):
        """Check that nothing with progress is chosen while a stalled one holds."""
        stalled = {
            name
            for name, size in held.items()
            if size
            and not protected[name]
            and not budget._holdings[name].waiting
            and now - moved[name] >= STALL_S
        }
        if victims and stalled:
            assert set(victims) <= stalled or set(victims) > stalled
            spared = [moved[name] for name in stalled - set(victims)]
            latest = max(moved[name] for name in stalled & set(victims))
            assert all(latest <= moment for moment in spared)

    @given(st.integers(1, 60), st.integers(ASSURED_BYTES, BODY_BYTES))
    def test_a_shortage_ends_whoever_holds_the_bytes(self, count, size):
        budget, now = IngressBudget(CAPACITY), 0.0
        fill(budget, range(count), size, now)
        for _ in range(count + 8):
            now += STALL_S
            for victim in budget.choose_victims(now):
                budget.remove(victim)
        assert budget.has_room


@pytest.mark.parametrize("memory_mb", [1, 72, 152, 552, 4_096])
def test_any_memory_gives_a_budget_for_a_single_request(memory_mb):
    assert compute_budget_bytes(memory_mb) >= 3 * BODY_BYTES
