"""Conditions of an extra attempt that both programs check.

Load pattern: a target pauses or works slowly while others are idle, and the requests
that it holds are the slowest answers of all. Sending them once more helps as long as
the other targets have capacity to spare. Under overload all answers are slow, and
additional requests make all of them slower.
"""

NOT_REPEATABLE = "not repeatable"
BEGUN = "begun"
SUSPECTED = "suspected"
TOO_LATE = "too late"


def find_exclusion(repeatable, begun, suspected):
    """Return why a request gets no extra attempt whatever the load, or None.

    Args:
        repeatable (bool): It may run more than once.
        begun (bool): Its caller has received a part of the response.
        suspected (bool): It is suspected of crashing targets.
    """
    if not repeatable:
        return NOT_REPEATABLE
    if begun:
        return BEGUN
    return SUSPECTED if suspected else None


def can_end_in_time(now, usual_s, deadline_s):
    """Return whether an attempt that begins now usually ends by the deadline."""
    return now + usual_s <= deadline_s


def is_slow(elapsed_s, usual_s, tolerance=1.0):
    """Return whether an attempt takes longer than a multiple of the usual time."""
    return elapsed_s > usual_s * tolerance


def has_spare_capacity(load, capacity, share):
    """Return whether the requests in progress are under a share of the capacity."""
    return load < share * capacity
