"""Checks calls in flight: advises hedges and detects stalled targets."""

from firworks.kernel.attempts.conditions import (
    can_end_in_time,
    find_exclusion,
    is_slow,
)
from firworks.kernel.calls import HedgeAdvised

HEDGE_QUANTILE = 0.95
HEDGE_SLACK_FACTOR = 2.0
STALL_FACTOR = 3.0
CHECK_PERIOD_S = 0.2
MIN_STALL_S = 0.5
STREAM_PROGRESS_TIMEOUT_S = 1.0


class HedgeMonitor:
    """Detects slow calls and stalled targets.

    Args:
        budgets (AttemptBudgets): Limits the number of hedges.
    """

    def __init__(self, budgets):
        self._budgets = budgets

    def check(self, placed_calls, pools, get_weight, now):
        """Return the `HedgeAdvised` signals due now.

        Args:
            placed_calls (dict of int to PlacedCall): Calls in flight, by call id.
            pools (dict of str to PoolState): Pools by name.
            get_weight (callable): Returns the attainment weight of a call, 0 to 1; with
                0 only cost counts.
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
            if self._is_due(placed, pool, get_weight(placed.call), now):
                placed.hedged = True
                results.append(HedgeAdvised(placed.call.call_id))
        return results

    def _is_due(self, placed, pool, weight, now):
        """Return whether to hedge a call, and withdraw from the budget if so.

        Also reports a stalled call to the pool's health.
        """
        idle_s = now - placed.progress_s
        expected_s = self._estimate_progress_time(placed, pool)
        self._check_stall(placed, pool, expected_s, idle_s, now)
        call = placed.call
        if not pool.pool.hedge_share:
            return False
        if placed.hedged or call.hedge_of or call.deferred:
            return False
        if find_exclusion(call.repeatable, begun=False, suspected=call.alone):
            return False
        usual_s = pool.estimate_latency(call)
        in_time = can_end_in_time(now, usual_s, call.deadline_s)
        if not in_time or not pool.has_samples(call):
            return False
        if placed.target.health.ejected and placed.target.health.probe != call.call_id:
            return self._budgets.try_withdraw_hedge()
        if not weight or not self._is_slow(
            placed, pool, idle_s, expected_s, weight, now
        ):
            return False
        slack = HEDGE_SLACK_FACTOR * weight
        hedge_at_s = placed.due_s - slack * pool.estimate_latency(call, HEDGE_QUANTILE)
        if now < hedge_at_s:
            placed.check_s = min(placed.check_s, hedge_at_s)
            return False
        return pool.has_spare_capacity(1.0, now) and self._budgets.try_withdraw_hedge()

    def _is_slow(self, placed, pool, idle_s, expected_s, weight, now):
        tolerance = 2.0 - weight
        if is_slow(idle_s, expected_s, tolerance):
            return True
        typical_s = pool.estimate_latency(placed.call, HEDGE_QUANTILE)
        return is_slow(now - placed.started_s, typical_s, tolerance)

    def _estimate_progress_time(self, placed, pool):
        """Return the seconds within which a call usually makes progress."""
        if placed.streaming:
            return STREAM_PROGRESS_TIMEOUT_S
        first_token = pool.estimate_first_token(placed.call, HEDGE_QUANTILE)
        return first_token or pool.estimate_latency(placed.call, HEDGE_QUANTILE)

    def _check_stall(self, placed, pool, expected_s, idle_s, now):
        if not pool.has_samples(placed.call) or placed.target.health.ejected:
            return
        threshold = max(STALL_FACTOR * expected_s * placed.load_factor, MIN_STALL_S)
        if idle_s > threshold:
            health = placed.target.health
            pool.health.record_stall(health, placed.progress_s, now)
