"""Finds requests that crash targets, isolates the suspects and refuses the guilty.

A target that crashes makes every request that ran there a suspect. Suspects run only
where nothing else runs. One that then answers is cleared; one that crashes a second
target while it runs alone is refused by the whole fleet for a time. A request that
was merely beside it, however often, has never crashed a target alone, so it is
never refused for that.
"""

from functools import singledispatchmethod

from firworks.events import LogEvent
from firworks.kernel.calls import (
    RESULT_CRASHED,
    RESULT_OK,
    CallEnded,
    CallRequested,
    CallWithdrawn,
)
from firworks.kernel.codec import register_record
from firworks.kernel.fleet.events import (
    TOPIC_QUARANTINE,
    FactChanged,
    FactLearned,
    RequestQuarantined,
)
from firworks.kernel.messages import WriteLogEvent, Record, Struct, Tick
from firworks.kernel.node import Part

FORGET_AFTER_S = 600.0
SAME_CRASH_S = 5.0
TARGETS_TO_REFUSE = 2
SUSPECT_LIMIT = 4_096
REVIEW_PERIOD_S = 1.0


@register_record
class CrashEvidence(Record):
    """A target crashed while a request ran there.

    Attributes:
        fingerprint (bytes): The request.
        target (str): The target.
        pool (str): The target's pool.
        isolated (bool): The request was a suspect and ran there alone.
    """

    __slots__ = ("fingerprint", "target", "pool", "isolated")
    TYPES = (bytes, str, str, bool)


@register_record
class SuspicionCleared(Record):
    """A suspect (bytes) ran alone in a pool (str) and was answered."""

    __slots__ = ("fingerprint", "pool")
    TYPES = (bytes, str)


class QuarantineDecision(Struct):
    """What may be done with a request.

    Attributes:
        refused (bool): It must not run.
        alone (bool): It may run only where nothing else runs.
        retry_after_s (float): When the refusal ends; 0 without one.
    """

    __slots__ = ("refused", "alone", "retry_after_s")


ALLOWED = QuarantineDecision(False, False, 0.0)
ALONE = QuarantineDecision(False, True, 0.0)


class _Crash:
    """Evidence and when it was learned."""

    __slots__ = ("evidence", "learned_s")

    def __init__(self, evidence, now):
        self.evidence = evidence
        self.learned_s = now


