"""How closely the fleet keeps and uses an account's limit.

Kernels only, in one process with a virtual clock.
Run ``python -m bench.fleet_limits``.
"""

from random import Random

from bench.fleet_model import make_accounts, name_account
from firworks.kernel.limits.limits import AccountLimits
from firworks.tests.virtual_fleet import VirtualFleet, make_vms

RATE = 360.0
STEP_S = 0.1
WARM_S = 10
MEASURED_S = 30
ACCOUNT = name_account(0)


def run(size, regions, hot, offered, seed, loss=0.0, split=False):
    """Offer load to one account.

    Args:
        size (int): Daemons.
        regions (int): Regions.
        hot (int): Daemons that the load reaches.
        offered (float): Load as a multiple of the limit.
        seed (int): Seed of the fleet and of the arrivals.
        loss (float): Share of messages lost.
        split (bool): Half of the daemons are cut off from the others.

    Returns:
        tuple of float: Admitted requests and the largest sum of shares, both as a
        multiple of the limit.
    """
    fleet = _start(size, regions, seed, loss)
    rng = Random(seed)
    names = sorted(fleet.daemons)
    chosen = rng.sample(names, hot)
    if split:
        group = set(names[: size // 2])
        fleet.blocked = lambda one, other: (one in group) != (other in group)
    limits = [fleet.daemons[name].parts[2] for name in names]
    admitted, largest = 0, 0.0
    for step in range(int((WARM_S + MEASURED_S) / STEP_S)):
        fleet.run(STEP_S)
        count = _offer(fleet, chosen, rng, offered)
        if step >= WARM_S / STEP_S:
            admitted += count
        total = sum(part.find_share(ACCOUNT, fleet.now)[0] for part in limits)
        largest = max(largest, total)
    return admitted / MEASURED_S / RATE, largest / RATE


def _start(size, regions, seed, loss):
    """Return a settled fleet whose daemons know the account."""
    fleet = VirtualFleet(
        make_vms(size, regions, 2),
        seed=seed,
        loss=loss,
        make_extra_parts=lambda daemon: (AccountLimits(daemon.name),),
    )
    fleet.run(5)
    for name in list(fleet.daemons):
        fleet.feed(name, make_accounts([RATE]))
    return fleet


def _offer(fleet, chosen, rng, offered):
    """Send one step's requests, Poisson by many small chances; return admissions."""
    admitted = 0
    for _ in range(int(2 * RATE * STEP_S * max(offered, 1))):
        if rng.random() >= offered / (2 * max(offered, 1)):
            continue
        part = fleet.daemons[rng.choice(chosen)].parts[2]
        if part.try_admit(ACCOUNT, fleet.now).code is None:
            part.finish(ACCOUNT, fleet.now)
            admitted += 1
    return admitted


def main():
    """Print one row for each case."""
    print("daemons  hot  offered  loss  split  admitted/limit  largest sum/limit")
    for size, regions, hot, offered, loss, split in (
        (18, 1, 18, 0.8, 0.0, False),
        (18, 1, 18, 2.0, 0.0, False),
        (18, 1, 6, 0.8, 0.0, False),
        (18, 1, 6, 2.0, 0.0, False),
        (18, 1, 1, 2.0, 0.0, False),
        (18, 1, 6, 2.0, 0.1, False),
        (18, 1, 6, 2.0, 0.0, True),
        (90, 2, 90, 0.8, 0.0, False),
        (90, 2, 45, 0.8, 0.0, False),
        (330, 2, 330, 0.8, 0.0, False),
        (330, 2, 165, 0.8, 0.0, False),
    ):
        runs = [
            run(size, regions, hot, offered, seed, loss, split)
            for seed in range(3 if size <= 18 else 1)
        ]
        admitted = sum(r[0] for r in runs) / len(runs)
        largest = max(r[1] for r in runs)
        row = f"{size:7d}  {hot:3d}  {offered:7.1f}  {loss:4.1f}  {split!s:5}"
        print(f"{row}  {admitted:14.2f}  {largest:17.4f}", flush=True)


if __name__ == "__main__":
    main()
