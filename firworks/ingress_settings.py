"""Settings, of gateways and daemons, that limit what callers occupy."""

_COUNT = {"type": "integer", "minimum": 1}
_COUNT_OR_DERIVED = {"type": "integer", "minimum": 0}
_SECONDS = {"type": "number", "exclusiveMinimum": 0}

# Of a limit of connections, 0 means that it follows from `max_descriptors`.
INGRESS_DEFAULTS = {
    "memory_mb": 512,
    "max_descriptors": 4096,
    "max_caller_connections": 0,
    "max_unused_connections": 0,
    "max_pipelined_requests": 32,
    # Callers send some 20. Parsed, each takes up to 400 bytes, also on connections
    # whose heads are not complete.
    "max_header_fields": 256,
    "min_body_bytes_per_s": 4096,
    "body_grace_s": 10.0,
    "write_stall_s": 30.0,
}

INGRESS_SCHEMA = {
    "memory_mb": _COUNT,
    "max_descriptors": _COUNT,
    "max_caller_connections": _COUNT_OR_DERIVED,
    "max_unused_connections": _COUNT_OR_DERIVED,
    "max_pipelined_requests": _COUNT,
    "max_header_fields": _COUNT,
    "min_body_bytes_per_s": _COUNT,
    "body_grace_s": _SECONDS,
    "write_stall_s": _SECONDS,
}
