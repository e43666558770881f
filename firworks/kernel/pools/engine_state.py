"""What the scheduler of a pool knows of one engine."""

from collections import OrderedDict, deque

# Parts that an engine is taken to have cached, at most. Usual ones have a thousand
# tokens each, so that the memory of an engine for tokens is the limit.
MAX_CACHED_PARTS = 4_096
# Sliding window over which requests to a cold engine are counted.
COLD_WINDOW_S = 1.0


class EngineState:
    """State of one engine.

    Attributes:
        target (Target): The engine.
        jobs (dict of str to EngineJob): Requests placed on it, by job.
        pending_prefill (dict of str to int): Tokens to be read before the first event
            of each of them, until it has begun.
        parts (OrderedDict of str to int): Tokens of the prompt parts that it is
            expected to have cached, the least recently used first.
        paused_until_s (float): It gets no requests before this time; monotonic seconds.
        failures (int): Failures in a row.
        cold_until_s (float): When it stops being cold; monotonic seconds.
        cold_placements_s (deque of float): Times of the placements within the window,
            while it is cold.
    """

    __slots__ = (
        "target",
        "jobs",
        "pending_prefill",
        "parts",
        "paused_until_s",
        "failures",
        "cold_until_s",
        "cold_placements_s",
    )

    def __init__(self, target):
        self.target = target
        self.jobs = {}
        self.pending_prefill = {}
        self.parts = OrderedDict()
        self.paused_until_s = 0.0
        self.failures = 0
        self.cold_until_s = 0.0
        self.cold_placements_s = deque()

    def accepts_from_s(self, cold_per_s, now):
        """Return from when the engine accepts another request.

        Args:
            cold_per_s (float): Requests per second that a cold engine accepts; 0 for no
                limit.
            now (float): Monotonic seconds.
        """
        if self.cold_until_s <= now or not cold_per_s:
            self.cold_placements_s.clear()
            return now
        while (
            self.cold_placements_s and self.cold_placements_s[0] + COLD_WINDOW_S <= now
        ):
            self.cold_placements_s.popleft()
        if len(self.cold_placements_s) < cold_per_s:
            return now
        return min(self.cold_until_s, self.cold_placements_s[0] + COLD_WINDOW_S)

    @property
    def pending_prefill_tokens(self):
        """Tokens that it has still to read for its requests (int)."""
        return sum(self.pending_prefill.values())

    @property
    def held_bytes(self):
        """Bytes of the stage results of its requests (int)."""
        return sum(sum(job.input_bytes) for job in self.jobs.values())

    @property
    def used_tokens(self):
        """Tokens of its requests, as read and to be generated (int)."""
        return sum(job.tokens_in + job.tokens_out for job in self.jobs.values())

    def add(self, job, pending_prefill, capacity):
        """Add a request and cache its prompt parts, evicting the oldest (LRU).

        Returns:
            list of str: The evicted parts.
        """
        self.jobs[job.job_id] = job
        self.pending_prefill[job.job_id] = pending_prefill
        for part_id, tokens in zip(job.part_ids, job.part_tokens, strict=True):
            self.parts[part_id] = tokens
            self.parts.move_to_end(part_id)
        cached = sum(self.parts.values())
        evicted = []
        while self.parts and (cached > capacity or len(self.parts) > MAX_CACHED_PARTS):
            part_id, tokens = self.parts.popitem(last=False)
            cached -= tokens
            evicted.append(part_id)
        return evicted

    def count_cached(self, job):
        """Return the number of cached tokens in the prompt's prefix."""
        cached = 0
        for part_id, tokens in zip(job.part_ids, job.part_tokens, strict=True):
            if part_id not in self.parts:
                break
            cached += tokens
        return min(cached, job.tokens_in)
