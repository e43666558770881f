"""Socket options of long-lived connections."""

import socket

# A peer that acknowledges nothing for this long is taken as gone.
USER_TIMEOUT_S = 3.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(sock):
    """Make the kernel end a connection whose other end acknowledges nothing.

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
    """Return a new socket with these options, for an aiohttp connector."""
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family, kind, protocol)
    enable_dead_peer_detection(sock)
    return sock
