"""Tells the whole fleet which targets are leaving, so that they get no new work."""

from functools import singledispatchmethod

from firworks.events import LogEvent
from firworks.kernel.calls import TargetLeaving
from firworks.kernel.codec import register_record
from firworks.kernel.fleet.events import TOPIC_TARGET_LEAVING, FactChanged, FactLearned
from firworks.kernel.messages import WriteLogEvent, Record, Tick, VmsListed
from firworks.kernel.node import Part

LEAVING_TTL_S = 600.0


@register_record
class Departure(Record):
    """The target is leaving, by the word of a VM list or its own."""

    __slots__ = ("target",)
    TYPES = (str,)


class Departures(Part):
    """Learns of leaving targets and passes it on.

    The VM list, any part's `TargetLeaving` and other daemons' facts all count. A
    target is forgotten when nothing has named it leaving for ``LEAVING_TTL_S``.
    """

    def __init__(self):
        self._until_s = {}
        self._stated_s = {}

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event and return a list of actions and signals."""
        return []

    def is_leaving(self, target):
        """Whether a target is known to be leaving."""
        return target in self._until_s

    @handle.register
    def _take_vms(self, event: VmsListed, now):
        results = []
        for vm in event.vms:
            if vm.role == "target" and vm.leaving:
                results += self._note(vm.name, now, known_here=True)
        return results

    @handle.register
    def _take_signal(self, event: TargetLeaving, now):
        if event.target in self._until_s:
            return []
        self._until_s[event.target] = now + LEAVING_TTL_S
        return self._state(event.target, now)

    @handle.register
    def _learn_fact(self, event: FactLearned, now):
        if event.topic != TOPIC_TARGET_LEAVING:
            return []
        return self._note(event.key, now, known_here=False)

    @handle.register
    def _forget(self, event: Tick, now):
        for target in [t for t, until_s in self._until_s.items() if until_s <= now]:
            del self._until_s[target]
            self._stated_s.pop(target, None)
        return []

    def _note(self, target, now, known_here):
        """Take in one sign that a target is leaving."""
        new = target not in self._until_s
        self._until_s[target] = now + LEAVING_TTL_S
        results = []
        if (
            known_here
            and now - self._stated_s.get(target, float("-inf")) > LEAVING_TTL_S / 2
        ):
            results += self._state(target, now)
        if new:
            fields = {"target": target}
            results.append(WriteLogEvent(LogEvent.TARGET_LEAVING, fields))
            results.append(TargetLeaving(target))
        return results

    def _state(self, target, now):
        self._stated_s[target] = now
        value = Departure(target)
        return [FactChanged(TOPIC_TARGET_LEAVING, target, value, LEAVING_TTL_S)]
