"""A discrete-event simulation of stage pools with the real schedulers.

Time is virtual and random numbers are seeded. Arriving requests pass through their
stages by the scheduler of each pool; targets are simulated, and the engine behind them
is a fixed delay. The outcome of each request is recorded, so that ordering, batching
and refusal policies can be compared on the same load.
"""

import heapq
from itertools import count
from math import pi, sin
from random import Random

from firworks.kernel.forwarding.admission import (
    STREAM_TIMEOUT_GOALS,
    STREAM_TIMEOUT_S,
)
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools import critical_path
from firworks.kernel.pools.jobs import PieceJob, sum_remote_bytes
from firworks.kernel.pools.results import FreeResults, InputsRead, JobDone, JobRefused
from firworks.kernel.pools.stages import StageScheduler
from firworks.kernel.pools.workers import StageCall

NETWORK_DELAY_S = 0.002
ENGINE_S = 0.12
MEGABYTE = 1_000_000


class RequestKind:
    """A kind of request.

    Args:
        name (str): Name in reports.
        per_s (float): Mean arrivals per second.
        soft_deadline_s (float): Time within which an answer is on time.
        deadline_s (float): Time within which an answer is still of use.
        on_time_credit (float): Credit for an answer on time.
        late_credit (float): Credit for a late answer.
        priority (int): 0 is the most urgent.
        stages (tuple of StageSpec): The stages.
        draw_counts (callable): ``draw_counts(rng)`` returns the number of pieces of
            each stage.
        work_factors (tuple of float): Time of a piece of each stage, relative to the
            usual time of its pool.
        account (str): The client account that sends the requests.
        weight (float): Weight of the account's shares.
    """

    def __init__(
        self,
        name,
        per_s,
        soft_deadline_s,
        deadline_s,
        on_time_credit,
        late_credit,
        priority,
        stages,
        draw_counts,
        work_factors,
        account="",
        weight=1.0,
    ):
        self.account = account
        self.weight = weight
        self.name = name
        self.per_s = per_s
        self.soft_deadline_s = soft_deadline_s
        self.deadline_s = deadline_s
        self.on_time_credit = on_time_credit
        self.late_credit = late_credit
        self.priority = priority
        self.stages = stages
        self.draw_counts = draw_counts
        self.work_factors = work_factors

    @property
    def caller_timeout_s(self):
        """How long callers wait for the first event (float)."""
        goals_s = STREAM_TIMEOUT_GOALS * self.soft_deadline_s
        return min(self.deadline_s, max(STREAM_TIMEOUT_S, goals_s))


class Wave:
    """A periodic change of the arrival rate of all kinds.

    Args:
        period_s (float): Its period in seconds.
        swing (float): Greatest change, as a share of the mean rate.
        begin_s (float): A time at which the rate rises above its mean.
    """

    def __init__(self, period_s, swing, begin_s=0.0):
        self.period_s = period_s
        self.swing = swing
        self.begin_s = begin_s

    def get_factor(self, time_s):
        """Return the factor on the arrival rate at a time in seconds."""
        phase = (time_s - self.begin_s) / self.period_s
        return 1.0 + self.swing * sin(2 * pi * phase)


class Burst:
    """A temporary change of the arrival rate.

    Args:
        kind (str or None): Kind of request; None for all kinds.
        begin_s (float): Begin, in seconds since the start.
        end_s (float): End, likewise.
        factor (float): Factor on the arrival rate.
    """

    def __init__(self, kind, begin_s, end_s, factor):
        self.kind = kind
        self.begin_s = begin_s
        self.end_s = end_s
        self.factor = factor


class FakeTarget:
    """A simulated target of a stage pool that runs one call at a time.

    Args:
        target (Target): Its entry.
        spec (StagePoolSpec): Its capacity.

    Attributes:
        slowness (float): Duration of its calls relative to the usual one.
        broken (bool): It answers no calls.
        error_share (float): Share of pieces that fail.
        results (dict of str to int): Size of each result that it holds, by handle.
    """

    def __init__(self, target, spec):
        self.target = target
        self.spec = spec
        self.slowness = 1.0
        self.broken = False
        self.waiting = []
        self.current = None
        self.held_bytes = 0
        self.results = {}
        self.error_share = 0.0

    @property
    def full(self):
        """Whether a further call is rejected."""
        return self.current is not None and len(self.waiting) >= self.spec.queue


