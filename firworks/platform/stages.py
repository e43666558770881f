"""Formats of the calls that run stages, and of those that free stage results."""

import json

from firworks.decoding import check_text
from firworks.errors import CodecError
from firworks.platform.fields import get_objects, parse_object

RUN_PATH = "/stage-run"
FREE_PATH = "/stage-free"


def encode_run_request(pieces, now):
    """Return the body of a request that runs pieces of a stage.

    Args:
        pieces (iterable of Piece): In the order of the results in the response.
        now (float): Monotonic time in seconds.
    """
    items = []
    for piece in pieces:
        job = piece.job
        item = {"id": job.request_id, "stage": job.stage, "piece": piece.number}
        # Time in which the result is still useful; the target skips expired pieces.
        left_s = job.deadline_s - job.downstream_s - now
        item["left-ms"] = max(1, int(left_s * 1000))
        if job.inputs:
            item["inputs"] = list(job.inputs)
        else:
            item["key"] = job.key
        items.append(item)
    return json.dumps({"items": items}, separators=(",", ":")).encode()


def decode_run_response(data, count):
    """Return the (handle or None, reason) pair of each piece, in request order.

    Args:
        data (bytes): Body of the response.
        count (int): Number of pieces in the request.

    Raises:
        CodecError: When a result is malformed or their number is not `count`.
    """
    rows = get_objects(parse_object(data), "items")
    if len(rows) != count:
        raise CodecError(f"response has {len(rows)} results for {count} pieces")
    results = []
    for row in rows:
        handle = row.get("handle")
        if handle is not None:
            check_text(handle, "handle")
        reason = "" if handle is not None else check_text(row.get("reason"), "reason")
        results.append((handle, reason))
    return results


def encode_free_request(handles):
    """Return the body of a request that frees results."""
    return json.dumps({"handles": list(handles)}, separators=(",", ":")).encode()


def get_handle_address(handle):
    """Return the "ip:port" of the target that holds a result."""
    return handle.partition("/")[0]
