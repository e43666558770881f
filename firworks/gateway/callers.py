"""The listener for callers."""

import asyncio

from aiohttp.web import Server

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.events import LogEvent, log_event, log_fault
from firworks.gateway.answers import ResponseAbortedError, make_error_response
from firworks.gateway.request_contexts import RequestContext
from firworks.kernel.forwarding.admission import admit, choose_service
from firworks.platform.headers import REQUEST_ID, read_request

# Well beyond the idle time that callers are granted, so that they close first.
IDLE_LIMIT_S = 90.0
HEADER_LIMIT_BYTES = 32_768
BODY_TIMEOUT_S = 10.0
BACKLOG = 1024


class CallersServer:
    """Accepts callers' connections and answers their requests.

    Args:
        gateway (Gateway): Serves the requests.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._server = None
        self._listener = None
        self.in_progress = 0

    async def start(self, address):
        """Listen on an "ip:port"."""
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._server = Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_LIMIT_S,
            lingering_time=0,
            auto_decompress=False,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
        )
        self._listener = await loop.create_server(
            self._server, host, int(port), backlog=BACKLOG
        )

    @property
    def port(self):
        """The bound port."""
        return self._listener.sockets[0].getsockname()[1]

    def stop_listening(self):
        """Take no new connections; those that are open stay."""
        self._listener.close()

    def close_idle(self):
        """Close the connections that wait for a request.

        Returns:
            bool: Whether none is left.
        """
        left = False
        for connection in self._server.connections:
            # A request that has been read ends this wait before its handler starts.
            waiter = connection._waiter
            if waiter is not None and not waiter.done():
                connection.force_close()
            elif connection.transport is not None:
                left = True
        return not left

    async def stop(self):
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
            await self._server.shutdown(0.1)

    async def _handle(self, http):
        self.in_progress += 1
        try:
            return await self._answer(http)
        except ResponseAbortedError as error:
            request_id = read_id(http)
            log_event(LogEvent.ANSWER_BROKEN_OFF, request=request_id, detail=str(error))
            if http.transport is not None:
                http.transport.abort()
            raise ConnectionResetError(str(error)) from error
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:
            return self._fail(http, error)
        finally:
            self.in_progress -= 1

    def _fail(self, http, error):
        """Answer a request that met a fault of the system's own."""
        request_id = read_id(http)
        log_fault(request_id, error)
        response = make_error_response(request_id, Code.INTERNAL, "internal error")
        response.force_close()
        return response

    async def _answer(self, http):
        gateway = self._gateway
        begun_s = gateway.clock()
        request_id = read_id(http)
        try:
            request = read_request(http.method, http.raw_path, http.headers)
            await gateway.catch_up()
            admitted = admit(request, gateway.configuration, begun_s)
            body = await self._read_body(http, gateway.configuration.limits)
        except RequestError as error:
            log_event(
                LogEvent.REQUEST_REFUSED,
                request=request_id,
                code=int(error.code),
                detail=error.detail,
            )
            response = make_error_response(request_id, error.code, error.detail)
            gateway.prepare_response(http, response)
            return response
        service = choose_service(admitted.route, gateway.rng)
        gateway.retry_budget.record_request(service, begun_s)
        ticket = RequestContext(http, admitted, service, body)
        response = await gateway.relay.serve(ticket)
        if not response.prepared:
            gateway.prepare_response(http, response)
        took_s = gateway.clock() - begun_s
        gateway.metrics.record_answer(admitted.route.name, response.status, took_s)
        log_event(
            LogEvent.REQUEST_ANSWERED,
            request=request_id,
            route=admitted.route.name,
            version=admitted.version,
            account="" if admitted.account is None else admitted.account.name,
            priority=admitted.priority,
            service=service,
            target=ticket.target_id,
            status=response.status,
            sends=ticket.progress.sends,
            stages_s=ticket.stages_s,
            first_s=ticket.first_s,
            took_s=round(took_s, 3),
        )
        return response

    async def _read_body(self, http, limits):
        """Return the body, or None when the caller sent none.

        Raises:
            RequestError: When it is too long or does not come.
        """
        if not http.body_exists and "Content-Length" not in http.headers:
            return None
        parts, size = [], 0
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                while part := await http.content.readany():
                    parts.append(part)
                    size += len(part)
                    if size > limits.body_bytes:
                        raise RequestError(Code.BODY_TOO_LARGE, f"over {size} bytes")
        except TimeoutError as error:
            raise RequestError(Code.REQUEST_TIMEOUT, "the body did not come") from error
        return b"".join(parts)


def read_id(http):
    """Return the id (str) that a caller gave its request; empty without one."""
    return http.headers.get(REQUEST_ID, "")
