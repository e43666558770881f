"""Replays loads of the sites through the real schedulers on a virtual clock.

Run ``python -m bench.pool_replay [--seeds N]``. Each row leaves one decision out; each
load is played with the same seeds for all rows. Printed are the means of: credit earned
of that owed, requests served in time, requests that were not served, seconds for which
these were held, pieces made for them, and pieces for which a target had no room. The
first row of each load states the credit that no policy can exceed.
"""

from contextlib import contextmanager
from statistics import mean

import fire

from firworks.kernel.pools import critical_path, fetches, ordering, stages
from firworks.kernel.pools.retained_results import RetainedResults
from firworks.tests.fluid_bound import compute_credit_bound
from firworks.tests.pool_simulation import evict_all, vary_speeds
from firworks.tests.pool_workloads import SITES, Site

LENGTH_S = 34.0
NEVER_S = 3600.0


def play_calm(world, site):
    """Play arrivals at their usual rate."""
    world.run(LENGTH_S)


def play_bursts(world, site):
    """Play bursts of one kind, of another and of all."""
    world.run(LENGTH_S, site.bursts)


def play_errors(world, site):
    """Play a calm time in which some pieces fail."""
    for target in world.targets.values():
        target.error_share = 0.01
    world.run(LENGTH_S)


def play_slow_target(world, site):
    """Play a calm time in which one target of each pool turns slow for 6 s."""
    for name in world.specs:
        target = next(t for t in world.targets.values() if t.target.service == name)
        world.at(8.0, setattr, target, "slowness", 4.0)
        world.at(14.0, setattr, target, "slowness", 1.0)
    world.run(LENGTH_S)


def play_uneven_targets(world, site):
    """Play a calm time in which the speed of each target changes all the time."""
    vary_speeds(world, LENGTH_S)
    world.run(LENGTH_S)


def play_lost_schedulers(world, site):
    """Play bursts while a pool loses its scheduler every 2 s."""
    world.expires = True
    for step, name in enumerate(list(world.specs) * 4):
        world.at(5.0 + 2.0 * step, world.replace_scheduler, name)
    world.run(LENGTH_S, site.bursts)


LOADS = (
    play_calm,
    play_bursts,
    play_errors,
    play_slow_target,
    play_uneven_targets,
    play_lost_schedulers,
)


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
    ("answers of engines measured", (Site, "measures_answers", True)),
    ("memory used while it is freed", (Site, "reuses_memory", True)),
    ("large results made near engines", (Site, "prefers_home", True)),
    ("speed of targets reported", (Site, "reports_loads", True)),
)


def measure(site, play, seeds):
    """Return the means (tuple of float) of one load."""
    rows = []
    for seed in range(1, seeds + 1):
        world = site.simulate(seed)
        play(world, site)
        unserved = world.count("lost") + world.count("refused")
        rows.append(
            (
                world.credit(),
                world.count("on time"),
                unserved,
                world.held_s,
                world.wasted_pieces,
                world.no_room,
                compute_credit_bound(world),
            )
        )
    return tuple(mean(column) for column in zip(*rows, strict=True))


def measure_variant(site, play, seeds, replaced):
    """Return the means (tuple of float) of one load with one decision replaced."""
    if replaced is None:
        return measure(site, play, seeds)
    with change(*replaced):
        return measure(site, play, seeds)


def main(seeds=4, sites="", loads=""):
    """Print the table.

    Args:
        seeds (int): Seeds of each load.
        sites (str): Names of the sites, separated by spaces; all if empty.
        loads (str): Names of the loads, like "bursts", likewise.
    """
    for site in SITES:
        for play in LOADS:
            load = play.__name__[5:]
            if sites and site.name not in sites.split():
                continue
            if loads and load not in loads.split():
                continue
            print(f"\n{site.name}, {load.replace('_', ' ')}")
            for index, (name, replaced) in enumerate(VARIANTS):
                figures = measure_variant(site, play, seeds, replaced)
                credit, on_time, unserved, held_s, wasted, no_room, bound = figures
                if not index:
                    print(f"  {'bound of any policy':36} {bound:.3f}")
                print(
                    f"  {name:36} {credit:.3f}  on time {on_time:5.0f}"
                    f"  unserved {unserved:5.0f}  held {held_s:5.0f} s"
                    f"  wasted {wasted:5.0f}  no room {no_room:5.0f}",
                    flush=True,
                )


if __name__ == "__main__":
    fire.Fire(main)
