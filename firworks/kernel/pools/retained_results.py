"""Results that the targets of a stage pool keep for requests.

Load pattern: a piece that fails after its inputs were given up costs its request all
stages before it once more, and bursts leave no room for results that nobody needs.
Results that have been read are therefore kept until the stage that read them is done,
as long as their targets have room for a full call beside them.
"""

from firworks.kernel.pools.jobs import Piece


class JobState:
    """Progress of one job.

    Attributes:
        job (PieceJob): The job.
        handles (list of str or None): Results by number of the piece.
        waiting (list of Piece): Pieces that wait for a call.
        made_by (dict of str to StageWorker): Maker of each result.
        finished_s (float or None): When the last piece was made.
    """

    __slots__ = ("job", "handles", "waiting", "made_by", "finished_s")

    def __init__(self, job):
        self.job = job
        self.handles = [None] * job.count
        self.waiting = [Piece(job, number) for number in range(job.count)]
        self.made_by = {}
        self.finished_s = None


class RetainedResults:
    """Results of finished jobs, by job.

    Args:
        spec (StagePoolSpec): What each target can do.
    """

    def __init__(self, spec):
        self.spec = spec
        self._finished = {}
        self._spare = {}

    def keep(self, state, now):
        """Take in a finished job (JobState)."""
        state.finished_s = now
        self._finished[state.job.job_id] = state

    def find(self, job_id):
        """Return the `JobState` of a finished job, or None."""
        return self._finished.get(job_id)

    def take(self, job_id):
        """Return the `JobState` of a finished job and forget it, or None."""
        self._spare.pop(job_id, None)
        return self._finished.pop(job_id, None)

    def mark_read(self, job_id):
        """Take in that the results of a job have been read."""
        if job_id in self._finished:
            self._spare[job_id] = None

    def pop_expired(self, now):
        """Return the jobs (list of JobState) whose results targets no longer keep."""
        limit_s = now - self.spec.result_ttl_s
        expired = []
        # Jobs finish in the order in which the dict holds them.
        while self._finished:
            job_id = next(iter(self._finished))
            if self._finished[job_id].finished_s > limit_s:
                break
            expired.append(self.take(job_id))
        return expired

    def take_surplus(self, waiting_bytes):
        """Yield the jobs (JobState) to give up for room, the oldest first.

        The caller gives up each of them before it takes the next.

        Args:
            waiting_bytes (int): Size of the results of a full call of what waits.
        """
        for job_id in list(self._spare):
            state = self._finished[job_id]
            wanted = max(self.spec.batch * state.job.result_bytes, waiting_bytes)
            makers = set(state.made_by.values())
            if any(self._count_room(worker) < wanted for worker in makers):
                yield self.take(job_id)

    def _count_room(self, worker):
        return self.spec.memory_bytes - worker.held_bytes + worker.freeing_bytes
