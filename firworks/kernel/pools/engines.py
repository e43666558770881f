"""Places requests on the engines of a pool.

Load pattern: prompts share long parts that an engine keeps after reading them, long
prompts delay the tokens of all requests beside them, and what engines report is
already old when it arrives. The scheduler therefore reckons with what it has placed
itself: prompt tokens that are still to be read, requests running, memory, and which
parts each engine has read. Stage results are large, so an engine near them is better.

Load pattern: schedulers come and go, and a new one does not know what engines have
read. Prompts that begin with the same part prefer the same engines by rendezvous hash,
so that it finds most of them where the last one had put them.

Load pattern: engines start, or turn cold, while many requests wait. Empty, they look
best for all of these, and end under more in a second than they bear. They say for how
long they are cold; until then they get no more than that.
"""

from collections import OrderedDict, deque

from xxhash import xxh64_intdigest

from firworks.kernel.messages import Struct
from firworks.kernel.pools.jobs import sum_remote_bytes

# One running request slows an engine's steps like this many prompt tokens to read.
TOKENS_PER_RUNNING = 150
# Reading a token again that another engine has read costs as much as waiting for this
# many others, beside the time that it takes.
REREAD_WEIGHT = 2.0
# Each place in the hash order of a prompt's first part weighs like this many tokens.
ORDER_STEP_TOKENS = 300
# Fetching a result from another failure domain weighs like reading this many tokens.
TOKENS_PER_REMOTE_MB = 400
# Share of an engine's memory that placements may fill.
MEMORY_SHARE = 0.92
# An engine that failed gets nothing for this time, doubled by each further failure.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0
# After its deadline a request is forgotten, if its daemon does not tell of its end.
EXPIRY_S = 1.0
# The time over which requests to a cold engine are counted.
COLD_WINDOW_S = 1.0
MEGABYTE = 1_000_000


class Placed(Struct):
    """The engine that a request is to go to.

    Attributes:
        job (EngineJob): The request.
        target (Target): The engine.
        cached_tokens (int): Prompt tokens that it is believed to have read.
    """

    __slots__ = ("job", "target", "cached_tokens")


class NotPlaced(Struct):
    """A request whose time to begin passed before an engine had room.

    Attributes:
        job (EngineJob): The request.
    """

    __slots__ = ("job",)


class _Engine:
    """What the scheduler knows of one engine."""

    __slots__ = (
        "target",
        "jobs",
        "unread",
        "parts",
        "paused_until_s",
        "failures",
        "cold_until_s",
        "placed_s",
    )

    def __init__(self, target):
        self.target = target
        self.jobs = {}
        self.unread = {}
        self.parts = OrderedDict()
        self.paused_until_s = 0.0
        self.failures = 0
        self.cold_until_s = 0.0
        # When it got its last requests, while it is cold.
        self.placed_s = deque()

    def bears_from_s(self, cold_per_s, now):
        """Return from when it bears another request, while it is cold.

        Args:
            cold_per_s (float): Requests that it bears in a second; 0 for any.
            now (float): Monotonic seconds.
        """
        if self.cold_until_s <= now or not cold_per_s:
            self.placed_s.clear()
            return now
        while self.placed_s and self.placed_s[0] + COLD_WINDOW_S <= now:
            self.placed_s.popleft()
        if len(self.placed_s) < cold_per_s:
            return now
        return min(self.cold_until_s, self.placed_s[0] + COLD_WINDOW_S)

    @property
    def unread_tokens(self):
        return sum(self.unread.values())

    @property
    def used_tokens(self):
        return sum(job.tokens_in + job.tokens_out for job in self.jobs.values())

    def add(self, job, unread, capacity):
        """Take in a request and the parts of its prompt."""
        self.jobs[job.job_id] = job
        self.unread[job.job_id] = unread
        for part_id, tokens in zip(job.part_ids, job.part_tokens, strict=True):
            self.parts[part_id] = tokens
            self.parts.move_to_end(part_id)
        kept = sum(self.parts.values())
        while kept > capacity and self.parts:
            kept -= self.parts.popitem(last=False)[1]

    def count_cached(self, job):
        """Return how many tokens of the prompt's first parts have been read."""
        cached = 0
        for part_id, tokens in zip(job.part_ids, job.part_tokens, strict=True):
            if part_id not in self.parts:
                break
            cached += tokens
        return min(cached, job.tokens_in)


