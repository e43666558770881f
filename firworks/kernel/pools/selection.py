"""Selects the member that decides something for all others."""

# A member that did not reply is not selected for this time.
UNRESPONSIVE_S = 3.0


class MemberSelector:
    """Selects the first responsive member in the rank of a key.

    Args:
        roster (Roster): The members.
    """

    def __init__(self, roster):
        self._roster = roster
        self._unresponsive_since_s = {}

    def choose(self, key, now):
        """Return the name of the member that decides matters of a key now."""
        for name in self._roster.rank(key):
            if self.is_eligible(name, now):
                return name
        return self._roster.own.name

    def is_eligible(self, name, now):
        """Return whether a member may be selected."""
        since_s = self._unresponsive_since_s.get(name, float("-inf"))
        responsive = since_s <= now - UNRESPONSIVE_S
        return responsive and not self._roster.is_suspected(name)

    def mark_unresponsive(self, name, now):
        """Record that a member did not reply in time."""
        if name != self._roster.own.name:
            self._unresponsive_since_s[name] = now
