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
- A part that is not the last shared one is wanted in each failure domain, by its share
  of these engines, as the subjects that share it have their homes in all of them.
- While fewer engines than wanted have a part, reading it once more is no waste. When
  enough have it, and it was used within `REUSE_S`, another read is waste, which
  placements avoid like a longer wait.
- The engine with the least expected time is taken. As only the first engines in order,
  as many as wanted, have no penalty, a part whose demand has fallen is used at one
  engine again; the others evict it when they need the memory.
"""

from collections import Counter, OrderedDict
from heapq import nlargest
from itertools import accumulate
from math import ceil, log

from xxhash import xxh64_intdigest, xxh128_digest

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
# Number of parts known, of those used last. Each takes up to 1 KB.
MAX_PARTS = 16_384


def list_shared_parts(part_ids):
    """Return the parts (tuple of str) of a prompt that other prompts may share.

    The last of several parts is the request's own.
    """
    return part_ids[:-1] or part_ids


class _Part:
    """Engines that have a part, and the demand for it."""

    __slots__ = ("holders", "jobs", "reading_s", "used_s")

    def __init__(self):
        # Failure domains by incarnation.
        self.holders = {}
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
        wanted (int): Number of engines that should have all shared parts.
    """

    __slots__ = ("depths", "read_tokens", "wanted", "_wasted")

    def __init__(self, tokens_in, domains):
        self.depths = {}
        self.read_tokens = [tokens_in]
        self.wanted = 1
        self._wasted = {domain: [] for domain in domains}

    def extend(self, tokens, wasted):
        """Add a shared part.

        Engines that lack it read it, and so do those that lack earlier ones.

        Args:
            tokens (int): Its tokens.
            wasted (container of str): Failure domains where reading it is waste.
        """
        self.read_tokens.append(max(0, self.read_tokens[-1] - tokens))
        for domain, counts in self._wasted.items():
            counts.append(tokens if domain in wasted else 0)

    def sum_wasted_tokens(self, domain):
        """Return the tokens (list of int) that would be waste in a failure domain.

        They are in the order of ``read_tokens``.
        """
        sums = list(accumulate(reversed(self._wasted[domain]), initial=0))
        sums.reverse()
        return sums


class PromptParts:
    """Shared prompt parts of a pool: their engines and the demand for them."""

    def __init__(self):
        # The least recently used first.
        self._parts = OrderedDict()

    def __len__(self):
        return len(self._parts)

    def begin(self, job, target, reading_s, now):
        """Record a placed request, which its engine caches.

        Args:
            job (EngineJob): The request.
            target (Target): Its engine.
            reading_s (float): Seconds that reading it takes at the usual speed.
            now (float): Monotonic seconds.
        """
        for part_id in list_shared_parts(job.part_ids):
            part = self._parts.get(part_id)
            if part is None:
                part = self._parts[part_id] = _Part()
            else:
                self._parts.move_to_end(part_id)
            part.reading_s = part.get_reading_s(now) + reading_s
            part.used_s = max(now, part.used_s)
            part.jobs.add(job.job_id)
            part.holders[target.incarnation] = target.failure_domain
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

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
                part.holders.pop(incarnation, None)
                self._drop_unused(part_id, part)

    def count_wanted(self, part_id, slots, now):
        """Return how many engines (int) with some slots should have a part cached."""
        part = self._parts.get(part_id)
        if part is None:
            return 1
        busy = part.get_reading_s(now) * log(2) / DEMAND_HALF_LIFE_S
        occupied = len(part.jobs) / slots
        return 1 + int(max(busy / READING_SHARE, occupied / SLOTS_SHARE))

    def find_cached(self, job, slots, domains, now):
        """Return the `CachedParts` of a request's prompt.

        Args:
            job (EngineJob): The request.
            slots (int): Slots of an engine.
            domains (collection of str): Failure domains of the engines.
            now (float): Monotonic seconds.
        """
        shared = list_shared_parts(job.part_ids)
        cached = CachedParts(job.tokens_in, domains)
        holders = None
        for depth, part_id in enumerate(shared):
            part = self._parts.get(part_id)
            cached.wanted = self.count_wanted(part_id, slots, now)
            having = _intersect(holders, part)
            if holders is not None and len(having) < len(holders):
                cached.depths.update(dict.fromkeys(holders - having, depth))
            holders = having
            if part is None or now - part.used_s >= REUSE_S:
                wasted = ()
            elif depth + 1 < len(shared):
                wasted = _list_supplied(part, cached.wanted, domains)
            else:
                wasted = domains if len(holders) >= cached.wanted else ()
            cached.extend(job.part_tokens[depth], wasted)
        cached.depths.update(dict.fromkeys(holders or (), len(shared)))
        return cached

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
        data = "/".join(shared).encode()
        chain = xxh128_digest(data)
        order = self._orders.get(chain)
        if order is None:
            order = self._orders[chain] = self._sort(data, shared[-1])
            if len(self._orders) > MAX_ORDERS:
                self._orders.popitem(last=False)
        else:
            self._orders.move_to_end(chain)
        return order

    def _sort(self, data, last_shared):
        home = choose_home_domain(last_shared, self._domains)
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
    found = part.holders.keys()
    return found if holders is None else holders & found


def _list_supplied(part, wanted, domains):
    """Return the failure domains (set) that have their share of the wanted engines."""
    share = ceil(wanted / len(domains))
    counts = Counter(part.holders.values())
    return {domain for domain in domains if counts[domain] >= share}
