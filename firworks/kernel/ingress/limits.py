"""Limits of what callers' connections may occupy, derived from a VM's size.

Load pattern: callers keep bodies open, send without an end, open connections without
use, or don't read. Each stays within its own limits, and all together exhaust the
memory or the descriptors of a small VM.
"""

from firworks.kernel.messages import Struct

MEGABYTE = 1_000_000
# A gateway uses 50 MB at rest; the rest is for schedulers, targets and peers.
RESERVED_MB = 72
# A body is held twice for a moment while its parts are joined, and while it is written
# to a target, so that half of the memory is granted.
HELD_SHARE = 0.5
# Holds a joined body of 4 MiB that is being written, and the next one.
MIN_BUDGET_BYTES = 16_777_216
# Of each connection, so much is granted at any time; an ordinary request without a
# large body takes less.
ASSURED_BYTES = 32_768
# What a connection takes without any request.
CONNECTION_BYTES = 20_000
# Descriptors for files, which `max_descriptors` includes.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors. The rest is for targets, the store, and connections
# to peers. Each gateway has one connection from each other one, of up to 330, also on
# VMs with 1,535 descriptors.
CALLERS_SHARE = 0.32
PEERS_SHARE = 0.28
MIN_CONNECTIONS = 32
# Connections of the listeners for probes and scrapes, of which a few are in use.
PROBE_CONNECTIONS = 32
# Connections that have not sent an admitted request yet, of all callers' connections.
# Callers may open some hundred in advance.
UNUSED_SHARE = 0.75


class IngressLimits(Struct):
    """The checked limits of a process.

    Attributes:
        budget_bytes (int): Bytes held for all callers and targets together.
        max_connections (int): Connections of callers.
        max_unused_connections (int): Those of them that have not sent an admitted
            request yet.
        max_peer_connections (int): Connections that peers have opened.
        max_probe_connections (int): Connections of each listener for probes, scrapes
            or operators.
        max_pipelined (int): Requests of one connection that are read ahead.
        max_fields (int): Header fields of one request.
        min_body_bytes_per_s (int): Rate at which a body must arrive.
        body_grace_s (float): Seconds for which a body may fall short of that rate.
        write_stall_s (float): Seconds for which a caller may read nothing of what was
            written to it.
    """

    __slots__ = (
        "budget_bytes",
        "max_connections",
        "max_unused_connections",
        "max_peer_connections",
        "max_probe_connections",
        "max_pipelined",
        "max_fields",
        "min_body_bytes_per_s",
        "body_grace_s",
        "write_stall_s",
    )


def make_limits(settings, descriptors):
    """Return the `IngressLimits` that follow from settings.

    Args:
        settings (GatewaySettings or Settings): Of the process.
        descriptors (int): Limit of the operating system for this process.
    """
    descriptors = min(settings.max_descriptors, descriptors) - FILE_DESCRIPTORS
    connections = settings.max_caller_connections or max(
        MIN_CONNECTIONS, int(CALLERS_SHARE * descriptors)
    )
    unused = settings.max_unused_connections or int(UNUSED_SHARE * connections)
    return IngressLimits(
        compute_budget_bytes(settings.memory_mb),
        connections,
        min(unused, connections),
        max(MIN_CONNECTIONS, int(PEERS_SHARE * descriptors)),
        PROBE_CONNECTIONS,
        settings.max_pipelined_requests,
        settings.max_header_fields,
        settings.min_body_bytes_per_s,
        settings.body_grace_s,
        settings.write_stall_s,
    )


def compute_budget_bytes(memory_mb):
    """Return the budget (int) of a VM with some memory in MB."""
    granted = int(HELD_SHARE * (memory_mb - RESERVED_MB) * MEGABYTE)
    return max(MIN_BUDGET_BYTES, granted)
