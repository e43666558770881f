"""State that a daemon announces about itself, and refutation of other views."""

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
        vm (VmEntry): Address, region and failure domain of this daemon.

    Attributes:
        epoch (int): Orders this incarnation after earlier ones.
        refutation (int): Orders this daemon's states within the epoch.
        rank (int): One of the ``RANK_`` constants.
        incarnation_hash (int): Hash of the incarnation.
        introduction (Introduction): Identity and location as sent to others.
    """

    def __init__(self, incarnation, vm):
        self.epoch = 1
        self.refutation = 0
        self.rank = RANK_ALIVE
        self.incarnation_hash = hash_incarnation(incarnation)
        place = (vm.address, vm.region, vm.failure_domain)
        self.introduction = Introduction(incarnation, *place)

    def apply_peer_view(self, digest):
        """Respond to a neighbour's view of this daemon.

        Args:
            digest (Digest): Carries the view in its ``peer_`` fields.

        Returns:
            bool: Whether this state changed and must be announced.
        """
        if digest.peer_epoch > self.epoch:
            return self._raise_epoch(digest.peer_epoch)
        if digest.peer_epoch == self.epoch and digest.peer_rank >= RANK_SUSPECT:
            return self._refute(digest.peer_refutation)
        return False

    def apply_member_fact(self, fact):
        """Respond to a `MemberFact` about this daemon or an earlier incarnation.

        Args:
            fact (MemberFact): The fact.

        Returns:
            bool: Whether this state changed and must be announced.
        """
        same = fact.incarnation == self.introduction.incarnation
        if not same and fact.epoch >= self.epoch:
            return self._raise_epoch(fact.epoch + 1)
        if same and fact.epoch == self.epoch and fact.rank >= RANK_SUSPECT:
            return self._refute(fact.refutation)
        return False

    def announce(self, rank):
        """Raise this daemon's own rank, as when it starts or ends a drain."""
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
