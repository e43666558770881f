"""Summaries of ended requests for the burn report and the metrics."""

from firworks.codes import Code
from firworks.kernel.answers import finish_failed
from firworks.kernel.limits.arrivals import may_be_resend
from firworks.kernel.messages import RequestFinished

DELIVERED_CODES = (Code.OK, Code.ACCEPTED, Code.REPLAYED)


def refuse_request(event, document, code, retry_after_s=0.0):
    """Return the actions that reject a request on arrival.

    Args:
        event (RequestArrived): The request.
        document (Document): The configuration in force, or None.
        code (Code): Reason for the rejection.
        retry_after_s (float): Delay before a retry in seconds; 0 when not known.
    """
    may_have_run = may_be_resend(event)
    ending = finish_failed(
        event.request_id, code, may_have_run, retry_after_s=retry_after_s
    )
    known = document is not None and event.pipeline in document.pipelines
    account = document.find_account(event.token) if document is not None else None
    summary = RequestFinished(
        request_id=event.request_id,
        pipeline=event.pipeline if known else "",
        account=account.name if account is not None else "",
        code=code,
        met=False,
        latency_s=0.0,
    )
    return [ending, summary]


def summarize_request(request, now):
    """Return the `RequestFinished` of a request that has ended.

    A run of a deferred request is met if it delivers, however late; a failed run is
    repeated and therefore not counted.
    """
    delivered = request.code in DELIVERED_CODES
    if request.deferral_id:
        met = counted = delivered
    else:
        met = delivered and request.caller and now <= request.deadline_s
        counted = True
    first_s = 0.0
    if request.first_token_s:
        first_s = request.first_token_s - request.arrived_s
    return RequestFinished(
        request_id=request.request_id,
        pipeline=request.pipeline.name,
        account=request.account.name,
        code=request.code,
        met=met,
        latency_s=now - request.arrived_s,
        first_token_s=first_s,
        costs=tuple(request.costs),
        counted=counted,
    )
