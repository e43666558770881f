"""HTTP listeners for the platform's readiness probes and for metrics scrapes."""

import asyncio

from aiohttp.web import Response, Server
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

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
        loop = asyncio.get_running_loop()
        self._server = Server(self._handle, access_log=None)
        self._listener = await loop.create_server(self._server, host, int(port))

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
        return (
            self.make_response() if request.path == self.PATH else Response(status=404)
        )


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
