"""Announces to other daemons what targets say of their limits.

Load pattern: a target under varying load names another value in each response. Each
change would be sent to hundreds of daemons. The coordinator of the service, which
grants the permits, receives them all; the others receive the latest one after a while.
"""

from firworks.kernel.pools.clients import SendTo
from firworks.kernel.target_limits.messages import LimitNamed

# Minimum interval between announcements of the values of one limit.
ANNOUNCE_INTERVAL_S = 0.5
# Minimum interval between corrections of one peer's view of a target.
CORRECTION_INTERVAL_S = 1.0


class LimitAnnouncements:
    """Sends `LimitNamed` records to other daemons.

    Args:
        roster (Roster): The members.
        limits (NamedLimits): What is known here.
        follower (CoordinatorFollower): Chooses the coordinators.
    """

    def __init__(self, roster, limits, follower):
        self._roster = roster
        self._limits = limits
        self._follower = follower
        self._corrected_s = {}
        self._announced_s = {}
        self._pending = set()

    def announce(self, incarnation, urgent, now):
        """Send all others a limit that has changed; only the coordinator if too often.

        Args:
            incarnation (tuple): The target's.
            urgent (bool): The limit is new or has ended; all others need to know now.
            now (float): Monotonic seconds.
        """
        record = describe_limit(self._limits, incarnation, now)
        since_s = now - self._announced_s.get(incarnation, float("-inf"))
        if not urgent and since_s < ANNOUNCE_INTERVAL_S:
            self._pending.add(incarnation)
            coordinator = self._follower.choose(record.service, now)
            own = coordinator == self._roster.own.name
            return [] if own else [SendTo(coordinator, record)]
        self._pending.discard(incarnation)
        self._announced_s[incarnation] = now
        return [SendTo(name, record) for name in self._roster.names]

    def repeat(self, now):
        """Send the announcements that were postponed, if they are due."""
        actions = []
        for incarnation in list(self._pending):
            if now - self._announced_s[incarnation] >= ANNOUNCE_INTERVAL_S:
                actions += self.announce(incarnation, False, now)
        return actions

    def correct(self, incarnation, peer, now):
        """Send a peer what is known here of a target, unless that was done just now."""
        corrected_s = self._corrected_s.get((incarnation, peer), float("-inf"))
        known = self._limits.get(incarnation) is not None
        if not known or now - corrected_s < CORRECTION_INTERVAL_S:
            return []
        self._corrected_s[incarnation, peer] = now
        return [SendTo(peer, describe_limit(self._limits, incarnation, now))]

    def retain(self, incarnations):
        """Forget all targets but these (set of tuple)."""
        self._pending.intersection_update(incarnations)
        for incarnation in self._announced_s.keys() - incarnations:
            del self._announced_s[incarnation]
        for key in [one for one in self._corrected_s if one[0] not in incarnations]:
            del self._corrected_s[key]


def describe_limit(limits, incarnation, now):
    """Return the `LimitNamed` about a target.

    Args:
        limits (NamedLimits): What is known here.
        incarnation (tuple): The target's; its limit must be known.
        now (float): Monotonic seconds.
    """
    limit = limits.get(incarnation)
    rates_per_s = () if limit.rate_per_s is None else (limit.rate_per_s,)
    sent_age_s, received_age_s = now - limit.sent_s, now - limit.received_s
    return LimitNamed(
        *incarnation, limit.service, rates_per_s, sent_age_s, received_age_s
    )
