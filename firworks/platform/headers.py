"""Parses HTTP headers and builds the header sections of requests to targets."""

from email.utils import parsedate_to_datetime
from math import isfinite, isinf
from re import ASCII
from re import compile as compile_pattern

from multidict import CIMultiDict

from firworks.codes import Code
from firworks.decoding import (
    MAX_DECIMAL_CHARACTERS,
    MAX_NUMBER,
    check_number,
    describe_value,
    parse_decimal,
    parse_integer,
)
from firworks.errors import CodecError, RequestError
from firworks.kernel.forwarding.notices import (
    EMPTY_NOTICE,
    MAX_BACKOFF_S,
    MAX_LIMIT_PER_S,
    LoadNotice,
    Notice,
    RateNotice,
)
from firworks.kernel.forwarding.requests import CallerRequest, Prompt

REQUEST_ID = "X-Request-Id"
STAMP = "X-Server-Stamp"
NOT_RUN = "X-Not-Run"
LAST_EVENT_ID = "Last-Event-Id"
_RESUMES = "Resumes"
_LEAVING = "Server-Leaving"
_RETRY_AFTER = "Retry-After"
_LIMIT = "Server-Limit"
_LOAD = "X-Server-Load"
_LOAD_SEPARATOR = compile_pattern(r"\s*[,;/]\s*|\s+", ASCII)
# The duration of work that targets state as usual.
USUAL_LOAD = 100.0
SERVICE_UNAVAILABLE = 503
# A connection that idled for longer is not reused.
MAX_KEEP_ALIVE_S = 86_400
# Upper limits of what a request states about itself.
MAX_PIECES = 100_000
MAX_TOKENS = 1_000_000_000
# Of all lines of a header in which a target states something about itself; longer ones
# are malformed and not read.
MAX_NOTICE_CHARACTERS = 256
# Of a header that is logged as malformed.
MAX_LOGGED_CHARACTERS = 100

