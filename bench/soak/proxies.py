"""A loopback proxy that harms what passes through it."""

import asyncio
import socket
import struct

from firworks.standins.web import LOOPBACK

CHUNK_BYTES = 65_536
DELAYED = "delayed"
RESET = "reset"
CUT_UP = "cut towards the server"
CUT_DOWN = "cut towards the client"
SILENT = "silenced"
FAULTS = (DELAYED, RESET, CUT_UP, CUT_DOWN, SILENT)
DELAY_S = 0.2
POLL_S = 0.05
# A socket that is closed with it resets its connection.
NO_LINGER = struct.pack("ii", 1, 0)


class LoopbackProxy:
    """Passes connections on to one address.

    Args:
        address (str): "ip:port" of the server behind it.

    Attributes:
        address (str): Its own "ip:port", once started.
    """

    def __init__(self, address):
        self.address = ""
        self._server_address = address
        self._fault = ""
        self._listener = None
        self._links = set()

    async def start(self):
        """Open the listener."""
        self._listener = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    async def stop(self):
        """Close everything."""
        self._listener.close()
        for link in list(self._links):
            link.abort()

    def set_fault(self, fault):
        """Harm connections from now on, or heal ("").

        A silenced connection stays so for good; those that are opened after the fault
        has ended work.
        """
        self._fault = fault
        for link in list(self._links):
            if fault == RESET:
                link.reset()
            elif fault == SILENT:
                link.silent = True

    async def _serve(self, reader, writer):
        if self._fault == RESET:
            reset(writer)
            return
        host, port = self._server_address.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, far_writer, self._fault == SILENT)
        self._links.add(link)
        try:
            await gather_quietly(
                self._pump(link, reader, far_writer, CUT_UP),
                self._pump(link, far_reader, writer, CUT_DOWN),
            )
        finally:
            self._links.discard(link)
            link.abort()

    async def _pump(self, link, reader, writer, cut):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._fault == DELAYED:
                    await asyncio.sleep(DELAY_S)
                await self._wait_uncut(cut)
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
            await self._wait_uncut(cut)
            if not link.silent:
                writer.write_eof()
        except ConnectionResetError:
            # An orderly close may be the end of a response.
            link.reset()
        except OSError:
            link.abort()

    async def _wait_uncut(self, cut):
        """Hold data back during a cut: what was lost is sent again after it."""
        while self._fault == cut:
            await asyncio.sleep(POLL_S)


class _Link:
    """The two halves of one connection."""

    def __init__(self, writer, far_writer, silent):
        self.silent = silent
        self._writers = (writer, far_writer)

    def abort(self):
        for writer in self._writers:
            writer.transport.abort()

    def reset(self):
        for writer in self._writers:
            reset(writer)


async def gather_quietly(*pumps):
    """Run both directions of a connection; a stop of the proxy ends them."""
    try:
        await asyncio.gather(*pumps)
    except asyncio.CancelledError:
        return


def reset(writer):
    """Reset the connection of a `StreamWriter`."""
    one = writer.get_extra_info("socket")
    if one is not None and one.fileno() >= 0:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
