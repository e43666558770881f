"""Places requests on the engines of a pool.

Load pattern: prompts share long prefixes that engines cache after the prefill, long
prompts delay the tokens of all concurrent requests, and load reports of engines are
stale when they arrive. The scheduler therefore tracks its own placements: prompt tokens
awaiting prefill, running requests, memory, and the prompt parts that each engine has
cached. Stage results are large, so it prefers engines close to them.

Load pattern: schedulers change, and a new one does not know the caches of the engines.
Prompts with the same first part prefer the same engines by rendezvous hashing, so that
a new scheduler finds most of them where its predecessor placed them.

Load pattern: engines start, or become cold, while many requests wait. Being empty, they
look best for all of these, and crash under more requests per second than they can take.
They report how long they stay cold; until then the rate of requests is limited.

Load pattern: engines name a limit of requests per second. The others take the rest; if
all engines are limited, the most urgent requests are placed as the limits allow, and
those that would be placed too late are refused at once.

Load pattern: during a release, few engines of the older version are left, and streams
that began there can go on nowhere else. They go first, and the last places there are
kept for them while other engines have room. A request that may go to none of the
engines is refused at once.

Load pattern: engines differ in speed, and some prompt parts are hot. `TimedPlacement`,
if chosen by the settings, rates engines by expected time in place of tokens.
"""

from collections import Counter

from firworks.kernel.messages import Struct
from firworks.kernel.pools.accounts import UnsharedCapacity
from firworks.kernel.pools.engine_state import EngineState
from firworks.kernel.pools.timed_placement import TimedPlacement
from firworks.kernel.pools.token_placement import choose_by_tokens
from firworks.kernel.target_limits.unlimited import UnlimitedTargets

# Share of an engine's memory that placements may fill.
MEMORY_SHARE = 0.92
# Share of an engine's slots and memory that requests may fill which other engines could
# serve as well, while requests that cannot go elsewhere may come.
SHARED_SHARE = 0.8
# Back-off after a failure of an engine, doubled by each further one.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# A request expires this long after its deadline if its daemon does not report its end.
EXPIRY_S = 1.0
# Time from a placement to the first event, at least, for which a permit is reserved.
FIRST_EVENT_S = 0.25
# Retry-After for callers when no engine had capacity before their deadline.
DEFAULT_RETRY_AFTER_S = 1.0
# Ways to rate placements: by prompt tokens, or by the expected time.
BY_TOKENS = "tokens"
BY_TIME = "time"


class Placed(Struct):
    """The engine that a request was assigned to.

    Attributes:
        job (EngineJob): The request.
        target (Target): The engine.
        cached_tokens (int): Prompt tokens that it is expected to have cached.
    """

    __slots__ = ("job", "target", "cached_tokens")


class NotPlaced(Struct):
    """A request for which no engine has capacity before its first-byte deadline.

    Attributes:
        job (EngineJob): The request.
        retry_after_s (float): When its caller should return.
    """

    __slots__ = ("job", "retry_after_s")
    DEFAULTS = {"retry_after_s": DEFAULT_RETRY_AFTER_S}


class _LimitedJob(Struct):
    """A queued request that only limited engines may serve.

    Attributes:
        job (EngineJob): The request.
        candidates (tuple of tuple): Incarnations of the engines.
        latest_start_s (float): When its placement is of no more use.
    """

    __slots__ = ("job", "candidates", "latest_start_s")


