"""Chooses what to read of a configuration stream, so that a short tail is enough."""

from firworks.kernel.configuration.configuration import CHECKS, ConfigurationHistory

TAIL_ENTRIES = 64


class ConfigurationReader:
    """Feeds a `ConfigurationHistory` from reads of the log.

    Args:
        from_oldest (bool): Read all that the log retains, not only the tail.

        checks (dict of int to callable): See `ConfigurationHistory`.

    Attributes:
        history (ConfigurationHistory): What was read so far.
        at_head (bool): Every entry up to the head of the last read was taken in.
    """

    def __init__(self, from_oldest=False, checks=CHECKS):
        self.history = ConfigurationHistory(checks)
        self.at_head = False
        self._from_oldest = from_oldest

    @property
    def offset(self):
        """The offset to read next; None for the oldest."""
        return self.history.cursor

    def take(self, read):
        """Take in a `LogRead` and return the list of new `Decision`."""
        history = self.history
        if history.cursor is None:
            tail = read.oldest if self._from_oldest else read.head - TAIL_ENTRIES
            history.begin(max(read.oldest, tail))
        decisions = history.fold(read)
        self.at_head = history.cursor >= read.head
        if self.at_head and history.state is None:
            self._extend_back(read)
        return decisions

    def _extend_back(self, read):
        """Begin further back when the tail held nothing to start from."""
        start = self.history.run_start
        if start > read.oldest:
            self.history.begin(max(read.oldest, 2 * start - read.head))
            self.at_head = False
