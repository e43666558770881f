"""Keeps requests that end targets from being sent on, in the whole fleet."""

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

# The daemon of this rank grants trials, as the first scheduler of a pool is chosen.
TRIALS = "trials"
# A round trip between daemons takes a few milliseconds, a busy one's some tens.
ASK_LIMIT_S = 0.25
# A daemon that did not answer is not asked again for this time.
SILENT_S = 3.0
# Requests that are refused are looked through this often. One that a trial clears at
# once is not written to the store.
REVIEW_PERIOD_S = 0.7


class CrashTracker:
    """Keeps the suspicion of requests that end targets.

    Args:
        gateway (Gateway): Knows the store's word of targets and services, and members.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._suspects = SuspectRequests()
        self._clock = gateway.clock
        self._metrics = gateway.metrics
        self._asked = {}
        self._silent_s = {}
        self._reviewed_s = float("-inf")
        self._keeper = SuspicionStore(gateway.store)
        self.checks = LivenessChecker(
            gateway.connections,
            gateway.clock,
            lambda target_id: gateway.directory.find_known(target_id),
            lambda name: gateway.configuration.services.get(name),
            self._note_ended,
            gateway.metrics,
            gateway.availability,
        )

    @property
    def refused(self):
        """How many requests are refused."""
        return len(self._suspects.list_quarantined(self._clock()))

    def is_refused(self, fingerprint):
        """Return whether a request must not be sent to a target."""
        return self._suspects.is_quarantined(fingerprint, self._clock())

    def get_retry_after_s(self, fingerprint):
        """Return when a refused request may be sent again, in seconds."""
        verdict = self._suspects.check_trial(fingerprint, self._clock())
        return max(ASK_LIMIT_S, verdict.retry_after_s)

    async def request_trial(self, fingerprint):
        """Return whether a refused request may be sent to one target all the same."""
        due = self._suspects.check_trial(fingerprint, self._clock()).due
        if not due or fingerprint in self._asked:
            return False
        granter = self._choose_granter()
        own = self._gateway.roster.own.name
        if granter == own:
            granted = self._grant(fingerprint, own)
        else:
            granted = await self._ask(fingerprint, granter)
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
        """Take in that no target has run a trial.

        Args:
            fingerprint (bytes): Of the request.
            reached (bool): Targets have turned it away.
        """
        self._suspects.return_trial(fingerprint, reached, self._clock())
        self._gateway.broadcast(TrialReturned(fingerprint, reached))

    def clear(self, fingerprint):
        """Take in that a request has its whole answer."""
        if self._suspects.clear(fingerprint):
            self._gateway.broadcast(SuspectCleared(fingerprint))

    def apply_stored_suspicion(self, value):
        """Take in what the store keeps of a refused request (KeyedValue)."""
        suspicion = self._keeper.decode(value)
        if suspicion is not None:
            self._suspects.merge(suspicion, self._clock())

    def brief(self, peer):
        """Tell another daemon of all requests that are refused, or nearly so."""
        now = self._clock()
        for fingerprint in self._suspects.list_repeat_suspects():
            record = self._suspects.describe(fingerprint, now)
            self._gateway.pools.peers.send(peer, record)

    def tick(self):
        """Take in what the store tells of runs; keep what it is to keep."""
        self.checks.review()
        now = self._clock()
        if now - self._reviewed_s < REVIEW_PERIOD_S:
            return
        self._reviewed_s = now
        self._suspects.expire(now)
        if self._choose_granter() == self._gateway.roster.own.name:
            refused = self._suspects.list_quarantined(now - REVIEW_PERIOD_S)
            self._keeper.update([self._suspects.describe(one, now) for one in refused])

    def close(self):
        """Give up what is in progress."""
        self.checks.close()
        self._keeper.close()

    @singledispatchmethod
    def take(self, record, peer):
        """Take in what another daemon tells.

        Args:
            record (Record): One of `firworks.kernel.forwarding.suspicions`.
            peer (str): The daemon.
        """
        raise TypeError(f"not told of suspects: {record!r}")

    @take.register
    def _(self, record: TargetCrashed, peer):
        now = self._clock()
        for fingerprint in record.fingerprints:
            if self._suspects.record_crash(fingerprint, record.incarnation, now):
                log_event(
                    LogEvent.REQUEST_SUSPECTED,
                    fingerprint=fingerprint.hex(),
                    target=record.incarnation,
                )

    @take.register
    def _(self, record: SuspectCleared, peer):
        self._suspects.clear(record.fingerprint)

    @take.register
    def _(self, record: Suspicion, peer):
        self._suspects.merge(record, self._clock())

    @take.register
    def _(self, record: TrialAsked, peer):
        self._suspects.merge(record.suspicion, self._clock())
        fingerprint = record.suspicion.fingerprint
        granted = self._grant(fingerprint, peer)
        self._gateway.pools.peers.send(peer, TrialAnswered(fingerprint, granted))

    @take.register
    def _(self, record: TrialAnswered, peer):
        waiting = self._asked.get(record.fingerprint)
        if waiting is not None and not waiting.done():
            waiting.set_result(record.granted)

    @take.register
    def _(self, record: TrialReturned, peer):
        now = self._clock()
        self._suspects.return_trial(record.fingerprint, record.reached, now)

    def _choose_granter(self):
        """Return the name of the daemon that grants trials."""
        roster, now = self._gateway.roster, self._clock()
        for name in roster.rank(TRIALS):
            silent = self._silent_s.get(name, float("-inf")) > now - SILENT_S
            if not (silent or roster.is_suspected(name)):
                return name
        return roster.own.name

    def _grant(self, fingerprint, peer):
        """Decide on a trial; all daemons hear of one that begins."""
        now = self._clock()
        if not self._suspects.check_trial(fingerprint, now).due:
            return False
        self._suspects.record_trial(fingerprint, now)
        self._gateway.broadcast(self._suspects.describe(fingerprint, now))
        return True

    async def _ask(self, fingerprint, granter):
        waiting = asyncio.get_running_loop().create_future()
        self._asked[fingerprint] = waiting
        known = self._suspects.describe(fingerprint, self._clock())
        self._gateway.pools.peers.send(granter, TrialAsked(known))
        try:
            async with asyncio.timeout(ASK_LIMIT_S):
                return await waiting
        except TimeoutError:
            self._silent_s[granter] = self._clock()
            return False
        finally:
            del self._asked[fingerprint]

    def _note_ended(self, run, fingerprints):
        record = TargetCrashed(tuple(fingerprints), f"{run[0]}/{run[1]}")
        self.take(record, self._gateway.roster.own.name)
        self._gateway.broadcast(record)
