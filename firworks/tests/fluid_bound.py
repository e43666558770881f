"""Upper bounds of what any scheduling policy can serve on a simulated load.

Work is treated as a fluid: each pool processes pieces at the rate of full batches, may
interrupt them at no cost, and knows nothing of memory or of the other pools. Within a
pool, fluid work that is processed earliest deadline first processes the most, and the
sets of work that can be processed form a polymatroid, for which taking the work with
the highest credit per second first is optimal.
"""

import heapq
from math import ceil, log2

from firworks.tests.pool_simulation import ENGINE_S

# Credits per second of work are rounded up to powers of this factor.
DENSITY_STEP = 1.25


class _Demand:
    """The work of one request at one pool, and the credit for doing it in time."""

    __slots__ = ("begin_s", "end_s", "work_s", "credit")

    def __init__(self, begin_s, end_s, work_s, credit):
        self.begin_s = begin_s
        self.end_s = end_s
        self.work_s = work_s
        self.credit = credit


def compute_credit_bound(world):
    """Return an upper bound (float) of `PoolSimulation.credit` after a run.

    A late answer counts as one within the deadline; one on time earns the difference to
    its credit in addition. The two are bounded separately.
    """
    owed = sum(kind.on_time_credit for kind, _, _ in world.arrivals)
    bounds = []
    for name in world.specs:
        extra = _list_demands(
            world,
            name,
            lambda kind: kind.on_time_credit - kind.late_credit,
            lambda kind: kind.soft_deadline_s,
        )
        late = _list_demands(
            world, name, lambda kind: kind.late_credit, _get_time_limit_s
        )
        count = _count_targets(world, name)
        bounds.append(_bound_credit(extra, count) + _bound_credit(late, count))
    return min(bounds) / owed if owed else 0.0


def compute_served_bound(world):
    """Return an upper bound (float) of the number of requests served in a run."""
    return min(
        _bound_credit(
            _list_demands(world, name, lambda kind: 1.0, _get_time_limit_s),
            _count_targets(world, name),
        )
        for name in world.specs
    )


def _get_time_limit_s(kind):
    return kind.deadline_s


def _count_targets(world, name):
    return sum(fake.target.service == name for fake in world.targets.values())


def _list_demands(world, name, get_credit, get_limit_s):
    """Return the work (list of _Demand) of all requests at a pool."""
    spec = world.specs[name]
    piece_s = spec.piece_s + spec.call_s / spec.batch
    demands = []
    for kind, begun_s, counts in world.arrivals:
        stages = zip(kind.stages, counts, kind.work_factors, strict=True)
        work_s = sum(
            count * (piece_s + (factor - 1.0) * spec.piece_s)
            for stage, count, factor in stages
            if stage.service == name
        )
        end_s = begun_s + get_limit_s(kind) - ENGINE_S
        demands.append(_Demand(begun_s, end_s, work_s, get_credit(kind)))
    return demands


def _bound_credit(demands, targets):
    """Return the greatest credit for work at some targets."""
    classes, credit = {}, 0.0
    for demand in demands:
        if demand.work_s:
            density = demand.credit / demand.work_s
            step = ceil(log2(density) / log2(DENSITY_STEP))
            classes.setdefault(step, []).append(demand)
        else:
            credit += demand.credit
    chosen, done_s = [], 0.0
    for step in sorted(classes, reverse=True):
        chosen += classes[step]
        own_credit = sum(demand.credit for demand in classes[step])
        before_s, done_s = done_s, _process(chosen, targets)
        credit += min(own_credit, DENSITY_STEP**step * (done_s - before_s))
    return credit


def _process(demands, targets):
    """Return the seconds of work that targets do in time, earliest deadline first."""
    arrivals = sorted(demands, key=lambda demand: demand.begin_s)
    queue, done_s, now, index = [], 0.0, 0.0, 0
    while index < len(arrivals) or queue:
        if not queue:
            now = max(now, arrivals[index].begin_s)
        while index < len(arrivals) and arrivals[index].begin_s <= now:
            demand = arrivals[index]
            heapq.heappush(queue, (demand.end_s, index, demand.work_s / targets))
            index += 1
        end_s, number, left_s = heapq.heappop(queue)
        next_s = arrivals[index].begin_s if index < len(arrivals) else float("inf")
        until_s = min(now + left_s, end_s, next_s)
        if until_s <= now:
            if end_s > now and next_s > now:
                return done_s
            continue
        done_s += (until_s - now) * targets
        left_s -= until_s - now
        now = until_s
        if left_s > 1e-9 and end_s > now:
            heapq.heappush(queue, (end_s, number, left_s))
    return done_s
