"""Failure domains that the operator has evacuated.

Load pattern: a failure domain is to be drained within seconds, and put back into
service as quickly, while the store rejects some daemons or answers others late. States
from other daemons arrive in any order, so each carries the position in the operator's
topic up to which it is valid; one with an earlier position is ignored.
"""

from firworks.kernel.codec import register_record
from firworks.kernel.forwarding.positions import ORIGIN
from firworks.kernel.messages import Record


@register_record
class Evacuated(Record):
    """The failure domains that get no work, as of a position.

    Attributes:
        position (int): Up to which the operator's topic has been read.
        domains (tuple of str): Names of the failure domains, sorted.
    """

    __slots__ = ("position", "domains")
    TYPES = (int, (str,))


NO_EVACUATIONS = Evacuated(ORIGIN, ())


class Evacuations:
    """The evacuated failure domains known to this daemon."""

    def __init__(self):
        self.current = NO_EVACUATIONS

    def apply_listing(self, domains, position):
        """Apply a full listing of the operator's topic; return whether domains changed.

        Args:
            domains (iterable of str): All evacuated failure domains.
            position (int): Up to which the topic has been read.
        """
        return self._replace(Evacuated(position, tuple(sorted(domains))))

    def keep(self, position):
        """Keep the domains, although a copy of the topic may show older ones.

        Args:
            position (int): Up to which the copy has been read.
        """
        self.current = Evacuated(position, self.current.domains)

    def apply_change(self, domain, evacuated, position):
        """Apply one record of the operator's topic; return whether domains changed.

        Args:
            domain (str): The failure domain.
            evacuated (bool): It gets no work; otherwise it is in service again.
            position (int): Up to which the topic has been read.
        """
        others = [name for name in self.current.domains if name != domain]
        domains = [*others, domain] if evacuated else others
        return self._replace(Evacuated(position, tuple(sorted(domains))))

    def merge(self, evacuated):
        """Apply another daemon's state (Evacuated); return whether domains changed."""
        if evacuated.position < self.current.position:
            return False
        return self._replace(evacuated)

    def _replace(self, evacuated):
        changed = evacuated.domains != self.current.domains
        self.current = evacuated
        return changed
