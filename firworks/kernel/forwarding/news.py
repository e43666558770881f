"""Fetches state from peers while the store does not answer this daemon.

Load pattern: the store rejects some daemons, or they are partitioned from it, while the
operator revokes keys and targets leave. Such a daemon queries peers that the store
still answers; peers get no queries otherwise.
"""

from hashlib import blake2b

from firworks.kernel.codec import register_record
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.evacuations import Evacuated
from firworks.kernel.messages import Record
from firworks.kernel.pools.messages import MemberEntry

# Time from one round of queries to the next.
QUERY_PERIOD_S = 0.4
# Members queried in a round: one of them may be partitioned from the store too.
PEERS_PER_QUERY = 3
DIGEST_BYTES = 8


@register_record
class TargetEntry(Record):
    """A target as sent from one daemon to another; see `Target`."""

    __slots__ = Target.__slots__
    TYPES = (str, str, str, str, str, int, bool, int, float)


@register_record
class AskNews(Record):
    """Queries a peer for state that the sender lacks.

    Attributes:
        entry (MemberEntry): The sender, so that the peer can reply.
        version (int): Version of its configuration; -1 without one.
        digest (bytes): Digest of its targets.
        members (bytes): Digest of its members.
        evacuated (int): Position of its evacuated failure domains.
    """

    __slots__ = ("entry", "version", "digest", "members", "evacuated")
    TYPES = (MemberEntry, int, bytes, bytes, int)


@register_record
class News(Record):
    """Reply to `AskNews` with the state that the sender lacks.

    Attributes:
        configuration (bytes): Record of a newer configuration; empty without one.
        listed (bool): ``targets`` is the full list.
        position (int): Position up to which the targets' topic has been read.
        targets (tuple of TargetEntry): All targets, if the digests differ.
        members (tuple of MemberEntry): Members known to the replying daemon.
        evacuated (Evacuated): Failure domains that get no work.
    """

    __slots__ = (
        "configuration",
        "listed",
        "position",
        "targets",
        "members",
        "evacuated",
    )
    TYPES = (bytes, bool, int, (TargetEntry,), (MemberEntry,), Evacuated)


class PeerQueryPolicy:
    """Decides when to query peers, and which ones.

    Args:
        roster (Roster): The members.
        seeds (iterable of str): Names of peers that can be dialed while no member is
            known.
        rng (random.Random): Chooses among the members.
    """

    def __init__(self, roster, seeds, rng):
        self._roster = roster
        self.set_seeds(seeds)
        self._rng = rng
        self._failing_topics = set()
        self._queried_s = float("-inf")

    @property
    def store_unavailable(self):
        """Whether the store does not answer this daemon."""
        return bool(self._failing_topics)

    def set_seeds(self, seeds):
        """Replace the seeds; see the class."""
        self._seeds = tuple(seeds)

    def record_store_status(self, topic, is_available):
        """Record whether the store answers requests for a topic (str)."""
        if is_available:
            self._failing_topics.discard(topic)
        else:
            self._failing_topics.add(topic)

    def choose_peers(self, now):
        """Return the names (list of str) of the peers to query now; usually none.

        Suspected members are queried only if there are no others.
        """
        if not self._failing_topics or now - self._queried_s < QUERY_PERIOD_S:
            return []
        self._queried_s = now
        names = self._roster.names
        trusted = [name for name in names if not self._roster.is_suspected(name)]
        candidates = trusted or names or list(self._seeds)
        return self._rng.sample(candidates, min(PEERS_PER_QUERY, len(candidates)))


def digest_targets(targets):
    """Return a hash (bytes) of the targets, independent of their order."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for line in sorted(f"{t.target_id} {t.born_ms} {t.leaving}" for t in targets):
        digest.update(line.encode())
        digest.update(b"\n")
    return digest.digest()
