"""Tests that malformed bytes from peers or the log raise only `CodecError`."""

import pkgutil
from importlib import import_module

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

import firworks.kernel
from firworks.errors import CodecError
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.messages import Record


def list_record_types():
    """Return every record type of the kernel, sorted by name."""
    for module in pkgutil.walk_packages(firworks.kernel.__path__, "firworks.kernel."):
        import_module(module.name)
    types = [cls for cls in Record.__subclasses__() if "kernel" in cls.__module__]
    return sorted(types, key=lambda cls: cls.__name__)


TYPES = list_record_types()
PLAIN = {
    str: st.text(max_size=8),
    int: st.integers(-(2**63), 2**63 - 1),
    float: st.floats(allow_nan=False, allow_infinity=False),
    bool: st.booleans(),
    bytes: st.binary(max_size=8),
}
# Fields of type Record hold records of this many levels; the codec accepts a few more.
MAX_LEVELS = 4
VALUES = st.recursive(
    st.one_of(*(PLAIN[kind] for kind in (str, int, float, bool, bytes)), st.none()),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=6,
)


def make_values(kind, levels):
    """Return a strategy of values of a field's wire type."""
    if isinstance(kind, tuple):
        return st.lists(make_values(kind[0], levels), max_size=3).map(tuple)
    if kind in PLAIN:
        return PLAIN[kind]
    if kind is Record:
        return make_any_record(levels - 1)
    return make_records(kind, levels)


def make_records(cls, levels):
    """Return a strategy of valid records of one type."""
    return st.builds(cls, *(make_values(kind, levels) for kind in cls.TYPES))


def holds_any_record(cls):
    """Return whether a field of a record type may hold a record of any type."""
    return any(kind in (Record, (Record,)) for kind in cls.TYPES)


def make_any_record(levels):
    """Return a strategy of valid records of all types, nested in some levels."""
    types = [cls for cls in TYPES if levels or not holds_any_record(cls)]
    return st.sampled_from(types).flatmap(lambda cls: make_records(cls, levels))


RECORDS = make_any_record(MAX_LEVELS)


@st.composite
def make_damaged(draw):
    """Draw the bytes of a valid record, some replaced and the end cut off."""
    data = bytearray(encode_record(draw(RECORDS)))
    for _ in range(draw(st.integers(1, 4))):
        data[draw(st.integers(0, len(data) - 1))] = draw(st.integers(0, 255))
    return bytes(data[: draw(st.integers(0, len(data)))])


@st.composite
def make_mistyped(draw):
    """Draw a known record type with fields of arbitrary types and count."""
    cls = draw(st.sampled_from(TYPES))
    count = len(cls.TYPES)
    fields = draw(st.lists(VALUES, min_size=max(0, count - 1), max_size=count + 1))
    return cbor2.dumps([cls.__name__, *fields])


class TestMalformedRecords:
    @settings(max_examples=1_000)
    @given(make_damaged() | make_mistyped() | st.binary(max_size=60))
    def test_a_thousand_malformed_inputs(self, data):
        try:
            record = decode_record(data)
        except CodecError:
            return
        # What is accepted is a record that can be passed on.
        again = encode_record(record)
        assert encode_record(decode_record(again)) == again

    @given(RECORDS)
    def test_round_trip_of_every_type(self, record):
        assert decode_record(encode_record(record)) == record
