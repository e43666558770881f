"""Client of a daemon: sends requests and reads plain or streamed responses."""

import json
import time
from uuid import UUID

import aiohttp

from firworks.kernel.messages import Struct
from firworks.kernel.streams import digest_tokens

EVENT_STREAM_TYPE = "text/event-stream"
UUID7_VERSION_BITS = 0x7000
UUID7_VARIANT_BITS = 0x8000000000000000


class Reply(Struct):
    """A response to a caller.

    Attributes:
        status (int): HTTP status.
        table (dict): JSON object of the response, or of the end of a stream.
        tokens (tuple of str): Tokens of a streamed response.
    """

    __slots__ = ("status", "table", "tokens")
    DEFAULTS = {"tokens": ()}

    @property
    def code(self):
        """The numbered result code (int)."""
        return self.table["code"]

    @property
    def whole(self):
        """Whether count and digest match the received tokens."""
        counted = self.table.get("count") == len(self.tokens)
        return counted and self.table.get("digest") == digest_tokens(self.tokens)


class Caller:
    """Sends requests to one daemon; an async context manager.

    Args:
        address (str): "ip:port" of the callers' listener.
        token (str): Bearer token.
    """

    def __init__(self, address, token):
        self._url = f"http://{address}"
        self._headers = {"Authorization": f"Bearer {token}"}
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession(headers=self._headers)
        return self

    async def __aexit__(self, *error):
        await self._session.close()

    async def send(self, pipeline, body, **headers):
        """Send a request and return its `Reply`.

        Args:
            pipeline (str): The pipeline.
            body (object): JSON value.
            **headers: Further headers, with underscores for hyphens.
        """
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"{self._url}/v1/pipelines/{pipeline}"
        async with self._session.post(url, json=body, headers=named) as response:
            return await read_reply(response)

    async def stream(self, pipeline, body, **headers):
        """Send a request for a streamed response and return its `Reply`."""
        return await self.send(pipeline, body, Accept=EVENT_STREAM_TYPE, **headers)

    async def fetch(self, request_id):
        """Fetch the result of a deferred request and return the `Reply`."""
        async with self._session.get(
            f"{self._url}/v1/results/{request_id}"
        ) as response:
            return await read_reply(response)


async def read_reply(response):
    """Return the `Reply` in an HTTP response, streamed or not."""
    if response.content_type != EVENT_STREAM_TYPE:
        return Reply(response.status, await response.json())
    tokens = []
    table = {}
    async for line in response.content:
        if not line.startswith(b"data:"):
            continue
        event = json.loads(line[len(b"data:") :])
        if "code" in event:
            table = event
        else:
            tokens[event["offset"] :] = event["tokens"]
    return Reply(response.status, table, tuple(tokens))


def make_key(rng):
    """Return a new idempotency key (UUIDv7), which contains its time of issue."""
    milliseconds = int(time.time() * 1000)
    high = (milliseconds << 16) | UUID7_VERSION_BITS | rng.getrandbits(12)
    low = UUID7_VARIANT_BITS | rng.getrandbits(62)
    return str(UUID(int=(high << 64) | low))
