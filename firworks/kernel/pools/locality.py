"""Whether a job is better left to a target near its inputs.

Load pattern: each piece fetches all results that its job needs, and those of some
stages are megabytes. A job that has time waits for a target in the failure domain that
holds most of them.
"""

from firworks.kernel.pools.jobs import sum_remote_bytes

# Fetching less than this from another failure domain is not worth a wait.
REMOTE_LIMIT_BYTES = 400_000
# Kept free before the limit of a job that waits for a nearer target.
NEARER_MARGIN_S = 0.02


def should_wait_for_local_target(job, worker, workers, nominal_s, now):
    """Return whether a job waits for another target than a given one.

    Args:
        job (PieceJob): The job.
        worker (StageWorker): The target that could take it now.
        workers (list of StageWorker): All that are usable.
        nominal_s (float): Time of a call that makes it.
        now (float): Monotonic seconds.
    """
    domain = worker.target.failure_domain
    if sum_remote_bytes(job, domain) < REMOTE_LIMIT_BYTES:
        return False
    _, nearest = max(zip(job.input_bytes, job.input_domains, strict=True))
    if nearest == domain:
        return False
    late = job.soft_deadline_s - job.downstream_s - nominal_s < now
    limit_s = (job.deadline_s if late else job.soft_deadline_s) - job.downstream_s
    return any(
        other.predict(nominal_s, now) + NEARER_MARGIN_S <= limit_s
        for other in workers
        if other.target.failure_domain == nearest
    )
