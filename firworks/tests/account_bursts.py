"""A load of 16 client accounts, one of which sends far more than usual for a while."""

from firworks.kernel.pools.accounts import AccountShares, UnsharedCapacity
from firworks.kernel.pools.stages import StageScheduler
from firworks.tests.pool_simulation import Burst, PoolSimulation, RequestKind
from firworks.tests.pool_workloads import make_zwolle

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
