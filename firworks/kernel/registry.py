"""The registry of the plug-ins' adapters and policies."""

from importlib import import_module
from importlib.metadata import entry_points

ENTRY_POINT_GROUP = "firworks.plugins"

KINDS = ("callers", "targets", "orders", "log", "vms", "peers", "routing")


class Registry:
    """Factories by kind (one of ``KINDS``) and name."""

    def __init__(self):
        self._factories = {kind: {} for kind in KINDS}

    def add(self, kind, name, factory):
        """Register a factory.

        Args:
            kind (str): One of ``KINDS``.
            name (str): The name by which settings or documents select it.
            factory (callable): Called by the daemon to build the adapter.

        Raises:
            ValueError: If the kind is unknown or the name is already registered.
        """
        if kind not in self._factories:
            raise ValueError(f"unknown kind {kind!r}; allowed: {', '.join(KINDS)}")
        if name in self._factories[kind]:
            raise ValueError(f"{kind} plug-in {name!r} is registered twice")
        self._factories[kind][name] = factory

    def get(self, kind, name):
        """Return the factory registered as `name`.

        Raises:
            ValueError: If there is none; the message lists the registered names.
        """
        try:
            return self._factories[kind][name]
        except KeyError:
            allowed = ", ".join(self.names(kind))
            raise ValueError(
                f"no {kind} plug-in {name!r}; registered: {allowed}"
            ) from None

    def names(self, kind):
        """Return the sorted names registered under a kind."""
        return sorted(self._factories[kind])


def load_plugins(registry, modules):
    """Load the built-in and the installed third-party plug-ins.

    Args:
        registry (Registry): Where the plug-ins register their factories.
        modules (iterable of str): Dotted names of the built-in plug-in modules.
    """
    for name in modules:
        import_module(name).register(registry)
    for entry in entry_points(group=ENTRY_POINT_GROUP):
        entry.load()(registry)
