"""Which daemon has the request behind each job of a scheduler.

Load pattern: many daemons are killed at the same moment, with all requests that they
had. Their jobs would go on through all stages, before those of requests that still have
a caller. The jobs of a run that has been replaced are dropped at once, and those of a
daemon whose connection ended and that is not heard again, after a moment: one that
lives dials again and names its jobs.
"""

# A daemon dials again after 0.2 s, and a connection takes some milliseconds.
OWNER_GRACE_S = 1.0


class JobOwners:
    """Daemons by job.

    A job's id begins with the incarnation of its daemon and a slash.
    """

    def __init__(self):
        self._owners = {}
        self._lost = {}

    def put(self, job_id, name, runner):
        """Take in a job.

        Args:
            job_id (str): The job.
            name (str): Its daemon.
            runner (object): What runs it here.
        """
        self._owners[job_id] = (name, runner)

    def find(self, job_id):
        """Return (name, runner) of a job, or None."""
        return self._owners.get(job_id)

    def pop(self, job_id):
        """Forget a job and return its (name, runner), or None."""
        return self._owners.pop(job_id, None)

    def list_jobs(self, name):
        """Return the ids (list of str) of a daemon's jobs."""
        return [key for key, (owner, _) in self._owners.items() if owner == name]

    def list_superseded(self, name, incarnation):
        """Return the jobs of other runs of a daemon than the one that is known now."""
        prefix = f"{incarnation}/"
        return [key for key in self.list_jobs(name) if not key.startswith(prefix)]

    def note_heard(self, name):
        """Take in that something came from a daemon."""
        self._lost.pop(name, None)

    def note_disconnected(self, name, now):
        """Take in that the connection on which a daemon sends has ended."""
        self._lost.setdefault(name, now)

    def pop_orphaned_jobs(self, now):
        """Return the jobs of daemons that have not been heard since; only once."""
        limit_s = now - OWNER_GRACE_S
        silent = [name for name, since_s in self._lost.items() if since_s < limit_s]
        jobs = []
        for name in silent:
            del self._lost[name]
            jobs += self.list_jobs(name)
        return jobs
