"""Tests of the fair shares of client accounts in stage pools and engine pools."""

from collections import Counter

import pytest

from firworks.gateway import account_shares
from firworks.gateway.account_shares import make_shares, report_shares
from firworks.gateway.metrics import MAX_ACCOUNTS, GatewayMetrics
from firworks.kernel.forwarding.configuration import EngineSpec, StagePoolSpec
from firworks.kernel.pools.accounts import (
    HALF_LIFE_S,
    LOWEST_RANK,
    MEMORY_S,
    OVER_RANK,
    AccountShares,
    UnsharedCapacity,
    rank_level,
)
from firworks.kernel.pools.engines import EngineScheduler, NotPlaced, Placed
from firworks.kernel.pools.results import JobRefused
from firworks.kernel.pools.share_reports import (
    EXCESS_AFTER_S,
    MAX_FOLLOWED,
    MAX_GAP_S,
    QUIET_S,
)
from firworks.kernel.pools.stages import StageScheduler
from firworks.kernel.pools.workers import StageCall
from firworks.tests.test_pools import (
    make_engine_job,
    make_job,
    make_results,
    make_targets,
    pick_actions,
)

SPEC = StagePoolSpec(1, 2, 8, 0.2, 0.02, 16_000_000, 4.0)
ENGINES = EngineSpec(2, 1_000_000, 0)


def order_names(shares, waiting, now=0.0, cost=1.0):
    """Return the order of some work.

    Args:
        shares (AccountShares): The shares.
        waiting (str): The account of each piece of work, one letter each.
        now (float): Monotonic seconds.
        cost (float): Cost of each.
    """
    entries = list(waiting)
    return "".join(shares.order(entries, lambda one: (one, 1.0, cost), now))


def make_stages(targets=1, shares=None):
    """Return a `StageScheduler` with shares."""
    scheduler = StageScheduler(SPEC, shares=shares or AccountShares())
    scheduler.set_targets(make_targets(targets), 0.0)
    return scheduler


class TestShares:
    def test_one_account_keeps_the_order(self):
        # A ranking of a single account's own work would undo the order by deadline.
        shares = AccountShares()
        shares.charge("a", 1.0, 5.0, 0.0)
        entries = [("a", 3), ("a", 1), ("a", 2)]
        assert shares.order(entries, lambda _: ("a", 1.0, 1.0), 0.0) == entries

    def test_accounts_that_used_nothing_keep_the_order(self):
        assert order_names(AccountShares(), "abba") == "abba"

    def test_work_below_the_share_goes_before_work_above_it(self):
        shares = AccountShares()
        shares.charge("a", 1.0, 8.0, 0.0)
        assert order_names(shares, "aaabb") == "bbaaa"
        assert shares.is_over("a", 0.0) and not shares.is_over("b", 0.0)
        assert shares.rank("a", 0.0) == OVER_RANK
        assert shares.rank("b", 0.0) == LOWEST_RANK

    def test_only_the_work_within_the_share_goes_first(self):
        # Without the work ahead in the sum, a new burst would be served as a whole
        # before an account that had got slightly more.
        shares = AccountShares()
        shares.charge("a", 1.0, 4.0, 0.0)
        shares.charge("b", 1.0, 2.0, 0.0)
        assert order_names(shares, "abbbbb") == "bbabbb"

    def test_weights_divide_the_level(self):
        shares = AccountShares()
        shares.charge("a", 4.0, 8.0, 0.0)
        shares.charge("b", 1.0, 4.0, 0.0)
        entries = [("b", 1.0, 1.0), ("a", 4.0, 1.0)]
        assert shares.order(entries, tuple, 0.0) == entries[::-1]
        assert shares.is_over("b", 0.0) and not shares.is_over("a", 0.0)

    def test_levels_halve_in_the_half_life(self):
        shares = AccountShares()
        shares.charge("a", 1.0, 8.0, 0.0)
        shares.charge("b", 1.0, 5.0, HALF_LIFE_S)
        assert order_names(shares, "ba", HALF_LIFE_S) == "ab"

    def test_a_charge_is_taken_back_without_a_debt(self):
        shares = AccountShares()
        shares.charge("a", 1.0, 2.0, 0.0)
        shares.charge("a", 1.0, -2.0, 1.0)
        shares.charge("a", 1.0, 2.0, 2.0)
        shares.charge("b", 1.0, 1.0, 2.0)
        assert order_names(shares, "ab", 2.0) == "ba"

    def test_idle_accounts_are_forgotten(self):
        # Names of accounts would otherwise accumulate for the life of the process.
        shares = AccountShares()
        for number in range(100):
            shares.charge(f"old-{number}", 1.0, 1.0, 1.0)
        shares.charge("new", 1.0, 1.0, 2.0 + MEMORY_S)
        assert list(shares._levels) == ["new"]

    @pytest.mark.parametrize("weight", [0.0, -1.0, 1e300])
    def test_odd_weights_from_peers_are_limited(self, weight):
        shares = AccountShares()
        shares.charge("a", weight, 1.0, 0.0)
        entries = [("a", weight, 1.0), ("b", 1.0, 1.0)]
        assert sorted(shares.order(entries, tuple, 0.0)) == sorted(entries)

    def test_ranks_rise_with_the_level(self):
        levels = [0.0, 1e-300, 0.1, 0.3, 0.5, 0.6, 1.0, 1.1, 1e300]
        ranks = [rank_level(level, 1.0) for level in levels]
        assert ranks == sorted(ranks) and ranks[-3:] == [0, OVER_RANK, OVER_RANK]
        assert rank_level(1e300, 1e-300) == OVER_RANK

    def test_the_decision_needs_one_look_at_each_job(self, monkeypatch):
        # 400 waiting jobs are ordered for every call.
        looks = Counter()
        get_level = AccountShares._get_level

        def count_level(shares, account, now):
            looks["level"] += 1
            return get_level(shares, account, now)

        def describe(entry):
            looks["job"] += 1
            return entry, 1.0, 1.0

        monkeypatch.setattr(AccountShares, "_get_level", count_level)
        AccountShares().order(list("abcd") * 100, describe, 0.0)
        assert looks == {"job": 400, "level": 4}


