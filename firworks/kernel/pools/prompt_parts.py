"""Which engines should keep the parts of prompts, and how many of them.

Load pattern: the last part of a prompt is the request's own; those before it are
shared. The first has few values (4 and 16 were measured), the last shared one many
(1,220), which are the subjects and conversations. Engines that are ordered by the first
part only all get work in the same order, so that few of them are busy while others get
nothing. And the demand is uneven: one part gets 28 of 100 requests of a kind.

The rule:

- The order of engines depends on the chain of shared parts up to the last one, so that
  subjects spread over all engines. Engines of the home failure domain of the last
  shared part come first, in hash order, then the others, likewise.
- A part is wanted by one engine for each `READING_SHARE` of an engine's time that
  reading for its requests takes, and for each `SLOTS_SHARE` of an engine's slots that
  they occupy. The demand decays within seconds. This holds for the first part, which a
  whole kind of request shares, as for the last.
- While fewer engines than wanted have a part, reading it once more is no waste. When
  enough have it, and it was used within `REUSE_S`, another read is waste, which
  placements avoid like a longer wait.
- The engine with the least expected time is taken. As only the first engines in order,
  as many as wanted, have no penalty, a part whose demand has fallen is used at one
  engine again; the others evict it when they need the memory.
"""

from collections import OrderedDict
from heapq import nlargest
from math import log

from xxhash import xxh64_intdigest

from firworks.kernel.pools.home_domains import choose_home_domain

# Share of an engine's time that reading for the requests of one part may take. The mean
# wait for other reads is then a tenth of a read, and half of a read in groups of three.
READING_SHARE = 0.1
# Share of an engine's slots that the requests of one part may occupy.
SLOTS_SHARE = 0.5
# Time after which demand counts half.
DEMAND_HALF_LIFE_S = 8.0
# A part that was not used for this time may be read again: it is seldom in use.
REUSE_S = 10.0
# Number of engines of the order that are known by part, in the home domain and outside.
ORDER_LENGTH = 16
# Number of orders kept, of those used last. Each takes up to 0.5 KB.
MAX_ORDERS = 4096


def list_shared_parts(part_ids):
    """Return the parts (tuple of str) of a prompt that other prompts may share.

    The last of several parts is the request's own.
    """
    return part_ids[:-1] or part_ids


class _Part:
    """Engines that have a part, and the demand for it."""

    __slots__ = ("holders", "jobs", "reading_s", "used_s")

    def __init__(self):
        self.holders = set()
        self.jobs = set()
        self.reading_s = 0.0
        self.used_s = float("-inf")

    def get_reading_s(self, now):
        """Return the decayed sum (float) of seconds read for its requests."""
        elapsed_s = max(0.0, now - self.used_s)
        return self.reading_s * 0.5 ** (elapsed_s / DEMAND_HALF_LIFE_S)


class CachedParts:
    """What the engines have cached of one prompt.

    Attributes:
        depths (dict of tuple to int): Number of leading shared parts that an engine has
            cached, by its incarnation; others have none.
        read_tokens (list of int): Tokens to be read, by that number.
        wasted_tokens (list of int): Tokens of these that would be waste, likewise.
        wanted (int): Number of engines that should have all shared parts.
    """

    __slots__ = ("depths", "read_tokens", "wasted_tokens", "wanted")

    def __init__(self, depths, read_tokens, wasted_tokens, wanted):
        self.depths = depths
        self.read_tokens = read_tokens
        self.wasted_tokens = wasted_tokens
        self.wanted = wanted


