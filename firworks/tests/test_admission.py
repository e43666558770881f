"""Tests of queues: fairness, deadlines, deferred work and refusal."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from firworks.codes import Code
from firworks.kernel.admission import FairQueue, AdaptiveLimit, PoolQueue, QueuedCall
from firworks.kernel.calls import CallWithdrawn
from firworks.kernel.messages import Tick
from firworks.tests.test_scheduling import Site, make_call, placed, rejected


def _entry(number, account="a", due_s=8.0, weight=1.0, **fields):
    return QueuedCall(make_call(number, account, **fields), due_s, 0.0, weight)


class TestFairQueue:
    def test_a_burst_of_one_account_does_not_delay_another(self):
        queue = FairQueue()
        for number in range(50):
            queue.push(_entry(number, "large"))
        for number in range(50, 55):
            queue.push(_entry(number, "small"))
        first = Counter(queue.pop().call.account for _ in range(10))
        assert first == {"large": 5, "small": 5}

    def test_weights_set_the_shares(self):
        queue = FairQueue()
        for number in range(40):
            queue.push(_entry(number, "heavy", weight=3.0))
            queue.push(_entry(100 + number, "light"))
        first = Counter(queue.pop().call.account for _ in range(20))
        assert first == {"heavy": 15, "light": 5}

    def test_earliest_deadline_goes_first_within_an_account(self):
        queue = FairQueue()
        for number, due_s in enumerate((5.0, 1.0, 3.0)):
            queue.push(_entry(number, due_s=due_s))
        assert [queue.pop().due_s for _ in range(3)] == [1.0, 3.0, 5.0]

    def test_idle_account_gains_no_credit(self):
        queue = FairQueue()
        for number in range(30):
            queue.push(_entry(number, "busy"))
        for _ in range(20):
            queue.pop()
        for number in range(30, 40):
            queue.push(_entry(number, "late"))
        first = Counter(queue.pop().call.account for _ in range(10))
        assert first["late"] <= 6

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 9)), max_size=30))
    def test_every_entry_leaves_once(self, pairs):
        queue = FairQueue()
        for number, (account, due_s) in enumerate(pairs):
            queue.push(_entry(number, account, due_s))
        if pairs:
            queue.requeue(queue.pop())
        dropped = queue.discard(lambda entry: entry.call.call_id % 3 == 0)
        popped = [queue.pop() for _ in range(len(queue))]
        left = [entry.call.call_id for entry in dropped + popped]
        assert sorted(left) == list(range(len(pairs)))


class TestDeferred:
    def test_deferred_waits_for_spare_capacity(self):
        queue = PoolQueue(fair=True)
        queue.push(_entry(1, deferred=True))
        assert queue.select_queue(spare=False) is None
        assert queue.select_queue(spare=True) is queue.deferred

    def test_deferred_calls_are_not_starved_without_spare_capacity(self):
        queue = PoolQueue(fair=True)
        queue.push(_entry(0, deferred=True))
        for number in range(1, 30):
            queue.push(_entry(number))
            line = queue.select_queue(spare=False)
            line.pop()
            queue.record_placed(line)
        assert not queue.deferred


class TestRefusal:
    def test_call_that_would_miss_its_deadline_is_rejected_with_retry_after(self):
        site = _busy_site()
        for number in range(20, 26):
            site.send(make_call(number, deadline_s=60.0), 20.0)
        refusal = rejected(site.send(make_call(30, deadline_s=23.0), 20.0))[0]
        assert refusal.code == Code.OVERLOADED
        assert refusal.retry_after_s >= 1.0

    def test_queued_call_is_rejected_once_its_deadline_cannot_be_met(self):
        site = _busy_site()
        assert site.send(make_call(30, deadline_s=23.0), 20.0) == []
        assert not rejected(site.send(Tick(0.0), 21.0))
        assert rejected(site.send(Tick(0.0), 22.5))[0].call_id == 30

    def test_admission_recovers_after_a_slow_period(self):
        site = Site(targets=1)
        for number in range(20):
            now = 10.0 * number
            choice = placed(site.send(make_call(number, deadline_s=now + 60), now))[0]
            site.end(choice, now + 9.0, latency_s=9.0)
        for number in range(20, 60):
            now = 10.0 * number
            choice = placed(site.send(make_call(number, deadline_s=now + 2), now))[0]
            site.end(choice, now + 0.1, latency_s=0.1)

    def test_withdrawn_call_is_not_placed(self):
        site = _busy_site()
        site.send(make_call(30, deadline_s=60.0), 20.0)
        site.send(CallWithdrawn(30), 20.1)
        assert placed(site.end(site.running, 21.0, latency_s=1.0)) == []


def _busy_site():
    """Return a site whose only place is taken and whose calls last one second."""
    site = Site(targets=1, concurrency=1)
    for number in range(10):
        choice = placed(site.send(make_call(number, deadline_s=60.0), number))[0]
        site.end(choice, number + 1.0, latency_s=1.0)
    site.running = placed(site.send(make_call(11, deadline_s=60.0), 20.0))[0]
    return site


class TestAdaptiveLimit:
    def test_slow_responses_lower_and_fast_ones_raise_the_limit(self):
        limit = AdaptiveLimit(8)
        limit.observe(5.0, 8, 1.0, 1.0)
        limit.observe(5.0, 8, 1.0, 1.5)
        lowered = limit.value
        assert lowered == 8 * AdaptiveLimit.BACKOFF
        for step in range(200):
            limit.observe(1.0, limit.value, 0.1, 2.0 + step)
        assert limit.value == 8

    def test_fast_responses_of_an_idle_target_do_not_raise_the_limit(self):
        limit = AdaptiveLimit(8)
        limit.observe(5.0, 8, 1.0, 1.0)
        limit.observe(1.0, 0, 0.1, 3.0)
        assert limit.value == 8 * AdaptiveLimit.BACKOFF
