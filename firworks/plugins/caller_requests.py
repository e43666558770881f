"""Parses and validates HTTP requests of callers."""

import asyncio
import json
import time
from uuid import UUID

from aiohttp.web import RequestPayloadError

from firworks.bodies import read_request_body
from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.callers import RequestArrived

PIPELINES_PATH = "/v1/pipelines/"
RESULTS_PATH = "/v1/results/"
BEARER = "Bearer "
MAX_DEADLINE_MS = 600_000
MAX_KEY_CHARACTERS = 128
MILLISECONDS_PER_S = 1000.0
UUID7_TIME_BITS = 80


async def read_request(request, request_id, settings):
    """Read a POST to a pipeline and return its `RequestArrived` event.

    Args:
        request (aiohttp.web.BaseRequest): The HTTP request.
        request_id (str): Globally unique, never reused.
        settings (Settings): Limits on the size and transfer time of the body.

    Raises:
        RequestError: When a header or the body is invalid, too large or too late.
    """
    key = request.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARACTERS or not (key.isascii() and key.isprintable()):
        detail = (
            f"Idempotency-Key: at most {MAX_KEY_CHARACTERS} printable ASCII characters"
        )
        raise RequestError(Code.MALFORMED_REQUEST, detail)
    issued_s = _read_issue_time(request, key)
    deadline_ms = _read_deadline(request)
    body = _parse_body(await _read_body(request, settings))
    return RequestArrived(
        request_id=request_id,
        token=read_token(request),
        pipeline=request.path.removeprefix(PIPELINES_PATH),
        body=body,
        idempotency_key=key,
        issued_s=issued_s,
        deadline_ms=deadline_ms,
        wall_s=time.time(),
        first_send=is_first_send(request),
    )


def is_first_send(request):
    """Return whether the caller declares this the first send of its key."""
    return request.headers.get("Firworks-First-Send", "") == "1"


def is_resend(request):
    """Return whether an earlier send of the request's key may have run."""
    return "Idempotency-Key" in request.headers and not is_first_send(request)


def read_token(request):
    """Return the bearer token of a request (str); empty if it has none."""
    value = request.headers.get("Authorization", "")
    if not value.startswith(BEARER):
        return ""
    # Undecodable header bytes arrive as surrogates, which cannot be hashed.
    return value.removeprefix(BEARER).encode(errors="replace").decode()


def _read_deadline(request):
    text = request.headers.get("Firworks-Deadline-Ms")
    if text is None:
        return 0
    valid = text.isascii() and text.isdigit() and len(text) <= 9
    if not valid or not 1 <= int(text) <= MAX_DEADLINE_MS:
        detail = f"Firworks-Deadline-Ms must be an integer from 1 to {MAX_DEADLINE_MS}"
        raise RequestError(Code.MALFORMED_REQUEST, detail)
    return int(text)


def _read_issue_time(request, key):
    """Return when a key was issued, in seconds since the Unix epoch; 0 if unknown."""
    text = request.headers.get("Firworks-Key-Issued")
    if text is not None:
        if not text.isascii() or not text.isdigit() or len(text) > 12:
            detail = "Firworks-Key-Issued must be integer seconds since the Unix epoch"
            raise RequestError(Code.MALFORMED_REQUEST, detail)
        return float(text)
    try:
        uuid = UUID(key)
    except ValueError:
        return 0.0
    if uuid.version != 7:
        return 0.0
    return (uuid.int >> UUID7_TIME_BITS) / MILLISECONDS_PER_S


async def _read_body(request, settings):
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            return await read_request_body(request, settings.body_limit_bytes)
    except TimeoutError as error:
        detail = f"the body did not arrive within {settings.body_timeout_s} s"
        raise RequestError(Code.REQUEST_TIMEOUT, detail) from error
    except RequestPayloadError as error:
        detail = f"the body does not match its headers: {error}"
        raise RequestError(Code.MALFORMED_REQUEST, detail) from error


def _parse_body(data):
    try:
        body = json.loads(data.decode("utf-8"), parse_constant=_reject_constant)
        # Bodies are stored as UTF-8, which cannot encode lone surrogates.
        json.dumps(body, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as error:
        detail = f"the body is not valid JSON: {error}"
        raise RequestError(Code.MALFORMED_REQUEST, detail) from error
    return body


def _reject_constant(name):
    raise ValueError(f"{name} is not allowed in JSON")
