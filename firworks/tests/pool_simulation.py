"""A virtual world of stage pools: arrivals, targets and the real schedulers.

Time is virtual and seeded. Requests go through their stages by the scheduler of each
pool; the engine behind them is a fixed delay. It shows what becomes of each request,
so that orders, batches and refusals can be compared on the same load.
"""

import heapq
from itertools import count
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

WIRE_S = 0.002
ENGINE_S = 0.12
MEGABYTE = 1_000_000


class Kind:
    """A kind of request.

    Args:
        name (str): For reports.
        per_s (float): Arrivals a second.
        soft_deadline_s (float): Time within which an answer is on time.
        deadline_s (float): Time within which it is of any use.
        worth (float): Of an answer on time.
        late_worth (float): Of a late one.
        priority (int): 0 is the most urgent.
        stages (tuple of StageSpec): The stages.
        draw (callable): ``draw(rng)`` returns the pieces of each stage.
        work (tuple of float): Time of a piece of each stage over the pool's usual.
    """

    def __init__(
        self,
        name,
        per_s,
        soft_deadline_s,
        deadline_s,
        worth,
        late_worth,
        priority,
        stages,
        draw,
        work,
    ):
        self.name = name
        self.per_s = per_s
        self.soft_deadline_s = soft_deadline_s
        self.deadline_s = deadline_s
        self.worth = worth
        self.late_worth = late_worth
        self.priority = priority
        self.stages = stages
        self.draw = draw
        self.work = work

    @property
    def caller_timeout_s(self):
        """How long callers wait for the first event."""
        goals_s = STREAM_TIMEOUT_GOALS * self.soft_deadline_s
        return min(self.deadline_s, max(STREAM_TIMEOUT_S, goals_s))


class Burst:
    """More arrivals of a kind for a time.

    Args:
        kind (str or None): None for all kinds.
        begin_s (float): Since the start.
        end_s (float): Likewise.
        factor (float): Arrivals over the usual.
    """

    def __init__(self, kind, begin_s, end_s, factor):
        self.kind = kind
        self.begin_s = begin_s
        self.end_s = end_s
        self.factor = factor


