"""Tests of the permits that daemons share for targets that name a limit."""

import pytest
from multidict import CIMultiDict

from firworks.kernel.pools.clients import SendTo
from firworks.kernel.target_limits.messages import (
    LimitNamed,
    PermitAsked,
    PermitCancelled,
    PermitGranted,
)
from firworks.kernel.target_limits.permit_requests import PermitDecided
from firworks.platform.headers import read_rate_notice
from firworks.tests.limit_rule import STABLE_S, compute_allowed, count_most
from firworks.tests.limit_simulation import LimitSimulation

LENGTH_S = 30.0
FLEET_LENGTH_S = 16.0


def find_most(simulation, target, begin_s=STABLE_S):
    """Return the most requests (int) that a target got in any window."""
    return count_most(simulation.list_arrivals(target, begin_s))


class TestFleet:
    @pytest.mark.parametrize("daemons", [1, 3, 18, 119])
    @pytest.mark.parametrize("limit", [0.5, 1, 5, 50])
    def test_all_daemons_together_keep_the_limit_and_use_it(self, daemons, limit):
        simulation = LimitSimulation(daemons, [limit])
        simulation.add_load(4 * limit + 4, 0.0, FLEET_LENGTH_S)
        simulation.run(FLEET_LENGTH_S)
        (target,) = simulation.targets
        assert find_most(simulation, target) <= compute_allowed(limit)
        served = len(simulation.list_arrivals(target, 5.0))
        assert served >= 0.9 * limit * (FLEET_LENGTH_S - 5.0) - 1

    @pytest.mark.parametrize("share", [0.9, 1.0])
    @pytest.mark.parametrize("limit", [0.5, 1, 5, 50])
    def test_the_limit_is_used_when_most_callers_are_at_one_daemon(self, limit, share):
        simulation = LimitSimulation(18, [limit])

        def choose(rng):
            return "daemon-3" if rng.random() < share else f"daemon-{rng.randrange(18)}"

        simulation.add_load(2 * limit + 2, 0.0, FLEET_LENGTH_S, choose)
        simulation.run(FLEET_LENGTH_S)
        (target,) = simulation.targets
        assert find_most(simulation, target) <= compute_allowed(limit)
        served = len(simulation.list_arrivals(target, 5.0))
        assert served >= 0.9 * limit * (FLEET_LENGTH_S - 5.0) - 1

    def test_idle_time_is_not_saved_up(self):
        simulation = LimitSimulation(18, [2])
        simulation.add_load(20, 0.0, 4.0)
        simulation.add_load(100, 12.0, 16.0)
        simulation.run(FLEET_LENGTH_S)
        (target,) = simulation.targets
        assert count_most(simulation.list_arrivals(target, 8.0)) <= 2 * 4.0 + 2


class TestUninformed:
    LIMIT = 5

    def run_with(self, disturb, daemons=12):
        simulation = LimitSimulation(daemons, [self.LIMIT])
        simulation.add_load(8 * self.LIMIT, 0.0, LENGTH_S)
        simulation.at(8.0, lambda: disturb(simulation))
        simulation.run(LENGTH_S)
        return simulation

    def check(self, simulation, excused=()):
        (target,) = simulation.targets
        counted = [time_s for time_s, name in target.arrivals if name not in excused]
        counted = [time_s for time_s in counted if time_s > STABLE_S]
        assert count_most(counted) <= compute_allowed(self.LIMIT)
        served = len(simulation.list_arrivals(target, 20.0))
        assert served >= 0.9 * self.LIMIT * (LENGTH_S - 20.0)

    def test_the_coordinator_is_killed(self):
        simulation = self.run_with(lambda one: one.kill(one.get_coordinator()))
        self.check(simulation)
        arrivals = simulation.list_arrivals(simulation.targets[0], 10.0, 14.0)
        assert len(arrivals) >= 0.8 * self.LIMIT * 4.0

    def test_the_coordinator_restarts(self):
        def disturb(simulation):
            name = simulation.get_coordinator()
            simulation.kill(name)
            simulation.at(11.0, lambda: simulation.start_daemon(name))

        self.check(self.run_with(disturb))

    @pytest.mark.parametrize("for_s", [0.5, 2.0, 6.0])
    def test_the_coordinator_freezes(self, for_s):
        self.check(self.run_with(lambda one: one.freeze(one.get_coordinator(), for_s)))

    @pytest.mark.parametrize("count", [1, 4, 6])
    def test_daemons_are_cut_off_from_the_others(self, count):
        def disturb(simulation):
            names = simulation.daemons["daemon-0"].roster.rank("loans")[:count]
            simulation.cut(names, 8.0)

        self.check(self.run_with(disturb))

    def test_all_daemons_are_isolated(self):
        def disturb(simulation):
            for name in simulation.daemons:
                simulation.cut([name], 8.0)

        self.check(self.run_with(disturb))

    def test_a_daemon_joins(self):
        self.check(self.run_with(lambda one: one.start_daemon("daemon-new")))


