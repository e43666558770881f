"""Finds requests that end the targets that run them.

Load pattern: one request in thousands ends each target that begins to run it, and its
caller sends it again through any daemon. Each daemon tells the others under which
requests a target has ended. A request under which targets ended several times, and that
has had no whole answer since, is not sent to another one. A target may come back with
the same entry, so that ends count and not runs.

Load pattern: targets are killed or cut off in numbers while many callers ask for one
thing, which is then found at several ends without having caused one. Only an answer can
clear it, so a refused request is tried again: one caller's attempt at a time in the
whole fleet, soon after the last end, later once more. A request that ends targets ends
one for each of its few trials; any other is cleared by the first.
"""

from collections import OrderedDict

from firworks.kernel.forwarding.suspicions import Suspicion
from firworks.kernel.messages import Struct

# Ends of targets under a request before it is refused.
CRASHES_TO_QUARANTINE = 3
# Daemons that notice one end of a run do so within this time of each other.
SAME_CRASH_WINDOW_S = 0.5
# Least time from the last end to the first trial, and from each trial to the next. The
# platform's rules allow three sends of a request that has ended three targets; one is
# left for a trial that targets turn away.
TRIAL_DELAYS_S = (0.5, 5.0)
# A trial that reached no target may be had again after this time.
RETURNED_TRIAL_DELAY_S = 0.1
# One that targets turned away may be had again once, after this time: entries of
# targets that have just started are read within a second.
REJECTED_TRIAL_DELAY_S = 1.0
# Suspicion ends after this time without an end, a trial or a refusal of a request that
# ended a target in its trial.
FORGET_AFTER_S = 120.0
# Told to callers of a request that gets no further trial.
FINAL_RETRY_AFTER_S = 60.0
# Most fingerprints kept; the oldest are forgotten first.
LIMIT = 4_096
# Ends kept of one request: more change nothing.
MAX_CRASHES_KEPT = 8


class TrialDecision(Struct):
    """Whether a refused request may be tried.

    Attributes:
        due (bool): A trial may begin now.
        retry_after_s (float): Else, when to come back.
    """

    __slots__ = ("due", "retry_after_s")


class _Suspect:
    """What is known of one request; times in monotonic seconds."""

    __slots__ = ("ends", "trials_s", "updated_s", "not_before_s", "trial_returned")

    def __init__(self):
        self.ends = []
        self.trials_s = []
        self.updated_s = float("-inf")
        self.not_before_s = float("-inf")
        self.trial_returned = False

    @property
    def refused(self):
        return len(self.ends) >= CRASHES_TO_QUARANTINE

    @property
    def crashed_in_trial(self):
        """Whether a target has ended under a trial."""
        return bool(self.trials_s) and self.ends[-1][1] > self.trials_s[0]

    def add_crash(self, run, ended_s):
        known = [known_s for known_run, known_s in self.ends if known_run == run]
        if any(abs(ended_s - known_s) < SAME_CRASH_WINDOW_S for known_s in known):
            return False
        self.ends.append((run, ended_s))
        self.ends.sort(key=lambda end: end[1])
        del self.ends[:-MAX_CRASHES_KEPT]
        self.updated_s = max(self.updated_s, ended_s)
        return True

    def record_trial(self, begun_s):
        if any(abs(begun_s - known_s) < SAME_CRASH_WINDOW_S for known_s in self.trials_s):
            return
        self.trials_s.append(begun_s)
        self.trials_s.sort()
        self.updated_s = max(self.updated_s, begun_s)


class SuspectRequests:
    """Ends of targets, by fingerprint of the requests that they were running."""

    def __init__(self):
        self._suspects = OrderedDict()

    @property
    def count(self):
        """How many requests are under suspicion."""
        return len(self._suspects)

    def list_quarantined(self, until_s):
        """Return the fingerprints (list of bytes) of requests refused until a time."""
        return [
            fingerprint
            for fingerprint, one in self._suspects.items()
            if one.refused and one.ends[CRASHES_TO_QUARANTINE - 1][1] <= until_s
        ]

    def list_repeat_suspects(self):
        """Return the fingerprints (list of bytes) of those at more than one end."""
        return [name for name, one in self._suspects.items() if len(one.ends) > 1]

    def expire(self, now):
        """Forget what was not touched for ``FORGET_AFTER_S``."""
        for fingerprint in list(self._suspects):
            self._find(fingerprint, now)

    def record_crash(self, fingerprint, run, now):
        """Take in that a target ended under a request.

        Args:
            fingerprint (bytes): Of the request.
            run (str): Name of the target's run.
            now (float): Monotonic seconds.

        Returns:
            bool: Whether this is new.
        """
        return self._get(fingerprint).add_crash(run, now)

    def record_trial(self, fingerprint, now):
        """Take in that a trial of a request begins."""
        self._get(fingerprint).record_trial(now)

    def return_trial(self, fingerprint, reached, now):
        """Take in that no target has run the last trial of a request.

        Args:
            fingerprint (bytes): Of the request.
            reached (bool): Targets have turned it away.
            now (float): Monotonic seconds.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.trials_s or (reached and suspect.trial_returned):
            return
        suspect.trials_s.pop()
        suspect.trial_returned = suspect.trial_returned or reached
        pause_s = REJECTED_TRIAL_DELAY_S if reached else RETURNED_TRIAL_DELAY_S
        suspect.not_before_s = now + pause_s

    def clear(self, fingerprint):
        """Take in that a request was answered; return whether it was suspected."""
        return self._suspects.pop(fingerprint, None) is not None

    def is_refused(self, fingerprint, now):
        """Return whether a request must not be sent to a target."""
        suspect = self._find(fingerprint, now)
        if suspect is None or not suspect.refused:
            return False
        if suspect.crashed_in_trial:
            suspect.updated_s = now
        return True

    def check_trial(self, fingerprint, now):
        """Return the `TrialDecision` on a refused request."""
        suspect = self._find(fingerprint, now)
        if suspect is None:
            return TrialDecision(True, 0.0)
        number = len(suspect.trials_s)
        if number >= len(TRIAL_DELAYS_S):
            return TrialDecision(False, FINAL_RETRY_AFTER_S)
        since_s = max(suspect.ends[-1][1], *suspect.trials_s, float("-inf"))
        due_s = since_s + TRIAL_DELAYS_S[number]
        due_s = max(due_s, suspect.not_before_s)
        return TrialDecision(due_s <= now, max(0.0, due_s - now))

    def describe(self, fingerprint, now):
        """Return the `Suspicion` of a request."""
        suspect = self._get(fingerprint)
        return Suspicion(
            fingerprint,
            tuple(run for run, _ in suspect.ends),
            tuple(now - ended_s for _, ended_s in suspect.ends),
            tuple(now - begun_s for begun_s in suspect.trials_s),
            suspect.trial_returned,
        )

    def take(self, suspicion, now):
        """Take in what another daemon knows (Suspicion)."""
        suspect = self._get(suspicion.fingerprint)
        for run, age_s in zip(suspicion.incarnations, suspicion.crash_ages_s, strict=False):
            suspect.add_crash(run, now - age_s)
        for age_s in suspicion.trial_ages_s:
            suspect.record_trial(now - age_s)
        suspect.trial_returned = suspect.trial_returned or suspicion.trial_returned

    def _get(self, fingerprint):
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > LIMIT:
            self._suspects.popitem(last=False)
        return suspect

    def _find(self, fingerprint, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now - suspect.updated_s >= FORGET_AFTER_S:
            del self._suspects[fingerprint]
            return None
        return suspect