class EngineScheduler:
    """Chooses an engine for each request of one pool.

    Methods that may place requests return a list of `Placed` and `NotPlaced`.

    Args:
        spec (EngineSpec): What each engine can do.
    """

    def __init__(self, spec):
        self.spec = spec
        self._engines = {}
        self._usable = ()
        self._by_job = {}
        self._waiting = {}
        self._planned_s = float("inf")

    def set_targets(self, targets, now):
        """Take in the usable targets of the pool."""
        known = {target.incarnation: target for target in targets}
        for run in [run for run in self._engines if run not in known]:
            if not self._engines[run].jobs:
                del self._engines[run]
        for run, target in known.items():
            engine = self._engines.setdefault(run, _Engine(target))
            if engine.target != target or engine.cold_until_s == 0.0:
                engine.cold_until_s = now + target.cold_s
            engine.target = target
        self._usable = tuple(known)
        return self.plan(now)

    def submit(self, job, now):
        """Take in a request (EngineJob)."""
        self._waiting[job.job_id] = job
        return self.plan(now)

    def adopt(self, job, target_id, begun):
        """Take in a request that another scheduler has placed.

        Args:
            job (EngineJob): The request.
            target_id (str): Its engine.
            begun (bool): Its first token has come.
        """
        for engine in self._engines.values():
            if engine.target.target_id == target_id and job.job_id not in self._by_job:
                unread = 0 if begun else job.tokens_in - engine.count_cached(job)
                engine.add(job, unread, self.spec.memory_tokens)
                self._by_job[job.job_id] = engine

    def repeat(self, job_id):
        """Return what there is to tell of a job again, or None if it is not known."""
        if job_id in self._waiting:
            return []
        engine = self._by_job.get(job_id)
        if engine is None:
            return None
        job = engine.jobs[job_id]
        cached = job.tokens_in - engine.unread.get(job_id, 0)
        return [Placed(job, engine.target, cached)]

    def note_begun(self, job_id):
        """Take in that a request's first token has come."""
        engine = self._by_job.get(job_id)
        if engine is not None:
            engine.unread.pop(job_id, None)
            engine.failures = 0

    def end(self, job_id, failed, now):
        """Take in that a request has left its engine, or is given up.

        Args:
            job_id (str): The job.
            failed (bool): The engine broke it off or could not be reached.
            now (float): Monotonic seconds.
        """
        self._waiting.pop(job_id, None)
        engine = self._by_job.pop(job_id, None)
        if engine is None:
            return []
        engine.jobs.pop(job_id, None)
        engine.unread.pop(job_id, None)
        if failed:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**engine.failures)
            engine.failures += 1
            engine.paused_until_s = now + pause_s
            engine.parts.clear()
        return self.plan(now)

    def plan(self, now):
        """Place the requests that wait, the most urgent first."""
        self._planned_s = now
        self._drop_expired(now)
        actions = []
        order = sorted(
            self._waiting.values(), key=lambda job: (job.priority, job.first_byte_deadline_s)
        )
        for job in order:
            if job.first_byte_deadline_s <= now:
                del self._waiting[job.job_id]
                actions.append(NotPlaced(job))
            elif (engine := self._choose(job, now)) is not None:
                del self._waiting[job.job_id]
                actions.append(self._place(job, engine, now))
        return actions

    def next_due_s(self, now):
        """Return when `plan` should be called again, or None.

        What became due since `plan` looked is due at once.
        """
        now = min(now, self._planned_s)
        if not self._waiting:
            return None
        times = [job.first_byte_deadline_s for job in self._waiting.values()]
        times += [
            engine.paused_until_s
            for engine in self._engines.values()
            if engine.paused_until_s > now
        ]
        bears_s = [
            self._engines[run].bears_from_s(self.spec.cold_per_s, now)
            for run in self._usable
        ]
        times += [time_s for time_s in bears_s if time_s > now]
        return min(times)

    def _drop_expired(self, now):
        """Forget requests whose daemons have not told of their end."""
        expired = [
            (job_id, engine)
            for job_id, engine in self._by_job.items()
            if engine.jobs[job_id].deadline_s + EXPIRY_S <= now
        ]
        for job_id, engine in expired:
            del self._by_job[job_id]
            del engine.jobs[job_id]
            engine.unread.pop(job_id, None)

    def _choose(self, job, now):
        fitting = [
            self._engines[run]
            for run in self._usable
            if self._fits(self._engines[run], job, now)
        ]
        if not fitting:
            return None
        read = max(engine.count_cached(job) for engine in self._engines.values())
        order = sorted(fitting, key=lambda engine: _hash_engine(engine, job))
        costs = {
            engine: self._cost(engine, job, read) + ORDER_STEP_TOKENS * place
            for place, engine in enumerate(order)
        }
        return min(order, key=costs.get)

    def _place(self, job, engine, now):
        cached = engine.count_cached(job)
        engine.add(job, job.tokens_in - cached, self.spec.memory_tokens)
        if engine.cold_until_s > now:
            engine.placed_s.append(now)
        self._by_job[job.job_id] = engine
        return Placed(job, engine.target, cached)

    def _fits(self, engine, job, now):
        if engine.target.target_id in job.excluded or engine.paused_until_s > now:
            return False
        if len(engine.jobs) >= self.spec.slots:
            return False
        if engine.bears_from_s(self.spec.cold_per_s, now) > now:
            return False
        used = engine.used_tokens + job.tokens_in + job.tokens_out
        return not engine.jobs or used <= MEMORY_SHARE * self.spec.memory_tokens

    def _cost(self, engine, job, read):
        """Return the work before the first token, in prompt tokens.

        Args:
            engine (_Engine): Where the request would go.
            job (EngineJob): The request.
            read (int): Most tokens of its prompt that some engine has read.
        """
        cached = engine.count_cached(job)
        unread = job.tokens_in - cached + REREAD_WEIGHT * (read - cached)
        running = TOKENS_PER_RUNNING * len(engine.jobs)
        remote = sum_remote_bytes(job, engine.target.failure_domain)
        fetching = TOKENS_PER_REMOTE_MB * remote / MEGABYTE
        return engine.unread_tokens + unread + running + fetching


def _hash_engine(engine, job):
    """Return an engine's rendezvous hash for the first part of a prompt."""
    first = job.part_ids[0] if job.part_ids else ""
    return xxh64_intdigest(f"{first}/{engine.target.target_id}".encode())
