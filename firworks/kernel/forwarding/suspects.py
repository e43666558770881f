"""Detects and quarantines features of requests that crash targets.

A feature is the request itself or a part of its prompt. Daemons notify each other which
features the requests had that a target was running when it crashed.

Load pattern: one request in thousands crashes every target that begins to run it, and
its caller retries it through any daemon. A request that was in flight at several
crashes, and has had no complete response since, is quarantined: it is not sent to
another target. A target may restart with the same entry, so crashes are counted, not
incarnations.

Load pattern: many targets are killed or partitioned while many callers send the same
request, which is then in flight at several crashes without having caused any. Only a
response can clear it, so a quarantined request is given trials: one attempt at a time
in the whole fleet, the first soon after the last crash, another one later. A request
that does crash targets crashes one in each of its few trials; any other is cleared by
the first one.

Load pattern: a prompt part crashes every target that begins to respond to a request
with it. Requests with this part are all different and hold sound parts as well, some
of which are in most prompts of the route. No request with the deadly part is ever
answered, whereas sound parts are answered all the time. So a part without a response is
quarantined from its first crash on; the next trial is due at once, so that it costs
little to be at a crash by chance. A part that was answered is quarantined only if
crashes go on for some time without another response. When several parts of a request
are quarantined, requests with one of them are tried first, as they tell more. A part
that crashed a target in such a trial explains all crashes that it was at: parts that
were at no other crash leave the quarantine.
"""

from collections import OrderedDict
from functools import singledispatch

from firworks.kernel.forwarding.answered_parts import AnsweredParts
from firworks.kernel.forwarding.features import is_part
from firworks.kernel.forwarding.suspicions import Suspicion
from firworks.kernel.messages import Struct

# Crashes with a request in flight after which it is quarantined.
CRASHES_TO_QUARANTINE = 3
# Crashes of one part, each this long after the one before, that quarantine a part
# which was answered before. Targets that are killed together count once.
ANSWERED_CRASHES_TO_QUARANTINE = 4
CRASH_EPISODE_S = 1.0
# Reports of a crash of one incarnation within this time are the same crash, as seen by
# several daemons.
SAME_CRASH_WINDOW_S = 0.5
# Minimum time from the latest crash or trial to the first and to the second trial. The
# platform's rules allow three sends of a request that has crashed three targets; the
# third is reserved for a trial that targets reject.
TRIAL_DELAYS_S = (0.5, 5.0)
# The same for parts; the last one repeats. The platform's rules allow three sends in
# the whole fleet later than a few seconds after the fifth crash.
PART_TRIAL_DELAYS_S = (0.5, 5.0, 30.0, 600.0, 86_400.0)
# Added to the delay of a trial for each further part of the request in quarantine, and
# the limit of that: a sound request may have all parts of a deadly one but one.
FURTHER_PART_DELAY_S = 1.0
MAX_FURTHER_DELAY_S = 3.0
# Delay before another trial if the last one reached no target.
RETURNED_TRIAL_DELAY_S = 0.1
# Delay before another trial if targets rejected the last one, allowed once per request:
# daemons see the entries of targets that have just started within a second.
REJECTED_TRIAL_DELAY_S = 1.0
# A suspect is removed after this time without a crash or a trial, and without a refusal
# if it crashed a target in a trial.
FORGET_AFTER_S = 120.0
# The same for a part that crashed a target in a trial. Requests with it may return.
FORGET_PART_AFTER_S = 3_600.0
# Retry-After for a request that gets no further trial soon.
FINAL_RETRY_AFTER_S = 60.0
# Maximum number of suspects; the least recently used is evicted first.
MAX_SUSPECTS = 4_096
# Answered parts that are reported with a crash, those without a response for longest.
# Sound ones that prompts share are answered again and again.
MAX_ANSWERED_REPORTED = 64
# Crashes kept per suspect; more would not change any decision.
MAX_CRASHES_KEPT = 8


class TrialDecision(Struct):
    """Whether a request with quarantined features may have a trial.

    Attributes:
        due (bool): A trial may begin now.
        retry_after_s (float): Seconds until the caller should retry otherwise.
    """

    __slots__ = ("due", "retry_after_s")


