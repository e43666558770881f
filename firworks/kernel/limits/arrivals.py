"""Validates a caller's request against the configuration and builds its state."""

from firworks.codes import Code
from firworks.kernel.answers import fingerprint_request
from firworks.kernel.request_state import Request

MILLISECONDS_PER_S = 1000.0


def check_arrival(event, document, draining):
    """Validate a new request.

    Args:
        event (RequestArrived): The request.
        document (Document): The configuration in force, or None.
        draining (bool): Whether the daemon is draining.

    Returns:
        Code or None: Reason for rejecting the request; None to accept it.
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
    """Whether an earlier attempt with the same idempotency key may have run.

    A rejection of such a request never states "not run": the caller could apply it
    to the earlier attempt too.
    """
    return bool(event.idempotency_key) and not event.first_send


def make_request(event, document, version, now):
    """Return the `Request` for an arrival that `check_arrival` accepted."""
    account = document.find_account(event.token)
    pipeline = document.pipelines[event.pipeline]
    request = build_request(event.request_id, account, pipeline, event.body)
    bind_request(request, document, version, now)
    request.resent = may_be_resend(event)
    if event.deadline_ms:
        request.deadline_s = now + event.deadline_ms / MILLISECONDS_PER_S
    return request


def build_request(request_id, account, pipeline, body):
    """Return a `Request` without configuration, arrival time or deadline."""
    fingerprint = fingerprint_request(pipeline.name, body)
    return Request(request_id, account, pipeline, body, fingerprint)


def bind_request(request, document, version, now):
    """Set a request's configuration, arrival time and deadline.

    The request uses this document to its end, whatever is published later.
    """
    request.document = document
    request.version = version
    request.arrived_s = now
    request.deadline_s = now + request.pipeline.deadline_ms / MILLISECONDS_PER_S
