"""The order in which the jobs of a stage pool are scheduled.

Load pattern: bursts of one kind of request that exceed the capacity of the pool for
some seconds. Jobs that can still be on time go first, earliest soft deadline first; a
priority level shifts that by a small step only, as with a large one a burst of urgent
requests would delay all others. Jobs that are already late follow and use the remaining
capacity: they are served, but never in place of a request that can be on time.
"""

# Each priority level postpones a job by this time.
PRIORITY_STEP_S = 0.03


def rank_job(job, nominal_s, now):
    """Return the sort key (tuple) of a job; the smallest goes first.

    Args:
        job (PieceJob): The job.
        nominal_s (float): Nominal time of a call with its pieces.
        now (float): Monotonic seconds.
    """
    if job.soft_deadline_s - job.downstream_s - nominal_s < now:
        # Newest first: under load the oldest are the closest to their deadline.
        return (True, -job.soft_deadline_s, job.job_id)
    return (False, job.soft_deadline_s + PRIORITY_STEP_S * job.priority, job.job_id)
