"""Adapter for model engines that stream tokens as server-sent events over HTTP."""

import asyncio
import json

from firworks.decoding import check_integer
from firworks.errors import CodecError
from firworks.kernel.calls import CallChunk, CallCompleted
from firworks.plugins.target_calls import (
    IDENTITY_HEADER,
    InvalidResponseError,
    TargetAdapter,
    check_status,
)

MAX_EVENT_BYTES = 1_048_576
READ_INTERVAL_S = 0.025
IMMEDIATE_READS = 4


class EngineCalls(TargetAdapter):
    """Streams tokens; contiguous ones of one read are fed as one chunk."""

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
        pacer = ReadPacer(response.content)
        while chunk := await response.content.readany():
            *lines, buffer = (buffer + chunk).split(b"\n")
            if len(buffer) > MAX_EVENT_BYTES:
                raise InvalidResponseError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            if self._feed_lines(action, identity, lines):
                return
            await pacer.wait()
        raise InvalidResponseError("the stream ended before its last event")

    def _feed_lines(self, action, identity, lines):
        """Feed the events in some lines; return whether the stream is complete.

        Args:
            action (StartCall): The call.
            identity (str): Used for events that echo no call identity.
            lines (list of bytes): Complete lines.
        """
        merger = ChunkMerger(action)
        for line in lines:
            if not line.startswith(b"data:"):
                continue
            event = _parse_event(line[len(b"data:") :])
            echoed = event.get("call", identity)
            if event.get("done"):
                self._feed_all(merger.pop_chunks())
                count = event["count"]
                self.context.feed(
                    CallCompleted(action.call_id, echoed, None, count=count)
                )
                return True
            merger.add(echoed, event["offset"], event["tokens"])
        self._feed_all(merger.pop_chunks())
        return False

    def _feed_all(self, chunks):
        for chunk in chunks:
            self.context.feed(chunk)


class ReadPacer:
    """Delays the reads of a stream so that each read returns several tokens.

    The first ``IMMEDIATE_READS`` reads and the end of the stream are not delayed.

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
        if self._ended or self._reads <= IMMEDIATE_READS:
            return
        self._wake.clear()
        timer = asyncio.get_running_loop().call_later(READ_INTERVAL_S, self._wake.set)
        await self._wake.wait()
        timer.cancel()

    def _end(self):
        self._ended = True
        self._wake.set()


class ChunkMerger:
    """Merges contiguous chunks so that one `CallChunk` carries many tokens.

    Args:
        action (StartCall): The call that the chunks belong to.
    """

    def __init__(self, action):
        self._call_id = action.call_id
        # Identity, offset and tokens (list, extended in place) of each merged chunk.
        self._chunks = []

    def add(self, identity, offset, tokens):
        """Add a chunk: `identity` (str), `offset` (int) and `tokens` (list of str)."""
        if self._chunks:
            last_identity, last_offset, last_tokens = self._chunks[-1]
            end = last_offset + len(last_tokens)
            if (last_identity, end) == (identity, offset):
                last_tokens.extend(tokens)
                return
        self._chunks.append((identity, offset, list(tokens)))

    def pop_chunks(self):
        """Return and clear the merged chunks (list of CallChunk)."""
        chunks, self._chunks = self._chunks, []
        return [
            CallChunk(self._call_id, identity, offset, tuple(tokens))
            for identity, offset, tokens in chunks
        ]


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
    try:
        event = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise InvalidResponseError("an event is not JSON") from error
    if not isinstance(event, dict):
        raise InvalidResponseError("an event is not a JSON object")
    if event.get("done"):
        _check_count(event, "count")
        return event
    tokens = event.get("tokens")
    _check_count(event, "offset")
    if not isinstance(tokens, list) or not all(isinstance(one, str) for one in tokens):
        raise InvalidResponseError("an event has no valid tokens")
    return event


def _check_count(event, name):
    try:
        check_integer(event.get(name), name)
    except CodecError as error:
        raise InvalidResponseError(f"an event has no valid {error}") from error


def register(registry):
    """Add the adapter to the registry."""
    registry.add("targets", "engine", EngineCalls)
