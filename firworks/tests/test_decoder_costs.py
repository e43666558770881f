"""Tests that the work of a decoder is bounded, whatever it is sent."""

import asyncio
import struct
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from firworks import decoding
from firworks.errors import CodecError, RequestError
from firworks.events import LogEvent
from firworks.gateway import availability
from firworks.gateway.connections import TargetConnection
from firworks.kernel.calls import StartCall
from firworks.kernel.codec import decode_cbor, decode_record, encode_record
from firworks.kernel.forwarding.event_stream import EventSplitter
from firworks.kernel.forwarding.readers import FollowStore
from firworks.kernel.pools.messages import MemberEntry
from firworks.platform import headers
from firworks.platform.headers import (
    MAX_LOGGED_CHARACTERS,
    MAX_NOTICE_CHARACTERS,
    read_keep_alive_s,
    read_load_notice,
    read_notice,
    read_rate_notice,
    read_request,
)
from firworks.plugins.http_engines import ChunkMerger
from firworks.tests.fake_transport import FakeTransport
from firworks.tests.gateway_process import Caller
from firworks.tests.gateway_testbed import play

# The longest line of a response head.
MAX_LINE_CHARACTERS = 16_384
# A row of digits that ends in a letter, as a spoiled answer had it.
SPOILED = "1" * 16_000 + "x"
# What a call allocates beside the data.
OWN_BYTES = 2_000
RUNS = ("1", "1.", ".", "1e", " ", "1 ", ",", "1,", ", ", "/", "(", '"', "x", "-", "+")


class CountingPattern:
    """A compiled pattern that counts the characters of the texts it is applied to.

    Args:
        pattern (re.Pattern): The pattern.
    """

    def __init__(self, pattern):
        self.characters = 0
        self._pattern = pattern

    def fullmatch(self, text):
        """See `re.Pattern`."""
        self.characters += len(text)
        return self._pattern.fullmatch(text)

    def split(self, text):
        """See `re.Pattern`."""
        self.characters += len(text)
        return self._pattern.split(text)


def list_patterns(module):
    """Return the names (list of str) of the compiled patterns of a module."""
    return [name for name, value in vars(module).items() if hasattr(value, "fullmatch")]


@st.composite
def draw_lines(draw):
    """Draw the lines (list of str) of one header in a response."""
    texts = st.builds(
        lambda run, count, end: (run * count + end)[:MAX_LINE_CHARACTERS],
        st.sampled_from(RUNS),
        st.integers(0, MAX_LINE_CHARACTERS),
        st.sampled_from(("", "x", "1", ",", "e", ".", " 1")),
    )
    return draw(st.lists(texts, min_size=1, max_size=4))


# A target's spoiled limit of 16,000 digits and a letter held the loop for seconds, so
# that callers of all targets had no answer.
class TestNotices:
    READERS = {
        "Server-Limit": read_rate_notice,
        "X-Server-Load": read_load_notice,
        "Retry-After": lambda fields: read_notice(503, fields, 0.0),
        "Keep-Alive": read_keep_alive_s,
        "Server-Leaving": lambda fields: read_notice(200, fields, 0.0),
    }

    @pytest.mark.parametrize("name", READERS)
    @given(lines=draw_lines())
    def test_patterns_see_few_characters_of_a_header(self, name, lines):
        fields = CIMultiDict((name, line) for line in lines)
        with pytest.MonkeyPatch.context() as patch:
            counting = []
            for module in (decoding, headers):
                for pattern in list_patterns(module):
                    counting.append(CountingPattern(getattr(module, pattern)))
                    patch.setattr(module, pattern, counting[-1])
            self.READERS[name](fields)
        assert counting
        assert sum(one.characters for one in counting) <= 2 * MAX_NOTICE_CHARACTERS

    @pytest.mark.parametrize("name", ["Server-Limit", "X-Server-Load", "Retry-After"])
    @pytest.mark.parametrize("text", [SPOILED, "5," * 200, "1" * 300, " " * 300 + "x"])
    def test_a_value_that_is_too_long_changes_nothing(self, name, text):
        notice = self.READERS[name](CIMultiDict({name: text}))
        if name == "X-Server-Load":
            assert notice == (None, text[:MAX_LOGGED_CHARACTERS])
            return
        assert 0 < len(notice.unusual_value) <= MAX_LOGGED_CHARACTERS
        if name == "Server-Limit":
            assert notice.rate_per_s is None and not notice.readable
        else:
            assert notice.backoff_s == 0.0 and not notice.leaving

    def test_a_gateway_serves_beside_spoiled_limits(self, monkeypatch):
        logged = []

        def log(event, **fields):
            if event == LogEvent.TARGET_WISH_ODD:
                logged.append(fields["value"])

        monkeypatch.setattr(availability, "log_event", log)

        async def scenario(testbed):
            for target in testbed.targets.values():
                target.limit = SPOILED
            (gateway,) = testbed.gateways
            async with Caller(gateway.callers.port) as caller:
                for number in range(12):
                    caller.send(("/stock/a", "/book/a")[number % 2])
                    assert (await caller.read())[0] == 200
            targets = gateway.directory.list_all()
            assert not gateway.limits.list_limited(targets)

        play(scenario)
        assert logged and max(map(len, logged)) <= MAX_LOGGED_CHARACTERS


