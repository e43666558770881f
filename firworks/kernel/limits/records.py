"""What daemons tell each other about the demand and the loans of client accounts."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class Demand(Record):
    """What callers want of one account at one daemon: rate and concurrency."""

    __slots__ = ("account", "rate", "concurrency")
    TYPES = (str, float, float)


@register_record
class Demands(Record):
    """One daemon's demands; `sequence` (int) is echoed by loans."""

    __slots__ = ("sequence", "entries")
    TYPES = (int, (Demand,))


@register_record
class Loans(Record):
    """What one daemon lends another, as far as the demands `sequence` (int) ask."""

    __slots__ = ("sequence", "entries")
    TYPES = (int, (Demand,))


class PeerDemands:
    """The last demands of a daemon and when they arrived."""

    __slots__ = ("sequence", "by_account", "arrived_s")

    def __init__(self, demands, now):
        self.sequence = demands.sequence
        self.by_account = {entry.account: entry for entry in demands.entries}
        self.arrived_s = now
