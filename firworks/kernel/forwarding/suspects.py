"""Detects and quarantines requests that crash the targets that run them.

Load pattern: one request in thousands crashes every target that begins to run it, and
its caller retries it through any daemon. Daemons notify each other which requests a
target was running when it crashed. A request that was in flight at several crashes, and
has had no complete response since, is quarantined: it is not sent to another target. A
target may restart with the same entry, so crashes are counted, not incarnations.

Load pattern: many targets are killed or partitioned while many callers send the same
request, which is then in flight at several crashes without having caused any. Only a
response can clear it, so a quarantined request is given trials: one attempt at a time
in the whole fleet, the first soon after the last crash, another one later. A request
that does crash targets crashes one in each of its few trials; any other is cleared by
the first one.
"""

from collections import OrderedDict

from firworks.kernel.forwarding.suspicions import Suspicion
from firworks.kernel.messages import Struct

# Crashes with a request in flight after which it is quarantined.
CRASHES_TO_QUARANTINE = 3
# Reports of a crash of one incarnation within this time are the same crash, as seen by
# several daemons.
SAME_CRASH_WINDOW_S = 0.5
# Minimum time from the latest crash or trial to the first and to the second trial. The
# platform's rules allow three sends of a request that has crashed three targets; the
# third is reserved for a trial that targets reject.
TRIAL_DELAYS_S = (0.5, 5.0)
# Delay before another trial if the last one reached no target.
RETURNED_TRIAL_DELAY_S = 0.1
# Delay before another trial if targets rejected the last one, allowed once per request:
# daemons see the entries of targets that have just started within a second.
REJECTED_TRIAL_DELAY_S = 1.0
# A suspect is removed after this time without a crash or a trial, and without a refusal
# if it crashed a target in a trial.
FORGET_AFTER_S = 120.0
# Retry-After for a request that gets no further trial.
FINAL_RETRY_AFTER_S = 60.0
# Maximum number of suspects; the least recently used is evicted first.
MAX_SUSPECTS = 4_096
# Crashes kept per request; more would not change any decision.
MAX_CRASHES_KEPT = 8


class TrialDecision(Struct):
    """Whether a quarantined request may have a trial.

    Attributes:
        due (bool): A trial may begin now.
        retry_after_s (float): Seconds until the caller should retry otherwise.
    """

    __slots__ = ("due", "retry_after_s")


class _Suspect:
    """Crashes and trials of one request; times in monotonic seconds."""

    __slots__ = ("crashes", "trials_s", "updated_s", "not_before_s", "trial_returned")

    def __init__(self):
        self.crashes = []
        self.trials_s = []
        self.updated_s = float("-inf")
        self.not_before_s = float("-inf")
        self.trial_returned = False

    @property
    def quarantined(self):
        return len(self.crashes) >= CRASHES_TO_QUARANTINE

    @property
    def crashed_in_trial(self):
        """Whether a target crashed during a trial."""
        return bool(self.trials_s) and self.crashes[-1][1] > self.trials_s[0]

    def add_crash(self, incarnation, ended_s):
        known = [
            known_s
            for known_incarnation, known_s in self.crashes
            if known_incarnation == incarnation
        ]
        if any(abs(ended_s - known_s) < SAME_CRASH_WINDOW_S for known_s in known):
            return False
        self.crashes.append((incarnation, ended_s))
        self.crashes.sort(key=lambda crash: crash[1])
        del self.crashes[:-MAX_CRASHES_KEPT]
        self.updated_s = max(self.updated_s, ended_s)
        return True

    def record_trial(self, begun_s):
        if any(
            abs(begun_s - known_s) < SAME_CRASH_WINDOW_S for known_s in self.trials_s
        ):
            return
        self.trials_s.append(begun_s)
        self.trials_s.sort()
        self.updated_s = max(self.updated_s, begun_s)


