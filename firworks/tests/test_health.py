"""Tests of health: outliers, the ejection cap, silence, return and slow start."""

from firworks.kernel.calls import RESULT_CRASHED, RESULT_FAILED, TargetReported
from firworks.kernel.health import (
    EJECTION_S,
    SLOW_START_S,
    PoolHealth,
    TargetHealth,
)
from firworks.kernel.messages import Tick
from firworks.tests.test_scheduling import Site, make_call, placed


def _pool(count, share=0.4):
    targets = [TargetHealth() for _ in range(count)]
    return PoolHealth(targets, share), targets


def _feed(pool, health, ratio, count=8, now=1.0):
    for _ in range(count):
        pool.record_success(health, 0, ratio, now)


class TestOutliers:
    def test_slow_target_is_ejected(self):
        pool, targets = _pool(3)
        for health in targets[1:]:
            _feed(pool, health, 1.0)
        _feed(pool, targets[0], 10.0)
        assert [t.ejected for t in targets] == [True, False, False]

    def test_uniformly_slow_pool_ejects_no_target(self):
        pool, targets = _pool(5)
        for _ in range(20):
            for health in targets:
                pool.record_success(health, 0, 10.0, 1.0)
        assert not any(t.ejected for t in targets)

    def test_cap_holds_when_most_fail(self):
        pool, targets = _pool(5)
        for health in targets:
            for _ in range(4):
                pool.record_failure(health, 0, 1.0)
        assert sum(t.ejected for t in targets) == 2

    def test_single_target_and_share_zero_are_never_ejected(self):
        for pool, targets in (_pool(1), _pool(5, share=0.0)):
            for _ in range(9):
                pool.record_failure(targets[0], 0, 1.0)
            assert not targets[0].ejected

    def test_slow_stream_is_ejected_by_its_pace(self):
        pool, targets = _pool(3)
        for health, pace in zip(targets, (0.4, 0.04, 0.04), strict=True):
            pool.record_pace(health, pace, 1.0)
        pool.record_pace(targets[0], 0.4, 1.5)
        assert [t.ejected for t in targets] == [True, False, False]


class TestStalls:
    def test_stalled_target_is_ejected_only_if_the_others_progress(self):
        pool, targets = _pool(3)
        assert not pool.record_stall(targets[0], 1.0, 5.0)
        for health in targets[1:]:
            health.last_progress_s = 4.0
        assert pool.record_stall(targets[0], 1.0, 6.0)

    def test_target_that_stops_reporting_gets_no_calls(self):
        site = Site(targets=2)
        for step in range(20):
            now = 0.25 * step
            for name in ("t0", "t1")[: 2 if step < 4 else 1]:
                site.send(TargetReported(name, now, 0, 0, 8), now)
            site.send(Tick(0.0), now)
        calls = [make_call(i, deadline_s=20.0) for i in range(6)]
        assert {placed(site.send(c, 5.0))[0].target for c in calls} == {"t0"}

    def test_target_that_only_stops_reporting_is_used_again(self):
        site = Site(targets=2)
        for step in range(200):
            now = 0.25 * step
            for name in ("t0", "t1")[: 2 if step < 4 else 1]:
                site.send(TargetReported(name, now, 0, 0, 8), now)
            site.send(Tick(0.0), now)
        chosen = set()
        for number in range(40):
            choice = placed(site.send(make_call(number, deadline_s=60.0), 50.0))[0]
            chosen.add(choice.target)
            site.end(choice, 50.0)
        assert chosen == {"t0", "t1"}

    def test_stalls_are_detected_with_hedging_disabled(self):
        site = Site(targets=3, hedge_share=0.0)
        for number in range(60):
            now = 0.1 * number
            choice = placed(site.send(make_call(number, deadline_s=60.0), now))[0]
            if number < 30 or choice.target != "t0":
                site.end(choice, now + 0.05, latency_s=0.05)
            site.send(Tick(0.0), now + 0.06)
        assert site.scheduler.pools["p"].by_name["t0"].health.ejected


class TestRecovery:
    def test_half_open_lets_one_call_through_then_starts_slowly(self):
        pool, targets = _pool(3)
        health = targets[0]
        pool.eject(health, 0.0)
        assert not health.is_usable(EJECTION_S - 0.1)
        assert health.is_usable(EJECTION_S)
        health.probe = 7
        assert not health.is_usable(EJECTION_S)
        pool.record_success(health, 7, 1.0, EJECTION_S)
        assert not health.ejected
        assert health.weight(EJECTION_S) < 0.5
        assert health.weight(EJECTION_S + SLOW_START_S) == 1.0

    def test_failed_probe_doubles_the_ejection_time(self):
        pool, targets = _pool(3)
        pool.eject(targets[0], 0.0)
        targets[0].probe = 7
        pool.record_failure(targets[0], 7, EJECTION_S)
        assert targets[0].ejected_until_s == EJECTION_S + 2 * EJECTION_S

    def test_reporting_target_is_probed_only_after_a_fresh_report(self):
        site = Site(targets=2)
        for name in ("t0", "t1"):
            site.send(TargetReported(name, 0.0, 0, 0, 8), 0.0)
        first = placed(site.send(make_call(1), 0.1))[0]
        site.end(first, 0.2, result=RESULT_CRASHED)
        other = {"t0": "t1", "t1": "t0"}[first.target]
        site.send(TargetReported(other, 3.0, 0, 0, 8), 3.0)
        for number in range(2, 6):
            assert placed(site.send(make_call(number), 3.0))[0].target == other
        site.send(TargetReported(first.target, 3.1, 0, 0, 8), 3.1)
        calls = [make_call(number) for number in range(6, 18)]
        probes = [placed(site.send(call, 3.2))[0].target for call in calls[:4]]
        assert probes.count(first.target) <= 1

    def test_peer_votes_are_ignored_while_the_target_responds(self):
        pool, targets = _pool(5)
        targets[0].answered_s = 0.5
        for origin in ("d1", "d2", "d3"):
            pool.record_vote(targets[0], origin, 1.0)
            pool.record_vote(targets[1], origin, 1.0)
        assert [t.ejected for t in targets[:2]] == [False, True]
        assert not targets[1].locally_ejected


class TestFailures:
    def test_fast_failures_do_not_attract_traffic(self):
        site = Site(targets=3)
        sent = 0
        for number in range(40):
            now = 0.01 * number
            choice = placed(site.send(make_call(number), now))[0]
            bad = choice.target == "t0"
            sent += bad
            site.end(choice, now, result=RESULT_FAILED if bad else "ok")
        assert sent <= 2
