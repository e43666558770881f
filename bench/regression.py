"""Plays the regression sites on the users' bench and compares them with earlier scores.

Run ``python -m bench.regression PROGRAM SITE...`` in the repository, PROGRAM being the
users' bench. Each site is scored, its worth by day is printed beside that of the last
score in the journal, and the command fails on a broken rule, a failed gate, or a mean
worth of the days with trouble that is lower by more than ``MARGIN``.
"""

import json
import subprocess
import sys
from pathlib import Path

import fire

from firworks.errors import FirworksError

JOURNAL = Path("journal")
# The users take a smaller change for noise.
MARGIN = 0.03
QUIET = "quiet"


class RegressionError(FirworksError):
    """The bench gave no result to compare."""


def load_scores(folder, site):
    """Return the scores (list of dict) of a site in a journal, the oldest first."""
    entries = []
    for path in sorted(Path(folder).glob("*.json")):
        entry = json.loads(path.read_text())
        if entry["cmd"] == "score" and entry["site"] == site and entry["days"]:
            entries.append(entry)
    return entries


def list_worths(entry):
    """Return the worth (float or None) of each standard day of a score by name."""
    return {
        day["name"]: day.get("G")
        for day in entry["days"]
        if not day["name"].startswith("fresh")
    }


def compute_mean(entry):
    """Return the mean worth of the days with trouble; a day without result counts 0."""
    worths = [
        worth or 0.0
        for name, worth in list_worths(entry).items()
        if not name.startswith(QUIET)
    ]
    if not worths:
        raise RegressionError(f"{entry['site']}: no day with trouble was played")
    return sum(worths) / len(worths)


def find_problems(entry, before):
    """Return what is wrong (list of str) with a score.

    Args:
        entry (dict): The score.
        before (dict or None): An earlier one of the same site.
    """
    problems = []
    for day in entry["days"]:
        name = f"{entry['site']} {day['name']}"
        if day.get("rules"):
            problems.append(f"{name}: broken rules {sorted(day['rules'])}")
        if day.get("fault"):
            problems.append(f"{name}: {day['fault']}")
        elif not day.get("gate"):
            problems.append(f"{name}: the gate failed")
    if before is not None:
        mean, earlier = compute_mean(entry), compute_mean(before)
        if mean < earlier - MARGIN:
            problems.append(
                f"{entry['site']}: mean worth {mean:.3f}, was {earlier:.3f}"
            )
    return problems


def format_days(entry, before):
    """Return the lines (list of str) that set a score beside an earlier one."""
    earlier = {} if before is None else list_worths(before)
    lines = [f"{entry['site']}: days with trouble {compute_mean(entry):.3f}"]
    for name, worth in list_worths(entry).items():
        values = " ".join(
            "     -" if value is None else f"{value:6.3f}"
            for value in (earlier.get(name), worth)
        )
        lines.append(f"  {name:12} {values}")
    return lines


def score(program, site_file, jobs):
    """Score a site; return its new entry and the last one before it, or None.

    Raises:
        RegressionError: When the bench leaves no new score.
    """
    site = Path(site_file).stem
    before = load_scores(JOURNAL, site)
    command = [program, "score", site_file, "--jobs", str(jobs), "--why", "regression"]
    subprocess.run(command, check=False)
    entries = load_scores(JOURNAL, site)
    if len(entries) == len(before):
        raise RegressionError(f"{site}: the bench left no score")
    return entries[-1], before[-1] if before else None


def main(program, *sites, jobs=1):
    """Score sites one after the other and compare them with their last scores.

    Args:
        program (str): Path of the users' bench.
        sites (str): Paths of site files.
        jobs (int): Days played at once; a large one takes 8 GB of memory.
    """
    problems = []
    for site_file in sites:
        entry, before = score(program, site_file, jobs)
        print("\n".join(format_days(entry, before)), flush=True)
        problems += find_problems(entry, before)
    print("\n".join(problems) or "no regression")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    fire.Fire(main)
