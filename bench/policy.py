"""Measures the scheduler's policies under load and faults.

``python -m bench.policy`` runs every policy in every scenario and prints a table;
see ``--help``.
"""

from multiprocessing import Pool as ProcessPool
from pathlib import Path
from statistics import median

import fire

from bench.policy_report import format_details, format_table, write_plot
from bench.policy_results import summarize
from bench.policy_scenarios import make_scenarios
from bench.policy_site import POLICIES
from bench.policy_world import World

WORKERS = 4
QUICK_SEEDS = 4
FULL_SEEDS = 20


def run_one(task):
    """Run one policy in one scenario under one seed; return its `Result`."""
    policy, pairs, index, seed = task
    scenario = make_scenarios(pairs)[index]
    return summarize(World(policy, scenario, seed).run(), policy)


def measure(
    quick=False, pairs=False, seeds=0, only="", policies="", plot="", details=False
):
    """Run the measurement and print the table.

    Args:
        quick (bool): Fewer seeds.
        pairs (bool): Pairs of faults instead of single ones.
        seeds (int): Number of seeds; 0 takes 20, or 4 when quick.
        only (str): Run only scenarios whose name contains this.
        policies (str): Comma-separated names; empty takes all.
        plot (str): Path of an SVG to write; empty writes none.
        details (bool): Also print attainment by pipeline and account, and cost by
            stage.
    """
    seeds = seeds or (QUICK_SEEDS if quick else FULL_SEEDS)
    names = policies if isinstance(policies, tuple) else policies.split(",")
    names = [name for name in POLICIES if not policies or name in names]
    scenarios = make_scenarios(pairs)
    tasks = [
        (policy, pairs, index, seed)
        for index, scenario in enumerate(scenarios)
        if only in scenario.name
        for policy in names
        for seed in range(seeds)
    ]
    with ProcessPool(WORKERS) as workers:
        results = workers.map(run_one, tasks, chunksize=1)
    print(format_table(results))
    if details:
        print(format_details(results))
    if plot:
        Path(plot).write_text(write_plot(results))
    worst = max(result.offered_ratio for result in results)
    typical = median(result.offered_ratio for result in results)
    print(f"offered load over arrivals: median {typical:.3f}, worst {worst:.3f}")


if __name__ == "__main__":
    fire.Fire(measure)
