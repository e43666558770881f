"""Tests of the decision on extra attempts, without a network."""

import pytest

from firworks.kernel.attempts.conditions import (
    BEGUN,
    NOT_REPEATABLE,
    SUSPECTED,
    TOO_LATE,
)
from firworks.kernel.attempts.latencies import MIN_SAMPLES, PERIOD_S, RecentLatencies
from firworks.kernel.attempts.loads import MAX_SLOW_SHARE, REFUSAL_S, ServiceLoad
from firworks.kernel.attempts.policy import (
    BUSY,
    MAX_ATTEMPTS,
    MAX_SAVED,
    NO_TARGET,
    RETRY_BUDGET,
    SHARE,
    ExtraAttemptPolicy,
    SlowAttempt,
    list_checks,
)
from firworks.kernel.forwarding.retry_budget import RetryBudget
from firworks.tests.attempt_simulation import AttemptSimulation, SimulatedGateway

WINDOW_S = 10.0
# Utilization 0.125 of 10 targets with 4 slots at a mean service time of 50 ms.
LIGHT_RATE_PER_S = 100.0


def make_slow(**changes):
    """Return a `SlowAttempt` that gets an extra attempt unless changes forbid it."""
    facts = {
        "service": "loans",
        "repeatable": True,
        "begun": False,
        "suspected": False,
        "sends": 1,
        "max_attempts": 2,
        "usual_s": 0.1,
        "deadline_s": 5.0,
        "members": 10,
        "slots": 40,
        "others": 9,
    }
    return SlowAttempt(**{**facts, **changes})


def make_policy(share=0.1, slack=1000.0):
    """Return an `ExtraAttemptPolicy` with a retry budget for a single gateway."""
    return ExtraAttemptPolicy(share, 0.95, RetryBudget(0.2, slack, WINDOW_S))


def count_largest(times, start_s=0.0):
    """Return pairs of the first time and the number of times in each window."""
    counts, first = [], 0
    for index, time_s in enumerate(times):
        while times[first] <= time_s - WINDOW_S:
            first += 1
        if time_s >= start_s:
            counts.append((time_s, index - first + 1))
    return counts


class TestRecentLatencies:
    def test_a_quantile_needs_enough_samples(self):
        latencies = RecentLatencies()
        for number in range(MIN_SAMPLES - 1):
            latencies.record("a", 0.1, 0.01 * number)
        assert latencies.get_quantile_s("a", 0.95, 1.0) is None
        latencies.record("a", 0.1, 1.0)
        assert latencies.get_quantile_s("a", 0.95, 1.0) == pytest.approx(0.1, rel=0.02)
        assert latencies.get_quantile_s("b", 0.95, 1.0) is None

    def test_quantiles_follow_the_load_within_two_periods(self):
        latencies, now = RecentLatencies(), 0.0
        for level_s in (0.1, 0.4, 0.1):
            until_s = now + 2.5 * PERIOD_S
            while now < until_s:
                latencies.record("a", level_s, now)
                now += 0.1
            found_s = latencies.get_quantile_s("a", 0.95, now)
            assert found_s == pytest.approx(level_s, rel=0.02)

    def test_rare_requests_keep_their_samples(self):
        latencies = RecentLatencies()
        for number in range(60):
            latencies.record("a", 0.1, number * PERIOD_S / 6)
        now = 10 * PERIOD_S
        assert latencies.get_quantile_s("a", 0.95, now) == pytest.approx(0.1, rel=0.02)

    def test_the_least_recently_used_kind_is_dropped(self):
        latencies = RecentLatencies(max_kinds=2)
        for kind in "abac":
            for _ in range(MIN_SAMPLES):
                latencies.record(kind, 0.1, 1.0)
        known = [latencies.get_quantile_s(kind, 0.5, 1.0) for kind in "abc"]
        assert known[0] and known[1] is None and known[2]


class TestObstacles:
    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({}, None),
            ({"repeatable": False}, NOT_REPEATABLE),
            ({"begun": True}, BEGUN),
            ({"suspected": True}, SUSPECTED),
            ({"sends": 2}, MAX_ATTEMPTS),
            ({"deadline_s": 1.05}, TOO_LATE),
            ({"others": 0}, NO_TARGET),
            ({"slots": 0}, BUSY),
        ],
    )
    def test_each_fact_that_forbids_an_extra_attempt(self, changes, reason):
        assert make_policy().find_obstacle(make_slow(**changes), 1.0) == reason

    def test_a_refusal_of_a_target_counts_for_a_while(self):
        policy = make_policy()
        policy.record_refusal("loans", 1.0)
        assert policy.find_obstacle(make_slow(), 1.5) == BUSY
        assert policy.find_obstacle(make_slow(), 1.0 + REFUSAL_S) is None
        other = make_slow(service="other")
        assert policy.find_obstacle(other, 1.5) is None

    def test_a_service_that_is_slow_as_a_whole_is_busy(self):
        load = ServiceLoad(0.0)
        for number in range(100):
            now = 0.01 * number
            load.begin(now)
            load.end(now)
            if number % 2:
                load.record_slow(now)
        assert 0.5 > MAX_SLOW_SHARE and load.is_busy(1, 100, 1.0)

    def test_a_request_at_a_paused_target_is_no_load_of_the_others(self):
        policy = make_policy()
        attempt = policy.begin("loans", "get", 0.0)
        policy.mark_slow(attempt, 0.1)
        # A gateway with a request always in progress would count for ten of them.
        assert policy.find_obstacle(make_slow(slots=10), 4.0) is None
        policy.end(attempt, False, 4.0)
        assert policy.find_obstacle(make_slow(slots=10), 4.0) is None

    def test_checks_are_repeated_until_the_deadline(self):
        assert list(list_checks(0.1, 1.0)) == pytest.approx([0.1, 0.2, 0.4, 0.8])