class EngineScheduler:
    """Chooses an engine for each request of one pool.

    Methods that may place requests return a list of `Placed` and `NotPlaced`.

    Args:
        spec (EngineSpec): Capacity of each engine.
        limits (TargetLimiter): Permits for engines that name a limit.
        placement (str): ``BY_TOKENS`` or ``BY_TIME``.
        memory_bytes (int): Memory of an engine for the stage results of its requests;
            0 if it is not limited.
        shares (AccountShares): Shares of client accounts in the tokens of engines.
        waste_weight (float): As of `TimedPlacement`.

    Attributes:
        spec (EngineSpec): Capacity of each engine.
        shares (AccountShares or UnsharedCapacity): Shares of client accounts.
    """

    def __init__(
        self,
        spec,
        limits=None,
        placement=BY_TOKENS,
        memory_bytes=0,
        shares=None,
        waste_weight=1.0,
    ):
        self.spec = spec
        self.shares = shares or UnsharedCapacity()
        self._memory_bytes = memory_bytes
        self._timed = TimedPlacement(waste_weight) if placement == BY_TIME else None
        self._limits = limits or UnlimitedTargets()
        self._engines = {}
        self._usable = ()
        self._has_versions = False
        self._versions = Counter()
        self._by_job = {}
        # No request expires before this time, so that not all are checked each time.
        self._expiry_s = float("inf")
        self._waiting = {}
        self._planned_s = float("inf")

    @property
    def waiting(self):
        """Whether any request waits for an engine."""
        return bool(self._waiting)

    @property
    def targets(self):
        """The usable targets (list of Target)."""
        return [self._engines[incarnation].target for incarnation in self._usable]

    def describe_speeds(self, now):
        """Return the `EngineSpeed` of each usable engine (list); none by tokens."""
        return [] if self._timed is None else self._timed.describe_speeds(now)

    def set_targets(self, targets, now):
        """Set the usable targets of the pool (iterable of Target)."""
        by_incarnation = {target.incarnation: target for target in targets}
        for incarnation in [
            incarnation
            for incarnation in self._engines
            if incarnation not in by_incarnation
        ]:
            if not self._engines[incarnation].jobs:
                self._clear_cache(self._engines.pop(incarnation))
        for incarnation, target in by_incarnation.items():
            engine = self._engines.setdefault(incarnation, EngineState(target))
            if engine.target != target or engine.cold_until_s == 0.0:
                engine.cold_until_s = now + target.cold_s
            engine.target = target
        self._usable = tuple(by_incarnation)
        self._versions = Counter(one.version for one in by_incarnation.values())
        self._has_versions = len(self._versions) > 1
        if self._timed is not None:
            self._timed.set_engines(by_incarnation.values(), self._engines, now)
        return self.plan(now)

    def submit(self, job, now):
        """Queue a request (EngineJob)."""
        self._waiting[job.job_id] = job
        return self.plan(now)

    def adopt(self, job, target_id, begun, now=0.0):
        """Take over a request that another scheduler has placed.

        Args:
            job (EngineJob): The request.
            target_id (str): Its engine.
            begun (bool): Its first token was received.
            now (float): Monotonic seconds.
        """
        for engine in self._engines.values():
            if engine.target.target_id == target_id and job.job_id not in self._by_job:
                pending_prefill = (
                    0 if begun else job.tokens_in - engine.count_cached(job)
                )
                capacity = self._compute_cache_tokens(engine, job)
                evicted = engine.add(job, pending_prefill, capacity)
                self._track(job, engine)
                if self._timed is not None:
                    target = engine.target
                    self._timed.note_adopted(job, target, pending_prefill, begun, now)
                    self._timed.note_evicted(target, evicted)

    def resend_outcome(self, job_id):
        """Return the actions that report a job again, or None if it is unknown."""
        if job_id in self._waiting:
            return []
        engine = self._by_job.get(job_id)
        if engine is None:
            return None
        job = engine.jobs[job_id]
        cached = job.tokens_in - engine.pending_prefill.get(job_id, 0)
        return [Placed(job, engine.target, cached)]

    def note_begun(self, job_id, now=None):
        """Record that the first token of a request was received.

        Args:
            job_id (str): The job.
            now (float or None): Monotonic seconds; None if the time tells nothing about
                the engine.
        """
        engine = self._by_job.get(job_id)
        if engine is not None:
            engine.pending_prefill.pop(job_id, None)
            engine.failures = 0
            if self._timed is not None and now is None:
                self._timed.note_read(job_id, engine.target, self._planned_s)
            elif self._timed is not None:
                self._timed.note_begun(job_id, engine.target, now)

    def end(self, job_id, failed, now):
        """Remove a request that has left its engine or was cancelled.

        Args:
            job_id (str): The job.
            failed (bool): The engine aborted it or could not be reached.
            now (float): Monotonic seconds.
        """
        self._waiting.pop(job_id, None)
        engine = self._by_job.pop(job_id, None)
        if engine is None:
            return []
        job = engine.jobs.pop(job_id)
        engine.pending_prefill.pop(job_id, None)
        if self._timed is not None:
            self._timed.note_ended(job, engine.target, now)
        if failed:
            pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**engine.failures)
            engine.failures += 1
            engine.paused_until_s = now + pause_s
            self._clear_cache(engine)
        return self.plan(now)

    def plan(self, now):
        """Place the queued requests, the most urgent first."""
        self._planned_s = now
        self._drop_expired(now)
        actions = []
        order = sorted(
            self._waiting.values(),
            key=lambda job: (
                not self._is_bound(job),
                job.priority,
                job.first_byte_deadline_s,
            ),
        )
        order = self.shares.order(order, _describe_demand, now)
        for job in order:
            if job.first_byte_deadline_s <= now or self._is_excluded(job):
                del self._waiting[job.job_id]
                actions.append(NotPlaced(job))
            elif (engine := self._choose(job, now)) is not None:
                del self._waiting[job.job_id]
                actions.append(self._place(job, engine, now))
        return actions + self._refuse_limited(order, now)

    def next_due_s(self, now):
        """Return when `plan` should be called again, in monotonic seconds, or None.

        Times that have passed since the last call of `plan` are due at once.
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
        accepting_s = [
            self._engines[incarnation].accepts_from_s(self.spec.cold_per_s, now)
            for incarnation in self._usable
        ]
        accepting_s += [
            now + self._limits.get_wait_s(incarnation, now)
            for incarnation in self._usable
        ]
        times += [time_s for time_s in accepting_s if time_s > now]
        return min(times)

    def _refuse_limited(self, order, now):
        """Refuse the queued requests that limits allow to be placed too late only."""
        if not self._limits.active:
            return []
        limited = []
        for job in order:
            if job.job_id not in self._waiting:
                continue
            candidates = tuple(
                incarnation
                for incarnation in self._usable
                if incarnation[0] not in job.excluded
            )
            if self._limits.are_limited(candidates):
                latest_start_s = job.first_byte_deadline_s - FIRST_EVENT_S
                limited.append(_LimitedJob(job, candidates, latest_start_s))
        actions = []
        for late, retry_after_s in self._limits.find_late(limited, now):
            del self._waiting[late.job.job_id]
            actions.append(NotPlaced(late.job, retry_after_s))
        return actions

    def _drop_expired(self, now):
        """Remove requests whose daemons have not reported their end."""
        if now < self._expiry_s:
            return
        expired = [
            (job_id, engine)
            for job_id, engine in self._by_job.items()
            if engine.jobs[job_id].deadline_s + EXPIRY_S <= now
        ]
        for job_id, engine in expired:
            del self._by_job[job_id]
            job = engine.jobs.pop(job_id)
            engine.pending_prefill.pop(job_id, None)
            if self._timed is not None:
                self._timed.note_ended(job, engine.target, now)
        deadlines_s = [
            engine.jobs[job_id].deadline_s for job_id, engine in self._by_job.items()
        ]
        self._expiry_s = min(deadlines_s, default=float("inf")) + EXPIRY_S

    def _track(self, job, engine):
        """Record which engine has a request."""
        self._by_job[job.job_id] = engine
        self._expiry_s = min(self._expiry_s, job.deadline_s + EXPIRY_S)

    def _clear_cache(self, engine):
        """Forget what an engine has cached."""
        if self._timed is not None:
            self._timed.note_evicted(engine.target, engine.parts)
        engine.parts.clear()

    def _choose(self, job, now):
        if self._timed is not None:
            return self._choose_by_time(job, now)
        eligible = [
            self._engines[incarnation]
            for incarnation in self._usable
            if self._is_eligible(self._engines[incarnation], job, now)
        ]
        if not eligible:
            return None
        if self._has_versions and not self._is_bound(job):
            shared = [one for one in eligible if self._has_shared_room(one, job)]
            eligible = shared or eligible
        return choose_by_tokens(job, eligible, self._engines.values())

    def _choose_by_time(self, job, now):
        """Return the eligible engine with the least expected time, or None.

        When no engine has places beyond those kept for requests that can't go
        elsewhere, those of the version with the most engines are taken first.
        """
        if not any(self._has_free_slot(incarnation) for incarnation in self._usable):
            # While many requests wait, none of them is rated without need.
            return None
        needs_shared_room = self._has_versions and not self._is_bound(job)
        best = None
        for incarnation in self._timed.rank(job, self.spec.slots, now):
            engine = self._engines[incarnation]
            if not self._is_eligible(engine, job, now):
                continue
            if not needs_shared_room or self._has_shared_room(engine, job):
                return engine
            if best is None or self._count_version(engine) > self._count_version(best):
                best = engine
        return best

    def _count_version(self, engine):
        """Return the number (int) of usable engines of an engine's version."""
        return self._versions[engine.target.version]

    def _place(self, job, engine, now):
        cached = engine.count_cached(job)
        cost = job.tokens_in - cached + job.tokens_out
        self.shares.charge(job.account, job.weight, cost, now)
        capacity = self._compute_cache_tokens(engine, job)
        evicted = engine.add(job, job.tokens_in - cached, capacity)
        if self._timed is not None:
            self._timed.note_placed(job, engine.target, job.tokens_in - cached, now)
            self._timed.note_evicted(engine.target, evicted)
        self._limits.take(engine.target.incarnation, now)
        if engine.cold_until_s > now:
            engine.cold_placements_s.append(now)
        self._track(job, engine)
        return Placed(job, engine.target, cached)

    def _has_free_slot(self, incarnation):
        return len(self._engines[incarnation].jobs) < self.spec.slots

    def _is_eligible(self, engine, job, now):
        if engine.target.target_id in job.excluded or engine.paused_until_s > now:
            return False
        if len(engine.jobs) >= self.spec.slots:
            return False
        if engine.accepts_from_s(self.spec.cold_per_s, now) > now:
            return False
        if self._limits.get_wait_s(engine.target.incarnation, now) > 0.0:
            return False
        if self._memory_bytes and engine.jobs:
            held_bytes = engine.held_bytes + sum(job.input_bytes)
            if held_bytes > MEMORY_SHARE * self._memory_bytes:
                return False
        used = engine.used_tokens + job.tokens_in + job.tokens_out
        return not engine.jobs or used <= MEMORY_SHARE * self.spec.memory_tokens

    def _compute_cache_tokens(self, engine, job):
        """Return the tokens of prompts that an engine with one more job can keep."""
        if self._timed is None:
            return self.spec.memory_tokens
        generated = job.tokens_out + sum(one.tokens_out for one in engine.jobs.values())
        return self.spec.memory_tokens - generated

    def _has_shared_room(self, engine, job):
        """Return whether places would be left for requests that can't go elsewhere."""
        used = engine.used_tokens + job.tokens_in + job.tokens_out
        return (
            len(engine.jobs) < SHARED_SHARE * self.spec.slots
            and used <= SHARED_SHARE * MEMORY_SHARE * self.spec.memory_tokens
        )

    def _is_bound(self, job):
        """Return whether engines of one version only may serve a request."""
        if not self._has_versions or not job.excluded:
            return False
        versions = {
            self._engines[incarnation].target.version
            for incarnation in self._usable
            if incarnation[0] not in job.excluded
        }
        return len(versions) == 1

    def _is_excluded(self, job):
        """Return whether no engine may serve a request."""
        if not job.excluded:
            return False
        excluded = [target_id in job.excluded for target_id, _ in self._usable]
        return bool(excluded) and all(excluded)


def _describe_demand(job):
    """Return account, weight and tokens (tuple) of a request."""
    return job.account, job.weight, job.tokens_in + job.tokens_out
