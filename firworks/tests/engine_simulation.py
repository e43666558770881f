"""A discrete-event simulation of engines with the real `EngineScheduler`.

Time is virtual and random numbers are seeded. Each engine reads one prompt at a time
and keeps its parts in a cache (LRU); its steps are slowed by the requests that it runs.
The load is modelled on a deployment with 70 engines and 3 failure domains.
"""

import heapq
from itertools import count
from random import Random
from statistics import quantiles

from firworks.kernel.forwarding.configuration import EngineSpec
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools.engines import EngineScheduler, NotPlaced
from firworks.kernel.pools.home_domains import choose_home_domain
from firworks.kernel.pools.jobs import EngineJob, sum_remote_bytes
from firworks.kernel.pools.prompt_parts import list_shared_parts

NETWORK_DELAY_S = 0.003
READ_TOKENS_PER_S = 31_000
STEP_S = 0.0062
# Factor on the steps of an engine whose slots are all taken.
FULL_STEP_FACTOR = 2.0
REMOTE_BYTES_PER_S = 250_000_000
SPEC = EngineSpec(16, 282_344, 0)
# A shared part that any engine used within this time counts as read again.
REUSE_S = 10.0


class PromptKind:
    """A kind of request.

    Args:
        name (str): Name in reports.
        per_s (float): Mean arrivals per second.
        values (tuple of int): Number of values of each shared part.
        tokens (tuple of int): Tokens of each part, the request's own last.
        tokens_out (int): Tokens generated.
        result_bytes (int): Stage results that the engine fetches.
        hot_share (float): Share of requests whose last shared part is the first value.
        first_event_s (float): Time within which the first event is to come.
    """

    def __init__(
        self,
        name,
        per_s,
        values,
        tokens,
        tokens_out,
        result_bytes=0,
        hot_share=0.0,
        first_event_s=0.5,
    ):
        self.name = name
        self.per_s = per_s
        self.values = values
        self.tokens = tokens
        self.tokens_out = tokens_out
        self.result_bytes = result_bytes
        self.hot_share = hot_share
        self.first_event_s = first_event_s

    def draw_parts(self, rng, number):
        """Return the part ids (tuple of str) of a prompt.

        A value of the last shared part always follows the same value of the first.
        """
        subject = rng.randrange(self.values[-1])
        if rng.random() < self.hot_share:
            subject = 0
        shared = [
            f"{self.name}-{depth}-{subject % values}"
            for depth, values in enumerate(self.values)
        ]
        return (*shared, f"{self.name}-own-{number}")


def make_kinds(hot_share=0.0):
    """Return the kinds of request of the deployment with 70 engines."""
    return [
        PromptKind(
            "manifest", 9.0, (4, 1220), (2520, 3780, 2890), 90, 3_750_000, hot_share
        ),
        PromptKind("summary", 10.0, (16, 400), (640, 960, 770), 120, 0, hot_share, 0.3),
        PromptKind("chat", 12.0, (16, 900), (200, 300, 215), 150, 0, hot_share, 0.3),
    ]


class FakeEngine:
    """An engine that reads one prompt at a time.

    Args:
        target (Target): Its entry.
        slowness (float): Factor of its times over the usual ones.

    Attributes:
        stalled (bool): It reads nothing.
    """

    def __init__(self, target, slowness):
        self.target = target
        self.slowness = slowness
        self.stalled = False
        self.running = 0
        self.placed = 0
        self.free_s = 0.0
        self.cached = {}

    def read(self, job, now):
        """Return when the first token of a prompt is made, and the tokens read."""
        known = 0
        for part_id, tokens in zip(job.part_ids, job.part_tokens, strict=True):
            if part_id not in self.cached:
                break
            known += tokens
        tokens = job.tokens_in - known
        seconds = self.slowness * (tokens / READ_TOKENS_PER_S + STEP_S)
        self.free_s = max(now, self.free_s) + seconds
        for part_id, tokens_of_part in zip(job.part_ids, job.part_tokens, strict=True):
            self.cached.pop(part_id, None)
            self.cached[part_id] = tokens_of_part
        while sum(self.cached.values()) > SPEC.memory_tokens:
            del self.cached[next(iter(self.cached))]
        return self.free_s, tokens

    def generate_s(self, tokens):
        """Return the time of some steps."""
        factor = 1.0 + (FULL_STEP_FACTOR - 1.0) * self.running / SPEC.slots
        return self.slowness * tokens * STEP_S * factor


class _Sent:
    __slots__ = ("kind", "job", "submitted_s", "first_s", "refused")

    def __init__(self, kind, job, submitted_s):
        self.kind = kind
        self.job = job
        self.submitted_s = submitted_s
        self.first_s = None
        self.refused = False


