"""Max-min fair division of spare shares among those that lack some."""


def divide_fairly(capacity, demands):
    """Divide a capacity max-min fairly.

    Args:
        capacity (float): What there is, not negative.
        demands (list of float): What each asks for, not negative.

    Returns:
        list of float: What each gets: no more than it asks for, in sum no more than
        the capacity, and nobody could get more but at the cost of one who has less.
    """
    grants = [0.0] * len(demands)
    remaining = capacity
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for position, index in enumerate(order):
        level = remaining / (len(order) - position)
        grants[index] = min(demands[index], level)
        remaining = max(0.0, remaining - grants[index])
    return grants


def find_spare(base, demand, reserve):
    """Return what a daemon can lend of its base share.

    Args:
        base (float): Its part of the limit.
        demand (float): What it uses itself.
        reserve (float): Share of the base that it never lends.
    """
    return max(0.0, base - max(reserve * base, demand))
