"""Places requests on the engines of a pool.

Load pattern: prompts share long parts that an engine keeps after reading them, long
prompts delay the tokens of all requests beside them, and what engines report is
already old when it arrives. The scheduler therefore reckons with what it has placed
itself: prompt tokens that are still to be read, requests running, memory, and which
parts each engine has read.
"""

from collections import OrderedDict

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record, Struct

# One running request slows an engine's steps like this many prompt tokens to read.
TOKENS_PER_RUNNING = 150
# Share of an engine's memory that placements may fill.
MEMORY_SHARE = 0.92
# An engine that failed gets nothing for this time, doubled by each further failure.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0


@register_record
class EngineJob(Record):
    """A request that needs an engine.

    Attributes:
        job_id (str): Unique to the daemon and the attempt.
        part_ids (tuple of str): Hashes of the prompt's parts, in order.
        part_tokens (tuple of int): Their tokens.
        tokens_in (int): Prompt tokens.
        tokens_out (int): Most tokens to generate.
        priority (int): 0 is the most urgent.
        excluded (tuple of str): Targets that have failed this request.
        failure_domain (str): Where the caller's daemon runs.
    """

    __slots__ = (
        "job_id",
        "part_ids",
        "part_tokens",
        "tokens_in",
        "tokens_out",
        "priority",
        "excluded",
        "failure_domain",
    )
    TYPES = (str, (str,), (int,), int, int, int, (str,), str)


class Placed(Struct):
    """The engine that a request is to go to.

    Attributes:
        job (EngineJob): The request.
        target (Target): The engine.
        cached_tokens (int): Prompt tokens that it is believed to have read.
    """

    __slots__ = ("job", "target", "cached_tokens")


class _Engine:
    """What the scheduler knows of one engine."""

    __slots__ = ("target", "jobs", "unread", "parts", "paused_until_s", "failures")

    def __init__(self, target):
        self.target = target
        self.jobs = {}
        self.unread = {}
        self.parts = OrderedDict()
        self.paused_until_s = 0.0
        self.failures = 0

    @property
    def unread_tokens(self):
        return sum(self.unread.values())

    @property
    def used_tokens(self):
        return sum(job.tokens_in + job.tokens_out for job in self.jobs.values())

    def count_cached(self, job):
        """Return how many tokens of the prompt's first parts have been read."""
        cached = 0
        for part_id, tokens in zip(job.part_ids, job.part_tokens, strict=True):
            if part_id not in self.parts:
                break
            cached += tokens
        return min(cached, job.tokens_in)

    def remember_parts(self, job, capacity):
        for part_id, tokens in zip(job.part_ids, job.part_tokens, strict=True):
            self.parts[part_id] = tokens
            self.parts.move_to_end(part_id)
        kept = sum(self.parts.values())
        while kept > capacity and self.parts:
            kept -= self.parts.popitem(last=False)[1]


class EngineScheduler:
    """Chooses an engine for each request of one pool.

    Args:
        spec (EngineSpec): What each engine can do.
    """

    def __init__(self, spec):
        self.spec = spec
        self._engines = {}
        self._usable = ()
        self._by_job = {}

    def set_targets(self, targets, now):
        """Take in the usable targets of the pool."""
        known = {target.run: target for target in targets}
        for run in [run for run in self._engines if run not in known]:
            if not self._engines[run].jobs:
                del self._engines[run]
        for run, target in known.items():
            engine = self._engines.setdefault(run, _Engine(target))
            engine.target = target
        self._usable = tuple(known)

    def place(self, job, now):
        """Return the `Placed` engine of a request, or None when none has room.

        Args:
            job (EngineJob): The request.
            now (float): Monotonic seconds.
        """
        best, best_cost = None, None
        for run in self._usable:
            engine = self._engines[run]
            if not self._fits(engine, job, now):
                continue
            cost = self._cost(engine, job)
            if best is None or cost < best_cost:
                best, best_cost = engine, cost
        if best is None:
            return None
        cached = best.count_cached(job)
        best.jobs[job.job_id] = job
        best.unread[job.job_id] = job.tokens_in - cached
        best.remember_parts(job, self.spec.memory_tokens)
        self._by_job[job.job_id] = best
        return Placed(job, best.target, cached)

    def note_begun(self, job_id):
        """Take in that a request's first token has come."""
        engine = self._by_job.get(job_id)
        if engine is not None:
            engine.unread.pop(job_id, None)
            engine.failures = 0

    def end(self, job_id, failed, now):
        """Take in that a request has left its engine.

        Args:
            job_id (str): The job.
            failed (bool): The engine broke it off or could not be reached.
            now (float): Monotonic seconds.
        """
        engine = self._by_job.pop(job_id, None)
        if engine is None:
            return
        engine.jobs.pop(job_id, None)
        engine.unread.pop(job_id, None)
        if failed:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**engine.failures)
            engine.failures += 1
            engine.paused_until_s = now + pause_s
            engine.parts.clear()

    def _fits(self, engine, job, now):
        if engine.target.target_id in job.excluded or engine.paused_until_s > now:
            return False
        if len(engine.jobs) >= self.spec.slots:
            return False
        used = engine.used_tokens + job.tokens_in + job.tokens_out
        return not engine.jobs or used <= MEMORY_SHARE * self.spec.memory_tokens

    def _cost(self, engine, job):
        """Return the work before the first token, in prompt tokens."""
        unread = job.tokens_in - engine.count_cached(job)
        running = TOKENS_PER_RUNNING * len(engine.jobs)
        return engine.unread_tokens + unread + running