# Hop-by-hop headers, and those that are set anew for each hop.
_HOP_BY_HOP = {
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
# Set by this system only; headers with these names are removed from callers' requests.
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
_AUTHORIZATION = b"authorization"
_NOT_FORWARDED_TO_TARGET = _HOP_BY_HOP | _RESERVED
_NOT_FORWARDED_TO_CALLER = _HOP_BY_HOP
MAX_PRIORITY_CLASS = 9


class TargetHeaders:
    """Values of the headers that the system adds to a request to a target.

    Attributes:
        left_s (float): Time left until the deadline of the request, in seconds.
        target_id (str): The only target that may run the request.
        account (str or None): Name of the client account.
        priority_class (int or None): 0 is the most urgent; above 9 is sent as 9.
        last_event_id (str or None): Event after which the stream resumes.
        inputs (tuple of str): Handles of the stage results that the request uses.
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
    """Return the `CallerRequest` described by the request line and headers.

    Args:
        method (str): HTTP method.
        target_path (str): Path and query as sent.
        headers (mapping): Request headers with case-insensitive names.

    Raises:
        RequestError: When a header is malformed.
    """
    return CallerRequest(
        request_id=headers.get(REQUEST_ID, ""),
        method=method,
        host=headers.get("Host", ""),
        target_path=target_path,
        key=_read_key(headers.get("Authorization")),
        caller_timeout_s=_read_caller_timeout_s(headers.get("X-Deadline-Ms")),
        last_event_id=headers.get(LAST_EVENT_ID),
        begun_as=headers.get(_RESUMES),
        prompt=_read_prompt(headers),
        piece_counts=_read_piece_counts(headers.get("X-Pieces", "")),
        piece_key=headers.get("X-Piece-Key", ""),
    )


def build_head(request, raw_headers, body_length, system_headers, strip_key):
    """Return the request line and headers of a request to a target.

    Args:
        request (CallerRequest): The request.
        raw_headers (iterable of (bytes, bytes)): Headers as the caller sent them.
        body_length (int or None): In bytes; None if the caller sent no body.
        system_headers (TargetHeaders): Values of the headers that the system adds.
        strip_key (bool): Whether to remove the Authorization header, which holds the
            caller's key.
    """
    lines = [f"{request.method} {request.target_path} HTTP/1.1".encode()]
    dropped = _NOT_FORWARDED_TO_TARGET | _read_connection_names(raw_headers)
    for name, value in raw_headers:
        lower = name.lower()
        if lower not in dropped and not (strip_key and lower == _AUTHORIZATION):
            lines.append(b"%b: %b" % (name, value))
    if body_length is not None:
        lines.append(b"Content-Length: %d" % body_length)
    lines += [
        f"{name}: {value}".encode()
        for name, value in _list_system_headers(system_headers)
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def build_call_head(method, path, host, body_length=None, target_id=None):
    """Return the request line and headers of a request that the system itself makes.

    The body, if any, is JSON. If `target_id` is given, any other target rejects the
    request with status 421 (misdirected).
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    if body_length is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {body_length}"]
    if target_id:
        lines.append(f"X-Expect-Instance: {target_id}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def list_response_headers(raw_headers):
    """Return the response headers to forward to the caller as (name, value) pairs."""
    dropped = _NOT_FORWARDED_TO_CALLER | _read_connection_names(raw_headers)
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in raw_headers
        if name.lower() not in dropped
    ]


def read_keep_alive_s(headers):
    """Return the idle timeout of the Keep-Alive header in seconds, or None."""
    text = headers.get("Keep-Alive", "")
    if len(text) > MAX_NOTICE_CHARACTERS:
        return None
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            try:
                return parse_integer(value, "Keep-Alive", MAX_KEEP_ALIVE_S)
            except CodecError:
                return None
    return None


def read_notice(status, headers, unix_s):
    """Return the `Notice` in the response of a target: leaving, backoff, or neither.

    Args:
        status (int): HTTP status of the response.
        headers (mapping): Response headers with case-insensitive names.
        unix_s (float): Current Unix time in seconds, for a Retry-After date.
    """
    leaving = headers.get(_LEAVING, "").strip() == "1"
    retry_after = headers.get(_RETRY_AFTER)
    if retry_after is None or status != SERVICE_UNAVAILABLE:
        return Notice(True, 0.0, "") if leaving else EMPTY_NOTICE
    backoff_s = _read_retry_after_s(retry_after.strip(), unix_s)
    unusual = backoff_s is None or not 0.0 <= backoff_s <= MAX_BACKOFF_S
    backoff_s = 0.0 if backoff_s is None else min(MAX_BACKOFF_S, max(0.0, backoff_s))
    text = retry_after[:MAX_LOGGED_CHARACTERS] if unusual else ""
    return Notice(leaving, backoff_s, text)


def read_rate_notice(headers):
    """Return the `RateNotice` in the response of a target.

    Args:
        headers (mapping): Response headers with case-insensitive names.
    """
    if _LIMIT not in headers:
        return RateNotice(None, True, "")
    lines = CIMultiDict(headers).getall(_LIMIT)
    shortened = ", ".join(lines)[:MAX_LOGGED_CHARACTERS]
    if sum(map(len, lines)) > MAX_NOTICE_CHARACTERS:
        return RateNotice(None, False, shortened)
    texts = [text for line in lines for text in line.split(",")]
    numbers = map(parse_decimal, texts)
    rates_per_s = [number for number in numbers if number is not None]
    finite = [rate for rate in rates_per_s if rate <= MAX_LIMIT_PER_S]
    unlimited = any(isinf(rate) or rate > MAX_LIMIT_PER_S for rate in rates_per_s)
    rate_per_s = min(finite, default=None)
    usual = len(texts) == 1 and rate_per_s is not None
    readable = rate_per_s is not None or unlimited
    return RateNotice(rate_per_s, readable, "" if usual else shortened)


def read_load_notice(headers):
    """Return what a response states about the load of its target.

    Args:
        headers (mapping): Response headers with case-insensitive names.

    Returns:
        tuple: `LoadNotice` or None without a readable one, and the header (str) if it
        is malformed, otherwise empty.
    """
    text = headers.get(_LOAD)
    if text is None:
        return None, ""
    figures = _read_figures(text)
    if len(figures) in (3, 4) and None not in figures:
        running, waiting, slots, *usual = figures
        stated = usual[0] / USUAL_LOAD if usual else None
        if max(figures) <= MAX_NUMBER and slots > 0 and stated != 0.0:
            return LoadNotice(running, waiting, slots, stated), ""
    return None, text[:MAX_LOGGED_CHARACTERS] or "(empty)"


def _read_figures(text):
    """Return the numbers (tuple of float) of a load; None for what is not one."""
    if len(text) > MAX_NOTICE_CHARACTERS:
        return ()
    return tuple(map(parse_decimal, _LOAD_SEPARATOR.split(text.strip())))


def _read_retry_after_s(retry_after, unix_s):
    """Return the delay of a Retry-After value in seconds, or None if malformed."""
    if len(retry_after) > MAX_NOTICE_CHARACTERS:
        return None
    try:
        seconds = float(retry_after)
    except ValueError:
        return _read_date_s(retry_after, unix_s)
    return seconds if isfinite(seconds) else None


def _read_date_s(retry_after, unix_s):
    try:
        return parsedate_to_datetime(retry_after).timestamp() - unix_s
    except (ValueError, OverflowError):
        return None


def _list_system_headers(system_headers):
    yield "X-Deadline-Ms", max(1, int(system_headers.left_s * 1000))
    yield "X-Expect-Instance", system_headers.target_id
    if system_headers.account is not None:
        yield "X-Tenant", system_headers.account
    if system_headers.priority_class is not None:
        yield "X-Priority-Class", min(MAX_PRIORITY_CLASS, system_headers.priority_class)
    if system_headers.last_event_id is not None:
        yield LAST_EVENT_ID, system_headers.last_event_id
    if system_headers.inputs:
        yield "X-Inputs", ",".join(system_headers.inputs)


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


def _read_caller_timeout_s(value):
    if value is None:
        return None
    try:
        if len(value) > MAX_DECIMAL_CHARACTERS:
            raise ValueError("too long")
        milliseconds = float(value)
        return max(0.0, check_number(milliseconds, "", -MAX_NUMBER) / 1000)
    except (ValueError, CodecError) as error:
        raise RequestError(
            Code.MALFORMED_REQUEST,
            f"X-Deadline-Ms: {describe_value(value)} is not a number of milliseconds",
        ) from error


def _read_piece_counts(value):
    try:
        counts = [
            parse_integer(part, "X-Pieces", MAX_PIECES)
            for part in value.split(",")
            if part.strip()
        ]
        check_number(sum(counts), "X-Pieces", maximum=MAX_PIECES)
    except CodecError as error:
        raise RequestError(Code.MALFORMED_REQUEST, str(error)) from error
    return tuple(counts)


def _read_prompt(headers):
    counts = headers.get("X-Token-Counts")
    if counts is None:
        return None
    try:
        tokens_in, tokens_out = (
            parse_integer(part, "X-Token-Counts", MAX_TOKENS)
            for part in counts.split(",")
        )
        parts = []
        for part in headers.get("X-Prefix-Hash", "").split(","):
            if part.strip():
                part_id, _, tokens = part.strip().partition(":")
                parts.append((part_id, parse_integer(tokens, part_id, MAX_TOKENS)))
    except (ValueError, CodecError) as error:
        problem = f"X-Token-Counts or X-Prefix-Hash: {error}"
        raise RequestError(Code.MALFORMED_REQUEST, problem) from error
    return Prompt(headers.get("X-Model", ""), tokens_in, tokens_out, tuple(parts))
