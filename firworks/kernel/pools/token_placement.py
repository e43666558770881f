"""Rates placements of requests on engines by prompt tokens.

Load pattern: prompts share long prefixes that engines cache, and a new scheduler does
not know the caches of the engines. Prompts with the same first part prefer the same
engines by rendezvous hashing, so that a new scheduler finds most of them where its
predecessor placed them.
"""

from xxhash import xxh64_intdigest

from firworks.kernel.pools.jobs import sum_remote_bytes

# Cost of a running request, in prompt tokens: it slows the engine's steps as much as
# the prefill of this many tokens.
TOKENS_PER_RUNNING = 150
# Extra cost of the prefill of a token that another engine has cached, in tokens.
RECOMPUTE_WEIGHT = 2.0
# Cost of each position in the rendezvous order of a prompt's first part.
TOKENS_PER_HASH_RANK = 300
# Cost of fetching a megabyte of results from another failure domain.
TOKENS_PER_REMOTE_MB = 400
MEGABYTE = 1_000_000


def choose_by_tokens(job, eligible, engines):
    """Return the eligible engine (EngineState) with the least cost of a request.

    Args:
        job (EngineJob): The request.
        eligible (list of EngineState): Engines that may get it; not empty.
        engines (iterable of EngineState): All engines of the pool.
    """
    max_cached = max(engine.count_cached(job) for engine in engines)
    order = sorted(eligible, key=lambda engine: _hash_engine(engine, job))
    costs = {
        engine: _estimate_cost(engine, job, max_cached) + TOKENS_PER_HASH_RANK * rank
        for rank, engine in enumerate(order)
    }
    return min(order, key=costs.get)


def _estimate_cost(engine, job, max_cached):
    """Return the cost of a placement in prompt tokens.

    Args:
        engine (EngineState): The engine to rate.
        job (EngineJob): The request.
        max_cached (int): Most tokens of its prompt that any engine has cached.
    """
    cached = engine.count_cached(job)
    pending_prefill = job.tokens_in - cached + RECOMPUTE_WEIGHT * (max_cached - cached)
    running = TOKENS_PER_RUNNING * len(engine.jobs)
    remote = sum_remote_bytes(job, engine.target.failure_domain)
    fetching = TOKENS_PER_REMOTE_MB * remote / MEGABYTE
    return engine.pending_prefill_tokens + pending_prefill + running + fetching


def _hash_engine(engine, job):
    """Return the rendezvous hash of an engine for the first part of a prompt."""
    first = job.part_ids[0] if job.part_ids else ""
    return xxh64_intdigest(f"{first}/{engine.target.target_id}".encode())
