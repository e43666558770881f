"""Encodes responses to callers as JSON and as server-sent events."""

import json

from firworks.kernel.streams import digest_tokens

EVENT_STREAM_TYPE = "text/event-stream"


def make_error_json(code, detail, ran="no"):
    """Return the body of an error response (JSON, str)."""
    fields = {"code": int(code), "name": code.name, "ran": ran, "detail": detail}
    return json.dumps(fields)


def make_response_json(final_response):
    """Return the body of a final response (FinishResponse) as JSON (str)."""
    fields = _make_status_fields(final_response)
    if final_response.tokens:
        fields["answer"] = {
            "text": "".join(final_response.tokens),
            **_make_token_fields(final_response.tokens),
        }
    elif final_response.body is not None:
        fields["answer"] = final_response.body
    return json.dumps(fields)


def make_chunk_event(chunk):
    """Return the event for a chunk of tokens (SendChunk), encoded (bytes).

    The event id is the number of tokens sent so far, this chunk included.
    """
    fields = {"offset": chunk.offset, "tokens": list(chunk.tokens)}
    number = chunk.offset + len(chunk.tokens)
    return f"id: {number}\ndata: {json.dumps(fields)}\n\n".encode()


def make_end_event(final_response, tokens):
    """Return the last event of a stream, encoded (bytes).

    Args:
        final_response (FinishResponse): The final response.
        tokens (list of str): All tokens that were sent; the caller detects a truncated
            response by their count and digest.
    """
    fields = {**_make_status_fields(final_response), **_make_token_fields(tokens)}
    if final_response.body is not None:
        fields["answer"] = final_response.body
    return f"event: end\ndata: {json.dumps(fields)}\n\n".encode()


def _make_status_fields(final_response):
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


def _make_token_fields(tokens):
    return {"count": len(tokens), "digest": digest_tokens(tokens)}
