"""Decoders of the registry entries and identities of targets."""

from firworks.decoding import describe_value, parse_integer
from firworks.errors import CodecError
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.liveness import Identity
from firworks.platform.fields import (
    get_integer,
    get_number,
    get_string,
    parse_object,
)

STATES = ("ready", "draining")
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
# A target is cold for some seconds after its start.
MAX_COLD_MS = 3_600_000.0
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
        raise CodecError(f"state: {describe_value(state)} is not one of {STATES}")
    address = get_string(fields, "address")
    _check_address(address)
    slots = get_number(fields, "slots", 1, MAX_SLOTS)
    return Target(
        target_id=target_id,
        service=get_string(fields, "service"),
        address=address,
        failure_domain=get_string(fields, "zone"),
        version=get_string(fields, "version") if "version" in fields else "",
        slots=max(1, int(slots)),
        leaving=state == "draining",
        born_ms=get_integer(fields, "born", 0),
        cold_s=get_number(fields, "cold-left-ms", 0, MAX_COLD_MS) / 1000,
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
    if len(parts) != 4:
        raise CodecError(f"address: {describe_value(address)} has no IPv4 address")
    for part in parts:
        parse_integer(part, "address", 255)
    if parse_integer(port, "address", MAX_PORT) == 0:
        raise CodecError("address: port 0")
