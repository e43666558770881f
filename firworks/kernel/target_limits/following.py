"""Chooses the coordinator whose permits this daemon uses, for each service.

Load pattern: a coordinator is killed, freezes or cannot be reached from here. If it
does not confirm that it is followed within `ACK_TIMEOUT_S`, the next member in rank is
followed instead; the last one is this daemon itself.
"""

from firworks.kernel.messages import Struct
from firworks.kernel.pools.clients import ACK_TIMEOUT_S, SendTo
from firworks.kernel.pools.selection import MemberSelector
from firworks.kernel.target_limits.coordinator import FOLLOW_INTERVAL_S
from firworks.kernel.target_limits.messages import FollowLimits


class CoordinatorChanged(Struct):
    """This daemon takes the permits of a service from another daemon than before.

    Attributes:
        service (str): The service.
        coordinator (str): The new coordinator.
    """

    __slots__ = ("service", "coordinator")


class _Followed:
    """The coordinator of a service, and the last message to it."""

    __slots__ = ("coordinator", "sent_s", "confirmed")

    def __init__(self, coordinator):
        self.coordinator = coordinator
        self.sent_s = float("-inf")
        self.confirmed = True


class CoordinatorFollower:
    """Follows one coordinator for each service with a limited target.

    Args:
        roster (Roster): The members.
    """

    def __init__(self, roster):
        self._own = roster.own.name
        self._selector = MemberSelector(roster)
        self._followed = {}

    def choose(self, service, now):
        """Return the name of the coordinator of a service."""
        return self._selector.choose(service, now)

    def is_own(self, service, now):
        """Return whether this daemon coordinates a service itself."""
        return self.choose(service, now) == self._own

    def mark_unresponsive(self, name, now):
        """Record that a coordinator did not reply in time."""
        self._selector.mark_unresponsive(name, now)

    def confirm(self, peer):
        """Record that a coordinator confirmed that it is followed."""
        for followed in self._followed.values():
            if followed.coordinator == peer:
                followed.confirmed = True

    def check_confirmations(self, now):
        """Mark the coordinators that did not confirm in time as unresponsive."""
        for followed in self._followed.values():
            if not followed.confirmed and now - followed.sent_s > ACK_TIMEOUT_S:
                self.mark_unresponsive(followed.coordinator, now)
                followed.confirmed = True

    def extend_timeouts(self, paused_s):
        """Exclude a pause of this process from the time-outs."""
        for followed in self._followed.values():
            followed.sent_s += paused_s

    def update(self, services, now):
        """Return the actions (list) that are due: `CoordinatorChanged` and `SendTo`.

        Args:
            services (list of str): Services with a limited target.
            now (float): Monotonic seconds.
        """
        for service in [one for one in self._followed if one not in services]:
            del self._followed[service]
        actions, due = [], set()
        for service in services:
            coordinator = self.choose(service, now)
            followed = self._followed.get(service)
            if followed is None or followed.coordinator != coordinator:
                actions.append(CoordinatorChanged(service, coordinator))
                # The previous one is told which services are left.
                due |= set() if followed is None else {followed.coordinator}
                due.add(coordinator)
                self._followed[service] = _Followed(coordinator)
            elif now - followed.sent_s >= FOLLOW_INTERVAL_S:
                due.add(coordinator)
        for coordinator in sorted(due):
            actions.append(SendTo(coordinator, self._make_message(coordinator, now)))
        return actions

    def _make_message(self, coordinator, now):
        services = []
        for service, followed in self._followed.items():
            if followed.coordinator == coordinator:
                followed.sent_s, followed.confirmed = now, False
                services.append(service)
        return FollowLimits(tuple(services))
