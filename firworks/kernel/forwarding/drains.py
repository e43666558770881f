"""Decides which requests a draining gateway takes, and when it ends them.

Load pattern: a gateway is stopped while callers go on with the connections that they
have, and while the load balancer still opens new ones. A request that outlasts the
drain would be cut off, although another gateway could have completed it.
"""

from collections import deque
from math import inf

# The load balancer removes a gateway after two failed health checks, one per second.
DEREGISTRATION_DELAY_S = 2.6
# Requests sent before the load balancer removed the gateway arrive within this time.
LATE_ARRIVAL_S = 0.3
# Part of the drain limit reserved for the exit of the process.
EXIT_MARGIN_S = 0.4
# Part of it in which the responses to requests that are given up are written.
RESPONSE_MARGIN_S = 0.1
# Other gateways are ready for a request that a draining one refuses.
DRAINING_RETRY_AFTER_S = 0.0
# Responses of a route whose durations are kept.
DURATIONS_PER_ROUTE = 64
# Ratio of the time reserved for a response to the longest recent one of its route.
DURATION_MARGIN = 1.25


class ResponseDurations:
    """The durations of the most recent complete responses of each route."""

    __slots__ = ("_by_route",)

    def __init__(self):
        self._by_route = {}

    def record(self, route, duration_s):
        """Record a complete response.

        Args:
            route (str): Name of its route.
            duration_s (float): Seconds from the arrival of the request.
        """
        durations = self._by_route.get(route)
        if durations is None:
            durations = self._by_route[route] = deque(maxlen=DURATIONS_PER_ROUTE)
        durations.append(duration_s)

    def keep(self, routes):
        """Forget all routes but some (container of str)."""
        self._by_route = {
            name: durations
            for name, durations in self._by_route.items()
            if name in routes
        }

    def estimate_s(self, route):
        """Return the time to reserve for a response in seconds; infinite if unknown."""
        durations = self._by_route.get(route)
        return inf if durations is None else DURATION_MARGIN * max(durations)


class DrainPlan:
    """Time limits of a drain; all times are monotonic seconds.

    Args:
        now (float): Start of the drain.
        grace_s (float): Seconds after which the process is killed.
        durations (ResponseDurations): What responses have taken so far.

    Attributes:
        listening_until_s (float): Until when new connections are accepted.
        closing_s (float): From when on idle connections are closed.
        limit_s (float): When the remaining requests are given up.
        end_s (float): When the process stops at the latest.
    """

    __slots__ = ("listening_until_s", "closing_s", "limit_s", "end_s", "_durations")

    def __init__(self, now, grace_s, durations):
        self.listening_until_s = now + min(DEREGISTRATION_DELAY_S, grace_s / 2)
        self.closing_s = self.listening_until_s + LATE_ARRIVAL_S
        self.end_s = now + max(0.0, grace_s - EXIT_MARGIN_S)
        self.limit_s = self.end_s - RESPONSE_MARGIN_S
        self._durations = durations

    def accepts(self, route, deadline_s, now):
        """Return whether a request that has arrived will end before the limit.

        That is certain if its deadline is not later. While the load balancer still
        sends callers here, a route's recent responses are evidence enough, as a caller
        who is refused may be sent here again.

        Args:
            route (str): Name of its route.
            deadline_s (float): When it times out.
            now (float): The current time.
        """
        if not self.cuts_off(deadline_s):
            return True
        if now >= self.closing_s:
            return False
        return now + self._durations.estimate_s(route) <= self.limit_s

    def cuts_off(self, deadline_s):
        """Return whether a request with a deadline is given up before it."""
        return deadline_s > self.limit_s

    def compute_close_s(self, idle_s):
        """Return when a connection is closed if no further request arrives on it.

        Its caller may have sent the next request at once, and gets a response to it.

        Args:
            idle_s (float): When its last response ended.
        """
        return max(self.closing_s, idle_s + LATE_ARRIVAL_S)
