"""HTTP server protocol with a time limit on heads and errors as numbered codes."""

import asyncio

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import Response, Server
from aiohttp.web_protocol import RequestHandler

from firworks.bodies import JSON_TYPE
from firworks.codes import Code
from firworks.plugins.caller_responses import make_error_json

# How long the rest of a rejected body is read before the connection is closed.
LINGER_TIMEOUT_S = 1.0


class BoundedRequestHandler(RequestHandler):
    """Closes a connection whose request head does not arrive in time.

    Args:
        head_timeout_s (float): Time limit in seconds, from the first byte of a head
            (on a new connection: from its opening) to the end of the head.
    """

    def __init__(self, *args, head_timeout_s, **kwargs):
        super().__init__(*args, **kwargs)
        self._head_timeout_s = head_timeout_s
        self._head_timer = None
        self._in_request = False

    def connection_made(self, transport):
        """Start the timer for the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def data_received(self, data):
        """Parse received bytes; the first byte of a head starts its timer."""
        if self._head_timer is None and not self._in_request:
            self._start_head_timer()
        super().data_received(data)

    def connection_lost(self, exc):
        """Cancel the timer."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def begin_request(self):
        """Mark the request head as complete and cancel its timer."""
        self._in_request = True
        self._cancel_head_timer()

    def end_request(self):
        """Let the next received byte start the timer of the next head."""
        self._in_request = False

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the error response to a malformed request or a failed handler.

        Raises:
            ConnectionError: When part of a response has already been sent.
        """
        code = Code.INTERNAL if status >= 500 else Code.MALFORMED_REQUEST
        if isinstance(exc, LineTooLong):
            code = Code.HEADERS_TOO_LARGE
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        text = make_error_json(code, "the request is not valid HTTP")
        response = Response(status=code.http_status, text=text, content_type=JSON_TYPE)
        response.force_close()
        return response

    def _start_head_timer(self):
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(self._head_timeout_s, self._expire_head)

    def _cancel_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _expire_head(self):
        self._head_timer = None
        if self.transport is not None:
            self.transport.abort()


class BoundedServer(Server):
    """Creates a `BoundedRequestHandler` for each connection.

    Args:
        handler (callable): Coroutine that handles one request and returns its response.
        head_timeout_s (float): Time limit in seconds on receiving a request head.
        **limits: Size limits of the HTTP parser.
    """

    def __init__(self, handler, *, head_timeout_s, **limits):
        super().__init__(handler, handler_cancellation=True)
        self._head_timeout_s = head_timeout_s
        self._limits = limits

    def __call__(self):
        """Return the protocol instance for a new connection."""
        return BoundedRequestHandler(
            self,
            loop=asyncio.get_running_loop(),
            head_timeout_s=self._head_timeout_s,
            access_log=None,
            lingering_time=LINGER_TIMEOUT_S,
            **self._limits,
        )
