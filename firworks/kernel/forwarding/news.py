"""How a daemon that the store does not answer learns what is new.

Load pattern: the store turns some daemons away, or they are cut off from it, while the
operator takes keys away and targets leave. Such a daemon asks others, which the store
still answers; the others are not troubled otherwise.
"""

from hashlib import blake2b

from firworks.kernel.codec import register_record
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.evacuations import Evacuated
from firworks.kernel.messages import Record
from firworks.kernel.pools.messages import MemberEntry

# Time from one round of questions to the next.
QUERY_PERIOD_S = 0.4
# Members asked in a round: one of them may be cut off too.
PEERS_PER_QUERY = 3
DIGEST_BYTES = 8


@register_record
class TargetEntry(Record):
    """A target as one daemon tells another; see `Target`."""

    __slots__ = Target.__slots__
    TYPES = (str, str, str, str, str, int, bool, int, float)


@register_record
class AskNews(Record):
    """Asks for what the sender does not know.

    Attributes:
        entry (MemberEntry): The sender, so that it can be answered.
        version (int): Of its configuration; -1 without one.
        digest (bytes): Of its targets.
        members (bytes): Digest of its members.
        evacuated (int): Offset of its word on evacuations.
    """

    __slots__ = ("entry", "version", "digest", "members", "evacuated")
    TYPES = (MemberEntry, int, bytes, bytes, int)


@register_record
class News(Record):
    """What the asking daemon does not know.

    Attributes:
        configuration (bytes): The record of a newer one; empty without one.
        listed (bool): ``targets`` is the whole list.
        offset (int): The targets' topic has been read up to here.
        targets (tuple of TargetEntry): All targets, if they differ.
        members (tuple of MemberEntry): Daemons that the sender knows.
        evacuated (Evacuated): Failure domains that get no work.
    """

    __slots__ = (
        "configuration",
        "listed",
        "offset",
        "targets",
        "members",
        "evacuated",
    )
    TYPES = (bytes, bool, int, (TargetEntry,), (MemberEntry,), Evacuated)


class PeerQueryPolicy:
    """Decides when to ask and whom.

    Args:
        roster (Roster): The members.
        seeds (iterable of str): Names under which peers can be dialed while no
            member is known.
        rng (random.Random): Chooses among the members.
    """

    def __init__(self, roster, seeds, rng):
        self._roster = roster
        self.set_seeds(seeds)
        self._rng = rng
        self._failing = set()
        self._asked_s = float("-inf")

    @property
    def deprived(self):
        """Whether the store does not answer this daemon."""
        return bool(self._failing)

    def set_seeds(self, seeds):
        """Take in other seeds; see the class."""
        self._seeds = tuple(seeds)

    def note_store(self, topic, answers):
        """Take in whether the store answers for a topic (str)."""
        if answers:
            self._failing.discard(topic)
        else:
            self._failing.add(topic)

    def choose_peers(self, now):
        """Return the names of the daemons to ask now; mostly none."""
        if not self._failing or now - self._asked_s < QUERY_PERIOD_S:
            return []
        self._asked_s = now
        names = self._roster.names
        trusted = [name for name in names if not self._roster.is_suspected(name)]
        candidates = trusted or names or list(self._seeds)
        return self._rng.sample(candidates, min(PEERS_PER_QUERY, len(candidates)))


def digest_targets(targets):
    """Return a hash (bytes) of the targets, whatever their order."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for line in sorted(f"{t.target_id} {t.born_ms} {t.leaving}" for t in targets):
        digest.update(line.encode())
        digest.update(b"\n")
    return digest.digest()
