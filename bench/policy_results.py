"""Figures of one run of the policy bench."""

from bench.policy_site import ACCOUNT_SHARES, FULL_LOAD_PER_S


class Result:
    """Figures of one run.

    Attributes:
        scenario (str): Its name.
        policy (str): Its name.
        attainment (float): Share of requests answered whole within their deadline.
        by_pipeline (dict of str to float): Attainment by pipeline.
        by_account (dict of str to float): Attainment by client account.
        p50_s, p95_s, p99_s (float): Latency of "ask" requests answered in time.
        first_token_s (float): 95th percentile of the time to first token.
        cost (float): Price of all work per request answered in time; each pipeline
            counts by its share of arrivals, so that a policy which fails the dear
            requests does not look cheap.
        cost_by_stage (dict of str to float): The same by stage.
        retries, hedges, refusals (int): Counts.
        wasted (float): Share of the work whose result was not used.
        offered_ratio (float): Attempts at targets over first attempts.
    """

    def __init__(self, **figures):
        for name, value in figures.items():
            setattr(self, name, value)


def summarize(world, policy):
    """Return the `Result` of a finished world."""
    good = [ask for ask in world.asks if not ask.arrival.poison]
    met = [ask for ask in good if ask.latency_s]
    latencies = [a.latency_s for a in met if a.arrival.pipeline == "ask"]
    firsts = [a.first_token_s for a in met if a.first_token_s]
    costs = _cost_by_stage(world, good)
    work = sum(sum(t.work.values()) for t in world.targets.values())
    used = sum(ask.used_s for ask in met)
    return Result(
        scenario=world.scenario.name,
        policy=policy,
        attainment=_share(good),
        by_pipeline={
            name: _share([a for a in good if a.arrival.pipeline == name])
            for name in FULL_LOAD_PER_S
        },
        by_account={
            name: _share([a for a in good if a.arrival.account == name])
            for name in ACCOUNT_SHARES
        },
        p50_s=_quantile(latencies, 0.5),
        p95_s=_quantile(latencies, 0.95),
        p99_s=_quantile(latencies, 0.99),
        first_token_s=_quantile(firsts, 0.95),
        cost=sum(costs.values()),
        cost_by_stage=costs,
        retries=world.retries,
        hedges=world.hedges,
        refusals=sum(ask.refused for ask in good),
        wasted=max(0.0, 1 - used / work) if work else 0.0,
        offered_ratio=world.dispatches / max(1, world.first_dispatches),
    )


def _share(asks):
    return sum(bool(ask.latency_s) for ask in asks) / max(1, len(asks))


def _cost_by_stage(world, asks):
    """Return price per request answered in time, by stage, at the arrivals' mix."""
    prices = {}
    for name, target in world.targets.items():
        price = world.document.pools[name.rsplit("-", 1)[0]].price_per_second
        for stage, seconds in target.work.items():
            prices[stage] = prices.get(stage, 0.0) + seconds * price
    costs = {}
    for name, pipeline in world.document.pipelines.items():
        asked = [ask for ask in asks if ask.arrival.pipeline == name]
        met = sum(bool(ask.latency_s) for ask in asked)
        share = len(asked) / len(asks)
        for stage in pipeline.stages:
            costs[stage.name] = share * prices.get(stage.name, 0.0) / max(1, met)
    return costs


def _quantile(values, share):
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
