"""Tests that decoders of outside data raise only their own errors."""

import asyncio
import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from firworks.errors import CodecError, RequestError
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.forwarding.configuration import EngineSpec
from firworks.kernel.forwarding.news import TargetEntry, digest_targets
from firworks.kernel.pools.engines import EngineScheduler
from firworks.kernel.pools.messages import MemberEntry
from firworks.platform.configuration import decode_configuration
from firworks.platform.headers import (
    read_keep_alive_s,
    read_notice,
    read_rate_notice,
    read_request,
)
from firworks.platform.records import (
    decode_first_offset,
    decode_keyed,
    decode_newest,
    decode_slice,
)
from firworks.platform.stages import decode_run_response
from firworks.platform.store import StoreClient
from firworks.platform.targets import decode_identity, decode_target
from firworks.plugins.http_engines import _parse_event
from firworks.plugins.http_orders import _read_state
from firworks.plugins.http_vms import parse_vms
from firworks.plugins.target_calls import InvalidResponseError
from firworks.plugins.target_loads import LoadReader
from firworks.tests.gateway_testbed import (
    TEST_TIMEOUT_S,
    make_configuration,
    run_testbed,
    wait_until,
)

# Raw JSON values; some of the numbers are too large for a float or an integer.
ODD_VALUES = (
    "1e999",
    "-1e999",
    "NaN",
    "9" * 400,
    "-" + "9" * 400,
    "9" * 5_000,
    "1e300",
    "-1",
    "0",
    "0.5",
    "true",
    "null",
    '""',
    '"text"',
    '"\\ud800"',
    "{}",
    "[]",
    "[1]",
    '[{"a": []}]',
    "[" * 400 + "]" * 400,
    "[" * 100_000 + "]" * 100_000,
    '{"a":' * 900 + "1" + "}" * 900,
)
MARK = "@odd@"
ENTRY = {
    "service": "engines",
    "address": "127.0.0.1:80",
    "zone": "fd-1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 5,
    "born": 1_000,
    "sequence": 1,
}
NEWEST = {
    "items": [{"key": "a", "value": base64.b64encode(b"x").decode(), "offset": 1}],
    "has-more": True,
    "end": 3,
}
RESULTS = {"items": [{"handle": "127.0.0.1:80/1"}, {"reason": "gone"}]}
REPORT = {"stage": "colocated", "born": 5, "queued": 0}
LOAD = {
    "running": 1,
    "queued": 0,
    "capacity": 4,
    "age_ms": 5,
    "first": 0,
    "sequence": 1,
    "cached": ["00ff"],
    "evicted": [],
}
VMS = {
    "vms": [
        {
            "name": "a",
            "address": "127.0.0.1:1",
            "role": "entry",
            "region": "r",
            "failure_domain": "f",
            "leaving": False,
        }
    ]
}
STATE = {"models": ["m"], "adapters": [], "role": "colocated", "loading": False}
EVENT = {"call": "c", "offset": 0, "tokens": ["a"], "done": False, "count": 1}
ODD_TEXTS = (
    "",
    "1e999",
    "-1e999",
    "nan",
    "-1",
    "9" * 400,
    "9" * 5_000,
    "٣",
    "1,2,3",
    ":",
    "a:" + "9" * 400,
    ";=,",
)
REQUEST_HEADERS = {
    "X-Request-Id": "r",
    "Host": "h",
    "Authorization": "Bearer k",
    "X-Deadline-Ms": "100",
    "Last-Event-Id": "1",
    "Resumes": "q",
    "X-Pieces": "1,2",
    "X-Piece-Key": "k",
    "X-Model": "m",
    "X-Token-Counts": "10,20",
    "X-Prefix-Hash": "a:5,b:5",
}


def replace_each(table):
    """Yield copies of a JSON value in each of which one value is ``MARK``."""
    yield MARK
    if isinstance(table, dict):
        for name, value in table.items():
            for changed in replace_each(value):
                yield {**table, name: changed}
    elif isinstance(table, list):
        for index, value in enumerate(table):
            for changed in replace_each(value):
                yield [*table[:index], changed, *table[index + 1 :]]


def make_odd(table):
    """Yield JSON texts (bytes) in which one value is replaced by an odd one."""
    for changed in replace_each(table):
        text = json.dumps(changed)
        for odd in ODD_VALUES:
            yield text.replace(json.dumps(MARK), odd).encode()


