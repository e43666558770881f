"""Forms of a request's answer and of what is known of its run."""

import hashlib
import json

from firworks.codes import Code
from firworks.kernel.callers import RAN_NO, RAN_UNKNOWN, RAN_YES, FinishResponse
from firworks.kernel.messages import Struct


class CompleteResponse(Struct):
    """A whole answer: a JSON `body`, or the `tokens` (tuple of str) of a stream."""

    __slots__ = ("body", "tokens")
    DEFAULTS = {"body": None, "tokens": ()}


def encode_response(answer):
    """Return the bytes of a whole answer, as kept by the ledger."""
    return encode_json({"body": answer.body, "tokens": list(answer.tokens)})


def decode_response(data):
    """Return the whole answer held in bytes made by `encode_response`."""
    table = json.loads(data)
    return CompleteResponse(table["body"], tuple(table["tokens"]))


def encode_json(value):
    """Return the canonical JSON bytes of a value: sorted keys, no spaces."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def fingerprint_request(pipeline, body):
    """Return the SHA-256 (bytes) of a request's pipeline name and JSON body."""
    return hashlib.sha256(encode_json([pipeline, body])).digest()


def finish_complete(request_id, answer, code=Code.OK):
    """Return the action that ends a request with its whole answer."""
    return FinishResponse(
        request_id, code, RAN_YES, body=answer.body, tokens=answer.tokens
    )


def finish_failed(request_id, code, began, detail="", retry_after_s=0.0):
    """Return the action that ends a request without an answer.

    Args:
        request_id (str): The request.
        code (Code): Why.
        began (bool): A target can have begun some of its work.
        detail (str): For people.
        retry_after_s (float): When to come back; 0 when not known.
    """
    ran = RAN_UNKNOWN if began else RAN_NO
    return FinishResponse(
        request_id, code, ran, detail=detail, retry_after_s=retry_after_s
    )
