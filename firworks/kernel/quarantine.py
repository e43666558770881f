"""Detects requests that crash targets and quarantines them.

When a target crashes, every request that ran there becomes a suspect. A suspect runs
only on a target where nothing else runs. If it completes there, it is cleared; if at
least two targets crashed with it, at least one of them while it ran alone, the whole
fleet refuses it for `EVIDENCE_TTL_S`. A request that only ran concurrently with such
a request has never crashed a target alone and is therefore not quarantined.
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
from firworks.kernel.messages import Record, Struct, Tick, WriteLogEvent
from firworks.kernel.node import Part

EVIDENCE_TTL_S = 600.0
SAME_CRASH_WINDOW_S = 5.0
CRASHES_TO_QUARANTINE = 2
MAX_SUSPECTS = 4_096
EXPIRY_PERIOD_S = 1.0


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
    """A suspect (bytes) ran alone in a pool (str) and completed."""

    __slots__ = ("fingerprint", "pool")
    TYPES = (bytes, str)


class QuarantineDecision(Struct):
    """Whether and how a request may run.

    Attributes:
        refused (bool): It must not run.
        alone (bool): It may run only where nothing else runs.
        retry_after_s (float): Time until the quarantine ends; 0 if not quarantined.
    """

    __slots__ = ("refused", "alone", "retry_after_s")


ALLOWED = QuarantineDecision(False, False, 0.0)
ISOLATED = QuarantineDecision(False, True, 0.0)


class _Crash:
    """Evidence and the time at which it was received."""

    __slots__ = ("evidence", "received_s")

    def __init__(self, evidence, now):
        self.evidence = evidence
        self.received_s = now


class Quarantine(Part):
    """Keeps evidence of requests that were running when a target crashed.

    Args:
        name (str): This daemon's name.
    """

    def __init__(self, name):
        self.name = name
        self._suspects = {}
        self._by_target = {}
        self._isolated_calls = {}
        self._quarantined = {}
        self._expired_s = 0.0

    @singledispatchmethod
    def handle(self, event, now):
        """Handle an event; see `Part.handle`."""
        return []

    @property
    def suspects(self):
        """The number of requests that are suspects or quarantined."""
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
        if not self._caused_crashes(crashes):
            return ISOLATED
        until_s = max(crash.received_s for crash in crashes) + EVIDENCE_TTL_S
        return QuarantineDecision(True, True, until_s - now)

    @handle.register
    def _record_isolated_call(self, event: CallRequested, now):
        if event.alone:
            self._isolated_calls[event.call_id] = event.fingerprint
        return []

    @handle.register
    def _drop_withdrawn_call(self, event: CallWithdrawn, now):
        self._isolated_calls.pop(event.call_id, None)
        return []

    @handle.register
    def _handle_call_end(self, event: CallEnded, now):
        alone = self._isolated_calls.pop(event.call_id, None) is not None
        if not event.fingerprint:
            return []
        if event.result == RESULT_CRASHED:
            isolated = alone and not event.concurrent
            return self._report_crash(event, isolated, now)
        if event.result == RESULT_OK and alone:
            return self._clear_reported(event.fingerprint, event.pool)
        return []

    def _report_crash(self, event, isolated, now):
        fingerprint = event.fingerprint
        evidence = CrashEvidence(fingerprint, event.target, event.pool, isolated)
        key = f"{fingerprint.hex()}/{event.target}"
        fact = FactChanged(TOPIC_QUARANTINE, key, evidence, EVIDENCE_TTL_S)
        fields = {"fingerprint": fingerprint.hex(), "target": event.target}
        logged = WriteLogEvent(LogEvent.REQUEST_SUSPECTED, fields)
        return [fact, logged, *self._add(evidence, now)]

    def _clear_reported(self, fingerprint, pool):
        if not self._clear(fingerprint, pool):
            return []
        value = SuspicionCleared(fingerprint, pool)
        key = f"{fingerprint.hex()}/"
        return [FactChanged(TOPIC_QUARANTINE, key, value, EVIDENCE_TTL_S)]

    @handle.register
    def _apply_fact(self, event: FactLearned, now):
        if event.topic != TOPIC_QUARANTINE:
            return []
        if isinstance(event.value, CrashEvidence):
            return self._add(event.value, now)
        if isinstance(event.value, SuspicionCleared):
            self._clear(event.value.fingerprint, event.value.pool)
        return []

    def _add(self, evidence, now):
        """Store evidence; returns the signals of a new quarantine."""
        fingerprint = evidence.fingerprint
        crashes = self._suspects.setdefault(fingerprint, {})
        known = crashes.get(evidence.target)
        if known is None or evidence.isolated or not known.evidence.isolated:
            crashes[evidence.target] = _Crash(evidence, now)
        at_target = self._by_target.setdefault(evidence.target, {})
        at_target[fingerprint] = now
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop(next(iter(self._suspects)))
        return self._quarantine(fingerprint, now)

    def _quarantine(self, fingerprint, now):
        verdict = self.check(fingerprint, now)
        if not verdict.refused or fingerprint in self._quarantined:
            return []
        self._quarantined[fingerprint] = None
        fields = {"fingerprint": fingerprint.hex()}
        return [
            RequestQuarantined(fingerprint, now + verdict.retry_after_s),
            WriteLogEvent(LogEvent.REQUEST_QUARANTINED, fields),
        ]

    def _clear(self, fingerprint, pool):
        """Remove the evidence of one pool; returns whether there was any."""
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
        self._quarantined.pop(fingerprint, None)

    def _list_crashes(self, fingerprint, now):
        crashes = self._suspects.get(fingerprint, {}).values()
        return [c for c in crashes if now - c.received_s < EVIDENCE_TTL_S]

    def _caused_crashes(self, crashes):
        """Whether enough targets crashed, at least one without other requests."""
        return len(crashes) >= CRASHES_TO_QUARANTINE and any(
            crash.evidence.isolated and not self._had_other_request(crash)
            for crash in crashes
        )

    def _had_other_request(self, crash):
        """Whether another request, of any daemon, ran at the target when it crashed."""
        at_target = self._by_target.get(crash.evidence.target, {})
        return any(
            fingerprint != crash.evidence.fingerprint
            and abs(received_s - crash.received_s) < SAME_CRASH_WINDOW_S
            for fingerprint, received_s in at_target.items()
        )

    @handle.register
    def _expire(self, event: Tick, now):
        if now - self._expired_s < EXPIRY_PERIOD_S:
            return []
        self._expired_s = now
        for fingerprint in list(self._suspects):
            if not self._list_crashes(fingerprint, now):
                self._drop(fingerprint)
        for target in [t for t, seen in self._by_target.items() if not seen]:
            del self._by_target[target]
        return []
