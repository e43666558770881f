"""Measures the time of decoders of outside data by the length of what they get.

Run ``python -m bench.decoder_times [--sizes 1024,4096,16384]``. For each decoder, the
text that took longest at the greatest length is printed, with nanoseconds a byte at
each length. Where these grow with the length, it takes more than linear time.
"""

import json
import struct
from time import perf_counter

import fire
from multidict import CIMultiDict

from firworks.errors import FirworksError
from firworks.kernel.codec import decode_record
from firworks.kernel.forwarding.event_stream import EventSplitter
from firworks.platform.configuration import decode_configuration
from firworks.platform.headers import (
    TargetHeaders,
    build_head,
    list_response_headers,
    read_keep_alive_s,
    read_load_notice,
    read_notice,
    read_rate_notice,
    read_request,
)
from firworks.platform.records import decode_keyed, decode_newest, decode_slice
from firworks.platform.stages import decode_run_response
from firworks.platform.targets import decode_identity, decode_target

SIZES = (1_024, 4_096, 16_384)
REPEATS = 3
RUNS = (
    *("1", "1.", ".", "1e", " ", "1 ", ",", "1,", ", ", "/", "(", '"', "\\", "x"),
    *("[", "{", "[1,", '{"a":', '"a",', "-", "+", ";", "=", ":", "a:1,", "timeout="),
    *("\r", "\n", "\r\n", "\n\n", "id:", "id: 1\n", "data: x\n\n", "\t", "%", "\u0663"),
)
ENDS = ("", "x", "1", '"', "]")
REQUEST = {"X-Request-Id": "r", "Host": "h", "X-Token-Counts": "10,20"}


def feed_in_pieces(data, size=64):
    """Split a stream of events that arrives in small pieces."""
    splitter = EventSplitter()
    for begin in range(0, len(data), size):
        splitter.feed(data[begin : begin + size])


def read_request_header(name):
    """Return a decoder of one header of a caller."""
    return lambda data: read_request(
        "POST", "/a", CIMultiDict({**REQUEST, name: data.decode("latin-1")})
    )


def read_response_header(name, read):
    """Return a decoder of one header of a target."""
    return lambda data: read(CIMultiDict({name: data.decode("latin-1")}))


def forward_head(data):
    """Build the heads that are sent on for what was received."""
    request = read_request("POST", "/a", CIMultiDict(REQUEST))
    raw = ((b"Connection", data), (b"X-Other", data))
    build_head(request, raw, None, TargetHeaders(1.0, "t"), True)
    list_response_headers(raw)


DECODERS = {
    "Server-Limit": read_response_header("Server-Limit", read_rate_notice),
    "X-Server-Load": read_response_header("X-Server-Load", read_load_notice),
    "Retry-After": read_response_header(
        "Retry-After", lambda fields: read_notice(503, fields, 0.0)
    ),
    "Keep-Alive": read_response_header("Keep-Alive", read_keep_alive_s),
    **{
        name: read_request_header(name)
        for name in (
            *("X-Deadline-Ms", "X-Token-Counts", "X-Prefix-Hash", "X-Pieces"),
            *("Authorization", "Last-Event-Id", "Resumes", "X-Piece-Key"),
        )
    },
    "path": lambda data: (
        read_request("POST", "/" + data.decode("latin-1"), CIMultiDict(REQUEST)).path
    ),
    "Connection": forward_head,
    "target entry": lambda data: decode_target("a", data),
    "configuration": decode_configuration,
    "listing": decode_newest,
    "slice": lambda data: decode_slice(bytes(16) + data),
    "short records": lambda data: decode_slice(
        bytes(16) + struct.pack(">I", 0) * (len(data) // 4)
    ),
    "keyed record": decode_keyed,
    "results": lambda data: decode_run_response(data, 2),
    "report": lambda data: decode_identity(200, {}, data),
    "address": lambda data: decode_target(
        "a",
        json.dumps(
            {"state": "ready", "address": data.decode("latin-1"), "service": "s"}
        ).encode(),
    ),
    "event stream": feed_in_pieces,
    "record": decode_record,
}


def make_texts(size):
    """Yield (description, bytes) of texts of about a size."""
    for run in RUNS:
        for end in ENDS:
            data = (run * (size // len(run))).encode() + end.encode()
            yield f"{run!r}... {end!r}", data


def make_records(size):
    """Yield (description, bytes) of CBOR of about a size, likewise."""
    data = bytes([0xF7]) * size
    number = b"\xc2\x5a" + struct.pack(">I", size) + data
    text = b"\x7a" + struct.pack(">I", size) + b"a|" * (size // 2)
    yield "big integer", number
    yield "decimal fraction", b"\xc4\x82\x01" + number
    yield "fraction", b"\xd8\x1e\x82" + number + number[:-1] + b"\x01"
    yield "pattern", b"\xd8\x23" + text
    yield "nested arrays", b"\x81" * size + b"\x00"
    keys = (
        b"\x1b" + struct.pack(">Q", (2**61 - 1) * number)
        for number in range(1, min(size // 10, 8))
    )
    yield "map", b"\xbf" + b"".join(key + b"\x00" for key in keys) + b"\xff"


def measure_s(decode, data):
    """Return the least seconds of some runs of a decoder; its errors are expected."""
    times_s = []
    for _ in range(REPEATS):
        begun_s = perf_counter()
        try:
            decode(data)
        except (FirworksError, ValueError):
            pass  # most of these texts are malformed
        times_s.append(perf_counter() - begun_s)
        if times_s[-1] > 1.0:
            break
    return min(times_s)


def main(sizes=SIZES):
    """Print the slowest text of each decoder.

    Args:
        sizes (tuple of int): Lengths in bytes.
    """
    sizes = tuple(int(size) for size in sizes)
    print("decoder", *(f"{size:,} B" for size in sizes), "ns a byte, text", sep="\t")
    for name, decode in DECODERS.items():
        make = make_records if name == "record" else make_texts
        texts = dict(make(sizes[-1]))
        slowest = max(texts, key=lambda text: measure_s(decode, texts[text]))
        costs = [
            measure_s(decode, dict(make(size))[slowest]) / size * 1e9 for size in sizes
        ]
        print(name, *(f"{cost:.1f}" for cost in costs), slowest, sep="\t")


if __name__ == "__main__":
    fire.Fire(main)
