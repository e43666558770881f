"""Forecasts when waiting requests get permits, and when rejected callers may return.

Load pattern: all targets of a service are limited and more requests arrive than the
limits allow. The most urgent ones get the permits; those that would get theirs too late
are rejected at once. Callers that are rejected together would return together, so each
is given a time of its own, at the rate that the limits allow.
"""

# Callers are asked to return within this time, even if the backlog takes longer.
MAX_RETRY_AFTER_S = 20.0
MIN_RETRY_AFTER_S = 0.1


def forecast_starts(order, free_from_s, interval_s):
    """Yield (request, start_s): when each request gets a permit, in monotonic seconds.

    Requests that start too late take no permit from those after them.

    Args:
        order (iterable): Requests with ``candidates``, the incarnations of the targets
            that may serve it, and ``latest_start_s``; the most urgent first.
        free_from_s (dict of tuple to float): When each target has its next permit;
            changed by the forecast.
        interval_s (dict of tuple to float): Time between permits of each target.
    """
    for request in order:
        start_s, incarnation = min(
            ((free_from_s[one], one) for one in request.candidates),
            default=(float("inf"), None),
        )
        if start_s <= request.latest_start_s:
            free_from_s[incarnation] = start_s + interval_s[incarnation]
        yield request, start_s


class ReturnSchedule:
    """Times at which the rejected callers of one service are asked to return.

    Args:
        rng (random.Random): Spreads the callers that would have to wait for too long.
    """

    def __init__(self, rng):
        self._rng = rng
        self._booked_until_s = float("-inf")

    def book(self, room_s, interval_s, now):
        """Return the seconds (float) after which a rejected caller should return.

        Args:
            room_s (float): When there will be room, in monotonic seconds.
            interval_s (float): Time between two permits of the service.
            now (float): Monotonic seconds.
        """
        booked_s = max(room_s, self._booked_until_s)
        retry_after_s = booked_s - now
        if retry_after_s > MAX_RETRY_AFTER_S:
            return self._rng.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
        self._booked_until_s = booked_s + interval_s
        return max(MIN_RETRY_AFTER_S, retry_after_s)
