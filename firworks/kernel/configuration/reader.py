"""Reads the tail of a configuration stream, and further back only if needed."""

from firworks.kernel.configuration.configuration import CHECKS, ConfigurationHistory

TAIL_ENTRIES = 64


class ConfigurationReader:
    """Feeds a `ConfigurationHistory` from reads of the log.

    Args:
        from_oldest (bool): Read all that the log retains, not only the tail.
        checks (dict of int to callable): See `ConfigurationHistory`.

    Attributes:
        history (ConfigurationHistory): Result of the entries read so far.
        at_head (bool): Every entry up to the head of the last read was applied.
    """

    def __init__(self, from_oldest=False, checks=CHECKS):
        self.history = ConfigurationHistory(checks)
        self.at_head = False
        self._from_oldest = from_oldest

    @property
    def offset(self):
        """The offset to read next; None for the oldest retained."""
        return self.history.cursor

    def take(self, read):
        """Apply a `LogRead` and return the new decisions (list of Decision)."""
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
        """Restart at twice the distance from the head, as the entries gave no state."""
        start = self.history.run_start
        if start > read.oldest:
            self.history.begin(max(read.oldest, 2 * start - read.head))
            self.at_head = False
