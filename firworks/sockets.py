"""Socket options of long-lived connections."""

import socket
import struct

# A connection is closed when data or probes stay unacknowledged for this long.
USER_TIMEOUT_S = 3.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
_LINGER_ZERO = struct.pack("ii", 1, 0)


def enable_dead_peer_detection(sock):
    """Let the OS close a connection whose remote end stops acknowledging.

    Also disables Nagle's algorithm.

    Args:
        sock (socket.socket): A TCP socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    timeout_ms = int(USER_TIMEOUT_S * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def open_socket(address_info):
    """Return a new socket with dead-peer detection, for an aiohttp connector."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    enable_dead_peer_detection(sock)
    return sock


def reset_on_close(transport):
    """Make the close of a connection a reset, which the peer takes for a failure.

    Args:
        transport (asyncio.Transport): The connection; data not sent yet is discarded.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
