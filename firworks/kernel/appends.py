"""Batched appends to one log stream, within the fleet's append budget."""

from firworks.kernel.messages import AppendRecords

MAX_BATCH_RECORDS = 500
BUDGET_SHARE = 0.8  # of the fleet's budget; configuration and orders use the rest


def compute_interval_s(budget_per_s, streams):
    """Return the minimum interval in seconds between appends to one stream.

    Args:
        budget_per_s (float): Appends per second that the whole fleet may make.
        streams (int): Streams that share the budget.
    """
    return streams / (budget_per_s * BUDGET_SHARE)


class Appender:
    """Queue of records for one stream, with at most one append in flight.

    The records queued when the previous append has ended and the interval has passed
    form the next batch, up to `MAX_BATCH_RECORDS`.

    Args:
        owner (str): Name of the kernel part; prefix of each append id.
        stream (str): Name of the stream.
        interval_s (float): Minimum time between two appends.
    """

    def __init__(self, owner, stream, interval_s):
        self._owner = owner
        self._stream = stream
        self._interval_s = interval_s
        self._queue = []
        self._in_flight = ()
        self._append_id = ""
        self._count = 0
        self._next_s = 0.0

    def __len__(self):
        return len(self._queue) + len(self._in_flight)

    def add(self, record):
        """Queue a record."""
        self._queue.append(record)

    def poll(self, now):
        """Return the append to make now, as a list of at most one action."""
        if self._append_id or not self._queue or now < self._next_s:
            return []
        self._in_flight = tuple(self._queue[:MAX_BATCH_RECORDS])
        del self._queue[:MAX_BATCH_RECORDS]
        self._count += 1
        self._append_id = f"{self._owner}/{self._stream}/{self._count}"
        self._next_s = now + self._interval_s
        return [AppendRecords(self._append_id, self._stream, self._in_flight)]

    def finish(self, event):
        """Complete the append in flight and return its records.

        Args:
            event (RecordsAppended or AppendFailed): The result; ignored if it belongs
                to another append.

        Returns:
            tuple of Record: The records that were in flight, or empty.
        """
        if not self._append_id or event.append_id != self._append_id:
            return ()
        records, self._in_flight = self._in_flight, ()
        self._append_id = ""
        return records

    def clear(self):
        """Remove the queued records and return them."""
        records, self._queue = tuple(self._queue), []
        return records