class PromptParts:
    """Shared prompt parts of a pool: their engines and the demand for them."""

    def __init__(self):
        self._parts = {}

    def begin(self, job, incarnation, reading_s, now):
        """Record a placed request, which its engine caches.

        Args:
            job (EngineJob): The request.
            incarnation (tuple): Its engine.
            reading_s (float): Seconds that reading it takes at the usual speed.
            now (float): Monotonic seconds.
        """
        for part_id in list_shared_parts(job.part_ids):
            part = self._parts.setdefault(part_id, _Part())
            part.reading_s = part.get_reading_s(now) + reading_s
            part.used_s = max(now, part.used_s)
            part.jobs.add(job.job_id)
            part.holders.add(incarnation)

    def end(self, job):
        """Record that a request (EngineJob) has left its engine."""
        for part_id in list_shared_parts(job.part_ids):
            part = self._parts.get(part_id)
            if part is not None:
                part.jobs.discard(job.job_id)
                self._drop_unused(part_id, part)

    def evict(self, incarnation, part_ids):
        """Record that an engine has no longer cached some parts (iterable of str)."""
        for part_id in part_ids:
            part = self._parts.get(part_id)
            if part is not None:
                part.holders.discard(incarnation)
                self._drop_unused(part_id, part)

    def count_wanted(self, part_id, slots, now):
        """Return how many engines (int) with some slots should have a part cached."""
        part = self._parts.get(part_id)
        if part is None:
            return 1
        busy = part.get_reading_s(now) * log(2) / DEMAND_HALF_LIFE_S
        occupied = len(part.jobs) / slots
        return 1 + int(max(busy / READING_SHARE, occupied / SLOTS_SHARE))

    def find_cached(self, job, slots, now):
        """Return the `CachedParts` of a request's prompt.

        Args:
            job (EngineJob): The request.
            slots (int): Slots of an engine.
            now (float): Monotonic seconds.
        """
        shared = list_shared_parts(job.part_ids)
        depths, wanted, cached = {}, 1, 0
        read_tokens, wasted_tokens = [job.tokens_in], [0]
        holders = None
        for depth, part_id in enumerate(shared):
            tokens = job.part_tokens[depth]
            part = self._parts.get(part_id)
            wanted = self.count_wanted(part_id, slots, now)
            cached = min(job.tokens_in, cached + tokens)
            holders = _intersect(holders, part)
            for incarnation in holders:
                depths[incarnation] = depth + 1
            is_waste = len(holders) >= wanted and now - part.used_s < REUSE_S
            # Engines that lack this part read it; so do those that lack earlier ones.
            wasted = tokens if is_waste else 0
            wasted_tokens = [one + wasted for one in wasted_tokens] + [0]
            read_tokens.append(job.tokens_in - cached)
        return CachedParts(depths, read_tokens, wasted_tokens, wanted)

    def _drop_unused(self, part_id, part):
        if not part.holders and not part.jobs:
            del self._parts[part_id]


class EngineOrders:
    """Engines of a pool in the order of each chain of shared parts.

    The hashes of a chain are computed once, until the engines change.
    """

    def __init__(self):
        self._seeds = {}
        self._domains = ()
        self._orders = OrderedDict()

    def set_engines(self, targets):
        """Set the usable engines (iterable of Target)."""
        seeds = {
            target.incarnation: (
                xxh64_intdigest(target.target_id.encode()),
                target.failure_domain,
            )
            for target in targets
        }
        if seeds != self._seeds:
            self._seeds = seeds
            self._domains = tuple(sorted({domain for _, domain in seeds.values()}))
            self._orders.clear()

    def find(self, part_ids):
        """Return the first engines for a prompt, those of its home domain and others.

        Args:
            part_ids (tuple of str): Parts of the prompt.

        Returns:
            tuple of (list, list): Incarnations in order, up to ``ORDER_LENGTH`` each.
        """
        shared = list_shared_parts(part_ids)
        if not shared or not self._seeds:
            return [], []
        chain = "/".join(shared)
        order = self._orders.get(chain)
        if order is None:
            order = self._orders[chain] = self._sort(chain, shared[-1])
            if len(self._orders) > MAX_ORDERS:
                self._orders.popitem(last=False)
        else:
            self._orders.move_to_end(chain)
        return order

    def _sort(self, chain, last_shared):
        home = choose_home_domain(last_shared, self._domains)
        data = chain.encode()
        near, far = [], []
        for incarnation, (seed, domain) in self._seeds.items():
            scored = (xxh64_intdigest(data, seed), incarnation)
            (near if domain == home else far).append(scored)
        return tuple(
            [incarnation for _, incarnation in nlargest(ORDER_LENGTH, scored)]
            for scored in (near, far)
        )


def _intersect(holders, part):
    """Return those of some engines (set, or None for all) that have a part."""
    if part is None:
        return set()
    return part.holders if holders is None else holders & part.holders
