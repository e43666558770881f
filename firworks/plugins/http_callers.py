"""The callers' interface: HTTP with JSON and server-sent events."""

import asyncio
import itertools

from aiohttp.web import Response, ServerRunner, StreamResponse, TCPSite

from firworks.adapter import Adapter
from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.callers import (
    CallerLeft,
    FinishAnswer,
    ResultAsked,
    SendPart,
)
from firworks.plugins.caller_answers import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    make_answer_text,
    make_end_event,
    make_error_text,
    make_part_event,
)
from firworks.plugins.caller_protocol import BoundedServer
from firworks.plugins.caller_requests import (
    PIPELINES_PATH,
    RESULTS_PATH,
    read_request,
    read_token,
)

WRITE_TIMEOUT_S = 10.0
SHUTDOWN_TIMEOUT_S = 5.0


class HttpCallers(Adapter):
    """Listens for callers.

    Attributes:
        port (int): The bound port, once started.
    """

    ACTIONS = (SendPart, FinishAnswer)

    def __init__(self, context):
        super().__init__(context)
        self._queues = {}
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
        queue = self._queues.get(action.request_id)
        if queue is not None:
            queue.put_nowait(action)

    async def _serve(self, request):
        request.protocol.begin_request()
        try:
            return await self._route(request)
        except RequestError as error:
            return _make_error(error.code, error.detail)
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
        event = ResultAsked(lookup_id, read_token(request), wanted)
        return await self._exchange(request, lookup_id, event)

    async def _exchange(self, request, request_id, event):
        """Feed a request to the kernel and write what it answers."""
        queue = asyncio.Queue()
        self._queues[request_id] = queue
        finished = False
        try:
            self.context.feed(event)
            wants_stream = EVENT_STREAM_TYPE in request.headers.get("Accept", "")
            writer = EventWriter(request, request_id) if wants_stream else None
            while not finished:
                action = await queue.get()
                finished = isinstance(action, FinishAnswer)
                if writer is not None:
                    await writer.write(action)
            if writer is not None and writer.response is not None:
                return writer.response
            return _make_answer(request_id, action)
        finally:
            del self._queues[request_id]
            if not finished:
                self.context.feed(CallerLeft(request_id))


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

    async def write(self, action):
        """Write a part (SendPart) or the last event (FinishAnswer).

        A request that fails before its first part is left to a plain answer, so
        that the HTTP status tells.
        """
        if isinstance(action, SendPart):
            await self._write(make_part_event(action))
            self._sent.extend(action.tokens)
            return
        if self.response is None and action.code.http_status >= 400:
            return
        await self._write_rest(action)
        await self._write(make_end_event(action, self._sent))
        await self.response.write_eof()

    async def _write_rest(self, ending):
        """Write what a kept answer holds beyond the parts that were sent."""
        offset = len(self._sent)
        rest = ending.tokens[offset:]
        if rest:
            await self._write(make_part_event(SendPart("", offset, rest)))
            self._sent.extend(rest)

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
        text=make_answer_text(ending),
        content_type=JSON_TYPE,
        headers=headers,
    )


def _make_error(code, detail):
    response = Response(
        status=code.http_status,
        text=make_error_text(code, detail),
        content_type=JSON_TYPE,
    )
    # What is left of a refused request's body is not read.
    response.force_close()
    return response


def register(registry):
    """Put the adapter into the registry."""
    registry.add("callers", "http", HttpCallers)
