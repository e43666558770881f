"""Checks whether a response belongs to its request, and what a failure states."""

from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.outcomes import (
    BROKEN,
    FAILED,
    INPUTS_GONE,
    NOT_RUN,
    AttemptError,
)
from firworks.platform.headers import NOT_RUN as NOT_RUN_HEADER
from firworks.platform.headers import REQUEST_ID, STAMP

INPUT_STATUSES = (400, 409)
EVENT_STREAM = "text/event-stream"


def is_mismatched(context, exchange):
    """Return whether a response belongs to another request."""
    echoed = exchange.headers.get(REQUEST_ID)
    return echoed is not None and echoed != context.request_id


def verify_response(context, exchange):
    """Raise `AttemptError` for a response that may belong to another request."""
    echoed = exchange.headers.get(REQUEST_ID)
    success = 200 <= exchange.status < 300
    unverified = success and (echoed is None or STAMP not in exchange.headers)
    if unverified or is_mismatched(context, exchange):
        log_mismatch(context, exchange)
        raise AttemptError(BROKEN, True, f"response to {echoed!r}")


def verify_refusal(context, exchange):
    """Raise `AttemptError` for a status that means "not run" if that is not stated.

    Every response of a target passes here before any of it reaches the caller.
    """
    if not exchange.not_run and not context.progress.may_state(exchange.status):
        target_id, status = exchange.target.target_id, exchange.status
        detail = f"{target_id}: status {status} without {NOT_RUN_HEADER}"
        raise AttemptError(FAILED, True, detail)


def verify_continuation(exchange):
    """Raise `AttemptError` for a response that is not the rest of a begun stream.

    Load pattern: a target answers with an error, or with a text of another kind and a
    status that states success.
    """
    content_type = exchange.headers.get("Content-Type", EVENT_STREAM)
    is_stream = content_type.partition(";")[0].strip().lower() == EVENT_STREAM
    if exchange.status != 200 or not is_stream:
        detail = f"status {exchange.status}, {content_type}, to a stream that has begun"
        raise AttemptError(FAILED, True, detail)


def log_mismatch(context, exchange):
    """Log that a target sent a response to another request."""
    log_event(
        LogEvent.ANSWER_MISMATCHED,
        target=exchange.target.target_id,
        request=context.request_id,
        echoed=exchange.headers.get(REQUEST_ID),
        status=exchange.status,
    )


def raise_failure(context, exchange, body):
    """Raise the `AttemptError` for an error response with a body (bytes)."""
    detail = f"{exchange.target.target_id}: status {exchange.status}"
    if exchange.not_run and context.inputs and exchange.status in INPUT_STATUSES:
        raise AttemptError(INPUTS_GONE, True, detail)
    if exchange.not_run:
        raise AttemptError(NOT_RUN, True, detail, misdirected=exchange.misdirected)
    raise AttemptError(FAILED, True, detail, (exchange, body))
