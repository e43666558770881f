"""Life cycle of a request: arrival, claim, stages and its final response."""

from functools import singledispatchmethod
from heapq import heappop, heappush

from firworks.codes import Code
from firworks.kernel.answers import (
    decode_response,
    encode_response,
    finish_complete,
    finish_failed,
)
from firworks.kernel.callers import (
    CallerDisconnected,
    EndConnections,
    RequestArrived,
    ResultLookupRequested,
)
from firworks.kernel.calls import (
    CallChunk,
    CallCompleted,
    CallEnded,
    CallFailed,
    CallPlaced,
    CallRejected,
    HedgeAdvised,
)
from firworks.kernel.configuration.records import NO_VERSION
from firworks.kernel.deferred.deferrals import DeferralHandler
from firworks.kernel.fleet.events import (
    ConfigurationAccepted,
    DrainExpired,
    DrainStarted,
)
from firworks.kernel.fleet.summaries import refuse_request, summarize_request
from firworks.kernel.ledger.claims import (
    CLAIM_EXPIRED,
    CLAIM_FULL,
    CLAIM_IN_PROGRESS,
    CLAIM_NOT_RUN,
    CLAIM_OUTCOME,
    CLAIM_REUSED,
    CLAIM_UNAVAILABLE,
    CLAIM_UNKNOWN,
    LATE_OUTCOME_GRACE_S,
    ClaimRefused,
    ClaimReleased,
    ClaimRequested,
    ClaimWon,
    DeferAccepted,
    DeferredDone,
    DeferredReady,
    DeferRefused,
    OutcomeReached,
    OutcomeUnknown,
    ResultFound,
    WorkKey,
)
from firworks.kernel.limits.arrivals import check_arrival, make_request
from firworks.kernel.messages import Tick
from firworks.kernel.node import Part
from firworks.kernel.stages import StageRunner

RESULT_RETRY_AFTER_S = 1.0
DECISION_GRACE_S = 1.0

# States in which the ledger does not know the outcome of earlier sends of the key.
UNDECIDED_STATES = (CLAIM_UNAVAILABLE, CLAIM_EXPIRED)

# Result code by claim state, and whether the work may have started in this or an
# earlier request with the same key.
_CLAIM_RESULTS = {
    CLAIM_UNKNOWN: (Code.OUTCOME_UNKNOWN, True),
    CLAIM_NOT_RUN: (Code.RESOLVED_NOT_RUN, False),
    CLAIM_IN_PROGRESS: (Code.IN_PROGRESS, True),
    CLAIM_REUSED: (Code.IDEMPOTENCY_KEY_REUSED, False),
    CLAIM_EXPIRED: (Code.IDEMPOTENCY_KEY_EXPIRED, False),
    CLAIM_UNAVAILABLE: (Code.LEDGER_UNAVAILABLE, False),
    CLAIM_FULL: (Code.LEDGER_FULL, False),
}


