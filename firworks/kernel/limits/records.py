"""Records that daemons exchange about demand and loans of client accounts."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class Demand(Record):
    """Requests a second and concurrency of one account, demanded or lent."""

    __slots__ = ("account", "rate", "concurrency")
    TYPES = (str, float, float)


@register_record
class Demands(Record):
    """One daemon's demands; `Loans` refer to them by `sequence` (int)."""

    __slots__ = ("sequence", "entries")
    TYPES = (int, (Demand,))


@register_record
class Loans(Record):
    """Loans of one daemon to another in response to its demands `sequence` (int)."""

    __slots__ = ("sequence", "entries")
    TYPES = (int, (Demand,))


class PeerDemands:
    """The latest demands of another daemon and when they arrived."""

    __slots__ = ("sequence", "by_account", "arrived_s")

    def __init__(self, demands, now):
        self.sequence = demands.sequence
        self.by_account = {entry.account: entry for entry in demands.entries}
        self.arrived_s = now
