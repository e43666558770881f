"""Decides whether this daemon may send a request to a target that names a limit.

Load pattern: a target names a limit in its responses to some daemons, and everything
that any daemon sends it counts: first attempts, retries, calls of stages, probes. Each
request to such a target needs a permit from the coordinator of its service. A daemon
asks for permits when its requests have no other target; while there are others, it asks
ahead, so that no request waits. Without a permit nothing is sent.
"""

from functools import singledispatchmethod

from firworks.kernel.messages import Struct
from firworks.kernel.pools.clients import SendTo
from firworks.kernel.target_limits.announcements import (
    LimitAnnouncements,
    describe_limit,
)
from firworks.kernel.target_limits.coordinator import (
    Grant,
    PermitCoordinator,
    PermitRequest,
)
from firworks.kernel.target_limits.following import CoordinatorFollower
from firworks.kernel.target_limits.messages import (
    FollowLimits,
    LimitNamed,
    LimitsFollowed,
    PermitAsked,
    PermitCancelled,
    PermitDenied,
    PermitGranted,
    PermitQueued,
)
from firworks.kernel.target_limits.named_limits import REPORT_DELAY_S, NamedLimits
from firworks.kernel.target_limits.permit_requests import PermitRequests

# A scheduler that waits for a permit of another daemon looks again after this time.
PERMIT_POLL_S = 0.1
# Longer intervals between ticks mean that this process was paused.
MAX_TICK_INTERVAL_S = 0.3


class LimitChanged(Struct):
    """A target names a limit, changes it, or no longer names one.

    Attributes:
        incarnation (tuple): The target's.
        service (str): Its service.
        rate_per_s (float or None): The limit; None for none.
        peer (str): The daemon that received the response; may be this one.
    """

    __slots__ = ("incarnation", "service", "rate_per_s", "peer")


class PermitsArrived(Struct):
    """A permit was received that a scheduler of a service (str) may use."""

    __slots__ = ("service",)


