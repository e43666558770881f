"""HTTP connections to targets: no pipelining and no automatic resends."""

import asyncio
from collections import deque

from firworks.client_connections import CheckedResponseHandler
from firworks.decoding import parse_integer
from firworks.errors import CodecError
from firworks.kernel.buffers import ResponseBuffers
from firworks.sockets import enable_dead_peer_detection

CONNECT_TIMEOUT_S = 0.5
MAX_LINE_BYTES = 16_384
# Subtracted from a target's keep-alive time, so that no request races with its close.
IDLE_MARGIN_S = 0.7
DEFAULT_IDLE_S = 4.0
MAX_IDLE_PER_TARGET = 8
# Limit of consecutive response bytes other than body data: the head, blank lines and
# informational responses before it, chunk sizes, trailers. Heads of targets take under
# 2 KB.
MAX_OVERHEAD_BYTES = 65_536
# Minimum counted for each part of a response, as each takes a call of the parser.
MIN_PARSE_COST_BYTES = 64
# Bytes after a complete response are read up to this limit; then reading pauses.
MAX_SURPLUS_BYTES = 65_536
# Reading pauses while twice as much of a body is unread.
READ_BUFFER_BYTES = 32_768
# Most bytes of one read, from the socket or of a body.
MAX_READ_BYTES = 65_536
# The same while the end of the response has to be searched for: each empty line may be
# that end, so that the parser is called anew after it.
SEARCHED_READ_BYTES = 16_384
FIRST_FINAL_STATUS = 200
HEAD_END = b"\r\n\r\n"


class ConnectError(Exception):
    """No connection could be opened, so nothing was sent."""


class TargetConnection(CheckedResponseHandler):
    """One HTTP connection to a target.

    Data that arrives while no request is in progress closes the connection. Data after
    a complete response is kept separately: if that response was a late one to an
    earlier request, the data is the expected response. A faulty target may send bytes
    without end: those outside a body are limited; a body is read with backpressure.

    Attributes:
        busy (bool): A request is in progress.
        used (bool): An earlier request was completed on this connection.
        idle_until_s (float): Time until which it may be reused; monotonic seconds.
        last_received_s (float): Time of the last received bytes; likewise.
    """

    def __init__(self, loop, clock=None, on_lost=None):
        super().__init__(loop)
        self._clock = loop.time if clock is None else clock
        self._on_lost = on_lost
        self.last_received_s = float("-inf")
        self.busy = False
        self.used = False
        self.idle_until_s = 0.0
        self._skip_body = False
        self._body_remaining = None
        self._surplus = b""
        self._overhead = 0
        self._body_bytes = 0
        self._informational = False

    @property
    def reusable(self):
        """Whether another request may be sent."""
        return self.is_connected() and not self.should_close and not self._surplus

    @property
    def flushed(self):
        """Whether all written bytes have been handed to the kernel."""
        return self.transport is None or not self.transport.get_write_buffer_size()

    def connection_made(self, transport):
        """Limit the bytes of one read, 256 KiB by default."""
        super().connection_made(transport)
        self._limit_read(SEARCHED_READ_BYTES)

    def _limit_read(self, size):
        """Set the most bytes (int) of one read, unless the connection is closed."""
        if self.transport is not None:
            self.transport.max_size = size

    def data_received(self, data):
        """Process bytes received from the target."""
        self.last_received_s = self._clock()
        if not self.busy:
            self.abort()
            return
        while data and self.is_connected():
            if self._response_complete:
                self._keep_surplus(data)
                return
            size = self._find_response_end(data)
            if self._body_remaining is not None:
                self._body_remaining -= size
            super().data_received(data[:size])
            self._check_overhead(size)
            data = data[size:]

    @property
    def _response_complete(self):
        return self._payload is not None and self._payload.is_eof()

    def _keep_surplus(self, data):
        self._surplus += data
        if len(self._surplus) >= MAX_SURPLUS_BYTES:
            self._pause_reading_for_buffer()

    def _check_overhead(self, size):
        """Abort a response with too many bytes other than body data."""
        if self._informational:
            self._informational, self._payload = False, None
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if body_bytes != self._body_bytes:
            self._body_bytes, self._overhead = body_bytes, 0
            return
        self._overhead += max(size, MIN_PARSE_COST_BYTES)
        if self._overhead > MAX_OVERHEAD_BYTES and not self._response_complete:
            self.abort_response(f"over {MAX_OVERHEAD_BYTES} bytes without body data")

    def _find_response_end(self, data):
        """Return the most bytes of ``data`` that can belong to the current response.

        The head of a response and a chunked body end with an empty line.
        """
        if self._body_remaining is not None:
            return min(self._body_remaining, len(data))
        end = data.find(HEAD_END)
        return len(data) if end < 0 else end + len(HEAD_END)

    def feed_data(self, data, size=0):
        """Receive a response head and its payload from the parser."""
        if not self.check_status(data[0].code):
            return
        if data[0].code < FIRST_FINAL_STATUS:
            self._informational = True
            return
        self._overhead = 0
        length = data[0].headers.get("Content-Length", "")
        if not self._skip_body and length:
            try:
                self._body_remaining = parse_integer(length, "Content-Length")
            except CodecError as error:
                self.abort_response(str(error))
                return
            self._limit_read(MAX_READ_BYTES)
        super().feed_data(data, size)

    def skip_response(self):
        """Start to read the response after the current, completed one."""
        surplus, self._surplus = self._surplus, b""
        self._expect_response()
        if surplus:
            self.data_received(surplus)
        if len(self._surplus) < MAX_SURPLUS_BYTES:
            self._resume_reading_for_buffer()

    def connection_lost(self, exc):
        """Remove the connection from the open ones."""
        if self._on_lost is not None:
            self._on_lost(self)
        super().connection_lost(exc)

    def send(self, head, body, skip_body):
        """Send a request.

        Args:
            head (bytes): Request line and headers.
            body (bytes): Complete body; may be empty.
            skip_body (bool): The response has no body, as to a HEAD request.
        """
        self.busy = True
        self._skip_body = skip_body
        self._expect_response()
        if len(body) > MAX_READ_BYTES:
            # Joined, a large body would be held once more.
            self.transport.write(head)
            self.transport.write(body)
        else:
            self.transport.write(head + body if body else head)

    def _expect_response(self):
        self._payload = None
        self._body_remaining = None
        self._overhead = self._body_bytes = 0
        self._limit_read(SEARCHED_READ_BYTES)
        self.set_response_params(
            skip_payload=self._skip_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )


