"""Base class of the plug-ins that perform I/O for the kernel."""


class AdapterContext:
    """What the daemon gives each adapter.

    Attributes:
        settings (Settings): Settings of the process.
        incarnation (str): Unique name of this run of the daemon.
        feed (callable): ``feed(event)`` hands an event to the kernel.
        clock (callable): Returns the kernel's monotonic time, in seconds.
        addresses (AddressBook): Where targets and daemons are reached.
    """

    __slots__ = ("settings", "incarnation", "feed", "clock", "addresses")

    def __init__(self, settings, incarnation, feed, clock, addresses):
        self.settings = settings
        self.incarnation = incarnation
        self.feed = feed
        self.clock = clock
        self.addresses = addresses


class Adapter:
    """Carries out the kernel's actions of some types and feeds events back.

    Args:
        context (AdapterContext): The daemon's side.

    Attributes:
        ACTIONS (tuple of type): Action types that this adapter carries out.
    """

    ACTIONS = ()

    def __init__(self, context):
        self.context = context

    async def start(self):
        """Open listeners and connections."""

    async def stop(self):
        """Close listeners and connections."""

    def carry_out(self, action):
        """Carry out one action without blocking the loop."""
        raise NotImplementedError