class TestProcessPause:
    def make_limiter(self):
        """Return the limiter of a daemon that asked another one for a permit."""
        simulation = LimitSimulation(12, [None])
        name = next(n for n in simulation.daemons if n != simulation.get_coordinator())
        limiter = simulation.daemons[name].limiter
        limiter.record_response(("target-0", 0), "loans", 1.0, 0.0, 0.1)
        limiter.tick(0.2)
        number, (asked,) = limiter.request("loans", [("target-0", 0)], 1, 9.0, 0.25)
        return limiter, number, asked

    def test_a_permit_from_before_a_pause_is_void(self):
        limiter, _, asked = self.make_limiter()
        granted = PermitGranted(asked.record.number, "target-0", 0)
        actions = limiter.receive(granted, asked.peer, 5.0)
        assert not any(isinstance(one, PermitDecided) for one in actions)
        assert not limiter.take(("target-0", 0), 5.0)

    def test_the_request_is_cancelled_and_repeated_after_a_pause(self):
        limiter, number, asked = self.make_limiter()
        sent = [one for one in limiter.tick(5.0) if isinstance(one, SendTo)]
        sent = [one.record for one in sent if one.peer == asked.peer]
        assert [one.number for one in sent if isinstance(one, PermitCancelled)] == [
            asked.record.number
        ]
        (again,) = [one for one in sent if isinstance(one, PermitAsked)]
        granted = PermitGranted(again.number, "target-0", 0)
        (decided,) = limiter.receive(granted, asked.peer, 5.1)
        assert decided.number == number and decided.incarnation == ("target-0", 0)


class TestLimitMoves:
    def test_a_lower_limit_holds_at_once(self):
        simulation = LimitSimulation(12, [20])
        (target,) = simulation.targets
        simulation.add_load(60, 0.0, LENGTH_S)
        simulation.at(10.0, lambda: setattr(target, "limit", 2))
        simulation.run(LENGTH_S)
        assert find_most(simulation, target, 10.5) <= compute_allowed(2)
        assert all(one.started_s or one.refused_s for one in simulation.requests[:-300])

    def test_a_higher_limit_is_used(self):
        simulation = LimitSimulation(12, [2])
        (target,) = simulation.targets
        simulation.add_load(60, 0.0, 12.0)
        simulation.at(5.0, lambda: setattr(target, "limit", 20))
        simulation.run(12.0)
        assert len(simulation.list_arrivals(target, 7.0, 12.0)) >= 90

    @pytest.mark.parametrize("limit", [0, 0.5, 5])
    def test_full_work_resumes_when_the_limit_ends(self, limit):
        simulation = LimitSimulation(12, [limit])
        (target,) = simulation.targets
        simulation.add_load(30, 0.0, LENGTH_S)
        simulation.at(10.0, lambda: setattr(target, "limit", None))
        simulation.run(LENGTH_S)
        assert len(simulation.list_arrivals(target, 16.0, 26.0)) >= 250

    def test_a_limited_target_beside_free_ones_returns_without_a_request(self):
        simulation = LimitSimulation(12, [0, None, None])
        target = simulation.targets[0]
        simulation.add_load(30, 0.0, LENGTH_S)
        simulation.at(10.0, lambda: setattr(target, "limit", None))
        simulation.run(LENGTH_S)
        assert find_most(simulation, target, STABLE_S) > 5
        assert len(simulation.list_arrivals(target, STABLE_S, 10.0)) <= 2
        assert len(simulation.list_arrivals(target, 16.0, 26.0)) >= 60

    def test_a_limit_that_keeps_changing_is_announced_twice_a_second(self):
        simulation = LimitSimulation(50, [None])
        (target,) = simulation.targets
        limiter = simulation.daemons["daemon-0"].limiter
        sent, now = 0, 0.0
        while now < 10.0:
            now += 0.05
            actions = limiter.record_response(
                target.incarnation, "loans", 5.0 + now, now - 0.01, now
            )
            actions += limiter.tick(now)
            announced = [
                one
                for one in actions
                if isinstance(one, SendTo) and isinstance(one.record, LimitNamed)
            ]
            sent += len({one.peer for one in announced}) > 1
        assert 15 <= sent <= 21

    def test_a_slow_response_does_not_bring_an_old_limit_back(self):
        simulation = LimitSimulation(1, [None])
        limiter = simulation.daemons["daemon-0"].limiter
        incarnation = simulation.targets[0].incarnation
        limiter.record_response(incarnation, "loans", 20.0, 1.0, 1.1)
        limiter.record_response(incarnation, "loans", 2.0, 2.0, 2.1)
        limiter.record_response(incarnation, "loans", 20.0, 1.5, 3.0)
        assert limiter.get_rate(incarnation) == 2.0
        limiter.record_response(incarnation, "loans", None, 2.05, 3.0)
        assert limiter.get_rate(incarnation) == 2.0
        limiter.record_response(incarnation, "loans", None, 2.2, 3.1)
        assert limiter.get_rate(incarnation) is None

    def test_a_limit_binds_one_incarnation_only(self):
        simulation = LimitSimulation(1, [None])
        limiter = simulation.daemons["daemon-0"].limiter
        limiter.record_response(("target-0", 0), "loans", 1.0, 1.0, 1.1)
        assert limiter.get_rate(("target-0", 5)) is None
        limiter.retain({("target-0", 5)})
        assert not limiter.active


