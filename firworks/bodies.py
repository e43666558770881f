"""Bodies of requests and responses that are held in memory."""

import json
from collections import deque

from firworks.codes import Code
from firworks.errors import RequestError

MAX_PART_BYTES = 65_536
MIN_PART_BYTES = 16_384
JSON_TYPE = "application/json"


class BodyTooLargeError(ValueError):
    """A response has a body that is too large to be held."""


class HeldBody:
    """The part of a body that was read and is held; a context manager.

    Args:
        buffers (ResponseBuffers): Counts the bytes held of all responses.

    Attributes:
        size (int): Bytes held.
    """

    __slots__ = ("size", "_buffers", "_parts")

    def __init__(self, buffers):
        self.size = 0
        self._buffers = buffers
        self._parts = deque()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._parts.clear()
        self._resize(0)

    def add(self, part):
        """Hold further bytes; return whether even more may be held."""
        self._parts.append(part)
        return self._resize(self.size + len(part))

    def pop(self):
        """Return the first bytes and hold them no longer; empty if none are left."""
        if not self._parts:
            return b""
        part = self._parts.popleft()
        self._resize(self.size - len(part))
        return part

    def join(self):
        """Return all bytes; they still count as held."""
        return b"".join(self._parts)

    def _resize(self, size):
        held, self.size = self.size, size
        return self._buffers.resize(held, size)


class BodyParts:
    """The parts of a body that arrives in pieces of any size.

    Small pieces are joined, as each would take many times its size. The parts are of
    similar sizes, so that the memory of one body serves for others afterwards; that of
    a buffer that grows is left in fragments.

    Attributes:
        size (int): Bytes of all parts.
    """

    __slots__ = ("size", "_parts", "_tail")

    def __init__(self):
        self.size = 0
        self._parts = []
        self._tail = bytearray()

    def add(self, piece):
        """Add a piece (bytes)."""
        self.size += len(piece)
        if not self._tail and len(piece) >= MIN_PART_BYTES:
            self._parts.append(piece)
            return
        self._tail += piece
        if len(self._tail) >= MIN_PART_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail.clear()

    def join(self):
        """Return all bytes."""
        return b"".join((*self._parts, self._tail))

    def clear(self):
        """Forget all parts."""
        self._parts.clear()
        self._tail.clear()


async def read_request_body(http, limit):
    """Return the complete body (bytes) of a caller's request.

    Args:
        http (BaseRequest): The request.
        limit (int): Most bytes that are accepted.

    Raises:
        RequestError: When it is too large, or its connection refuses it.
    """
    content, too_large = http.content, f"over {limit} body bytes"
    if (http.content_length or 0) > limit:
        raise RequestError(Code.BODY_TOO_LARGE, too_large)
    part = await content.readany()
    if content.at_eof() and len(part) <= limit:
        return part
    parts = BodyParts()
    try:
        while part:
            parts.add(part)
            if parts.size > limit:
                raise RequestError(Code.BODY_TOO_LARGE, too_large)
            part = await content.readany()
        return parts.join()
    finally:
        # The traceback of an error refers to them as long as the connection lives.
        parts.clear()


async def read_body(response, buffers):
    """Return the complete body (bytes) of a response that a client received.

    Args:
        response (ClientResponse): Its head was received.
        buffers (ResponseBuffers): Limits the bytes held.

    Raises:
        BodyTooLargeError: When the body exceeds the limit; the connection closes when
            the context of the response ends.
    """
    with HeldBody(buffers) as body:
        async for part in response.content.iter_chunked(MAX_PART_BYTES):
            if not body.add(part):
                limit = min(body.size, buffers.max_response_bytes)
                raise BodyTooLargeError(f"response exceeds {limit} bytes")
        return body.join()


async def read_json(response, buffers):
    """Return the JSON value of a response; see `read_body`.

    Raises:
        ValueError: When the body is too large, of another type, or not valid JSON.
    """
    if response.content_type != JSON_TYPE:
        raise ValueError(f"body of type {response.content_type}, not {JSON_TYPE}")
    return json.loads(await read_body(response, buffers))