class TestReports:
    def observe(self, shares, begin_s, end_s, step_s=0.25, waiting="ab"):
        """Let work wait for a time; return the changes and the time short."""
        changes, short_s = [], Counter()
        for step in range(round((end_s - begin_s) / step_s) + 1):
            now = begin_s + step * step_s
            shares.charge("a", 1.0, 1.0, now)
            order_names(shares, waiting, now)
            report = shares.take_report(now)
            changes += report.changes
            short_s.update(report.short_s)
        return changes, short_s

    def test_an_excess_is_reported_once_and_its_end(self):
        shares = AccountShares()
        changes, short_s = self.observe(shares, 0.0, 4.0)
        (begin,) = changes
        assert (begin.account, begin.exceeds, begin.waiting) == ("a", True, 2)
        assert begin.ratio == pytest.approx(2.0)
        assert dict(short_s) == {"b": pytest.approx(4.0)}
        changes, _ = self.observe(shares, 4.25, 4.0 + QUIET_S + 1.0, waiting="a")
        (end,) = changes
        assert (end.account, end.exceeds) == ("a", False)

    def test_a_short_excess_is_not_reported(self):
        shares = AccountShares()
        changes, _ = self.observe(shares, 0.0, EXCESS_AFTER_S - 0.25)
        changes += shares.take_report(20.0).changes
        assert changes == []

    def test_time_without_waiting_work_is_not_counted(self):
        shares = AccountShares()
        _, short_s = self.observe(shares, 0.0, 10.0, step_s=MAX_GAP_S + 0.5)
        assert not short_s

    def test_accounts_that_are_followed_are_bounded(self):
        shares = AccountShares()
        names = [f"account-{number}" for number in range(100)]
        changes = []
        for step in range(20):
            for name in names[:50]:
                shares.charge(name, 1.0, 1.0, step / 4)
            shares.order(names, lambda name: (name, 1.0, 1.0), step / 4)
            changes += shares.take_report(step / 4).changes
        assert len(changes) == MAX_FOLLOWED

    def test_accounts_in_metrics_are_bounded(self):
        metrics = GatewayMetrics()
        for number in range(100):
            metrics.record_short_account("repair", f"account-{number}", 1.0)
        (family,) = metrics.accounts_short.collect()
        names = {one.labels["account"] for one in family.samples}
        assert len(names) == MAX_ACCOUNTS + 1

    def test_reports_reach_the_log_and_the_metrics(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            account_shares, "log_event", lambda event, **fields: lines.append(fields)
        )
        shares, metrics = make_shares("fair"), GatewayMetrics()
        for step in range(9):
            shares.charge("a", 1.0, 1.0, step / 4)
            order_names(shares, "ab", step / 4)
        report_shares("repair", shares.take_report(2.0), metrics)
        report_shares("repair", make_shares("off").take_report(2.0), metrics)
        (line,) = lines
        assert (line["service"], line["account"]) == ("repair", "a")
        short = metrics.accounts_short.labels("repair", "b")
        assert short._value.get() == pytest.approx(2.0)


