"""What the fleet's parts cost a daemon, by the size of the fleet.

Kernels only, in one process with a virtual clock; encoding and decoding are counted.
Run ``python -m bench.fleet_load``.
"""

from multiprocessing import Pool

import fire

from bench.fleet_model import (
    WIRE_OVERHEAD_BYTES,
    TimedFleet,
    make_weights,
    name_account,
)

SIZES = ((6, 1), (12, 1), (18, 1), (36, 1), (90, 2), (180, 2), (330, 2))
MEASURED_S = 10
POOLS = 5
TARGETS = 4
CELL_TARGETS = 7
LOAD_PERIOD_S = 0.5
REQUESTS_PER_S = 14
ACCOUNTS = {6: 5, 12: 5, 18: 5}
MANY_ACCOUNTS = 1_300


def measure(fleet, size, weights, busy):
    """Return the figures of one daemon of a fleet.

    Args:
        fleet (TimedFleet): Settled.
        size (int): Daemons.
        weights (list of float): How requests spread over the accounts.
        busy (bool): Every daemon states its load on 5 pools twice a second and takes
            14 requests a second, two thirds of what the accounts may send.

    Returns:
        tuple of float: Messages and wire bytes a second, sent and received; share
        of a core in percent; memory in KB.
    """
    messages, payload = fleet.count_sent()
    fleet.busy_s = 0.0
    for _ in range(MEASURED_S):
        for _ in range(int(1.0 / LOAD_PERIOD_S)):
            if busy:
                fleet.state_loads(POOLS, TARGETS if size <= 18 else CELL_TARGETS)
                _use_accounts(fleet, weights)
            fleet.run(LOAD_PERIOD_S)
    sent, data = fleet.count_sent()
    scale = 1.0 / size / MEASURED_S
    rate = 2 * (sent - messages) * scale
    wire = 2 * (data - payload) * scale + rate * WIRE_OVERHEAD_BYTES
    return rate, wire, 100 * fleet.busy_s * scale, fleet.memory_bytes / 1024


def _use_accounts(fleet, weights):
    """Let each daemon's callers try one step's requests."""
    accounts = [name_account(index) for index in range(len(weights))]
    count = int(REQUESTS_PER_S * LOAD_PERIOD_S)
    for daemon in fleet.daemons.values():
        limits = daemon.parts[3]
        for account in fleet.rng.choices(accounts, weights, k=count):
            if limits.try_admit(account, fleet.now).code is None:
                limits.finish(account, fleet.now)


def run(size, regions):
    """Return the rows of one size: idle, then busy."""
    accounts = ACCOUNTS.get(size, MANY_ACCOUNTS)
    weights = make_weights(accounts)
    rates = [max(1.0, 1.5 * REQUESTS_PER_S * size * w) for w in weights]
    fleet = TimedFleet(size, regions, rates, seed=size)
    rows = []
    for state in ("idle", "busy"):
        rate, wire, core, memory = measure(fleet, size, weights, state == "busy")
        row = f"{rate:10.1f}  {wire:8.0f}  {core:6.2f}  {memory:9.0f}"
        rows.append(f"{size:7d}  {state}  {row}")
    return rows


def main(largest=330):
    """Print two rows for each size, each size measured in a process of its own.

    Args:
        largest (int): Largest size to measure.
    """
    print("daemons  state  messages/s  wire B/s  core %  memory KB")
    with Pool(1, maxtasksperchild=1) as pool:
        for size, regions in SIZES:
            if size <= largest:
                print("\n".join(pool.apply(run, (size, regions))), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
