"""Tests of stage budgets and costs."""

import pytest

from firworks.document import Pipeline, Pool, Stage
from firworks.kernel.budgets import StageBudgets
from firworks.kernel.costs import compute_cost, sum_costs

STAGES = (Stage("encode", "encoders", "e"), Stage("generate", "engines", "g"))
PIPELINE = Pipeline("ask", 8000, stages=STAGES)


def _learned():
    budgets = StageBudgets()
    for _ in range(50):
        budgets.observe("ask", "encode", 0.1)
        budgets.observe("ask", "generate", 1.0)
    return budgets


class TestStageBudgets:
    def test_without_samples_only_overdue_requests_are_refused(self):
        budgets = StageBudgets()
        assert budgets.can_meet(PIPELINE, 0.001)
        assert not budgets.can_meet(PIPELINE, 0.0)
        assert budgets.stage_budget(PIPELINE, 0, 8.0) == 4.0

    def test_request_that_would_miss_its_deadline_is_refused(self):
        assert _learned().can_meet(PIPELINE, 1.5)
        assert not _learned().can_meet(PIPELINE, 0.9)

    def test_admission_recovers_after_a_slow_period(self):
        budgets = StageBudgets()
        for _ in range(50):
            budgets.observe("ask", "encode", 20.0)
        answered = 0
        for _ in range(2000):
            if budgets.can_meet(PIPELINE, 8.0):
                budgets.observe("ask", "encode", 0.1)
                answered += 1
        assert answered > 1000

    def test_later_stages_keep_their_reserved_time(self):
        assert _learned().stage_budget(PIPELINE, 0, 8.0) == pytest.approx(7.0, 0.1)
        assert _learned().stage_budget(PIPELINE, 1, 3.0) == 3.0

    def test_scarce_time_is_divided_in_proportion(self):
        assert _learned().stage_budget(PIPELINE, 0, 0.55) == pytest.approx(0.05, 0.2)


class TestCosts:
    def test_attempts_of_a_stage_add_up(self):
        pool = Pool("encoders", "service", ("e1",), price_per_second=2.0)
        costs = [compute_cost("encode", pool, 0.5), compute_cost("encode", pool, 1.0)]
        assert sum_costs(costs)[0].price == 3.0
