"""Callers' side of deferred requests: acceptance, runs and result lookups."""

import hashlib
import json

from firworks.codes import Code
from firworks.kernel.answers import (
    CompleteResponse,
    decode_response,
    encode_json,
    finish_complete,
    finish_failed,
)
from firworks.kernel.ledger.claims import (
    DeferAccepted,
    DeferredDone,
    DeferRequested,
    ResultRequested,
)
from firworks.kernel.limits.arrivals import bind_request, build_request

LOOKUP_RETRY_AFTER_S = 1.0
ID_LENGTH = 32

_LOOKUP_CODES = {
    "open": Code.IN_PROGRESS,
    "unavailable": Code.LEDGER_UNAVAILABLE,
    "missing": Code.UNKNOWN_RESULT,
}


class DeferralHandler:
    """Connects the requests in progress with the deferred queue.

    Args:
        owner (Requests): Holds the requests in progress.

    Attributes:
        waiting (dict of str to str): By id of each request in progress, the id of
            the deferred request whose acceptance it waits for.
    """

    def __init__(self, owner):
        self.owner = owner
        self.waiting = {}
        self._run_count = 0

    def request_acceptance(self, request, idempotency_key):
        """Return the signal that asks for acceptance; resends share one deferred id."""
        deferral_id = request.request_id
        if idempotency_key:
            deferral_id = make_deferral_id(request, idempotency_key)
        self.waiting[request.request_id] = deferral_id
        return [
            DeferRequested(
                request_id=deferral_id,
                account=request.account.name,
                pipeline=request.pipeline.name,
                body=encode_json(request.body),
                deadline_s=request.deadline_s,
            )
        ]

    def apply_decision(self, decision, now):
        """Finish the requests that wait for this acceptance or refusal."""
        results = []
        for request_id, deferral_id in list(self.waiting.items()):
            if deferral_id != decision.request_id:
                continue
            request = self.owner.requests.get(request_id)
            self.stop_waiting(request_id)
            if request is not None:
                outcome = self._describe(decision, deferral_id, request)
                results.extend(self.owner.finish(request, outcome, now))
        return results

    def stop_waiting(self, request_id):
        """Stop waiting for acceptance on behalf of a request (id)."""
        self.waiting.pop(request_id, None)

    def start_run(self, ready, now):
        """Start an accepted deferred request in this daemon."""
        document = self.owner.document
        pipeline = document.pipelines.get(ready.pipeline) if document else None
        account = document.accounts.get(ready.account) if document else None
        if pipeline is None or account is None:
            return [DeferredDone(ready.request_id, b"")]
        self._run_count += 1
        run_id = f"{ready.request_id}.{self.owner.incarnation}.{self._run_count}"
        request = build_request(run_id, account, pipeline, json.loads(ready.body))
        bind_request(request, document, self.owner.version, now)
        request.deferral_id = ready.request_id
        request.caller = False
        self.owner.add(request)
        return self.owner.runner.start_stage(request, 0, None, now)

    def look_up(self, event):
        """Look up the result of a deferred request for the account of a token."""
        document = self.owner.document
        if document is None:
            return [finish_failed(event.lookup_id, Code.NOT_CONFIGURED, False)]
        account = document.find_account(event.token)
        if account is None:
            return [finish_failed(event.lookup_id, Code.UNAUTHENTICATED, False)]
        return [ResultRequested(event.lookup_id, event.request_id, account.name)]

    def complete_lookup(self, found):
        """Finish a caller's lookup with a `ResultFound`."""
        if found.state == "done":
            return [finish_complete(found.lookup_id, decode_response(found.response))]
        code = _LOOKUP_CODES[found.state]
        final = code is Code.UNKNOWN_RESULT
        retry_after_s = 0.0 if final else LOOKUP_RETRY_AFTER_S
        return [finish_failed(found.lookup_id, code, True, "", retry_after_s)]

    def _describe(self, decision, deferral_id, request):
        if isinstance(decision, DeferAccepted):
            response = CompleteResponse(body={"request_id": deferral_id})
            return finish_complete("", response, Code.ACCEPTED)
        may_run = decision.may_run or request.resent
        return finish_failed("", Code.LEDGER_UNAVAILABLE, began=may_run)


def make_deferral_id(request, idempotency_key):
    """Return the id (str) shared by all sends of one deferred request."""
    parts = (
        request.account.name,
        request.pipeline.name,
        idempotency_key,
        request.fingerprint.hex(),
    )
    digest = hashlib.sha256("\0".join(parts).encode())
    return digest.hexdigest()[:ID_LENGTH]
