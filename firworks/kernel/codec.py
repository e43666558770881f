"""CBOR codec for records: a type name and field values, checked on both sides."""

from sys import float_info

import cbor2

from firworks.decoding import (
    MIN_INTEGER,
    check_integer,
    check_number,
    describe_value,
)
from firworks.errors import CodecError
from firworks.kernel.messages import Record

MAX_DEPTH = 12
MAX_FLOAT = float_info.max

_PLAIN_TYPES = (int, str, bytes, bool, float)

_NUMBERS = (int, float)

_RECORDS = {}


def register_record(cls):
    """Register a `Record` subclass with the codec; used as a decorator.

    Raises:
        TypeError: If ``TYPES`` and ``__slots__`` differ in length, or a class of that
            name is already registered.
    """
    if len(cls.TYPES) != len(cls.fields()):
        raise TypeError(f"{cls.__name__}: TYPES must name each field's type")
    if cls.__name__ in _RECORDS:
        raise TypeError(f"record type {cls.__name__} is registered twice")
    _RECORDS[cls.__name__] = cls
    return cls


def encode_record(record):
    """Return the CBOR bytes of a record."""
    return cbor2.dumps(_pack(record))


class _RefusedTags(dict):
    """Decoders of tagged values, all of which refuse them."""

    def __missing__(self, tag):
        return _refuse_tag


def _refuse_tag(decoder):
    raise ValueError("tagged values are not used")


_REFUSED_TAGS = _RefusedTags()


def decode_cbor(data):
    """Return the value decoded from CBOR bytes, in time linear in their number.

    Tagged values and maps with other keys than strings are refused: a decimal fraction,
    a pattern or keys of equal hashes take the square of their length.

    Raises:
        CodecError: If the bytes are not a well-formed value without such parts.
    """
    try:
        return cbor2.loads(
            data, semantic_decoders=_REFUSED_TAGS, strict_hashable_types=True
        )
    except Exception as error:  # cbor2 raises many types on malformed input
        raise CodecError(f"malformed CBOR: {error}") from error


def decode_record(data):
    """Return the record decoded from CBOR bytes.

    Raises:
        CodecError: If the bytes are not one well-formed record of a known type.
    """
    return _unpack(decode_cbor(data), 0)


def _pack(value):
    if type(value) in _PLAIN_TYPES:
        return value
    if isinstance(value, Record):
        return [type(value).__name__, *[_pack(item) for item in value.values()]]
    if isinstance(value, tuple | list):
        return [_pack(item) for item in value]
    return value


def _unpack(packed, depth):
    if depth > MAX_DEPTH:
        raise CodecError(f"records are nested more than {MAX_DEPTH} levels deep")
    if not isinstance(packed, list) or not packed:
        raise CodecError("a record must be a non-empty array")
    name = packed[0]
    cls = _RECORDS.get(name) if isinstance(name, str) else None
    if cls is None:
        raise CodecError(f"unknown record type {describe_value(name)}")
    if len(packed) - 1 != len(cls.TYPES):
        raise CodecError(f"{name} must have {len(cls.TYPES)} fields")
    values = [
        # Fast path: most fields have a plain type and need no further check.
        value
        if type(value) is kind and kind not in _NUMBERS
        else _check(value, kind, f"{name}.{field}", depth)
        for value, kind, field in zip(packed[1:], cls.TYPES, cls.fields(), strict=True)
    ]
    return cls(*values)


def _check(value, kind, where, depth):
    if isinstance(kind, tuple):
        return _check_tuple(value, kind, where, depth)
    if issubclass(kind, Record):
        record = _unpack(value, depth + 1)
        if not isinstance(record, kind):
            raise CodecError(f"{where} must be a {kind.__name__}")
        return record
    if kind is int:
        return check_integer(value, where, MIN_INTEGER)
    if kind is float:
        if type(value) not in _NUMBERS:
            raise CodecError(f"{where} must be float")
        return float(check_number(value, where, -MAX_FLOAT, MAX_FLOAT))
    if type(value) is not kind:
        raise CodecError(f"{where} must be {kind.__name__}")
    return value


def _check_tuple(value, kind, where, depth):
    """Check a field whose type is ``(item_type,)``: a sequence of that type."""
    if not isinstance(value, list):
        raise CodecError(f"{where} must be an array")
    is_plain = kind[0] in _PLAIN_TYPES and kind[0] not in _NUMBERS
    if is_plain and set(map(type, value)) <= {kind[0]}:
        return tuple(value)
    return tuple(_check(item, kind[0], where, depth + 1) for item in value)
