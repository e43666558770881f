"""Base class of the plug-ins that perform I/O for the kernel."""


class AdapterContext:
    """Settings and callbacks that the daemon passes to each adapter.

    Attributes:
        settings (Settings): Settings of the process.
        incarnation (str): Unique identifier of this start of the daemon.
        feed (callable): ``feed(event)`` passes an event to the kernel.
        clock (callable): Returns the kernel's monotonic time, in seconds.
        addresses (AddressBook): Addresses of targets and daemons.
        ingress (Ingress or None): Limits what callers occupy; None if the adapter
            limits it by itself.
    """

    __slots__ = ("settings", "incarnation", "feed", "clock", "addresses", "ingress")

    def __init__(self, settings, incarnation, feed, clock, addresses, ingress=None):
        self.settings = settings
        self.incarnation = incarnation
        self.feed = feed
        self.clock = clock
        self.addresses = addresses
        self.ingress = ingress


class Adapter:
    """Executes the kernel's actions of some types and feeds back events.

    Args:
        context (AdapterContext): Settings and callbacks of the daemon.

    Attributes:
        ACTIONS (tuple of type): Action types that this adapter executes.
    """

    ACTIONS = ()

    def __init__(self, context):
        self.context = context

    async def start(self):
        """Open listeners and connections."""

    async def stop(self):
        """Close listeners and connections."""

    def carry_out(self, action):
        """Execute one action without blocking the event loop."""
        raise NotImplementedError
