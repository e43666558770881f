"""Gap-free reading of one log stream."""

from firworks.kernel.messages import ReadLog

READ_TIMEOUT_S = 10.0


class StreamReader:
    """Follows one stream from its oldest entry on, without gaps.

    Args:
        stream (str): Name of the stream.
        poll_interval_s (float): How often the head is checked for new entries.

    Attributes:
        poll_interval_s (float): May be changed at any time.
        next_offset (int or None): Everything retained before it was read.
        caught_up (bool): The head has been reached at least once.
        restarted (bool): The last `take` lost its place; what was read is void.
    """

    def __init__(self, stream, poll_interval_s):
        self.next_offset = None
        self.caught_up = False
        self.restarted = False
        self._stream = stream
        self.poll_interval_s = poll_interval_s
        self._due_s = 0.0
        self._asked_s = None

    def request_poll(self):
        """Read again as soon as possible."""
        self._due_s = 0.0

    def poll(self, now):
        """Return the read to make now, as a list of at most one action."""
        if self._asked_s is not None and now < self._asked_s + READ_TIMEOUT_S:
            return []
        if now < self._due_s:
            return []
        self._asked_s = now
        self._due_s = now + self.poll_interval_s
        return [ReadLog(self._stream, self.next_offset)]

    def fail(self, event, now):
        """Take a `LogReadFailed`; the next read waits one interval."""
        if event.asked == self.next_offset:
            self._asked_s = None
            self._due_s = now + self.poll_interval_s

    def take(self, event):
        """Take a `LogRead` and return the entries that follow without a gap.

        Args:
            event (LogRead): One for another position is ignored.

        Returns:
            tuple of LogEntry: To be applied in order.
        """
        self.restarted = False
        if event.asked != self.next_offset:
            return ()
        self._asked_s = None
        if self.next_offset is None:
            self.next_offset = event.oldest
        elif event.oldest > self.next_offset:
            self._restart()
            return ()
        entries = tuple(self._follow(event.entries))
        if self.next_offset < event.head:
            self.request_poll()
        else:
            self.caught_up = True
        return entries

    def _follow(self, entries):
        for entry in entries:
            if entry.offset > self.next_offset:
                return
            if entry.offset == self.next_offset:
                self.next_offset += 1
                yield entry

    def _restart(self):
        self.next_offset = None
        self.caught_up = False
        self.restarted = True
        self.request_poll()
