"""Reads callers' headers and writes the heads of requests to targets."""

from email.utils import parsedate_to_datetime
from math import isfinite

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.forwarding.notices import MAX_BACKOFF_S, EMPTY_NOTICE, Notice
from firworks.kernel.forwarding.requests import CallerRequest, Prompt

REQUEST_ID = "X-Request-Id"
STAMP = "X-Server-Stamp"
NOT_RUN = "X-Not-Run"
LAST_EVENT_ID = "Last-Event-Id"
_LEAVING = "Server-Leaving"
_RETRY_AFTER = "Retry-After"
BUSY = 503

# Concern one connection only, or are computed anew.
_PER_CONNECTION = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
}
# Set by this system alone; what a caller sends under these names is dropped.
_RESERVED = {
    b"x-deadline-ms",
    b"x-expect-instance",
    b"x-expect-version",
    b"x-tenant",
    b"x-inputs",
    b"x-priority-class",
    b"x-pin-ms",
    b"x-kv-hold",
    b"x-kv-backup",
    b"kv-from",
    b"kv-fetch",
    b"last-event-id",
}
_KEY_HEADER = b"authorization"
_NOT_TO_TARGET = _PER_CONNECTION | _RESERVED
_NOT_TO_CALLER = _PER_CONNECTION
MAX_PRIORITY_CLASS = 9


class TargetHeaders:
    """What the system itself tells a target with a request.

    Attributes:
        left_s (float): Time until the target should stop.
        target_id (str): Only this target may run the request.
        account (str or None): Name of the client account.
        priority_class (int or None): 0 is the most urgent of ten.
        last_event_id (str or None): Event after which a stream goes on.
        inputs (tuple of str): Handles of stage results.
    """

    __slots__ = (
        "left_s",
        "target_id",
        "account",
        "priority_class",
        "last_event_id",
        "inputs",
    )

    def __init__(
        self,
        left_s,
        target_id,
        account=None,
        priority_class=None,
        last_event_id=None,
        inputs=(),
    ):
        self.left_s = left_s
        self.target_id = target_id
        self.account = account
        self.priority_class = priority_class
        self.last_event_id = last_event_id
        self.inputs = inputs


def read_request(method, target_path, headers):
    """Return the `CallerRequest` that a caller's headers describe.

    Args:
        method (str): HTTP method.
        target_path (str): Path and query as sent.
        headers (mapping): Case-insensitive.

    Raises:
        RequestError: When a header cannot be read.
    """
    return CallerRequest(
        request_id=headers.get(REQUEST_ID, ""),
        method=method,
        host=headers.get("Host", ""),
        target_path=target_path,
        key=_read_key(headers.get("Authorization")),
        caller_timeout_s=_read_patience(headers.get("X-Deadline-Ms")),
        last_event_id=headers.get(LAST_EVENT_ID),
        prompt=_read_prompt(headers),
        piece_counts=_read_counts(headers.get("X-Pieces", "")),
        piece_key=headers.get("X-Piece-Key", ""),
    )


def build_head(request, raw_headers, body_length, own, keyed):
    """Return the bytes of a request's head for a target.

    Args:
        request (CallerRequest): The request.
        raw_headers (iterable of (bytes, bytes)): As the caller sent them.
        body_length (int or None): None when the caller sent no body.
        own (TargetHeaders): What the system adds.
        keyed (bool): The Authorization header holds the caller's key.
    """
    lines = [f"{request.method} {request.target_path} HTTP/1.1".encode()]
    dropped = _NOT_TO_TARGET | _read_connection_names(raw_headers)
    for name, value in raw_headers:
        lower = name.lower()
        if lower not in dropped and not (keyed and lower == _KEY_HEADER):
            lines.append(b"%b: %b" % (name, value))
    if body_length is not None:
        lines.append(b"Content-Length: %d" % body_length)
    lines += [f"{name}: {value}".encode() for name, value in _list_own(own)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def build_call_head(method, path, host, body_length=None, target_id=None):
    """Return the head of a call of the system's own, such as a report's."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if body_length is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {body_length}"]
    if target_id:
        lines.append(f"X-Expect-Instance: {target_id}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def list_response_headers(raw_headers):
    """Return the (name, value) texts of an answer's headers that go to the caller."""
    dropped = _NOT_TO_CALLER | _read_connection_names(raw_headers)
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw_headers
        if name.lower() not in dropped
    ]


def read_keep_alive_s(headers):
    """Return how long a target keeps an idle connection, in seconds, or None."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdecimal():
            return int(value)
    return None


def read_notice(status, headers, unix_s):
    """Return the `Notice` that an answer of a target holds.

    Args:
        status (int): Of the answer.
        headers (mapping): Case-insensitive.
        unix_s (float): The time of day, for a wish that is written as a date.
    """
    leaving = headers.get(_LEAVING, "").strip() == "1"
    wish = headers.get(_RETRY_AFTER)
    if wish is None or status != BUSY:
        return Notice(True, 0.0, "") if leaving else EMPTY_NOTICE
    rest_s = _read_rest_s(wish.strip(), unix_s)
    odd = rest_s is None or not 0.0 <= rest_s <= MAX_BACKOFF_S
    rest_s = 0.0 if rest_s is None else min(MAX_BACKOFF_S, max(0.0, rest_s))
    return Notice(leaving, rest_s, wish if odd else "")


def _read_rest_s(wish, unix_s):
    """Return the seconds that a Retry-After names, or None if it names none."""
    try:
        seconds = float(wish)
    except ValueError:
        return _read_date_s(wish, unix_s)
    return seconds if isfinite(seconds) else None


def _read_date_s(wish, unix_s):
    try:
        return parsedate_to_datetime(wish).timestamp() - unix_s
    except (ValueError, OverflowError):
        return None


def _list_own(own):
    yield "X-Deadline-Ms", max(1, int(own.left_s * 1000))
    yield "X-Expect-Instance", own.target_id
    if own.account is not None:
        yield "X-Tenant", own.account
    if own.priority_class is not None:
        yield "X-Priority-Class", min(MAX_PRIORITY_CLASS, own.priority_class)
    if own.last_event_id is not None:
        yield LAST_EVENT_ID, own.last_event_id
    if own.inputs:
        yield "X-Inputs", ",".join(own.inputs)


def _read_connection_names(raw_headers):
    names = set()
    for name, value in raw_headers:
        if name.lower() == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names


def _read_key(value):
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def _read_patience(value):
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError as error:
        raise RequestError(
            Code.MALFORMED_REQUEST, f"X-Deadline-Ms: {value!r}"
        ) from error


def _read_counts(value):
    try:
        return tuple(int(part) for part in value.split(",") if part.strip())
    except ValueError as error:
        raise RequestError(Code.MALFORMED_REQUEST, f"X-Pieces: {value!r}") from error


def _read_prompt(headers):
    counts = headers.get("X-Token-Counts")
    if counts is None:
        return None
    try:
        tokens_in, tokens_out = (int(part) for part in counts.split(","))
        parts = []
        for part in headers.get("X-Prefix-Hash", "").split(","):
            if part.strip():
                part_id, _, tokens = part.strip().partition(":")
                parts.append((part_id, int(tokens)))
    except ValueError as error:
        problem = f"X-Token-Counts or X-Prefix-Hash: {error}"
        raise RequestError(Code.MALFORMED_REQUEST, problem) from error
    return Prompt(headers.get("X-Model", ""), tokens_in, tokens_out, tuple(parts))
