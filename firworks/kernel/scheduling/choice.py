"""Filters the targets of a pool before the routing policy selects one."""

DOWN_RETRY_S = 10.0
MAX_IDLE_LOAD = 0.5


def choose_target(pool, call, avoid, now):
    """Return the target that the pool's routing policy selects, or None.

    A policy with subsetting gets this daemon's subset of the pool first, and all
    targets only if it selects none of the subset.

    Args:
        pool (PoolState): The pool.
        call (CallRequested): The call.
        avoid (tuple of str): Targets to use only if no others are usable.
        now (float): Kernel time.
    """
    subset = pool.subset if pool.routing.SUBSETTING else pool.targets
    target = _choose_among(pool, subset, call, avoid, now)
    if target is None and len(subset) < len(pool.targets):
        target = _choose_among(pool, pool.targets, call, avoid, now)
    return target


def _choose_among(pool, targets, call, avoid, now):
    usable = [target for target in targets if _is_usable(pool, target, now)]
    preferred = [target for target in usable if target.name not in avoid] or usable
    if avoid:
        preferred = _prefer_other_domains(pool, preferred, avoid)
    if call.alone:
        preferred = [
            target for target in preferred if pool.load(target, now) < MAX_IDLE_LOAD
        ]
    if not preferred:
        return None
    return pool.routing.choose(pool, call, preferred, now)


def _is_usable(pool, target, now):
    if target.leaving or target.is_down(now, DOWN_RETRY_S):
        return False
    health = target.health
    if not health.ejected:
        return True
    return health.is_usable(now) and pool.has_reported_since_ejection(target, now)


def has_any_target(pool, now):
    """Return whether any target is neither leaving nor reported down recently.

    Ejected targets count too: they may recover.
    """
    return any(
        not target.leaving and not target.is_down(now, DOWN_RETRY_S)
        for target in pool.targets
    )


def _prefer_other_domains(pool, targets, avoid):
    """Return the targets outside the failure domains of `avoid`, else all targets."""
    avoided = [pool.by_name[name] for name in avoid if name in pool.by_name]
    domains = {target.failure_domain for target in avoided} - {""}
    return [t for t in targets if t.failure_domain not in domains] or targets
