"""Chooses the pieces of one call of a stage pool.

Load pattern: jobs of different sizes wait for calls with a high fixed cost. Jobs are
taken whole, most urgent first: the rest of a split job would wait for a further call.

Load pattern: a piece crashes the target that processes it, and is retried together with
the other pieces of its call. Pieces that were in two failed calls are therefore retried
in a call for their own job only.
"""

from firworks.kernel.pools.locality import should_wait_for_local_target

# Calls per piece, the first one included.
MAX_ATTEMPTS = 3
# From this attempt on, a piece shares its call with pieces of its own job only.
ISOLATED_ATTEMPT = MAX_ATTEMPTS


def choose_pieces(spec, waiting, worker, usable, now, extra_bytes=0):
    """Return the pieces (list of Piece) of the next call.

    A job is split only if it exceeds the batch size of a call.

    Args:
        spec (StagePoolSpec): Capacity of each target.
        waiting (list of JobState): Jobs with queued pieces in scheduling order.
        worker (StageWorker): The target of the call.
        usable (list of StageWorker): All targets that accept calls now.
        now (float): Monotonic seconds.
        extra_bytes (int): Memory of the target that is being freed.
    """
    free_bytes = worker.estimate_free_bytes(spec, now) + extra_bytes
    pieces = []
    for state in waiting:
        isolated = any(
            1 + piece.failed_attempts >= ISOLATED_ATTEMPT for piece in state.waiting
        )
        if isolated and pieces:
            continue
        size = max(1, state.job.result_bytes)
        capacity = min(spec.batch - len(pieces), free_bytes // size)
        wanted = len(state.waiting)
        nominal_s = spec.estimate_call_s(state.job.count)
        if should_wait_for_local_target(state.job, worker, usable, nominal_s, now):
            continue
        if wanted > capacity and not (wanted > spec.batch and not pieces):
            continue
        taken = state.waiting[: max(0, capacity)]
        pieces += taken
        free_bytes -= size * len(taken)
        if len(pieces) == spec.batch or (isolated and pieces):
            break
    return pieces
