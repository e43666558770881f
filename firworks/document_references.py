"""Consistency checks between the sections of an environment document."""

import hashlib

from firworks.errors import SettingsError

KIND_ENGINE = "engine"

_EMPTY_TOKEN_SHA256 = hashlib.sha256(b"").hexdigest()


def check_references(document, source):
    """Check the constraints that a JSON schema cannot express.

    Args:
        document (Document): A document that conforms to the schema.
        source (str): Origin of the document, for error messages.

    Raises:
        SettingsError: For the first inconsistency.
    """
    for pool in document.pools.values():
        _check_pool(pool, source)
    _check_targets(document, source)
    for pipeline in document.pipelines.values():
        _check_pipeline(pipeline, document.pools, source)
    _check_tokens(document, source)


def _check_pool(pool, source):
    if pool.kind == KIND_ENGINE:
        _check_placement(pool, source)
        return
    engine_keys = ("models", "checks_fencing", "versions", "adapters", "role")
    for name in (*engine_keys, "manage_models"):
        if getattr(pool, name):
            problem = f"{getattr(pool, name)!r}; allowed: only in pools of kind engine"
            raise SettingsError(source, f"pools.{pool.name}.{name}", problem)


def _check_placement(pool, source):
    """Refuse versions and adapters of models that the pool does not serve."""
    models_by_key = {"versions": sorted(pool.versions)}
    models_by_key["adapters"] = [adapter.split("/")[0] for adapter in pool.adapters]
    for name, models in models_by_key.items():
        for model in models:
            if model not in pool.models:
                allowed = ", ".join(pool.models) or "none"
                problem = f"no model {model!r}; allowed: {allowed}"
                raise SettingsError(source, f"pools.{pool.name}.{name}", problem)


def _check_targets(document, source):
    """Refuse targets shared by pools of different kinds or by pools managing models."""
    first_pools = {}
    for pool in document.pools.values():
        for target in pool.targets:
            first = first_pools.setdefault(target, pool)
            if first.kind != pool.kind:
                problem = f"{target!r} is of kind {first.kind!r} in pool {first.name!r}"
                path = f"pools.{pool.name}.targets"
                raise SettingsError(source, path, f"{problem}; allowed: one kind")
            if first is not pool and (first.manage_models or pool.manage_models):
                problem = f"{target!r} is also in pool {first.name!r}"
                path = f"pools.{pool.name}.targets"
                allowed = "one pool, where models are managed"
                raise SettingsError(source, path, f"{problem}; allowed: {allowed}")


def _check_pipeline(pipeline, pools, source):
    path = f"pipelines.{pipeline.name}"
    seen = set()
    for index, stage in enumerate(pipeline.stages):
        stage_path = f"{path}.stages.{index}"
        if stage.name in seen:
            problem = f"{stage.name!r} names two stages; allowed: a name for each"
            raise SettingsError(source, f"{stage_path}.name", problem)
        seen.add(stage.name)
        if stage.pool not in pools:
            allowed = ", ".join(sorted(pools))
            problem = f"no pool {stage.pool!r}; allowed: {allowed}"
            raise SettingsError(source, f"{stage_path}.pool", problem)
        _check_stage(stage, pools[stage.pool], stage_path, source)
    _check_idempotency(pipeline, path, source)


def _check_stage(stage, pool, path, source):
    if pool.kind == KIND_ENGINE:
        if pool.models and stage.model not in pool.models:
            allowed = ", ".join(pool.models)
            problem = f"pool {pool.name!r} has no model {stage.model!r}"
            raise SettingsError(
                source, f"{path}.model", f"{problem}; allowed: {allowed}"
            )
        if not stage.repeatable:
            # An interrupted stream resumes on another target: the stage runs twice.
            problem = "false; allowed: true, for a stage of an engine pool"
            raise SettingsError(source, f"{path}.repeatable", problem)
        return
    for name in ("model", "expected_tokens"):
        if getattr(stage, name):
            problem = f"{getattr(stage, name)!r}; allowed: only for engine pools"
            raise SettingsError(source, f"{path}.{name}", problem)


def _check_idempotency(pipeline, path, source):
    non_repeatable = [stage.name for stage in pipeline.stages if not stage.repeatable]
    if len(non_repeatable) > 1:
        # A failure between the two would leave the request partly executed, so that its
        # work could be reported neither as run nor as not run.
        problem = (
            f"stages {', '.join(non_repeatable)} are not repeatable; "
            "allowed: one of them"
        )
        raise SettingsError(source, f"{path}.stages", problem)
    if pipeline.deferred and non_repeatable:
        problem = (
            f"true, but stage {non_repeatable[0]} is not repeatable; allowed: false"
        )
        raise SettingsError(source, f"{path}.deferred", problem)


def _check_tokens(document, source):
    owners = {}
    for account in document.accounts.values():
        path = f"accounts.{account.name}.token_sha256"
        for token in account.token_sha256:
            if token == _EMPTY_TOKEN_SHA256:
                problem = "the digest of an empty token; allowed: any other token"
                raise SettingsError(source, path, problem)
            owner = owners.setdefault(token, account.name)
            if owner != account.name:
                problem = f"account {owner!r} has the same token; allowed: its own"
                raise SettingsError(source, path, problem)
