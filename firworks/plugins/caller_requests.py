"""Reads a caller's HTTP request and checks its form."""

import asyncio
import json
import time
from uuid import UUID

from aiohttp.web import RequestPayloadError

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
    """Return the event for a POST to a pipeline.

    Args:
        request (aiohttp.web.BaseRequest): The HTTP request.
        request_id (str): Unique for ever.
        settings (Settings): Bounds on the body's size and time.

    Raises:
        RequestError: When a header or the body is not as it must be.
    """
    key = request.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARACTERS or not (key.isascii() and key.isprintable()):
        detail = f"Idempotency-Key must be at most {MAX_KEY_CHARACTERS} of ASCII"
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
    """Whether the caller states that it never sent the request's key before."""
    return request.headers.get("Firworks-First-Send", "") == "1"


def is_resend(request):
    """Whether an earlier send of the request's key may have run."""
    return "Idempotency-Key" in request.headers and not is_first_send(request)


def read_token(request):
    """Return the bearer token of a request; empty when there is none."""
    value = request.headers.get("Authorization", "")
    if not value.startswith(BEARER):
        return ""
    # Undecodable header bytes arrive as surrogates, which no digest accepts.
    return value.removeprefix(BEARER).encode(errors="replace").decode()


def _read_deadline(request):
    text = request.headers.get("Firworks-Deadline-Ms")
    if text is None:
        return 0
    valid = text.isascii() and text.isdigit() and len(text) <= 9
    if not valid or not 1 <= int(text) <= MAX_DEADLINE_MS:
        detail = f"Firworks-Deadline-Ms must be a number from 1 to {MAX_DEADLINE_MS}"
        raise RequestError(Code.MALFORMED_REQUEST, detail)
    return int(text)


def _read_issue_time(request, key):
    """Return the wall time of issue of a key in seconds; 0 when not known."""
    text = request.headers.get("Firworks-Key-Issued")
    if text is not None:
        if not text.isascii() or not text.isdigit() or len(text) > 12:
            detail = "Firworks-Key-Issued must be whole seconds since the epoch"
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
    limit = settings.body_limit_bytes
    declared = request.content_length
    if declared is not None and declared > limit:
        raise RequestError(Code.BODY_TOO_LARGE, f"the limit is {limit} bytes")
    data = bytearray()
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            async for chunk in request.content.iter_any():
                data += chunk
                if len(data) > limit:
                    detail = f"the limit is {limit} bytes"
                    raise RequestError(Code.BODY_TOO_LARGE, detail)
    except TimeoutError as error:
        detail = f"the body did not arrive in {settings.body_timeout_s} s"
        raise RequestError(Code.REQUEST_TIMEOUT, detail) from error
    except RequestPayloadError as error:
        detail = f"the body is not as its headers say: {error}"
        raise RequestError(Code.MALFORMED_REQUEST, detail) from error
    return bytes(data)


def _parse_body(data):
    try:
        body = json.loads(data.decode("utf-8"), parse_constant=_reject_constant)
        # The text must be storable: lone surrogates have no UTF-8 form.
        json.dumps(body, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as error:
        detail = f"the body is not JSON: {error}"
        raise RequestError(Code.MALFORMED_REQUEST, detail) from error
    return body


def _reject_constant(name):
    raise ValueError(f"{name} is not JSON")
