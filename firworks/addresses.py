"""Where targets and daemons are reached, by name."""


class AddressBook:
    """Addresses from the VM list, overridden by those from settings.

    A name keeps its last address when the list no longer has it, because the list
    lags behind.

    Args:
        overrides (dict of str to str): "ip:port" by name, from settings.
    """

    def __init__(self, overrides):
        self._overrides = overrides
        self._listed = {}

    def update(self, vms):
        """Take in the VM list (iterable of VmEntry)."""
        for vm in vms:
            self._listed[vm.name] = vm.address

    def find(self, name):
        """Return the "ip:port" of a name, or None when it is not known."""
        return self._overrides.get(name) or self._listed.get(name)
