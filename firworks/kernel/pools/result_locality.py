"""Makes large results in the failure domain of the engines that will read them.

Load pattern: results of 1.5 MB cross failure domains on links of 5 to 100 Mbit/s, two
of three by chance. Among targets that would answer at about the same time, a call goes
to one in the failure domain for which most of the queued pieces are made. Batches,
their order and the time of calls do not change, so that this costs no capacity near
the limit of a pool, where few targets are idle at the same time.
"""

from firworks.kernel.pools.locality import REMOTE_LIMIT_BYTES

# Targets that would end a call within this time of each other are equally good.
TOLERANCE_S = 0.05


def sort_by_home(workers, ends_s, waiting):
    """Return targets (list of StageWorker), those near the engines of jobs first.

    Args:
        workers (list of StageWorker): Targets, the earliest to answer first.
        ends_s (dict of StageWorker to float): When a call to each would end.
        waiting (iterable of JobState): Unfinished jobs.
    """
    if len(workers) < 2:
        return workers
    wanted = {}
    for state in waiting:
        if is_large(state.job):
            domain = state.job.home_domain
            wanted[domain] = wanted.get(domain, 0) + len(state.waiting)
    limit_s = ends_s[workers[0]] + TOLERANCE_S
    equal = [worker for worker in workers if ends_s[worker] <= limit_s]
    equal.sort(key=lambda worker: -wanted.get(worker.target.failure_domain, 0))
    return [*equal, *(worker for worker in workers if ends_s[worker] > limit_s)]


def is_large(job):
    """Return whether the place of a job's results (PieceJob) matters."""
    size_bytes = job.count * job.result_bytes
    return bool(job.home_domain) and size_bytes >= REMOTE_LIMIT_BYTES
