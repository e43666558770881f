"""Tests that answers which grow longer do not cost a pool its concurrency."""

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
    """Runs calls on a virtual clock and remembers how each ended."""

    def __init__(self):
        super().__init__(targets=5, concurrency=16, reports_load=True)
        self.now = 0.0
        self.rejected = []
        self.delivered_s = {}
        self._numbers = 0
        self._running = []

    def take(self, results, latency_s, tokens):
        """Start what was placed and remember what was rejected."""
        for start in placed(results):
            end = (self.now + latency_s, start.call_id, start.target, tokens)
            heappush(self._running, end)
        self.rejected += rejected(results)

    def request(self, latency_s, tokens):
        """Ask for one call."""
        self._numbers += 1
        call = make_call(self._numbers, deadline_s=self.now + DEADLINE_S)
        self.take(self.send(call, self.now), latency_s, tokens)

    def advance(self, seconds, latency_s, tokens):
        """Let time pass; calls end when their time is over."""
        until_s = self.now + seconds
        while self.now < until_s:
            self.now += TICK_S
            while self._running and self._running[0][0] <= self.now:
                self._end(latency_s, tokens)
            self.take(self.send(Tick(self.now), self.now), latency_s, tokens)

    def _end(self, latency_s, tokens):
        _, call_id, target, sent = heappop(self._running)
        self.delivered_s[call_id] = self.now
        took_s = LONG_S if sent > 1 else SHORT_S
        ended = CallEnded(call_id, target, "p", "ok", took_s, SHORT_S, sent)
        self.take(self.send(ended, self.now), latency_s, tokens)


class TestGrowingResponses:
    def test_long_responses_after_short_ones_meet_their_deadlines(self):
        site = SimulatedPool()
        for _ in range(300):
            site.request(SHORT_S, 1)
            site.advance(1 / RATE_PER_S, SHORT_S, 1)
        due_s = {}
        for _ in range(40 * RATE_PER_S):
            site.request(LONG_S, 376)
            due_s[site._numbers] = site.now + DEADLINE_S
            site.advance(1 / RATE_PER_S, LONG_S, 376)
        site.advance(DEADLINE_S, LONG_S, 376)
        late = [n for n, due in due_s.items() if site.delivered_s.get(n, due + 1) > due]
        assert (len(site.rejected), len(late)) == (0, 0)
