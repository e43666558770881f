"""State of one other daemon as seen by this one."""

from firworks.kernel.fleet.digests import (
    RANK_ALIVE,
    RANK_DEAD,
    STATUS_OF_RANK,
    hash_incarnation,
)
from firworks.kernel.messages import VmEntry


class Member:
    """Membership and connection state of one other daemon.

    Attributes:
        name (str): The daemon.
        incarnation (str): Empty until it is known.
        incarnation_hash (int): Hash of the incarnation; -1 until it is known.
        epoch (int): Orders incarnations; 0 until one is known.
        refutation (int): Orders statements about it within an epoch.
        rank (int): One of the ``RANK_`` constants.
        address (str): "ip:port", or empty.
        region (str): Empty until it is known.
        failure_domain (str): Empty until it is known.
        listed (bool): The last VM list contains it.
        last_digest_s (float): When its last digest arrived.
        last_seen_s (float): When its last digest reached this daemon or, as far as
            probe replies tell, another.
        rank_changed_s (float): When its rank last changed.
        probed_s (float): When other daemons were last asked about it.
        dialed_s (float): When this daemon last reconnected to it.
        redial_delay_s (float): Back-off until the next reconnect; 0 for the initial.
        sequence_in (int): Sequence of its last digest.
        sequence_out (int): Sequence of the last digest sent to it.
        acknowledged (int): Last sequence that it acknowledged.
        acknowledged_s (float): When `acknowledged` last advanced.
        introduce_until (int): Digests carry this daemon's `Introduction` until it
            acknowledges this sequence.
        required_epoch (int): Epoch that it must adopt after a restart, or 0.
        sent_s (float): When the last digest was sent to it.
    """

    __slots__ = (
        "name",
        "incarnation",
        "incarnation_hash",
        "epoch",
        "refutation",
        "rank",
        "address",
        "region",
        "failure_domain",
        "listed",
        "last_digest_s",
        "last_seen_s",
        "rank_changed_s",
        "probed_s",
        "dialed_s",
        "redial_delay_s",
        "sequence_in",
        "sequence_out",
        "acknowledged",
        "acknowledged_s",
        "introduce_until",
        "required_epoch",
        "sent_s",
    )

    def __init__(self, name, now):
        self.name = name
        self.incarnation = ""
        self.incarnation_hash = -1
        self.epoch = 0
        self.refutation = 0
        self.rank = RANK_ALIVE
        self.address = ""
        self.region = ""
        self.failure_domain = ""
        self.listed = False
        self.rank_changed_s = now
        self.probed_s = now
        self.redial_delay_s = 0.0
        self.sequence_in = 0
        self.sequence_out = 0
        self.acknowledged = 0
        self.introduce_until = 1
        self.required_epoch = 0
        self.sent_s = float("-inf")
        self.reset_timeouts(now)

    @property
    def state(self):
        """Epoch, refutation and rank, which order statements about the member."""
        return (self.epoch, self.refutation, self.rank)

    @property
    def status(self):
        """One of the ``MEMBER_`` constants."""
        return STATUS_OF_RANK[self.rank]

    @property
    def gone(self):
        """Whether it is considered dead or drained."""
        return self.rank >= RANK_DEAD

    def make_vm(self):
        """Return the member as a `VmEntry`."""
        place = (self.region, self.failure_domain)
        return VmEntry(self.name, self.address, "entry", *place)

    def reset_timeouts(self, now):
        """Restart all timeouts, as if its digest had just arrived."""
        self.last_digest_s = now
        self.last_seen_s = now
        self.acknowledged_s = now
        self.dialed_s = now

    def apply_digest(self, digest, now):
        """Record the sequence numbers of a digest of its current epoch."""
        if digest.sequence > self.sequence_in:
            self.sequence_in = digest.sequence
            self.last_digest_s = now
            self.last_seen_s = now
        if self.acknowledged < digest.acknowledged <= self.sequence_out:
            self.acknowledged = digest.acknowledged
            self.acknowledged_s = now
            self.redial_delay_s = 0.0

    def begin_epoch(self, epoch, introduction, now):
        """Replace the state by that of a new incarnation.

        Args:
            epoch (int): Epoch of the new incarnation.
            introduction (Introduction or MemberFact): Its identity and location.
            now (float): Monotonic time in seconds.
        """
        self.epoch = epoch
        self.incarnation = introduction.incarnation
        self.incarnation_hash = hash_incarnation(introduction.incarnation)
        self.address = introduction.address
        self.region = introduction.region
        self.failure_domain = introduction.failure_domain
        self.refutation = 0
        self.rank = RANK_ALIVE
        self.rank_changed_s = now
        self.sequence_in = 0
        self.required_epoch = 0
        self.introduce_until = self.sequence_out + 1
        self.reset_timeouts(now)
