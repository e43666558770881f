"""Replays loads of a deployment with 70 engines through the real scheduler.

Run ``python -m bench.engine_replay [--seeds N]``. Each load is played with the same
seeds for both ways to rate placements. Printed are the means of: the median and the
90th percentile of the time to the first event of the longest kind and the 99th of all,
in seconds; late first events of 100 requests; millions of tokens read; thousands of
tokens of shared parts read again; MB of stage results fetched from other failure
domains; requests of the busiest engine over the mean; and engines without any.
"""

from statistics import mean

import fire

from firworks.kernel.pools.engines import BY_TIME, BY_TOKENS
from firworks.tests.engine_simulation import EngineSimulation, make_kinds

LENGTH_S = 60.0
CHANGE_S = 30.0
HOT_SHARE = 0.28
LONGEST = "manifest"
EVEN = {"fd-1": 1.0, "fd-2": 1.0, "fd-3": 1.0}
UNEVEN = {"fd-1": 0.7, "fd-2": 0.7, "fd-3": 1.7}
SLIGHTLY_UNEVEN = {"fd-1": 1.0, "fd-2": 1.0, "fd-3": 1.3}


def change_speeds(simulation):
    """Make engines slow that were fast, and the reverse."""
    changed = {"fd-1": 1.7, "fd-2": 0.7, "fd-3": 0.7}
    for engine in simulation.engines.values():
        engine.slowness = changed[engine.target.failure_domain]


def stall(simulation):
    """Let one engine read nothing more."""
    simulation.engines["engine-0"].stalled = True


LOADS = {
    "uneven engines": {"slowness": UNEVEN, "hot_share": 0.0},
    "uneven, hot subject": {"slowness": UNEVEN},
    "uneven, hot, 4 times the load": {"slowness": UNEVEN, "factor": 4.0},
    "uneven, hot, results made at home": {"slowness": UNEVEN, "at_home": True},
    "slightly uneven, hot": {"slowness": SLIGHTLY_UNEVEN},
    "slightly uneven, hot, at home": {"slowness": SLIGHTLY_UNEVEN, "at_home": True},
    "equal engines, hot": {"slowness": EVEN},
    "speeds change": {"slowness": UNEVEN, "change": change_speeds},
    "new scheduler": {
        "slowness": UNEVEN,
        "change": EngineSimulation.replace_scheduler,
    },
    "one engine stalls": {"slowness": UNEVEN, "change": stall},
}


def play(
    placement,
    seed,
    slowness,
    hot_share=HOT_SHARE,
    factor=1.0,
    at_home=False,
    change=None,
):
    """Play one load and return its figures (tuple of float)."""
    kinds = make_kinds(hot_share)
    for kind in kinds:
        kind.per_s *= factor
    world = EngineSimulation(placement, kinds, slowness, at_home=at_home, seed=seed)
    if change is not None:
        world.at(CHANGE_S, change, world)
    world.run(LENGTH_S)
    placed = [engine.placed for engine in world.engines.values()]
    return (
        world.measure_quantile(0.5, LONGEST),
        world.measure_quantile(0.9, LONGEST),
        world.measure_quantile(0.99),
        100 * world.measure_late(),
        world.read_tokens / 1e6,
        world.reread_tokens / 1e3,
        world.remote_bytes / 1e6,
        max(placed) / mean(placed),
        placed.count(0),
    )


def main(seeds=3):
    """Print one row of a table for each load and way to rate placements."""
    for name, load in LOADS.items():
        for placement in (BY_TOKENS, BY_TIME):
            rows = [play(placement, seed, **load) for seed in range(1, seeds + 1)]
            means = [mean(column) for column in zip(*rows, strict=True)]
            formats = ("0.2f", "0.2f", "0.2f", "0.2f", "0.2f", ".0f", ",.0f", "0.1f")
            cells = [
                format(value, shape)
                for value, shape in zip(means, (*formats, ".0f"), strict=True)
            ]
            print(f"| {name} | {placement} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
