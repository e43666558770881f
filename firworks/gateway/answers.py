"""Builds HTTP responses to callers."""

import json

from aiohttp.web import Response, StreamResponse

from firworks.codes import Code
from firworks.kernel.forwarding.drains import DRAINING_RETRY_AFTER_S
from firworks.kernel.forwarding.outcomes import DEFAULT_RETRY_AFTER_S
from firworks.platform.headers import REQUEST_ID, list_response_headers

SERVER_NAME = "firworks"
RETRYABLE_STATUSES = (429, 503)
# Of codes with another delay than `DEFAULT_RETRY_AFTER_S`.
RETRY_AFTER_S = {Code.DRAINING: DRAINING_RETRY_AFTER_S}


class ResponseAbortedError(Exception):
    """A partly sent response cannot be completed; its connection must be closed."""


def make_error_response(request_id, code, detail, retry_after_s=None):
    """Return an error response that the gateway itself generates.

    Args:
        request_id (str): Id given by the caller; may be empty.
        code (Code): The result code.
        detail (str): Description of the error.
        retry_after_s (float or None): Value of ``Retry-After`` in seconds, sent only
            with ``RETRYABLE_STATUSES``; None for that of the code.
    """
    headers = {"Server": SERVER_NAME, "Content-Type": "application/json"}
    if request_id:
        headers[REQUEST_ID] = request_id
    if code.http_status in RETRYABLE_STATUSES:
        if retry_after_s is None:
            retry_after_s = RETRY_AFTER_S.get(code, DEFAULT_RETRY_AFTER_S)
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    body = json.dumps({"code": int(code), "detail": detail}).encode()
    return Response(status=code.http_status, headers=headers, body=body)


def make_forwarded_response(exchange, length):
    """Return a response to the caller with a target's status and headers.

    Args:
        exchange (Exchange): Its response head has been received.
        length (int or None): Length of the body in bytes; None if unknown.
    """
    response = StreamResponse(status=exchange.status, reason=exchange.reason)
    for name, value in list_response_headers(exchange.raw_headers):
        response.headers.add(name, value)
    if length is not None:
        response.content_length = length
    return response
