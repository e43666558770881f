"""Tests that platform formats are encoded and decoded and invalid data is rejected."""

import json
import struct

import pytest
from multidict import CIMultiDict

from firworks.errors import CodecError, RequestError
from firworks.platform.configuration import decode_configuration
from firworks.platform.headers import (
    TargetHeaders,
    build_head,
    list_response_headers,
    read_keep_alive_s,
    read_request,
)
from firworks.platform.records import (
    decode_keyed,
    decode_newest,
    decode_slice,
    encode_keyed,
    encode_records,
)
from firworks.platform.stages import decode_run_response, encode_free_request
from firworks.platform.targets import decode_target
from firworks.tests.gateway_testbed import make_configuration

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "sequence": 4,
}


class TestConfigurationRecord:
    def test_durations_and_weights_are_decoded(self):
        configuration = make_configuration(version=7)
        configuration["routes"][0]["traffic-split"] = [{"service": "a", "weight": 90}]
        decoded = decode_configuration(json.dumps(configuration).encode())
        route = decoded.routes[0]
        assert (decoded.version, route.timeout_s, route.goal_s) == (7, 4.0, 1.0)
        assert route.services == (("a", 90.0),)
        assert decoded.services["repair"].stage_pool.call_s == 0.02

    def test_unknown_configuration_fields_are_ignored(self):
        configuration = {**make_configuration(), "new": {"x": 1}}
        configuration["routes"][0]["new"] = True
        assert decode_configuration(json.dumps(configuration).encode()).version == 1

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"[]",
            b"{}",
            b'{"version": true}',
            b'{"version": 1, "routes": 5}',
            b'{"version": 1, "routes": [{"name": "r"}]}',
            b"\xff\xfe",
            b"[" * 100_000,
        ],
    )
    def test_undecodable_records_raise_codec_error(self, data):
        with pytest.raises(CodecError):
            decode_configuration(data)


class TestTargetEntry:
    def test_an_entry_is_decoded(self):
        target = decode_target("i-1", json.dumps({**ENTRY, "born": 5}).encode())
        assert (target.target_id, target.failure_domain) == ("i-1", "z")
        assert (target.leaving, target.incarnation) == (False, ("i-1", 5))
        leaving = decode_target(
            "i", json.dumps({**ENTRY, "state": "draining"}).encode()
        )
        assert leaving.leaving

    @pytest.mark.parametrize(
        "change",
        [
            {"address": "10.0.0.1"},
            {"address": "10.0.0.256:80"},
            {"address": "10.0.0.1:0"},
            {"address": 5},
            {"state": "odd"},
            {"slots": "6"},
            {"slots": True},
            {"born": 1.5},
            {"zone": None},
            {"service": None},
        ],
    )
    def test_an_invalid_entry_is_rejected(self, change):
        with pytest.raises(CodecError):
            decode_target("i-1", json.dumps({**ENTRY, **change}).encode())


class TestRecords:
    def test_records_and_keys_round_trip(self):
        records = [encode_keyed("a", b"1"), encode_keyed("b", b"")]
        data = struct.pack(">QQ", 9, 7) + encode_records(records)
        decoded = decode_slice(data)
        assert (decoded.end, decoded.first) == (9, 7)
        values = [decode_keyed(record) for record in decoded.records]
        assert [(v.key, v.value) for v in values] == [("a", b"1"), ("b", b"")]

    @pytest.mark.parametrize("cut", [3, 15, 18, 21])
    def test_a_truncated_response_is_rejected(self, cut):
        data = struct.pack(">QQ", 1, 0) + encode_records([encode_keyed("a", b"123")])
        with pytest.raises(CodecError):
            decode_slice(data[:cut])

    @pytest.mark.parametrize("data", [b"{}", b'{"items": [{}], "end": 1}', b"x"])
    def test_an_undecodable_listing_is_rejected(self, data):
        with pytest.raises(CodecError):
            decode_newest(data)

    @pytest.mark.parametrize("record", [b"", b"\x05ab"])
    def test_a_record_shorter_than_its_key_is_rejected(self, record):
        with pytest.raises(CodecError):
            decode_keyed(record)


class TestHeaders:
    def test_request_headers_are_parsed(self):
        headers = CIMultiDict(
            {
                "x-request-id": "r",
                "Host": "h",
                "X-Token-Counts": "1460,80",
                "X-Prefix-Hash": "5c:800,91:410",
                "X-Pieces": "1,0,6",
                "X-Deadline-Ms": "1500",
                "Authorization": "Bearer k",
            }
        )
        request = read_request("POST", "/a/b?c", headers)
        assert request.prompt.parts == (("5c", 800), ("91", 410))
        assert (request.piece_counts, request.caller_timeout_s) == ((1, 0, 6), 1.5)
        assert (request.key, request.path) == ("k", "/a/b")

    @pytest.mark.parametrize(
        "headers",
        [
            {"X-Token-Counts": "many"},
            {"X-Token-Counts": "1,2", "X-Prefix-Hash": "a:b"},
            {"X-Pieces": "1,x"},
            {"X-Deadline-Ms": "soon"},
        ],
    )
    def test_an_invalid_header_is_a_malformed_request(self, headers):
        with pytest.raises(RequestError):
            read_request("GET", "/", CIMultiDict(headers))

    def test_caller_headers_are_forwarded_and_system_headers_added(self):
        request = read_request("POST", "/a", CIMultiDict({"X-Request-Id": "r"}))
        raw = [(b"X-A", b"1"), (b"Authorization", b"Bearer k"), (b"Kv-From", b"x")]
        system_headers = TargetHeaders(1.5, "i-1", "club", 12, "7", ("h1", "h2"))
        head = build_head(request, raw, 3, system_headers, strip_key=True).decode()
        assert head.startswith("POST /a HTTP/1.1\r\nX-A: 1\r\nContent-Length: 3\r\n")
        assert "X-Priority-Class: 9\r\n" in head and "X-Inputs: h1,h2\r\n" in head
        assert "Authorization" not in head and "Kv-From" not in head

    def test_hop_by_hop_headers_are_not_forwarded_to_the_caller(self):
        raw = [
            (b"Connection", b"close, X-B"),
            (b"X-B", b"1"),
            (b"X-Server-Stamp", b"s"),
        ]
        assert list_response_headers(raw) == [("X-Server-Stamp", "s")]

    def test_keep_alive(self):
        assert read_keep_alive_s({"Keep-Alive": "timeout=5, max=9"}) == 5
        assert read_keep_alive_s({"Keep-Alive": "max=9"}) is None


class TestStageCalls:
    def test_results_are_decoded_in_order(self):
        data = b'{"items":[{"handle":"h"},{"reason":"gone"}]}'
        assert decode_run_response(data, 2) == [("h", ""), (None, "gone")]
        assert json.loads(encode_free_request(["h"])) == {"handles": ["h"]}

    @pytest.mark.parametrize(
        "data", [b"{}", b'{"items":[5]}', b'{"items":[{"handle":5}]}']
    )
    def test_invalid_results_are_rejected(self, data):
        with pytest.raises(CodecError):
            decode_run_response(data, 1)