class TestCallers:
    def test_free_targets_take_the_rest_without_delay(self):
        simulation = LimitSimulation(12, [1, None, None])
        simulation.add_load(40, 0.0, LENGTH_S)
        simulation.run(LENGTH_S)
        assert all(one.started_s == one.sent_s for one in simulation.requests)
        limited = simulation.targets[0]
        assert find_most(simulation, limited) <= compute_allowed(1)
        assert len(simulation.list_arrivals(limited, 5.0)) >= 0.7 * (LENGTH_S - 5.0)

    def test_the_most_urgent_requests_get_the_permits(self):
        simulation = LimitSimulation(12, [2])
        simulation.add_load(1, 5.0, LENGTH_S, priority=0)
        simulation.add_load(20, 0.0, LENGTH_S, priority=3)
        simulation.run(LENGTH_S + 5.0)
        urgent = [one for one in simulation.requests if one.priority == 0]
        served = [one for one in urgent if one.started_s is not None]
        assert len(served) == len(urgent)
        assert max(one.started_s - one.sent_s for one in served) < 4.0

    def test_requests_that_cannot_be_served_are_refused_at_once(self):
        simulation = LimitSimulation(12, [1])
        simulation.add_load(20, 0.0, LENGTH_S)
        simulation.run(LENGTH_S + 5.0)
        late = [one for one in simulation.requests if one.sent_s > 2.0]
        refused = [one for one in late if one.refused_s is not None]
        assert len(refused) > 400
        at_once = [one for one in refused if one.refused_s - one.sent_s < 0.1]
        assert len(at_once) >= 0.95 * len(refused)
        assert all(one.started_s or one.refused_s for one in late)

    def test_refused_callers_return_at_the_rate_of_the_limit(self):
        simulation = LimitSimulation(12, [2])
        simulation.add_load(30, 0.0, 4.0, left_s=1.0)
        simulation.run(6.0)
        returns = sorted(
            one.refused_s + one.retry_after_s
            for one in simulation.requests
            if one.refused_s is not None and one.refused_s > 1.0
        )
        assert len(returns) > 60
        busiest = max(
            sum(begin <= time_s < begin + 1.0 for time_s in returns)
            for begin in range(2, 20)
        )
        assert busiest <= 12


class TestHeaders:
    @pytest.mark.parametrize(
        ("text", "rate_per_s", "readable"),
        [
            ("5", 5.0, True),
            ("0.5", 0.5, True),
            (" .25 ", 0.25, True),
            ("2e1", 20.0, True),
            ("0", 0.0, True),
            ("10000", 10_000.0, True),
        ],
    )
    def test_a_limit_is_read(self, text, rate_per_s, readable):
        notice = read_rate_notice({"Server-Limit": text})
        assert (notice.rate_per_s, notice.readable) == (rate_per_s, readable)
        assert not notice.unusual_value

    @pytest.mark.parametrize("text", ["", "soon", "-3", "nan", "inf", "1_0", "0x10"])
    def test_a_value_that_is_no_limit_changes_nothing(self, text):
        notice = read_rate_notice({"Server-Limit": text})
        assert notice.rate_per_s is None and not notice.readable
        assert notice.unusual_value == text

    @pytest.mark.parametrize("text", ["1e400", "10001", "1000000000000"])
    def test_a_limit_above_any_traffic_is_none(self, text):
        notice = read_rate_notice({"Server-Limit": text})
        assert notice.rate_per_s is None and notice.readable
        assert notice.unusual_value == text

    def test_the_lowest_of_several_limits_counts(self):
        headers = CIMultiDict([("server-limit", "5"), ("Server-Limit", "x, 2")])
        notice = read_rate_notice(headers)
        assert notice.rate_per_s == 2.0 and notice.readable
        assert notice.unusual_value == "5, x, 2"

    def test_no_header_is_no_limit(self):
        notice = read_rate_notice({})
        assert notice.rate_per_s is None and notice.readable
        assert not notice.unusual_value
