"""Reads the load reports of targets, and the cache events of engines in them."""

from firworks.kernel.calls import TargetReported

MILLISECONDS_PER_S = 1000.0
COUNT_FIELDS = ("running", "queued", "capacity", "age_ms", "first", "sequence")


class LoadReader:
    """Turns one target's answers into reports.

    An answer holds the cache events after its number ``first`` up to its number
    ``sequence``. Asked with ``since``, an engine that still has all events from
    there on answers with that number as ``first``; a later one tells that events
    were lost.

    Args:
        target (str): Name of the target.

    Attributes:
        since (int): Number of the last event that was read.
    """

    def __init__(self, target):
        self.since = 0
        self._target = target
        self._report_sequence = 0

    def read(self, body, now):
        """Return the `TargetReported` held in a load report's JSON value.

        Args:
            body (object): The JSON value.
            now (float): Kernel time; the report's ``age_ms`` goes off it.

        Raises:
            ValueError: When the value is not a load report.
        """
        counts = _read_counts(body)
        lost = counts["first"] > self.since
        # The kernel knows lost events by a gap in the numbers of reports.
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
        raise ValueError("a load report must be a JSON object")
    counts = {name: body.get(name, 0) for name in COUNT_FIELDS}
    for name, value in counts.items():
        if type(value) is not int or value < 0:
            raise ValueError(f"{name} must be a whole number from 0 on")
    return counts


def _read_blocks(body, name):
    """Return block hashes (tuple of bytes) from their hexadecimal form."""
    items = body.get(name, [])
    if not isinstance(items, list) or not all(isinstance(i, str) for i in items):
        raise ValueError(f"{name} must be an array of texts")
    return tuple(bytes.fromhex(item) for item in items)
