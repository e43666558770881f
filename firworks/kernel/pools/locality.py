"""Delay scheduling: whether a job should wait for a target close to its inputs.

Load pattern: each piece fetches all results that its job needs, and those of some
stages are megabytes. A job with enough slack waits for a target in the failure domain
that holds most of them.
"""

from firworks.kernel.pools.jobs import sum_remote_bytes

# Fetching less than this from another failure domain is not worth a wait.
REMOTE_LIMIT_BYTES = 400_000
# Safety margin before the time limit of a job that waits for a closer target.
NEARER_MARGIN_S = 0.02


def should_wait_for_local_target(job, worker, workers, nominal_s, now):
    """Return whether a job should be left to another target than a given one.

    Args:
        job (PieceJob): The job.
        worker (StageWorker): The target that could run it now.
        workers (list of StageWorker): All usable targets.
        nominal_s (float): Nominal time of a call with its pieces.
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