class TestRequests:
    @given(lines=draw_lines())
    def test_a_long_deadline_is_refused_unread(self, lines):
        fields = CIMultiDict({"X-Deadline-Ms": lines[0]})
        if len(lines[0]) <= decoding.MAX_DECIMAL_CHARACTERS:
            return
        with pytest.raises(RequestError) as raised:
            read_request("GET", "/a", fields)
        assert len(raised.value.detail) <= 2 * MAX_LOGGED_CHARACTERS


# Tagged values of CBOR held the loop: a decimal fraction of 256 KB for half a minute.
class TestRecords:
    NUMBER = b"\xc2\x5a" + struct.pack(">I", 4_000) + b"\xf7" * 4_000
    TAGS = (*range(300), 1_004, 43_000, 43_001, 55_799, 2**32)

    @pytest.mark.parametrize("value", [b"\x01", NUMBER, b"\x82\x01\x02", b"\x61a"])
    def test_tagged_values_are_refused(self, value):
        for tag in self.TAGS:
            data = b"\xdb" + struct.pack(">Q", tag) + value
            for record in (data, b"\x82\x61a" + data):
                with pytest.raises(CodecError):
                    decode_cbor(record)
                with pytest.raises(CodecError):
                    decode_record(record)

    @pytest.mark.parametrize("key", [b"\x01", b"\xfb" + bytes(8), b"\x81\x01", b"\xf5"])
    def test_keys_that_may_have_equal_hashes_are_refused(self, key):
        with pytest.raises(CodecError):
            decode_cbor(b"\xa1" + key + b"\x01")

    def test_messages_of_other_daemons_are_decoded(self):
        entry = MemberEntry("a", "a.1", "10.0.0.1:1", "fd-1", 1.0)
        assert decode_record(encode_record(FollowStore(entry))) == FollowStore(entry)
        assert decode_cbor(b"\xa1\x61a\x82\x01\x40") == {"a": [1, b""]}

    def test_a_long_name_is_not_logged(self):
        with pytest.raises(CodecError) as raised:
            decode_record(b"\x81\x7a" + struct.pack(">I", 10_000) + b"a" * 10_000)
        assert len(str(raised.value)) < 200


def count_copies(add, count, size):
    """Return how many of some calls allocate half of what all before have added.

    Args:
        add (callable): ``add(number)`` adds `size` bytes.
        count (int): Number of calls.
        size (int): In bytes.
    """
    copies = 0
    tracemalloc.start()
    try:
        for number in range(count):
            held, _ = tracemalloc.get_traced_memory()
            tracemalloc.reset_peak()
            add(number)
            _, peak = tracemalloc.get_traced_memory()
            copies += peak - held > OWN_BYTES + number * size // 2
    finally:
        tracemalloc.stop()
    return copies


# What came in small pieces was copied as a whole for each of them.
class TestPieces:
    COUNT = 4_000

    def test_a_long_event_is_not_copied_for_each_piece(self):
        splitter, piece = EventSplitter(), b"x" * 16
        copies = count_copies(lambda _: splitter.feed(piece), self.COUNT, len(piece))
        assert copies < 100
        assert splitter.feed(b"\n\n") == self.COUNT * piece + b"\n\n"
        assert not splitter.has_partial_event

    def test_merged_tokens_are_not_copied_for_each_event(self):
        call = StartCall(1, None, "t", "engine", "", timeout_s=1.0, body=None)
        merger = ChunkMerger(call)
        copies = count_copies(
            lambda number: merger.add("a", number, ["x"]), self.COUNT, 8
        )
        assert copies < 100
        merger.add("b", self.COUNT, ["y"])
        merger.add("b", self.COUNT + 2, ["z"])
        chunks = merger.pop_chunks()
        assert [len(one.tokens) for one in chunks] == [self.COUNT, 1, 1]
        assert [one.offset for one in chunks] == [0, self.COUNT, self.COUNT + 2]
        assert merger.pop_chunks() == []


class CountingConnection(TargetConnection):
    """Counts the calls of the parser, each of which is followed by a check."""

    calls = 0

    def _check_overhead(self, size):
        self.calls += 1
        super()._check_overhead(size)


# One read of a body of blank lines called the parser 16,384 times.
class TestResponses:
    HEAD = b"HTTP/1.1 200 OK\r\n"
    BODIES = {
        "chunks": (b"Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", 5_000),
        "unframed": (b"\r\n", 5_000),
        "length": (b"Content-Length: 99999999\r\n\r\n", 1),
    }

    @pytest.mark.parametrize("framing", BODIES)
    @pytest.mark.parametrize("line", [b"\r\n\r\n", b"data: x\r\n\r\n", b"0\r\n\r\n"])
    def test_the_parser_is_called_few_times_for_a_read(self, framing, line):
        async def scenario():
            connection = CountingConnection(asyncio.get_running_loop())
            connection.connection_made(FakeTransport())
            connection.send(b"GET / HTTP/1.1\r\n\r\n", b"", False)
            begin, most = self.BODIES[framing]
            data = self.HEAD + begin + line * 200_000
            connection.data_received(data[: len(self.HEAD + begin)])
            data = data[len(self.HEAD + begin) :]
            for _ in range(4):
                size, connection.calls = connection.transport.max_size, 0
                connection.data_received(data[:size])
                assert 0 < connection.calls <= most
                data = data[size:]

        asyncio.run(scenario())
