"""Limits on the connections that peers open, before and after they are known."""

import logging
import time
from functools import partial

from websockets.asyncio.server import ServerConnection

from firworks.kernel.ingress.limits import ASSURED_BYTES
from firworks.plugins.peer_links import MESSAGE_LIMIT_BYTES

# Messages of the handshake have some 100 bytes.
HANDSHAKE_MESSAGE_BYTES = 4_096
# Peers connect within a second; the library waits for 10 s by default.
OPEN_TIMEOUT_S = 3.0
MAX_READ_BYTES = 65_536
# At most one line of the library's log in this time, as it writes one with a traceback
# for each failed handshake.
LOG_PERIOD_S = 5.0


class BoundedLog(logging.Filter):
    """Leaves out lines of a log that follow too soon, and counts them."""

    def __init__(self):
        super().__init__()
        self._due_s = 0.0
        self._left_out = 0

    def filter(self, record):
        """Return whether a line (LogRecord) is written."""
        now = time.monotonic()
        if now < self._due_s:
            self._left_out += 1
            return False
        if self._left_out:
            record.msg = f"{record.msg} ({self._left_out} lines left out)"
        self._due_s, self._left_out = now + LOG_PERIOD_S, 0
        return True


def make_library_log():
    """Return the logger of the WebSocket server, whose volume is bounded."""
    logger = logging.getLogger("firworks.peers")
    if not logger.filters:
        logger.addFilter(BoundedLog())
    return logger


class PeerListener:
    """Counts the connections that others have opened, and limits their number.

    Args:
        ingress (Ingress): Holds the limit, counts and logs what it ends.
    """

    def __init__(self, ingress):
        self._ingress = ingress
        self._open = {}
        self._unknown = {}

    @property
    def budget(self):
        """Counts the bytes held (IngressBudget)."""
        return self._ingress.budget

    def record(self, connection, reason):
        """Count and log a connection that a limit ends."""
        caller = connection.transport.get_extra_info("peername")
        self._ingress.record("peers", reason, caller)

    def release(self):
        """Let connections go on that wait for memory, as far as there is room."""
        self._ingress.release()

    def make_factory(self):
        """Return what creates connections for the WebSocket server."""
        return partial(PeerServerConnection, self)

    def admit(self, connection):
        """Count a new connection; close the oldest unknown one if there are too many.

        Args:
            connection (PeerServerConnection): It has not been authenticated.
        """
        self._open[connection] = self._unknown[connection] = None
        if len(self._open) > self._ingress.limits.max_peer_connections:
            closed = next(iter(self._unknown))
            self.record(closed, "connections")
            self.forget(closed)
            closed.transport.abort()

    def mark_known(self, connection):
        """Note that a connection is that of a peer."""
        self._unknown.pop(connection, None)
        connection.protocol.max_message_size = MESSAGE_LIMIT_BYTES

    def forget(self, connection):
        """Count a connection no longer."""
        self._open.pop(connection, None)
        self._unknown.pop(connection, None)


class PeerServerConnection(ServerConnection):
    """A connection that another process has opened.

    Args:
        listener (PeerListener): Limits their number.
        protocol (ServerProtocol): The protocol's state.
        *args: Of `ServerConnection`.
        **options: Likewise.
    """

    def __init__(self, listener, protocol, *args, **options):
        protocol.max_message_size = HANDSHAKE_MESSAGE_BYTES
        super().__init__(protocol, *args, **options)
        self._listener = listener
        self._held = 0

    def connection_made(self, transport):
        """Limit the bytes of one read and count the connection."""
        super().connection_made(transport)
        transport.max_size = MAX_READ_BYTES
        self._listener.budget.add(self, self.loop.time())
        self._listener.admit(self)

    def data_received(self, data):
        """Count what is held of a message that is not complete."""
        super().data_received(data)
        held = len(self.protocol.reader.buffer) + (self.protocol.current_size or 0)
        # Messages mostly come whole, and these cost nothing.
        if held > ASSURED_BYTES or self._held:
            self._held = held
            budget = self._listener.budget
            if not budget.resize(self, held, self.loop.time()):
                self.transport.pause_reading()
            elif not held:
                self._listener.release()

    def resume(self):
        """Go on reading, as the budget has room again."""
        if not self.recv_messages.paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def end_for_memory(self):
        """Give up what the connection holds, as memory is short."""
        self._listener.record(self, "memory")
        self.transport.abort()

    def connection_lost(self, exc):
        """Count the connection no longer."""
        self._listener.forget(self)
        self._listener.budget.remove(self)
        super().connection_lost(exc)
        self._listener.release()
