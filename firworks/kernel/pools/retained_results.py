"""Results that the targets of a stage pool retain for requests.

Load pattern: if a piece fails after its inputs have been freed, the request must repeat
all earlier stages; yet bursts leave no memory for results that nobody needs. Results
that have been read are therefore retained until the stage that read them is done, as
long as their targets have enough free memory for a full call.
"""

from firworks.kernel.pools.jobs import Piece


class JobState:
    """Progress of one job.

    Attributes:
        job (PieceJob): The job.
        handles (list of str or None): Handles of the results by index of the piece.
        waiting (list of Piece): Pieces queued for a call.
        made_by (dict of str to StageWorker): Target that holds each result, by handle.
        finished_s (float or None): When the last piece was done.
    """

    __slots__ = ("job", "handles", "waiting", "made_by", "finished_s")

    def __init__(self, job):
        self.job = job
        self.handles = [None] * job.count
        self.waiting = [Piece(job, number) for number in range(job.count)]
        self.made_by = {}
        self.finished_s = None


class RetainedResults:
    """Retained results of finished jobs, by job.

    Args:
        spec (StagePoolSpec): Capacity of each target.
    """

    def __init__(self, spec):
        self.spec = spec
        self._finished = {}
        self._evictable = {}

    def add(self, state, now):
        """Add a finished job (JobState)."""
        state.finished_s = now
        self._finished[state.job.job_id] = state

    def find(self, job_id):
        """Return the `JobState` of a finished job, or None."""
        return self._finished.get(job_id)

    def pop(self, job_id):
        """Remove and return the `JobState` of a finished job, or None."""
        self._evictable.pop(job_id, None)
        return self._finished.pop(job_id, None)

    def mark_read(self, job_id):
        """Mark the results of a job as read, which makes them evictable."""
        if job_id in self._finished:
            self._evictable[job_id] = None

    def pop_expired(self, now):
        """Remove and return the jobs (list of JobState) whose results have expired."""
        limit_s = now - self.spec.result_ttl_s
        expired = []
        # The dict is in the order in which jobs finished.
        while self._finished:
            job_id = next(iter(self._finished))
            if self._finished[job_id].finished_s > limit_s:
                break
            expired.append(self.pop(job_id))
        return expired

    def take_surplus(self, waiting_bytes):
        """Remove and yield the jobs (JobState) to evict, in the order of reading.

        The caller must free the results of each job before it resumes the generator.

        Args:
            waiting_bytes (int): Size of the results of a full call of queued pieces.
        """
        for job_id in list(self._evictable):
            state = self._finished[job_id]
            wanted = max(self.spec.batch * state.job.result_bytes, waiting_bytes)
            workers = set(state.made_by.values())
            if any(self._estimate_free_bytes(worker) < wanted for worker in workers):
                yield self.pop(job_id)

    def _estimate_free_bytes(self, worker):
        return self.spec.memory_bytes - worker.held_bytes + worker.freeing_bytes
