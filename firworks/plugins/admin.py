"""HTTP admin listener: liveness, readiness, metrics, status, burn, ledger, drain."""

import hmac
import ipaddress
import time

from aiohttp import web
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from firworks.admin import RESOLUTION_RAN, RESOLUTIONS
from firworks.burn_json import pack_struct
from firworks.codes import Code
from firworks.errors import FirworksError, RequestError
from firworks.events import LogEvent, log_event
from firworks.ingress import Ingress, start_site
from firworks.kernel.ledger.claims import WorkKey
from firworks.platform.configuration import DEFAULT_LIMITS

MAX_BODY_BYTES = 1_048_576
SHUTDOWN_TIMEOUT_S = 1.0
UNAVAILABLE = 503
RETRY_AFTER_S = 1

# Served without the admin secret, for load balancers and metric collectors.
UNAUTHENTICATED_PATHS = frozenset({"/live", "/ready", "/metrics"})


class HttpAdmin:
    """Serves operators on a listener separate from that of callers.

    Args:
        settings (Settings): ``admin`` and ``admin_secret`` are used.
        view (AdminView): Gives access to the daemon.
        ingress (Ingress or None): Limits what connections occupy; None for its own.

    Attributes:
        port (int): The bound port, once started.
    """

    def __init__(self, settings, view, ingress=None):
        self._host, port = settings.admin.rsplit(":", 1)
        self.port = int(port)
        self._secret = settings.admin_secret
        self._view = view
        self._ingress = ingress or Ingress(settings)
        self._runner = None

    async def start(self):
        """Open the listener.

        Raises:
            OSError: When the address cannot be bound.
        """
        app = web.Application(
            middlewares=[self._handle_errors, self._authorize],
            client_max_size=MAX_BODY_BYTES,
        )
        app.add_routes(self._routes())
        server = self._ingress.make_server(
            "admin",
            app._handle,
            _make_error_response,
            lambda: DEFAULT_LIMITS,
            request_factory=app._make_request,
        )
        self._ingress.start()
        self._runner = AdminRunner(
            app, server, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        self.port = await start_site(self._runner, self._host, self.port)

    async def stop(self):
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
            self._ingress.stop()

    def _routes(self):
        return [
            web.get("/live", self._get_live),
            web.get("/ready", self._get_ready),
            web.get("/metrics", self._get_metrics),
            web.get("/burn", self._get_burn),
            web.get("/status", self._get_status),
            web.get("/ledger", self._get_ledger),
            web.post("/ledger/resolve", self._post_resolve),
            web.post("/drain", self._post_drain),
        ]

    @web.middleware
    async def _handle_errors(self, request, handler):
        try:
            return await handler(request)
        except FirworksError as error:
            return _make_error_response(error.code, str(error))
        except web.HTTPException as error:
            code = _CODES_BY_STATUS.get(error.status, Code.USAGE)
            return _make_error_response(code, error.reason, error.status)
        except Exception as error:  # a failed request must not stop the listener
            log_event(LogEvent.ADMIN_FAILED, path=request.path, error=repr(error))
            return _make_error_response(Code.INTERNAL, "see the daemon's log")

    @web.middleware
    async def _authorize(self, request, handler):
        if request.path not in UNAUTHENTICATED_PATHS:
            self._check_secret(request)
        request.protocol.mark_admitted()
        return await handler(request)

    def _check_secret(self, request):
        if self._secret:
            given = request.headers.get("Authorization", "").encode()
            expected = f"Bearer {self._secret}".encode()
            if not hmac.compare_digest(given, expected):
                raise RequestError(Code.UNAUTHENTICATED, "invalid admin secret")
        elif not ipaddress.ip_address(self._host).is_loopback:
            detail = "this path needs admin_secret unless the listener is on loopback"
            raise RequestError(Code.FORBIDDEN, detail)

    async def _get_live(self, request):
        return web.json_response({"live": True})

    async def _get_ready(self, request):
        ready = self._view.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _get_metrics(self, request):
        status = self._view.status()
        metrics = self._view.metrics
        metrics.set_state(status.ready, status.in_progress, status.version)
        return web.Response(
            body=generate_latest(metrics.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def _get_burn(self, request):
        snapshot = self._view.burn.take_snapshot(time.time())
        return web.json_response(pack_struct(snapshot))

    async def _get_status(self, request):
        return web.json_response(pack_struct(self._view.status()))

    async def _get_ledger(self, request):
        status = await self._view.look_up_key(_read_key(request.query))
        return web.json_response(pack_struct(status))

    async def _post_resolve(self, request):
        body = await _read_json(request)
        key = _read_key(body)
        resolution = _read_string(body, "resolution")
        if resolution not in RESOLUTIONS:
            allowed = ", ".join(RESOLUTIONS)
            detail = f"unknown resolution {resolution!r}; allowed: {allowed}"
            raise RequestError(Code.USAGE, detail)
        answer = _read_string(body, "answer") if resolution == RESOLUTION_RAN else ""
        status = await self._view.resolve_key(key, resolution, answer)
        log_event(
            LogEvent.KEY_RESOLVED,
            account=key.account,
            service=key.service,
            key=key.key,
            resolution=resolution,
        )
        return web.json_response(pack_struct(status))

    async def _post_drain(self, request):
        log_event(LogEvent.DRAIN_REQUESTED, remote=request.remote)
        self._view.start_drain()
        return web.json_response({"draining": True}, status=202)


class AdminRunner(web.AppRunner):
    """Runs an application with an `IngressServer`.

    Args:
        app (Application): The application.
        server (IngressServer): Handles requests with the application.
        **options: Of `AppRunner`.
    """

    __slots__ = ("_ingress_server",)

    def __init__(self, app, server, **options):
        super().__init__(app, **options)
        self._ingress_server = server

    async def _make_server(self):
        await super()._make_server()
        return self._ingress_server


_CODES_BY_STATUS = {413: Code.BODY_TOO_LARGE}


def _make_error_response(code, detail, status=None):
    body = {"code": int(code), "name": code.name, "detail": detail}
    status = status or code.http_status
    headers = {"Retry-After": str(RETRY_AFTER_S)} if status == UNAVAILABLE else None
    return web.json_response(body, status=status, headers=headers)


async def _read_json(request):
    try:
        body = await request.json()
    except ValueError as error:
        raise RequestError(Code.USAGE, f"body is not valid JSON: {error}") from error
    if not isinstance(body, dict):
        raise RequestError(Code.USAGE, "body must be a JSON object")
    return body


def _read_key(body):
    return WorkKey(*(_read_string(body, name) for name in WorkKey.fields()))


def _read_string(body, name):
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise RequestError(Code.USAGE, f"{name} is missing, empty or not a string")
    return value
