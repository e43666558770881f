"""What a daemon knows about one other daemon."""

from firworks.kernel.fleet.digests import (
    RANK_ALIVE,
    RANK_DEAD,
    STATUS_OF_RANK,
    hash_incarnation,
)
from firworks.kernel.messages import VmEntry


class Member:
    """State of one other daemon in this daemon's view.

    Attributes:
        name (str): The daemon.
        incarnation (str): Empty until it is known.
        tag (int): Hash of the incarnation; -1 until it is known.
        epoch (int): Orders incarnations; 0 until one is known.
        refutation (int): Orders statements within an epoch.
        rank (int): One of the ``RANK_`` constants.
        address (str): "ip:port", or empty.
        region (str): Empty until it is known.
        failure_domain (str): Empty until it is known.
        listed (bool): The last VM list holds it.
        heard_s (float): When its last digest arrived.
        confirmed_s (float): When it was last heard by this daemon or another.
        ranked_s (float): When its rank last changed.
        probed_s (float): When others were last asked about it.
        dialed_s (float): When this daemon last dialed it anew.
        redial_delay_s (float): Time to the next dialing without acknowledgement.
        sequence_in (int): Sequence of its last digest.
        sequence_out (int): Sequence of the last digest sent to it.
        acknowledged (int): Last sequence that it acknowledged.
        acknowledged_s (float): When that last advanced.
        introduce_until (int): Introductions go along until this is acknowledged.
        required_epoch (int): Epoch that a restarted daemon must take, or 0.
        sent_s (float): When the last digest was sent to it.
    """

    __slots__ = (
        "name",
        "incarnation",
        "tag",
        "epoch",
        "refutation",
        "rank",
        "address",
        "region",
        "failure_domain",
        "listed",
        "heard_s",
        "confirmed_s",
        "ranked_s",
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
        self.tag = -1
        self.epoch = 0
        self.refutation = 0
        self.rank = RANK_ALIVE
        self.address = ""
        self.region = ""
        self.failure_domain = ""
        self.listed = False
        self.ranked_s = now
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
        """Orders what is said about the member."""
        return (self.epoch, self.refutation, self.rank)

    @property
    def status(self):
        """One of the ``MEMBER_`` constants."""
        return STATUS_OF_RANK[self.rank]

    @property
    def gone(self):
        """Whether it is held to be dead or drained."""
        return self.rank >= RANK_DEAD

    def make_vm(self):
        """Return the member as a `VmEntry`."""
        place = (self.region, self.failure_domain)
        return VmEntry(self.name, self.address, "entry", *place)

    def reset_timeouts(self, now):
        """Start all waits afresh, as if it had just been heard."""
        self.heard_s = now
        self.confirmed_s = now
        self.acknowledged_s = now
        self.dialed_s = now

    def apply_digest(self, digest, now):
        """Take over sequence numbers of a digest of its current epoch."""
        if digest.sequence > self.sequence_in:
            self.sequence_in = digest.sequence
            self.heard_s = now
            self.confirmed_s = now
        if self.acknowledged < digest.acknowledged <= self.sequence_out:
            self.acknowledged = digest.acknowledged
            self.acknowledged_s = now
            self.redial_delay_s = 0.0

    def begin_epoch(self, epoch, introduction, now):
        """Become a new incarnation."""
        self.epoch = epoch
        self.incarnation = introduction.incarnation
        self.tag = hash_incarnation(introduction.incarnation)
        self.address = introduction.address
        self.region = introduction.region
        self.failure_domain = introduction.failure_domain
        self.refutation = 0
        self.rank = RANK_ALIVE
        self.ranked_s = now
        self.sequence_in = 0
        self.required_epoch = 0
        self.introduce_until = self.sequence_out + 1
        self.reset_timeouts(now)
