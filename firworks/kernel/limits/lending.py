"""Max-min fair division of the capacity that daemons lend to each other."""


def divide_fairly(capacity, demands):
    """Divide a capacity max-min fairly.

    Args:
        capacity (float): Amount to divide, not negative.
        demands (list of float): Amount demanded by each, not negative.

    Returns:
        list of float: Each grant is at most its demand, their sum is at most the
        capacity, and no grant could grow but by shrinking an equal or smaller one.
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
    """Return how much of its base share a daemon can lend.

    Args:
        base (float): Its equal part of the limit.
        demand (float): Its own demand.
        reserve (float): Fraction of the base that it never lends.
    """
    return max(0.0, base - max(reserve * base, demand))
