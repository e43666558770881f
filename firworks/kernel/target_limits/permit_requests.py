"""The permits that this daemon has asked for, and those that it holds."""

from itertools import count

from firworks.kernel.messages import Struct
from firworks.kernel.pools.clients import ACK_TIMEOUT_S, SendTo
from firworks.kernel.target_limits.coordinator import ASK_INTERVAL_S
from firworks.kernel.target_limits.messages import PermitAsked, PermitCancelled

# A permit that was not used within this time is void.
PERMIT_TTL_S = 1.0
# Least time for which a permit is asked for.
MIN_LEFT_S = 0.001


class PermitDecided(Struct):
    """The outcome of a request for a permit.

    Attributes:
        number (int): Number of the request.
        incarnation (tuple or None): The target that the permit is for; None if denied.
        retry_after_s (float): When the caller should return if it is denied.
    """

    __slots__ = ("number", "incarnation", "retry_after_s")


class _Ask:
    """A request for a permit that waits for its outcome.

    Attributes:
        number (int): Its number, which a process pause replaces.
        first_number (int): The number that the caller knows.
    """

    __slots__ = (
        "number",
        "first_number",
        "service",
        "candidates",
        "priority",
        "latest_start_s",
        "coordinator",
        "sent_s",
        "acknowledged",
    )

    def __init__(self, number, service, candidates, priority, latest_start_s):
        self.number = number
        self.first_number = number
        self.service = service
        self.candidates = candidates
        self.priority = priority
        self.latest_start_s = latest_start_s
        self.coordinator = None
        self.sent_s = float("-inf")
        self.acknowledged = False


class PermitRequests:
    """Asks the coordinators for permits, repeatedly, and keeps the permits received.

    Args:
        follower (CoordinatorFollower): Chooses the coordinators.
    """

    def __init__(self, follower):
        self._follower = follower
        self._asks = {}
        self._prefetched_s = {}
        self._permits = {}
        self._numbers = count(1)
        # Permits for requests with lower numbers were granted before a process pause.
        self._first_valid = 0
        # Cancellations of the requests that had those numbers.
        self._cancellations = []

    @property
    def waiting(self):
        """Whether any request waits for its outcome."""
        return bool(self._asks)

    def has_permit(self, incarnation, now):
        """Return whether a permit for a target is held."""
        permits = self._permits.get(incarnation)
        while permits and permits[0] <= now:
            permits.pop(0)
        return bool(permits)

    def take(self, incarnation, now):
        """Use a permit that is held; return whether there was one."""
        if not self.has_permit(incarnation, now):
            return False
        self._permits[incarnation].pop(0)
        return True

    def ask(self, service, candidates, priority, latest_start_s, now):
        """Ask for a permit; return the number (int) and the actions (list)."""
        number = next(self._numbers)
        for incarnation in candidates:
            if self.take(incarnation, now):
                return number, [PermitDecided(number, incarnation, 0.0)]
        ask = _Ask(number, service, tuple(candidates), priority, latest_start_s)
        self._asks[number] = ask
        return number, [self._send(ask, now)]

    def prefetch(self, service, candidates, now):
        """Ask for a permit for a later request, unless that was done just now."""
        if now - self._prefetched_s.get(service, float("-inf")) < ACK_TIMEOUT_S:
            return []
        self._prefetched_s[service] = now
        coordinator = self._follower.choose(service, now)
        record = make_ask(next(self._numbers), service, candidates, 0, 0.0)
        return [SendTo(coordinator, record)]

    def cancel(self, first_number):
        """Withdraw a request; return the actions (list)."""
        for ask in self._asks.values():
            if ask.first_number == first_number:
                del self._asks[ask.number]
                return [SendTo(ask.coordinator, PermitCancelled(ask.number))]
        return []

    def acknowledge(self, number, peer):
        """Record that a coordinator has queued a request."""
        ask = self._asks.get(number)
        if ask is not None and ask.coordinator == peer:
            ask.acknowledged = True

    def accept(self, number, incarnation, now):
        """Handle a permit.

        Returns:
            PermitDecided or None: The outcome of the request that it was for, if that
            waits; the permit is held for another one otherwise.
        """
        ask = self._asks.pop(number, None)
        if ask is not None:
            return PermitDecided(ask.first_number, incarnation, 0.0)
        if number >= self._first_valid:
            self._permits.setdefault(incarnation, []).append(now + PERMIT_TTL_S)
            self._prefetched_s.clear()
        return None

    def deny(self, number, peer, retry_after_s):
        """Return the actions (list) after a coordinator denied a request."""
        ask = self._asks.get(number)
        if ask is None or ask.coordinator != peer:
            return []
        del self._asks[number]
        return [PermitDecided(ask.first_number, None, retry_after_s)]

    def repeat(self, now):
        """Return the actions (list) for requests that expired or are to be repeated."""
        actions, self._cancellations = self._cancellations, []
        for ask in list(self._asks.values()):
            if not ask.acknowledged and now - ask.sent_s > ACK_TIMEOUT_S:
                self._follower.mark_unresponsive(ask.coordinator, now)
        for ask in list(self._asks.values()):
            if ask.latest_start_s <= now:
                del self._asks[ask.number]
                decision = PermitDecided(ask.first_number, None, ASK_INTERVAL_S)
                actions.append(decision)
                continue
            coordinator = self._follower.choose(ask.service, now)
            if coordinator != ask.coordinator:
                cancelled = PermitCancelled(ask.number)
                actions.append(SendTo(ask.coordinator, cancelled))
            elif now - ask.sent_s < ASK_INTERVAL_S:
                continue
            actions.append(self._send(ask, now))
        return actions

    def void_permits(self):
        """Void all permits held or on their way, as it is unknown how old they are."""
        self._permits.clear()
        self._first_valid = next(self._numbers)
        for ask in list(self._asks.values()):
            cancelled = PermitCancelled(ask.number)
            self._cancellations.append(SendTo(ask.coordinator, cancelled))
            del self._asks[ask.number]
            ask.number = next(self._numbers)
            ask.sent_s, ask.acknowledged = float("-inf"), True
            self._asks[ask.number] = ask

    def retain(self, incarnations):
        """Forget the permits of all targets but these (set of tuple)."""
        for incarnation in self._permits.keys() - incarnations:
            del self._permits[incarnation]

    def _send(self, ask, now):
        ask.coordinator = self._follower.choose(ask.service, now)
        ask.sent_s, ask.acknowledged = now, False
        left_s = max(MIN_LEFT_S, ask.latest_start_s - now)
        record = make_ask(ask.number, ask.service, ask.candidates, ask.priority, left_s)
        return SendTo(ask.coordinator, record)


def make_ask(number, service, candidates, priority, left_s):
    """Return a `PermitAsked` for some incarnations (iterable of tuple)."""
    target_ids = tuple(target_id for target_id, _ in candidates)
    born_ms = tuple(born for _, born in candidates)
    return PermitAsked(number, service, target_ids, born_ms, priority, left_s)
