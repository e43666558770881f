"""Rates the placements of requests on engines by the expected time.

Load pattern: engines of different speed, hot prompt parts, and stage results that are
in one failure domain. What matters first is the time to the first event: the prompts
that the engine is to read before, the part of the prompt that it has not cached, and
its speed (`EngineSpeeds`). Added are the costs to others: tokens read again that enough
engines have cached (`PromptParts`), bytes fetched from other failure domains, and the
requests on the engine, whose steps each prompt delays.

All costs are seconds. The order of engines (`EngineOrders`) decides between those that
cost about the same; it is bounded, so that it outweighs neither load nor locality in a
pool of many engines.
"""

from firworks.kernel.pools.engine_loads import EngineLoad, Reading
from firworks.kernel.pools.engine_speeds import (
    USUAL_DELAY_S,
    USUAL_TOKENS_PER_S,
    EngineSpeeds,
    round_slowness,
)
from firworks.kernel.pools.jobs import sum_remote_bytes
from firworks.kernel.pools.prompt_parts import EngineOrders, PromptParts

# Cost of a running request: it slows the engine's steps as much as the prefill of 150
# tokens.
RUNNING_S = 150 / USUAL_TOKENS_PER_S
# Cost of a token that is read again beside the time of reading it, as its share.
REREAD_WEIGHT = 1.0
# Cost of a byte fetched from another failure domain: 2.6 MB cost as much as 1,000
# tokens read again.
REMOTE_BYTE_S = 1000 / 2_600_000 / USUAL_TOKENS_PER_S
# Cost of an engine that is not among the first in the order of the prompt, and of one
# that is, but outside of the home domain. Less than reading 200 tokens, so that wait,
# speed and bytes outweigh them.
UNRANKED_S = 0.006
REMOTE_RANK_S = 0.003
# Interval at which the speeds of engines without new samples are computed again.
SPEED_INTERVAL_S = 0.5


