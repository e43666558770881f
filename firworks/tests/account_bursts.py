"""A load of 16 client accounts, one of which sends far more than usual for a while."""

import heapq
from collections import Counter
from itertools import count
from random import Random

from firworks.kernel.forwarding.configuration import EngineSpec
from firworks.kernel.pools.accounts import AccountShares, UnsharedCapacity
from firworks.kernel.pools.engines import EngineScheduler, Placed
from firworks.kernel.pools.stages import StageScheduler
from firworks.tests.pool_simulation import Burst, PoolSimulation, RequestKind
from firworks.tests.pool_workloads import make_zwolle
from firworks.tests.test_pools import make_engine_job, make_targets

# Shares of 16 accounts in the usual load: a few are large.
USUAL_SHARES = (0.24, 0.18, 0.12, 0.08, *[0.38 / 12] * 12)
BURSTING = 0
OTHERS = range(1, 16)
# Those that usually send less than a sixteenth.
WITHIN_SHARE = range(4, 16)
BURST_BEGIN_S, BURST_END_S, LENGTH_S = 6.0, 14.0, 18.0
# Requests of the burst wait for some time after its end.
AFTER_S = 2.0
BURST_FACTOR = 7.5
# Targets of each pool, and the load in relation to that of the site with 3 targets.
TARGETS = 8
LOAD_FACTOR = 1.15 * TARGETS / 3

# Requests that the engines of `play_hot_prompt` run at once, the time of each, and the
# load on them without a burst.
ENGINES, SLOTS, RUN_S, USUAL_LOAD = 4, 8, 0.5, 0.8
PATIENCE_S = 1.0


def play_burst(seed, shared, burst, names_accounts=True):
    """Return the `PoolSimulation` of a day with 16 accounts.

    Args:
        seed (int): Seed of all random numbers.
        shared (bool): Whether the accounts have shares of the pools.
        burst (bool): Whether one of them sends ``BURST_FACTOR`` times its usual rate
            for some seconds.
        names_accounts (bool): Whether jobs name their account.
    """
    pools, usual = make_zwolle()
    kinds = [
        RequestKind(
            f"{kind.name}/{number}",
            kind.per_s * share * LOAD_FACTOR,
            kind.soft_deadline_s,
            kind.deadline_s,
            kind.on_time_credit,
            kind.late_credit,
            kind.priority,
            kind.stages,
            kind.draw_counts,
            kind.work_factors,
            f"account-{number}" if names_accounts else "",
        )
        for kind in usual
        for number, share in enumerate(USUAL_SHARES)
    ]
    make = AccountShares if shared else UnsharedCapacity
    simulation = PoolSimulation(
        pools, TARGETS, kinds, seed, lambda spec: StageScheduler(spec, shares=make())
    )
    bursts = [
        Burst(f"{kind.name}/{BURSTING}", BURST_BEGIN_S, BURST_END_S, BURST_FACTOR)
        for kind in usual
    ]
    simulation.run(LENGTH_S, bursts if burst else ())
    return simulation


def share_on_time(simulations, accounts):
    """Return the share of requests that were on time.

    Only requests that arrived in the time of the burst and shortly after count.

    Args:
        simulations (list of PoolSimulation): From `play_burst`.
        accounts (iterable of int): Numbers of the accounts that count.
    """
    endings = tuple(f"/{number}" for number in accounts)
    outcomes = [
        outcome
        for simulation in simulations
        for name, begun_s, outcome in simulation.outcomes
        if name.endswith(endings) and BURST_BEGIN_S <= begun_s < BURST_END_S + AFTER_S
    ]
    return outcomes.count("on time") / len(outcomes)


def draw_arrivals(rng, burst):
    """Return the arrivals at the engines: times (float) and numbers of accounts."""
    arrivals = []
    for account, share in enumerate(USUAL_SHARES):
        now = 0.0
        while now < LENGTH_S:
            hot = burst and account == BURSTING and BURST_BEGIN_S <= now < BURST_END_S
            per_s = share * USUAL_LOAD * ENGINES * SLOTS / RUN_S
            now += rng.expovariate(per_s * (BURST_FACTOR if hot else 1.0))
            arrivals.append((now, account))
    return arrivals


def play_hot_prompt(seed, shared, burst):
    """Return the numbers of requests to an engine pool and of those not placed in time.

    All requests of the bursting account begin with the same part of a prompt.

    Args:
        seed (int): Seed of all random numbers.
        shared (bool): Whether the accounts have shares of the pool.
        burst (bool): Whether one of them sends ``BURST_FACTOR`` times its usual rate
            for some seconds.

    Returns:
        tuple of Counter: Both by the number of the account.
    """
    shares = AccountShares() if shared else UnsharedCapacity()
    scheduler = EngineScheduler(EngineSpec(SLOTS, 10_000_000, 0), shares=shares)
    scheduler.set_targets(make_targets(ENGINES, "engine"), 0.0)
    asked, refused, events, numbers = Counter(), Counter(), [], count()

    def at(time_s, function, *arguments):
        heapq.heappush(events, (time_s, next(numbers), function, arguments))

    def submit(account, now):
        asked[account] += 1
        job = make_engine_job(
            str(next(numbers)),
            (("hot", 900),) if account == BURSTING else (),
            first_byte_deadline_s=now + PATIENCE_S,
            account=str(account),
        )
        at(now + PATIENCE_S, scheduler.plan)
        return scheduler.submit(job.replace(deadline_s=now + 10.0), now)

    for time_s, account in draw_arrivals(Random(seed), burst):
        at(time_s, submit, account)
    while events:
        now, _, function, arguments = heapq.heappop(events)
        for action in function(*arguments, now):
            if isinstance(action, Placed):
                at(now + RUN_S, scheduler.end, action.job.job_id, False)
            else:
                refused[int(action.job.account)] += 1
    return asked, refused
