"""Which daemons this one exchanges digests with: its cell, links and guests."""

from firworks.kernel.cells import choose_links, find_cell, make_cells
from firworks.kernel.messages import ConnectPeer, DisconnectPeer

GUEST_TIMEOUT_S = 10.0


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

    def choose(self, now):
        """Compute mesh and links anew; returns peer actions."""
        listed = [m.make_vm() for m in self._members.values() if m.listed]
        cells = make_cells((*listed, self._vm))
        cell = find_cell(cells, self._vm.name)
        self.mesh = dict.fromkeys(name for name in cell if name != self._vm.name)
        others = [
            vm.name
            for vm in listed
            if vm.name not in cell and not self._members[vm.name].gone
        ]
        self.links = dict.fromkeys(choose_links(self._vm.name, others))
        return self.dial(now)

    def list_names(self, now):
        """Return the names of mesh, links and guests, in a fixed order."""
        chosen = {**self.mesh, **self.links}
        for member in self._members.values():
            recent = member.sequence_in and now - member.heard_s < GUEST_TIMEOUT_S
            if recent or member.wanted_epoch:
                chosen.setdefault(member.name)
        return list(chosen)

    def dial(self, now):
        """Return the actions that connect neighbours and disconnect others."""
        names = [name for name in self.list_names(now) if self._members[name].address]
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

    def redial(self, name):
        """Return the actions that replace a connection by a new one."""
        if name not in self._dialed:
            return []
        return [DisconnectPeer(name), ConnectPeer(name, self._dialed[name])]
