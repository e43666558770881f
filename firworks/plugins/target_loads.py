"""Parses the load reports of targets and the engine cache events in them."""

from firworks.decoding import check_integer
from firworks.errors import CodecError
from firworks.kernel.calls import TargetReported

MILLISECONDS_PER_S = 1000.0
COUNT_FIELDS = ("running", "queued", "capacity", "age_ms", "first", "sequence")


class LoadReader:
    """Parses the load reports of one target and detects lost cache events.

    A report holds the cache events after number ``first``, up to and including
    number ``sequence``. An engine that still has all events after ``since`` returns
    ``since`` as ``first``; a higher ``first`` means that events were lost.

    Args:
        target (str): Name of the target.

    Attributes:
        since (int): Number of the last event read, sent with the next poll.
    """

    def __init__(self, target):
        self.since = 0
        self._target = target
        self._report_sequence = 0

    def read(self, body, now):
        """Return the `TargetReported` parsed from the JSON body of a load report.

        Args:
            body (object): The decoded JSON body.
            now (float): Kernel time in seconds; the time of measurement is this
                less ``age_ms``.

        Raises:
            ValueError: When the body is not a valid load report.
        """
        counts = _read_counts(body)
        lost = counts["first"] > self.since
        # A gap in the report numbers tells the kernel that events were lost.
        self._report_sequence += 2 if lost else 1
        cached = _read_blocks(body, "cached")
        evicted = _read_blocks(body, "evicted")
        self.since = counts["sequence"]
        return TargetReported(
            target=self._target,
            measured_s=now - counts["age_ms"] / MILLISECONDS_PER_S,
            running=counts["running"],
            queued=counts["queued"],
            capacity=counts["capacity"],
            cached=cached,
            evicted=evicted,
            sequence=self._report_sequence,
        )


def _read_counts(body):
    if not isinstance(body, dict):
        raise ValueError("load report must be a JSON object")
    counts = {name: body.get(name, 0) for name in COUNT_FIELDS}
    for name, value in counts.items():
        try:
            check_integer(value, name)
        except CodecError as error:
            raise ValueError(str(error)) from error
    return counts


def _read_blocks(body, name):
    """Return a tuple of block hashes (bytes) decoded from hexadecimal strings."""
    items = body.get(name, [])
    if not isinstance(items, list) or not all(isinstance(i, str) for i in items):
        raise ValueError(f"{name} must be an array of strings")
    return tuple(bytes.fromhex(item) for item in items)
