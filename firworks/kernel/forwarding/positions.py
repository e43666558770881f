"""Positions in the store's topics, comparable across restores of the store.

Load pattern: the store comes back from a copy that is some seconds old. Offsets go back
and are given out again, so that a daemon that reads on from its offset may miss other
records below it. The store counts its restores; a position includes that count, the
era. What a daemon knows at a restore is newer than the copy: a listing of the new era
takes nothing back, and what the copy lacks stays for the time in which the store's
clients write it again.
"""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class StorePosition(Record):
    """Position up to which a topic has been read.

    Attributes:
        era (int): Number of restores of the store.
        offset (int): Offset of the next record.
    """

    __slots__ = ("era", "offset")
    TYPES = (int, int)

    def is_before(self, other):
        """Return whether another position (StorePosition) is newer."""
        return self.values() < other.values()


ORIGIN = StorePosition(0, 0)
