"""Tests that a pool keeps its concurrency when its responses become longer."""

from heapq import heappop, heappush

from firworks.kernel.calls import CallEnded
from firworks.kernel.messages import Tick
from firworks.tests.test_scheduling import Site, make_call, placed, rejected

SHORT_S = 0.01
LONG_S = 4.0
DEADLINE_S = 8.0
RATE_PER_S = 13
TICK_S = 0.05


class SimulatedPool(Site):
    """Executes calls in simulated time and records completions and rejections."""

    def __init__(self):
        super().__init__(targets=5, concurrency=16, reports_load=True)
        self.now = 0.0
        self.rejected = []
        self.completed_s = {}
        self._numbers = 0
        self._running = []

    def start_placed(self, results, latency_s, tokens):
        """Start the placed calls and record the rejected ones."""
        for start in placed(results):
            end = (self.now + latency_s, start.call_id, start.target, tokens)
            heappush(self._running, end)
        self.rejected += rejected(results)

    def submit(self, latency_s, tokens):
        """Request one call, which takes ``latency_s`` and returns ``tokens``."""
        self._numbers += 1
        call = make_call(self._numbers, deadline_s=self.now + DEADLINE_S)
        self.start_placed(self.send(call, self.now), latency_s, tokens)

    def advance(self, seconds, latency_s, tokens):
        """Advance the clock by ticks and complete the calls that are due."""
        until_s = self.now + seconds
        while self.now < until_s:
            self.now += TICK_S
            while self._running and self._running[0][0] <= self.now:
                self._end(latency_s, tokens)
            self.start_placed(self.send(Tick(self.now), self.now), latency_s, tokens)

    def _end(self, latency_s, tokens):
        _, call_id, target, sent = heappop(self._running)
        self.completed_s[call_id] = self.now
        took_s = LONG_S if sent > 1 else SHORT_S
        ended = CallEnded(call_id, target, "p", "ok", took_s, SHORT_S, sent)
        self.start_placed(self.send(ended, self.now), latency_s, tokens)


class TestGrowingResponses:
    def test_long_responses_after_short_ones_meet_their_deadlines(self):
        pool = SimulatedPool()
        for _ in range(300):
            pool.submit(SHORT_S, 1)
            pool.advance(1 / RATE_PER_S, SHORT_S, 1)
        due_s = {}
        for _ in range(40 * RATE_PER_S):
            pool.submit(LONG_S, 376)
            due_s[pool._numbers] = pool.now + DEADLINE_S
            pool.advance(1 / RATE_PER_S, LONG_S, 376)
        pool.advance(DEADLINE_S, LONG_S, 376)
        late = [n for n, due in due_s.items() if pool.completed_s.get(n, due + 1) > due]
        assert (len(pool.rejected), len(late)) == (0, 0)
