"""Determines when the inputs of stage calls have been fetched by their targets."""

from firworks.kernel.pools.results import InputsRead

# Time in which a target fetches the inputs of a call, some megabytes, after it begins
# it. Until then they occupy memory of the targets that hold them.
FETCH_S = 0.08


def list_awaiting_fetch(workers):
    """Return the calls (list of StageCall) whose inputs are still to be fetched.

    Args:
        workers (iterable of StageWorker): The targets of the pool.
    """
    return [
        call
        for worker in workers
        for call in worker.calls.values()
        if not call.inputs_fetched
    ]


def list_fetch_times(workers):
    """Return when the inputs of begun calls will have been fetched (list of float).

    Args:
        workers (iterable of StageWorker): The targets of the pool.
    """
    calls = list_awaiting_fetch(workers)
    return [call.begun_s + FETCH_S for call in calls if call.begun_s is not None]


def report_fetched(workers, jobs, now):
    """Return an `InputsRead` (list) for each job whose inputs have been fetched.

    Args:
        workers (iterable of StageWorker): The targets of the pool.
        jobs (dict of str to JobState): The unfinished jobs.
        now (float): Monotonic seconds.
    """
    fetched = {}
    for call in list_awaiting_fetch(workers):
        if call.begun_s is not None and call.begun_s + FETCH_S <= now:
            call.inputs_fetched = True
            fetched.update({piece.job.job_id: piece.job for piece in call.pieces})
    unfetched = {
        piece.job.job_id
        for call in list_awaiting_fetch(workers)
        for piece in call.pieces
    }
    return [
        InputsRead(job)
        for job_id, job in fetched.items()
        if job.inputs
        and job_id not in unfetched
        and job_id in jobs
        and not jobs[job_id].waiting
    ]
