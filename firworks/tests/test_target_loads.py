"""Tests of load reports and the cache events in them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.kernel.prompts import BLOCK_CHARACTERS, hash_prefix
from firworks.plugins.target_loads import LoadReader
from firworks.standins.engine import CACHE_EVENTS, BlockCache

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda items: st.lists(items, max_size=3),
    max_leaves=5,
)
NAMES = st.sampled_from(["running", "first", "sequence", "cached", "evicted", "age_ms"])


class TestLoadReader:
    def test_reports_that_follow_each_other_have_no_gap(self):
        cache, reader = BlockCache(), LoadReader("e")
        cache.hold((b"a", b"b"))
        first = reader.read(cache.report(reader.since), 10.0)
        cache.hold((b"c",))
        second = reader.read(cache.report(reader.since), 11.0)
        assert (first.cached, second.cached) == ((b"a", b"b"), (b"c",))
        assert second.sequence == first.sequence + 1

    def test_lost_events_show_as_a_gap(self):
        cache, reader = BlockCache(), LoadReader("e")
        first = reader.read(cache.report(reader.since), 10.0)
        cache.hold(tuple(bytes([i % 256, i // 256]) for i in range(CACHE_EVENTS + 1)))
        second = reader.read(cache.report(reader.since), 11.0)
        assert second.sequence == first.sequence + 2

    def test_age_goes_off_the_time(self):
        report = LoadReader("e").read({"running": 3, "age_ms": 500}, 10.0)
        assert (report.running, report.measured_s) == (3, 9.5)

    @given(st.dictionaries(NAMES, JSON) | JSON)
    def test_malformed_reports_raise_only_value_errors(self, table):
        try:
            LoadReader("e").read(table, 0.0)
        except ValueError:
            return
        assert isinstance(table, dict)


class TestPrefix:
    def test_equal_openings_share_their_blocks(self):
        opening = "x" * BLOCK_CHARACTERS * 2
        one, two = hash_prefix("m", opening + "1"), hash_prefix("m", opening + "2")
        assert one == two and len(one) == 2

    def test_other_models_share_nothing(self):
        prompt = "x" * BLOCK_CHARACTERS
        assert hash_prefix("m", prompt) != hash_prefix("n", prompt)

    @pytest.mark.parametrize("length", [0, BLOCK_CHARACTERS - 1])
    def test_partial_blocks_have_no_hash(self, length):
        assert hash_prefix("m", "x" * length) == ()
