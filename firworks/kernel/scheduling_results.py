"""What the end of a call says about its target."""

from firworks.kernel.calls import (
    RESULT_CANCELLED,
    RESULT_CRASHED,
    RESULT_OK,
    RESULT_REFUSED,
)


def record_end(pool, placed, ended, now):
    """Count a call's end for latency, health and learned concurrency."""
    target = placed.target
    call = placed.call
    usual = pool.typical(call) * placed.crowding
    ratio = ended.latency_s / usual if pool.knows(call) else 1.0
    if ended.result == RESULT_OK:
        pool.observe(call, ended.latency_s, ended.first_token_s)
        load = pool.load(target, now) + 1
        target.limit.observe(ratio, load, ended.latency_s, now)
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
