"""Answers to callers."""

import json

from aiohttp.web import Response, StreamResponse

from firworks.kernel.forwarding.outcomes import DEFAULT_RETRY_AFTER_S
from firworks.platform.headers import REQUEST_ID, list_response_headers

SERVER_NAME = "firworks"
RETRYABLE_STATUSES = (429, 503)


class ResponseAbortedError(Exception):
    """An answer that has begun cannot be completed; its connection must close."""


def make_error_response(request_id, code, detail, retry_after_s=None):
    """Return an answer of the system's own.

    Args:
        request_id (str): The caller's; may be empty.
        code (Code): The result code.
        detail (str): What is wrong.
        retry_after_s (float or None): When the caller may come back; None for the
            default with a status that invites it.
    """
    headers = {"Server": SERVER_NAME, "Content-Type": "application/json"}
    if request_id:
        headers[REQUEST_ID] = request_id
    if code.http_status in RETRYABLE_STATUSES:
        after_s = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
        headers["Retry-After"] = f"{after_s:.2f}"
    body = json.dumps({"code": int(code), "detail": detail}).encode()
    return Response(status=code.http_status, headers=headers, body=body)


def make_forwarded_response(exchange, length):
    """Return the caller's answer with a target's status and headers.

    Args:
        exchange (Exchange): The head of its answer has come.
        length (int or None): Length of the body; None for an unknown one.
    """
    response = StreamResponse(status=exchange.status, reason=exchange.reason)
    for name, value in list_response_headers(exchange.raw_headers):
        response.headers.add(name, value)
    if length is not None:
        response.content_length = length
    return response
