"""Checks a caller's request against the document and makes its state."""

from firworks.codes import Code
from firworks.kernel.answers import fingerprint_request
from firworks.kernel.request_state import Request

MILLISECONDS_PER_S = 1000.0


def check_arrival(event, document, draining):
    """Return the code that refuses a new request, or None.

    Args:
        event (RequestArrived): The request.
        document (Document): The document in force, or None.
        draining (bool): The daemon takes no new requests.
    """
    if draining:
        return Code.DRAINING
    if document is None:
        return Code.NOT_CONFIGURED
    if document.find_account(event.token) is None:
        return Code.UNAUTHENTICATED
    pipeline = document.pipelines.get(event.pipeline)
    if pipeline is None:
        return Code.UNKNOWN_PIPELINE
    if not pipeline.repeatable and not event.idempotency_key:
        return Code.IDEMPOTENCY_KEY_REQUIRED
    return None


def may_be_resend(event):
    """Whether an earlier send of the request's key may have run.

    A refusal of such a request never says "not run": the caller could take it as
    the fate of the earlier send too.
    """
    return bool(event.idempotency_key) and not event.first_send


def make_request(event, document, version, now):
    """Return the state of a request that `check_arrival` let pass."""
    account = document.find_account(event.token)
    pipeline = document.pipelines[event.pipeline]
    request = build_request(event.request_id, account, pipeline, event.body)
    bind_request(request, document, version, now)
    request.resent = may_be_resend(event)
    if event.deadline_ms:
        request.deadline_s = now + event.deadline_ms / MILLISECONDS_PER_S
    return request


def build_request(request_id, account, pipeline, body):
    """Return a request's state, not yet bound to a version or a time."""
    fingerprint = fingerprint_request(pipeline.name, body)
    return Request(request_id, account, pipeline, body, fingerprint)


def bind_request(request, document, version, now):
    """Bind a request to the version that it keeps, and to its time of arrival."""
    request.document = document
    request.version = version
    request.arrived_s = now
    request.deadline_s = now + request.pipeline.deadline_ms / MILLISECONDS_PER_S
