"""Fake targets on a virtual clock: batching, prefix cache, late reports, faults."""

from collections import OrderedDict
from heapq import heappop, heappush

from firworks.kernel.calls import TargetReported

PREFILL_BLOCK_S = 0.06
TOKENS_PER_WORK_S = 50


class Clock:
    """A virtual clock that runs callbacks in order of time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._order = 0

    def after(self, delay_s, function, *args):
        """Run a function later; return a timer whose `cancelled` may be set."""
        timer = Timer(function, args)
        self._order += 1
        heappush(self._heap, (self.now + max(0.0, delay_s), self._order, timer))
        return timer

    def run(self, until_s):
        """Run everything due until `until_s`."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, timer = heappop(self._heap)
            if not timer.cancelled:
                timer.function(*timer.args)


class Timer:
    """A pending callback."""

    __slots__ = ("function", "args", "cancelled")

    def __init__(self, function, args):
        self.function = function
        self.args = args
        self.cancelled = False


class Job:
    """One attempt at a target.

    Attributes:
        stage (str): Its stage.
        prefix (tuple of bytes): Prompt block hashes.
        work_s (float): Seconds of work beside prefill, alone on a sound target.
        poison (bool): Crashes the target.
        listener (object): Has ``job_first_token``, ``job_done``, ``job_failed``.
        priority (int): Lower goes first.
        done_s (float): Work done, in seconds of a sound target.
    """

    __slots__ = (
        "stage",
        "prefix",
        "work_s",
        "poison",
        "listener",
        "priority",
        "start_v",
        "first_v",
        "end_v",
        "done_s",
        "state",
        "tokens",
    )

    def __init__(self, stage, prefix, work_s, poison, listener, priority):
        self.stage = stage
        self.prefix = prefix
        self.work_s = work_s
        self.poison = poison
        self.listener = listener
        self.priority = priority
        self.start_v = self.first_v = self.end_v = 0.0
        self.done_s = 0.0
        self.state = "queued"
        self.tokens = 0


class PrefixCache:
    """An LRU cache of prompt blocks with the events that it publishes."""

    def __init__(self, size):
        self.size = size
        self._blocks = OrderedDict()
        self.cached = []
        self.evicted = []
        self.sequence = 0

    def count_missing(self, prefix):
        """Return the uncached blocks of a prompt and cache them."""
        hits = 0
        for block in prefix:
            if block not in self._blocks:
                break
            hits += 1
        for block in prefix:
            if block not in self._blocks:
                self.cached.append(block)
            self._blocks[block] = True
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.size:
            self.evicted.append(self._blocks.popitem(last=False)[0])
        return len(prefix) - hits

    def take_events(self):
        """Return the events since the last call."""
        events = tuple(self.cached), tuple(self.evicted)
        self.cached, self.evicted = [], []
        self.sequence += 1
        return events

    def clear(self):
        """Forget everything, as a restart does."""
        self._blocks.clear()


