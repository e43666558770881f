"""Measures what the attainment weights of the two example documents bring about.

``python -m bench.policy_weights`` runs the same traffic under the weights of
each example document and prints attainment and cost.
"""

from multiprocessing import Pool as ProcessPool
from pathlib import Path
from statistics import mean, median

import fire

from bench.policy_results import summarize
from bench.policy_scenarios import make_scenarios
from bench.policy_world import World
from firworks.document import parse_document

WORKERS = 4
SEEDS = 20
SCENARIOS = ("steady 95%", "burst", "straggler", "domain gone")

# The example documents' pipelines that the bench's pipelines stand for.
PIPELINES = {
    "zwolle": {
        "ask": "answer-question",
        "lookup": "look-up-club",
        "loan": "register-loan",
        "quote": "summarise-repairs",
    },
    "rimac": {
        "ask": "answer-client",
        "lookup": "look-up-member",
        "loan": "place-order",
        "quote": "draft-quote",
    },
}


def read_weights(site):
    """Return the attainment weights by bench pipeline of an example document."""
    document = parse_document(Path(f"firworks/examples/{site}.toml").read_bytes(), site)
    names = PIPELINES[site]
    return {p: document.pipelines[n].attainment_weight for p, n in names.items()}


def run_one(task):
    """Run one scenario under one document's weights; return its `Result`."""
    site, name, seed = task
    scenario = next(s for s in make_scenarios() if s.name == name)
    world = World("adaptive", scenario, seed, read_weights(site))
    return summarize(world.run(), site)


def measure(seeds=SEEDS):
    """Print the table.

    Args:
        seeds (int): Number of seeds.
    """
    print(f"{'scenario':14} {'document':8} {'attain':>7} {'mean':>7} {'cost':>6} "
          f"{'waste':>6} {'hedge':>5} {'refuse':>6}")  # fmt: skip
    with ProcessPool(WORKERS) as workers:
        for name in SCENARIOS:
            tasks = [(site, name, seed) for site in PIPELINES for seed in range(seeds)]
            results = workers.map(run_one, tasks, chunksize=1)
            for site in PIPELINES:
                runs = [result for result in results if result.policy == site]
                print(_format_row(name, site, runs))


def _format_row(name, site, runs):
    def mid(field):
        return median(getattr(run, field) for run in runs)

    average = mean(run.attainment for run in runs)
    return (
        f"{name:14} {site:8} {mid('attainment'):7.4f} {average:7.4f} "
        f"{mid('cost'):6.3f} {mid('wasted'):6.3f} {mid('hedges'):5.0f} "
        f"{mid('refusals'):6.0f}"
    )


if __name__ == "__main__":
    fire.Fire(measure)
