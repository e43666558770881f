"""Watches placed calls: advises hedges and notices targets gone silent."""

from firworks.kernel.calls import HedgeAdvised

HEDGE_QUANTILE = 0.95
HEDGE_SLACK = 2.0
SILENCE_FACTOR = 3.0
CHECK_PERIOD_S = 0.2
SHORTEST_SILENCE_S = 0.5
STREAM_SILENCE_S = 1.0


class HedgeMonitor:
    """Finds calls that take too long.

    Args:
        budgets (AttemptBudgets): Bounds the hedges.
    """

    def __init__(self, budgets):
        self._budgets = budgets

    def check(self, placed_calls, pools, weigh, now):
        """Return the `HedgeAdvised` signals due now.

        Args:
            placed_calls (dict of int to PlacedCall): All calls at targets.
            pools (dict of str to PoolState): By name.
            weigh (callable): Returns a call's weight of attainment against cost.
            now (float): Kernel time.
        """
        results = []
        for placed in placed_calls.values():
            if now < placed.check_s:
                continue
            placed.check_s = now + CHECK_PERIOD_S
            pool = pools.get(placed.call.pool)
            if pool is None:
                continue
            if self._is_due(placed, pool, weigh(placed.call), now):
                placed.hedged = True
                results.append(HedgeAdvised(placed.call.call_id))
        return results

    def _is_due(self, placed, pool, weight, now):
        """Return whether to hedge; the budget is charged when so."""
        silent = now - placed.progress_s
        usual = self._usual(placed, pool)
        self._check_silence(placed, pool, usual, silent, now)
        call = placed.call
        if not pool.pool.hedge_share:
            return False
        if placed.hedged or not call.repeatable or call.hedge_of or call.deferred:
            return False
        if now + pool.estimate_latency(call) > call.deadline_s or not pool.has_samples(call):
            return False
        if placed.target.health.ejected and placed.target.health.probe != call.call_id:
            return self._budgets.try_withdraw_hedge()
        if not weight or not self._is_slow(placed, pool, silent, usual, weight, now):
            return False
        slack = HEDGE_SLACK * weight
        latest_s = placed.due_s - slack * pool.estimate_latency(call, HEDGE_QUANTILE)
        if now < latest_s:
            placed.check_s = min(placed.check_s, latest_s)
            return False
        return pool.has_spare_capacity(1.0, now) and self._budgets.try_withdraw_hedge()

    def _is_slow(self, placed, pool, silent, usual, weight, now):
        patience = 2.0 - weight
        if silent > usual * patience:
            return True
        whole = pool.estimate_latency(placed.call, HEDGE_QUANTILE)
        return now - placed.started_s > whole * patience

    def _usual(self, placed, pool):
        """Return how long a call may show no progress before it is slow."""
        if placed.streaming:
            return STREAM_SILENCE_S
        first_token = pool.estimate_first_token(placed.call, HEDGE_QUANTILE)
        return first_token or pool.estimate_latency(placed.call, HEDGE_QUANTILE)

    def _check_silence(self, placed, pool, usual, silent, now):
        if not pool.has_samples(placed.call) or placed.target.health.ejected:
            return
        limit = max(SILENCE_FACTOR * usual * placed.crowding, SHORTEST_SILENCE_S)
        if silent > limit:
            health = placed.target.health
            pool.health.record_stall(health, placed.progress_s, now)
