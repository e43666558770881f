"""Which daemons this one exchanges digests with: its cell, links and guests."""

from firworks.kernel.fleet.cells import (
    LINKS_PER_DAEMON,
    choose_links,
    find_cell,
    make_cells,
)
from firworks.kernel.messages import ConnectPeer, DisconnectPeer

INBOUND_PEER_TIMEOUT_S = 10.0


class Neighbours:
    """The mesh inside the cell, links to other cells, and guests.

    A guest is a daemon that sends digests to this one though the VM list, as seen
    here, gives no reason to.

    Args:
        vm (VmEntry): This daemon.
        members (dict of str to Member): Shared with the membership.
    """

    def __init__(self, vm, members):
        self.mesh = {}
        self.links = {}
        self._vm = vm
        self._members = members
        self._dialed = {}
        self._guests = {}
        self._outside = []

    def choose(self, now):
        """Compute mesh and links anew; returns peer actions."""
        for name in (*self.mesh, *self.links):
            if name in self._members and not self._members[name].listed:
                self._guests[name] = None
        listed = [m.make_vm() for m in self._members.values() if m.listed]
        cells = make_cells((*listed, self._vm))
        cell = find_cell(cells, self._vm.name)
        self.mesh = dict.fromkeys(name for name in cell if name != self._vm.name)
        inside = set(cell)
        self._outside = [vm.name for vm in listed if vm.name not in inside]
        self._choose_links()
        return self.dial()

    def review(self, now):
        """Replace links to daemons that are gone and drop silent guests."""
        if any(self._is_gone(name) for name in self.links) or self._linked_few():
            self._choose_links()
        for name in list(self._guests):
            member = self._members.get(name)
            if member is None or now - member.heard_s > INBOUND_PEER_TIMEOUT_S:
                del self._guests[name]
        return self.dial()

    def add_inbound_peer(self, name):
        """Note that a daemon sends digests to this one."""
        if name not in self.mesh and name not in self.links:
            self._guests[name] = None

    def is_reply_only(self, name):
        """Whether digests go to a daemon only because it sends some."""
        return self._adds(name) and self._members[name].listed

    def list_names(self):
        """Return the names of mesh, links and guests, in a fixed order."""
        return [*self.mesh, *self.links, *(g for g in self._guests if self._adds(g))]

    def dial(self):
        """Return the actions that connect neighbours and disconnect others."""
        names = [name for name in self.list_names() if self._members[name].address]
        wanted = {name: self._members[name].address for name in names}
        actions = []
        for name in [name for name in self._dialed if name not in wanted]:
            del self._dialed[name]
            actions.append(DisconnectPeer(name))
        for name, address in wanted.items():
            if self._dialed.get(name) != address:
                self._dialed[name] = address
                actions.append(ConnectPeer(name, address))
        return actions

    def _choose_links(self):
        present = [name for name in self._outside if not self._is_gone(name)]
        self.links = dict.fromkeys(choose_links(self._vm.name, present))

    def _linked_few(self):
        return len(self.links) < min(LINKS_PER_DAEMON, len(self._outside))

    def _is_gone(self, name):
        return name not in self._members or self._members[name].gone

    def _adds(self, guest):
        return guest not in self.mesh and guest not in self.links

    def redial(self, name):
        """Return the actions that replace a connection by a new one."""
        if name not in self._dialed:
            return []
        return [DisconnectPeer(name), ConnectPeer(name, self._dialed[name])]
