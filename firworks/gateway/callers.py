"""HTTP server that accepts requests from callers."""

import asyncio
from math import inf

from aiohttp import HttpVersion11

from firworks.bodies import read_request_body
from firworks.codes import Code
from firworks.errors import RequestError
from firworks.events import LogEvent, log_event, log_exception
from firworks.gateway.answers import (
    SERVER_NAME,
    ResponseAbortedError,
    make_error_response,
)
from firworks.gateway.request_contexts import RequestContext
from firworks.kernel.forwarding.admission import admit, choose_service
from firworks.kernel.ingress.limits import ASSURED_BYTES
from firworks.platform.configuration import DEFAULT_LIMITS
from firworks.platform.headers import REQUEST_ID, read_request
from firworks.sockets import reset_on_close

# Far above the idle time granted to callers, so that callers close first.
IDLE_TIMEOUT_S = 90.0
MAX_HEADER_LINE_BYTES = 32_768


class CallersServer:
    """Accepts connections from callers and responds to their requests.

    Args:
        gateway (Gateway): Handles the requests.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._server = None
        self._listener = None
        self.in_progress = 0

    async def start(self, address):
        """Listen on an "ip:port"."""
        host, port = address.rsplit(":", 1)
        ingress = self._gateway.ingress
        self._server = ingress.make_server(
            "callers",
            self._handle,
            make_refusal,
            self._get_limits,
            max_connections=ingress.limits.max_connections,
            max_unused=ingress.limits.max_unused_connections,
            keepalive_timeout=IDLE_TIMEOUT_S,
            auto_decompress=False,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )
        self._listener = await self._server.listen(host, int(port))

    def _get_limits(self):
        configuration = self._gateway.configuration
        return DEFAULT_LIMITS if configuration is None else configuration.limits

    @property
    def port(self):
        """Port number that the listener is bound to."""
        return self._listener.sockets[0].getsockname()[1]

    @property
    def connected(self):
        """Whether any connection is open."""
        return any(each.transport is not None for each in self._server.connections)

    def stop_listening(self):
        """Stop accepting connections; established ones stay open."""
        self._listener.close()

    def close_idle(self):
        """Close the connections without a request in progress."""
        for connection in self._server.connections:
            close_if_idle(connection)

    def prepare_response(self, http, response):
        """Set the common headers of a response to a caller.

        While the gateway drains, the response is also the last one of its connection,
        unless a further request was read there.
        """
        response.headers.setdefault("Server", SERVER_NAME)
        if self._gateway.shutdown.begun and not has_further_request(http):
            response.force_close()

    async def stop(self):
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
            await self._server.shutdown(0.1)

    async def _handle(self, http):
        self.in_progress += 1
        try:
            return await self._respond(http)
        except ResponseAbortedError as error:
            request_id = read_request_id(http)
            log_event(LogEvent.ANSWER_BROKEN_OFF, request=request_id, detail=str(error))
            if http.transport is not None:
                # A caller of HTTP/1.0 takes a plain close for the end of the response.
                if http.version < HttpVersion11:
                    reset_on_close(http.transport)
                http.transport.abort()
            raise ConnectionResetError(str(error)) from error
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            return self._respond_internal_error(http, error)
        finally:
            self.in_progress -= 1
            self._schedule_close(http.protocol)

    def _schedule_close(self, connection):
        """While the gateway drains, close a connection unless it is used again.

        The response may have begun before the drain, without ``Connection: close``.
        """
        shutdown = self._gateway.shutdown
        if shutdown.begun:
            now = self._gateway.clock()
            delay_s = shutdown.plan.compute_close_s(now) - now
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, close_if_idle, connection)

    def _respond_internal_error(self, http, error):
        """Log an unexpected exception and return a response with Code.INTERNAL."""
        request_id = read_request_id(http)
        log_exception(request_id, error)
        response = make_error_response(request_id, Code.INTERNAL, "internal error")
        response.force_close()
        return response

    async def _respond(self, http):
        gateway = self._gateway
        started_s = gateway.clock()
        request_id = read_request_id(http)
        try:
            request = read_request(http.method, http.raw_path, http.headers)
            await gateway.catch_up()
            admitted = admit(request, gateway.configuration, started_s)
            http.protocol.mark_admitted()
            body = await self._read_body(http, gateway.configuration.limits)
            gateway.shutdown.check(admitted)
        except RequestError as error:
            log_event(
                LogEvent.REQUEST_REFUSED,
                request=request_id,
                code=int(error.code),
                detail=error.detail,
            )
            response = make_error_response(request_id, error.code, error.detail)
            self.prepare_response(http, response)
            return response
        held_again = len(body) if body and len(body) > ASSURED_BYTES else 0
        http.protocol.mark_running(held_again)
        drawn_by = request.resumed_id or request.request_id
        service = choose_service(admitted.route, drawn_by)
        gateway.retry_budget.record_request(service, started_s)
        context = RequestContext(http, admitted, service, body)
        response = await gateway.relay.serve(context)
        if not response.prepared:
            self.prepare_response(http, response)
        took_s = gateway.clock() - started_s
        if response.status < 400:
            gateway.shutdown.durations.record(admitted.route.name, took_s)
        gateway.metrics.record_answer(admitted.route.name, response.status, took_s)
        log_event(
            LogEvent.REQUEST_ANSWERED,
            request=request_id,
            route=admitted.route.name,
            version=admitted.version,
            account="" if admitted.account is None else admitted.account.name,
            priority=admitted.priority,
            service=context.service,
            target=context.target_id,
            software=context.software,
            begun_as=request.begun_as,
            after_event=request.last_event_id,
            status=response.status,
            sends=context.progress.sends,
            stages_s=context.stages_s,
            first_s=context.first_s,
            took_s=round(took_s, 3),
        )
        return response

    async def _read_body(self, http, limits):
        """Return the request body (bytes), or None when the caller sent none.

        Raises:
            RequestError: When it is too large or not received in time.
        """
        if not http.body_exists and "Content-Length" not in http.headers:
            return None
        try:
            # Its connection ends a body that is too slow; this is for drains.
            async with self._gateway.shutdown.deadlines.limit(inf):
                return await read_request_body(http, limits.body_bytes)
        except TimeoutError as error:
            raise RequestError(
                Code.REQUEST_TIMEOUT, "body not received in time"
            ) from error


def make_refusal(code, detail):
    """Return the response to what is refused before it is known as a request."""
    return make_error_response("", code, detail)


def close_if_idle(connection):
    """Close a connection (RequestHandler) that waits for a request."""
    # aiohttp ends this wait on reading a request, before the handler runs.
    waiter = connection._waiter
    if waiter is not None and not waiter.done():
        connection.force_close()


def has_further_request(http):
    """Return whether a further request was read on a request's connection."""
    return http.protocol is not None and bool(http.protocol._messages)


def read_request_id(http):
    """Return the request id (str) set by the caller; empty when it set none."""
    return http.headers.get(REQUEST_ID, "")
