"""Decides which targets' load this daemon asks for, and when."""

from functools import singledispatchmethod

from firworks.kernel.fleet.events import ConfigurationAccepted
from firworks.kernel.messages import Action, Tick
from firworks.kernel.node import Part

POLL_INTERVAL_S = 1.0


class PollTarget(Action):
    """Ask a target for its load; answered by `TargetReported`, or not at all.

    Attributes:
        target (str): Name of the target.
        kind (str): "engine" or "service", its pool's kind.
    """

    __slots__ = ("target", "kind")


class LoadPoller(Part):
    """Polls the reporting targets among those that this daemon uses.

    Args:
        scheduler (Scheduler): Knows which targets' reports matter here.
        rng (random.Random): Spreads the polls of several daemons.
    """

    def __init__(self, scheduler, rng):
        self._scheduler = scheduler
        self._rng = rng
        self._pools = {}
        self._due_s = {}

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event; see `Part`."""
        return []

    @handle.register
    def _(self, event: ConfigurationAccepted, now):
        pools = event.document.pools.items()
        self._pools = {name: pool for name, pool in pools if pool.reports_load}
        return []

    @handle.register
    def _(self, event: Tick, now):
        results = []
        due_s = {}
        for name, pool in self._pools.items():
            for target in self._scheduler.watched_targets(name):
                due = self._due_s.get(target)
                if due is None:
                    due = now + self._rng.uniform(0.0, POLL_INTERVAL_S)
                elif due <= now:
                    results.append(PollTarget(target, pool.kind))
                    due = now + POLL_INTERVAL_S
                due_s[target] = due
        self._due_s = due_s
        return results
