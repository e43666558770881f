"""One request to one target, and its answer."""

import asyncio

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from firworks.gateway.connections import ConnectError
from firworks.kernel.forwarding.outcomes import BROKEN, NOT_RUN, AttemptError
from firworks.platform.headers import NOT_RUN as NOT_RUN_HEADER
from firworks.platform.headers import read_keep_alive_s
from firworks.platform.targets import MISDIRECTED

# Of an answer that is kept whole: one of a stage call names some hundred results.
MAX_BUFFERED_BODY_BYTES = 1_048_576
# A sound target that has begun a request mostly says something within this time.
SILENT_S = 0.5
BROKEN_ERRORS = (ClientError, HttpProcessingError, OSError)


class Exchange:
    """A request that is sent and an answer that is read on one connection.

    Args:
        connections (TargetConnections): Where connections come from.
        target (Target): Whom to ask.
        clock (callable): Returns monotonic seconds.

    Attributes:
        status (int): Of the answer, once its head has come.
        headers (CIMultiDictProxy): Of the answer.
        raw_headers (tuple of (bytes, bytes)): Of the answer.
    """

    def __init__(self, connections, target, clock):
        self.target = target
        self.status = 0
        self.reason = ""
        self.headers = None
        self.raw_headers = ()
        self._connections = connections
        self._clock = clock
        self._connection = None
        self._payload = None
        self._quiet_since_s = None

    async def send(self, head, body=b"", method="POST", max_idle_s=None, fresh=False):
        """Send a request and wait for the head of its answer.

        Args:
            head (bytes): Request line and headers.
            body (bytes): Whole body.
            method (str): HTTP method.
            max_idle_s (float or None): Use no connection idle for longer.
            fresh (bool): Open a connection of its own.

        Raises:
            AttemptError: When no connection opens or no answer comes.
        """
        address = self.target.address
        try:
            self._connection = await self._connections.open(
                address, self._clock, fresh, max_idle_s
            )
        except ConnectError as error:
            raise AttemptError(NOT_RUN, False, str(error)) from error
        self._connection.send(head, body, method == "HEAD")
        self._quiet_since_s = self._clock()
        await self._read_head()

    async def skip_response(self):
        """Wait for the head of the next answer: this one is not the request's.

        Raises:
            AttemptError: When the connection cannot carry a late answer to an earlier
                request, or no other answer comes.
        """
        if not self._connection.used:
            self.abort()
            raise AttemptError(BROKEN, True, "an answer to another request")
        await self.read_all()
        self._connection.skip_response()
        await self._read_head()

    async def _read_head(self):
        try:
            message, self._payload = await self._connection.read()
        except BROKEN_ERRORS as error:
            self.abort()
            raise AttemptError(BROKEN, True, f"no answer: {error!r}") from error
        except asyncio.CancelledError:
            self.abort()
            raise
        self._quiet_since_s = self._clock()
        self.status, self.reason = message.code, message.reason or ""
        self.headers, self.raw_headers = message.headers, message.raw_headers

    @property
    def pending(self):
        """Whether a request was sent whose answer has not been read whole."""
        return self._quiet_since_s is not None

    def is_silent(self):
        """Return whether nothing has come for ``SILENT_S`` of an answer that is due."""
        if self._quiet_since_s is None:
            return False
        return self._clock() - self._quiet_since_s >= SILENT_S

    @property
    def misdirected(self):
        """Whether another target answers at the address."""
        return self.status == MISDIRECTED

    @property
    def not_run(self):
        """Whether the target states that it did not run the request."""
        return self.misdirected or NOT_RUN_HEADER in self.headers

    async def read_chunk(self):
        """Return the next bytes of the body; empty at its end.

        Raises:
            AttemptError: When the body ends early.
        """
        try:
            part = await self._payload.readany()
            self._quiet_since_s = self._clock()
            return part
        except BROKEN_ERRORS as error:
            self.abort()
            raise AttemptError(BROKEN, True, f"cut answer: {error!r}") from error
        except asyncio.CancelledError:
            self.abort()
            raise

    async def read_all(self):
        """Return the whole body.

        Raises:
            AttemptError: When it ends early or is longer than ``MAX_BUFFERED_BODY_BYTES``.
        """
        parts, size = [], 0
        while part := await self.read_chunk():
            parts.append(part)
            size += len(part)
            if size > MAX_BUFFERED_BODY_BYTES:
                self.abort()
                detail = (
                    f"status {self.status} with a body over {MAX_BUFFERED_BODY_BYTES} bytes"
                )
                raise AttemptError(BROKEN, True, detail)
        return b"".join(parts)

    def finish(self):
        """Keep the connection for another request, if it is fit for one."""
        connection, self._connection = self._connection, None
        self._quiet_since_s = None
        if connection is not None:
            idle_s = read_keep_alive_s(self.headers)
            now = self._clock()
            self._connections.release(self.target.address, connection, idle_s, now)

    def abort(self):
        """Close the connection; most targets then drop the request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
