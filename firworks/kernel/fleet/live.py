"""Ranks the daemons of the listed entry VMs that are not dead or leaving."""

from functools import singledispatchmethod

from xxhash import xxh64_intdigest

from firworks.kernel.fleet.events import MEMBER_DEAD, MEMBER_LEAVING, MemberChanged
from firworks.kernel.messages import VmsListed


class LiveMembers:
    """Ranks this daemon among the live ones by rendezvous hash.

    The view may be stale, so the rank may only decide which daemon acts first, never
    which result is correct.

    Args:
        name (str): This daemon's name; always considered alive.
        domain (str): If given, only daemons of this failure domain are ranked.
    """

    def __init__(self, name, domain=None):
        self._name = name
        self._domain = domain
        self._domain_by_name = {}
        self._unavailable = set()

    @singledispatchmethod
    def apply_event(self, event):
        """Update the view from a `VmsListed` or a `MemberChanged`."""
        raise TypeError(f"expected VmsListed or MemberChanged, got {event!r}")

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
        """Return the failure domain of a daemon, or "" when it is not listed."""
        return self._domain_by_name.get(name, "")

    def rank(self, topic):
        """Return how many live daemons precede this one for a topic (str)."""
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