class TargetLimiter:
    """Limits of targets, as known to this daemon, and its permits.

    Methods that change the state return a list of the actions to carry out: `SendTo`,
    `LimitChanged`, `CoordinatorChanged`, `PermitDecided`, `PermitsArrived` and
    `ProbeTarget`.

    Args:
        roster (Roster): The members.
        rng (random.Random): Spreads the return of rejected callers.

    Attributes:
        limits (NamedLimits): The limits that targets name.
        coordinator (PermitCoordinator): Grants permits to daemons that follow this one.
    """

    def __init__(self, roster, rng):
        self._roster = roster
        self.limits = NamedLimits()
        self.coordinator = PermitCoordinator(self.limits, lambda: roster.count, rng)
        self._follower = CoordinatorFollower(roster)
        self._requests = PermitRequests(self._follower)
        self._announcements = LimitAnnouncements(roster, self.limits, self._follower)
        self._ticked_s = None

    @property
    def active(self):
        """Whether any target names a limit."""
        return self.limits.active

    def get_rate(self, incarnation):
        """Return the requests per second (float) that a target accepts, or None."""
        return self.limits.get_rate(incarnation)

    def are_limited(self, incarnations):
        """Return whether there are some targets and all of them name a limit."""
        rates_per_s = [self.get_rate(one) for one in incarnations]
        return bool(rates_per_s) and None not in rates_per_s

    def get_coordinator(self, service, now):
        """Return the name of the daemon whose permits are used for a service."""
        return self._follower.choose(service, now)

    def get_wait_s(self, incarnation, now):
        """Return the seconds until a request may be sent to a target; 0.0 if now."""
        if self.get_rate(incarnation) is None:
            return 0.0
        self._check_pause(now)
        if self._requests.has_permit(incarnation, now):
            return 0.0
        if self._follower.is_own(self.limits.get(incarnation).service, now):
            return self.coordinator.get_wait_s(incarnation, now)
        return PERMIT_POLL_S

    def take(self, incarnation, now):
        """Take a permit to send one request now; return whether there was one."""
        if self.get_rate(incarnation) is None:
            return True
        self._check_pause(now)
        if self._requests.take(incarnation, now):
            return True
        if self._follower.is_own(self.limits.get(incarnation).service, now):
            return self.coordinator.take(incarnation, now)
        return False

    def request(self, service, candidates, priority, latest_start_s, now):
        """Ask for a permit for one of some targets.

        Args:
            service (str): Their service.
            candidates (iterable of tuple): Their incarnations.
            priority (int): 0 is the most urgent.
            latest_start_s (float): When the permit is of no more use.
            now (float): Monotonic seconds.

        Returns:
            tuple: Number (int) of the request, and the actions (list).
        """
        self._check_pause(now)
        number, actions = self._requests.ask(
            service, candidates, priority, latest_start_s, now
        )
        return number, self._deliver_own(actions, now)

    def prefetch(self, service, candidates, now):
        """Ask for a permit for a later request, unless one is on its way."""
        if self._follower.is_own(service, now):
            return []
        return self._requests.prefetch(service, candidates, now)

    def cancel(self, number, now):
        """Withdraw a request for a permit."""
        return self._deliver_own(self._requests.cancel(number), now)

    def find_late(self, waiting, now):
        """Return the requests of a pool that would get their permits too late.

        Args:
            waiting (list): Requests with ``candidates`` and ``latest_start_s``, all of
                one service, the most urgent first.
            now (float): Monotonic seconds.

        Returns:
            list of tuple: Requests, each with the seconds after which its caller should
            return.
        """
        limits = [self.limits.get(one.candidates[0]) for one in waiting[:1]]
        if not limits or not self._follower.is_own(limits[0].service, now):
            return []
        return self.coordinator.find_late(waiting, now)

    def book_return(self, candidates, room_s, now):
        """Return the seconds after which a rejected caller should return.

        Args:
            candidates (list of tuple): Incarnations that may serve the caller.
            room_s (float): When there will be room, in monotonic seconds.
            now (float): Monotonic seconds.
        """
        return self.coordinator.book_return(candidates, room_s, now)

    def record_response(self, incarnation, service, rate_per_s, sent_s, now):
        """Apply what a response to this daemon says; announce changes to all others.

        Args:
            incarnation (tuple): The target's.
            service (str): Its service.
            rate_per_s (float or None): The limit that it names, or None.
            sent_s (float): When the request was sent, in monotonic seconds.
            now (float): When the head of the response was received.
        """
        before_per_s = self.get_rate(incarnation)
        if not self.limits.record(incarnation, service, rate_per_s, sent_s, now):
            return []
        urgent = None in (before_per_s, rate_per_s)
        return [
            LimitChanged(incarnation, service, rate_per_s, self._roster.own.name),
            *self._announcements.announce(incarnation, urgent, now),
            *self._follow(now),
            *self.plan(now),
        ]

    def describe_all(self, now):
        """Return a `LimitNamed` for each known limit (list)."""
        return [describe_limit(self.limits, one, now) for one, _ in self.limits.items()]

    def retain(self, incarnations):
        """Forget all targets but these (set of tuple)."""
        self.limits.retain(incarnations)
        self.coordinator.retain(incarnations)
        self._requests.retain(incarnations)
        self._announcements.retain(incarnations)

    def tick(self, now):
        """Follow the coordinators, repeat requests and probe idle targets."""
        self._check_pause(now)
        self._ticked_s = now
        if not (self.active or self._requests.waiting):
            return self.plan(now)
        self._follower.check_confirmations(now)
        actions = [
            *self._deliver_own(self._requests.repeat(now), now),
            *self._follow(now),
            *self.plan(now),
        ]
        actions += self._announcements.repeat(now)
        own_services = {
            service
            for service in self.limits.list_services()
            if self._follower.is_own(service, now)
        }
        return actions + self.coordinator.list_probes(own_services, now)

    def plan(self, now):
        """Send the decisions of this daemon as a coordinator that are due."""
        replies = []
        for decision in self.coordinator.plan(now):
            request = decision.request
            if isinstance(decision, Grant):
                reply = PermitGranted(request.number, *decision.incarnation)
            else:
                reply = PermitDenied(request.number, decision.retry_after_s)
            replies.append(SendTo(request.peer, reply))
        return self._deliver_own(replies, now)

    def next_due_s(self, now):
        """Return when `plan` should be called again, in monotonic seconds, or None."""
        return self.coordinator.next_due_s(now)

    def receive(self, record, peer, now):
        """Handle a record of another daemon."""
        self._check_pause(now)
        return self._deliver_own(self._receive(record, peer, now), now)

    @singledispatchmethod
    def _receive(self, record, peer, now):
        raise TypeError(f"not a record about limits: {record!r}")

    @_receive.register
    def _(self, record: LimitNamed, peer, now):
        incarnation = (record.target_id, record.born_ms)
        rate_per_s = min(record.rates_per_s, default=None)
        sent_s = now - record.sent_age_s - REPORT_DELAY_S
        received_s = now - record.received_age_s
        changed = self.limits.record(
            incarnation, record.service, rate_per_s, sent_s, received_s
        )
        if changed:
            change = LimitChanged(incarnation, record.service, rate_per_s, peer)
            return [change, *self._follow(now), *self.plan(now)]
        if self.get_rate(incarnation) != rate_per_s:
            return self._announcements.correct(incarnation, peer, now)
        return []

    @_receive.register
    def _(self, record: FollowLimits, peer, now):
        self.coordinator.record_follower(peer, record.services, now)
        return [SendTo(peer, LimitsFollowed(record.services)), *self.plan(now)]

    @_receive.register
    def _(self, record: LimitsFollowed, peer, now):
        self._follower.confirm(peer)
        return []

    @_receive.register
    def _(self, record: PermitAsked, peer, now):
        candidates = tuple(zip(record.target_ids, record.born_ms, strict=False))
        if record.left_s <= 0.0:
            incarnation = self.coordinator.take_now(candidates, now)
            if incarnation is None:
                return []
            return [SendTo(peer, PermitGranted(record.number, *incarnation))]
        request = PermitRequest(
            peer,
            record.number,
            candidates,
            record.priority,
            now + record.left_s,
            now,
        )
        self.coordinator.submit(request)
        return [SendTo(peer, PermitQueued(record.number)), *self.plan(now)]

    @_receive.register
    def _(self, record: PermitQueued, peer, now):
        self._requests.acknowledge(record.number, peer)
        return []

    @_receive.register
    def _(self, record: PermitGranted, peer, now):
        incarnation = (record.target_id, record.born_ms)
        decision = self._requests.accept(record.number, incarnation, now)
        if decision is not None:
            return [decision]
        limit = self.limits.get(incarnation)
        return [] if limit is None else [PermitsArrived(limit.service)]

    @_receive.register
    def _(self, record: PermitDenied, peer, now):
        return self._requests.deny(record.number, peer, record.retry_after_s)

    @_receive.register
    def _(self, record: PermitCancelled, peer, now):
        self.coordinator.cancel(peer, record.number)
        return []

    def _deliver_own(self, actions, now):
        """Handle the records that are for this daemon; return all other actions."""
        others, own = [], self._roster.own.name
        for action in actions:
            if isinstance(action, SendTo) and action.peer == own:
                others += self._deliver_own(self._receive(action.record, own, now), now)
            else:
                others.append(action)
        return others

    def _follow(self, now):
        """Follow the coordinators; send new ones the limits, unknown to them."""
        actions = self._follower.update(self.limits.list_services(), now)
        introduced = []
        for action in actions:
            if (
                isinstance(action, SendTo)
                or action.coordinator == self._roster.own.name
            ):
                continue
            introduced += [
                SendTo(
                    action.coordinator, describe_limit(self.limits, incarnation, now)
                )
                for incarnation, limit in self.limits.items()
                if limit.service == action.service
            ]
        return self._deliver_own([*introduced, *actions], now)

    def _check_pause(self, now):
        """After a pause of this process, void its permits and extend its time-outs."""
        if self._ticked_s is None or now - self._ticked_s <= MAX_TICK_INTERVAL_S:
            return
        paused_s, self._ticked_s = now - self._ticked_s, now
        self._requests.void_permits()
        self._follower.extend_timeouts(paused_s)
