"""Forms in which callers get answers: JSON and server-sent events."""

import json

from firworks.kernel.streams import digest_tokens

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


def make_error_json(code, detail, ran="no"):
    """Return the JSON text of an answer that reports an error."""
    table = {"code": int(code), "name": code.name, "ran": ran, "detail": detail}
    return json.dumps(table)


def make_response_json(ending):
    """Return the JSON text of a final answer (FinishAnswer)."""
    table = _describe(ending)
    if ending.tokens:
        table["answer"] = {
            "text": "".join(ending.tokens),
            **_describe_tokens(ending.tokens),
        }
    elif ending.body is not None:
        table["answer"] = ending.body
    return json.dumps(table)


def make_chunk_event(part):
    """Return the bytes of the event that carries tokens (SendPart).

    Its id is the number of tokens sent up to and with it.
    """
    table = {"offset": part.offset, "tokens": list(part.tokens)}
    number = part.offset + len(part.tokens)
    return f"id: {number}\ndata: {json.dumps(table)}\n\n".encode()


def make_end_event(ending, tokens):
    """Return the bytes of the last event of a stream.

    Args:
        ending (FinishAnswer): The final answer.
        tokens (list of str): All tokens that were sent; their count and digest let
            the caller tell a whole answer from a cut one.
    """
    table = {**_describe(ending), **_describe_tokens(tokens)}
    if ending.body is not None:
        table["answer"] = ending.body
    return f"event: end\ndata: {json.dumps(table)}\n\n".encode()


def _describe(ending):
    table = {
        "code": int(ending.code),
        "name": ending.code.name,
        "ran": ending.ran,
    }
    if ending.detail:
        table["detail"] = ending.detail
    if ending.retry_after_s:
        table["retry_after_s"] = round(ending.retry_after_s, 3)
    return table


def _describe_tokens(tokens):
    return {"count": len(tokens), "digest": digest_tokens(tokens)}
