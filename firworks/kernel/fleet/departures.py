"""Announces leaving targets to the whole fleet, so that they get no new work."""

from functools import singledispatchmethod

from firworks.events import LogEvent
from firworks.kernel.calls import TargetLeaving
from firworks.kernel.codec import register_record
from firworks.kernel.fleet.events import TOPIC_TARGET_LEAVING, FactChanged, FactLearned
from firworks.kernel.messages import Record, Tick, VmsListed, WriteLogEvent
from firworks.kernel.node import Part

LEAVING_TTL_S = 600.0


@register_record
class Departure(Record):
    """States that a target is leaving, as reported by a VM list or the target."""

    __slots__ = ("target",)
    TYPES = (str,)


class Departures(Part):
    """Tracks leaving targets and publishes those that were learned locally.

    Sources are the VM list, a `TargetLeaving` signal of any part, and the facts of
    other daemons. An entry expires ``LEAVING_TTL_S`` after the last report.
    """

    def __init__(self):
        self._expires_s = {}
        self._published_s = {}

    @singledispatchmethod
    def handle(self, event, now):
        """Handle one event and return a list of actions and signals."""
        return []

    def is_leaving(self, target):
        """Whether a target is known to be leaving."""
        return target in self._expires_s

    @handle.register
    def _apply_vms(self, event: VmsListed, now):
        results = []
        for vm in event.vms:
            if vm.role == "target" and vm.leaving:
                results += self._mark_leaving(vm.name, now, announce=True)
        return results

    @handle.register
    def _handle_target_leaving(self, event: TargetLeaving, now):
        if event.target in self._expires_s:
            return []
        self._expires_s[event.target] = now + LEAVING_TTL_S
        return self._publish(event.target, now)

    @handle.register
    def _handle_fact(self, event: FactLearned, now):
        if event.topic != TOPIC_TARGET_LEAVING:
            return []
        return self._mark_leaving(event.key, now, announce=False)

    @handle.register
    def _expire(self, event: Tick, now):
        for target in [
            t for t, expires_s in self._expires_s.items() if expires_s <= now
        ]:
            del self._expires_s[target]
            self._published_s.pop(target, None)
        return []

    def _mark_leaving(self, target, now, announce):
        """Record one report that a target is leaving; `announce` publishes it too."""
        new = target not in self._expires_s
        self._expires_s[target] = now + LEAVING_TTL_S
        results = []
        if (
            announce
            and now - self._published_s.get(target, float("-inf")) > LEAVING_TTL_S / 2
        ):
            results += self._publish(target, now)
        if new:
            fields = {"target": target}
            results.append(WriteLogEvent(LogEvent.TARGET_LEAVING, fields))
            results.append(TargetLeaving(target))
        return results

    def _publish(self, target, now):
        self._published_s[target] = now
        value = Departure(target)
        return [FactChanged(TOPIC_TARGET_LEAVING, target, value, LEAVING_TTL_S)]
