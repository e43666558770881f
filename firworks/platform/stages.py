"""Formats of calls that make stage results, and of those that free them."""

import json

from firworks.errors import CodecError
from firworks.platform.fields import get_list, parse_object

RUN_PATH = "/stage-run"
FREE_PATH = "/stage-free"


def encode_run_request(pieces, now):
    """Return the body that asks for pieces.

    Args:
        pieces (iterable of Piece): In the order in which results are wanted.
        now (float): Monotonic time in seconds.
    """
    items = []
    for piece in pieces:
        job = piece.job
        item = {"id": job.request_id, "stage": job.stage, "piece": piece.number}
        # How long the piece is still of use; the target skips it afterwards.
        left_s = job.deadline_s - job.downstream_s - now
        item["left-ms"] = max(1, int(left_s * 1000))
        if job.inputs:
            item["inputs"] = list(job.inputs)
        else:
            item["key"] = job.key
        items.append(item)
    return json.dumps({"items": items}, separators=(",", ":")).encode()


def decode_run_response(data, count):
    """Return the (handle or None, reason) pair of each piece.

    Raises:
        CodecError: When the answer does not list `count` results.
    """
    rows = get_list(parse_object(data), "items")
    if len(rows) != count:
        raise CodecError(f"{len(rows)} results for {count} pieces")
    results = []
    for row in rows:
        if not isinstance(row, dict):
            raise CodecError(f"{row!r} is not a result")
        handle = row.get("handle")
        if handle is not None and not isinstance(handle, str):
            raise CodecError(f"handle: {handle!r} is not a text")
        results.append((handle, str(row.get("reason", ""))))
    return results


def encode_free_request(handles):
    """Return the body that gives results up."""
    return json.dumps({"handles": list(handles)}, separators=(",", ":")).encode()


def get_handle_address(handle):
    """Return the "ip:port" of the target that holds a result."""
    return handle.partition("/")[0]
