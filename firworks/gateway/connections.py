"""Connections to targets: one request at a time, nothing sent twice."""

import asyncio
from collections import deque

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http_exceptions import HttpProcessingError

from firworks.sockets import detect_silence

CONNECT_TIMEOUT_S = 0.5
MAX_LINE_BYTES = 16_384
# Left of the idle time that a target grants, so that no request meets its close.
IDLE_MARGIN_S = 0.7
DEFAULT_IDLE_S = 4.0
MAX_IDLE_PER_TARGET = 8
# Bytes of an answer that bring nothing of its body, one after another: a head, with the
# blank lines and informational answers before it, sizes of chunks, trailers. Heads of
# targets take under 2 KB.
MAX_OVERHEAD_BYTES = 65_536
# A part of an answer counts as this many bytes at least, as it takes a call to parse.
LEAST_PART_BYTES = 64
# What follows a whole answer is read up to here; the rest is left to the target.
MAX_SURPLUS_BYTES = 65_536
FIRST_FINAL_STATUS = 200
HEAD_END = b"\r\n\r\n"


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""


class TargetConnection(ResponseHandler):
    """One HTTP connection to a target.

    Data that arrives while no request is waiting belongs to no request and ends
    the connection. What follows a whole answer is kept apart: it may be the answer
    itself, when that was a late one to an earlier request. A target in trouble may
    send bytes without end: what is no part of a body is bounded, and a body is read
    no faster than it is taken.

    Attributes:
        busy (bool): A request is in progress.
        used (bool): A request before this one was answered here.
        idle_until_s (float): Until when it may be used again; monotonic seconds.
        heard_s (float): When bytes last came; likewise.
    """

    def __init__(self, loop, clock=None, on_lost=None):
        super().__init__(loop)
        self._clock = loop.time if clock is None else clock
        self._on_lost = on_lost
        self.heard_s = float("-inf")
        self.busy = False
        self.used = False
        self.idle_until_s = 0.0
        self._skip_body = False
        self._body_left = None
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
        """Whether everything written has been handed to the kernel."""
        return self.transport is None or not self.transport.get_write_buffer_size()

    def data_received(self, data):
        """Take bytes from the target."""
        self.heard_s = self._clock()
        if not self.busy:
            self.abort()
            return
        while data and self.is_connected():
            if self._answered:
                self._keep_surplus(data)
                return
            size = self._limit_part(data)
            if self._body_left is not None:
                self._body_left -= size
            super().data_received(data[:size])
            self._check_overhead(size)
            data = data[size:]

    @property
    def _answered(self):
        return self._payload is not None and self._payload.is_eof()

    def _keep_surplus(self, data):
        self._surplus += data
        if len(self._surplus) >= MAX_SURPLUS_BYTES:
            self._pause_reading_for_buffer()

    def _check_overhead(self, size):
        """Break off an answer that goes on without a head or a body."""
        if self._informational:
            self._informational, self._payload = False, None
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if body_bytes != self._body_bytes:
            self._body_bytes, self._overhead = body_bytes, 0
            return
        self._overhead += max(size, LEAST_PART_BYTES)
        if self._overhead > MAX_OVERHEAD_BYTES and not self._answered:
            self._break_off(f"over {MAX_OVERHEAD_BYTES} bytes without a part of a body")

    def _break_off(self, detail):
        if self._payload is not None:
            set_exception(self._payload, ClientPayloadError(detail))
        self.set_exception(HttpProcessingError(code=0, message=detail))
        self.transport.abort()

    def _limit_part(self, data):
        """Return how many of some bytes belong to the current answer at the most.

        The head of an answer, and its body in chunks, end with an empty line.
        """
        if self._body_left is not None:
            return min(self._body_left, len(data))
        end = data.find(HEAD_END)
        return len(data) if end < 0 else end + len(HEAD_END)

    def feed_data(self, data, size=0):
        """Take the head of an answer and its payload from the parser."""
        if data[0].code < FIRST_FINAL_STATUS:
            self._informational = True
            return
        self._overhead = 0
        length = data[0].headers.get("Content-Length", "")
        if not self._skip_body and length.isdecimal():
            self._body_left = int(length)
        super().feed_data(data, size)

    def skip_response(self):
        """Read the answer that follows the one that has come."""
        surplus, self._surplus = self._surplus, b""
        self._expect_answer()
        if surplus:
            self.data_received(surplus)
        if len(self._surplus) < MAX_SURPLUS_BYTES:
            self._resume_reading_for_buffer()

    def connection_lost(self, exc):
        """Mark an answer that was cut by a reset as incomplete."""
        if self._on_lost is not None:
            self._on_lost(self)
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, ClientPayloadError(f"connection lost: {exc!r}"))
        super().connection_lost(exc)

    def send(self, head, body, skip_body):
        """Send a request.

        Args:
            head (bytes): Request line and headers.
            body (bytes): Whole body; may be empty.
            skip_body (bool): The answer has a head only.
        """
        self.busy = True
        self._skip_body = skip_body
        self._expect_answer()
        self.transport.write(head + body if body else head)

    def _expect_answer(self):
        self._payload = None
        self._body_left = None
        self._overhead = self._body_bytes = 0
        self.set_response_params(
            skip_payload=self._skip_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )


class TargetConnections:
    """Idle connections to targets, by address.

    Attributes:
        opened (int): Connections opened since the start.
    """

    def __init__(self):
        self.opened = 0
        self._idle = {}
        self._open = {}

    async def open(self, address, clock, fresh=False, max_idle_s=None):
        """Return an idle or a new connection to a target.

        Args:
            address (str): "ip:port".
            clock (callable): Returns monotonic seconds.
            fresh (bool): Take no idle one.
            max_idle_s (float or None): Take none that has been idle for longer.

        Raises:
            ConnectError: When none can be opened.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            connection, since_s = idle.pop()
            now = clock()
            young = max_idle_s is None or now - since_s <= max_idle_s
            if connection.reusable and now < connection.idle_until_s and young:
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
        detect_silence(transport.get_extra_info("socket"))
        return connection

    def release(self, address, connection, idle_s, now):
        """Keep a connection whose answer was read whole, or close it.

        Args:
            address (str): "ip:port".
            connection (TargetConnection): Its answer has ended.
            idle_s (float or None): What the target grants an idle connection.
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
        """Close the idle connections to a target that is gone."""
        for connection, _ in self._idle.pop(address, ()):
            connection.abort()

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
