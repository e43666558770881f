"""Retry budget: bounds the number of requests that are retried at another target.

Load pattern: when a service fails, all daemons would retry at once. Each daemon allows
itself a share of the requests that it forwarded recently, plus its part of a fixed
allowance for the fleet.
"""

from collections import deque

# Share of the configured bounds that is used, as the daemons' windows are not aligned.
SAFETY_FACTOR = 0.6


class RetryBudget:
    """Retries of one daemon, by service, in a sliding window.

    Args:
        ratio (float): Retries allowed per request.
        slack (float): Additional retries per window, shared by the fleet.
        window_s (float): Length of the window.
    """

    def __init__(self, ratio, slack, window_s):
        self.configure(ratio, slack, window_s)
        self._members = 1
        self._requests = {}
        self._retries = {}

    def configure(self, ratio, slack, window_s):
        """Replace the bounds; see the class."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def set_members(self, count):
        """Set the number of daemons that share the fixed allowance."""
        self._members = max(1, count)

    def record_request(self, service, now):
        """Count a request that is forwarded to a service."""
        self._requests.setdefault(service, deque()).append(now)

    def try_acquire(self, service, now, reserve=0.0):
        """Return whether a retry is allowed, and count it if so.

        Args:
            service (str): Service that the request is sent to again.
            now (float): Monotonic seconds.
            reserve (float): Share of the budget that must be left.
        """
        requests = self._trim(self._requests.setdefault(service, deque()), now)
        retries = self._trim(self._retries.setdefault(service, deque()), now)
        allowed = self._ratio * len(requests) + self._slack / self._members
        if len(retries) + 1 > (1.0 - reserve) * SAFETY_FACTOR * allowed:
            return False
        retries.append(now)
        return True

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