class SuspectRequests:
    """Crashes of targets, by fingerprint of the requests that were in flight."""

    def __init__(self):
        self._suspects = OrderedDict()

    @property
    def count(self):
        """Number of suspect requests."""
        return len(self._suspects)

    def list_quarantined(self, until_s):
        """Return the fingerprints (list of bytes) of requests in quarantine.

        Args:
            until_s (float): Only those quarantined by then; monotonic seconds.
        """
        return [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.quarantined
            and suspect.crashes[CRASHES_TO_QUARANTINE - 1][1] <= until_s
        ]

    def list_repeat_suspects(self):
        """Return the fingerprints (list of bytes) of requests with several crashes."""
        return [
            name for name, suspect in self._suspects.items() if len(suspect.crashes) > 1
        ]

    def expire(self, now):
        """Remove suspects that were not updated for ``FORGET_AFTER_S``."""
        for fingerprint in list(self._suspects):
            self._find(fingerprint, now)

    def record_crash(self, fingerprint, incarnation, now):
        """Record a crash of a target that was running a request.

        Args:
            fingerprint (bytes): Fingerprint of the request.
            incarnation (str): Identity of the target's incarnation.
            now (float): Monotonic seconds.

        Returns:
            bool: Whether this crash was not known yet.
        """
        return self._get(fingerprint).add_crash(incarnation, now)

    def record_trial(self, fingerprint, now):
        """Record that a trial of a request begins."""
        self._get(fingerprint).record_trial(now)

    def return_trial(self, fingerprint, reached, now):
        """Discard the last trial of a request, as no target has run it.

        Does nothing for a second trial that targets rejected.

        Args:
            fingerprint (bytes): Fingerprint of the request.
            reached (bool): It reached targets, and they rejected it.
            now (float): Monotonic seconds.
        """
        suspect = self._suspects.get(fingerprint)
        if (
            suspect is None
            or not suspect.trials_s
            or (reached and suspect.trial_returned)
        ):
            return
        suspect.trials_s.pop()
        suspect.trial_returned = suspect.trial_returned or reached
        delay_s = REJECTED_TRIAL_DELAY_S if reached else RETURNED_TRIAL_DELAY_S
        suspect.not_before_s = now + delay_s

    def clear(self, fingerprint):
        """Remove a request that was answered; return whether it was a suspect."""
        return self._suspects.pop(fingerprint, None) is not None

    def is_quarantined(self, fingerprint, now):
        """Return whether a request is in quarantine.

        Each call restarts the expiry of a request that crashed a target in a trial.
        """
        suspect = self._find(fingerprint, now)
        if suspect is None or not suspect.quarantined:
            return False
        if suspect.crashed_in_trial:
            suspect.updated_s = now
        return True

    def check_trial(self, fingerprint, now):
        """Return the `TrialDecision` for a request in quarantine."""
        suspect = self._find(fingerprint, now)
        if suspect is None:
            return TrialDecision(True, 0.0)
        trial_count = len(suspect.trials_s)
        if trial_count >= len(TRIAL_DELAYS_S):
            return TrialDecision(False, FINAL_RETRY_AFTER_S)
        latest_s = max(suspect.crashes[-1][1], *suspect.trials_s, float("-inf"))
        due_s = latest_s + TRIAL_DELAYS_S[trial_count]
        due_s = max(due_s, suspect.not_before_s)
        return TrialDecision(due_s <= now, max(0.0, due_s - now))

    def describe(self, fingerprint, now):
        """Return the crashes and trials of a request as a `Suspicion`."""
        suspect = self._get(fingerprint)
        return Suspicion(
            fingerprint,
            tuple(incarnation for incarnation, _ in suspect.crashes),
            tuple(now - ended_s for _, ended_s in suspect.crashes),
            tuple(now - begun_s for begun_s in suspect.trials_s),
            suspect.trial_returned,
        )

    def merge(self, suspicion, now):
        """Merge the crashes and trials that another daemon knows (Suspicion)."""
        suspect = self._get(suspicion.fingerprint)
        for incarnation, age_s in zip(
            suspicion.incarnations, suspicion.crash_ages_s, strict=False
        ):
            suspect.add_crash(incarnation, now - age_s)
        for age_s in suspicion.trial_ages_s:
            suspect.record_trial(now - age_s)
        suspect.trial_returned = suspect.trial_returned or suspicion.trial_returned

    def _get(self, fingerprint):
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _find(self, fingerprint, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now - suspect.updated_s >= FORGET_AFTER_S:
            del self._suspects[fingerprint]
            return None
        return suspect
