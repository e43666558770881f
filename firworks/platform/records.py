"""Formats of the platform's store: length-prefixed records and keyed values."""

import base64
import binascii
import struct

from firworks.errors import CodecError
from firworks.kernel.forwarding.positions import MAX_OFFSET
from firworks.platform.fields import (
    get_integer,
    get_objects,
    get_string,
    parse_object,
)

_LENGTH = struct.Struct(">I")
_EXTENT = struct.Struct(">QQ")


class KeyedValue:
    """The newest value of a key in a keyed topic.

    Attributes:
        key (str): The key, with invalid UTF-8 replaced by U+FFFD.
        value (bytes): Empty if the key was deleted.
    """

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


class Listing:
    """The newest values of a keyed topic.

    Attributes:
        values (list of KeyedValue): One for each key.
        era (int): Number of restores of the store when they were read.
        offset (int): Offset to read on from.
    """

    __slots__ = ("values", "era", "offset")

    def __init__(self, values, era, offset):
        self.values = values
        self.era = era
        self.offset = offset


class Slice:
    """A range of a partition's records, as returned by one read.

    Attributes:
        era (int): Number of restores of the store when it was read.
        end (int): Offset after the last record of the partition.
        first (int): Offset of the oldest record retained.
        records (list of bytes): In order, starting at the requested offset.
    """

    __slots__ = ("era", "end", "first", "records")

    def __init__(self, era, end, first, records):
        self.era = era
        self.end = end
        self.first = first
        self.records = records


def encode_records(records):
    """Return the body of an append request: each record after its length."""
    return b"".join(_LENGTH.pack(len(record)) + record for record in records)


def decode_slice(data, era=0):
    """Return the `Slice` encoded in the response to a read.

    Args:
        data (bytes): Body of the response.
        era (int): Number of restores of the store that the response states.

    Raises:
        CodecError: When the response is truncated.
    """
    if len(data) < _EXTENT.size:
        raise CodecError(
            f"read response of {len(data)} bytes is shorter than its header"
        )
    end, first = _EXTENT.unpack_from(data)
    position = _EXTENT.size
    records = []
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise CodecError(f"read response truncated in a length at byte {position}")
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise CodecError(f"read response truncated in a record at byte {position}")
        records.append(data[position : position + length])
        position += length
    return Slice(era, end, first, records)


def encode_keyed(key, value):
    """Return the record that sets a key; an empty value deletes the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed(record):
    """Return the `KeyedValue` encoded in a record.

    Raises:
        CodecError: When the record is empty or truncated in its key.
    """
    if not record or len(record) < 1 + record[0]:
        raise CodecError(f"keyed record of {len(record)} bytes is shorter than its key")
    end = 1 + record[0]
    return KeyedValue(record[1:end].decode("utf-8", "replace"), record[end:])


def decode_newest(data):
    """Return ([KeyedValue], whether more pages follow, end offset) of a listing page.

    Raises:
        CodecError: When the page is malformed.
    """
    fields = parse_object(data)
    values = []
    for row in get_objects(fields, "items"):
        try:
            value = base64.b64decode(get_string(row, "value"))
        except (ValueError, binascii.Error) as error:
            raise CodecError(f"malformed item in a listing: {error!r}") from error
        values.append(KeyedValue(get_string(row, "key"), value))
    return values, fields.get("has-more") is True, get_offset(fields, "end")


def decode_first_offset(data):
    """Return the oldest retained offset (int) that a failed read states, or None."""
    try:
        return get_offset(parse_object(data), "first")
    except CodecError:
        return None


def get_offset(fields, name):
    """Return an offset in a topic (int).

    Raises:
        CodecError: When it is not one.
    """
    return get_integer(fields, name, maximum=MAX_OFFSET)
