"""Places stage calls on targets: queues, routing, refusal, retries and hedges."""

from functools import singledispatchmethod

from firworks.codes import Code
from firworks.kernel.admission import (
    MIN_RETRY_AFTER_S,
    QueuedCall,
    estimate_wait,
)
from firworks.kernel.calls import (
    CallEnded,
    CallChunk,
    CallPlaced,
    CallRejected,
    CallRequested,
    CallWithdrawn,
    TargetDown,
    TargetLeaving,
    TargetReported,
)
from firworks.kernel.fleet.events import (
    TOPIC_LOAD,
    ConfigurationAccepted,
    FactLearned,
)
from firworks.kernel.ledger.claims import MAX_DEADLINE_S
from firworks.kernel.messages import Tick, VmsListed
from firworks.kernel.node import Part
from firworks.kernel.registry import Registry
from firworks.kernel.retries import AttemptBudgets
from firworks.kernel.routing import register
from firworks.kernel.scheduling.choice import choose_target, has_any_target
from firworks.kernel.scheduling.hedges import HedgeMonitor
from firworks.kernel.scheduling.loads import LoadPublisher, PoolLoad
from firworks.kernel.scheduling.results import record_end
from firworks.kernel.scheduling.state import (
    PoolState,
)
from firworks.kernel.scheduling.targets import PlacedCall

SKIPS_PER_ROUND = 8
SPARE_SHARE = 0.7
CHANCE_QUANTILE = 0.7
CHANCE_RANGE = 0.4
DEFAULT_WEIGHT = 0.5
DEFERRED_PRIORITY = 9
RELAXED_PRIORITY = 1


