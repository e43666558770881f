"""Decoders of the registry entries and identities of targets."""

from firworks.errors import CodecError
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.liveness import Identity
from firworks.platform.fields import get_number, get_string, parse_object

STATES = ("ready", "draining")
MAX_PORT = 65_535
# Engines and stage targets report their load and start time here.
REPORT_PATH = "/report"
MISDIRECTED = 421


def decode_target(target_id, data):
    """Return the `Target` encoded in a registry entry.

    Args:
        target_id (str): Key of the entry; the value does not repeat it.
        data (bytes): Value of the entry.

    Raises:
        CodecError: When a required field is missing, a field has the wrong type or
            the state is unknown.
    """
    fields = parse_object(data)
    state = get_string(fields, "state")
    if state not in STATES:
        raise CodecError(f"state: {state!r} is not one of {STATES}")
    address = get_string(fields, "address")
    _check_address(address)
    born = fields.get("born", 0)
    if type(born) is not int:
        raise CodecError(f"born: {born!r} is not an integer")
    slots = get_number(fields, "slots", 1)
    return Target(
        target_id=target_id,
        service=get_string(fields, "service"),
        address=address,
        failure_domain=get_string(fields, "zone"),
        version=get_string(fields, "version") if "version" in fields else "",
        slots=max(1, int(slots)),
        leaving=state == "draining",
        born_ms=born,
        cold_s=max(0.0, get_number(fields, "cold-left-ms", 0) / 1000),
    )


def decode_identity(status, headers, body):
    """Return the `Identity` in the response to a report or health check request.

    Args:
        status (int): HTTP status of the response.
        headers (mapping): Response headers with case-insensitive names.
        body (bytes): A JSON object, with the start time if it is a report; or empty.

    Raises:
        CodecError: When the body is not a JSON object.
    """
    born = parse_object(body or b"{}").get("born")
    return Identity(
        target_id=headers.get("X-Instance-Id"),
        born_ms=born if type(born) is int else None,
        misdirected=status == MISDIRECTED,
    )


def _check_address(address):
    host, _, port = address.rpartition(":")
    parts = host.split(".")
    numbers = [*parts, port]
    if len(parts) != 4 or not all(part.isdecimal() for part in numbers):
        raise CodecError(f"address: {address!r} is not an IPv4 address and port")
    if max(map(int, parts)) > 255 or not 0 < int(port) <= MAX_PORT:
        raise CodecError(f"address: {address!r} is not an IPv4 address and port")