class TestStagePools:
    def test_an_account_below_its_share_is_served_first(self):
        scheduler = make_stages()
        (first,) = scheduler.submit(make_job("a0", 8, account="a"), 0.0)
        for number in range(1, 4):
            scheduler.submit(make_job(f"a{number}", 8, account="a"), 0.0)
        scheduler.submit(make_job("b", 2, soft_deadline_s=3.0, account="b"), 0.1)
        actions = scheduler.complete_call(first.call_id, make_results(first), 0.36)
        (call,) = pick_actions(actions, StageCall)
        assert [piece.job.job_id for piece in call.pieces] == ["b", "b"]

    def test_the_account_above_its_share_is_refused_first(self):
        # All accounts were refused alike when one had filled the queue.
        for shares, refused in ((AccountShares(), "a"), (UnsharedCapacity(), "ab")):
            scheduler = make_stages(shares=shares)
            for number in range(16):
                job = make_job(f"a{number}", 8, deadline_s=4.0, account="a")
                scheduler.submit(job, 0.0)
            found = ""
            for account in "ab":
                job = make_job(f"x{account}", 8, deadline_s=4.0, account=account)
                actions = scheduler.submit(job, 0.1)
                found += account * bool(pick_actions(actions, JobRefused))
            assert found == refused

    def test_a_full_target_is_not_charged(self):
        scheduler = make_stages()
        (call,) = scheduler.submit(make_job("a", 8, account="a"), 0.0)
        scheduler.reject_call(call.call_id, 0.0)
        assert scheduler.shares._get_level("a", 0.0) == pytest.approx(0.0)

    def test_a_new_scheduler_starts_from_zero(self):
        old = make_stages()
        old.submit(make_job("a0", 8, account="a"), 0.0)
        assert old.shares._get_level("a", 0.0) > 0.0
        new = make_stages()
        new.adopt(make_job("a0", 8, account="a"), {"h/a0/0": "10.0.0.0:80"}, True, 0.5)
        assert new.shares._get_level("a", 0.5) == 0.0
        call = new.submit(make_job("a1", 8, account="a"), 0.5)
        assert pick_actions(call, StageCall)

    def test_two_schedulers_each_share_the_work_that_they_see(self):
        schedulers = [make_stages(), make_stages()]
        calls = [
            scheduler.submit(make_job(f"a{i}", 8, account="a"), 0.0)[0]
            for i, scheduler in enumerate(schedulers)
        ]
        for scheduler, call in zip(schedulers, calls, strict=True):
            for name in ("a8", "a9"):
                scheduler.submit(make_job(name, 8, account="a"), 0.0)
            scheduler.submit(make_job("b", 2, account="b"), 0.1)
            actions = scheduler.complete_call(call.call_id, make_results(call), 0.36)
            (following,) = pick_actions(actions, StageCall)
            assert {piece.job.account for piece in following.pieces} == {"b"}
        levels = [one.shares._get_level("a", 0.36) for one in schedulers]
        assert levels[0] == levels[1] > 0.0


class TestEnginePools:
    def make(self, shares):
        scheduler = EngineScheduler(ENGINES, shares=shares)
        scheduler.set_targets(make_targets(1, "engine"), 0.0)
        for name in ("a0", "a1"):
            assert scheduler.submit(make_engine_job(name, account="a"), 0.0)
        for name in ("a2", "a3"):
            assert scheduler.submit(make_engine_job(name, account="a"), 0.0) == []
        late = make_engine_job("b", account="b", first_byte_deadline_s=11.0, priority=2)
        assert scheduler.submit(late, 0.1) == []
        return scheduler

    def test_an_account_below_its_share_is_placed_first(self):
        for shares, first in ((AccountShares(), "b"), (UnsharedCapacity(), "a2")):
            (placed,) = self.make(shares).end("a0", False, 0.5)
            assert placed.job.job_id == first

    def test_the_account_above_its_share_is_refused_first(self):
        for shares, refused in ((AccountShares(), "a2 a3"), (UnsharedCapacity(), "b")):
            scheduler = self.make(shares)
            scheduler.end("a0", False, 0.5)
            if shares.active is False:
                scheduler.end("a1", False, 0.5)
            actions = scheduler.plan(20.0)
            names = [one.job.job_id for one in pick_actions(actions, NotPlaced)]
            assert sorted(names) == refused.split()

    def test_cached_tokens_are_not_charged(self):
        scheduler = EngineScheduler(ENGINES, shares=AccountShares())
        scheduler.set_targets(make_targets(1, "engine"), 0.0)
        parts = (("shared", 900),)
        for name in "ab":
            scheduler.submit(make_engine_job(name, parts, account=name), 0.0)
        levels = [scheduler.shares._get_level(name, 0.0) for name in "ab"]
        assert levels == [1100, 200]

    def test_a_new_scheduler_starts_from_zero(self):
        scheduler = EngineScheduler(ENGINES, shares=AccountShares())
        scheduler.set_targets(make_targets(1, "engine"), 0.0)
        scheduler.adopt(make_engine_job("a", account="a"), "engine-0", True)
        assert scheduler.shares._get_level("a", 0.0) == 0.0
        assert pick_actions(
            scheduler.submit(make_engine_job("b", account="a"), 0.0), Placed
        )
