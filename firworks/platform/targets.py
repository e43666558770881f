"""Decodes the entries by which targets register themselves."""

from firworks.errors import CodecError
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.liveness import Identity
from firworks.platform.fields import get_number, get_string, parse_object

STATES = ("ready", "draining")
MAX_PORT = 65_535
# Engines and stage targets tell here of their load, and when they were started.
REPORT_PATH = "/report"
MISDIRECTED = 421


def decode_target(target_id, data):
    """Return the `Target` held in an entry's bytes.

    Args:
        target_id (str): Key of the entry; it appears nowhere else.
        data (bytes): Value of the entry.

    Raises:
        CodecError: When a field is missing or not of its type, or the state unknown.
    """
    table = parse_object(data)
    state = get_string(table, "state")
    if state not in STATES:
        raise CodecError(f"state: {state!r} is unknown")
    address = get_string(table, "address")
    _check_address(address)
    born = table.get("born", 0)
    if type(born) is not int:
        raise CodecError(f"born: {born!r} is not a whole number")
    slots = get_number(table, "slots", 1)
    return Target(
        target_id=target_id,
        service=get_string(table, "service"),
        address=address,
        failure_domain=get_string(table, "zone"),
        version=get_string(table, "version") if "version" in table else "",
        slots=max(1, int(slots)),
        leaving=state == "draining",
        born_ms=born,
        cold_s=max(0.0, get_number(table, "cold-left-ms", 0) / 1000),
    )


def decode_identity(status, headers, body):
    """Return the `Identity` that an answer to a report or a health check holds.

    Args:
        status (int): Of the answer.
        headers (mapping): Case-insensitive.
        body (bytes): A report is a JSON object; other bodies say nothing.

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
        raise CodecError(f"address: {address!r} is not IP:PORT")
    if max(map(int, parts)) > 255 or not 0 < int(port) <= MAX_PORT:
        raise CodecError(f"address: {address!r} is not IP:PORT")
