"""Failure domains that the operator has evacuated.

Load pattern: a failure domain is to be drained within seconds, and put back into
service as quickly, while the store rejects some daemons or answers others late. States
from other daemons arrive in any order, so each carries the offset in the operator's
topic up to which it is valid; one with a lower offset is ignored.
"""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class Evacuated(Record):
    """The failure domains that get no work, as of an offset.

    Attributes:
        offset (int): Position up to which the operator's topic has been read.
        domains (tuple of str): Names of the failure domains, sorted.
    """

    __slots__ = ("offset", "domains")
    TYPES = (int, (str,))


NO_EVACUATIONS = Evacuated(0, ())


class Evacuations:
    """The evacuated failure domains known to this daemon."""

    def __init__(self):
        self.current = NO_EVACUATIONS

    def apply_listing(self, domains, offset):
        """Apply a full listing of the operator's topic; return whether domains changed.

        Args:
            domains (iterable of str): All evacuated failure domains.
            offset (int): Position up to which the topic has been read.
        """
        return self._replace(Evacuated(offset, tuple(sorted(domains))))

    def apply_change(self, domain, evacuated, offset):
        """Apply one record of the operator's topic; return whether domains changed.

        Args:
            domain (str): The failure domain.
            evacuated (bool): It gets no work; otherwise it is in service again.
            offset (int): Position up to which the topic has been read.
        """
        others = [name for name in self.current.domains if name != domain]
        domains = [*others, domain] if evacuated else others
        return self._replace(Evacuated(offset, tuple(sorted(domains))))

    def merge(self, evacuated):
        """Apply another daemon's state (Evacuated); return whether domains changed."""
        if evacuated.offset < self.current.offset:
            return False
        return self._replace(evacuated)

    def _replace(self, evacuated):
        changed = evacuated.domains != self.current.domains
        self.current = evacuated
        return changed
