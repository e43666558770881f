"""The limits that targets name in their responses.

Load pattern: a target in need names a limit, changes it and withdraws it by leaving it
out, while responses that it sent earlier are still on their way, some through other
daemons. A response was sent at some time between its request and its arrival. Only if
these spans don't overlap is it known which of two responses is the newer one; if they
do, the lower limit applies until a later response decides.
"""

from firworks.kernel.messages import Struct

# Reports of other daemons are taken to be older than they say by this time, which
# covers their transmission.
REPORT_DELAY_S = 0.05


class NamedLimit(Struct):
    """What the newest responses of one target say.

    Attributes:
        service (str): Service of the target.
        rate_per_s (float or None): Requests per second that it accepts from all daemons
            together; None if it no longer names a limit.
        sent_s (float): When the request of the deciding response was sent; monotonic
            seconds, as the next one.
        received_s (float): When that response arrived.
        named_s (float): When this limit was first named.
    """

    __slots__ = ("service", "rate_per_s", "sent_s", "received_s", "named_s")


class NamedLimits:
    """Limits by incarnation of the target that named them."""

    def __init__(self):
        self._limits = {}

    @property
    def active(self):
        """Whether any target names a limit."""
        return any(one.rate_per_s is not None for one in self._limits.values())

    @property
    def count(self):
        """Number of targets that name a limit."""
        return sum(one.rate_per_s is not None for one in self._limits.values())

    def get(self, incarnation):
        """Return the `NamedLimit` of a target, or None if it never named one."""
        return self._limits.get(incarnation)

    def get_rate(self, incarnation):
        """Return the requests per second (float) that a target accepts, or None."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.rate_per_s

    def items(self):
        """Return the (incarnation, NamedLimit) pairs of all known limits (list)."""
        return list(self._limits.items())

    def list_services(self):
        """Return the names (sorted list of str) of services with a limited target."""
        limits = self._limits.values()
        return sorted({one.service for one in limits if one.rate_per_s is not None})

    def record(self, incarnation, service, rate_per_s, sent_s, received_s):
        """Apply what a response says; return whether the limit changed.

        Args:
            incarnation (tuple): The target's.
            service (str): Its service.
            rate_per_s (float or None): The limit that it names, or None.
            sent_s (float): When the request was sent, in monotonic seconds.
            received_s (float): When the head of the response was received.
        """
        known = self._limits.get(incarnation)
        if known is None:
            if rate_per_s is None:
                return False
            self._limits[incarnation] = NamedLimit(
                service, rate_per_s, sent_s, received_s, received_s
            )
            return True
        if received_s <= known.sent_s:
            return False
        is_newer = sent_s >= known.received_s
        if not is_newer and not _is_at_most(rate_per_s, known.rate_per_s):
            return False
        changed = rate_per_s != known.rate_per_s
        self._limits[incarnation] = NamedLimit(
            service,
            rate_per_s,
            max(sent_s, known.sent_s),
            max(received_s, known.received_s),
            received_s if changed else known.named_s,
        )
        return changed

    def retain(self, incarnations):
        """Forget the limits of all targets but these (set of tuple)."""
        for incarnation in self._limits.keys() - incarnations:
            del self._limits[incarnation]


def _is_at_most(rate_per_s, other_per_s):
    """Return whether a limit is no higher than another; None is the highest."""
    if rate_per_s is None:
        return other_per_s is None
    return other_per_s is None or rate_per_s <= other_per_s
