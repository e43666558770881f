"""What the end of a call says about its target."""

from firworks.kernel.calls import (
    RESULT_CANCELLED,
    RESULT_CRASHED,
    RESULT_OK,
    RESULT_REFUSED,
)

# A ratio that neither lowers nor raises a learned limit.
UNTOLD_RATIO = 1.5


def record_end(pool, placed, ended, now):
    """Count a call's end for latency, health and learned concurrency."""
    target = placed.target
    call = placed.call
    usual = pool.estimate_latency(call) * placed.crowding
    ratio = ended.latency_s / usual if pool.has_samples(call) else 1.0
    if ended.result == RESULT_OK:
        pool.observe(call, ended.latency_s, ended.first_token_s)
        load = pool.load(target, now) + 1
        crowded = _compare_pace(pool, call, ended) if ended.tokens else ratio
        target.limit.observe(crowded, load, ended.latency_s, now)
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
    """Return a stream's seconds per token relative to the stage's typical ones.

    A longer answer takes longer at the same pace, so that its latency says nothing
    about the target's load. An answer without a second token says nothing either.
    """
    if ended.tokens < 2:
        return UNTOLD_RATIO
    pace = (ended.latency_s - ended.first_token_s) / (ended.tokens - 1)
    typical = pool.estimate_pace(call)
    pool.observe_pace(call, pace)
    return pace / typical if typical else UNTOLD_RATIO
