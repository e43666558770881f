"""One daemon in a process of its own that reports what it spends.

Started by ``bench.fleet_processes``; prints a JSON line for each line of input.
"""

import asyncio
import json
import os
import socket
import struct
import sys
import time

from firworks.daemon import Daemon
from firworks.settings import load_settings

# Headers of a segment on the wire: Ethernet, IPv4, and TCP with timestamps.
SEGMENT_HEADER_BYTES = 14 + 20 + 32

# Fields of Linux's struct tcp_info: bytes acknowledged and received, segments.
TCP_INFO_OFFSET_BYTES = 120
TCP_INFO_FORMAT = "=QQII"


def measure_wire():
    """Return the bytes that all TCP sockets of the process carried so far."""
    total = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            if os.readlink(f"/proc/self/fd/{name}").startswith("socket:"):
                total += _measure_socket(int(name))
        except OSError:
            continue  # closed meanwhile, or not a TCP socket
    return total


def _measure_socket(number):
    with socket.socket(fileno=os.dup(number)) as copy:
        size = TCP_INFO_OFFSET_BYTES + struct.calcsize(TCP_INFO_FORMAT)
        info = copy.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    fields = struct.unpack_from(TCP_INFO_FORMAT, info, TCP_INFO_OFFSET_BYTES)
    acknowledged, received, segments_out, segments_in = fields
    headers = (segments_out + segments_in) * SEGMENT_HEADER_BYTES
    return acknowledged + received + headers


def report(daemon):
    """Return the figures (dict) of the process so far."""
    peers = daemon.adapters["peers", "websocket"]
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return {
        "at_s": time.monotonic(),
        "core_s": time.process_time(),
        "memory_bytes": pages * os.sysconf("SC_PAGE_SIZE"),
        "messages": peers.sent_messages + peers.received_messages,
        "payload_bytes": peers.sent_bytes + peers.received_bytes,
        "wire_bytes": measure_wire(),
        "alive": len(daemon.parts.membership.list_alive()),
        "ready": daemon.ready,
    }


async def run(path):
    """Run a daemon until the input ends."""
    daemon = Daemon(load_settings(path))
    await daemon.start()
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(report(daemon)), flush=True)
    await daemon.stop()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))
