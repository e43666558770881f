"""Places stage calls on targets: queues, routing and refusal."""

from functools import singledispatchmethod

from firworks.codes import Code
from firworks.kernel.calls import (
    CallEnded,
    CallPlaced,
    CallRejected,
    CallRequested,
    CallWithdrawn,
    TargetDown,
    TargetLeaving,
)
from firworks.kernel.fleet import ConfigurationAccepted
from firworks.kernel.messages import Tick
from firworks.kernel.node import Part


class Scheduler(Part):
    """Chooses a target for each call, or refuses the call.

    Args:
        random (random.Random): Source of tie breaks.
        name (str): This daemon's name.
    """

    def __init__(self, random, name=""):
        self._random = random
        self._name = name
        self._pools = {}
        self._queues = {}
        self._placed = {}
        self._in_flight = {}
        self._unusable = set()

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event; see `Part.handle`."""
        return []

    @handle.register
    def _(self, event: ConfigurationAccepted, now):
        self._pools = event.document.pools
        return self._place_all(now)

    @handle.register
    def _(self, event: CallRequested, now):
        if event.pool not in self._pools:
            return [CallRejected(event.call_id, Code.NO_TARGET)]
        if now >= event.deadline_s:
            return [CallRejected(event.call_id, Code.OVERLOADED)]
        self._queues.setdefault(event.pool, []).append(event)
        return self._place_pool(event.pool, now)

    @handle.register
    def _(self, event: CallWithdrawn, now):
        for queue in self._queues.values():
            queue[:] = [call for call in queue if call.call_id != event.call_id]
        return []

    @handle.register
    def _(self, event: CallEnded, now):
        call = self._placed.pop(event.call_id, None)
        if call is None:
            return []
        self._in_flight[event.target] -= 1
        return self._place_pool(call.pool, now)

    @handle.register
    def _(self, event: TargetLeaving, now):
        self._unusable.add(event.target)
        return []

    @handle.register
    def _(self, event: TargetDown, now):
        self._unusable.add(event.target)
        return []

    @handle.register
    def _(self, event: Tick, now):
        return self._place_all(now)

    def _place_all(self, now):
        results = []
        for pool in self._queues:
            results.extend(self._place_pool(pool, now))
        return results

    def _place_pool(self, pool_name, now):
        queue = self._queues.get(pool_name, [])
        results = []
        waiting = []
        for call in queue:
            if now >= call.deadline_s:
                results.append(CallRejected(call.call_id, Code.OVERLOADED))
                continue
            target = self._choose(call)
            if target is None:
                waiting.append(call)
                continue
            results.append(self._place(call, target, now))
        queue[:] = waiting
        return results

    def _choose(self, call):
        pool = self._pools[call.pool]
        usable = [t for t in pool.targets if t not in self._unusable]
        fresh = [t for t in usable if t not in call.avoid] or usable
        free = [t for t in fresh if self._in_flight.get(t, 0) < pool.concurrency]
        if not free:
            return None
        fewest = min(self._in_flight.get(t, 0) for t in free)
        return self._random.choice(
            [t for t in free if self._in_flight.get(t, 0) == fewest]
        )

    def _place(self, call, target, now):
        self._placed[call.call_id] = call
        self._in_flight[target] = self._in_flight.get(target, 0) + 1
        timeout = call.deadline_s - now
        if call.repeatable:
            timeout = min(timeout, call.budget_s)
        return CallPlaced(call.call_id, target, timeout)
