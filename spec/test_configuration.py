"""Checks the specification of configuration acceptance."""

import pytest

from spec.configuration import GUARDS, Configuration, Races
from spec.transitions import find_impossible_steps, prove, search

DEPTH = 7


class TestConfiguration:
    def test_any_reader_agrees_with_the_log(self):
        assert prove(Configuration(log_length=0)) == ""
        assert find_impossible_steps(Configuration(log_length=0)) == []

    @pytest.mark.parametrize("guard", GUARDS)
    def test_each_guard_is_needed(self, guard):
        assert search(Configuration(dropped=guard), DEPTH) is not None

    def test_no_short_run_is_unsafe(self):
        assert search(Configuration(), 4) is None


class TestRaces:
    def test_one_publication_wins(self):
        assert prove(Races()) == ""
        assert find_impossible_steps(Races()) == []

    def test_two_would_win_without_the_base(self):
        assert search(Races("base is current"), 4) is not None
