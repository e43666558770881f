"""Cost of stages: seconds of target time at the price of the pool."""

from firworks.kernel.messages import StageCost


def compute_cost(stage_name, pool, seconds):
    """Return the cost of one attempt at one stage.

    Args:
        stage_name (str): The stage.
        pool (Pool): Its pool, which has the price per second.
        seconds (float): Time that the target spent on the attempt.

    Returns:
        StageCost: Seconds and price.
    """
    return StageCost(stage_name, seconds, seconds * pool.price_per_second)


def sum_costs(costs):
    """Return one `StageCost` per stage, in order of first appearance."""
    totals = {}
    for cost in costs:
        seconds, price = totals.get(cost.stage, (0.0, 0.0))
        totals[cost.stage] = (seconds + cost.seconds, price + cost.price)
    return tuple(
        StageCost(stage, seconds, price) for stage, (seconds, price) in totals.items()
    )
