"""Encodes complete responses and makes the actions that end a request."""

import hashlib
import json

from firworks.codes import Code
from firworks.kernel.callers import RAN_NO, RAN_UNKNOWN, RAN_YES, FinishResponse
from firworks.kernel.messages import Struct


class CompleteResponse(Struct):
    """A complete response: a JSON `body`, or a stream's `tokens` (tuple of str)."""

    __slots__ = ("body", "tokens")
    DEFAULTS = {"body": None, "tokens": ()}


def encode_response(response):
    """Return the bytes of a complete response, as stored by the ledger."""
    return encode_json({"body": response.body, "tokens": list(response.tokens)})


def decode_response(data):
    """Return the complete response decoded from bytes of `encode_response`."""
    table = json.loads(data)
    return CompleteResponse(table["body"], tuple(table["tokens"]))


def encode_json(value):
    """Return the canonical JSON bytes of a value: sorted keys, no spaces."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def fingerprint_request(pipeline, body):
    """Return the SHA-256 (bytes) of a request's pipeline name and JSON body."""
    return hashlib.sha256(encode_json([pipeline, body])).digest()


def finish_complete(request_id, response, code=Code.OK):
    """Return the action that ends a request with its complete response."""
    return FinishResponse(
        request_id, code, RAN_YES, body=response.body, tokens=response.tokens
    )


def finish_failed(request_id, code, began, detail="", retry_after_s=0.0):
    """Return the action that ends a request without a complete response.

    Args:
        request_id (str): The request.
        code (Code): The reason.
        began (bool): A target may have started some of its work.
        detail (str): Explanation for people.
        retry_after_s (float): When the caller should retry; 0 when not known.
    """
    ran = RAN_UNKNOWN if began else RAN_NO
    return FinishResponse(
        request_id, code, ran, detail=detail, retry_after_s=retry_after_s
    )