def parse_plugin_body(data):
    """Parse a JSON body as aiohttp does; odd JSON itself is a `ValueError` there."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


DECODERS = {
    "target": (ENTRY, lambda data: decode_target("a", data), CodecError),
    "configuration": (make_configuration(), decode_configuration, CodecError),
    "listing": (NEWEST, decode_newest, CodecError),
    "first offset": ({"first": 3}, decode_first_offset, CodecError),
    "results": (RESULTS, lambda data: decode_run_response(data, 2), CodecError),
    "report": (REPORT, lambda data: decode_identity(200, {}, data), CodecError),
    "load": (
        LOAD,
        lambda data: LoadReader("t").read(parse_plugin_body(data), 1.0),
        ValueError,
    ),
    "vms": (VMS, lambda data: parse_vms(parse_plugin_body(data)), ValueError),
    "state": (
        STATE,
        lambda data: _read_state("t", parse_plugin_body(data)),
        ValueError,
    ),
    "event": (EVENT, _parse_event, InvalidResponseError),
}


# An entry of another writer with a number too large ended what read the list.
class TestOddRecords:
    @pytest.mark.parametrize("name", DECODERS)
    def test_only_the_decoders_own_error_is_raised(self, name):
        table, decode, error = DECODERS[name]
        decode(json.dumps(table).encode())
        for data in make_odd(table):
            try:
                decode(data)
            except error as raised:
                assert len(str(raised)) < 2_000

    @given(st.binary(max_size=40))
    def test_binary_formats(self, data):
        for decode in (decode_slice, decode_keyed, decode_record, decode_newest):
            try:
                decode(data)
            except CodecError:
                pass

    @pytest.mark.parametrize("name", REQUEST_HEADERS)
    def test_headers_of_callers(self, name):
        for text in ODD_TEXTS:
            try:
                request = read_request(
                    "POST", "/a", CIMultiDict({**REQUEST_HEADERS, name: text})
                )
            except RequestError:
                continue
            prompt = request.prompt
            assert prompt is None or 0 <= float(prompt.tokens_in) < 1e12
            assert sum(request.piece_counts) < 1e6

    @pytest.mark.parametrize("text", ODD_TEXTS)
    def test_headers_of_targets_and_of_the_store(self, text):
        headers = CIMultiDict(
            {"Keep-Alive": f"timeout={text}", "Retry-After": text, "Server-Limit": text}
        )
        read_keep_alive_s(headers)
        read_notice(503, headers, 0.0)
        read_rate_notice(headers)
        assert 0 <= StoreClient("127.0.0.1:1", "a")._read_era(text) < 2**16

    def test_accepted_targets_can_be_used(self):
        for data in make_odd(ENTRY):
            try:
                target = decode_target("a", data)
            except CodecError:
                continue
            digest_targets([target])
            entry = TargetEntry(*target.values())
            assert decode_record(encode_record(entry)) == entry
            scheduler = EngineScheduler(EngineSpec(4, 1_000, 2))
            scheduler.set_targets([target], 1.0)
            assert scheduler.next_due_s(1.0) is None

    @pytest.mark.parametrize("value", [2**70, float("inf"), float("nan")])
    def test_numbers_of_peers(self, value):
        kind = float if isinstance(value, float) else int
        fields = {str: "a", float: 1.0, int: 1, bool: True}
        types = MemberEntry if kind is float else TargetEntry
        values = [value if one is kind else fields[one] for one in types.TYPES]
        with pytest.raises(CodecError):
            decode_record(encode_record(types(*values)))


class TestOddEntries:
    @pytest.mark.parametrize("when", ["before the start", "while it runs"])
    def test_gateway_serves_beside_odd_entries(self, when):
        async def test():
            async with asyncio.timeout(TEST_TIMEOUT_S), run_testbed(0) as testbed:
                if when == "while it runs":
                    await testbed.add_gateway("gateway-1")
                for number, data in enumerate(make_odd(ENTRY)):
                    # The others keep their own services.
                    if b"@" not in data:
                        data = data.replace(b'"engines"', b'"odd"')
                        testbed.store.put("keyed.servers", f"odd-{number}", data)
                        testbed.store.put("keyed.firworks-members", f"m-{number}", data)
                        testbed.store.put(
                            "keyed.firworks-versions", f"v-{number}", data
                        )
                if when == "before the start":
                    await testbed.add_gateway("gateway-1")
                gateway = testbed.gateways[0]
                testbed.store.put_target("loans-2", None)
                await wait_until(
                    lambda: gateway.directory.find_known("loans-2") is None
                )
                for path in ("/stock/a", "/rules/a"):
                    assert (await testbed.send_request(path))[0] == 200

        asyncio.run(test())
