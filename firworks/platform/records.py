"""Formats of the platform's store: records with a length, keyed values."""

import base64
import binascii
import struct

from firworks.errors import CodecError
from firworks.platform.fields import get_list, parse_object

_LENGTH = struct.Struct(">I")
_EXTENT = struct.Struct(">QQ")


class KeyedValue:
    """The newest value of a key.

    Attributes:
        key (str): The key; undecodable bytes are replaced.
        value (bytes): Empty when the key was dropped.
    """

    __slots__ = ("key", "value")

    def __init__(self, key, value):
        self.key = key
        self.value = value


class Slice:
    """Part of a partition as one read returned it.

    Attributes:
        end (int): Offset after the partition's last record.
        first (int): Oldest offset kept.
        records (list of bytes): In order, from the offset that was asked for.
    """

    __slots__ = ("end", "first", "records")

    def __init__(self, end, first, records):
        self.end = end
        self.first = first
        self.records = records


def encode_records(records):
    """Return the body that appends records."""
    return b"".join(_LENGTH.pack(len(record)) + record for record in records)


def decode_slice(data):
    """Return the `Slice` held in the answer to a read.

    Raises:
        CodecError: When the bytes end early.
    """
    if len(data) < _EXTENT.size:
        raise CodecError("a read's answer is too short")
    end, first = _EXTENT.unpack_from(data)
    position = _EXTENT.size
    records = []
    while position < len(data):
        if position + _LENGTH.size > len(data):
            raise CodecError("a read's answer ends inside a length")
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise CodecError("a read's answer ends inside a record")
        records.append(data[position : position + length])
        position += length
    return Slice(end, first, records)


def encode_keyed(key, value):
    """Return the record that sets a key; an empty value drops it."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_keyed(record):
    """Return the `KeyedValue` held in a record.

    Raises:
        CodecError: When the record is shorter than its key.
    """
    if not record or len(record) < 1 + record[0]:
        raise CodecError("a keyed record is shorter than its key")
    end = 1 + record[0]
    return KeyedValue(record[1:end].decode("utf-8", "replace"), record[end:])


def decode_newest(data):
    """Return ([KeyedValue], whether more follow, end) of a listing.

    Raises:
        CodecError: When the listing cannot be read.
    """
    table = parse_object(data)
    values = []
    for row in get_list(table, "items"):
        try:
            value = base64.b64decode(row["value"])
            values.append(KeyedValue(str(row["key"]), value))
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise CodecError(f"a listed value cannot be read: {error!r}") from error
    end = table.get("end")
    if type(end) is not int:
        raise CodecError(f"end: {end!r} is not a whole number")
    return values, table.get("has-more") is True, end
