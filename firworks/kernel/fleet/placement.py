"""The state that each managed engine is to have, from the document."""

from firworks.kernel.orders.records import EngineState


def make_desired_state(pool):
    """Return the `EngineState` that the engines of a managed `Pool` are to have."""
    models = []
    for model in pool.models:
        version = pool.versions.get(model)
        models.append(f"{model}@{version}" if version else model)
    return EngineState(tuple(sorted(models)), tuple(sorted(pool.adapters)), pool.role)


def list_managed_pools(document):
    """Return the pools (list of Pool) whose engines are ordered, by name."""
    pools = [document.pools[name] for name in sorted(document.pools)]
    return [pool for pool in pools if pool.manage_models]


def matches(shown, wanted):
    """Return whether a shown `EngineState` needs no order; no role suits any."""
    same_role = wanted.role in ("", shown.role)
    same_weights = (shown.models, shown.adapters) == (wanted.models, wanted.adapters)
    return same_role and same_weights
