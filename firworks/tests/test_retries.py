"""Tests of retries and hedges: budgets, failure domains, work sent once."""

import pytest

from firworks.codes import Code
from firworks.document import Pool
from firworks.kernel.calls import RESULT_FAILED, HedgeAdvised, TargetDown
from firworks.kernel.messages import Tick, VmEntry, VmsListed
from firworks.kernel.retries import INITIAL_TOKENS, AttemptBudgets
from firworks.tests.test_scheduling import Site, make_call, placed, rejected


class TestAttemptBudgets:
    def test_extra_attempts_stay_below_a_fifth_of_the_traffic(self):
        budgets = AttemptBudgets()
        largest = Pool("p", "service", ("t",), retry_share=0.1, hedge_share=0.1)
        extra = 0
        for _ in range(1000):
            budgets.deposit(largest)
            extra += budgets.try_withdraw_retry()
            extra += budgets.try_withdraw_hedge()
        assert extra <= 0.2 * 1000 + 2 * INITIAL_TOKENS

    def test_hedges_leave_tokens_for_retries(self):
        budgets = AttemptBudgets()
        budgets.hedges.tokens = 0.0
        budgets.retries.tokens = 4.0
        hedges = sum(budgets.try_withdraw_hedge() for _ in range(10))
        assert hedges == 2
        assert budgets.try_withdraw_retry()


class TestRetries:
    def test_retry_storm_is_bounded_when_everything_fails(self):
        site = Site(targets=3, ejection_share=0.0)
        sent = 0
        call_id = 0
        for request in range(200):
            now = 0.05 * request
            attempt = 1
            while attempt <= 4:
                call_id += 1
                call = make_call(call_id, deadline_s=now + 0.3, attempt=attempt)
                results = site.send(call, now)
                if not placed(results):
                    break
                sent += 1
                site.end(placed(results)[0], now, result=RESULT_FAILED)
                attempt += 1
        assert 200 < sent <= 1.2 * 200

    def test_retry_without_budget_waits_and_is_refused_when_too_late(self):
        site = Site()
        for number in range(int(INITIAL_TOKENS) + 1):
            results = site.send(make_call(number, attempt=2), 0.0)
        assert results == []
        assert rejected(site.send(Tick(0.0), 7.9))[0].code == Code.TARGET_FAILED

    def test_retry_goes_to_another_failure_domain_first(self):
        for seed in range(10):
            site = Site(targets=4, seed=seed)
            domains = {"t0": "a", "t1": "a", "t2": "b", "t3": "b"}
            vms = [VmEntry(n, "", "target", "r", d) for n, d in domains.items()]
            site.send(VmsListed(tuple(vms)), 0.0)
            retry = make_call(2, attempt=2, avoid=("t0",))
            assert placed(site.send(retry, 0.0))[0].target in ("t2", "t3")

    def test_target_reported_down_gets_no_calls(self):
        site = Site(targets=2)
        site.send(TargetDown("t0"), 0.0)
        calls = [make_call(number) for number in range(6)]
        assert {placed(site.send(c, 1.0))[0].target for c in calls} == {"t1"}

    def test_call_without_targets_is_rejected_at_once(self):
        site = Site(targets=1)
        site.send(TargetDown("t0"), 0.0)
        assert rejected(site.send(make_call(1), 1.0))[0].code == Code.NO_TARGET


class TestNonRepeatableCalls:
    def test_it_is_neither_hedged_nor_retried(self):
        site = _experienced_site()
        call = make_call(50, deadline_s=28.0, repeatable=False)
        assert placed(site.send(call, 20.0))
        for step in range(80):
            assert not _hedges(site.send(Tick(0.0), 20.0 + 0.1 * step))
        retry = make_call(51, deadline_s=28.0, repeatable=False, attempt=2)
        hedge = make_call(52, deadline_s=28.0, repeatable=False, hedge_of=50)
        assert rejected(site.send(retry, 21.0))
        assert rejected(site.send(hedge, 21.0))


class TestHedges:
    def test_slow_call_near_its_deadline_is_hedged_once_elsewhere(self):
        site = _experienced_site(weight=1.0)
        first = placed(site.send(make_call(50, deadline_s=20.5), 20.0))[0]
        wanted = []
        for step in range(1, 5):
            wanted += _hedges(site.send(Tick(0.0), 20.0 + 0.1 * step))
        assert [h.call_id for h in wanted] == [50]
        hedge = make_call(51, deadline_s=20.5, attempt=2, hedge_of=50)
        assert placed(site.send(hedge, 20.3))[0].target != first.target

    def test_unsolicited_hedge_is_rejected(self):
        site = _experienced_site()
        site.send(make_call(50, deadline_s=28.0), 20.0)
        hedge = make_call(51, deadline_s=28.0, attempt=2, hedge_of=50)
        assert rejected(site.send(hedge, 20.1))

    @pytest.mark.parametrize("knobs", [{"hedge_share": 0.0}, {"weight": 0.0}])
    def test_share_or_weight_zero_turns_hedges_off(self, knobs):
        site = _experienced_site(**{"weight": 1.0, **knobs})
        site.send(make_call(50, deadline_s=20.5), 20.0)
        for step in range(1, 6):
            assert not _hedges(site.send(Tick(0.0), 20.0 + 0.1 * step))


def _experienced_site(**pool):
    """Return a site that has seen forty calls of 0.1 s each."""
    site = Site(targets=3, **pool)
    for number in range(1, 41):
        choice = placed(site.send(make_call(number, deadline_s=60.0), 0.1 * number))[0]
        site.end(choice, 0.1 * number + 0.1, latency_s=0.1)
    return site


def _hedges(results):
    return [result for result in results if isinstance(result, HedgeAdvised)]
