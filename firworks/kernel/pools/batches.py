"""Chooses the pieces of one call of a stage pool.

Load pattern: jobs of different sizes wait for calls that cost the same whatever they
carry. Jobs go whole, the most urgent first, as half of one waits a call longer.

Load pattern: a piece ends the target that makes it, and is sent again with the others
of its call. Pieces that two calls have lost go with those of their own job alone.
"""

from firworks.kernel.pools.locality import should_wait_for_local_target

# Tries of one piece, the first included.
MAX_ATTEMPTS = 3
# From this try on, a call carries the pieces of one job alone.
ISOLATED_ATTEMPT = MAX_ATTEMPTS


def choose_pieces(spec, waiting, worker, usable, now):
    """Return the pieces (list of Piece) of the next call.

    A job is divided only if it is larger than a call.

    Args:
        spec (StagePoolSpec): What each target can do.
        waiting (list of JobState): Jobs with pieces that wait, the next first.
        worker (StageWorker): The target of the call.
        usable (list of StageWorker): All targets that take calls now.
        now (float): Monotonic seconds.
    """
    room = worker.estimate_free_bytes(spec, now)
    pieces = []
    for state in waiting:
        alone = any(1 + piece.tries >= ISOLATED_ATTEMPT for piece in state.waiting)
        if alone and pieces:
            continue
        size = max(1, state.job.result_bytes)
        space = min(spec.batch - len(pieces), room // size)
        wanted = len(state.waiting)
        nominal_s = spec.estimate_call_s(state.job.count)
        if should_wait_for_local_target(state.job, worker, usable, nominal_s, now):
            continue
        if wanted > space and not (wanted > spec.batch and not pieces):
            continue
        taken = state.waiting[: max(0, space)]
        pieces += taken
        room -= size * len(taken)
        if len(pieces) == spec.batch or (alone and pieces):
            break
    return pieces
