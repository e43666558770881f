"""Measures the processor time of placing calls in front of large pools.

``python -m bench.policy_cost`` prints a table: pool size, and microseconds of one
call (requested, placed and ended), one tick and one report.
"""

from random import Random
from time import process_time

import fire

from firworks.document import Document, Pool
from firworks.kernel.calls import (
    CallEnded,
    CallIdentity,
    CallRequested,
    TargetReported,
)
from firworks.kernel.fleet.events import ConfigurationAccepted
from firworks.kernel.messages import Tick
from firworks.kernel.node import Kernel
from firworks.kernel.scheduling.scheduler import Scheduler

SIZES = (5, 50, 650)
POOLS = 5
CALLS = 2000
IN_FLIGHT = 52
CALLS_PER_TICK = 5
CALLS_PER_S = 52.0
TICKS_PER_S = 10.0


def make_kernel(size, routing):
    """Return a kernel with pools of `size` targets each and some calls running."""
    pools = {}
    for number in range(POOLS):
        names = tuple(f"p{number}-t{index}" for index in range(size))
        pools[f"p{number}"] = Pool(f"p{number}", "engine", names, routing=routing)
    kernel = Kernel([Scheduler(Random(1), "daemon")])
    kernel.handle(ConfigurationAccepted(1, "", Document("", {}, pools, {})), 0.0)
    return kernel


def make_call(number):
    """Return one call request."""
    prefix = tuple(f"{number % 50}/{block}".encode() for block in range(6))
    identity = CallIdentity("i", str(number), 0, 1)
    return CallRequested(
        number, identity, "a", "p", "s", f"p{number % POOLS}", 1e6, 8.0, True,
        prefix=prefix,
    )  # fmt: skip


def run_traffic(kernel, size):
    """Return the seconds of one call, of one tick and of one report."""
    random = Random(2)
    spent = {CallRequested: 0.0, Tick: 0.0, TargetReported: 0.0}
    running = []

    def send(kind, event, now):
        started = process_time()
        actions = kernel.handle(event, now)
        spent[kind] += process_time() - started
        return actions

    for number in range(1, CALLS + 1):
        now = number / CALLS_PER_S
        send(CallRequested, make_call(number), now)
        running.append(number)
        if len(running) > IN_FLIGHT:
            done = running.pop(random.randrange(IN_FLIGHT))
            ended = CallEnded(done, "", f"p{done % POOLS}", "ok", 1.0, 0.2)
            send(CallRequested, ended, now)
        watched = kernel.parts[0].watched_targets(f"p{number % POOLS}")
        target = watched[number // POOLS % len(watched)]
        send(TargetReported, TargetReported(target, now - 0.2, 2, 0, 8), now)
        if number % CALLS_PER_TICK == 0:
            send(Tick, Tick(0.0), now)
    ticks = CALLS / CALLS_PER_TICK
    return (
        spent[CallRequested] / CALLS,
        spent[Tick] / ticks,
        spent[TargetReported] / CALLS,
    )


def measure():
    """Print the table."""
    print(f"{'routing':16} {'targets':>7} {'call us':>8} {'tick us':>8} "
          f"{'report us':>9} {'core at 52 calls/s':>19}")  # fmt: skip
    for routing in ("least-in-flight", "adaptive"):
        for size in SIZES:
            kernel = make_kernel(size, routing)
            call, tick, report = run_traffic(kernel, size)
            core = call * CALLS_PER_S + tick * TICKS_PER_S
            print(f"{routing:16} {size:7} {call * 1e6:8.0f} {tick * 1e6:8.0f} "
                  f"{report * 1e6:9.0f} {core:19.2%}")  # fmt: skip


if __name__ == "__main__":
    fire.Fire(measure)
