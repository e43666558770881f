"""Acceptance, runs and results of deferred requests."""

import hashlib
import json

from firworks.codes import Code
from firworks.kernel.answers import (
    CompleteResponse,
    decode_response,
    encode_json,
    finish_failed,
    finish_complete,
)
from firworks.kernel.ledger.claims import (
    DeferAccepted,
    DeferredDone,
    DeferRequested,
    ResultRequested,
)
from firworks.kernel.limits.arrivals import build_request, bind_request

LOOKUP_RETRY_AFTER_S = 1.0
ID_CHARACTERS = 32

_LOOKUP_CODES = {
    "open": Code.IN_PROGRESS,
    "unavailable": Code.LEDGER_UNAVAILABLE,
    "missing": Code.UNKNOWN_RESULT,
}


class DeferralHandler:
    """Connects deferred requests with the part that keeps them in the log.

    Args:
        owner (Requests): Holds the requests in progress.

    Attributes:
        waiting (dict of str to str): Deferred request that each request in progress
            waits to see accepted, by request id.
    """

    def __init__(self, owner):
        self.owner = owner
        self.waiting = {}
        self._runs = 0

    def ask(self, request, idempotency_key):
        """Ask for a request to be logged; a resend asks for the same one."""
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

    def decide(self, decision, now):
        """Tell the callers that wait whether the request was accepted."""
        results = []
        for request_id, deferral_id in list(self.waiting.items()):
            if deferral_id != decision.request_id:
                continue
            request = self.owner.requests.get(request_id)
            self.forget(request_id)
            if request is not None:
                ending = self._describe(decision, deferral_id, request)
                results.extend(self.owner.finish(request, ending, now))
        return results

    def forget(self, request_id):
        """Stop waiting on behalf of a request."""
        self.waiting.pop(request_id, None)

    def run(self, ready, now):
        """Run an accepted deferred request in this daemon."""
        document = self.owner.document
        pipeline = document.pipelines.get(ready.pipeline) if document else None
        account = document.accounts.get(ready.account) if document else None
        if pipeline is None or account is None:
            return [DeferredDone(ready.request_id, b"")]
        self._runs += 1
        run_id = f"{ready.request_id}.{self.owner.incarnation}.{self._runs}"
        request = build_request(run_id, account, pipeline, json.loads(ready.body))
        bind_request(request, document, self.owner.version, now)
        request.deferral_id = ready.request_id
        request.caller = False
        self.owner.add(request)
        return self.owner.runner.start_stage(request, 0, None, now)

    def look_up(self, event):
        """Ask for the result of a deferred request on behalf of its account."""
        document = self.owner.document
        if document is None:
            return [finish_failed(event.lookup_id, Code.NOT_CONFIGURED, False)]
        account = document.find_account(event.token)
        if account is None:
            return [finish_failed(event.lookup_id, Code.UNAUTHENTICATED, False)]
        return [ResultRequested(event.lookup_id, event.request_id, account.name)]

    def report(self, found):
        """Answer a lookup."""
        if found.state == "done":
            return [finish_complete(found.lookup_id, decode_response(found.answer))]
        code = _LOOKUP_CODES[found.state]
        lasting = code is Code.UNKNOWN_RESULT
        retry_after_s = 0.0 if lasting else LOOKUP_RETRY_AFTER_S
        return [finish_failed(found.lookup_id, code, True, "", retry_after_s)]

    def _describe(self, decision, deferral_id, request):
        if isinstance(decision, DeferAccepted):
            answer = CompleteResponse(body={"request_id": deferral_id})
            return finish_complete("", answer, Code.ACCEPTED)
        may_run = decision.may_run or request.resent
        return finish_failed("", Code.LEDGER_UNAVAILABLE, began=may_run)


def make_deferral_id(request, idempotency_key):
    """Return the id that all sends of one deferred request share."""
    parts = (
        request.account.name,
        request.pipeline.name,
        idempotency_key,
        request.fingerprint.hex(),
    )
    digest = hashlib.sha256("\0".join(parts).encode())
    return digest.hexdigest()[:ID_CHARACTERS]
