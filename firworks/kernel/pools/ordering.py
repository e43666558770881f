"""The order in which the jobs of a stage pool are taken.

Load pattern: bursts of one kind of request for some seconds, above what the pool can
make. What can still be answered on time goes first, by the moment at which its answer
is due; urgent kinds are put forward by a little, as a large step would let a burst of
them hold up all others. What is already late follows and uses what room is left: it is
served, but never in place of a request that can be on time.
"""

# Each level of priority puts a job back by this time.
PRIORITY_STEP_S = 0.03


def rank_job(job, nominal_s, now):
    """Return the sort key of a job; the least goes first.

    Args:
        job (PieceJob): The job.
        nominal_s (float): Time of a call that makes it.
        now (float): Monotonic seconds.
    """
    if job.soft_deadline_s - job.downstream_s - nominal_s < now:
        # The newest first: under load the oldest are the nearest to being given up.
        return (True, -job.soft_deadline_s, job.job_id)
    return (False, job.soft_deadline_s + PRIORITY_STEP_S * job.priority, job.job_id)
