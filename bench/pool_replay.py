"""Replays loads of the sites through the real schedulers on a virtual clock.

Run ``python -m bench.pool_replay [--seeds N]``. Each row leaves one decision out; each
load is played with the same seeds for all rows. Printed are the means of: credit earned
of that owed, requests that were not served, seconds for which these were held, pieces
made for them, and pieces for which a target had no room.
"""

from contextlib import contextmanager
from statistics import mean

import fire

from firworks.kernel.pools import critical_path, fetches, ordering, stages
from firworks.kernel.pools.retained_results import RetainedResults
from firworks.tests.pool_simulation import Burst, PoolSimulation, evict_all
from firworks.tests.pool_workloads import make_kathmandu, make_rimac, make_zwolle

LENGTH_S = 34.0
TARGETS = 3
NEVER_S = 3600.0
BURSTS = {
    make_zwolle: (
        Burst("arbiter", 3.5, 9.8, 2.8),
        Burst("advice", 14.0, 19.7, 3.6),
        Burst(None, 25.0, 29.0, 1.9),
    ),
    make_rimac: (
        Burst("quote", 3.5, 9.8, 2.7),
        Burst("notes", 14.0, 19.7, 3.0),
        Burst(None, 25.0, 29.0, 1.8),
    ),
    make_kathmandu: (
        Burst("draft", 3.5, 9.8, 2.8),
        Burst("summary", 14.0, 19.7, 3.0),
        Burst(None, 25.0, 29.0, 1.9),
    ),
}


def play_calm(world, make):
    """Play arrivals at their usual rate."""
    world.run(LENGTH_S)


def play_bursts(world, make):
    """Play bursts of one kind, of another and of all."""
    world.run(LENGTH_S, BURSTS[make])


def play_errors(world, make):
    """Play a calm time in which some pieces fail."""
    for target in world.targets.values():
        target.error_share = 0.01
    world.run(LENGTH_S)


def play_slow_target(world, make):
    """Play a calm time in which one target of each pool turns slow for 6 s."""
    for name in world.specs:
        target = next(t for t in world.targets.values() if t.target.service == name)
        world.at(8.0, setattr, target, "slowness", 4.0)
        world.at(14.0, setattr, target, "slowness", 1.0)
    world.run(LENGTH_S)


def play_lost_schedulers(world, make):
    """Play bursts while a pool loses its scheduler every 2 s."""
    world.expires = True
    for step, name in enumerate(list(world.specs) * 4):
        world.at(5.0 + 2.0 * step, world.replace_scheduler, name)
    world.run(LENGTH_S, BURSTS[make])


LOADS = (play_calm, play_bursts, play_errors, play_slow_target, play_lost_schedulers)


@contextmanager
def change(owner, name, value):
    """Set an attribute for a while."""
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


VARIANTS = (
    ("as built", None),
    ("all jobs strictly by priority", (ordering, "PRIORITY_STEP_S", 1000.0)),
    ("no wait reckoned at later stages", (critical_path, "EXPECTED_WAIT_CALLS", 0.0)),
    ("large results begun at once", (critical_path, "find_gate", lambda *args: None)),
    ("calls not spaced", (stages, "SPACING", 0.0)),
    ("inputs kept until a stage is done", (fetches, "FETCH_S", NEVER_S)),
    ("inputs given up when read", (RetainedResults, "take_surplus", evict_all)),
    ("hopeless jobs held", (stages, "REVIEW_PERIOD_S", NEVER_S)),
)


def measure(make, play, seeds):
    """Return the means (tuple of float) of one load."""
    rows = []
    for seed in range(1, seeds + 1):
        pools, kinds = make()
        world = PoolSimulation(pools, TARGETS, kinds, seed)
        play(world, make)
        unserved = world.count("lost") + world.count("refused")
        rows.append(
            (
                world.credit(),
                unserved,
                world.held_s,
                world.wasted_pieces,
                world.no_room,
            )
        )
    return tuple(mean(column) for column in zip(*rows, strict=True))


def main(seeds=4):
    """Print the table.

    Args:
        seeds (int): Seeds of each load.
    """
    for make in BURSTS:
        for play in LOADS:
            print(f"\n{make.__name__[5:]}, {play.__name__[5:].replace('_', ' ')}")
            for name, replaced in VARIANTS:
                if replaced is None:
                    figures = measure(make, play, seeds)
                else:
                    with change(*replaced):
                        figures = measure(make, play, seeds)
                credit, unserved, held_s, wasted, no_room = figures
                print(
                    f"  {name:36} {credit:.3f}  unserved {unserved:5.0f}"
                    f"  held {held_s:5.0f} s  wasted {wasted:5.0f}"
                    f"  no room {no_room:5.0f}",
                    flush=True,
                )


if __name__ == "__main__":
    fire.Fire(main)
