"""The comparison of scores of the users' bench."""

import json

import pytest

from bench.regression import (
    MARGIN,
    RegressionError,
    compute_mean,
    find_problems,
    format_days,
    load_scores,
)


def make_day(name, worth=0.6, **changes):
    """Return a day of a score."""
    return {
        "name": name,
        "G": worth,
        "rules": {},
        "fault": None,
        "gate": True,
    } | changes


def make_score(worth=0.6, site="desk", **changes):
    """Return a score with a quiet day, one with trouble and one drawn anew."""
    days = [
        make_day("quiet-1", 0.9),
        make_day("trouble-1", worth, **changes),
        make_day("fresh-1", 0.1),
    ]
    return {"cmd": "score", "site": site, "days": days}


class TestComparison:
    def test_the_mean_is_of_the_standard_days_with_trouble(self):
        assert compute_mean(make_score(0.6)) == pytest.approx(0.6)
        assert compute_mean(make_score(None)) == 0.0
        with pytest.raises(RegressionError):
            compute_mean({"site": "desk", "days": [make_day("quiet-1")]})

    def test_a_lower_mean_is_a_problem_beyond_the_margin(self):
        before = make_score(0.6)
        assert not find_problems(make_score(0.6 - MARGIN + 0.001), before)
        assert len(find_problems(make_score(0.6 - MARGIN - 0.001), before)) == 1
        assert not find_problems(make_score(0.1), None)

    @pytest.mark.parametrize(
        "changes",
        [{"rules": {"LOST": 1}}, {"gate": False}, {"fault": "no result", "gate": None}],
    )
    def test_a_broken_rule_a_failed_gate_and_a_fault_are_problems(self, changes):
        assert len(find_problems(make_score(**changes), None)) == 1

    def test_days_stand_beside_the_earlier_ones(self):
        lines = format_days(make_score(0.5), make_score(0.6))
        assert lines[2].split() == ["trouble-1", "0.600", "0.500"]
        assert len(lines) == 3


class TestJournal:
    def test_scores_of_a_site_are_found_in_order(self, tmp_path):
        for number, (cmd, site) in enumerate(
            [("score", "desk"), ("run", "desk"), ("score", "other"), ("score", "desk")]
        ):
            entry = {**make_score(number / 10, site), "cmd": cmd}
            (tmp_path / f"{number}.json").write_text(json.dumps(entry))
        found = [compute_mean(entry) for entry in load_scores(tmp_path, "desk")]
        assert found == [pytest.approx(0.0), pytest.approx(0.3)]
