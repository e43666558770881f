"""What a daemon says about itself, and how it answers what others believe."""

from firworks.kernel.fleet.digests import (
    RANK_ALIVE,
    RANK_DRAINED,
    RANK_SUSPECT,
    Introduction,
    hash_incarnation,
)


class OwnState:
    """This daemon's epoch, refutation and status.

    Args:
        incarnation (str): Unique for each start of the process.
        vm (VmEntry): Where this daemon is.

    Attributes:
        epoch (int): Orders this incarnation after its predecessors.
        refutation (int): Orders statements within the epoch.
        rank (int): One of the ``RANK_`` constants.
        tag (int): Hash of the incarnation.
        introduction (Introduction): Tells others who this is.
    """

    def __init__(self, incarnation, vm):
        self.epoch = 1
        self.refutation = 0
        self.rank = RANK_ALIVE
        self.tag = hash_incarnation(incarnation)
        place = (vm.address, vm.region, vm.failure_domain)
        self.introduction = Introduction(incarnation, *place)

    def apply_peer_view(self, digest):
        """Answer a neighbour's opinion; returns whether this state changed."""
        if digest.peer_epoch > self.epoch:
            return self._raise_epoch(digest.peer_epoch)
        if digest.peer_epoch == self.epoch and digest.peer_rank >= RANK_SUSPECT:
            return self._refute(digest.peer_refutation)
        return False

    def apply_member_fact(self, fact):
        """Answer a `MemberFact` about this daemon, or about a predecessor."""
        same = fact.incarnation == self.introduction.incarnation
        if not same and fact.epoch >= self.epoch:
            return self._raise_epoch(fact.epoch + 1)
        if same and fact.epoch == self.epoch and fact.rank >= RANK_SUSPECT:
            return self._refute(fact.refutation)
        return False

    def announce(self, rank):
        """Take a later status by this daemon's own will."""
        self.rank = max(self.rank, rank)
        self.refutation += 1

    def _raise_epoch(self, epoch):
        self.epoch = epoch
        self.refutation = 0
        return True

    def _refute(self, refutation):
        if refutation < self.refutation or self.rank == RANK_DRAINED:
            return False
        self.refutation = refutation + 1
        return True
