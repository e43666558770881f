"""Reads a log stream from its oldest entry on, without gaps."""

from firworks.kernel.messages import ReadLog

READ_TIMEOUT_S = 10.0


class StreamReader:
    """Follows one stream from its oldest entry on, without gaps.

    Args:
        stream (str): Name of the stream.
        poll_interval_s (float): Time between polls for new entries at the head.

    Attributes:
        poll_interval_s (float): May be changed at any time.
        next_offset (int or None): Offset of the next entry to read; None before the
            first read after a start or restart.
        caught_up (bool): The head has been reached since the reader last (re)started.
        restarted (bool): The last `take` found that unread entries are no longer
            retained; reading restarts at the oldest entry, and state built from
            earlier entries is invalid.
    """

    def __init__(self, stream, poll_interval_s):
        self.next_offset = None
        self.caught_up = False
        self.restarted = False
        self._stream = stream
        self.poll_interval_s = poll_interval_s
        self._due_s = 0.0
        self._requested_s = None

    def request_poll(self):
        """Read again as soon as possible."""
        self._due_s = 0.0

    def poll(self, now):
        """Return the read to make now, as a list of at most one action."""
        if self._requested_s is not None and now < self._requested_s + READ_TIMEOUT_S:
            return []
        if now < self._due_s:
            return []
        self._requested_s = now
        self._due_s = now + self.poll_interval_s
        return [ReadLog(self._stream, self.next_offset)]

    def fail(self, event, now):
        """Handle a `LogReadFailed`; the next read waits one interval."""
        if event.requested_offset == self.next_offset:
            self._requested_s = None
            self._due_s = now + self.poll_interval_s

    def take(self, event):
        """Return the entries of a `LogRead` that continue the stream without a gap.

        Args:
            event (LogRead): Ignored if it was requested for another offset.

        Returns:
            tuple of LogEntry: To be applied in order.
        """
        self.restarted = False
        if event.requested_offset != self.next_offset:
            return ()
        self._requested_s = None
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
