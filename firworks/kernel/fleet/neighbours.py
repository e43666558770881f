"""The daemons that this one exchanges digests with: cell, links, inbound peers."""

from firworks.kernel.fleet.cells import (
    LINKS_PER_DAEMON,
    choose_links,
    find_cell,
    make_cells,
)
from firworks.kernel.messages import ConnectPeer, DisconnectPeer

INBOUND_PEER_TIMEOUT_S = 10.0


class Neighbours:
    """The mesh within the cell, links to other cells, and inbound peers.

    An inbound peer is a daemon that sends digests to this one though it is in neither
    mesh nor links as computed here, for instance since its VM list differs.

    Args:
        vm (VmEntry): This daemon.
        members (dict of str to Member): All members; shared with `Membership`.

    Attributes:
        mesh (dict of str to None): Names of the other daemons of the cell.
        links (dict of str to None): Names of chosen daemons of other cells.
    """

    def __init__(self, vm, members):
        self.mesh = {}
        self.links = {}
        self._vm = vm
        self._members = members
        self._dialed = {}
        self._inbound_peers = {}
        self._outside = []

    def choose(self, now):
        """Recompute mesh and links and return the resulting peer actions.

        Former neighbours that left the VM list stay as inbound peers for a time.
        """
        for name in (*self.mesh, *self.links):
            if name in self._members and not self._members[name].listed:
                self._inbound_peers[name] = None
        listed = [m.make_vm() for m in self._members.values() if m.listed]
        cells = make_cells((*listed, self._vm))
        cell = find_cell(cells, self._vm.name)
        self.mesh = dict.fromkeys(name for name in cell if name != self._vm.name)
        inside = set(cell)
        self._outside = [vm.name for vm in listed if vm.name not in inside]
        self._choose_links()
        return self.dial()

    def refresh(self, now):
        """Replace links to dead daemons, drop silent inbound peers, return actions."""
        if any(self._is_gone(name) for name in self.links) or self._needs_links():
            self._choose_links()
        for name in list(self._inbound_peers):
            member = self._members.get(name)
            if member is None or now - member.last_digest_s > INBOUND_PEER_TIMEOUT_S:
                del self._inbound_peers[name]
        return self.dial()

    def add_inbound_peer(self, name):
        """Add a daemon that sent a digest, unless it is in mesh or links."""
        if name not in self.mesh and name not in self.links:
            self._inbound_peers[name] = None

    def is_reply_only(self, name):
        """Whether digests go to a listed daemon only in reply to its own."""
        return self._is_inbound_only(name) and self._members[name].listed

    def list_names(self):
        """Return the names of mesh, links and inbound peers, in a fixed order."""
        return [
            *self.mesh,
            *self.links,
            *(g for g in self._inbound_peers if self._is_inbound_only(g)),
        ]

    def dial(self):
        """Return the actions that connect new neighbours and disconnect former ones."""
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

    def _needs_links(self):
        return len(self.links) < min(LINKS_PER_DAEMON, len(self._outside))

    def _is_gone(self, name):
        return name not in self._members or self._members[name].gone

    def _is_inbound_only(self, guest):
        return guest not in self.mesh and guest not in self.links

    def redial(self, name):
        """Return the actions that replace the connection to a neighbour."""
        if name not in self._dialed:
            return []
        return [DisconnectPeer(name), ConnectPeer(name, self._dialed[name])]
