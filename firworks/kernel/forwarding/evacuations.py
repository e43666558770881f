"""Failure domains that the operator has emptied of work.

Load pattern: a failure domain is to be emptied within seconds, and taken back as
quickly, while the store turns some daemons away or tells others late. Words of other
daemons come in any order, so that each says how far the operator's topic was read for
it; an older one changes nothing.
"""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class Evacuated(Record):
    """Failure domains that get no work.

    Attributes:
        offset (int): The operator's topic has been read up to here.
        domains (tuple of str): Their names, sorted.
    """

    __slots__ = ("offset", "domains")
    TYPES = (int, (str,))


NO_EVACUATIONS = Evacuated(0, ())


class Evacuations:
    """The evacuated failure domains, as far as this daemon knows."""

    def __init__(self):
        self.current = NO_EVACUATIONS

    def apply_listing(self, domains, offset):
        """Take in a listing of the operator's topic; return whether it changes.

        Args:
            domains (iterable of str): All that are evacuated.
            offset (int): The topic has been read up to here.
        """
        return self._replace(Evacuated(offset, tuple(sorted(domains))))

    def note(self, domain, evacuated, offset):
        """Take in one word of the operator; return whether it changes anything.

        Args:
            domain (str): The failure domain.
            evacuated (bool): It gets no work; else it is taken back.
            offset (int): The topic has been read up to here.
        """
        others = [name for name in self.current.domains if name != domain]
        domains = [*others, domain] if evacuated else others
        return self._replace(Evacuated(offset, tuple(sorted(domains))))

    def take(self, evacuated):
        """Take in another daemon's word (Evacuated); return whether it changes."""
        if evacuated.offset < self.current.offset:
            return False
        return self._replace(evacuated)

    def _replace(self, evacuated):
        changed = evacuated.domains != self.current.domains
        self.current = evacuated
        return changed
