"""Checks the specification of terms."""

import pytest

from spec.terms import GUARDS, LONG_WAIT, Terms
from spec.transitions import find_impossible_steps, prove, search

DEPTH = 11


class TestTerms:
    def test_no_order_takes_effect_after_one_of_a_newer_term(self):
        assert prove(Terms()) == ""
        assert find_impossible_steps(Terms()) == []

    def test_the_longest_order_is_allowed_for_twice(self):
        assert prove(Terms(LONG_WAIT)) == ""

    @pytest.mark.parametrize("guard", GUARDS)
    def test_each_guard_is_needed(self, guard):
        assert search(Terms(guard), DEPTH) is not None
