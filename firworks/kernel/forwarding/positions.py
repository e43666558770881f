"""Positions in the store's topics, comparable across restores of the store.

Load pattern: the store comes back from a copy that is some seconds old. Offsets go back
and are given out again, so that a daemon that reads on from its offset may miss other
records below it. The store counts its restores; a position includes that count, the
era. What a daemon knows at a restore is newer than the copy: a listing of the new era
takes nothing back, and what the copy lacks stays for the time in which the store's
clients write it again.

A position is an integer with the era in its high bits: positions are ordered as they
are, and daemons that know no eras take those of the first era for offsets.
"""

OFFSET_BITS = 48
MAX_OFFSET = (1 << OFFSET_BITS) - 1
# So that positions fit into 64 bits.
MAX_ERA = (1 << 15) - 1
ORIGIN = 0


def make_position(era, offset):
    """Return the position (int) of an offset in a topic.

    Args:
        era (int): Number of restores of the store.
        offset (int): Offset of the next record.
    """
    return era << OFFSET_BITS | offset


def get_era(position):
    """Return the number of restores of the store (int) of a position."""
    return position >> OFFSET_BITS


def get_offset(position):
    """Return the offset (int) of a position in its topic."""
    return position & MAX_OFFSET
