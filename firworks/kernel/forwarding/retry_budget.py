"""Bounds how many requests are sent to a second target.

Load pattern: when a service fails, every daemon would resend at once. Each daemon
allows itself a share of the requests that it forwarded lately and its part of the
fleet's fixed allowance.
"""

from collections import deque

# Share of the stated bounds that is used: daemons count windows at other times.
SAFETY_FACTOR = 0.6


class RetryBudget:
    """Resends of one daemon, by service, in a sliding window.

    Args:
        ratio (float): Resends for each request.
        slack (float): Resends of the whole fleet beside that, in a window.
        window_s (float): Length of the window.
    """

    def __init__(self, ratio, slack, window_s):
        self.configure(ratio, slack, window_s)
        self._members = 1
        self._requests = {}
        self._resends = {}

    def configure(self, ratio, slack, window_s):
        """Take in other bounds; see the class."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def set_members(self, count):
        """Take in how many daemons share the allowance."""
        self._members = max(1, count)

    def note_request(self, service, now):
        """Count a request for a service."""
        self._requests.setdefault(service, deque()).append(now)

    def take(self, service, now):
        """Return whether a resend is allowed, and count it if so."""
        requests = self._trim(self._requests.setdefault(service, deque()), now)
        resends = self._trim(self._resends.setdefault(service, deque()), now)
        allowed = self._ratio * len(requests) + self._slack / self._members
        if len(resends) + 1 > SAFETY_FACTOR * allowed:
            return False
        resends.append(now)
        return True

    def _trim(self, times, now):
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
