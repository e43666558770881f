"""Forms in which callers get answers: JSON and server-sent events."""

import json

from firworks.kernel.streams import digest_tokens

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"


def make_error_json(code, detail, ran="no"):
    """Return the JSON text of an answer that reports an error."""
    fields = {"code": int(code), "name": code.name, "ran": ran, "detail": detail}
    return json.dumps(fields)


def make_response_json(final_response):
    """Return the JSON text of a final answer (FinishAnswer)."""
    fields = _list_status_fields(final_response)
    if final_response.tokens:
        fields["answer"] = {
            "text": "".join(final_response.tokens),
            **_list_token_fields(final_response.tokens),
        }
    elif final_response.body is not None:
        fields["answer"] = final_response.body
    return json.dumps(fields)


def make_chunk_event(part):
    """Return the bytes of the event that carries tokens (SendPart).

    Its id is the number of tokens sent up to and with it.
    """
    fields = {"offset": part.offset, "tokens": list(part.tokens)}
    number = part.offset + len(part.tokens)
    return f"id: {number}\ndata: {json.dumps(fields)}\n\n".encode()


def make_end_event(final_response, tokens):
    """Return the bytes of the last event of a stream.

    Args:
        final_response (FinishAnswer): The final answer.
        tokens (list of str): All tokens that were sent; their count and digest let
            the caller tell a whole answer from a cut one.
    """
    fields = {**_list_status_fields(final_response), **_list_token_fields(tokens)}
    if final_response.body is not None:
        fields["answer"] = final_response.body
    return f"event: end\ndata: {json.dumps(fields)}\n\n".encode()


def _list_status_fields(final_response):
    fields = {
        "code": int(final_response.code),
        "name": final_response.code.name,
        "ran": final_response.ran,
    }
    if final_response.detail:
        fields["detail"] = final_response.detail
    if final_response.retry_after_s:
        fields["retry_after_s"] = round(final_response.retry_after_s, 3)
    return fields


def _list_token_fields(tokens):
    return {"count": len(tokens), "digest": digest_tokens(tokens)}