class FakeTarget:
    """A target that shares its speed among the requests that it runs.

    Args:
        clock (Clock): The virtual clock.
        name (str): The target's name.
        domain (str): Its failure domain.
        slots (int): Requests run at once; others queue.
        contention (float): How much each further request slows all of them.
        cache_blocks (int): Size of the prefix cache; 0 for services.
        stops_on_cancel (bool): Cancelling a running request ends its work.
    """

    def __init__(
        self, clock, name, domain, slots, contention, cache_blocks, stops_on_cancel
    ):
        self.clock = clock
        self.name = name
        self.domain = domain
        self.slots = slots
        self.contention = contention
        self.cache = PrefixCache(cache_blocks)
        self.stops_on_cancel = stops_on_cancel
        self.slowdown = 1.0
        self.dead = False
        self.down_until_s = 0.0
        self.running = []
        self.queue = []
        self.work = {}
        self._virtual = 0.0
        self._updated_s = 0.0
        self._order = 0
        self._timer = None

    def submit(self, job):
        """Take a job; a dead target never says anything about it."""
        if self.dead:
            return
        if self.clock.now < self.down_until_s:
            self.clock.after(0.0, job.listener.job_failed, job, "failed")
            return
        self._order += 1
        heappush(self.queue, (job.priority, self._order, job))
        self._advance()
        self._fill()

    def cancel(self, job):
        """Cancel a job; services finish what they began."""
        job.listener = None
        if job.state == "queued":
            job.state = "cancelled"
        elif job.state == "running" and self.stops_on_cancel and not self.dead:
            self._advance()
            self._leave(job, "cancelled")
            self._fill()

    def set_slowdown(self, factor):
        """Make the target slower by a factor; 1 is sound."""
        self._advance()
        self.slowdown = factor
        self._schedule()

    def die(self):
        """Fall silent for good."""
        self._advance()
        self.dead = True
        if self._timer:
            self._timer.cancelled = True

    def crash(self, down_s):
        """Fail all jobs and restart."""
        self._advance()
        jobs = self.running + [item[2] for item in self.queue if item[2].listener]
        for job in list(self.running):
            self._leave(job, "crashed")
        self.queue.clear()
        self.cache.clear()
        self.down_until_s = self.clock.now + down_s
        for job in jobs:
            if job.listener:
                job.listener.job_failed(job, "crashed")

    def count_tokens(self, job):
        """Return the tokens that a running job has made since the last count."""
        self._advance()
        made = int((self._virtual - job.start_v) * TOKENS_PER_WORK_S)
        tokens = max(made - job.tokens, 0)
        job.tokens += tokens
        return tokens

    def make_report(self):
        """Return a `TargetReported` of this instant, or None when down."""
        if self.dead or self.clock.now < self.down_until_s:
            return None
        queued = sum(item[2].state == "queued" for item in self.queue)
        cached, evicted = self.cache.take_events()
        return TargetReported(
            self.name,
            self.clock.now,
            len(self.running),
            queued,
            self.slots,
            cached,
            evicted,
            self.cache.sequence,
        )

    def _speed(self):
        crowd = max(0, len(self.running) - 1)
        return 1.0 / (1.0 + self.contention * crowd) / self.slowdown

    def _advance(self):
        elapsed = self.clock.now - self._updated_s
        self._updated_s = self.clock.now
        if not self.dead:
            self._virtual += elapsed * self._speed()

    def _fill(self):
        while self.queue and len(self.running) < self.slots:
            job = heappop(self.queue)[2]
            if job.state != "queued":
                continue
            job.state = "running"
            if job.poison:
                self.running.append(job)
                self.clock.after(0.05, self._poisoned, job)
                job.start_v, job.first_v = self._virtual, float("inf")
                job.end_v = float("inf")
                continue
            missing = self.cache.count_missing(job.prefix) if job.prefix else 0
            job.start_v = self._virtual
            job.first_v = self._virtual + missing * PREFILL_BLOCK_S
            job.end_v = job.first_v + job.work_s
            self.running.append(job)
        self._schedule()

    def _poisoned(self, job):
        if job.state == "running" and not self.dead:
            self.crash(3.0)

    def _schedule(self):
        if self._timer:
            self._timer.cancelled = True
            self._timer = None
        if self.dead or not self.running:
            return
        due = min(min(job.first_v, job.end_v) for job in self.running)
        if due < float("inf"):
            delay = (due - self._virtual) / self._speed()
            self._timer = self.clock.after(delay, self._step)

    def _step(self):
        self._timer = None
        self._advance()
        reached = self._virtual + 1e-9
        for job in list(self.running):
            if job.first_v <= reached:
                job.first_v = float("inf")
                if job.listener:
                    job.listener.job_first_token(job)
            if job.end_v <= reached and job.state == "running":
                self._leave(job, "done")
                if job.listener:
                    job.listener.job_done(job)
        self._fill()

    def _leave(self, job, state):
        job.state = state
        self.running.remove(job)
        done = min(self._virtual, job.end_v) - job.start_v
        job.done_s = done * self.slowdown
        self.work[job.stage] = self.work.get(job.stage, 0.0) + job.done_s
