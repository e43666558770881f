"""Desired state of managed engines, derived from the configuration document."""

from firworks.kernel.orders.records import EngineState


def make_desired_state(pool):
    """Return the desired `EngineState` of the engines of a managed `Pool`."""
    models = []
    for model in pool.models:
        version = pool.versions.get(model)
        models.append(f"{model}@{version}" if version else model)
    return EngineState(tuple(sorted(models)), tuple(sorted(pool.adapters)), pool.role)


def list_managed_pools(document):
    """Return the pools (list of Pool) whose models are managed, sorted by name."""
    pools = [document.pools[name] for name in sorted(document.pools)]
    return [pool for pool in pools if pool.manage_models]


def matches(reported, desired):
    """Return whether a reported `EngineState` equals the desired one.

    A desired state without a role matches any role.
    """
    same_role = desired.role in ("", reported.role)
    same_weights = (reported.models, reported.adapters) == (
        desired.models,
        desired.adapters,
    )
    return same_role and same_weights
