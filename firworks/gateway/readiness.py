"""HTTP listeners for the platform's readiness probes and for metrics scrapes."""

from aiohttp.web import Response
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from firworks.gateway.callers import make_refusal
from firworks.platform.configuration import DEFAULT_LIMITS

READY_PATH = "/readyz"
METRICS_PATH = "/metrics"


class SinglePathServer:
    """An HTTP server that serves one path; others get status 404.

    Args:
        gateway (Gateway): The gateway whose state the responses report.
    """

    PATH = ""

    def __init__(self, gateway):
        self._gateway = gateway
        self._server = None
        self._listener = None

    async def start(self, address):
        """Listen on an "ip:port"."""
        host, port = address.rsplit(":", 1)
        self._server = self._gateway.ingress.make_server(
            self.PATH[1:], self._handle, make_refusal, lambda: DEFAULT_LIMITS
        )
        self._listener = await self._server.listen(host, int(port))

    @property
    def port(self):
        """The port on which the server listens (int)."""
        return self._listener.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
            await self._server.shutdown(0.1)

    def make_response(self):
        """Return the response (aiohttp.web.Response) to a request for the path."""
        raise NotImplementedError

    async def _handle(self, request):
        if request.path != self.PATH:
            return Response(status=404)
        request.protocol.mark_admitted()
        return self.make_response()


class ReadinessServer(SinglePathServer):
    """Tells the platform's balancer whether to send callers to this gateway."""

    PATH = READY_PATH

    def make_response(self):
        """Return status 200 while the gateway is ready, else 503."""
        return Response(status=200 if self._gateway.ready else 503)


class MetricsServer(SinglePathServer):
    """Serves the metrics in the Prometheus text format."""

    PATH = METRICS_PATH

    def make_response(self):
        """Update the gauges and return all metrics."""
        self._gateway.update_metrics()
        body = generate_latest(self._gateway.metrics.registry)
        return Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})