class Quarantine(Part):
    """Keeps evidence on requests that were running when a target crashed.

    Args:
        name (str): This daemon's name.
    """

    def __init__(self, name):
        self.name = name
        self._suspects = {}
        self._by_target = {}
        self._isolated_calls = {}
        self._refused = {}
        self._reviewed_s = 0.0

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event and return a list of actions and signals."""
        return []

    @property
    def suspects(self):
        """How many requests are under suspicion or refused."""
        return len(self._suspects)

    def check(self, fingerprint, now):
        """Return the `QuarantineDecision` on a request.

        Args:
            fingerprint (bytes): Hash of the request's content.
            now (float): Monotonic time in seconds.
        """
        crashes = self._list_crashes(fingerprint, now)
        if not crashes:
            return ALLOWED
        if not self._is_guilty(crashes):
            return ALONE
        until_s = max(crash.learned_s for crash in crashes) + FORGET_AFTER_S
        return QuarantineDecision(True, True, until_s - now)

    @handle.register
    def _note_call(self, event: CallRequested, now):
        if event.alone:
            self._isolated_calls[event.call_id] = event.fingerprint
        return []

    @handle.register
    def _note_withdrawn(self, event: CallWithdrawn, now):
        self._isolated_calls.pop(event.call_id, None)
        return []

    @handle.register
    def _note_end(self, event: CallEnded, now):
        alone = self._isolated_calls.pop(event.call_id, None) is not None
        if not event.fingerprint:
            return []
        if event.result == RESULT_CRASHED:
            isolated = alone and not event.neighbours
            return self._report_crash(event, isolated, now)
        if event.result == RESULT_OK and alone:
            return self._clear_reported(event.fingerprint, event.pool)
        return []

    def _report_crash(self, event, isolated, now):
        fingerprint = event.fingerprint
        evidence = CrashEvidence(fingerprint, event.target, event.pool, isolated)
        key = f"{fingerprint.hex()}/{event.target}"
        fact = FactChanged(TOPIC_QUARANTINE, key, evidence, FORGET_AFTER_S)
        fields = {"fingerprint": fingerprint.hex(), "target": event.target}
        logged = WriteLogEvent(LogEvent.REQUEST_SUSPECTED, fields)
        return [fact, logged, *self._add(evidence, now)]

    def _clear_reported(self, fingerprint, pool):
        if not self._clear(fingerprint, pool):
            return []
        value = SuspicionCleared(fingerprint, pool)
        key = f"{fingerprint.hex()}/"
        return [FactChanged(TOPIC_QUARANTINE, key, value, FORGET_AFTER_S)]

    @handle.register
    def _learn_fact(self, event: FactLearned, now):
        if event.topic != TOPIC_QUARANTINE:
            return []
        if isinstance(event.value, CrashEvidence):
            return self._add(event.value, now)
        if isinstance(event.value, SuspicionCleared):
            self._clear(event.value.fingerprint, event.value.pool)
        return []

    def _add(self, evidence, now):
        """Store evidence; returns the signals of a new refusal."""
        fingerprint = evidence.fingerprint
        crashes = self._suspects.setdefault(fingerprint, {})
        known = crashes.get(evidence.target)
        if known is None or evidence.isolated or not known.evidence.isolated:
            crashes[evidence.target] = _Crash(evidence, now)
        at_target = self._by_target.setdefault(evidence.target, {})
        at_target[fingerprint] = now
        if len(self._suspects) > SUSPECT_LIMIT:
            self._drop(next(iter(self._suspects)))
        return self._refuse(fingerprint, now)

    def _refuse(self, fingerprint, now):
        verdict = self.check(fingerprint, now)
        if not verdict.refused or fingerprint in self._refused:
            return []
        self._refused[fingerprint] = None
        fields = {"fingerprint": fingerprint.hex()}
        return [
            RequestQuarantined(fingerprint, now + verdict.retry_after_s),
            WriteLogEvent(LogEvent.REQUEST_QUARANTINED, fields),
        ]

    def _clear(self, fingerprint, pool):
        """Drop the evidence of one pool; returns whether there was any."""
        crashes = self._suspects.get(fingerprint, {})
        targets = [t for t, crash in crashes.items() if crash.evidence.pool == pool]
        for target in targets:
            del crashes[target]
            self._by_target.get(target, {}).pop(fingerprint, None)
        if not crashes:
            self._drop(fingerprint)
        return bool(targets)

    def _drop(self, fingerprint):
        for target in self._suspects.pop(fingerprint, {}):
            self._by_target.get(target, {}).pop(fingerprint, None)
        self._refused.pop(fingerprint, None)

    def _list_crashes(self, fingerprint, now):
        crashes = self._suspects.get(fingerprint, {}).values()
        return [c for c in crashes if now - c.learned_s < FORGET_AFTER_S]

    def _is_guilty(self, crashes):
        """Whether enough targets crashed, at least one by nobody else."""
        return len(crashes) >= TARGETS_TO_REFUSE and any(
            crash.evidence.isolated and not self._was_shared(crash) for crash in crashes
        )

    def _was_shared(self, crash):
        """Whether another request, of any daemon, ran there at that crash."""
        at_target = self._by_target.get(crash.evidence.target, {})
        return any(
            fingerprint != crash.evidence.fingerprint
            and abs(learned_s - crash.learned_s) < SAME_CRASH_S
            for fingerprint, learned_s in at_target.items()
        )

    @handle.register
    def _forget(self, event: Tick, now):
        if now - self._reviewed_s < REVIEW_PERIOD_S:
            return []
        self._reviewed_s = now
        for fingerprint in list(self._suspects):
            if not self._list_crashes(fingerprint, now):
                self._drop(fingerprint)
        for target in [t for t, seen in self._by_target.items() if not seen]:
            del self._by_target[target]
        return []
