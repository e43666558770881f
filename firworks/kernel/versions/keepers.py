"""Chooses the daemon that keeps the records of the streams of a service.

Load pattern: daemons are replaced by a newer firworks one after the other. Those of an
older one do not understand the records, so a daemon that does is chosen.
"""

from firworks.kernel.pools.selection import MemberSelector
from firworks.kernel.versions.messages import StreamsBegun


class KeeperSelector(MemberSelector):
    """Selects the first responsive member in the rank of a service that keeps records.

    Args:
        roster (Roster): The members.
        get_protocol (callable): ``get_protocol(name)`` returns the version (int) of the
            peers' protocol that a member understands.
    """

    def __init__(self, roster, get_protocol):
        super().__init__(roster)
        self._get_protocol = get_protocol

    def is_eligible(self, name, now):
        """Return whether a member may be selected."""
        if name == self._roster.own.name:
            return True
        understands = self._get_protocol(name) >= StreamsBegun.PROTOCOL
        return understands and super().is_eligible(name, now)
