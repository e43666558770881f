"""The registry that plug-ins put their adapters and policies into."""

from importlib import import_module
from importlib.metadata import entry_points

ENTRY_POINT_GROUP = "firworks.plugins"

KINDS = ("callers", "targets", "orders", "log", "vms", "peers", "routing")


class Registry:
    """Named factories by kind; the kinds are listed in ``KINDS``."""

    def __init__(self):
        self._factories = {kind: {} for kind in KINDS}

    def add(self, kind, name, factory):
        """Register a factory.

        Args:
            kind (str): One of ``KINDS``.
            name (str): The name that settings or documents select it by.
            factory (callable): Called by the daemon to build the adapter.

        Raises:
            ValueError: When the kind is unknown or the name is taken.
        """
        if kind not in self._factories:
            raise ValueError(f"unknown kind {kind!r}; allowed: {', '.join(KINDS)}")
        if name in self._factories[kind]:
            raise ValueError(f"{kind} plug-in {name!r} is registered twice")
        self._factories[kind][name] = factory

    def get(self, kind, name):
        """Return the factory registered as `name`.

        Raises:
            ValueError: When there is none; the message lists those there are.
        """
        try:
            return self._factories[kind][name]
        except KeyError:
            allowed = ", ".join(self.names(kind))
            raise ValueError(
                f"no {kind} plug-in {name!r}; there are: {allowed}"
            ) from None

    def names(self, kind):
        """Return the sorted names registered under a kind."""
        return sorted(self._factories[kind])


def load_plugins(registry, modules):
    """Let built-in modules and installed third-party plug-ins register themselves.

    Args:
        registry (Registry): Where they register.
        modules (iterable of str): Dotted names of the built-in plug-in modules.
    """
    for name in modules:
        import_module(name).register(registry)
    for entry in entry_points(group=ENTRY_POINT_GROUP):
        entry.load()(registry)
