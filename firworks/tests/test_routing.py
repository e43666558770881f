"""Tests of routing: herding, late reports, prefixes and subsets."""

from collections import Counter

import pytest

from firworks.kernel.calls import TargetReported
from firworks.kernel.fleet.events import TOPIC_LOAD, FactLearned
from firworks.kernel.messages import Tick
from firworks.kernel.prefixes import PrefixIndex
from firworks.kernel.scheduling.state import SUBSET_SIZE
from firworks.tests.test_scheduling import Site, make_call, placed

POLICIES = ("random", "round-robin", "least-in-flight", "two-choices", "adaptive")


class TestRoutingPolicies:
    @pytest.mark.parametrize("routing", POLICIES)
    def test_every_policy_uses_all_targets_and_respects_concurrency(self, routing):
        site = Site(targets=3, routing=routing, concurrency=2)
        results = [site.send(make_call(i), 0.0) for i in range(9)]
        chosen = Counter(p.target for r in results for p in placed(r))
        assert chosen == {"t0": 2, "t1": 2, "t2": 2}

    def test_unknown_policy_falls_back_to_the_default(self):
        assert placed(Site(routing="none").send(make_call(1), 0.0))


class TestHerding:
    def test_daemons_with_the_same_late_report_choose_different_targets(self):
        chosen = Counter()
        for seed in range(18):
            site = Site(targets=5, seed=seed)
            _share_loads(site, peers=17)
            for index, running in enumerate((1, 2, 2, 2, 2)):
                report = TargetReported(f"t{index}", 9.0, running, 0, 8)
                site.send(report, 10.0)
            chosen[
                placed(site.send(make_call(1, deadline_s=18.0), 10.0))[0].target
            ] += 1
        assert max(chosen.values()) <= 9
        assert len(chosen) >= 4

    def test_overloaded_target_is_avoided_by_all_daemons(self):
        for seed in range(18):
            site = Site(targets=3, seed=seed)
            for index, running in enumerate((40, 2, 2)):
                site.send(TargetReported(f"t{index}", 9.9, running, 0, 8), 10.0)
            for number in range(4):
                call = make_call(number, deadline_s=18.0)
                assert placed(site.send(call, 10.0))[0].target != "t0"


def _share_loads(site, peers):
    fact = next(r for r in site.send(Tick(0.0), 9.9) if hasattr(r, "topic"))
    for number in range(peers):
        learned = FactLearned(TOPIC_LOAD, "p", fact.value, f"peer{number}")
        site.send(learned, 9.9)


class TestLoadEstimate:
    def test_own_calls_since_a_late_report_are_added_to_it(self):
        site = Site(targets=1)
        pool = site.scheduler.pools["p"]
        site.send(make_call(1), 1.0)
        site.send(TargetReported("t0", 1.5, 3, 0, 8), 2.0)
        site.send(make_call(2), 2.0)
        target = pool.targets[0]
        assert target.reported_other_load == 2
        assert pool.load(target, 1.5) == 2 + 2

    def test_older_report_is_ignored(self):
        site = Site(targets=1)
        site.send(TargetReported("t0", 2.0, 5, 0, 8), 2.1)
        site.send(TargetReported("t0", 1.0, 0, 0, 8), 2.2)
        assert site.scheduler.pools["p"].targets[0].reported_other_load == 5


class TestSubset:
    def test_large_pool_is_served_by_a_subset_and_spills_when_it_is_full(self):
        site = Site(targets=100, concurrency=1)
        chosen = []
        for number in range(SUBSET_SIZE + 10):
            chosen += placed(site.send(make_call(number), 0.0))
        subset = set(site.scheduler.watched_targets("p"))
        names = [p.target for p in chosen]
        assert len(subset) == SUBSET_SIZE
        assert set(names[:SUBSET_SIZE]) == subset
        assert len(names) == SUBSET_SIZE + 10
        assert not subset & set(names[SUBSET_SIZE:])


class TestPrefixIndex:
    PREFIX = (b"a", b"b", b"c", b"d")

    def test_match_is_the_longest_cached_chain(self):
        index = PrefixIndex()
        index.record_placement("t0", self.PREFIX, 0.0)
        index.record_placement("t1", self.PREFIX[:2], 0.0)
        assert index.find_matches(self.PREFIX, 1.0) == {"t0": 1.0, "t1": 0.5}

    def test_evictions_and_lost_events_lower_the_shares(self):
        index = PrefixIndex()
        index.record_events(_report(1, cached=self.PREFIX), 0.0)
        index.record_events(_report(2, evicted=self.PREFIX[2:]), 1.0)
        assert index.find_matches(self.PREFIX, 2.0) == {"t0": 0.5}
        index.record_events(_report(4), 3.0)
        assert index.find_matches(self.PREFIX, 4.0) == {"t0": 0.25}
        assert index.find_matches(self.PREFIX, 500.0) == {}

    def test_popular_prefix_does_not_overload_one_target(self):
        site = Site(targets=3, seed=3)
        chosen = Counter()
        for number in range(12):
            call = make_call(number, prefix=self.PREFIX)
            chosen[placed(site.send(call, 0.0))[0].target] += 1
        assert max(chosen.values()) <= 6


def _report(sequence, **events):
    return TargetReported("t0", 0.0, 0, 0, 8, sequence=sequence, **events)


class TestDeterminism:
    def test_same_seed_gives_the_same_choices(self):
        assert _choose_ten() == _choose_ten()


def _choose_ten():
    site = Site(targets=5, seed=7)
    calls = [make_call(number) for number in range(10)]
    return [placed(site.send(call, 0.0))[0].target for call in calls]
