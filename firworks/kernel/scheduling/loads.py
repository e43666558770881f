"""Tells the fleet how many of this daemon's calls are in flight at each target."""

from firworks.kernel.codec import register_record
from firworks.kernel.fleet.events import TOPIC_LOAD, FactChanged
from firworks.kernel.messages import Record

LOAD_PERIOD_S = 0.5
LARGE_POOL_LOAD_PERIOD_S = 2.0
LARGE_POOL_SIZE = 48
LOAD_TTL_S = 3.0


@register_record
class PoolLoad(Record):
    """One daemon's calls in flight in one pool.

    Attributes:
        layout (int): Hash of the pool's target list that the indexes refer to.
        indexes (tuple of int): Targets with calls in flight.
        counts (tuple of int): Calls in flight there.
        ejected (tuple of int): Targets that the daemon has ejected.
    """

    __slots__ = ("layout", "indexes", "counts", "ejected")
    TYPES = (int, (int,), (int,), (int,))


class LoadPublisher:
    """Decides when a pool's load is worth telling."""

    def __init__(self):
        self._told = {}

    def tell(self, pools, now):
        """Return the `FactChanged` signals due now.

        Args:
            pools (dict of str to PoolState): By name.
            now (float): Kernel time.
        """
        results = []
        for name, pool in pools.items():
            told_s, told = self._told.get(name, (float("-inf"), None))
            if now - told_s < _period(pool):
                continue
            load = make_load(pool)
            if load != told or load.indexes:
                results.append(FactChanged(TOPIC_LOAD, name, load, LOAD_TTL_S))
            self._told[name] = (now, load)
        return results


def make_load(pool):
    """Return this daemon's own `PoolLoad` of a pool."""
    busy = [target for target in pool.targets if target.calls]
    return PoolLoad(
        pool.layout,
        tuple(target.index for target in busy),
        tuple(len(target.calls) for target in busy),
        tuple(t.index for t in pool.targets if t.health.locally_ejected),
    )


def _period(pool):
    large = len(pool.targets) > LARGE_POOL_SIZE
    return LARGE_POOL_LOAD_PERIOD_S if large else LOAD_PERIOD_S
