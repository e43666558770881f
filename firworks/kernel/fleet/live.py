"""The entry VMs that are listed and not known to be gone, for ranking daemons."""

from functools import singledispatchmethod

from xxhash import xxh64_intdigest

from firworks.kernel.fleet.events import MEMBER_DEAD, MEMBER_LEAVING, MemberChanged
from firworks.kernel.messages import VmsListed


class LiveMembers:
    """Ranks this daemon among those alive, by rendezvous hash.

    The view may be wrong: it decides who works first, never who is right.

    Args:
        name (str): This daemon's name; it counts as alive.
        domain (str): If given, only daemons of this failure domain count.
    """

    def __init__(self, name, domain=None):
        self._name = name
        self._domain = domain
        self._domain_by_name = {}
        self._unavailable = set()

    @singledispatchmethod
    def apply_event(self, event):
        """Take a `VmsListed` or a `MemberChanged`."""
        raise TypeError(f"not an event of members: {event!r}")

    @apply_event.register
    def _(self, event: VmsListed):
        entries = [vm for vm in event.vms if vm.role == "entry"]
        self._domain_by_name = {vm.name: vm.failure_domain for vm in entries}

    @apply_event.register
    def _(self, event: MemberChanged):
        if event.status in (MEMBER_DEAD, MEMBER_LEAVING):
            self._unavailable.add(event.member)
        else:
            self._unavailable.discard(event.member)

    def find_domain(self, name):
        """Return the failure domain of a daemon, or ""."""
        return self._domain_by_name.get(name, "")

    def rank(self, topic):
        """Return how many others come before this daemon for a topic (str)."""
        weight = _compute_weight(topic, self._name)
        return sum(
            _compute_weight(topic, name) > weight for name in self._list_candidates()
        )

    def _list_candidates(self):
        return [
            name
            for name, domain in self._domain_by_name.items()
            if name != self._name
            and name not in self._unavailable
            and self._domain in (None, domain)
        ]


def _compute_weight(topic, name):
    """Return a daemon's rendezvous weight for a topic."""
    return xxh64_intdigest(f"{topic}/{name}".encode())