class FakeTarget:
    """A target of a stage pool: one call at a time, two that wait.

    Args:
        target (Target): Its entry.
        spec (StagePoolSpec): What it can do.

    Attributes:
        slowness (float): Time of its calls over the usual.
        broken (bool): Calls get no answer.
        error_share (float): Share of the pieces that it fails to make.
        results (dict of str to int): Size of each result that it keeps.
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
        """Whether a further call is turned away."""
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
        self.made = set()
        self.spare = set()
        self.freed = set()


class PoolSimulation:
    """Runs a load through the schedulers.

    Args:
        pools (dict of str to StagePoolSpec): The pools.
        target_count (int): Targets of each pool.
        kinds (iterable of Kind): The load.
        seed (int): Of all random numbers.
        make_scheduler (callable): ``make_scheduler(spec)`` builds a scheduler.
        clump (float): Mean number of requests that arrive together.

    Attributes:
        outcomes (list of (str, float, str)): Kind, arrival and "in aim", "late",
            "refused" or "lost".
        calls (int): Calls sent.
        wasted_pieces (int): Pieces made for requests that failed.
        held_s (float): How long requests were held that were not served.
        expires (bool): Targets give up results after their time.
        leaves_early (bool): Callers leave before the deadline, as those of streams.
        reckons_patience (bool): Jobs end when such callers leave.
        no_room (int): Pieces that were not made as their target was full.
        remote_bytes (float): Results fetched from other failure domains.
    """

    def __init__(
        self, pools, target_count, kinds, seed, make_scheduler=StageScheduler, clump=1.5
    ):
        self.now = 0.0
        self.outcomes = []
        self.calls = 0
        self.pieces = 0
        self.wasted_pieces = 0
        self.no_room = 0
        self.held_s = 0.0
        self.expires = False
        self.leaves_early = False
        self.reckons_patience = True
        self.busy_s = 0.0
        self.remote_bytes = 0.0
        self.rng = Random(seed)
        self.kinds = list(kinds)
        self.specs = pools
        self._make_scheduler = make_scheduler
        self._submitted = {}
        self.schedulers = {name: make_scheduler(spec) for name, spec in pools.items()}
        self.targets = {}
        self._clump = clump
        self._agenda = []
        self._order = count()
        self._jobs = {}
        self._requests = count()
        self._timers = {}
        self._lacking = set()
        for name, spec in pools.items():
            entries = [
                Target(
                    f"{name}-{i}", name, f"{name}-{i}", f"fd-{i}", "", 1, False, 0, 0.0
                )
                for i in range(target_count)
            ]
            for entry in entries:
                self.targets[entry.target_id] = FakeTarget(entry, spec)
            self._carry_out(name, self.schedulers[name].set_targets(entries, 0.0))

    def at(self, time_s, function, *arguments):
        """Call a function at a virtual time."""
        heapq.heappush(self._agenda, (time_s, next(self._order), function, arguments))

    def run(self, length_s, bursts=()):
        """Play arrivals for some seconds and let the requests end."""
        for kind in self.kinds:
            self._plan_arrivals(kind, length_s, bursts)
        while self._agenda:
            self.now, _, function, arguments = heapq.heappop(self._agenda)
            function(*arguments)

    def replace_scheduler(self, name, adopts=True):
        """Replace a pool's scheduler by one that knows only what daemons tell it.

        Args:
            name (str): The pool.
            adopts (bool): The daemons tell of results that targets keep for them.
        """
        scheduler = self.schedulers[name] = self._make_scheduler(self.specs[name])
        targets = [
            fake.target for fake in self.targets.values() if fake.target.service == name
        ]
        self._carry_out(name, scheduler.set_targets(targets, self.now))
        for job_id, (request, number) in self._jobs.items():
            if request.ended or request.kind.stages[number].service != name:
                continue
            job = self._submitted[job_id]
            if request.done.get(number) is None:
                self._carry_out(name, scheduler.submit(job, self.now))
            elif adopts and number not in request.freed:
                addresses = {
                    handle: handle.partition("/")[0] for handle in request.done[number]
                }
                read = number in request.spare
                self._carry_out(name, scheduler.adopt(job, addresses, read, self.now))

    def credit(self, kind=None):
        """Return the share of the credit owed that was earned."""
        by_name = {one.name: one for one in self.kinds}
        earned = owed = 0.0
        for name, _, outcome in self.outcomes:
            if kind in (None, name):
                owed += by_name[name].worth
                if outcome == "in aim":
                    earned += by_name[name].worth
                elif outcome == "late":
                    earned += by_name[name].late_worth
        return earned / owed if owed else 0.0

    def count(self, outcome, kind=None):
        """Return how many requests ended in a way."""
        return sum(
            found == outcome and kind in (None, name)
            for name, _, found in self.outcomes
        )

    def _plan_arrivals(self, kind, length_s, bursts):
        time_s = 0.0
        while True:
            factor = 1.0
            for burst in bursts:
                inside = burst.begin_s <= time_s < burst.end_s
                if inside and burst.kind in (None, kind.name):
                    factor *= burst.factor
            group = max(1, round(self.rng.expovariate(1 / self._clump)))
            time_s += self.rng.expovariate(kind.per_s * factor / group)
            if time_s >= length_s:
                return
            for _ in range(group):
                self.at(time_s, self._arrive, kind)

    def _arrive(self, kind):
        counts = kind.draw(self.rng)
        request = _Request(kind, next(self._requests), self.now, counts)
        wait_s = kind.caller_timeout_s if self.leaves_early else kind.deadline_s
        self.at(self.now + wait_s, self._end, request, "lost")
        later = critical_path.compute_downstream_s(
            kind.stages,
            counts,
            lambda name: self.schedulers[name].spec,
            ENGINE_S,
        )
        request.later = later
        self._advance(request)

    def _advance(self, request):
        stages = request.kind.stages
        for number, stage in enumerate(stages):
            if number in request.done or request.ended:
                continue
            if any(request.done.get(before) is None for before in stage.after):
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
            self.at(self.now + ENGINE_S, self._finish, request)

    def _submit(self, request, number):
        stage = request.kind.stages[number]
        kind = request.kind
        reckons = self.leaves_early and self.reckons_patience
        limit_s = kind.caller_timeout_s if reckons else kind.deadline_s
        inputs = [h for before in stage.after for h in request.done[before]]
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
            request.later[number],
            *self._weigh(inputs, request.counts[number]),
            b"",
        )
        self._jobs[job.job_id] = (request, number)
        self._submitted[job.job_id] = job
        request.jobs.append((stage.service, job.job_id))
        scheduler = self.schedulers[stage.service]
        self._carry_out(stage.service, scheduler.submit(job, self.now))

    def _note_read(self, request, number):
        """Let results go for room that no other stage has still to read."""
        request.read.add(number)
        for before in self._list_last_before(request, number, request.read):
            request.spare.add(before)
            service, job_id = self._name_job(request, before)
            scheduler = self.schedulers[service]
            self._carry_out(service, scheduler.mark_read(job_id, self.now))

    def _note_made(self, request, number):
        """Give up the results that no other stage needs any longer."""
        request.read.add(number)
        request.made.add(number)
        for before in self._list_last_before(request, number, request.made):
            request.freed.add(before)
            service, job_id = self._name_job(request, before)
            scheduler = self.schedulers[service]
            self._carry_out(service, scheduler.cancel(job_id, self.now))

    def _list_last_before(self, request, number, passed):
        stages = request.kind.stages
        for before in stages[number].after:
            followers = {i for i, stage in enumerate(stages) if before in stage.after}
            if followers <= passed:
                yield before

    def _name_job(self, request, number):
        """Return the pool and the id of a stage's job."""
        return request.kind.stages[number].service, f"{request.number}/{number}"

    def _weigh(self, handles, pieces):
        """Return domains and bytes: each piece fetches all its inputs."""
        sizes = {}
        for handle in handles:
            domain = self.targets[handle.partition("/")[0]].target.failure_domain
            size = int(handle.rpartition("/")[2]) * pieces
            sizes[domain] = sizes.get(domain, 0) + size
        return tuple(sizes), tuple(sizes.values())

    def _finish(self, request):
        in_aim = self.now - request.begun_s <= request.kind.soft_deadline_s
        self._end(request, "in aim" if in_aim else "late")

    def _end(self, request, outcome):
        if request.ended:
            return
        request.ended = True
        self.outcomes.append((request.kind.name, request.begun_s, outcome))
        if outcome in ("lost", "refused"):
            self.held_s += self.now - request.begun_s
        if outcome in ("lost", "refused"):
            self.wasted_pieces += sum(len(done or ()) for done in request.done.values())
        for service, job_id in request.jobs:
            scheduler = self.schedulers[service]
            self._carry_out(service, scheduler.cancel(job_id, self.now))

    def _carry_out(self, name, actions):
        for action in actions:
            if isinstance(action, StageCall):
                self.calls += 1
                self.pieces += len(action.pieces)
                scheduler = self.schedulers[name]
                self.at(self.now + WIRE_S, self._begin_call, name, scheduler, action)
                self.at(action.overdue_s, self._give_up, name, scheduler, action)
            elif isinstance(action, JobDone):
                request, number = self._jobs[action.job.job_id]
                if not request.ended:
                    request.done[number] = action.handles
                    self._note_made(request, number)
                    self._advance(request)
            elif isinstance(action, InputsRead):
                request, number = self._jobs[action.job.job_id]
                self._note_read(request, number)
            elif isinstance(action, JobRefused):
                request, _ = self._jobs[action.job.job_id]
                self._end(request, "refused")
            elif isinstance(action, FreeResults):
                fake = self.targets[action.target.target_id]
                for handle in action.handles:
                    if handle in fake.results:
                        fake.held_bytes -= fake.results.pop(handle)
                self.at(self.now + WIRE_S, self._note_freed, name, action)
        due_s = self.schedulers[name].next_due_s(self.now)
        if due_s is not None and due_s != self._timers.get(name):
            self._timers[name] = due_s
            self.at(max(due_s, self.now + 1e-6), self._wake, name, due_s)

    def _expire(self, fake, handle):
        if handle in fake.results:
            fake.held_bytes -= fake.results.pop(handle)

    def _note_freed(self, name, freed):
        scheduler = self.schedulers[name]
        self._carry_out(name, scheduler.note_freed(freed, self.now))

    def _wake(self, name, due_s):
        if self._timers.get(name) == due_s:
            self._timers[name] = None
            self._carry_out(name, self.schedulers[name].plan(self.now))

    def _begin_call(self, name, scheduler, call):
        fake = self.targets[call.target.target_id]
        if fake.broken:
            return
        if fake.full:
            if scheduler is self.schedulers[name]:
                self._carry_out(name, scheduler.reject_call(call.call_id, self.now))
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
            makers = (self.targets[handle.partition("/")[0]] for handle in job.inputs)
            if any(
                handle not in maker.results
                for handle, maker in zip(job.inputs, makers, strict=True)
            ):
                self._lacking.add(job.job_id)
            self.remote_bytes += (
                sum_remote_bytes(job, fake.target.failure_domain) / job.count
            )
            request, number = self._jobs[piece.job.job_id]
            seconds += fake.spec.piece_s * request.kind.work[number]
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
            if self._lacks_inputs(piece.job):
                results.append((None, "gone"))
                continue
            if fake.error_share and self.rng.random() < fake.error_share:
                results.append((None, "error"))
                continue
            if fake.held_bytes + size > fake.spec.memory_bytes:
                self.no_room += 1
                results.append((None, "room"))
                continue
            fake.held_bytes += size
            made = f"{piece.job.job_id}/{piece.number}/{next(self._order)}"
            handle = f"{fake.target.address}/{made}/{size}"
            fake.results[handle] = size
            if self.expires:
                self.at(self.now + fake.spec.result_ttl_s, self._expire, fake, handle)
            results.append((handle, ""))
        self.at(self.now + WIRE_S, self._answer, name, scheduler, call, results)

    def _lacks_inputs(self, job):
        """Return whether a call that has begun lacked inputs of a job."""
        return job.job_id in self._lacking

    def _answer(self, name, scheduler, call, results):
        if scheduler is self.schedulers[name]:
            actions = scheduler.complete_call(call.call_id, results, self.now)
            self._carry_out(name, actions)

    def _give_up(self, name, scheduler, call):
        if scheduler is self.schedulers[name]:
            self._carry_out(name, scheduler.fail_call(call.call_id, self.now))


def evict_all(holdings, waiting_bytes):
    """Give up all results that were read, whatever room there is.

    Takes the place of `RetainedResults.take_surplus` to show what keeping them is worth.
    """
    for job_id in list(holdings._spare):
        yield holdings.take(job_id)
