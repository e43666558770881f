"""Time to detect a dead VM, time until the last daemon knows, false suspicions.

Kernels only, in one process with a virtual clock.
Run ``python -m bench.fleet_detection all`` or, for the last table alone,
``python -m bench.fleet_detection suspicions``.
"""

from random import Random
from statistics import median

import fire

from firworks.kernel.calls import TargetLeaving
from firworks.kernel.fleet.departures import Departures
from firworks.kernel.fleet.events import MEMBER_DEAD, MEMBER_SUSPECT, MemberChanged
from firworks.tests.virtual_fleet import VirtualFleet, make_vms

SEEDS = 50
LARGE_SEEDS = 5
LOSSES = (0.0, 0.01, 0.1, 0.3)
WATCHED_S = 600
DETECTION_LIMIT_S = 40


def measure_death(size, regions, seed, loss=0.0):
    """Kill one VM without a sign.

    Returns:
        tuple of float: Seconds until the first daemon suspects it, until the first
        and until the last daemon holds it dead.
    """
    fleet = VirtualFleet(make_vms(size, regions, 2), seed=seed, loss=loss)
    fleet.run(8)
    victim = Random(seed).choice(sorted(fleet.daemons))
    died_s = fleet.now
    fleet.kill(victim, sockets_close=False)
    daemons = list(fleet.daemons.values())

    def all_know():
        return all(d.membership.find_status(victim) == MEMBER_DEAD for d in daemons)

    fleet.run(DETECTION_LIMIT_S, all_know)
    suspected, dead = [], []
    for daemon in daemons:
        for seen_s, event in daemon.recorder.seen:
            if not isinstance(event, MemberChanged) or event.member != victim:
                continue
            if seen_s >= died_s and event.status == MEMBER_SUSPECT:
                suspected.append(seen_s - died_s)
            if seen_s >= died_s and event.status == MEMBER_DEAD:
                dead.append(seen_s - died_s)
    lacking = [DETECTION_LIMIT_S] * (not all_know())
    return min(suspected), min(dead), max(dead + lacking)


def measure_leaving(size, regions, seed):
    """Return the seconds until the last daemon knows that a target is leaving."""
    fleet = VirtualFleet(
        make_vms(size, regions, 2), seed=seed, make_extra_parts=lambda _: (Departures(),)
    )
    fleet.run(8)
    told_s = fleet.now
    fleet.feed(Random(seed).choice(sorted(fleet.daemons)), TargetLeaving("t"))
    parts = [daemon.parts[2] for daemon in fleet.daemons.values()]
    fleet.run(DETECTION_LIMIT_S, lambda: all(p.is_leaving("t") for p in parts))
    return fleet.now - told_s


def count_suspicions(size, seed, loss):
    """Return how often a live daemon was suspected, and held dead, per hour."""
    fleet = VirtualFleet(make_vms(size), seed=seed, loss=loss)
    fleet.run(8)
    started_s = fleet.now
    fleet.run(WATCHED_S)
    counts = {MEMBER_SUSPECT: set(), MEMBER_DEAD: set()}
    for daemon in fleet.daemons.values():
        for seen_s, event in daemon.recorder.seen:
            wrong = isinstance(event, MemberChanged) and event.status in counts
            if wrong and seen_s >= started_s:
                # Views of one suspicion fall within a few seconds of each other.
                counts[event.status].add((event.member, round(seen_s / 10)))
    scale = 3600 / WATCHED_S
    return tuple(len(seen) * scale for seen in counts.values())


def main(seeds=SEEDS, large_seeds=LARGE_SEEDS):
    """Print the tables.

    Args:
        seeds (int): Seeds at up to 18 daemons.
        large_seeds (int): Seeds at larger sizes.
    """
    print("death of a VM: seconds, median / worst")
    print("daemons  seeds  first suspects   first holds dead   last holds dead")
    for size, regions in ((6, 1), (12, 1), (18, 1), (60, 2), (330, 2)):
        count = seeds if size <= 18 else large_seeds
        runs = [measure_death(size, regions, seed) for seed in range(count)]
        columns = [f"{median(c):6.2f} / {max(c):6.2f}" for c in zip(*runs, strict=True)]
        print(f"{size:7d}  {count:5d}  {'   '.join(columns)}", flush=True)
    print("leaving target: seconds until the last daemon knows, median / worst")
    for size, regions in ((18, 1), (60, 2), (330, 2)):
        count = seeds if size <= 18 else large_seeds
        times = [measure_leaving(size, regions, seed) for seed in range(count)]
        print(f"{size:7d}  {count:5d}  {median(times):.2f} / {max(times):.2f}")
    print_suspicions()


def print_suspicions():
    """Print how often live daemons are suspected, by the share of messages lost."""
    print(f"18 daemons, none dies, {WATCHED_S} s: per hour, suspected / held dead")
    for loss in LOSSES:
        suspected, dead = count_suspicions(18, 1, loss)
        print(f"loss {100 * loss:4.0f}%  {suspected:6.1f} / {dead:6.1f}", flush=True)


if __name__ == "__main__":
    fire.Fire({"all": main, "suspicions": print_suspicions})
