"""Publishes this daemon's calls in flight per target to the fleet."""

from firworks.kernel.codec import register_record
from firworks.kernel.fleet.events import TOPIC_LOAD, FactChanged
from firworks.kernel.messages import Record

LOAD_PERIOD_S = 0.5
LARGE_POOL_LOAD_PERIOD_S = 2.0
LARGE_POOL_SIZE = 48
LOAD_TTL_S = 3.0


@register_record
class PoolLoad(Record):
    """One daemon's calls in flight in one pool, sent to its peers.

    Attributes:
        target_list_hash (int): Hash of the target list that the indexes refer to.
        indexes (tuple of int): Positions of the targets with calls in flight.
        counts (tuple of int): Calls in flight at each of these targets.
        ejected (tuple of int): Positions of targets that the daemon has ejected on
            its own observations.
    """

    __slots__ = ("target_list_hash", "indexes", "counts", "ejected")
    TYPES = (int, (int,), (int,), (int,))


class LoadPublisher:
    """Publishes the load of each pool: periodically, or on a change if idle."""

    def __init__(self):
        self._published = {}

    def publish(self, pools, now):
        """Return the `FactChanged` signals due now.

        Args:
            pools (dict of str to PoolState): Pools by name.
            now (float): Kernel time.
        """
        results = []
        for name, pool in pools.items():
            published_s, published = self._published.get(name, (float("-inf"), None))
            if now - published_s < _period(pool):
                continue
            load = make_load(pool)
            if load != published or load.indexes:
                results.append(FactChanged(TOPIC_LOAD, name, load, LOAD_TTL_S))
            self._published[name] = (now, load)
        return results


def make_load(pool):
    """Return the `PoolLoad` of this daemon's own calls in a pool."""
    busy = [target for target in pool.targets if target.calls]
    return PoolLoad(
        pool.target_list_hash,
        tuple(target.index for target in busy),
        tuple(len(target.calls) for target in busy),
        tuple(t.index for t in pool.targets if t.health.locally_ejected),
    )


def _period(pool):
    large = len(pool.targets) > LARGE_POOL_SIZE
    return LARGE_POOL_LOAD_PERIOD_S if large else LOAD_PERIOD_S
