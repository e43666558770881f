"""Tests of messages, the codec, the registry and the kernel's composition."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.errors import CodecError
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.ledger.claims import ClaimWon, WorkKey
from firworks.kernel.messages import ReadLog, Tick
from firworks.kernel.node import Kernel, Part
from firworks.kernel.registry import Registry


class TestStruct:
    def test_fields_by_position_and_keyword(self):
        assert WorkKey("a", service="s", key="k") == WorkKey("a", "s", "k")

    @pytest.mark.parametrize("kwargs", [{}, {"account": "a", "other": 1}])
    def test_invalid_fields_are_rejected(self, kwargs):
        with pytest.raises(TypeError):
            WorkKey(**kwargs)

    def test_replace_keeps_the_other_fields(self):
        assert WorkKey("a", "s", "k").replace(key="j") == WorkKey("a", "s", "j")


class TestCodec:
    @given(st.text(), st.text(), st.text())
    def test_round_trip(self, account, service, key):
        record = WorkKey(account, service, key)
        assert decode_record(encode_record(record)) == record

    @given(st.binary())
    def test_malformed_bytes_raise_only_codec_errors(self, data):
        with pytest.raises(CodecError):
            decode_record(data)

    def test_invalid_field_type_is_rejected(self):
        record = WorkKey("a", "s", 5)
        with pytest.raises(CodecError, match="WorkKey.key must be str"):
            decode_record(encode_record(record))


class _Echo(Part):
    def handle(self, event, now):
        if isinstance(event, Tick):
            return [ClaimWon("c")]
        if isinstance(event, ClaimWon):
            return [ReadLog("config", None)]
        return []


class TestKernel:
    def test_signals_reach_the_parts_and_actions_are_returned(self):
        assert Kernel([_Echo()]).handle(Tick(0.0), 0.0) == [ReadLog("config", None)]


class TestRegistry:
    def test_unknown_and_duplicate_names_are_rejected(self):
        registry = Registry()
        registry.add("routing", "random", object)
        with pytest.raises(ValueError, match="registered twice"):
            registry.add("routing", "random", object)
        with pytest.raises(ValueError, match="there are: random"):
            registry.get("routing", "none")
