"""Records that daemons exchange about membership and facts."""

from xxhash import xxh32_intdigest

from firworks.kernel.codec import register_record
from firworks.kernel.fleet.events import (
    MEMBER_ALIVE,
    MEMBER_DEAD,
    MEMBER_LEAVING,
    MEMBER_SUSPECT,
)
from firworks.kernel.messages import Record, Signal

# Precedence of a member's status: of two statements with equal epoch and refutation
# the one of the higher rank wins.
RANK_ALIVE = 0
RANK_LEAVING = 1
RANK_SUSPECT = 2
RANK_DEAD = 3
RANK_DRAINED = 4

RANK_COUNT = 8  # above all ranks; a fact's counter is refutation * RANK_COUNT + rank

STATUS_OF_RANK = {
    RANK_ALIVE: MEMBER_ALIVE,
    RANK_LEAVING: MEMBER_LEAVING,
    RANK_SUSPECT: MEMBER_SUSPECT,
    RANK_DEAD: MEMBER_DEAD,
    RANK_DRAINED: MEMBER_DEAD,
}

INCARNATION_HASH_MASK = 0xFFFF

TOPIC_MEMBER = "member"
MEMBER_TTL_S = 3600.0


def hash_incarnation(incarnation):
    """Return a 16-bit hash (int) of an incarnation."""
    return xxh32_intdigest(incarnation.encode()) & INCARNATION_HASH_MASK


@register_record
class Introduction(Record):
    """Identity and location of a daemon; repeated until the receiver acknowledges."""

    __slots__ = ("incarnation", "address", "region", "failure_domain")
    TYPES = (str, str, str, str)


@register_record
class Fact(Record):
    """A versioned key-value entry as it is sent between daemons.

    Attributes:
        topic (str): One of the ``TOPIC_`` constants.
        key (str): What it is about.
        origin (str): The daemon that published it; for members, the member itself.
        epoch (int): The origin's epoch.
        counter (int): Orders the origin's versions within an epoch.
        ttl_s (float): Time left until it expires.
        value (Record): The content.
    """

    __slots__ = ("topic", "key", "origin", "epoch", "counter", "ttl_s", "value")
    TYPES = (str, str, str, int, int, float, Record)

    @property
    def identity(self):
        """Topic, key and origin; a newer fact with the same identity replaces it."""
        return (self.topic, self.key, self.origin)

    @property
    def version(self):
        """Epoch and counter, which order the facts of one identity."""
        return (self.epoch, self.counter)


@register_record
class Digest(Record):
    """Heartbeat with piggybacked facts, sent to each neighbour once per period.

    Attributes:
        epoch (int): The sender's epoch.
        incarnation_hash (int): Distinguishes incarnations; see `hash_incarnation`.
        refutation (int): Counts the sender's refutations and status changes in this
            epoch.
        rank (int): The sender's own status, one of the ``RANK_`` constants.
        sequence (int): Counts the sender's digests to this receiver.
        acknowledged (int): `sequence` of the last digest that the sender got from the
            receiver.
        peer_epoch (int): The receiver's epoch as the sender knows it, or the epoch
            that a restarted receiver must adopt to supersede its last incarnation.
        peer_refutation (int): The receiver's refutation as the sender knows it.
        peer_rank (int): The receiver's status in the sender's view.
        reply_only (bool): The sender only replies to the receiver's digests, so the
            receiver does not add it to its inbound peers.
        table_checksum (int): Hash of the sender's fleet-wide facts.
        introductions (tuple of Introduction): The sender's, or empty.
        facts (tuple of bytes): Encoded `Fact` records; a receiver skips those that it
            cannot decode.
    """

    __slots__ = (
        "epoch",
        "incarnation_hash",
        "refutation",
        "rank",
        "sequence",
        "acknowledged",
        "peer_epoch",
        "peer_refutation",
        "peer_rank",
        "reply_only",
        "table_checksum",
        "introductions",
        "facts",
    )
    TYPES = (*[int] * 9, bool, int, (Introduction,), (bytes,))


@register_record
class TableSummary(Record):
    """Hashes of the versions of all fleet-wide facts that the sender has."""

    __slots__ = ("version_hashes",)
    TYPES = ((int,),)


@register_record
class Probe(Record):
    """Asks when the receiver last got a digest from the daemon `subject` (str)."""

    __slots__ = ("subject",)
    TYPES = (str,)


@register_record
class ProbeReply(Record):
    """The sender got a digest of `subject`, in its `epoch`, `age_s` seconds ago."""

    __slots__ = ("subject", "epoch", "age_s")
    TYPES = (str, int, float)


@register_record
class MemberFact(Record):
    """Content of a member's `Fact`: its state and its `Introduction`'s fields."""

    __slots__ = (
        "epoch",
        "refutation",
        "rank",
        "incarnation",
        "address",
        "region",
        "failure_domain",
    )
    TYPES = (int, int, int, str, str, str, str)


def make_member_fact(member, ttl_s):
    """Return the `Fact` that describes the current state of a `Member`."""
    value = MemberFact(
        member.epoch,
        member.refutation,
        member.rank,
        member.incarnation,
        member.address,
        member.region,
        member.failure_domain,
    )
    counter = member.refutation * RANK_COUNT + member.rank
    name = member.name
    return Fact(TOPIC_MEMBER, name, name, member.epoch, counter, ttl_s, value)


class VersionedFactChanged(Signal):
    """A fact that already has an epoch and counter is to be published.

    Attributes:
        fact (Fact): Published unchanged.
    """

    __slots__ = ("fact",)