class TimedPlacement:
    """Rates the engines of one pool for each request.

    Args:
        waste_weight (float): Weight of the costs to others, which are tokens read again
            and bytes fetched from other failure domains, against the expected time.
    """

    def __init__(self, waste_weight=1.0):
        self._waste_weight = waste_weight
        self._speeds = EngineSpeeds()
        self._parts = PromptParts()
        self._orders = EngineOrders()
        self._loads = {}
        self._usable = ()
        self._domains = ()
        self._usual = 1.0
        self._speeds_due_s = float("-inf")

    def set_engines(self, targets, known, now):
        """Set the usable engines.

        Args:
            targets (iterable of Target): The usable engines.
            known (container of tuple): Incarnations of all engines that have requests
                or are usable; others are forgotten.
            now (float): Monotonic seconds.
        """
        for incarnation in [key for key in self._loads if key not in known]:
            del self._loads[incarnation]
        for target in targets:
            load = self._loads.setdefault(target.incarnation, EngineLoad(target))
            load.target = target
        self._usable = tuple(self._loads[target.incarnation] for target in targets)
        self._domains = {target.failure_domain for target in targets}
        self._orders.set_engines(targets)
        self._speeds.keep(known)
        self._speeds_due_s = now

    def rank(self, job, slots, now):
        """Yield the incarnations of engines with free slots, the best first.

        Args:
            job (EngineJob): The request.
            slots (int): Slots of an engine.
            now (float): Monotonic seconds.
        """
        costs = self._estimate_costs(job, slots, now)
        if not costs:
            return
        best = min(costs)
        yield best[-1]
        costs.remove(best)
        for *_, incarnation in sorted(costs):
            yield incarnation

    def note_placed(self, job, target, read_tokens, now):
        """Record a placement.

        Args:
            job (EngineJob): The request.
            target (Target): Its engine.
            read_tokens (int): Tokens of its prompt that are not cached there.
            now (float): Monotonic seconds.
        """
        load = self._loads[target.incarnation]
        read_s = read_tokens / USUAL_TOKENS_PER_S
        fetching_s = REMOTE_BYTE_S * sum_remote_bytes(job, target.failure_domain)
        waiting_s = load.estimate_wait_s(now) / load.slowness
        expected_s = USUAL_DELAY_S + waiting_s + read_s + fetching_s
        load.begin(job.job_id, Reading(read_s, now, expected_s), now)
        self._parts.begin(job, target, read_s, now)

    def note_adopted(self, job, target, read_tokens, begun, now):
        """Record a request that another scheduler has placed."""
        load = self._loads[target.incarnation]
        read_s = read_tokens / USUAL_TOKENS_PER_S
        if begun:
            load.add_running(job.job_id)
        else:
            load.begin(job.job_id, Reading(read_s, now, None), now)
        self._parts.begin(job, target, read_s, now)

    def note_begun(self, job_id, target, now):
        """Record the first event of a request, and learn the speed of its engine."""
        load = self._loads[target.incarnation]
        reading = load.pop_reading(job_id, now)
        if reading is not None and reading.expected_s is not None:
            observed_s = now - reading.placed_s
            self._speeds.record(target, observed_s, reading.expected_s, now)
            load.slowness = round_slowness(self._speeds.get_slowness(target, now))

    def note_read(self, job_id, target, now):
        """Record that a prompt was read before some time, which tells no speed."""
        self._loads[target.incarnation].pop_reading(job_id, now)

    def note_ended(self, job, target, now):
        """Record that a request (EngineJob) has left its engine."""
        self._loads[target.incarnation].end(job.job_id, now)
        self._parts.end(job)

    def note_evicted(self, target, part_ids):
        """Record that an engine no longer caches some parts (iterable of str)."""
        self._parts.evict(target.incarnation, part_ids)

    def describe_speeds(self, now):
        """Return the `EngineSpeed` of each usable engine (list)."""
        return [self._speeds.describe(load.target, now) for load in self._usable]

    def _estimate_costs(self, job, slots, now):
        """Return (seconds, last placement, incarnation) of engines with free slots."""
        if self._speeds_due_s <= now:
            self._compute_speeds(now)
        cached = self._parts.find_cached(job, slots, self._domains, now)
        read_s = [tokens / USUAL_TOKENS_PER_S for tokens in cached.read_tokens]
        added_s = self._rate_domains(job, cached)
        ranks_s = self._rate_order(job, cached.wanted)
        costs = []
        for load in self._usable:
            if load.running >= slots:
                continue
            incarnation = load.incarnation
            depth = cached.depths.get(incarnation, 0)
            cost_s = (
                load.slowness * (read_s[depth] + RUNNING_S * load.running)
                + added_s[load.target.failure_domain][depth]
                + ranks_s.get(incarnation, UNRANKED_S)
            )
            if load.reads:
                cost_s += load.estimate_wait_s(now)
            costs.append((cost_s, load.placed_s, incarnation))
        return costs

    def _rate_order(self, job, wanted):
        """Return the costs in seconds of the first engines of a prompt."""
        near, far = self._orders.find(job.part_ids)
        ranks_s = dict.fromkeys(far[:wanted], REMOTE_RANK_S)
        ranks_s.update(dict.fromkeys(near[:wanted], 0.0))
        return ranks_s

    def _rate_domains(self, job, cached):
        """Return the costs of a prompt to others, in seconds.

        Returns:
            dict of str to list of float: By the failure domain of an engine, and by the
                number of shared parts that it has cached.
        """
        waste_weight = self._waste_weight * self._usual
        rates = {}
        for domain in self._domains:
            remote = REMOTE_BYTE_S * sum_remote_bytes(job, domain)
            rates[domain] = [
                waste_weight * (remote + REREAD_WEIGHT * wasted / USUAL_TOKENS_PER_S)
                for wasted in cached.sum_wasted_tokens(domain)
            ]
        return rates

    def _compute_speeds(self, now):
        self._speeds_due_s = now + SPEED_INTERVAL_S
        self._usual = self._speeds.get_pool_slowness(now)
        for load in self._usable:
            slowness = self._speeds.get_slowness(load.target, now)
            load.slowness = round_slowness(slowness)