class _Request:
    """Progress of one request."""

    def __init__(self, kind, number, now, counts):
        self.kind = kind
        self.number = number
        self.begun_s = now
        self.counts = counts
        self.done = {}
        self.ended = False
        self.jobs = []
        self.read = set()
        self.completed = set()
        self.evictable = set()
        self.freed = set()


class PoolSimulation:
    """Simulates a load on the schedulers.

    Args:
        pools (dict of str to StagePoolSpec): The pools.
        target_count (int or dict of str to int): Number of targets of each pool.
        kinds (iterable of RequestKind): The load.
        seed (int): Seed of all random numbers.
        make_scheduler (callable): ``make_scheduler(spec)`` builds a scheduler.
        mean_arrival_group (float): Mean number of requests that arrive together.
        wave (Wave): Change of the arrival rate.
        engine_s (float): Median time from the end of the stages to the first event.
        engine_spread (float): Standard deviation of its logarithm.

    Attributes:
        outcomes (list of (str, float, str)): Kind, arrival time and outcome: "on time",
            "late", "refused" or "lost".
        arrivals (list of tuple): Kind (RequestKind), arrival time and number of pieces
            of each stage of all requests.
        refused_s (list of float): Time from arrival to refusal.
        calls (int): Calls sent.
        wasted_pieces (int): Pieces processed for requests that failed.
        held_s (float): Total time that requests waited that were not served.
        free_delay_s (float): Time for which results to free are collected.
        reports_loads (bool): Targets state their speed in responses.
        has_homes (bool): Jobs name the failure domain of their engine.
        engine_bytes (float): Bytes of results in other failure domains than that.
        reuses_memory (bool): Results to free are freed when a call is sent.
        reserves_early (bool): Targets reserve memory when a call begins.
        expires (bool): Results expire at the targets.
        answer_times (list of AnswerTimes): What each gateway has measured; empty if
            gateways reckon with the shortest time of an engine.
        callers_time_out (bool): Callers leave before the deadline, as those of streams.
        uses_caller_timeout (bool): Jobs have the time-out of such callers as deadline.
        no_room (int): Pieces that failed because the memory of their target was full.
        gone (int): Pieces that failed because an input had expired.
        remote_bytes (float): Bytes of results fetched from other failure domains.
    """

    def __init__(
        self,
        pools,
        target_count,
        kinds,
        seed,
        make_scheduler=StageScheduler,
        mean_arrival_group=1.5,
        wave=None,
        engine_s=ENGINE_S,
        engine_spread=0.0,
    ):
        self.now = 0.0
        self._engine_s = engine_s
        self._engine_spread = engine_spread
        self._engine_rng = Random(f"engines/{seed}")
        self.answer_times = []
        self.get_wait_s = lambda name: None
        self.arrivals = []
        self.refused_s = []
        self.gone = 0
        self._wave = wave or Wave(1.0, 0.0)
        self.outcomes = []
        self.calls = 0
        self.pieces = 0
        self.wasted_pieces = 0
        self.no_room = 0
        self.held_s = 0.0
        self.free_delay_s = 0.0
        self.expires = False
        self.callers_time_out = False
        self.uses_caller_timeout = True
        self.busy_s = 0.0
        self.remote_bytes = 0.0
        self.rng = Random(seed)
        self.kinds = list(kinds)
        self.specs = pools
        self._make_scheduler = make_scheduler
        self._submitted = {}
        self.schedulers = {name: make_scheduler(spec) for name, spec in pools.items()}
        self.reuses_memory = False
        self.has_homes = False
        self.reports_loads = False
        self.engine_bytes = 0.0
        self.reserves_early = False
        self._pending_frees = {}
        self.targets = {}
        self._mean_arrival_group = mean_arrival_group
        self._events = []
        self._order = count()
        self._jobs = {}
        self._requests = count()
        self._timers = {}
        self._missing_inputs = set()
        self._reserved = set()
        for name, spec in pools.items():
            entries = make_targets(name, target_count)
            for entry in entries:
                self.targets[entry.target_id] = FakeTarget(entry, spec)
            self._execute(name, self.schedulers[name].set_targets(entries, 0.0))

    def at(self, time_s, function, *arguments):
        """Call a function at a virtual time."""
        heapq.heappush(self._events, (time_s, next(self._order), function, arguments))

    def run(self, length_s, bursts=()):
        """Simulate arrivals for some seconds, and then until all requests end."""
        for kind in self.kinds:
            self._schedule_arrivals(kind, length_s, bursts)
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def replace_scheduler(self, name, adopts=True):
        """Replace a pool's scheduler by one that knows only what daemons send it.

        Args:
            name (str): The pool.
            adopts (bool): Daemons hand over the results that targets retain for them.
        """
        scheduler = self.schedulers[name] = self._make_scheduler(self.specs[name])
        scheduler.freeing.enabled = self.reuses_memory
        scheduler.prefers_home = self.has_homes
        targets = [
            fake.target for fake in self.targets.values() if fake.target.service == name
        ]
        self._execute(name, scheduler.set_targets(targets, self.now))
        for job_id, (request, number) in self._jobs.items():
            if request.ended or request.kind.stages[number].service != name:
                continue
            job = self._submitted[job_id]
            if request.done.get(number) is None:
                self._execute(name, scheduler.submit(job, self.now))
            elif adopts and number not in request.freed:
                addresses = {
                    handle: handle.partition("/")[0] for handle in request.done[number]
                }
                read = number in request.evictable
                self._execute(name, scheduler.adopt(job, addresses, read, self.now))

    def credit(self, kind=None):
        """Return the earned share of the maximum credit."""
        by_name = {one.name: one for one in self.kinds}
        earned = owed = 0.0
        for name, _, outcome in self.outcomes:
            if kind in (None, name):
                owed += by_name[name].on_time_credit
                if outcome == "on time":
                    earned += by_name[name].on_time_credit
                elif outcome == "late":
                    earned += by_name[name].late_credit
        return earned / owed if owed else 0.0

    def count(self, outcome, kind=None):
        """Return the number of requests with an outcome."""
        return sum(
            found == outcome and kind in (None, name)
            for name, _, found in self.outcomes
        )

    def _schedule_arrivals(self, kind, length_s, bursts):
        time_s = 0.0
        while True:
            factor = self._wave.get_factor(time_s)
            for burst in bursts:
                inside = burst.begin_s <= time_s < burst.end_s
                if inside and burst.kind in (None, kind.name):
                    factor *= burst.factor
            group = max(1, round(self.rng.expovariate(1 / self._mean_arrival_group)))
            time_s += self.rng.expovariate(kind.per_s * factor / group)
            if time_s >= length_s:
                return
            for _ in range(group):
                self.at(time_s, self._arrive, kind)

    def _arrive(self, kind):
        counts = kind.draw_counts(self.rng)
        request = _Request(kind, next(self._requests), self.now, counts)
        self.arrivals.append((kind, self.now, counts))
        wait_s = kind.caller_timeout_s if self.callers_time_out else kind.deadline_s
        self.at(self.now + wait_s, self._end, request, "lost")
        self._advance(request)

    def _compute_downstream_s(self, request):
        return critical_path.compute_downstream_s(
            request.kind.stages,
            request.counts,
            lambda name: self.schedulers[name].spec,
            self._estimate_engine_s(request),
            self.get_wait_s,
        )

    def _advance(self, request):
        stages = request.kind.stages
        for number, stage in enumerate(stages):
            if number in request.done or request.ended:
                continue
            if any(request.done.get(dependency) is None for dependency in stage.after):
                continue
            gate = critical_path.find_gate(stages, request.counts, number)
            if gate is not None and request.done.get(gate) is None:
                continue
            if not request.counts[number]:
                request.done[number] = ()
                self._advance(request)
                return
            request.done.setdefault(number, None)
            self._submit(request, number)
        if all(request.done.get(i) is not None for i in range(len(stages))):
            self._count_engine_bytes(request)
            self.at(self.now + self._draw_engine_s(), self._finish, request, self.now)

    def _estimate_engine_s(self, request):
        """Return the time of the engine that the gateway of a request reckons with."""
        if not self.answer_times:
            return ENGINE_S
        times = self.answer_times[request.number % len(self.answer_times)]
        goal_s = request.kind.soft_deadline_s
        return times.estimate_s("engines", goal_s, ENGINE_S, self.now)

    def _count_engine_bytes(self, request):
        stages = request.kind.stages
        followed = {before for stage in stages for before in stage.after}
        home = f"fd-{request.number % 3}"
        for number in set(range(len(stages))) - followed:
            domains, sizes = self._sum_input_bytes(request.done[number], 1)
            held = dict(zip(domains, sizes, strict=True))
            self.engine_bytes += sum(held.values()) - held.get(home, 0)

    def _draw_engine_s(self):
        """Return the seconds from the end of the stages to the first event."""
        if not self._engine_spread:
            return self._engine_s
        factor = self._engine_rng.lognormvariate(0, self._engine_spread)
        return self._engine_s * factor

    def _submit(self, request, number):
        stage = request.kind.stages[number]
        kind = request.kind
        uses_timeout = self.callers_time_out and self.uses_caller_timeout
        limit_s = kind.caller_timeout_s if uses_timeout else kind.deadline_s
        inputs = [h for dependency in stage.after for h in request.done[dependency]]
        job = PieceJob(
            f"{request.number}/{number}",
            str(request.number),
            number,
            request.counts[number],
            "" if inputs else "key",
            tuple(inputs),
            stage.result_bytes,
            kind.priority,
            request.begun_s + kind.soft_deadline_s,
            request.begun_s + limit_s,
            self._compute_downstream_s(request)[number],
            *self._sum_input_bytes(inputs, request.counts[number]),
            b"",
            self._get_home_domain(request),
            kind.account,
            kind.weight,
        )
        self._jobs[job.job_id] = (request, number)
        self._submitted[job.job_id] = job
        request.jobs.append((stage.service, job.job_id))
        scheduler = self.schedulers[stage.service]
        self._execute(stage.service, scheduler.submit(job, self.now))

    def _get_home_domain(self, request):
        return f"fd-{request.number % 3}" if self.has_homes else ""

    def _mark_inputs_read(self, request, number):
        """Mark the results as read that no other stage still has to read."""
        request.read.add(number)
        for dependency in self._list_fully_used(request, number, request.read):
            request.evictable.add(dependency)
            service, job_id = self._name_job(request, dependency)
            scheduler = self.schedulers[service]
            self._execute(service, scheduler.mark_read(job_id, self.now))

    def _release_inputs(self, request, number):
        """Free the results that no other stage needs any longer."""
        request.read.add(number)
        request.completed.add(number)
        for dependency in self._list_fully_used(request, number, request.completed):
            request.freed.add(dependency)
            service, job_id = self._name_job(request, dependency)
            scheduler = self.schedulers[service]
            self._execute(service, scheduler.cancel(job_id, self.now))

    def _list_fully_used(self, request, number, done):
        stages = request.kind.stages
        for dependency in stages[number].after:
            dependents = {
                i for i, stage in enumerate(stages) if dependency in stage.after
            }
            if dependents <= done:
                yield dependency

    def _name_job(self, request, number):
        """Return the pool and the job id of a stage."""
        return request.kind.stages[number].service, f"{request.number}/{number}"

    def _sum_input_bytes(self, handles, pieces):
        """Return the failure domains of inputs and the bytes fetched from each.

        Each piece fetches all inputs.
        """
        sizes = {}
        for handle in handles:
            domain = self.targets[handle.partition("/")[0]].target.failure_domain
            size = int(handle.rpartition("/")[2]) * pieces
            sizes[domain] = sizes.get(domain, 0) + size
        return tuple(sizes), tuple(sizes.values())

    def _finish(self, request, staged_s):
        if self.answer_times and not request.ended:
            times = self.answer_times[request.number % len(self.answer_times)]
            times.record("engines", self.now - staged_s, self.now)
        on_time = self.now - request.begun_s <= request.kind.soft_deadline_s
        self._end(request, "on time" if on_time else "late")

    def _end(self, request, outcome):
        if request.ended:
            return
        request.ended = True
        self.outcomes.append((request.kind.name, request.begun_s, outcome))
        if outcome in ("lost", "refused"):
            self.held_s += self.now - request.begun_s
        if outcome == "refused":
            self.refused_s.append(self.now - request.begun_s)
        if outcome in ("lost", "refused"):
            self.wasted_pieces += sum(len(done or ()) for done in request.done.values())
        for service, job_id in request.jobs:
            scheduler = self.schedulers[service]
            self._execute(service, scheduler.cancel(job_id, self.now))

    def _execute(self, name, actions):
        for action in actions:
            if isinstance(action, StageCall):
                self.calls += 1
                if self.reuses_memory:
                    self._free_pending(name, action.target.target_id)
                self.pieces += len(action.pieces)
                scheduler = self.schedulers[name]
                self.at(
                    self.now + NETWORK_DELAY_S,
                    self._begin_call,
                    name,
                    scheduler,
                    action,
                )
                self.at(action.overdue_s, self._time_out_call, name, scheduler, action)
            elif isinstance(action, JobDone):
                request, number = self._jobs[action.job.job_id]
                if not request.ended:
                    request.done[number] = action.handles
                    self._release_inputs(request, number)
                    self._advance(request)
            elif isinstance(action, InputsRead):
                request, number = self._jobs[action.job.job_id]
                self._mark_inputs_read(request, number)
            elif isinstance(action, JobRefused):
                request, _ = self._jobs[action.job.job_id]
                self._end(request, "refused")
            elif isinstance(action, FreeResults):
                if self.free_delay_s:
                    target_id = action.target.target_id
                    self._pending_frees.setdefault(target_id, []).append(action)
                    time_s = self.now + self.free_delay_s
                    self.at(time_s, self._free_pending, name, target_id)
                else:
                    self._free(name, action)
        due_s = self.schedulers[name].next_due_s(self.now)
        if due_s is not None and due_s != self._timers.get(name):
            self._timers[name] = due_s
            self.at(max(due_s, self.now + 1e-6), self._wake, name, due_s)

    def _free_pending(self, name, target_id):
        for action in self._pending_frees.pop(target_id, ()):
            self._free(name, action)

    def _free(self, name, action):
        fake = self.targets[action.target.target_id]
        for handle in action.handles:
            self._expire(fake, handle)
        self.at(self.now + NETWORK_DELAY_S, self._note_freed, name, action)

    def _expire(self, fake, handle):
        if handle in fake.results:
            fake.held_bytes -= fake.results.pop(handle)

    def _note_freed(self, name, freed):
        scheduler = self.schedulers[name]
        self._execute(name, scheduler.note_freed(freed, self.now))

    def _wake(self, name, due_s):
        if self._timers.get(name) == due_s:
            self._timers[name] = None
            self._execute(name, self.schedulers[name].plan(self.now))

    def _begin_call(self, name, scheduler, call):
        fake = self.targets[call.target.target_id]
        if fake.broken:
            return
        if fake.full:
            if scheduler is self.schedulers[name]:
                self._execute(name, scheduler.reject_call(call.call_id, self.now))
            return
        fake.waiting.append((name, scheduler, call))
        self._start_next(fake)

    def _start_next(self, fake):
        if fake.current is not None or not fake.waiting:
            return
        name, scheduler, call = fake.current = fake.waiting.pop(0)
        seconds = fake.spec.call_s
        for piece in call.pieces:
            job = piece.job
            holders = (self.targets[handle.partition("/")[0]] for handle in job.inputs)
            if any(
                handle not in holder.results
                for handle, holder in zip(job.inputs, holders, strict=True)
            ):
                self._missing_inputs.add(job.job_id)
            if self.reserves_early:
                self._reserve(fake, piece)
            self.remote_bytes += (
                sum_remote_bytes(job, fake.target.failure_domain) / job.count
            )
            request, number = self._jobs[piece.job.job_id]
            seconds += fake.spec.piece_s * request.kind.work_factors[number]
        self.busy_s += seconds
        end_s = self.now + seconds * fake.slowness
        self.at(end_s, self._end_call, fake, name, scheduler, call)

    def _end_call(self, fake, name, scheduler, call):
        fake.current = None
        self._start_next(fake)
        if fake.broken:
            return
        results = []
        for piece in call.pieces:
            size = piece.job.result_bytes
            if self._had_missing_inputs(piece.job):
                self.gone += 1
                self._return_room(fake, piece)
                results.append((None, "gone"))
                continue
            if fake.error_share and self.rng.random() < fake.error_share:
                self._return_room(fake, piece)
                results.append((None, "error"))
                continue
            if not self._take_room(fake, piece):
                self.no_room += 1
                results.append((None, "room"))
                continue
            result_id = f"{piece.job.job_id}/{piece.number}/{next(self._order)}"
            handle = f"{fake.target.address}/{result_id}/{size}"
            fake.results[handle] = size
            if self.expires:
                self.at(self.now + fake.spec.result_ttl_s, self._expire, fake, handle)
            results.append((handle, ""))
        self.at(
            self.now + NETWORK_DELAY_S, self._answer, name, scheduler, call, results
        )

    def _reserve(self, fake, piece):
        """Reserve memory for the result of a piece, if its target has any."""
        size = piece.job.result_bytes
        if fake.held_bytes + size <= fake.spec.memory_bytes:
            fake.held_bytes += size
            self._reserved.add(piece)

    def _take_room(self, fake, piece):
        """Return whether a piece has memory for its result, and take it."""
        if not self.reserves_early:
            self._reserve(fake, piece)
        reserved = piece in self._reserved
        self._reserved.discard(piece)
        return reserved

    def _return_room(self, fake, piece):
        if piece in self._reserved:
            self._reserved.discard(piece)
            fake.held_bytes -= piece.job.result_bytes

    def _had_missing_inputs(self, job):
        """Return whether inputs of a job were missing when a call began."""
        return job.job_id in self._missing_inputs

    def _answer(self, name, scheduler, call, results):
        if scheduler is self.schedulers[name]:
            if self.reports_loads:
                slowness = self.targets[call.target.target_id].slowness
                scheduler.note_load(call.target.incarnation, slowness, self.now)
            actions = scheduler.complete_call(call.call_id, results, self.now)
            self._execute(name, actions)

    def _time_out_call(self, name, scheduler, call):
        if scheduler is self.schedulers[name]:
            self._execute(name, scheduler.fail_call(call.call_id, self.now))


