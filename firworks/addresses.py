"""Resolves the names of targets and daemons to addresses."""


class AddressBook:
    """Addresses from the VM list, overridden by those from settings.

    A name that disappears from the list keeps its last address, because the list is
    updated with a delay.

    Args:
        overrides (dict of str to str): "ip:port" by name, from settings.
    """

    def __init__(self, overrides):
        self._overrides = overrides
        self._listed = {}

    def update(self, vms):
        """Apply a VM list (iterable of VmEntry)."""
        for vm in vms:
            self._listed[vm.name] = vm.address

    def find(self, name):
        """Return the "ip:port" (str) of a name, or None when it is unknown."""
        return self._overrides.get(name) or self._listed.get(name)
