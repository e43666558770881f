"""Quarantines features of requests that crash targets, across all gateways."""

import asyncio
from functools import singledispatchmethod

from firworks.events import LogEvent, log_event
from firworks.gateway.checks import LivenessChecker
from firworks.gateway.suspicion_store import SuspicionStore
from firworks.kernel.forwarding.features import describe_features, is_part
from firworks.kernel.forwarding.suspects import Suspects
from firworks.kernel.forwarding.suspicions import (
    SuspectCleared,
    SuspectsCleared,
    Suspicion,
    Suspicions,
    TargetCrashed,
    TrialAnswered,
    TrialAsked,
    TrialReturned,
)
from firworks.kernel.pools.selection import MemberSelector

# Ranking key: the first responsive member in the rank of this key grants trials.
TRIALS = "trials"
# A round trip between gateways takes a few milliseconds, some tens under load.
TRIAL_REQUEST_TIMEOUT_S = 0.25
# Quarantined features are written to the store at this interval, so that one which a
# trial clears at once is not written.
REVIEW_PERIOD_S = 0.7


class CrashTracker:
    """Tracks features suspected of crashing targets and grants trials for them.

    Args:
        gateway (Gateway): Provides targets, services and members from the store.

    Attributes:
        on_crash (callable): ``on_crash(fingerprints)`` is called after a crash with the
            features (set of bytes) in quarantine that were at another one before.
    """

    def __init__(self, gateway):
        self.on_crash = lambda fingerprints: None
        self._gateway = gateway
        self._suspects = Suspects()
        self._clock = gateway.clock
        self._metrics = gateway.metrics
        self._pending_trials = {}
        self._granters = MemberSelector(gateway.roster)
        self._reviewed_s = float("-inf")
        self._suspicion_store = SuspicionStore(gateway.store)
        self.checks = LivenessChecker(
            gateway.connections,
            gateway.clock,
            lambda target_id: gateway.directory.find_known(target_id),
            lambda name: gateway.configuration.services.get(name),
            self.record_ended,
            self.record_answer,
            gateway.metrics,
            gateway.availability,
            gateway.limits,
        )

    def count_quarantined(self):
        """Return the numbers of quarantined requests and of quarantined parts."""
        quarantined = self._suspects.list_quarantined(self._clock())
        parts = sum(is_part(fingerprint) for fingerprint in quarantined)
        return len(quarantined) - parts, parts

    def is_quarantined(self, fingerprint):
        """Return whether a feature must not be sent to a target, but in a trial."""
        return self._suspects.is_quarantined(fingerprint, self._clock())

    def is_suspected(self, fingerprints):
        """Return whether any of some features may have caused a crash."""
        now = self._clock()
        suspects = self._suspects.select_suspects(fingerprints)
        return any(self._suspects.is_suspect(one, now) for one in suspects)

    def select_quarantined(self, fingerprints):
        """Return those (tuple of bytes) of some features that are in quarantine."""
        suspects = self._suspects.select_suspects(fingerprints)
        return tuple(one for one in suspects if self.is_quarantined(one))

    def select_unanswered(self, parts):
        """Return those (list of bytes) of some parts that had no response lately."""
        return [part for part in parts if not self._suspects.is_answered(part)]

    def is_trial_due(self, fingerprints):
        """Return whether a trial of a request with quarantined features may begin."""
        return self._suspects.check_trial(fingerprints, self._clock()).due

    def get_retry_after_s(self, fingerprints):
        """Return the seconds until a caller should retry a quarantined request."""
        verdict = self._suspects.check_trial(fingerprints, self._clock())
        return max(TRIAL_REQUEST_TIMEOUT_S, verdict.retry_after_s)

    async def request_trial(self, fingerprints):
        """Ask for a trial, which sends a request to one target.

        Args:
            fingerprints (tuple of bytes): Its features in quarantine.

        Returns:
            bool: Whether the trial is granted.
        """
        if not self.is_trial_due(fingerprints) or fingerprints in self._pending_trials:
            return False
        granter = self._choose_granter()
        own = self._gateway.roster.own.name
        if granter == own:
            granted = self._grant(fingerprints, own)
        else:
            granted = await self._request_grant(fingerprints, granter)
        if granted:
            self._suspects.record_trial(fingerprints, self._clock())
        self._metrics.suspect_trials.labels("granted" if granted else "denied").inc()
        log_event(
            LogEvent.TRIAL_DECIDED,
            fingerprint=describe_all(fingerprints),
            granter=granter,
            granted=granted,
        )
        return granted

    def return_trial(self, fingerprints, reached):
        """Give back a granted trial that no target has run.

        Args:
            fingerprints (tuple of bytes): Features of the request in quarantine.
            reached (bool): It was sent, and every target rejected it without running.
        """
        self._suspects.return_trial(fingerprints, reached, self._clock())
        self._gateway.broadcast(TrialReturned(fingerprints, reached))

    def record_answer(self, fingerprints):
        """Clear the features of a request of suspicion after its response."""
        cleared = self._suspects.record_answer(fingerprints)
        if cleared:
            log_event(LogEvent.SUSPECT_CLEARED, feature=describe_all(cleared))
            self._tell_cleared(cleared, self._gateway.roster.names)

    def record_ended(self, incarnation, fingerprints):
        """Record that a target crashed while it ran requests of this gateway.

        Args:
            incarnation (tuple): Id and start time of the target.
            fingerprints (iterable of bytes): Features of the requests.
        """
        reported, answered = self._suspects.select_reported(fingerprints)
        name = f"{incarnation[0]}/{incarnation[1]}"
        record = TargetCrashed(reported, name, answered)
        self._record_crash(record)
        for fingerprint in reported:
            if is_part(fingerprint):
                self._suspects.mark_reported(fingerprint)
        self._gateway.broadcast(record)

    def apply_stored_suspicion(self, value):
        """Merge a quarantined feature's suspicion read from the store (KeyedValue)."""
        suspicion = self._suspicion_store.decode(value)
        if suspicion is not None:
            self._suspects.merge(suspicion, self._clock())

    def store_again(self):
        """Write the records of quarantined features again after a loss of the store."""
        self._suspicion_store.forget()

    def send_suspicions(self, peer):
        """Send a peer all features under suspicion that it needs to know."""
        self._tell_suspicions(self._suspects.list_repeat_suspects(), (peer,))

    def tick(self):
        """Resolve open checks, expire suspicions and write the store's copies."""
        self.checks.poll_unresolved()
        now = self._clock()
        if now - self._reviewed_s < REVIEW_PERIOD_S:
            return
        self._reviewed_s = now
        self._suspects.expire(now)
        if self._choose_granter() == self._gateway.roster.own.name:
            quarantined = self._suspects.list_quarantined(now - REVIEW_PERIOD_S)
            self._suspicion_store.update(
                [self._suspects.describe(one, now) for one in quarantined]
            )

    def close(self):
        """Cancel checks and store writes in progress."""
        self.checks.close()
        self._suspicion_store.close()

    @singledispatchmethod
    def receive(self, record, peer):
        """Handle a record about suspect requests from another gateway.

        Args:
            record (Record): One of `firworks.kernel.forwarding.suspicions`.
            peer (str): Name of the gateway that sent it.
        """
        raise TypeError(f"not a suspicion record: {record!r}")

    @receive.register
    def _(self, record: TargetCrashed, peer):
        answered = set(record.answered)
        unanswered = [
            one for one in record.fingerprints if is_part(one) and one not in answered
        ]
        self._tell_answered(unanswered, peer)
        self._record_crash(record)

    @receive.register
    def _(self, record: SuspectCleared, peer):
        self._clear((record.fingerprint,))

    @receive.register
    def _(self, record: SuspectsCleared, peer):
        self._clear(record.fingerprints)

    @receive.register
    def _(self, record: Suspicion, peer):
        self._merge((record,), peer)

    @receive.register
    def _(self, record: Suspicions, peer):
        self._merge(record.suspicions, peer)

    @receive.register
    def _(self, record: TrialAsked, peer):
        self._merge(record.suspicions, peer)
        fingerprints = tuple(one.fingerprint for one in record.suspicions)
        granted = self._grant(fingerprints, peer)
        self._gateway.pools.peers.send(peer, TrialAnswered(fingerprints, granted))

    @receive.register
    def _(self, record: TrialAnswered, peer):
        pending = self._pending_trials.get(record.fingerprints)
        if pending is not None and not pending.done():
            pending.set_result(record.granted)

    @receive.register
    def _(self, record: TrialReturned, peer):
        now = self._clock()
        self._suspects.return_trial(record.fingerprints, record.reached, now)

    def _clear(self, fingerprints):
        """Clear features that had a response at a peer."""
        # A peer that has had a response tells only the one that reported the crash.
        reported = [one for one in fingerprints if self._suspects.is_reported_here(one)]
        self._tell_cleared(reported, self._gateway.roster.names)
        for fingerprint in fingerprints:
            self._suspects.clear(fingerprint)

    def _merge(self, suspicions, peer):
        """Merge what a peer knows of features (iterable of Suspicion)."""
        now = self._clock()
        answered = [
            suspicion.fingerprint
            for suspicion in suspicions
            if not self._suspects.merge(suspicion, now)
        ]
        self._tell_answered(answered, peer)

    def _tell_answered(self, parts, peer):
        """Tell a peer that suspects some parts which of them had a response here."""
        answered = [part for part in parts if self._suspects.is_answered(part)]
        self._tell_cleared(answered, (peer,))

    def _tell_cleared(self, fingerprints, peers):
        """Tell peers (iterable of str) that some features had a response."""
        singles = [SuspectCleared(one) for one in fingerprints]
        self._tell(SuspectsCleared(tuple(fingerprints)), singles, peers)

    def _tell_suspicions(self, fingerprints, peers):
        """Tell peers (iterable of str) what is known of some features."""
        now = self._clock()
        singles = [self._suspects.describe(one, now) for one in fingerprints]
        self._tell(Suspicions(tuple(singles)), singles, peers)

    def _tell(self, record, singles, peers):
        """Send a record to peers, or several single ones to those that don't know it.

        Args:
            record (Record): What the single ones say together.
            singles (list of Record): Single ones.
            peers (iterable of str): Names of the peers.
        """
        for peer in peers if singles else ():
            protocol = self._gateway.pools.peers.get_protocol(peer)
            joined = protocol is None or protocol >= record.PROTOCOL
            for one in (record,) if joined else singles:
                self._gateway.pools.peers.send(peer, one)

    def _record_crash(self, record):
        """Record a crash (TargetCrashed) that this gateway or a peer has found."""
        now, answered = self._clock(), set(record.answered)
        new = [
            fingerprint
            for fingerprint in record.fingerprints
            if self._suspects.record_crash(
                fingerprint, record.incarnation, now, fingerprint in answered
            )
        ]
        suspected = [one for one in new if not is_part(one) or self.is_quarantined(one)]
        if suspected:
            log_event(
                LogEvent.REQUEST_SUSPECTED,
                fingerprint=describe_all(suspected),
                target=record.incarnation,
            )
        repeated = {one for one in new if self._suspects.has_crashed_repeatedly(one)}
        if repeated:
            self.on_crash(repeated)

    def _choose_granter(self):
        """Return the name of the gateway that grants trials now."""
        return self._granters.choose(TRIALS, self._clock())

    def _grant(self, fingerprints, peer):
        """Return whether a trial is granted; a granted one is broadcast."""
        now = self._clock()
        if not self._suspects.check_trial(fingerprints, now).due:
            return False
        suspects = self.select_quarantined(fingerprints)
        self._suspects.record_trial(suspects, now)
        self._tell_suspicions(suspects, self._gateway.roster.names)
        return True

    async def _request_grant(self, fingerprints, granter):
        pending = asyncio.get_running_loop().create_future()
        self._pending_trials[fingerprints] = pending
        now = self._clock()
        known = tuple(self._suspects.describe(one, now) for one in fingerprints)
        self._gateway.pools.peers.send(granter, TrialAsked(known))
        try:
            async with asyncio.timeout(TRIAL_REQUEST_TIMEOUT_S):
                return await pending
        except TimeoutError:
            self._granters.mark_unresponsive(granter, self._clock())
            return False
        finally:
            del self._pending_trials[fingerprints]


def describe_all(fingerprints):
    """Return the text (str) by which logs name some features."""
    return " ".join(describe_features(fingerprints))
