"""Quarantines requests that crash targets, across all gateways."""

import asyncio
from functools import singledispatchmethod

from firworks.events import LogEvent, log_event
from firworks.gateway.checks import LivenessChecker
from firworks.gateway.suspicion_store import SuspicionStore
from firworks.kernel.forwarding.suspects import SuspectRequests
from firworks.kernel.forwarding.suspicions import (
    SuspectCleared,
    Suspicion,
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
# Quarantined requests are written to the store at this interval, so that one which a
# trial clears at once is not written.
REVIEW_PERIOD_S = 0.7


class CrashTracker:
    """Tracks requests suspected of crashing targets and grants trials for them.

    Args:
        gateway (Gateway): Provides targets, services and members from the store.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._suspects = SuspectRequests()
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
            self._record_ended,
            gateway.metrics,
            gateway.availability,
            gateway.limits,
        )

    @property
    def quarantined_count(self):
        """Number of quarantined requests."""
        return len(self._suspects.list_quarantined(self._clock()))

    def is_quarantined(self, fingerprint):
        """Return whether a request must not be sent to a target."""
        return self._suspects.is_quarantined(fingerprint, self._clock())

    def get_retry_after_s(self, fingerprint):
        """Return the seconds until a caller should retry a quarantined request."""
        verdict = self._suspects.check_trial(fingerprint, self._clock())
        return max(TRIAL_REQUEST_TIMEOUT_S, verdict.retry_after_s)

    async def request_trial(self, fingerprint):
        """Ask for a trial, which sends a quarantined request to one target.

        Returns:
            bool: Whether the trial is granted.
        """
        due = self._suspects.check_trial(fingerprint, self._clock()).due
        if not due or fingerprint in self._pending_trials:
            return False
        granter = self._choose_granter()
        own = self._gateway.roster.own.name
        if granter == own:
            granted = self._grant(fingerprint, own)
        else:
            granted = await self._request_grant(fingerprint, granter)
        if granted:
            self._suspects.record_trial(fingerprint, self._clock())
        self._metrics.suspect_trials.labels("granted" if granted else "denied").inc()
        log_event(
            LogEvent.TRIAL_DECIDED,
            fingerprint=fingerprint.hex(),
            granter=granter,
            granted=granted,
        )
        return granted

    def return_trial(self, fingerprint, reached):
        """Give back a granted trial that no target has run.

        Args:
            fingerprint (bytes): Fingerprint of the request.
            reached (bool): It was sent, and every target rejected it without running.
        """
        self._suspects.return_trial(fingerprint, reached, self._clock())
        self._gateway.broadcast(TrialReturned(fingerprint, reached))

    def clear(self, fingerprint):
        """Clear a request of suspicion after its complete response."""
        if self._suspects.clear(fingerprint):
            self._gateway.broadcast(SuspectCleared(fingerprint))

    def apply_stored_suspicion(self, value):
        """Merge a quarantined request's suspicion read from the store (KeyedValue)."""
        suspicion = self._suspicion_store.decode(value)
        if suspicion is not None:
            self._suspects.merge(suspicion, self._clock())

    def send_suspicions(self, peer):
        """Send a peer all requests under suspicion of more than one crash."""
        now = self._clock()
        for fingerprint in self._suspects.list_repeat_suspects():
            record = self._suspects.describe(fingerprint, now)
            self._gateway.pools.peers.send(peer, record)

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
        now = self._clock()
        for fingerprint in record.fingerprints:
            if self._suspects.record_crash(fingerprint, record.incarnation, now):
                log_event(
                    LogEvent.REQUEST_SUSPECTED,
                    fingerprint=fingerprint.hex(),
                    target=record.incarnation,
                )

    @receive.register
    def _(self, record: SuspectCleared, peer):
        self._suspects.clear(record.fingerprint)

    @receive.register
    def _(self, record: Suspicion, peer):
        self._suspects.merge(record, self._clock())

    @receive.register
    def _(self, record: TrialAsked, peer):
        self._suspects.merge(record.suspicion, self._clock())
        fingerprint = record.suspicion.fingerprint
        granted = self._grant(fingerprint, peer)
        self._gateway.pools.peers.send(peer, TrialAnswered(fingerprint, granted))

    @receive.register
    def _(self, record: TrialAnswered, peer):
        pending = self._pending_trials.get(record.fingerprint)
        if pending is not None and not pending.done():
            pending.set_result(record.granted)

    @receive.register
    def _(self, record: TrialReturned, peer):
        now = self._clock()
        self._suspects.return_trial(record.fingerprint, record.reached, now)

    def _choose_granter(self):
        """Return the name of the gateway that grants trials now."""
        return self._granters.choose(TRIALS, self._clock())

    def _grant(self, fingerprint, peer):
        """Return whether a trial is granted; a granted one is broadcast."""
        now = self._clock()
        if not self._suspects.check_trial(fingerprint, now).due:
            return False
        self._suspects.record_trial(fingerprint, now)
        self._gateway.broadcast(self._suspects.describe(fingerprint, now))
        return True

    async def _request_grant(self, fingerprint, granter):
        pending = asyncio.get_running_loop().create_future()
        self._pending_trials[fingerprint] = pending
        known = self._suspects.describe(fingerprint, self._clock())
        self._gateway.pools.peers.send(granter, TrialAsked(known))
        try:
            async with asyncio.timeout(TRIAL_REQUEST_TIMEOUT_S):
                return await pending
        except TimeoutError:
            self._granters.mark_unresponsive(granter, self._clock())
            return False
        finally:
            del self._pending_trials[fingerprint]

    def _record_ended(self, incarnation, fingerprints):
        record = TargetCrashed(
            tuple(fingerprints), f"{incarnation[0]}/{incarnation[1]}"
        )
        self.receive(record, self._gateway.roster.own.name)
        self._gateway.broadcast(record)