class Requests(Part):
    """Serves requests; must be the last part, so that the others see events first.

    Args:
        incarnation (str): Unique name of this incarnation of the daemon.
        budgets (StageBudgets): Divides the remaining time among the stages.
        ledger (Ledger): Checked again right before each non-repeatable call.
        limits (AccountLimits): Admits requests of client accounts.
        quarantine (Quarantine): Identifies requests that crash targets.
    """

    def __init__(self, incarnation, budgets, ledger, limits, quarantine):
        self.incarnation = incarnation
        self.budgets = budgets
        self.ledger = ledger
        self.limits = limits
        self.quarantine = quarantine
        self.runner = StageRunner(incarnation, budgets, self)
        self.deferrals = DeferralHandler(self)
        self.requests = {}
        self.document = None
        self.version = NO_VERSION
        self.draining = False
        self._by_claim = {}
        self._deadlines = []

    @property
    def ready(self):
        """Whether new requests are accepted."""
        return self.document is not None and not self.draining

    @property
    def idle(self):
        """Whether no request is in progress."""
        return not self.requests

    @singledispatchmethod
    def handle(self, event, now):
        """Handle an event; see `Part`."""
        return []

    @handle.register
    def _(self, event: ConfigurationAccepted, now):
        self.document = event.document
        self.version = event.version
        return []

    @handle.register
    def _(self, event: DrainStarted, now):
        self.draining = True
        return [EndConnections()]

    @handle.register
    def _(self, event: DrainExpired, now):
        results = []
        for request in list(self.requests.values()):
            results.extend(self.fail(request, Code.SHUT_DOWN, now))
        return results

    @handle.register
    def _(self, event: RequestArrived, now):
        code = check_arrival(event, self.document, self.draining)
        if code is not None:
            return refuse_request(event, self.document, code)
        request = make_request(event, self.document, self.version, now)
        refusal = self._refuse(event, request, now)
        if refusal is not None:
            return refusal
        self.add(request)
        if request.pipeline.deferred:
            return self.deferrals.request_acceptance(request, event.idempotency_key)
        if not request.pipeline.repeatable:
            return self._claim(request, event)
        return self.runner.start_stage(request, 0, None, now)

    @handle.register
    def _(self, event: DeferAccepted | DeferRefused, now):
        return self.deferrals.apply_decision(event, now)

    @handle.register
    def _(self, event: DeferredReady, now):
        return self.deferrals.start_run(event, now)

    @handle.register
    def _(self, event: ResultLookupRequested, now):
        return self.deferrals.look_up(event)

    @handle.register
    def _(self, event: ResultFound, now):
        return self.deferrals.complete_lookup(event)

    @handle.register
    def _(self, event: CallerDisconnected, now):
        request = self.requests.get(event.request_id)
        if request is None:
            return []
        request.caller = False
        # Non-repeatable and deferred requests continue without the caller.
        if request.pipeline.deferred or not request.pipeline.repeatable:
            return []
        return self.fail(request, Code.CANCELLED, now)

    @handle.register
    def _(self, event: ClaimWon, now):
        request = self._by_claim.get(event.claim_id)
        if request is None:
            return [ClaimReleased(event.claim_id)]
        request.claimed = True
        return self.runner.start_stage(request, 0, None, now)

    @handle.register
    def _(self, event: ClaimRefused, now):
        request = self._by_claim.pop(event.claim_id, None)
        if request is None:
            return []
        request.claim_id = ""
        if event.state == CLAIM_OUTCOME:
            stored = decode_response(event.response)
            return self.finish(request, finish_complete("", stored, Code.REPLAYED), now)
        code, began = _CLAIM_RESULTS[event.state]
        if event.state in UNDECIDED_STATES:
            began = request.resent
        return self.finish(request, finish_failed("", code, began), now)

    @handle.register
    def _(self, event: CallPlaced, now):
        return self.runner.place_call(event, now)

    @handle.register
    def _(self, event: CallRejected, now):
        return self.runner.reject_call(event, now)

    @handle.register
    def _(self, event: HedgeAdvised, now):
        return self.runner.hedge_call(event, now)

    @handle.register
    def _(self, event: CallChunk, now):
        return self.runner.receive_chunk(event, now)

    @handle.register
    def _(self, event: CallCompleted, now):
        return self.runner.complete_call(event, now)

    @handle.register
    def _(self, event: CallFailed, now):
        return self.runner.record_failure(event, now)

    @handle.register
    def _(self, event: CallEnded, now):
        return self.runner.retry_or_fail(event, now)

    @handle.register
    def _(self, event: Tick, now):
        results = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heappop(self._deadlines)
            request = self.requests.get(request_id)
            if request is not None:
                results.extend(self._handle_deadline(request, now))
        return results

    # Called by the stage runner.

    def may_dispatch(self, request, now):
        """Return whether the request's claim still permits a non-repeatable call."""
        return request.claimed and self.ledger.may_dispatch(request.claim_id, now)

    def expire_claim(self, request, now):
        """End a request whose claim no longer permits a dispatch.

        Either its deadline has passed or its idempotency key has expired.
        """
        overdue = now >= request.deadline_s
        code = Code.DEADLINE_EXCEEDED if overdue else Code.IDEMPOTENCY_KEY_EXPIRED
        return self.fail(request, code, now)

    def check_quarantine(self, request, now):
        """Return the code that refuses a quarantined request, or None."""
        verdict = self.quarantine.check(request.fingerprint, now)
        request.alone = verdict.alone
        return Code.QUARANTINED if verdict.refused else None

    def complete(self, request, response, now):
        """End a request with its complete response."""
        results = []
        if request.claim_id:
            results.append(OutcomeReached(request.claim_id, encode_response(response)))
        if request.deferral_id:
            results.append(DeferredDone(request.deferral_id, encode_response(response)))
        return results + self.finish(request, finish_complete("", response), now)

    def fail(self, request, code, now, detail="", retry_after_s=0.0):
        """End a request without a complete response; cancels its calls."""
        results = self.runner.cancel_calls(request, now)
        if request.claim_id and request.dispatched:
            results.append(OutcomeUnknown(request.claim_id))
            code = Code.OUTCOME_UNKNOWN
        elif request.claim_id:
            results.append(ClaimReleased(request.claim_id))
        if request.deferral_id:
            results.append(DeferredDone(request.deferral_id, b""))
        began = request.may_have_started
        ending = finish_failed("", code, began, detail, retry_after_s)
        return results + self.finish(request, ending, now)

    def add(self, request):
        """Store a request until it ends and schedule its deadline."""
        self.requests[request.request_id] = request
        heappush(self._deadlines, (request.deadline_s, request.request_id))

    def finish(self, request, ending, now):
        """Remove a request and send `ending` unless a response was sent before."""
        del self.requests[request.request_id]
        self.deferrals.stop_waiting(request.request_id)
        self._by_claim.pop(request.claim_id, None)
        if not request.deferral_id:
            self.limits.finish(request.account.name, now)
        results = self._send_response(request, ending)
        results.append(summarize_request(request, now))
        return results

    # Arrival.

    def _refuse(self, event, request, now):
        """Return the actions that refuse a new request, or None to admit it."""
        verdict = self.quarantine.check(request.fingerprint, now)
        if verdict.refused:
            return refuse_request(
                event, self.document, Code.QUARANTINED, verdict.retry_after_s
            )
        request.alone = verdict.alone
        remaining_s = request.deadline_s - now
        waits = request.pipeline.deferred
        if not waits and not self.budgets.can_meet(request.pipeline, remaining_s):
            return refuse_request(event, self.document, Code.DEADLINE_TOO_SHORT)
        admission = self.limits.try_admit(request.account.name, now)
        if admission.code is not None:
            return refuse_request(
                event, self.document, admission.code, admission.retry_after_s
            )
        return None

    def _claim(self, request, event):
        request.claim_id = f"{self.incarnation}/{request.request_id}"
        self._by_claim[request.claim_id] = request
        account = request.account.name
        key = WorkKey(account, request.pipeline.name, event.idempotency_key)
        claim = ClaimRequested(
            claim_id=request.claim_id,
            key=key,
            fingerprint=request.fingerprint,
            issued_s=event.issued_s,
            deadline_s=request.deadline_s,
        )
        return [claim]

    # Ending.

    def _handle_deadline(self, request, now):
        if request.claim_pending or request.request_id in self.deferrals.waiting:
            return self._await_ledger_decision(request, now)
        if request.dispatched and request.code is None:
            return self._report_in_progress(request, now)
        return self.fail(request, Code.DEADLINE_EXCEEDED, now)

    def _await_ledger_decision(self, request, now):
        """Wait up to `DECISION_GRACE_S` past the deadline for the ledger's decision."""
        if now >= request.deadline_s + DECISION_GRACE_S:
            request.possibly_started.add(0)  # work outside this daemon
            return self.fail(request, Code.OUTCOME_UNKNOWN, now)
        retry_s = request.deadline_s + DECISION_GRACE_S
        heappush(self._deadlines, (retry_s, request.request_id))
        return []

    def _report_in_progress(self, request, now):
        """Send the response now; the outcome is still awaited and stored."""
        ending = finish_failed(
            "", Code.IN_PROGRESS, began=True, retry_after_s=RESULT_RETRY_AFTER_S
        )
        limit_s = request.deadline_s + LATE_OUTCOME_GRACE_S
        heappush(self._deadlines, (limit_s, request.request_id))
        return self._send_response(request, ending)

    def _send_response(self, request, ending):
        if request.code is not None:
            return []
        request.code = ending.code
        if not request.caller:
            return []
        return [ending.replace(request_id=request.request_id)]
