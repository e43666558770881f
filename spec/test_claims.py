"""Checks the specification of claims."""

import pytest

from spec.claims import FINAL_DECISION, GUARDS, Claims
from spec.transitions import find_impossible_steps, prove, search

DEPTH = 10


class TestClaims:
    def test_work_runs_at_most_once(self):
        assert prove(Claims(3)) == ""
        assert find_impossible_steps(Claims(3)) == []

    def test_a_window_at_writing_does_no_harm(self):
        assert prove(Claims(2, writing_window=True)) == ""

    def test_deciding_again_changes_nothing(self):
        assert prove(Claims(2, FINAL_DECISION)) == ""

    def test_retention_must_exceed_the_window_by_three_skews(self):
        assert search(Claims(2, margin=2), DEPTH) is not None

    @pytest.mark.parametrize("guard", GUARDS)
    def test_each_guard_is_needed(self, guard):
        assert search(Claims(2, guard), DEPTH) is not None
