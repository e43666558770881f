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
        self._domains = {}
        self._gone = set()

    @singledispatchmethod
    def take(self, event):
        """Take a `VmsListed` or a `MemberChanged`."""
        raise TypeError(f"not an event of members: {event!r}")

    @take.register
    def _(self, event: VmsListed):
        entries = [vm for vm in event.vms if vm.role == "entry"]
        self._domains = {vm.name: vm.failure_domain for vm in entries}

    @take.register
    def _(self, event: MemberChanged):
        if event.status in (MEMBER_DEAD, MEMBER_LEAVING):
            self._gone.add(event.member)
        else:
            self._gone.discard(event.member)

    def find_domain(self, name):
        """Return the failure domain of a daemon, or ""."""
        return self._domains.get(name, "")

    def rank(self, topic):
        """Return how many others come before this daemon for a topic (str)."""
        weight = _weigh(topic, self._name)
        return sum(_weigh(topic, name) > weight for name in self._list_rivals())

    def _list_rivals(self):
        return [
            name
            for name, domain in self._domains.items()
            if name != self._name
            and name not in self._gone
            and self._domain in (None, domain)
        ]


def _weigh(topic, name):
    """Return a daemon's rendezvous weight for a topic."""
    return xxh64_intdigest(f"{topic}/{name}".encode())
