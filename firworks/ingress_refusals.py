"""HTTP connections on which callers get refusals before the connections close."""

import asyncio
from contextlib import suppress

from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import HttpRequestParser
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.events import log_exception

# Reading pauses while twice as much of a body is unread.
READ_BUFFER_BYTES = 32_768
# How long, and how much, a caller may go on sending after its response, so that it
# reads the response instead of a reset.
LINGER_S = 2.0
LINGER_BYTES = 16_777_216


class RefusingConnection(RequestHandler):
    """An HTTP connection that may refuse what it receives.

    Args:
        server (IngressServer): The listener that it belongs to.
        **options: Of aiohttp's `RequestHandler`.
    """

    def __init__(self, server, *, auto_decompress=True, **options):
        super().__init__(server, read_bufsize=READ_BUFFER_BYTES, **options)
        self._listener = server
        # Nothing more is parsed; reading is paused by us.
        self._refused = self._held_back = False
        self._discarded, self._lingering = 0, None
        self._limit_messages(server.ingress.limits.max_pipelined, auto_decompress)

    def _limit_messages(self, count, auto_decompress):
        """Read only this many requests ahead; aiohttp's own limit is no argument."""
        self._max_msg_queue_size = count
        self._msg_queue_resume_size = count // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=auto_decompress,
            max_msg_queue_size=count,
        )

    def _hold_back(self):
        self._held_back = True
        self._pause_transport_reading()

    def _resume_transport_reading(self):
        if not self._held_back:
            super()._resume_transport_reading()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to what is no request, or to a failed handler.

        Raises:
            ConnectionError: When part of a response has already been sent.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        if isinstance(exc, RequestError):
            code, detail = exc.code, exc.detail
        elif status < 500:
            code, detail, _ = explain_error(exc)
        else:
            code, detail = Code.INTERNAL, "internal error"
            log_exception("", exc)
        response = self._listener.make_refusal(code, detail)
        response.force_close()
        # aiohttp answers what is no request as HTTP/1.0, where that is implied.
        response.headers["Connection"] = "close"
        return response

    async def finish_response(self, request, resp, start_time):
        """Send a response; if the request goes on, let its caller read the response."""
        if self._upgraded:
            # What follows is of another protocol, which is not spoken here.
            self._refused, self._message_tail = True, b""
        refused = self._refused and not self._messages
        unread = refused or not request.content.is_eof()
        if unread and resp is not None and not resp.prepared:
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        if unread and not result[1]:
            await self._linger()
        return result

    async def _linger(self):
        """Discard what the caller still sends, for a limited time and number of bytes.

        A close with unread bytes is a reset, which may overtake the response.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._refused, self._held_back = True, False
        self._lingering = self._loop.create_future()
        with suppress(OSError):  # the caller may have gone
            self.transport.write_eof()
        super()._resume_transport_reading()
        with suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self._lingering

    def _discard(self, size):
        self._discarded += size
        lingering = self._lingering
        if lingering is None or self._discarded <= LINGER_BYTES:
            return
        if not lingering.done():
            lingering.set_result(None)


def explain_error(error):
    """Return code, detail and reason of an error of the HTTP parser."""
    detail = "the request is not valid HTTP"
    # aiohttp has no class of its own for too many fields.
    if isinstance(error, LineTooLong) or "Too many headers" in str(error):
        return Code.HEADERS_TOO_LARGE, detail, "head"
    return Code.MALFORMED_REQUEST, detail, "malformed"