class _Suspect:
    """Crashes and trials of one feature; times in monotonic seconds."""

    __slots__ = (
        "crashes",
        "trials_s",
        "solo_trials_s",
        "updated_s",
        "not_before_s",
        "trial_returned",
    )
    # Whether it had responses before its crashes; a response clears a request for good.
    answered = False

    def __init__(self):
        self.crashes = []
        self.trials_s = []
        # Those of requests without other features in quarantine.
        self.solo_trials_s = []
        self.updated_s = float("-inf")
        self.not_before_s = float("-inf")
        self.trial_returned = False

    @property
    def crashed_in_trial(self):
        """Whether a target crashed during a trial."""
        return self._crashed_since(self.trials_s)

    @property
    def is_convicted(self):
        """Whether a target crashed during a trial without other suspects."""
        return self._crashed_since(self.solo_trials_s)

    @property
    def latest_s(self):
        """When it was last at a crash or had a trial."""
        return max(
            float("-inf"), *(ended_s for _, ended_s in self.crashes), *self.trials_s
        )

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

    def record_trial(self, begun_s, is_solo):
        if any(
            abs(begun_s - known_s) < SAME_CRASH_WINDOW_S for known_s in self.trials_s
        ):
            return
        self.trials_s.append(begun_s)
        self.trials_s.sort()
        if is_solo:
            self.solo_trials_s.append(begun_s)
            self.solo_trials_s.sort()
        self.updated_s = max(self.updated_s, begun_s)

    def pop_trial(self):
        last_s = self.trials_s.pop()
        if last_s in self.solo_trials_s:
            self.solo_trials_s.remove(last_s)

    def _crashed_since(self, trials_s):
        return bool(trials_s and self.crashes and self.crashes[-1][1] > trials_s[0])


class _SuspectRequest(_Suspect):
    """A request that was at crashes."""

    __slots__ = ()


class _SuspectPart(_Suspect):
    """A prompt part that was at crashes since its last response.

    Attributes:
        answered (bool): It had responses before.
        reported_here (bool): This daemon reported one of the crashes.
    """

    __slots__ = ("answered", "reported_here")

    def __init__(self, answered):
        super().__init__()
        self.answered = answered
        self.reported_here = False

    def is_explained_by(self, other):
        """Return whether another part was at all crashes that this one was at."""
        explained = {incarnation for incarnation, _ in other.crashes}
        return all(incarnation in explained for incarnation, _ in self.crashes)

    def count_episodes(self):
        """Return the number of crashes, those within a short time counted once."""
        count, latest_s = 0, float("-inf")
        for _, ended_s in self.crashes:
            if ended_s - latest_s >= CRASH_EPISODE_S:
                count, latest_s = count + 1, ended_s
        return count


@singledispatch
def _is_quarantined(suspect):
    """Return whether a suspect may be sent in trials only."""
    raise TypeError(f"not a suspect: {suspect!r}")


@_is_quarantined.register
def _(suspect: _SuspectRequest):
    return len(suspect.crashes) >= CRASHES_TO_QUARANTINE


@_is_quarantined.register
def _(suspect: _SuspectPart):
    if suspect.answered:
        return suspect.count_episodes() >= ANSWERED_CRASHES_TO_QUARANTINE
    return bool(suspect.crashes)


@singledispatch
def _get_trial_delay_s(suspect, suspect_count):
    """Return the time from the latest crash or trial to the next trial, or None.

    Args:
        suspect (_Suspect): A feature in quarantine.
        suspect_count (int): Number of features in quarantine that the request has.
    """
    raise TypeError(f"not a suspect: {suspect!r}")


@_get_trial_delay_s.register
def _(suspect: _SuspectRequest, suspect_count):
    count = len(suspect.trials_s)
    return TRIAL_DELAYS_S[count] if count < len(TRIAL_DELAYS_S) else None


@_get_trial_delay_s.register
def _(suspect: _SuspectPart, suspect_count):
    if not suspect.trials_s and len(suspect.crashes) == 1:
        return 0.0
    is_solo = suspect_count == 1 and not suspect.is_convicted
    count = len(suspect.solo_trials_s if is_solo else suspect.trials_s)
    delay_s = PART_TRIAL_DELAYS_S[min(count, len(PART_TRIAL_DELAYS_S) - 1)]
    further_s = FURTHER_PART_DELAY_S * (suspect_count - 1)
    return delay_s + min(further_s, MAX_FURTHER_DELAY_S)


@singledispatch
def _get_forget_delay_s(suspect):
    """Return the time after which a suspect that is not updated is removed."""
    return FORGET_AFTER_S


@_get_forget_delay_s.register
def _(suspect: _SuspectPart):
    return FORGET_PART_AFTER_S if suspect.crashed_in_trial else FORGET_AFTER_S