class Scheduler(Part):
    """Chooses a target for each call, or refuses the call.

    Args:
        random (random.Random): Source of tie breaks and jitter.
        name (str): This daemon's name; decides its subset of large pools.
        registry (Registry or None): Holds the routing policies; None takes the
            built-in ones.

    Attributes:
        pools (dict of str to PoolState): What is known of each pool, by name.
    """

    def __init__(self, random, name="", registry=None):
        self._random = random
        self._name = name
        self._registry = registry or _make_registry()
        self._document = None
        self.pools = {}
        self._placed = {}
        self._held = []
        self._retired_s = {}
        self._domains = {}
        self._gone = {}
        self._budgets = AttemptBudgets()
        self._hedges = HedgeMonitor(self._budgets)
        self._loads = LoadPublisher()

    def watched_targets(self, pool_name):
        """Return the names of the targets whose reports matter to this daemon."""
        return [target.name for target in self.pools[pool_name].subset]

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event; see `Part.handle`."""
        return []

    @handle.register
    def _(self, event: ConfigurationAccepted, now):
        self._document = event.document
        old = self.pools
        self.pools = {}
        weights = {
            name: pipeline.attainment_weight
            for name, pipeline in event.document.pipelines.items()
        }
        for name, pool in event.document.pools.items():
            self.pools[name] = self._make_pool(pool, old.get(name))
            self.pools[name].weights = weights
        self._retire_pools(old, now)
        self._move_queues(old, now)
        return self._place_all(now)

    @handle.register
    def _(self, event: VmsListed, now):
        self._domains = {vm.name: vm.failure_domain for vm in event.vms}
        for target in self._all_targets():
            target.failure_domain = self._domains.get(target.name, "")
        return []

    @handle.register
    def _(self, event: CallRequested, now):
        pool = self.pools.get(event.pool)
        if pool is None or not has_any_target(pool, now):
            return [CallRejected(event.call_id, Code.NO_TARGET)]
        if event.hedge_of:
            return self._place_hedge(pool, event, now)
        if event.identity.attempt > 1:
            return self._take_retry(pool, event, now)
        refusal = self._refuse_early(pool, event, now)
        if refusal:
            return [refusal]
        return self._enqueue(pool, event, now)

    @handle.register
    def _(self, event: CallWithdrawn, now):
        self._held = [e for e in self._held if e.call.call_id != event.call_id]
        for pool in self.pools.values():
            pool.queue.discard(lambda entry: entry.call.call_id == event.call_id)
        return []

    @handle.register
    def _(self, event: CallChunk, now):
        placed = self._placed.get(event.call_id)
        if placed is None:
            return []
        pace = placed.record_chunk(len(event.tokens), now)
        pool = self.pools.get(placed.call.pool)
        if pace and pool is not None:
            pool.health.record_pace(placed.target.health, pace, now)
        return []

    @handle.register
    def _(self, event: CallEnded, now):
        placed = self._placed.pop(event.call_id, None)
        if placed is None:
            return []
        placed.target.record_end(placed, now)
        pool = self.pools.get(placed.call.pool)
        if pool is None:
            return []
        pool.in_flight -= 1
        record_end(pool, placed, event, now)
        return self._place_pool(pool, now)

    @handle.register
    def _(self, event: TargetReported, now):
        results = []
        for pool in self.pools.values():
            target = pool.by_name.get(event.target)
            if target is None:
                continue
            pool.record_report(target, event)
            pool.prefixes.record_events(event, now)
            if pool.queue:
                results.extend(self._place_pool(pool, now))
        return results

    @handle.register
    def _(self, event: TargetLeaving, now):
        self._gone[event.target] = float("-inf")
        for target in self._find_targets(event.target):
            target.leaving = True
        return []

    @handle.register
    def _(self, event: TargetDown, now):
        for target in self._find_targets(event.target):
            target.down_s = now
        for pool in self.pools.values():
            pool.prefixes.forget_target(event.target)
        return []

    @handle.register
    def _(self, event: FactLearned, now):
        if event.topic == TOPIC_LOAD and isinstance(event.value, PoolLoad):
            pool = self.pools.get(event.key)
            if pool is not None:
                pool.record_peer_load(event.value, event.origin, now)
        return []

    @handle.register
    def _(self, event: Tick, now):
        results = self._retry_held(now) + self._drop_retired(now)
        for pool in self.pools.values():
            pool.expire_peer_loads(now)
            pool.check_reports(now)
        results.extend(self._place_all(now))
        results.extend(self._hedges.check(self._placed, self.pools, self._weight, now))
        results.extend(self._loads.tell(self.pools, now))
        return results

    def _make_pool(self, pool, old):
        if old is not None and old.pool == pool:
            return old
        routing = self._find_routing(pool.routing)
        state = PoolState(pool, routing, self._name)
        if old is not None:
            state.adopt(old)
        for target in state.targets:
            target.failure_domain = self._domains.get(target.name, "")
            target.leaving = target.name in self._gone
        return state

    def _find_routing(self, name):
        if name not in self._registry.names("routing"):
            name = "adaptive"
        return self._registry.get("routing", name)(self._random)

    def _retire_pools(self, old_pools, now):
        """Keep pools that the new document lacks, for requests that began before."""
        retired = {name: self._retired_s.get(name, now) for name in old_pools}
        self._retired_s = {
            name: since_s for name, since_s in retired.items() if name not in self.pools
        }
        for name in self._retired_s:
            self.pools[name] = old_pools[name]

    def _drop_retired(self, now):
        """Drop retired pools once no request can still need them."""
        results = []
        for name, since_s in list(self._retired_s.items()):
            if now < since_s + MAX_DEADLINE_S:
                continue
            del self._retired_s[name]
            for entry in self.pools.pop(name).queue.discard(lambda entry: True):
                results.append(CallRejected(entry.call.call_id, Code.NO_TARGET))
        return results

    def _move_queues(self, old_pools, now):
        """Move waiting calls to the pools of the new document."""
        for name, old in old_pools.items():
            new = self.pools[name]
            if new is not old:
                for entry in old.queue.discard(lambda entry: True):
                    new.queue.push(entry)

    def _all_targets(self):
        for pool in self.pools.values():
            yield from pool.targets

    def _find_targets(self, name):
        found = [pool.by_name.get(name) for pool in self.pools.values()]
        return [target for target in found if target is not None]

    def _weight(self, call):
        pipeline = self._document.pipelines.get(call.pipeline)
        return pipeline.attainment_weight if pipeline else DEFAULT_WEIGHT

    def _least_latency(self, pool, call):
        """Return the latency that must be left for a call to be worth starting.

        Where cost weighs more, calls that would only just make it are refused
        before they cost anything; where attainment does, they are tried.
        """
        quantile = CHANCE_QUANTILE - CHANCE_RANGE * self._weight(call)
        return pool.estimate_latency(call, quantile)

    def _enqueue(self, pool, call, now):
        account = self._document.accounts.get(call.account)
        weight = account.weight if account else 1.0
        due = min(call.deadline_s, now + call.budget_s)
        pool.queue.push(QueuedCall(call, due, now, weight))
        return self._place_pool(pool, now)

    def _refuse_early(self, pool, call, now):
        """Return a refusal when the call cannot be answered in time, else None."""
        due = min(call.deadline_s, now + call.budget_s)
        if now >= due:
            return CallRejected(call.call_id, Code.OVERLOADED, MIN_RETRY_AFTER_S)
        if not pool.queue.fair or call.deferred or not pool.queue.regular:
            return None
        ahead = pool.queue.regular.count_ahead(call.account)
        wait = estimate_wait(ahead, pool.in_flight, pool.estimate_latency(call))
        if now + wait + self._least_latency(pool, call) <= due:
            return None
        retry_after = max(MIN_RETRY_AFTER_S, wait)
        return CallRejected(call.call_id, Code.OVERLOADED, retry_after)

    def _take_retry(self, pool, call, now):
        if not call.repeatable:
            return [CallRejected(call.call_id, Code.TARGET_FAILED)]
        if self._budgets.try_withdraw_retry():
            return self._enqueue(pool, call, now)
        if not pool.queue.fair:
            return [CallRejected(call.call_id, Code.TARGET_FAILED)]
        due = min(call.deadline_s, now + call.budget_s)
        self._held.append(QueuedCall(call, due, now, 1.0))
        return []

    def _retry_held(self, now):
        """Queue retries that the budget allows by now; refuse those too late."""
        results = []
        waiting = []
        for entry in self._held:
            call = entry.call
            pool = self.pools.get(call.pool)
            if pool is None or now + pool.estimate_latency(call) > entry.due_s:
                results.append(CallRejected(call.call_id, Code.TARGET_FAILED))
            elif self._budgets.try_withdraw_retry():
                results.extend(self._enqueue(pool, call, now))
            else:
                waiting.append(entry)
        self._held = waiting
        return results

    def _place_hedge(self, pool, call, now):
        original = self._placed.get(call.hedge_of)
        if original is None or not original.hedged or not call.repeatable:
            return [CallRejected(call.call_id, Code.OVERLOADED)]
        avoid = (*call.avoid, original.target.name)
        target = choose_target(pool, call, avoid, now)
        if target is None or target is original.target:
            return [CallRejected(call.call_id, Code.OVERLOADED)]
        due = min(call.deadline_s, now + call.budget_s)
        return [self._place(pool, QueuedCall(call, due, now, 1.0), target, now)]

    def _place_all(self, now):
        results = []
        for pool in self.pools.values():
            if pool.queue:
                results.extend(self._place_pool(pool, now))
        return results

    def _place_pool(self, pool, now):
        results = self._refuse_late(pool, now)
        skipped = []
        while len(skipped) < SKIPS_PER_ROUND:
            spare = bool(pool.queue.deferred) and pool.has_spare_capacity(SPARE_SHARE, now)
            line = pool.queue.select_queue(spare)
            if line is None:
                break
            entry = line.pop()
            target = choose_target(pool, entry.call, entry.call.avoid, now)
            if target is None:
                skipped.append((line, entry))
                if not (entry.call.alone or entry.call.avoid):
                    break
                continue
            pool.queue.record_placed(line)
            results.append(self._place(pool, entry, target, now))
        for line, entry in reversed(skipped):
            line.requeue(entry)
        return results

    def _refuse_late(self, pool, now):
        """Refuse waiting calls that can no longer be answered in time."""
        if not pool.queue:
            return []
        results = []
        for entry in pool.queue.discard(lambda e: self._is_late(pool, e, now)):
            typical = pool.estimate_latency(entry.call)
            wait = estimate_wait(len(pool.queue), pool.in_flight, typical)
            retry_after = max(MIN_RETRY_AFTER_S, wait)
            call_id = entry.call.call_id
            results.append(CallRejected(call_id, Code.OVERLOADED, retry_after))
        return results

    def _is_late(self, pool, entry, now):
        """Return whether a waiting call is not worth starting any more.

        One that has not waited is tried whatever its chance: without answers the
        measured latencies would never fall again.
        """
        if now > entry.due_s:
            return True
        if not pool.queue.fair or entry.queued_s == now:
            return False
        return now + self._least_latency(pool, entry.call) > entry.due_s

    def _place(self, pool, entry, target, now):
        call = entry.call
        crowding = max(1.0, (pool.load(target, now) + 1) / target.capacity)
        placed = PlacedCall(call, target, entry.due_s, crowding, now)
        self._placed[call.call_id] = placed
        target.calls[call.call_id] = placed
        pool.in_flight += 1
        if target.health.ejected:
            target.health.probe = call.call_id
        if call.prefix:
            pool.prefixes.record_placement(target.name, call.prefix, now)
        if call.identity.attempt == 1:
            self._budgets.deposit(pool.pool)
        due = entry.due_s if call.repeatable else call.deadline_s
        priority = self._priority(pool, call, due, now)
        return CallPlaced(call.call_id, target.name, due - now, priority)

    def _priority(self, pool, call, due, now):
        if call.deferred:
            return DEFERRED_PRIORITY
        tight = due - now < 2 * pool.estimate_latency(call)
        return 0 if tight else RELAXED_PRIORITY


def _make_registry():
    registry = Registry()
    register(registry)
    return registry
