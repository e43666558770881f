"""HTTP interface for callers, with JSON and server-sent events."""

import asyncio
import itertools
from functools import singledispatchmethod

from aiohttp.web import Response, ServerRunner, StreamResponse

from firworks.adapter import Adapter
from firworks.bodies import JSON_TYPE
from firworks.codes import Code
from firworks.errors import RequestError
from firworks.ingress import Ingress, start_site
from firworks.kernel.callers import (
    RAN_NO,
    RAN_UNKNOWN,
    CallerDisconnected,
    EndConnections,
    FinishResponse,
    ResultLookupRequested,
    SendChunk,
)
from firworks.kernel.forwarding.configuration import CallerLimits
from firworks.plugins.caller_requests import (
    PIPELINES_PATH,
    RESULTS_PATH,
    is_resend,
    read_request,
    read_token,
)
from firworks.plugins.caller_responses import (
    EVENT_STREAM_TYPE,
    make_chunk_event,
    make_end_event,
    make_error_json,
    make_response_json,
)

WRITE_TIMEOUT_S = 10.0
FLUSH_INTERVAL_S = 0.01
SHUTDOWN_TIMEOUT_S = 5.0
# A whole head may be as long as this many lines of the longest length.
MAX_HEAD_LINES = 8
# Callers may reuse a connection that has been idle for 0.8 of this.
IDLE_TIMEOUT_S = 60.0
# Of a request for which there is no memory.
RETRY_AFTER_S = 1
SERVICE_UNAVAILABLE = 503


