"""The platform's rule on the requests that a target gets once it has named a limit."""

# From this time after the first response that names a limit, the rule applies.
STABLE_S = 3.0
WINDOW_S = 4.0
# Requests allowed in a window, as a multiple of the limit, and in addition.
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5
# A gateway counts this long after it received a response that names a limit.
INFORMED_AFTER_S = 0.5


def compute_allowed(limit_per_s):
    """Return the number of requests (float) that a limit allows in a window."""
    return ALLOWED_SHARE * limit_per_s * WINDOW_S + ALLOWED_EXTRA


def count_most(times_s):
    """Return the largest number of requests (int) in any window.

    Args:
        times_s (iterable of float): When requests arrived.
    """
    times_s, most, first = sorted(times_s), 0, 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
