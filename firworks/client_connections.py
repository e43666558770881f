"""HTTP client connections that take only complete and valid responses.

Load pattern: a faulty server resets a connection in the middle of a response that ends
with its connection, or sends a status that HTTP does not have.
"""

from functools import partial

from aiohttp import TCPConnector
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http_exceptions import HttpProcessingError

# Other statuses are invalid; source: RFC 9110, section 15.
MIN_STATUS = 100
MAX_STATUS = 599


class CheckedResponseHandler(ResponseHandler):
    """One HTTP connection of a client."""

    def feed_data(self, data, size=0):
        """Receive a response head and its payload from the parser."""
        if self.check_status(data[0].code):
            super().feed_data(data, size)

    def check_status(self, status):
        """Abort a response with an invalid status (int); return whether it is valid."""
        if MIN_STATUS <= status <= MAX_STATUS:
            return True
        self.abort_response(f"invalid status {status}")
        return False

    def abort_response(self, detail):
        """Close the connection, whose response is given up.

        Args:
            detail (str): The reason.
        """
        if self._payload is not None:
            set_exception(self._payload, ClientPayloadError(detail))
        self.set_exception(HttpProcessingError(code=0, message=detail))
        self.transport.abort()

    def connection_lost(self, exc):
        """Mark a response that was cut by a connection reset as incomplete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, ClientPayloadError(f"connection lost: {exc!r}"))
        super().connection_lost(exc)


def make_connector(**options):
    """Return a connector (TCPConnector) with `CheckedResponseHandler` connections.

    Args:
        **options: Of `TCPConnector`.
    """
    connector = TCPConnector(**options)
    # aiohttp has no public option for the class of the connections.
    connector._factory = partial(CheckedResponseHandler, loop=connector._loop)
    return connector
