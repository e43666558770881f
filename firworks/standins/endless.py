"""Stand-in for a faulty server whose responses do not end."""

import asyncio

from firworks.standins.web import LOOPBACK

HEAD_END = b"\r\n\r\n"
WRITE_BYTES = 65_536
JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n["
JSON_FILLER = b'"0123456789",'


class EndlessServer:
    """Answers each request with bytes that are repeated until the peer closes.

    Args:
        begin (bytes): The first bytes of each response.
        filler (bytes): What is repeated after them.

    Attributes:
        address (str): "127.0.0.1:port", once started.
        sent_bytes (int): Bytes sent of all responses.
    """

    def __init__(self, begin=JSON_HEAD, filler=JSON_FILLER):
        self.address = ""
        self.sent_bytes = 0
        self._begin = begin
        self._filler = filler
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        """Open the listener."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await reader.readuntil(HEAD_END)
            async for size in send_endlessly(writer, self._begin, self._filler):
                self.sent_bytes += size
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer has closed the connection, or the stand-in stops
        finally:
            self._writers.discard(writer)
            writer.close()


async def send_endlessly(writer, begin, filler):
    """Write bytes until the peer closes the connection; yield the size of each write.

    Args:
        writer (StreamWriter): The connection.
        begin (bytes): Written once.
        filler (bytes): Repeated after it.
    """
    writer.write(begin)
    data = filler * (WRITE_BYTES // len(filler))
    while True:
        writer.write(data)
        await writer.drain()
        yield len(data)
        # The peer may run in this loop.
        await asyncio.sleep(0)
