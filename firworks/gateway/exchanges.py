"""One HTTP request to a target and its response."""

import asyncio

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

from firworks.bodies import HeldBody
from firworks.gateway.connections import MAX_READ_BYTES, ConnectError
from firworks.kernel.forwarding.outcomes import BROKEN, NOT_RUN, AttemptError
from firworks.platform.headers import NOT_RUN as NOT_RUN_HEADER
from firworks.platform.headers import REQUEST_ID, read_keep_alive_s
from firworks.platform.targets import MISDIRECTED

# A healthy target that has started a request mostly sends data within this time.
STALL_THRESHOLD_S = 0.5
BROKEN_ERRORS = (ClientError, HttpProcessingError, OSError)


class Exchange:
    """One request sent, and its response read, on one connection.

    Args:
        connections (TargetConnections): Connection pool.
        target (Target): Target of the request.
        clock (callable): Returns monotonic seconds.

    Attributes:
        status (int): Status of the response; 0 before its head is received.
        reason (str): Reason phrase of the response.
        headers (CIMultiDictProxy): Headers of the response; None before.
        raw_headers (tuple of (bytes, bytes)): Headers as received.
        sent_s (float): When the request was sent, in monotonic seconds; 0 before.
    """

    def __init__(self, connections, target, clock):
        self.target = target
        self.status = 0
        self.reason = ""
        self.headers = None
        self.raw_headers = ()
        self.sent_s = 0.0
        self._connections = connections
        self._clock = clock
        self._connection = None
        self._payload = None
        self._last_progress_s = None

    async def send(self, head, body=b"", method="POST", max_idle_s=None, fresh=False):
        """Send a request and wait for the head of its response.

        Args:
            head (bytes): Request line and headers.
            body (bytes): Complete body.
            method (str): HTTP method.
            max_idle_s (float or None): Reuse no connection that idled for longer.
            fresh (bool): Open a new connection.

        Raises:
            AttemptError: When no connection opens or no response is received.
        """
        address = self.target.address
        try:
            self._connection = await self._connections.open(
                address, self._clock, fresh, max_idle_s
            )
        except ConnectError as error:
            raise AttemptError(NOT_RUN, False, str(error)) from error
        self._connection.send(head, body, method == "HEAD")
        self.sent_s = self._last_progress_s = self._clock()
        await self._read_head()

    async def skip_response(self):
        """Discard a response to an earlier request and wait for the next head.

        Raises:
            AttemptError: When the connection carried no earlier request, or no further
                response is received.
        """
        if not self._connection.used:
            self.abort()
            raise AttemptError(BROKEN, True, "response to another request")
        await self.read_all()
        self._connection.skip_response()
        await self._read_head()

    async def _read_head(self):
        try:
            message, self._payload = await self._connection.read()
        except BROKEN_ERRORS as error:
            self.abort()
            raise AttemptError(BROKEN, True, f"no response: {error!r}") from error
        except asyncio.CancelledError:
            self.abort()
            raise
        self._last_progress_s = self._clock()
        self.status, self.reason = message.code, message.reason or ""
        self.headers, self.raw_headers = message.headers, message.raw_headers

    @property
    def pending(self):
        """Whether a request was sent whose response has not been read completely."""
        return self._last_progress_s is not None

    def is_stalled(self):
        """Return whether a pending response stalled for ``STALL_THRESHOLD_S``."""
        if self._last_progress_s is None:
            return False
        return self._clock() - self._last_progress_s >= STALL_THRESHOLD_S

    @property
    def misdirected(self):
        """Whether another target responded at the address."""
        return self.status == MISDIRECTED

    @property
    def not_run(self):
        """Whether the target states that it did not run the request."""
        return self.misdirected or NOT_RUN_HEADER in self.headers

    @property
    def is_framed(self):
        """Whether the response has a length or chunks, so that its end is certain."""
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers

    async def read_chunk(self):
        """Return the next bytes of the body; empty at the end.

        Raises:
            AttemptError: When the body ends early.
        """
        try:
            part = await self._payload.read(MAX_READ_BYTES)
            self._last_progress_s = self._clock()
            return part
        except BROKEN_ERRORS as error:
            self.abort()
            raise AttemptError(
                BROKEN, True, f"truncated response: {error!r}"
            ) from error
        except asyncio.CancelledError:
            self.abort()
            raise

    async def read_all(self):
        """Return the complete body (bytes).

        Raises:
            AttemptError: When it is truncated or too large to be held.
        """
        with self.hold_body() as body:
            while part := await self.read_chunk():
                if not body.add(part):
                    self.abort()
                    detail = f"status {self.status}, body over {body.size} bytes"
                    raise AttemptError(BROKEN, True, detail)
            return body.join()

    def hold_body(self):
        """Return an empty `HeldBody` for the response."""
        return HeldBody(self._connections.buffers)

    def finish(self):
        """Return the connection to the pool, which closes it if it is not reusable.

        A connection that carried a response without a request id is closed: a faulty
        target may repeat the response ahead of a later one, where nothing would tell
        that it is not the answer: a refusal would say that a request has not run which
        runs, results of a stage would be given to another request.
        """
        if not self.headers.get(REQUEST_ID):
            self._last_progress_s = None
            self.abort()
            return
        connection, self._connection = self._connection, None
        self._last_progress_s = None
        if connection is not None:
            idle_s = read_keep_alive_s(self.headers)
            now = self._clock()
            self._connections.release(self.target.address, connection, idle_s, now)

    def abort(self):
        """Close the connection, on which most targets cancel the request."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
