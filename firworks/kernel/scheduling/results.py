"""Updates the statistics of a pool and its targets when a call ends."""

from firworks.kernel.calls import (
    RESULT_CANCELLED,
    RESULT_CRASHED,
    RESULT_OK,
    RESULT_REFUSED,
)

# A latency ratio that neither lowers nor raises an `AdaptiveLimit`.
NEUTRAL_RATIO = 1.5


def record_end(pool, placed, ended, now):
    """Update latency, target health and the concurrency limit after a call.

    Args:
        pool (PoolState): The pool.
        placed (PlacedCall): The call, already removed from its target.
        ended (CallEnded): How it ended.
        now (float): Kernel time.
    """
    target = placed.target
    call = placed.call
    expected_s = pool.estimate_latency(call) * placed.load_factor
    ratio = ended.latency_s / expected_s if pool.has_samples(call) else 1.0
    if ended.result == RESULT_OK:
        pool.observe(call, ended.latency_s, ended.first_token_s)
        load = pool.load(target, now) + 1
        slowdown = _compare_pace(pool, call, ended) if ended.tokens else ratio
        target.limit.observe(slowdown, load, ended.latency_s, now)
        pool.health.record_success(target.health, call.call_id, ratio, now)
    elif ended.result == RESULT_REFUSED:
        target.limit.back_off(now)
        pool.health.record_refused(target.health, call.call_id)
    elif ended.result == RESULT_CANCELLED:
        pool.health.record_cancelled(target.health, call.call_id, ratio, now)
    elif ended.result == RESULT_CRASHED:
        pool.prefixes.forget_target(target.name)
        pool.health.record_crash(target.health, call.call_id, now)
    else:
        pool.health.record_failure(target.health, call.call_id, now)


def _compare_pace(pool, call, ended):
    """Return a stream's seconds per token relative to the median of its stage.

    The total latency of a stream depends on its length and so does not show the
    target's load. A response with fewer than two tokens has no pace.
    """
    if ended.tokens < 2:
        return NEUTRAL_RATIO
    pace = (ended.latency_s - ended.first_token_s) / (ended.tokens - 1)
    typical = pool.estimate_pace(call)
    pool.observe_pace(call, pace)
    return pace / typical if typical else NEUTRAL_RATIO
