"""Decides whether a body arrives fast enough, and whether a response is read.

Load pattern: callers send bodies byte by byte, so that each request occupies memory and
a connection for as long as a limit on its total time allows. A limit on the total time
would also end large bodies on slow links, so a rate is required.
"""


class BodyProgress:
    """Follows the bytes of one body.

    Args:
        grace_s (float): Seconds for which the body may fall short of the rate.
        bytes_per_s (float): The rate.
        now (float): Monotonic seconds.
        received (int): Bytes received so far.
    """

    __slots__ = ("_grace_s", "_bytes_per_s", "_credit_s", "_last_s", "_received")

    def __init__(self, grace_s, bytes_per_s, now, received):
        self._grace_s = self._credit_s = grace_s
        self._bytes_per_s = bytes_per_s
        self._last_s = now
        self._received = received

    def update(self, received, now, paused):
        """Record the bytes received so far.

        Args:
            received (int): Bytes of the body.
            now (float): Monotonic seconds.
            paused (bool): Nothing is read now, so that the time does not count.

        Returns:
            bool: Whether the body may go on.
        """
        if not paused:
            self._credit_s -= now - self._last_s
        self._credit_s += (received - self._received) / self._bytes_per_s
        self._credit_s = min(self._grace_s, self._credit_s)
        self._last_s, self._received = now, received
        return self._credit_s > 0


class WriteProgress:
    """Follows the bytes of responses that were written and that a caller has not read.

    Attributes:
        unread (int): Those bytes, when last measured.
    """

    __slots__ = ("unread", "_since_s")

    def __init__(self):
        self.unread = 0
        self._since_s = 0.0

    def update(self, unread, now):
        """Return for how many seconds a caller has read nothing of what it could.

        Args:
            unread (int): Bytes that wait to be read.
            now (float): Monotonic seconds.
        """
        if unread != self.unread:
            self.unread, self._since_s = unread, now
        return now - self._since_s if unread else 0.0