def make_targets(name, count):
    """Return the targets (list of Target) of a pool, in three failure domains.

    Args:
        name (str): The pool.
        count (int or dict of str to int): Number of targets, or that of each pool.
    """
    number = count if isinstance(count, int) else count[name]
    return [
        Target(f"{name}-{i}", name, f"{name}-{i}", f"fd-{i % 3}", "", 1, False, 0, 0.0)
        for i in range(number)
    ]


def evict_all(results, waiting_bytes):
    """Evict all results that were read, whatever memory is free.

    Replaces `RetainedResults.take_surplus` to measure the benefit of retention.
    """
    for job_id in list(results._evictable):
        yield results.pop(job_id)


def vary_speeds(world, length_s):
    """Let each target be half as fast for 1.5 of 6 s, and vary by 30% besides.

    Args:
        world (PoolSimulation): The simulation, not yet begun.
        length_s (float): Until when the speeds change.
    """
    rng = Random(5)
    phases_s = {target_id: rng.uniform(0, 6) for target_id in world.targets}

    def change():
        for target_id, fake in world.targets.items():
            slow = (world.now + phases_s[target_id]) % 6 < 1.5
            fake.slowness = (2.0 if slow else 1.0) * rng.uniform(0.7, 1.3)
        if world.now < length_s:
            world.at(world.now + 0.15, change)

    world.at(0.0, change)
