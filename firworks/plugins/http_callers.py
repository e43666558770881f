"""The callers' interface: HTTP with JSON and server-sent events."""

import asyncio
import itertools

from aiohttp.web import Response, ServerRunner, StreamResponse, TCPSite

from firworks.adapter import Adapter
from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.callers import (
    RAN_NO,
    RAN_UNKNOWN,
    CallerDisconnected,
    FinishResponse,
    ResultLookupRequested,
    SendChunk,
)
from firworks.plugins.caller_protocol import BoundedServer
from firworks.plugins.caller_requests import (
    PIPELINES_PATH,
    RESULTS_PATH,
    is_resend,
    read_request,
    read_token,
)
from firworks.plugins.caller_responses import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    make_chunk_event,
    make_end_event,
    make_error_json,
    make_response_json,
)

WRITE_TIMEOUT_S = 10.0
FLUSH_INTERVAL_S = 0.01
SHUTDOWN_TIMEOUT_S = 5.0


class HttpCallers(Adapter):
    """Listens for callers.

    Attributes:
        port (int): The bound port, once started.
    """

    ACTIONS = (SendChunk, FinishResponse)

    def __init__(self, context):
        super().__init__(context)
        self._exchanges = {}
        self._numbers = itertools.count(1)
        self._runner = None
        self._host, port = context.settings.callers.rsplit(":", 1)
        self.port = int(port)

    async def start(self):
        """Open the listener.

        Raises:
            OSError: When the address cannot be bound.
        """
        settings = self.context.settings
        server = BoundedServer(
            self._serve,
            head_timeout_s=settings.body_timeout_s,
            max_line_size=settings.header_limit_bytes,
            max_field_size=settings.header_limit_bytes,
        )
        self._runner = ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await TCPSite(self._runner, self._host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Close the listener; answers in progress are written out first."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def carry_out(self, action):
        """Hand a part or a final answer to the connection that waits for it."""
        exchange = self._exchanges.get(action.request_id)
        if exchange is None:
            return
        if isinstance(action, SendChunk):
            exchange.add_part(action)
        else:
            exchange.end(action)

    async def _serve(self, request):
        request.protocol.begin_request()
        try:
            return await self._route(request)
        except RequestError as error:
            return _make_error(request, error)
        finally:
            request.protocol.end_request()

    async def _route(self, request):
        if request.path.startswith(PIPELINES_PATH):
            _require_method(request, "POST")
            return await self._serve_pipeline(request)
        if request.path.startswith(RESULTS_PATH):
            _require_method(request, "GET")
            return await self._serve_result(request)
        raise RequestError(Code.MALFORMED_REQUEST, f"no such path: {request.path}")

    async def _serve_pipeline(self, request):
        request_id = f"{self.context.incarnation}-{next(self._numbers)}"
        event = await read_request(request, request_id, self.context.settings)
        return await self._exchange(request, request_id, event)

    async def _serve_result(self, request):
        lookup_id = f"{self.context.incarnation}-{next(self._numbers)}"
        wanted = request.path.removeprefix(RESULTS_PATH)
        event = ResultLookupRequested(lookup_id, read_token(request), wanted)
        return await self._exchange(request, lookup_id, event)

    async def _exchange(self, request, request_id, event):
        """Feed a request to the kernel and write what it answers."""
        exchange = Exchange()
        self._exchanges[request_id] = exchange
        try:
            self.context.feed(event)
            if EVENT_STREAM_TYPE in request.headers.get("Accept", ""):
                return await self._stream(request, request_id, exchange)
            while exchange.ending is None:
                await exchange.wait()
            return _make_answer(request_id, exchange.ending)
        finally:
            del self._exchanges[request_id]
            if exchange.ending is None:
                self.context.feed(CallerDisconnected(request_id))

    async def _stream(self, request, request_id, exchange):
        writer = EventWriter(request, request_id)
        while exchange.ending is None:
            await exchange.wait()
            if exchange.ending is None:
                await writer.write_part(exchange.take_part())
        # What is left of the parts goes out with the last event.
        if writer.response is None and exchange.ending.code.http_status >= 400:
            return _make_answer(request_id, exchange.ending)
        await writer.finish(exchange.take_part(), exchange.ending)
        return writer.response


class Exchange:
    """What the kernel has answered to one request and is not written yet.

    The first part wakes the writer at once, later ones at most once in
    ``FLUSH_INTERVAL_S``, and the final answer at once.

    Attributes:
        ending (FinishAnswer): The final answer, or None.
    """

    def __init__(self):
        self.ending = None
        self._offset = 0
        self._tokens = []
        self._woken_s = float("-inf")
        self._timer = None
        self._wake = asyncio.Event()

    def add_part(self, part):
        """Take a part (SendPart); parts come in order and without gaps."""
        if not self._tokens:
            self._offset = part.offset
        self._tokens.extend(part.tokens)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            due_s = max(self._woken_s + FLUSH_INTERVAL_S, loop.time())
            self._timer = loop.call_at(due_s, self._wake.set)

    def end(self, ending):
        """Take the final answer (FinishAnswer)."""
        self.ending = ending
        self._wake.set()

    async def wait(self):
        """Wait until there is something to write."""
        await self._wake.wait()
        self._wake.clear()
        self._woken_s = asyncio.get_running_loop().time()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def take_part(self):
        """Return the parts that are not written, as one `SendChunk`; forget them."""
        part = SendChunk("", self._offset, tuple(self._tokens))
        self._tokens = []
        return part


class EventWriter:
    """Writes an answer as server-sent events, from its first part on.

    Args:
        request (aiohttp.web.BaseRequest): The caller's request.
        request_id (str): Sent in a header.

    Attributes:
        response (StreamResponse): None until the first part or a whole answer.
    """

    def __init__(self, request, request_id):
        self.response = None
        self._request = request
        self._request_id = request_id
        self._sent = []

    async def write_part(self, part):
        """Write a part (SendPart), unless it is empty."""
        if part.tokens:
            await self._write(self._encode_part(part))

    async def finish(self, part, ending):
        """Write the last part (SendPart), the last event, and the end.

        Args:
            part (SendPart): Parts not written yet; may be empty.
            ending (FinishAnswer): The final answer. A kept answer holds tokens
                beyond the parts, which are written as well.
        """
        data = self._encode_part(part)
        offset = len(self._sent)
        data += self._encode_part(SendChunk("", offset, ending.tokens[offset:]))
        await self._write(data + make_end_event(ending, self._sent))
        await self.response.write_eof()

    def _encode_part(self, part):
        if not part.tokens:
            return b""
        self._sent.extend(part.tokens)
        return make_chunk_event(part)

    async def _write(self, data):
        # A caller that reads nothing must not hold its request for ever.
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
        await self.response.prepare(self._request)


def _require_method(request, method):
    if request.method != method:
        raise RequestError(Code.MALFORMED_REQUEST, f"the method must be {method}")


def _make_answer(request_id, ending):
    headers = {"Firworks-Request-Id": request_id}
    if ending.retry_after_s:
        headers["Retry-After"] = str(max(1, round(ending.retry_after_s)))
    return Response(
        status=ending.code.http_status,
        text=make_response_json(ending),
        content_type=JSON_TYPE,
        headers=headers,
    )


def _make_error(request, error):
    """Return the answer to a request that is refused before the kernel sees it."""
    # An earlier send of the same key may have run, as for refusals by the kernel.
    ran = RAN_UNKNOWN if is_resend(request) else RAN_NO
    response = Response(
        status=error.code.http_status,
        text=make_error_json(error.code, error.detail, ran),
        content_type=JSON_TYPE,
    )
    # What is left of a refused request's body is not read.
    response.force_close()
    return response


def register(registry):
    """Put the adapter into the registry."""
    registry.add("callers", "http", HttpCallers)
