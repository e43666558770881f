"""The daemon that owns each job of a scheduler.

Load pattern: many daemons are killed at the same moment, with all their requests. Their
orphaned jobs would go through all stages ahead of requests that still have a caller.
Jobs of an earlier incarnation of a daemon are dropped at once; those of a daemon whose
connection closed are dropped if nothing is received from it within a grace period, as a
live daemon reconnects and lists its jobs.
"""

# A daemon reconnects after 0.2 s, and connecting takes some milliseconds.
OWNER_GRACE_S = 1.0


class JobOwners:
    """Owning daemons by job.

    The id of a job begins with the incarnation of its daemon and a slash.
    """

    def __init__(self):
        self._by_job = {}
        self._disconnected = {}

    def put(self, job_id, name, runner):
        """Register a job.

        Args:
            job_id (str): The job.
            name (str): The daemon that submitted it.
            runner (object): The pool runner that executes it.
        """
        self._by_job[job_id] = (name, runner)

    def find(self, job_id):
        """Return the (name, runner) of a job, or None."""
        return self._by_job.get(job_id)

    def pop(self, job_id):
        """Remove a job and return its (name, runner), or None."""
        return self._by_job.pop(job_id, None)

    def list_jobs(self, name):
        """Return the ids (list of str) of a daemon's jobs."""
        return [key for key, (owner, _) in self._by_job.items() if owner == name]

    def list_superseded(self, name, incarnation):
        """Return the ids (list of str) of jobs of a daemon's other incarnations."""
        prefix = f"{incarnation}/"
        return [key for key in self.list_jobs(name) if not key.startswith(prefix)]

    def note_received(self, name):
        """Record that a message from a daemon was received."""
        self._disconnected.pop(name, None)

    def note_disconnected(self, name, now):
        """Record that the incoming connection of a daemon was closed."""
        self._disconnected.setdefault(name, now)

    def pop_orphaned_jobs(self, now):
        """Return, once, the jobs of disconnected daemons after their grace period."""
        limit_s = now - OWNER_GRACE_S
        silent = [
            name for name, since_s in self._disconnected.items() if since_s < limit_s
        ]
        jobs = []
        for name in silent:
            del self._disconnected[name]
            jobs += self.list_jobs(name)
        return jobs
