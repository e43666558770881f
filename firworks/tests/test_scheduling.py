"""Tests of the scheduler's placing and refusing of calls."""

from random import Random

from firworks.codes import Code
from firworks.document import Document, Pipeline, Pool
from firworks.kernel.calls import (
    CallEnded,
    CallIdentity,
    CallPlaced,
    CallRejected,
    CallRequested,
    TargetLeaving,
)
from firworks.kernel.fleet.events import ConfigurationAccepted
from firworks.kernel.ledger.claims import MAX_DEADLINE_S
from firworks.kernel.messages import Tick
from firworks.kernel.node import Kernel
from firworks.kernel.scheduling.scheduler import Scheduler


def make_call(call_id, account="a", pool="p", deadline_s=8.0, attempt=1, **fields):
    """Return a call request with plain defaults."""
    return CallRequested(
        call_id=call_id,
        identity=CallIdentity("i", f"r{call_id}", 0, attempt),
        account=account,
        pipeline="ask",
        stage="s",
        pool=pool,
        deadline_s=deadline_s,
        budget_s=deadline_s,
        **{"repeatable": True, **fields},
    )


class Site:
    """Drives one scheduler over one pool by hand."""

    def __init__(self, targets=3, seed=1, weight=0.5, **pool):
        names = tuple(f"t{i}" for i in range(targets))
        self.pool = Pool("p", "service", names, **pool)
        self.scheduler = Scheduler(Random(seed), "d1")
        pipeline = Pipeline("ask", 8000, attainment_weight=weight, stages=())
        document = Document("x", {"ask": pipeline}, {"p": self.pool}, {})
        self.send(ConfigurationAccepted(1, "x", document), 0.0)

    def send(self, event, now):
        """Return the scheduler's answers to one event."""
        return self.scheduler.handle(event, now)

    def end(self, placed, now, latency_s=0.1, result="ok"):
        """End a placed call."""
        ended = CallEnded(placed.call_id, placed.target, "p", result, latency_s)
        return self.send(ended, now)


def placed(results):
    """Return the placements among the scheduler's answers."""
    return [result for result in results if isinstance(result, CallPlaced)]


def rejected(results):
    """Return the refusals among the scheduler's answers."""
    return [result for result in results if isinstance(result, CallRejected)]


class TestScheduler:
    def test_calls_spread_over_idle_targets(self):
        site = Site()
        chosen = [placed(site.send(make_call(i), 0.0))[0].target for i in range(3)]
        assert sorted(chosen) == ["t0", "t1", "t2"]

    def test_call_beyond_concurrency_is_queued_until_another_ends(self):
        site = Site(targets=1, concurrency=1)
        first = placed(site.send(make_call(1), 0.0))[0]
        assert site.send(make_call(2), 0.0) == []
        assert placed(site.end(first, 0.1))[0].call_id == 2

    def test_leaving_target_gets_no_new_work(self):
        site = Site(targets=2)
        site.send(TargetLeaving("t0"), 0.0)
        for i in range(8):
            assert placed(site.send(make_call(i), 0.1))[0].target == "t1"

    def test_call_to_an_unknown_pool_is_rejected(self):
        results = Site().send(make_call(1, pool="none"), 0.0)
        assert rejected(results)[0].code == Code.NO_TARGET

    def test_removed_pool_serves_requests_that_started_before(self):
        site = Site(targets=1, concurrency=1)
        first = placed(site.send(make_call(1), 0.0))[0]
        assert site.send(make_call(2, deadline_s=1e9), 0.0) == []
        document = Document("y", {}, {}, {})
        assert site.send(ConfigurationAccepted(2, "y", document), 0.1) == []
        assert placed(site.end(first, 0.2))[0].call_id == 2
        site.send(make_call(3, deadline_s=1e9), 0.3)
        results = site.send(Tick(0.0), 0.1 + MAX_DEADLINE_S)
        assert [r.call_id for r in rejected(results)] == [3]
        assert rejected(site.send(make_call(4), 700.0))[0].code == Code.NO_TARGET

    def test_queued_call_is_rejected_when_its_deadline_passes(self):
        site = Site(targets=1, concurrency=1)
        site.send(make_call(1), 0.0)
        site.send(make_call(2, deadline_s=1.0), 0.0)
        assert rejected(site.send(Tick(0.0), 1.0))[0].call_id == 2

    def test_scheduler_composes_with_the_kernel(self):
        kernel = Kernel([Site().scheduler])
        assert kernel.handle(make_call(1), 0.0) == []