class EngineSimulation:
    """Sends the requests of some kinds to engines.

    Args:
        placement (str): As of `EngineScheduler`.
        kinds (iterable of PromptKind): The load.
        slowness (dict of str to float): Factor of each failure domain.
        engine_count (int): Number of engines.
        at_home (bool): Stage results are made in the home domain of the last shared
            part, not in any.
        waste_weight (float): As of `EngineScheduler`.
        seed (int): Seed of all random numbers.

    Attributes:
        sent (list of _Sent): All requests, in order of arrival.
        remote_bytes (int): Bytes fetched from other failure domains.
        read_tokens (int): Tokens that engines have read.
        reread_tokens (int): Tokens of these of shared parts that some engine had used
            within ``REUSE_S``.
    """

    def __init__(
        self,
        placement,
        kinds,
        slowness,
        engine_count=70,
        at_home=False,
        waste_weight=1.0,
        seed=1,
    ):
        self.now = 0.0
        self.sent = []
        self.remote_bytes = 0
        self.read_tokens = 0
        self.reread_tokens = 0
        self.placement = placement
        self._waste_weight = waste_weight
        self._kinds = kinds
        self._at_home = at_home
        self._rng = Random(seed)
        self._events = []
        self._order = count()
        self._used_s = {}
        self._by_job = {}
        self.domains = sorted(slowness)
        self.engines = {}
        for number in range(engine_count):
            domain = self.domains[number % len(self.domains)]
            name = f"engine-{number}"
            target = Target(
                name, "engine", f"{name}:1", domain, "", 16, False, number + 1, 0.0
            )
            self.engines[name] = FakeEngine(target, slowness[domain])
        self.replace_scheduler()

    def replace_scheduler(self):
        """Replace the scheduler by one that knows nothing of engines and caches."""
        self.scheduler = EngineScheduler(
            SPEC, placement=self.placement, waste_weight=self._waste_weight
        )
        targets = [engine.target for engine in self.engines.values()]
        self._execute(self.scheduler.set_targets(targets, self.now))

    def at(self, time_s, function, *arguments):
        """Call a function at a virtual time."""
        heapq.heappush(self._events, (time_s, next(self._order), function, arguments))

    def run(self, length_s):
        """Simulate arrivals for some seconds, in groups of three, and their answers."""
        for kind in self._kinds:
            time_s = self._rng.expovariate(kind.per_s / 3)
            while time_s < length_s:
                for _ in range(3):
                    self.at(time_s + self._rng.uniform(0, 0.05), self._arrive, kind)
                time_s += self._rng.expovariate(kind.per_s / 3)
        while self._events:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def list_first_s(self, kind=None, from_s=0.0):
        """Return the times from submission to the first event (list of float)."""
        return [
            float("inf") if one.first_s is None else one.first_s - one.submitted_s
            for one in self.sent
            if kind in (None, one.kind.name) and one.submitted_s >= from_s
        ]

    def measure_quantile(self, share, kind=None, from_s=0.0):
        """Return a quantile of these times, e.g. 0.9."""
        times = sorted(self.list_first_s(kind, from_s))
        return quantiles(times, n=100)[round(100 * share) - 1]

    def measure_late(self, kind=None, from_s=0.0):
        """Return the share of requests whose first event came too late."""
        late = [
            one.first_s is None
            or one.first_s - one.submitted_s > one.kind.first_event_s
            for one in self.sent
            if kind in (None, one.kind.name) and one.submitted_s >= from_s
        ]
        return sum(late) / len(late)

    def count_by_domain(self):
        """Return the number of placements (dict of str to int) by failure domain."""
        counts = dict.fromkeys(self.domains, 0)
        for engine in self.engines.values():
            counts[engine.target.failure_domain] += engine.placed
        return counts

    def _arrive(self, kind):
        number = len(self.sent)
        parts = kind.draw_parts(self._rng, number)
        domains, sizes = (), ()
        if kind.result_bytes:
            domain = self._rng.choice(self.domains)
            if self._at_home:
                domain = choose_home_domain(parts[-2], self.domains)
            domains, sizes = (domain,), (kind.result_bytes,)
        job = EngineJob(
            f"j{number}",
            parts,
            kind.tokens,
            sum(kind.tokens),
            kind.tokens_out,
            1,
            self.now + 5.0,
            self.now + 30.0,
            (),
            domains,
            sizes,
        )
        sent = _Sent(kind, job, self.now)
        self.sent.append(sent)
        self._by_job[job.job_id] = sent
        self._execute(self.scheduler.submit(job, self.now))

    def _execute(self, actions):
        for action in actions:
            if isinstance(action, NotPlaced):
                self._by_job[action.job.job_id].refused = True
                continue
            engine = self.engines[action.target.target_id]
            engine.placed += 1
            remote = sum_remote_bytes(action.job, engine.target.failure_domain)
            self.remote_bytes += remote
            delay_s = NETWORK_DELAY_S + remote / REMOTE_BYTES_PER_S
            self.at(self.now + delay_s, self._read, engine, action.job)

    def _read(self, engine, job):
        if engine.stalled:
            self.at(self.now + 3.0, self._end, engine, job, True)
            return
        self._count_reread(engine, job)
        engine.running += 1
        first_s, tokens = engine.read(job, self.now)
        self.read_tokens += tokens
        self.at(first_s, self._begin, engine, job)

    def _count_reread(self, engine, job):
        known = True
        for part_id, tokens in zip(
            list_shared_parts(job.part_ids), job.part_tokens, strict=False
        ):
            known = known and part_id in engine.cached
            used_s = self._used_s.get(part_id, float("-inf"))
            if not known and self.now - used_s < REUSE_S:
                self.reread_tokens += tokens
            self._used_s[part_id] = self.now

    def _begin(self, engine, job):
        now = self.now + NETWORK_DELAY_S
        self._by_job[job.job_id].first_s = now
        self.at(now, self._note_begun, self.scheduler, job)
        end_s = self.now + engine.generate_s(job.tokens_out)
        self.at(end_s, self._end, engine, job, False)

    def _note_begun(self, scheduler, job):
        scheduler.note_begun(job.job_id, self.now)

    def _end(self, engine, job, failed):
        if not failed:
            engine.running -= 1
        self._execute(self.scheduler.end(job.job_id, failed, self.now))
