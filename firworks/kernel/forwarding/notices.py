"""Notices in the responses of targets: shutting down, overloaded, or limited.

Load pattern: a target is about to shut down, or is overloaded, and says so in its
responses before its entry in the store is updated, or while the store is unavailable. A
target that is leaving gets no more work until it has restarted. One that asks to back
off gets none from this daemon until the back-off is over, and then one probe request at
a time until it accepts one: otherwise all waiting requests would arrive at once.
"""

from firworks.kernel.messages import Struct

# Upper bound of a back-off: a longer Retry-After may be meant as milliseconds, or be a
# date from another clock.
MAX_BACKOFF_S = 120.0
# No target gets this many requests per second: a higher limit is none.
MAX_LIMIT_PER_S = 10_000.0
# An unanswered probe request delays the next one by this time.
PROBE_TIMEOUT_S = 1.0
# A back-off after which no request was accepted is removed this long after its end.
FORGET_AFTER_S = 10.0


class Notice(Struct):
    """What a response states about the target that sent it.

    Attributes:
        leaving (bool): The target is about to shut down.
        backoff_s (float): Time for which this daemon is to send it no work; 0 for none.
        unusual_value (str): Retry-After header if it is malformed or out of range;
            otherwise empty.
    """

    __slots__ = ("leaving", "backoff_s", "unusual_value")


class RateNotice(Struct):
    """What a response states about the requests that its target accepts.

    Attributes:
        rate_per_s (float or None): Requests per second from all daemons together; None
            for no limit. At 0 the target accepts none.
        readable (bool): False if a limit is named that cannot be read. It then neither
            starts nor ends a limit.
        unusual_value (str): The header if it is malformed, repeated or too high;
            otherwise empty.
    """

    __slots__ = ("rate_per_s", "readable", "unusual_value")


class LoadNotice(Struct):
    """What a response states about the load of its target.

    Attributes:
        running (float): Requests that it executes.
        waiting (float): Requests that wait at it.
        slots (float): Requests that it can execute at a time.
        slowdown (float or None): Duration of work now, relative to the usual one; None
            if it is not stated.
    """

    __slots__ = ("running", "waiting", "slots", "slowdown")


EMPTY_NOTICE = Notice(False, 0.0, "")


class _Backoff:
    """Back-off of one target; times in monotonic seconds."""

    __slots__ = ("until_s", "probed_s")

    def __init__(self, until_s):
        self.until_s = until_s
        self.probed_s = float("-inf")


class TargetBackoffs:
    """Tracks the back-offs that targets requested from this daemon."""

    def __init__(self):
        self._backoffs = {}

    @property
    def active(self):
        """Whether any target is in back-off, or has accepted no request since."""
        return bool(self._backoffs)

    def add(self, incarnation, backoff_s, now):
        """Start or extend a back-off; return its end in monotonic seconds.

        Args:
            incarnation (tuple): The target's.
            backoff_s (float): Requested time; capped at ``MAX_BACKOFF_S``.
            now (float): Monotonic seconds.
        """
        until_s = now + min(backoff_s, MAX_BACKOFF_S)
        backoff = self._backoffs.setdefault(incarnation, _Backoff(until_s))
        backoff.until_s = max(backoff.until_s, until_s)
        return backoff.until_s

    def mark_accepted(self, incarnation, now):
        """Record that a target accepted a request; ends a back-off that is over."""
        backoff = self._backoffs.get(incarnation)
        if backoff is not None and backoff.until_s <= now:
            del self._backoffs[incarnation]

    def mark_sent(self, incarnation, now):
        """Record that a request is sent to a target."""
        backoff = self._backoffs.get(incarnation)
        if backoff is not None:
            backoff.probed_s = now

    def get_wait_s(self, incarnation, now):
        """Return the seconds until a request may be sent to a target."""
        backoff = self._backoffs.get(incarnation)
        if backoff is None:
            return 0.0
        return max(0.0, backoff.until_s - now, backoff.probed_s + PROBE_TIMEOUT_S - now)

    def expire(self, now):
        """Remove back-offs that ended ``FORGET_AFTER_S`` ago or earlier."""
        for incarnation, backoff in list(self._backoffs.items()):
            if backoff.until_s + FORGET_AFTER_S <= now:
                del self._backoffs[incarnation]
