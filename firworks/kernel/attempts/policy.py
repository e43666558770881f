"""Decides when a request is sent to a second target because the first one is slow."""

from firworks.kernel.attempts.conditions import (
    TOO_LATE,
    can_end_in_time,
    find_exclusion,
    is_slow,
)
from firworks.kernel.attempts.latencies import RecentLatencies
from firworks.kernel.attempts.loads import ServiceLoad
from firworks.kernel.messages import Struct
from firworks.kernel.retries import ShareBudget

MAX_ATTEMPTS = "attempts"
NO_TARGET = "no target"
BUSY = "busy"
SHARE = "share"
RETRY_BUDGET = "retry budget"
# Extra attempts that one gateway may save up while none is needed. They are the slack
# of the operator's share in a short time; over the life of a gateway there is none.
MAX_SAVED = 3.0
# A request that is refused an extra attempt is considered again when it has taken this
# many times as long. Where the limits do not suffice for all slow requests, those that
# are held for long get what there is.
RECHECK_FACTOR = 2.0
# Share of the retry budget that extra attempts leave to retries after failures.
RETRY_RESERVE = 0.5
# The same for requests that have just become slow, most of which end soon; and what
# they leave of the saved extra attempts. In simulations they took nearly all of both
# otherwise, and requests at a paused target got none.
FIRST_CHECK_RETRY_RESERVE = 0.75
FIRST_CHECK_SAVED = 1.0


class SlowAttempt(Struct):
    """A request whose attempt has taken longer than usual.

    Attributes:
        service (str): Service that it was sent to.
        repeatable (bool): It may run more than once.
        begun (bool): Its caller has received a part of the response.
        suspected (bool): It is suspected of crashing targets.
        sends (int): Targets that it was sent to, the one in progress included.
        max_attempts (int): Targets that it may be sent to.
        usual_s (float): Time of an attempt of its kind in seconds.
        deadline_s (float): When its answer is of no more use, in monotonic seconds.
        members (int): Gateways, this one included.
        slots (int): Requests that the usable targets run at once.
        others (int): Usable targets that it was not sent to.
    """

    __slots__ = (
        "service",
        "repeatable",
        "begun",
        "suspected",
        "sends",
        "max_attempts",
        "usual_s",
        "deadline_s",
        "members",
        "slots",
        "others",
    )


class TrackedAttempt:
    """An attempt in progress.

    Attributes:
        service (str): Service that it was sent to.
        kind (hashable): What its latency is compared with.
        begun_s (float): When it was sent, in monotonic seconds.
        usual_s (float or None): Time after which it counts as slow; None if unknown.
        is_slow (bool): That time has passed.
        has_ended (bool): Its end is recorded.
    """

    __slots__ = ("service", "kind", "begun_s", "usual_s", "is_slow", "has_ended")

    def __init__(self, service, kind, begun_s, usual_s):
        self.service = service
        self.kind = kind
        self.begun_s = begun_s
        self.usual_s = usual_s
        self.is_slow = False
        self.has_ended = False

    def is_held(self, now):
        """Return whether it takes so long that its target seems to hold it.

        The target then gets less work for a while, as after a failure. Otherwise it
        would get the next request as soon as an extra attempt has taken this one off.
        """
        if self.usual_s is None:
            return False
        return is_slow(now - self.begun_s, self.usual_s, RECHECK_FACTOR)


def list_checks(usual_s, left_s):
    """Yield the seconds after a send at which an extra attempt is to be considered.

    Args:
        usual_s (float): Time after which the attempt counts as slow.
        left_s (float): Time from the send to the deadline.
    """
    after_s = usual_s
    while after_s < left_s:
        yield after_s
        after_s *= RECHECK_FACTOR


class ExtraAttemptPolicy:
    """Extra attempts of one gateway.

    The operator's share of all requests is kept over all gateways as each keeps it of
    the requests that itself forwards: the loss of a gateway, or of its connections,
    leaves the others what they had.

    Args:
        share (float): Extra attempts for each request of a service; 0 for none.
        quantile (float): Attempts above this quantile of the latencies count as slow.
        retry_budget (RetryBudget): Limits all sends beyond the first of each request.
    """

    def __init__(self, share, quantile, retry_budget):
        self.configure(share, quantile)
        self._retry_budget = retry_budget
        self._latencies = RecentLatencies()
        self._budgets = {}
        self._loads = {}

    def configure(self, share, quantile):
        """Replace the settings; see the class."""
        self._share = share
        self._quantile = quantile

    @property
    def active(self):
        """Whether there may be extra attempts at all."""
        return self._share > 0.0

    def record_request(self, service):
        """Count a request that may get an extra attempt later."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ShareBudget(0.0, MAX_SAVED)
        budget.deposit(self._share)

    def begin(self, service, kind, now):
        """Count an attempt that is being sent; return it as `TrackedAttempt`."""
        self._get_load(service, now).begin(now)
        usual_s = self._latencies.get_quantile_s(kind, self._quantile, now)
        return TrackedAttempt(service, kind, now, usual_s)

    def mark_slow(self, attempt, now):
        """Record that the time of a `TrackedAttempt` has passed without an answer."""
        if not attempt.is_slow:
            attempt.is_slow = True
            load = self._get_load(attempt.service, now)
            load.end(now)
            load.record_slow(now)

    def end(self, attempt, answered, now):
        """Record the end of an attempt, once.

        Only attempts that gave the answer count as latencies. An abandoned attempt
        shows just that it takes longer; with these, a single slow target would raise
        the quantile until it covers this target too.

        Args:
            attempt (TrackedAttempt): The attempt.
            answered (bool): It gave the answer of its request.
            now (float): Monotonic seconds.
        """
        attempt.has_ended = True
        load = self._get_load(attempt.service, now)
        if not attempt.is_slow:
            load.end(now)
            usual_s = attempt.usual_s
            if usual_s is not None and is_slow(now - attempt.begun_s, usual_s):
                load.record_slow(now)
        if answered:
            self._latencies.record(attempt.kind, now - attempt.begun_s, now)

    def record_refusal(self, service, now):
        """Record that a target of a service refused work as it is busy."""
        self._get_load(service, now).record_refusal(now)

    def find_obstacle(self, slow, now):
        """Return why a `SlowAttempt` gets no extra attempt (str), or None."""
        exclusion = find_exclusion(slow.repeatable, slow.begun, slow.suspected)
        if exclusion is not None:
            return exclusion
        if slow.sends >= slow.max_attempts:
            return MAX_ATTEMPTS
        if not can_end_in_time(now, slow.usual_s, slow.deadline_s):
            return TOO_LATE
        if not slow.others:
            return NO_TARGET
        load = self._get_load(slow.service, now)
        return BUSY if load.is_busy(slow.members, slow.slots, now) else None

    def try_withdraw(self, service, is_first_check, now):
        """Count an extra attempt against the limits.

        Args:
            service (str): Service of the request.
            is_first_check (bool): The request has just become slow.
            now (float): Monotonic seconds.

        Returns:
            str or None: The limit that forbids it, or None if it may begin.
        """
        budget = self._budgets.get(service)
        left = FIRST_CHECK_SAVED if is_first_check else 0.0
        if budget is None or budget.tokens < 1.0 + left:
            return SHARE
        reserve = FIRST_CHECK_RETRY_RESERVE if is_first_check else RETRY_RESERVE
        if not self._retry_budget.try_acquire(service, now, reserve):
            return RETRY_BUDGET
        budget.try_withdraw()
        return None

    def _get_load(self, service, now):
        load = self._loads.get(service)
        if load is None:
            load = self._loads[service] = ServiceLoad(now)
        return load