class Suspects:
    """Crashes of targets, by fingerprint of the features that were in flight."""

    def __init__(self):
        self._suspects = OrderedDict()
        self._answered = AnsweredParts()
        self._convicted = set()

    @property
    def count(self):
        """Number of suspects."""
        return len(self._suspects)

    def list_quarantined(self, until_s):
        """Return the fingerprints (list of bytes) of features in quarantine.

        Parts that were at a single crash are left out: most get a response soon.

        Args:
            until_s (float): Only those quarantined by then; monotonic seconds.
        """
        return [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if self.has_crashed_repeatedly(fingerprint)
            and suspect.crashes[:CRASHES_TO_QUARANTINE][-1][1] <= until_s
        ]

    def list_repeat_suspects(self):
        """Return the fingerprints (list of bytes) that peers without them need."""
        return [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if len(suspect.crashes) > 1 or _is_quarantined(suspect)
        ]

    def expire(self, now):
        """Remove suspects that were not updated for long."""
        for fingerprint in list(self._suspects):
            self._find(fingerprint, now)

    def record_crash(self, fingerprint, incarnation, now, answered=False):
        """Record a crash of a target that was running a request with a feature.

        Args:
            fingerprint (bytes): Fingerprint of the feature.
            incarnation (str): Identity of the target's incarnation.
            now (float): Monotonic seconds.
            answered (bool): The daemon that reports it has had a response to a request
                with this part after all crashes that it knows.

        Returns:
            bool: Whether this crash was not known yet.
        """
        suspect = self._get(fingerprint)
        if answered:
            suspect.crashes.clear()
            suspect.trials_s.clear()
            suspect.solo_trials_s.clear()
            suspect.answered = True
        is_new = suspect.add_crash(incarnation, now)
        self._update_convicted(fingerprint, suspect)
        return is_new

    def mark_reported(self, fingerprint):
        """Record that this daemon reported a crash of a part.

        Does nothing for one that is no longer kept, as there were too many at once.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.reported_here = True

    def record_trial(self, fingerprints, now):
        """Record that a trial of a request with some features begins."""
        for fingerprint in fingerprints:
            self._get(fingerprint).record_trial(now, len(fingerprints) == 1)

    def return_trial(self, fingerprints, reached, now):
        """Discard the last trial of a request, as no target has run it.

        Does nothing for a second trial that targets rejected.

        Args:
            fingerprints (iterable of bytes): Fingerprints of its features.
            reached (bool): It reached targets, and they rejected it.
            now (float): Monotonic seconds.
        """
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if (
                suspect is None
                or not suspect.trials_s
                or (reached and suspect.trial_returned)
            ):
                continue
            suspect.pop_trial()
            suspect.trial_returned = suspect.trial_returned or reached
            delay_s = REJECTED_TRIAL_DELAY_S if reached else RETURNED_TRIAL_DELAY_S
            suspect.not_before_s = now + delay_s

    def is_answered(self, fingerprint):
        """Return whether a part had a response after all crashes that are known."""
        return fingerprint in self._answered and fingerprint not in self._suspects

    def select_reported(self, fingerprints):
        """Return the features that a crash of their target is charged to.

        Args:
            fingerprints (iterable of bytes): Features that the target was running.

        Returns:
            (tuple of bytes, tuple of bytes): The features, and those of them that are
            parts which had a response after all crashes that are known.
        """
        suspected, answered = [], []
        for one in fingerprints:
            (answered if self.is_answered(one) else suspected).append(one)
        stalest = self._answered.list_stalest(answered, MAX_ANSWERED_REPORTED)
        return (*suspected, *stalest), tuple(stalest)

    def select_suspects(self, fingerprints):
        """Return those (list of bytes) of some features that are kept as suspects."""
        if not self._suspects:
            return []
        return [one for one in fingerprints if one in self._suspects]

    def is_reported_here(self, fingerprint):
        """Return whether a part is a suspect by a report of this daemon."""
        suspect = self._suspects.get(fingerprint)
        return isinstance(suspect, _SuspectPart) and suspect.reported_here

    def record_answer(self, fingerprints):
        """Record a response to a request; return what other daemons need to know.

        Args:
            fingerprints (collection of bytes): Fingerprints of its features.

        Returns:
            list of bytes: Those that other daemons may hold in quarantine.
        """
        cleared = []
        for fingerprint in self.select_suspects(fingerprints):
            suspect = self._suspects[fingerprint]
            if len(suspect.crashes) > 1 or not suspect.answered:
                cleared.append(fingerprint)
            self._remove(fingerprint)
        self._answered.add([one for one in fingerprints if is_part(one)])
        return cleared

    def clear(self, fingerprint):
        """Remove a feature that was answered; return whether it was a suspect."""
        was_suspect = fingerprint in self._suspects
        self.record_answer((fingerprint,))
        return was_suspect

    def is_suspect(self, fingerprint, now):
        """Return whether a feature was at a crash and has not been cleared since."""
        return self._find(fingerprint, now) is not None

    def is_quarantined(self, fingerprint, now):
        """Return whether a feature is in quarantine.

        Each call restarts the expiry of a feature that crashed a target in a trial.
        """
        suspect = self._find(fingerprint, now)
        if suspect is None or not _is_quarantined(suspect):
            return False
        if self._is_explained(fingerprint, suspect):
            return False
        if suspect.crashed_in_trial:
            suspect.updated_s = now
        return True

    def has_crashed_repeatedly(self, fingerprint):
        """Return whether a feature in quarantine was at more than one crash."""
        suspect = self._suspects.get(fingerprint)
        return (
            suspect is not None
            and len(suspect.crashes) > 1
            and _is_quarantined(suspect)
            and not self._is_explained(fingerprint, suspect)
        )

    def check_trial(self, fingerprints, now):
        """Return the `TrialDecision` for a request with some quarantined features."""
        suspects = [self._find(one, now) for one in fingerprints]
        suspects = [one for one in suspects if one is not None]
        due_s = float("-inf")
        for suspect in suspects:
            delay_s = _get_trial_delay_s(suspect, len(suspects))
            if delay_s is None:
                return TrialDecision(False, FINAL_RETRY_AFTER_S)
            due_s = max(due_s, suspect.latest_s + delay_s, suspect.not_before_s)
        retry_after_s = min(FINAL_RETRY_AFTER_S, max(0.0, due_s - now))
        return TrialDecision(due_s <= now, retry_after_s)

    def describe(self, fingerprint, now):
        """Return the crashes and trials of a feature as a `Suspicion`."""
        suspect = self._get(fingerprint)
        return Suspicion(
            fingerprint,
            tuple(incarnation for incarnation, _ in suspect.crashes),
            tuple(now - ended_s for _, ended_s in suspect.crashes),
            tuple(now - begun_s for begun_s in suspect.trials_s),
            tuple(now - begun_s for begun_s in suspect.solo_trials_s),
            suspect.trial_returned,
        )

    def merge(self, suspicion, now):
        """Merge the crashes and trials that another daemon knows.

        Args:
            suspicion (Suspicion): What the other daemon knows.
            now (float): Monotonic seconds.

        Returns:
            bool: Whether the feature may be a suspect. A part that was answered here,
                after all crashes known here, is not.
        """
        if self.is_answered(suspicion.fingerprint):
            return False
        suspect = self._get(suspicion.fingerprint)
        for incarnation, age_s in zip(
            suspicion.incarnations, suspicion.crash_ages_s, strict=False
        ):
            suspect.add_crash(incarnation, now - age_s)
        for age_s in suspicion.trial_ages_s:
            suspect.record_trial(now - age_s, age_s in suspicion.solo_trial_ages_s)
        suspect.trial_returned = suspect.trial_returned or suspicion.trial_returned
        self._update_convicted(suspicion.fingerprint, suspect)
        return True

    def _get(self, fingerprint):
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._make(fingerprint)
            self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._remove(next(iter(self._suspects)))
        return suspect

    def _remove(self, fingerprint):
        del self._suspects[fingerprint]
        self._convicted.discard(fingerprint)

    def _make(self, fingerprint):
        if is_part(fingerprint):
            return _SuspectPart(fingerprint in self._answered)
        return _SuspectRequest()

    def _find(self, fingerprint, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return None
        if now - suspect.updated_s >= _get_forget_delay_s(suspect):
            self._remove(fingerprint)
            return None
        return suspect

    def _update_convicted(self, fingerprint, suspect):
        if isinstance(suspect, _SuspectPart) and suspect.is_convicted:
            self._convicted.add(fingerprint)

    def _is_explained(self, fingerprint, suspect):
        """Return whether a convicted part was at all crashes of another part."""
        if not isinstance(suspect, _SuspectPart) or fingerprint in self._convicted:
            return False
        return any(
            suspect.is_explained_by(self._suspects[convicted])
            for convicted in self._convicted
        )
