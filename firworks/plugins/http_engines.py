"""Adapter to model engines over HTTP with server-sent events."""

import asyncio
import json

from firworks.kernel.calls import CallChunk, CallCompleted
from firworks.plugins.target_calls import (
    IDENTITY_HEADER,
    InvalidResponseError,
    TargetAdapter,
    check_status,
)

EVENT_LIMIT_BYTES = 1_048_576
READ_INTERVAL_S = 0.025
UNPACED_READS = 4


class EngineCalls(TargetAdapter):
    """Streams tokens; those that arrive together are fed together."""

    async def run_call(self, action, session, address):
        """Carry out a call; see `TargetAdapter.run_call`."""
        request = session.post(
            f"http://{address}/v1/generate",
            json=_make_body(action),
            headers={IDENTITY_HEADER: action.identity.encode()},
        )
        async with request as response:
            check_status(response)
            await self._read_stream(action, response)

    async def _read_stream(self, action, response):
        buffer = b""
        identity = action.identity.encode()
        pace = ReadPace(response.content)
        while chunk := await response.content.readany():
            *lines, buffer = (buffer + chunk).split(b"\n")
            if len(buffer) > EVENT_LIMIT_BYTES:
                raise InvalidResponseError("an event is too large")
            if self._feed_lines(action, identity, lines):
                return
            await pace.wait()
        raise InvalidResponseError("the stream ended early")

    def _feed_lines(self, action, identity, lines):
        """Feed the events in some lines; return whether the stream is whole.

        Args:
            action (StartCall): The call.
            identity (str): The call's, for events that echo none.
            lines (list of bytes): Whole lines.
        """
        parts = PartMerger(action)
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            event = _parse_event(line[len(b"data:") :])
            echoed = event.get("call", identity)
            if event.get("done"):
                self._feed_all(parts.take())
                count = event["count"]
                self.context.feed(
                    CallCompleted(action.call_id, echoed, None, count=count)
                )
                return True
            parts.add(echoed, event["offset"], event["tokens"])
        self._feed_all(parts.take())
        return False

    def _feed_all(self, parts):
        for part in parts:
            self.context.feed(part)


class ReadPace:
    """Spaces the reads of a stream, so that tokens are handled several at a time.

    The first tokens and the end of the stream are not held back.

    Args:
        content (aiohttp.StreamReader): The stream.
    """

    def __init__(self, content):
        self._reads = 0
        self._ended = False
        self._wake = asyncio.Event()
        content.on_eof(self._end)

    async def wait(self):
        """Wait until the next read is due."""
        self._reads += 1
        if self._ended or self._reads <= UNPACED_READS:
            return
        self._wake.clear()
        timer = asyncio.get_running_loop().call_later(READ_INTERVAL_S, self._wake.set)
        await self._wake.wait()
        timer.cancel()

    def _end(self):
        self._ended = True
        self._wake.set()


class PartMerger:
    """Joins contiguous parts, so that one event carries many tokens.

    Args:
        action (StartCall): The call that they belong to.
    """

    def __init__(self, action):
        self._call_id = action.call_id
        self._parts = []

    def add(self, identity, offset, tokens):
        """Add a part: `identity` (str), `offset` (int) and `tokens` (list of str)."""
        last = self._parts[-1] if self._parts else None
        contiguous = last is not None and last.offset + len(last.tokens) == offset
        if contiguous and last.identity == identity:
            last.tokens += tuple(tokens)
        else:
            part = CallChunk(self._call_id, identity, offset, tuple(tokens))
            self._parts.append(part)

    def take(self):
        """Return the joined parts (list of CallChunk) and forget them."""
        parts, self._parts = self._parts, []
        return parts


def _make_body(action):
    return {
        "model": action.model,
        "operation": action.operation,
        "prompt": action.body,
        "resume": list(action.resume),
        "priority": action.priority,
        "call": action.identity.encode(),
    }


def _parse_event(data):
    event = json.loads(data)
    if not isinstance(event, dict):
        raise InvalidResponseError("an event is not a JSON object")
    if event.get("done"):
        if not isinstance(event.get("count"), int):
            raise InvalidResponseError("the last event has no count")
        return event
    tokens = event.get("tokens")
    well_formed = isinstance(event.get("offset"), int) and isinstance(tokens, list)
    if not well_formed or not all(isinstance(token, str) for token in tokens):
        raise InvalidResponseError("an event has no offset or no tokens")
    return event


def register(registry):
    """Put the adapter into the registry."""
    registry.add("targets", "engine", EngineCalls)
