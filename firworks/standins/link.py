"""TCP forwarder whose connections can stop transmitting."""

import asyncio

from firworks.standins.web import LOOPBACK

CHUNK_BYTES = 65_536


class Link:
    """Forwards TCP connections to an address.

    Args:
        address (str): "ip:port" to forward to.

    Attributes:
        address (str): "ip:port" to connect to, once started.
        opened (int): Connections opened so far.
    """

    def __init__(self, address):
        self.address = ""
        self.opened = 0
        self._far = address
        self._server = None
        self._connections = []

    async def start(self):
        """Open the listener."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        for connection in self._connections:
            connection.close()

    def silence(self):
        """Stop forwarding on the open connections; new ones work."""
        for connection in self._connections:
            connection.silent = True

    async def _accept(self, reader, writer):
        host, port = self._far.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self.opened += 1
        connection = Connection(writer, far_writer)
        self._connections.append(connection)
        forward = connection.forward
        await asyncio.gather(forward(reader, far_writer), forward(far_reader, writer))
        connection.close()


class Connection:
    """One forwarded connection.

    Args:
        near (asyncio.StreamWriter): Connection from the client.
        far (asyncio.StreamWriter): Connection to the server.

    Attributes:
        silent (bool): Bytes are discarded and closes are not forwarded.
    """

    def __init__(self, near, far):
        self.silent = False
        self._near = near
        self._far = far

    def close(self):
        """Close both connections."""
        self._near.close()
        self._far.close()

    async def forward(self, reader, writer):
        """Forward bytes until the end of the stream or a reset."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not self.silent:
                    writer.write(data)
            if not self.silent:
                writer.write_eof()
        except (OSError, RuntimeError):
            if not self.silent:
                writer.close()