class TestLimits:
    def test_off_permits_none(self):
        policy = make_policy(share=0.0)
        for _ in range(100):
            policy.record_request("loans")
        assert not policy.active
        assert policy.try_withdraw("loans", False, 1.0) == SHARE

    def test_the_share_holds_from_the_first_request_on(self):
        policy, begun = make_policy(share=0.1), 0
        for number in range(1, 1001):
            policy.record_request("loans")
            begun += policy.try_withdraw("loans", False, 0.01 * number) is None
            assert begun <= 0.1 * number + 1e-9
        assert begun >= 90

    def test_the_retry_budget_keeps_a_part_for_retries(self):
        budget = RetryBudget(0.2, 0.0, WINDOW_S)
        policy = ExtraAttemptPolicy(1.0, 0.95, budget)
        for _ in range(100):
            policy.record_request("loans")
            budget.record_request("loans", 1.0)
        for _ in range(100):
            policy.record_request("loans")
            reason = policy.try_withdraw("loans", False, 1.0)
        assert reason == RETRY_BUDGET
        retries = sum(budget.try_acquire("loans", 1.0) for _ in range(100))
        assert retries >= 6

    def test_requests_held_for_long_get_what_new_ones_leave(self):
        policy = make_policy(share=0.1)
        for _ in range(15):
            policy.record_request("loans")
        assert policy.try_withdraw("loans", True, 1.0) == SHARE
        assert policy.try_withdraw("loans", False, 1.0) is None

    def test_they_hold_over_all_gateways_while_some_fail(self):
        """Gateways end, start anew, are cut off, and know of one another too late."""
        share, gateways = 0.1, 12
        simulation = AttemptSimulation(share, gateways, 10, 4, 300.0)

        def pause_targets(run):
            for target in run.targets[:3]:
                target.paused = True

        def lose_gateways(run):
            for gateway in run.gateways[:4]:
                gateway.alive = False

        def restart_gateways(run):
            run.gateways[:4] = [
                SimulatedGateway(number, share, gateways, "again")
                for number in range(4)
            ]

        def cut_off_gateways(run):
            for gateway in run.gateways[8:]:
                gateway.members = 4
                gateway.budget.set_members(4)

        changes = [(20, pause_targets), (30, lose_gateways)]
        changes += [(40, restart_gateways), (50, cut_off_gateways)]
        simulation.run(70, changes)
        assert len(simulation.extras) > 100
        assert len(simulation.extras) <= share * len(simulation.arrivals)
        requests = dict(count_largest(simulation.arrivals))
        times = sorted(requests)
        for time_s, extras in count_largest(simulation.extras):
            recent = requests[max(one for one in times if one <= time_s)]
            assert extras <= share * recent + MAX_SAVED * gateways
            assert extras <= 0.2 * recent + 100.0


class TestReplays:
    """Replays of loads with and without extra attempts, under the same seed."""

    def compare(
        self, change=None, rate_per_s=LIGHT_RATE_PER_S, gateways=10, until_s=90.0
    ):
        changes = [] if change is None else [(30.0, change)]
        return [
            AttemptSimulation(share, gateways, 10, 4, rate_per_s).run(until_s, changes)
            for share in (0.0, 0.1)
        ]

    @pytest.mark.parametrize("gateways", [10, 40])
    def test_one_slow_target_in_ten_no_longer_makes_the_tail(self, gateways):
        def slow_down(run):
            run.targets[0].slowdown = 10.0

        without, with_extras = self.compare(slow_down, gateways=gateways)
        assert with_extras.get_quantile(0.99, 40) < 0.5 * without.get_quantile(0.99, 40)
        assert with_extras.get_quantile(0.5, 40) <= without.get_quantile(0.5, 40)

    @pytest.mark.parametrize("gateways", [10, 40])
    def test_requests_at_a_paused_target_are_answered(self, gateways):
        def pause(run):
            run.targets[0].paused = True

        without, with_extras = self.compare(pause, gateways=gateways)
        assert with_extras.unanswered <= 0.1 * without.unanswered
        assert with_extras.get_quantile(0.999, 40) < 1.0

    @pytest.mark.parametrize("utilization", [0.85, 1.0, 1.3])
    def test_there_are_none_while_all_targets_are_busy(self, utilization):
        rate_per_s = utilization * 10 * 4 / 0.05
        without, with_extras = self.compare(rate_per_s=rate_per_s, until_s=30.0)
        # The average load needs two of its time constants to show.
        assert not [one for one in with_extras.extras if one >= 10.0]
        for share in (0.5, 0.95, 0.99):
            took_s = with_extras.get_quantile(share, 10)
            assert took_s <= 1.02 * without.get_quantile(share, 10)

    def test_without_limits_they_would_make_busy_targets_slower(self):
        """Shows that the test above replays a load at which extra attempts harm."""
        rate_per_s = 10 * 4 / 0.05
        without, unlimited = [
            AttemptSimulation(
                0.0, 10, 10, 4, rate_per_s, limited=limited, drops=False
            ).run(30.0)
            for limited in (True, False)
        ]
        for share in (0.5, 0.95, 0.99):
            took_s = unlimited.get_quantile(share, 10)
            assert took_s > 1.1 * without.get_quantile(share, 10)

    def test_a_healthy_service_gets_few(self):
        _, with_extras = self.compare()
        assert len(with_extras.extras) <= 0.05 * len(with_extras.arrivals)
