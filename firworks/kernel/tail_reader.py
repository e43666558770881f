"""Follows the tail of a log stream without gaps."""

from firworks.kernel.messages import ReadLog

READ_TIMEOUT_S = 5.0


class TailReader:
    """Reads a stream from near its head on.

    Args:
        stream (str): Name of the stream.
        tail_entries (int): How far before the head to begin.
        interval_s (float): Between polls at the head.

    Attributes:
        cursor (int): Offset of the next entry; None before the first answer.
        run_start (int): Since this offset no entry was missed.
        oldest (int): The oldest offset that the log retained at the last answer.
        at_head (bool): The last answer led up to the head.
    """

    def __init__(self, stream, tail_entries, interval_s):
        self.stream = stream
        self.cursor = None
        self.run_start = None
        self.oldest = 0
        self.at_head = False
        self._tail_entries = tail_entries
        self._interval_s = interval_s
        self._next_s = 0.0
        self._until_s = None

    def request_poll(self, now):
        """Poll as soon as possible."""
        self._next_s = now

    def poll(self, now):
        """Return the read to make now, as a list of at most one action."""
        waiting = self._until_s is not None and now < self._until_s
        if waiting or now < self._next_s:
            return []
        self._until_s = now + READ_TIMEOUT_S
        return [ReadLog(self.stream, self.cursor)]

    def fail(self, now):
        """Take a failed read; the next one waits for an interval."""
        self._until_s = None
        self._next_s = now + self._interval_s

    def take(self, read, now):
        """Return the new entries of a `LogRead`, in order and without gaps."""
        self._until_s = None
        self.oldest = read.oldest
        if self.cursor is None:
            self._begin(max(read.oldest, read.head - self._tail_entries))
        elif read.oldest > self.cursor:
            self._begin(read.oldest)
        before = self.cursor
        entries = list(self._follow(read.entries))
        self.at_head = self.cursor >= read.head
        moved = self.cursor > before or read.asked is None
        more = not self.at_head and moved
        self._next_s = now if more else now + self._interval_s
        return entries

    def _begin(self, offset):
        self.cursor = offset
        self.run_start = offset

    def _follow(self, entries):
        for entry in entries:
            if entry.offset == self.cursor:
                self.cursor += 1
                yield entry