class TargetConnections:
    """Pool of connections to targets, by address.

    Args:
        budget (IngressBudget or None): Counts what is held of responses as well.

    Attributes:
        opened (int): Connection attempts since the start.
        buffers (ResponseBuffers): Counts the bytes held of all responses.
    """

    def __init__(self, budget=None):
        self.opened = 0
        self.buffers = ResponseBuffers(budget=budget)
        self._idle = {}
        self._open = {}

    async def open(self, address, clock, fresh=False, max_idle_s=None):
        """Return an idle or a new connection to a target.

        Args:
            address (str): "ip:port".
            clock (callable): Returns monotonic seconds.
            fresh (bool): Always open a new connection.
            max_idle_s (float or None): Reuse no connection that idled for longer.

        Raises:
            ConnectError: When no connection can be opened.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            connection, since_s = idle.pop()
            now = clock()
            recent = max_idle_s is None or now - since_s <= max_idle_s
            if connection.reusable and now < connection.idle_until_s and recent:
                return connection
            connection.abort()
        return await self._connect(address, clock)

    def list_open(self, address):
        """Return the connections (list) that are open to a target."""
        return list(self._open.get(address, ()))

    async def _connect(self, address, clock):
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self.opened += 1

        def forget(connection):
            known = self._open.get(address, set())
            known.discard(connection)
            if not known:
                self._open.pop(address, None)

        def make():
            return TargetConnection(loop, clock, forget)

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, connection = await loop.create_connection(
                    make, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"{address}: {error!r}") from error
        if connection.is_connected():
            self._open.setdefault(address, set()).add(connection)
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        return connection

    def release(self, address, connection, idle_s, now):
        """Return a connection to the pool, or close it if it is not reusable.

        Args:
            address (str): "ip:port".
            connection (TargetConnection): Its response has been read completely.
            idle_s (float or None): Keep-alive time of the target; None if unknown.
            now (float): Monotonic seconds.
        """
        connection.busy = False
        connection.used = True
        if not (connection.reusable and connection.flushed):
            connection.abort()
            return
        granted_s = DEFAULT_IDLE_S if idle_s is None else idle_s
        connection.idle_until_s = now + granted_s - IDLE_MARGIN_S
        idle = self._idle.setdefault(address, deque())
        idle.append((connection, now))
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.popleft()[0].abort()

    def drop(self, address):
        """Close the idle connections to the address (str) of a removed target."""
        for connection, _ in self._idle.pop(address, ()):
            connection.abort()

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