class HttpCallers(Adapter):
    """Serves pipeline requests and result lookups of callers.

    Attributes:
        port (int): The bound port, once started.
    """

    ACTIONS = (SendChunk, FinishResponse, EndConnections)

    def __init__(self, context):
        super().__init__(context)
        self._exchanges = {}
        self._request_numbers = itertools.count(1)
        self._runner = self._ingress = None
        self._ends_connections = False
        self._host, port = context.settings.callers.rsplit(":", 1)
        self.port = int(port)

    async def start(self):
        """Open the listener.

        Raises:
            OSError: When the address cannot be bound.
        """
        settings = self.context.settings
        ingress = self._ingress = self.context.ingress or Ingress(settings)
        limits = make_caller_limits(settings)
        server = ingress.make_server(
            "callers",
            self._serve,
            _make_refusal,
            lambda: limits,
            max_connections=ingress.limits.max_connections,
            max_unused=ingress.limits.max_unused_connections,
            first_byte_s=settings.body_timeout_s,
            max_line_size=settings.header_limit_bytes,
            max_field_size=settings.header_limit_bytes,
        )
        ingress.start()
        self._runner = ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        self.port = await start_site(self._runner, self._host, self.port)

    async def stop(self):
        """Close the listener; wait up to ``SHUTDOWN_TIMEOUT_S`` for open responses."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
            if self.context.ingress is None:
                self._ingress.stop()

    def carry_out(self, action):
        """Execute an action of the kernel."""
        self._carry_out(action)

    @singledispatchmethod
    def _carry_out(self, action):
        raise TypeError(f"not an action of this adapter: {action!r}")

    @_carry_out.register
    def _(self, action: SendChunk):
        if action.request_id in self._exchanges:
            self._exchanges[action.request_id].add_chunk(action)

    @_carry_out.register
    def _(self, action: FinishResponse):
        if action.request_id in self._exchanges:
            self._exchanges[action.request_id].end(action)

    @_carry_out.register
    def _(self, action: EndConnections):
        self._ends_connections = True

    def prepare_response(self, response):
        """While the daemon drains, close the connection after a response."""
        if self._ends_connections:
            response.force_close()

    async def _serve(self, request):
        try:
            response = await self._route(request)
        except RequestError as error:
            return _make_error_response(request, error)
        if not response.prepared:
            self.prepare_response(response)
        return response

    async def _route(self, request):
        if request.path.startswith(PIPELINES_PATH):
            _require_method(request, "POST")
            return await self._serve_pipeline(request)
        if request.path.startswith(RESULTS_PATH):
            _require_method(request, "GET")
            return await self._serve_lookup(request)
        raise RequestError(Code.MALFORMED_REQUEST, f"unknown path: {request.path}")

    async def _serve_pipeline(self, request):
        request_id = f"{self.context.incarnation}-{next(self._request_numbers)}"
        event = await read_request(request, request_id, self.context.settings)
        # The kernel keeps the parsed body.
        request.protocol.mark_running(request.content.total_bytes)
        return await self._exchange(request, request_id, event)

    async def _serve_lookup(self, request):
        lookup_id = f"{self.context.incarnation}-{next(self._request_numbers)}"
        result_id = request.path.removeprefix(RESULTS_PATH)
        event = ResultLookupRequested(lookup_id, read_token(request), result_id)
        request.protocol.mark_running(0)
        return await self._exchange(request, lookup_id, event)

    async def _exchange(self, request, request_id, event):
        """Feed a request to the kernel and send its response to the caller."""
        exchange = Exchange()
        self._exchanges[request_id] = exchange
        try:
            self.context.feed(event)
            if EVENT_STREAM_TYPE in request.headers.get("Accept", ""):
                return await self._stream(request, request_id, exchange)
            while exchange.final_response is None:
                await exchange.wait()
            return _make_response(request_id, exchange.final_response)
        finally:
            del self._exchanges[request_id]
            if exchange.final_response is None:
                self.context.feed(CallerDisconnected(request_id))

    async def _stream(self, request, request_id, exchange):
        writer = EventStreamWriter(request, request_id, self.prepare_response)
        while exchange.final_response is None:
            await exchange.wait()
            if exchange.final_response is None:
                await writer.write_chunk(exchange.pop_chunk())
        # Remaining chunks are written together with the last event.
        if writer.response is None and exchange.final_response.code.http_status >= 400:
            return _make_response(request_id, exchange.final_response)
        await writer.finish(exchange.pop_chunk(), exchange.final_response)
        return writer.response


class Exchange:
    """Buffers the response of the kernel to one request until it is written.

    The writer is woken at once by the first chunk and the final response, and at
    most once per ``FLUSH_INTERVAL_S`` by other chunks.

    Attributes:
        final_response (FinishResponse): None until the response is complete.
    """

    def __init__(self):
        self.final_response = None
        self._offset = 0
        self._tokens = []
        self._last_wake_s = float("-inf")
        self._timer = None
        self._wake = asyncio.Event()

    def add_chunk(self, chunk):
        """Buffer a chunk (SendChunk); chunks come in order and without gaps."""
        if not self._tokens:
            self._offset = chunk.offset
        self._tokens.extend(chunk.tokens)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            due_s = max(self._last_wake_s + FLUSH_INTERVAL_S, loop.time())
            self._timer = loop.call_at(due_s, self._wake.set)

    def end(self, final_response):
        """Store the final response (FinishResponse) and wake the writer."""
        self.final_response = final_response
        self._wake.set()

    async def wait(self):
        """Wait until there is something to write."""
        await self._wake.wait()
        self._wake.clear()
        self._last_wake_s = asyncio.get_running_loop().time()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def pop_chunk(self):
        """Return and clear the buffered chunks, joined into one `SendChunk`."""
        chunk = SendChunk("", self._offset, tuple(self._tokens))
        self._tokens = []
        return chunk


class EventStreamWriter:
    """Writes a response as server-sent events; opens it with the first event.

    Args:
        request (aiohttp.web.BaseRequest): The caller's request.
        request_id (str): Sent in the ``Firworks-Request-Id`` header.
        prepare (callable): ``prepare(response)``, called before a response begins.

    Attributes:
        response (StreamResponse): None until the first event is written.
    """

    def __init__(self, request, request_id, prepare):
        self.response = None
        self._prepare = prepare
        self._request = request
        self._request_id = request_id
        self._sent_tokens = []

    async def write_chunk(self, chunk):
        """Write a chunk (SendChunk), unless it is empty."""
        if chunk.tokens:
            await self._write(self._encode_chunk(chunk))

    async def finish(self, chunk, final_response):
        """Write the remaining tokens and the last event, and end the stream.

        Args:
            chunk (SendChunk): Tokens not written yet; may be empty.
            final_response (FinishResponse): The final response. A stored one may
                have tokens that no chunk carried; they are written as well.
        """
        data = self._encode_chunk(chunk)
        offset = len(self._sent_tokens)
        data += self._encode_chunk(
            SendChunk("", offset, final_response.tokens[offset:])
        )
        await self._write(data + make_end_event(final_response, self._sent_tokens))
        await self.response.write_eof()

    def _encode_chunk(self, chunk):
        if not chunk.tokens:
            return b""
        self._sent_tokens.extend(chunk.tokens)
        return make_chunk_event(chunk)

    async def _write(self, data):
        # A caller that stops reading must not keep its request open forever.
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            if self.response is None:
                await self._open()
            await self.response.write(data)

    async def _open(self):
        self.response = StreamResponse(
            headers={
                "Content-Type": EVENT_STREAM_TYPE,
                "Cache-Control": "no-store",
                "Firworks-Request-Id": self._request_id,
            }
        )
        self._prepare(self.response)
        await self.response.prepare(self._request)


def make_caller_limits(settings):
    """Return the `CallerLimits` of a daemon's settings (Settings)."""
    return CallerLimits(
        MAX_HEAD_LINES * settings.header_limit_bytes,
        settings.body_limit_bytes,
        settings.body_timeout_s,
        IDLE_TIMEOUT_S,
    )


def _make_refusal(code, detail, ran=RAN_NO):
    text = make_error_json(code, detail, ran)
    headers = {}
    if code.http_status == SERVICE_UNAVAILABLE:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    return Response(
        status=code.http_status, text=text, content_type=JSON_TYPE, headers=headers
    )


def _require_method(request, method):
    if request.method != method:
        raise RequestError(Code.MALFORMED_REQUEST, f"the method must be {method}")


def _make_response(request_id, final_response):
    headers = {"Firworks-Request-Id": request_id}
    if final_response.retry_after_s:
        headers["Retry-After"] = str(max(1, round(final_response.retry_after_s)))
    return Response(
        status=final_response.code.http_status,
        text=make_response_json(final_response),
        content_type=JSON_TYPE,
        headers=headers,
    )


def _make_error_response(request, error):
    """Return the error response to a request rejected before it reaches the kernel."""
    # An earlier send of the key may have run; the kernel reports the same.
    ran = RAN_UNKNOWN if is_resend(request) else RAN_NO
    response = _make_refusal(error.code, error.detail, ran)
    # The rest of the body may be unread, so the connection cannot be reused.
    response.force_close()
    return response


def register(registry):
    """Add the adapter to the registry."""
    registry.add("callers", "http", HttpCallers)
