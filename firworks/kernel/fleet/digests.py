"""Records that daemons exchange about each other and about shared facts."""

from xxhash import xxh32_intdigest

from firworks.kernel.codec import register_record
from firworks.kernel.fleet.events import (
    MEMBER_ALIVE,
    MEMBER_DEAD,
    MEMBER_LEAVING,
    MEMBER_SUSPECT,
)
from firworks.kernel.messages import Record, Signal

# Ranks of a member's status; at equal epoch and refutation the higher rank wins.
RANK_ALIVE = 0
RANK_LEAVING = 1
RANK_SUSPECT = 2
RANK_DEAD = 3
RANK_DRAINED = 4

RANK_COUNT = 8  # factor of the refutation in a member fact's counter

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
    """Return a small hash (int) of an incarnation."""
    return xxh32_intdigest(incarnation.encode()) & INCARNATION_HASH_MASK


@register_record
class Introduction(Record):
    """Who a daemon is; sent until the other end acknowledges it."""

    __slots__ = ("incarnation", "address", "region", "failure_domain")
    TYPES = (str, str, str, str)


@register_record
class Fact(Record):
    """A fact as it travels.

    Attributes:
        topic (str): One of the ``TOPIC_`` constants.
        key (str): What it is about.
        origin (str): The daemon that stated it; for members, the member itself.
        epoch (int): The origin's epoch.
        counter (int): Orders the origin's statements within an epoch.
        ttl_s (float): Time left until it is forgotten.
        value (Record): The fact.
    """

    __slots__ = ("topic", "key", "origin", "epoch", "counter", "ttl_s", "value")
    TYPES = (str, str, str, int, int, float, Record)

    @property
    def identity(self):
        """What a newer fact replaces: the topic, key and origin."""
        return (self.topic, self.key, self.origin)

    @property
    def version(self):
        """Orders the facts of one identity."""
        return (self.epoch, self.counter)


@register_record
class Digest(Record):
    """The one message that a daemon sends to a neighbour in each period.

    Attributes:
        epoch (int): The sender's epoch.
        tag (int): Tells the sender's incarnations apart, see `hash_incarnation`.
        refutation (int): How often the sender refuted a suspicion in this epoch.
        rank (int): The sender's status, one of the ``RANK_`` constants.
        sequence (int): Counts the sender's digests to this receiver.
        acknowledged (int): Sequence of the last digest received from the receiver.
        peer_epoch (int): The receiver's epoch as the sender knows it, or the epoch
            that the receiver must take so as to be newer than its predecessor.
        peer_refutation (int): The receiver's refutation as the sender knows it.
        peer_rank (int): The receiver's status in the sender's view.
        reply_only (bool): The sender only returns the receiver's digests.
        table (int): Hash of the sender's fleet-wide facts.
        introductions (tuple of Introduction): The sender's, or nothing.
        facts (tuple of bytes): News, each an encoded `Fact`; a receiver skips what it
            does not understand.
    """

    __slots__ = (
        "epoch",
        "tag",
        "refutation",
        "rank",
        "sequence",
        "acknowledged",
        "peer_epoch",
        "peer_refutation",
        "peer_rank",
        "reply_only",
        "table",
        "introductions",
        "facts",
    )
    TYPES = (*[int] * 9, bool, int, (Introduction,), (bytes,))


@register_record
class TableSummary(Record):
    """Marks (hashes) of all fleet-wide facts that the sender has."""

    __slots__ = ("version_hashes",)
    TYPES = ((int,),)


@register_record
class Probe(Record):
    """Asks the receiver when it last heard `subject` (str)."""

    __slots__ = ("subject",)
    TYPES = (str,)


@register_record
class ProbeReply(Record):
    """The sender heard `subject`, in its `epoch`, `age_s` seconds ago."""

    __slots__ = ("subject", "epoch", "age_s")
    TYPES = (str, int, float)


@register_record
class MemberFact(Record):
    """What is said about a member: its state and its `Introduction`'s fields."""

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
    """Return the `Fact` that states a `Member` as it is."""
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
    """A fact with its own order is to be spread; `fact` is a Fact."""

    __slots__ = ("fact",)
