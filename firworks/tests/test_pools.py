"""Tests of the pool schedulers without I/O, and simulations of load patterns."""

import pytest

from firworks.kernel.forwarding.configuration import (
    EngineSpec,
    StagePoolSpec,
    StageSpec,
)
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools import critical_path, fetches, stages
from firworks.kernel.pools.clients import (
    ACK_TIMEOUT_S,
    MIN_RECONNECT_INTERVAL_S,
    PING_TIMEOUT_S,
    Deliver,
    MemberSuspected,
    PoolClient,
    Reconnect,
    SendTo,
)
from firworks.kernel.pools.critical_path import (
    EXPECTED_WAIT_CALLS,
    compute_downstream_s,
    find_gate,
)
from firworks.kernel.pools.engines import EngineScheduler, NotPlaced, Placed
from firworks.kernel.pools.fetches import FETCH_S
from firworks.kernel.pools.jobs import EngineJob, PieceJob
from firworks.kernel.pools.messages import (
    DropJob,
    JobTaken,
    JobUnknown,
    MemberEntry,
    PiecesMade,
    Ping,
    Pong,
    RequestEnded,
    RequestPlaced,
    RequestRunning,
    ResultsHeld,
    SubmitPieces,
    SubmitRequest,
    SyncJobs,
)
from firworks.kernel.pools.ordering import rank_job
from firworks.kernel.pools.owners import OWNER_GRACE_S, JobOwners
from firworks.kernel.pools.results import FreeResults, InputsRead, JobDone, JobRefused
from firworks.kernel.pools.retained_results import RetainedResults
from firworks.kernel.pools.roster import Roster
from firworks.kernel.pools.stages import MAX_ATTEMPTS, StageScheduler
from firworks.kernel.pools.workers import UNKNOWN_EXPIRY_SHARE, StageCall
from firworks.tests.pool_simulation import Burst, PoolSimulation, evict_all
from firworks.tests.pool_workloads import make_rimac, make_zwolle

SPEC = StagePoolSpec(1, 2, 8, 0.2, 0.02, 16_000_000, 4.0)
SEEDS = (1, 2, 3)


def make_targets(count, service="repair"):
    """Return targets in distinct failure domains."""
    return [
        Target(
            f"{service}-{i}", service, f"10.0.0.{i}:80", f"fd-{i}", "", 1, False, 0, 0.0
        )
        for i in range(count)
    ]


def make_job(name, count=2, soft_deadline_s=2.0, deadline_s=6.0, **changes):
    """Return a `PieceJob`."""
    job = PieceJob(
        name,
        name,
        0,
        count,
        "k",
        (),
        1000,
        1,
        soft_deadline_s,
        deadline_s,
        0.1,
        (),
        (),
        b"",
        "",
    )
    return job.replace(**changes) if changes else job


def make_scheduler(targets=1, spec=SPEC):
    """Return a `StageScheduler` with targets."""
    scheduler = StageScheduler(spec)
    scheduler.set_targets(make_targets(targets), 0.0)
    return scheduler


def make_results(call):
    """Return successful results for all pieces of a call."""
    return [(f"h/{piece.job.job_id}/{piece.number}", "") for piece in call.pieces]


def pick_submissions(actions):
    """Return the `SendTo` actions that submit jobs."""
    return [
        a for a in pick_actions(actions, SendTo) if isinstance(a.record, SubmitPieces)
    ]


def pick_actions(actions, cls):
    """Return the actions of a class."""
    return [action for action in actions if isinstance(action, cls)]


class TestStageCalls:
    def test_queued_jobs_share_the_next_call(self):
        scheduler = make_scheduler()
        (first,) = scheduler.submit(make_job("a"), 0.0)
        for name in "bcd":
            assert scheduler.submit(make_job(name), 0.05) == []
        actions = scheduler.complete_call(first.call_id, make_results(first), 0.3)
        (call,) = pick_actions(actions, StageCall)
        assert [piece.job.job_id for piece in call.pieces] == list("bbccdd")
        (done,) = pick_actions(actions, JobDone)
        assert done.handles == ("h/a/0", "h/a/1")

    def test_a_job_is_not_split_among_calls(self):
        scheduler = make_scheduler()
        (first,) = scheduler.submit(make_job("a"), 0.0)
        for name, count in (("b", 6), ("c", 5), ("d", 2)):
            scheduler.submit(make_job(name, count), 0.05)
        actions = scheduler.complete_call(first.call_id, make_results(first), 0.3)
        (call,) = pick_actions(actions, StageCall)
        assert {piece.job.job_id for piece in call.pieces} == {"b", "d"}

    def test_a_job_larger_than_a_batch_is_split(self):
        scheduler = make_scheduler()
        (call,) = scheduler.submit(make_job("a", 20), 0.0)
        sizes, handles = [], ()
        while call is not None:
            sizes.append(len(call.pieces))
            now = call.due_s
            actions = scheduler.complete_call(call.call_id, make_results(call), now)
            call = next(iter(pick_actions(actions, StageCall)), None)
            handles = next(iter(pick_actions(actions, JobDone)), None)
        assert sizes == [8, 8, 4]
        assert handles.handles == tuple(f"h/a/{i}" for i in range(20))

    def test_calls_with_partial_batches_are_spaced(self):
        scheduler = make_scheduler(3)
        assert pick_actions(scheduler.submit(make_job("a"), 0.0), StageCall)
        assert scheduler.submit(make_job("b"), 0.01) == []
        due_s = scheduler.next_due_s(0.01)
        assert 0.05 < due_s < 0.1
        assert pick_actions(scheduler.plan(due_s), StageCall)

    def test_results_occupy_memory_until_their_target_has_freed_them(self):
        spec = SPEC.replace(memory_bytes=4_000)
        scheduler = make_scheduler(spec=spec)
        (call,) = scheduler.submit(make_job("a", 3), 0.0)
        assert scheduler.submit(make_job("b", 3), 0.0) == []
        scheduler.complete_call(call.call_id, make_results(call), 0.3)
        (freed,) = scheduler.release("a", 0.4)
        assert isinstance(freed, FreeResults)
        (call,) = scheduler.note_freed(freed, 0.5)
        assert {piece.job.job_id for piece in call.pieces} == {"b"}

    def test_inputs_are_reported_read_once_their_call_has_fetched_them(self):
        scheduler = make_scheduler()
        (first,) = scheduler.submit(make_job("a", 8, inputs=("i1",)), 0.0)
        assert scheduler.next_due_s(0.0) == pytest.approx(FETCH_S)
        assert pick_actions(scheduler.plan(FETCH_S), InputsRead)[0].job.job_id == "a"
        assert not pick_actions(scheduler.plan(2 * FETCH_S), InputsRead)
        scheduler.submit(make_job("b", 2, inputs=("i2",)), 0.1)
        (second,) = pick_actions(scheduler.plan(first.due_s), StageCall)
        now = first.due_s + 0.1
        assert not pick_actions(scheduler.plan(now), InputsRead)
        scheduler.complete_call(first.call_id, make_results(first), now)
        assert not pick_actions(scheduler.plan(now), InputsRead)
        read = pick_actions(scheduler.plan(now + FETCH_S), InputsRead)
        assert [action.job.job_id for action in read] == ["b"]

    def test_inputs_of_a_split_job_are_retained_until_its_last_call(self):
        scheduler = make_scheduler()
        (call,) = scheduler.submit(make_job("a", 10, inputs=("i",)), 0.0)
        assert not pick_actions(scheduler.plan(FETCH_S), InputsRead)
        now = call.due_s
        actions = scheduler.complete_call(call.call_id, make_results(call), now)
        assert len(pick_actions(actions, StageCall)) == 1
        assert pick_actions(scheduler.plan(now + FETCH_S), InputsRead)

    def test_a_running_job_past_its_deadline_schedules_no_wake_up(self):
        scheduler = make_scheduler()
        scheduler.submit(make_job("a", 8, 0.5, 0.6), 0.0)
        scheduler.submit(make_job("b", 8, 60.0, 60.0), 0.0)
        for step in range(1, 40):
            now = step * 0.1
            scheduler.plan(now)
            due_s = scheduler.next_due_s(now)
            assert due_s is None or due_s > now

    def test_expired_results_occupy_no_memory(self):
        scheduler = make_scheduler(spec=SPEC.replace(memory_bytes=4_000))
        (call,) = scheduler.submit(make_job("a", 3), 0.0)
        scheduler.complete_call(call.call_id, make_results(call), 0.3)
        assert scheduler.submit(make_job("b", 3, 9.0, 20.0), 0.4) == []
        assert pick_actions(scheduler.plan(0.3 + SPEC.result_ttl_s + 0.1), StageCall)

    def test_a_job_waits_for_a_target_in_the_domain_of_its_inputs(self):
        scheduler = make_scheduler(2)
        near = make_job("a", input_domains=("fd-1",), input_bytes=(3_000_000,))
        (call,) = pick_actions(scheduler.submit(near, 0.0), StageCall)
        assert call.target.failure_domain == "fd-1"

    def test_a_job_without_slack_takes_any_target(self):
        scheduler = make_scheduler(2)
        busy = make_job("a", 8, input_domains=("fd-1",), input_bytes=(3_000_000,))
        scheduler.submit(busy, 0.0)
        urgent = busy.replace(job_id="b", soft_deadline_s=0.6)
        (call,) = pick_actions(scheduler.submit(urgent, 0.1), StageCall)
        assert call.target.failure_domain == "fd-0"


class TestStageFailures:
    def test_a_failed_call_is_retried_on_another_target(self):
        scheduler = make_scheduler(2)
        (first,) = scheduler.submit(make_job("a"), 0.0)
        (second,) = pick_actions(scheduler.fail_call(first.call_id, 0.3), StageCall)
        assert second.target is not first.target
        assert [piece.number for piece in second.pieces] == [0, 1]

    def test_a_job_is_refused_when_its_pieces_keep_failing(self):
        scheduler = make_scheduler(4)
        actions, now = scheduler.submit(make_job("a", 1, 60.0, 60.0), 0.0), 0.0
        attempts = 0
        while calls := pick_actions(actions, StageCall):
            attempts += 1
            now += 0.3
            actions = scheduler.fail_call(calls[0].call_id, now)
        (refused,) = pick_actions(actions, JobRefused)
        assert (attempts, refused.job.job_id) == (MAX_ATTEMPTS, "a")

    def test_a_rejected_call_counts_as_no_attempt(self):
        scheduler = make_scheduler(1)
        (call,) = scheduler.submit(make_job("a", 1, 60.0, 60.0), 0.0)
        now = 0.0
        for _ in range(3 * MAX_ATTEMPTS):
            assert scheduler.reject_call(call.call_id, now) == []
            now = scheduler.next_due_s(now)
            assert now > 0.0
            (call,) = scheduler.plan(now)

    def test_a_slow_target_is_avoided_while_others_are_idle(self):
        scheduler = make_scheduler(2)
        (call,) = scheduler.submit(make_job("a"), 0.0)
        slow = call.target
        scheduler.complete_call(call.call_id, make_results(call), 2.0)
        now, used = 2.0, []
        for number in range(6):
            now += 0.5
            (call,) = scheduler.submit(make_job(f"b{number}", 2, 60.0, 60.0), now)
            used.append(call.target)
            scheduler.complete_call(call.call_id, make_results(call), now + 0.24)
        assert slow not in used

    def test_answers_without_results_do_not_change_the_slowdown(self):
        scheduler = make_scheduler(1)
        (call,) = scheduler.submit(make_job("a", 2, 60.0, 60.0), 0.0)
        now = 0.0
        for _ in range(5):
            now += 0.01
            scheduler.complete_call(call.call_id, [(None, "room")] * 2, now)
            now = scheduler.next_due_s(now)
            assert now > 0.0
            (call,) = scheduler.plan(now)
        assert call.due_s - now == pytest.approx(scheduler.get_nominal_s(2))

    def test_a_job_with_expired_inputs_is_refused(self):
        scheduler = make_scheduler(1)
        (call,) = scheduler.submit(make_job("a"), 0.0)
        results = [("h/a/0", ""), (None, "gone")]
        actions = scheduler.complete_call(call.call_id, results, 0.3)
        assert pick_actions(actions, JobRefused)[0].reason == "gone"
        assert pick_actions(actions, FreeResults)[0].handles == ("h/a/0",)

    def test_the_outcome_of_a_job_can_be_resent(self):
        scheduler = make_scheduler()
        (call,) = pick_actions(scheduler.submit(make_job("a"), 0.0), StageCall)
        assert (
            scheduler.resend_outcome("a") == []
            and scheduler.resend_outcome("b") is None
        )
        (done,) = pick_actions(
            scheduler.complete_call(call.call_id, make_results(call), 0.3), JobDone
        )
        (again,) = scheduler.resend_outcome("a")
        assert again.handles == done.handles
        scheduler.cancel("a", 0.4)
        assert scheduler.resend_outcome("a") is None

    def test_results_of_a_cancelled_job_are_freed(self):
        scheduler = make_scheduler(1)
        (call,) = scheduler.submit(make_job("a"), 0.0)
        assert scheduler.cancel("a", 0.1) == []
        actions = scheduler.complete_call(call.call_id, make_results(call), 0.3)
        assert sum(len(f.handles) for f in pick_actions(actions, FreeResults)) == 2


class TestRefusals:
    def test_a_job_that_cannot_finish_in_time_is_refused_at_once(self):
        scheduler = make_scheduler(1)
        scheduler.submit(make_job("first", 8), 0.0)
        for number in range(9):
            scheduler.submit(make_job(f"j{number}", 8, deadline_s=60.0), 0.0)
        late = make_job("late", 8, soft_deadline_s=2.5, deadline_s=3.0)
        (refused,) = scheduler.submit(late, 0.0)
        assert (refused.job, refused.reason) == (late, "late")
        assert refused.retry_after_s > 0

    def test_nothing_is_refused_while_targets_are_idle(self):
        scheduler = make_scheduler(3)
        actions = scheduler.submit(
            make_job("a", soft_deadline_s=0.1, deadline_s=0.5), 0.0
        )
        assert pick_actions(actions, StageCall) and not pick_actions(
            actions, JobRefused
        )

    def test_a_job_that_can_only_finish_late_is_not_started(self):
        scheduler = make_scheduler(1)
        (call,) = scheduler.submit(make_job("a", 8), 0.0)
        scheduler.submit(make_job("b", 2, 1.0, 1.0), 0.0)
        actions = scheduler.complete_call(call.call_id, make_results(call), 0.9)
        assert pick_actions(actions, JobRefused)[0].job.job_id == "b"
        assert not pick_actions(actions, StageCall)


class TestOrdering:
    def test_jobs_that_can_be_on_time_go_before_late_ones(self):
        on_time = make_job("a", soft_deadline_s=9.0, priority=2)
        late = make_job("b", soft_deadline_s=1.0, priority=0)
        order = sorted([late, on_time], key=lambda job: rank_job(job, 0.24, 2.0))
        assert [job.job_id for job in order] == ["a", "b"]

    def test_order_is_by_soft_deadline_and_priority_decides_near_ties(self):
        jobs = [
            make_job("later", soft_deadline_s=9.0, priority=0),
            make_job("less", soft_deadline_s=5.0, priority=1),
            make_job("urgent", soft_deadline_s=5.02, priority=0),
        ]
        order = sorted(jobs, key=lambda job: rank_job(job, 0.24, 2.0))
        assert [job.job_id for job in order] == ["urgent", "less", "later"]

    def test_the_newest_late_job_goes_first(self):
        jobs = [
            make_job("old", soft_deadline_s=1.0),
            make_job("new", soft_deadline_s=1.5),
        ]
        order = sorted(jobs, key=lambda job: rank_job(job, 0.24, 5.0))
        assert order[0].job_id == "new"


class TestCriticalPath:
    def test_downstream_stages_include_queueing_time(self):
        stages = (
            StageSpec("a", (), 1),
            StageSpec("b", (0,), 1),
            StageSpec("c", (1,), 1),
        )
        later = compute_downstream_s(stages, (1, 2, 0), lambda service: SPEC, 0.5)
        own_s = SPEC.call_s * (1 + EXPECTED_WAIT_CALLS) + 2 * SPEC.piece_s
        assert later == pytest.approx([0.5 + own_s, 0.5, 0.5])

    def test_a_stage_that_only_the_engine_needs_is_delayed(self):
        stages = (
            StageSpec("photos", (), 1),
            StageSpec("a", (), 1),
            StageSpec("b", (1,), 1),
            StageSpec("c", (2,), 1),
        )
        dependencies = [find_gate(stages, (1, 1, 1, 1), number) for number in range(4)]
        assert dependencies == [2, None, None, None]
        assert find_gate(stages, (1, 1, 1, 0), 0) is None
        assert find_gate(stages[:1], (1,), 0) is None


class TestRetainedResults:
    def make(self, memory_bytes=10):
        spec = StagePoolSpec(1, 2, 4, 0.2, 0.02, memory_bytes, 4.0)
        scheduler = StageScheduler(spec)
        scheduler.set_targets(make_targets(1), 0.0)
        return scheduler

    def adopt_results(self, scheduler, job_id, count, now=1.0):
        """Hand a finished job of another scheduler over."""
        (target,) = make_targets(1)
        job = make_job(job_id, count=count, result_bytes=1)
        addresses = {f"{job_id}/{n}": target.address for n in range(count)}
        return job, scheduler.adopt(job, addresses, False, now)

    def test_read_results_stay_while_memory_for_a_full_call_is_free(self):
        scheduler = self.make()
        self.adopt_results(scheduler, "old", 3)
        self.adopt_results(scheduler, "new", 3)
        assert not scheduler.mark_read("new", 1.1)
        assert not scheduler.mark_read("old", 1.2)
        self.adopt_results(scheduler, "more", 1)
        (freed,) = pick_actions(scheduler.plan(1.3), FreeResults)
        assert freed.size_bytes == 3 and freed.handles[0] == "new/0"

    def test_unread_results_are_never_evicted(self):
        scheduler = self.make()
        self.adopt_results(scheduler, "one", 10)
        assert not pick_actions(scheduler.plan(1.1), FreeResults)

    def test_results_of_an_unknown_scheduler_occupy_memory_until_they_expire(self):
        scheduler = self.make()
        (call,) = pick_actions(
            scheduler.submit(make_job("j", count=4, result_bytes=1), 1.0), StageCall
        )
        answer = [("a/1", ""), ("a/2", ""), (None, "room"), (None, "room")]
        calls = pick_actions(
            scheduler.complete_call(call.call_id, answer, 1.3), StageCall
        )
        assert not calls
        later = 1.3 + UNKNOWN_EXPIRY_SHARE * 4.0
        assert pick_actions(scheduler.plan(later), StageCall)


class TestBurstSimulation:
    """Bursts of one kind of request that exceed the capacity of a pool."""

    BURSTS = (
        Burst("arbiter", 3.5, 9.8, 2.8),
        Burst("advice", 14, 19.7, 3.6),
        Burst(None, 25, 29, 1.9),
    )

    def simulate(self, make_scheduler=StageScheduler, bursts=BURSTS, prepare=None):
        pools, kinds = make_zwolle()
        simulations = []
        for seed in SEEDS:
            simulation = PoolSimulation(pools, 3, kinds, seed, make_scheduler)
            if prepare is not None:
                prepare(simulation)
            simulation.run(34.0, bursts)
            simulations.append(simulation)
        return simulations

    def mean_credit(self, simulations, kind=None):
        return sum(simulation.credit(kind) for simulation in simulations) / len(
            simulations
        )

    def test_normal_load_is_served_on_time(self):
        simulations = self.simulate(bursts=())
        assert self.mean_credit(simulations) > 0.9
        assert sum(simulation.count("refused") for simulation in simulations) == 0

    def test_order_by_soft_deadline_beats_order_by_arrival(self):
        class ByArrival(StageScheduler):
            def _rank(self, job, now):
                return (False, int(job.request_id))

        assert (
            self.mean_credit(self.simulate())
            > self.mean_credit(self.simulate(ByArrival)) + 0.05
        )

    def test_strict_priority_would_starve_the_least_urgent(self):
        class ByPriority(StageScheduler):
            def _rank(self, job, now):
                late = (
                    job.soft_deadline_s
                    - job.downstream_s
                    - self.get_nominal_s(job.count)
                    < now
                )
                return (late, job.priority, job.soft_deadline_s)

        ours, strict = self.simulate(), self.simulate(ByPriority)
        assert self.mean_credit(ours, "chat") > self.mean_credit(strict, "chat") + 0.1

    def test_the_urgent_kind_earns_nearly_as_much_credit(self):
        simulations = self.simulate()
        advice, arbiter = (
            self.mean_credit(simulations, "advice"),
            self.mean_credit(simulations, "arbiter"),
        )
        assert advice > arbiter - 0.2

    def test_late_jobs_that_cannot_finish_are_refused_before_their_deadline(
        self, monkeypatch
    ):
        bursts = (
            Burst("arbiter", 3.5, 9.8, 3.2),
            Burst("advice", 14, 19.7, 4.2),
            Burst(None, 25, 29, 2.4),
        )
        waiting_times, credits = [], []
        for period_s in (stages.REVIEW_PERIOD_S, 3600.0):
            monkeypatch.setattr(stages, "REVIEW_PERIOD_S", period_s)
            simulations = self.simulate(bursts=bursts)
            waiting_times.append(sum(simulation.held_s for simulation in simulations))
            credits.append(self.mean_credit(simulations))
        assert waiting_times[0] < 0.8 * waiting_times[1]
        assert credits[0] > credits[1] - 0.01

    def test_requests_whose_callers_will_time_out_are_refused(self):
        pools, kinds = make_zwolle()
        lost, wasted = [], []
        for uses_timeout in (True, False):
            simulations = []
            for seed in SEEDS:
                simulation = PoolSimulation(pools, 3, kinds, seed)
                simulation.callers_time_out, simulation.uses_caller_timeout = (
                    True,
                    uses_timeout,
                )
                simulation.run(
                    34.0, (Burst(None, 3.5, 9.8, 2.4), Burst(None, 14, 19, 2.4))
                )
                simulations.append(simulation)
            lost.append(sum(simulation.count("lost") for simulation in simulations))
            wasted.append(sum(simulation.wasted_pieces for simulation in simulations))
        assert lost[0] < 0.1 * lost[1]
        assert wasted[0] < 0.8 * wasted[1]

    @pytest.mark.parametrize("make", [make_rimac, make_zwolle])
    def test_retained_results_are_handed_over_to_new_schedulers(self, make):
        lost, no_room = [], []
        for adopts in (True, False):
            simulations = []
            for seed in SEEDS:
                pools, kinds = make()
                simulation = PoolSimulation(pools, 3, kinds, seed)
                simulation.expires = True
                for step, name in enumerate(list(pools) * 4):
                    simulation.at(
                        5.0 + 2 * step, simulation.replace_scheduler, name, adopts
                    )
                simulation.run(34.0)
                simulations.append(simulation)
            lost.append(sum(w.count("lost") + w.count("refused") for w in simulations))
            no_room.append(sum(simulation.no_room for simulation in simulations))
        assert lost[0] < lost[1]
        assert no_room[0] < 0.75 * no_room[1]

    @pytest.mark.parametrize("make", [make_rimac, make_zwolle])
    def test_retaining_read_results_saves_repeated_work(self, make, monkeypatch):
        # Some pieces fail after their inputs were read.
        lost, wasted = [], []
        for retains in (True, False):
            if not retains:
                monkeypatch.setattr(RetainedResults, "take_surplus", evict_all)
            simulations = []
            for seed in SEEDS:
                pools, kinds = make()
                simulations.append(PoolSimulation(pools, 3, kinds, seed))
                for target in simulations[-1].targets.values():
                    target.error_share = 0.01
                simulations[-1].run(34.0)
            lost.append(sum(w.count("lost") + w.count("refused") for w in simulations))
            wasted.append(sum(simulation.wasted_pieces for simulation in simulations))
        assert lost[0] < 0.75 * lost[1]
        assert wasted[0] < wasted[1]

    def test_large_results_do_not_occupy_memory_that_others_need(self, monkeypatch):
        bursts = (Burst("quote", 8, 16, 3.2), Burst("chat", 14, 19.7, 3.0))
        # The review of late jobs would compensate where no stage is delayed.
        monkeypatch.setattr(stages, "REVIEW_PERIOD_S", 3600.0)
        credits = []
        for find in (critical_path.find_gate, lambda stages, counts, number: None):
            monkeypatch.setattr(critical_path, "find_gate", find)
            simulations = []
            for seed in SEEDS:
                pools, kinds = make_rimac()
                simulations.append(PoolSimulation(pools, 3, kinds, seed))
                simulations[-1].run(25.0, bursts)
            credits.append(self.mean_credit(simulations))
        assert credits[0] > credits[1] + 0.05

    def test_freeing_fetched_inputs_early_raises_throughput(self, monkeypatch):
        bursts = (
            Burst("quote", 3.5, 9.8, 2.7),
            Burst("notes", 14, 19.7, 3.0),
            Burst(None, 25, 29, 1.8),
        )
        credits = []
        monkeypatch.setattr(
            critical_path, "find_gate", lambda stages, counts, number: None
        )
        for fetch_s in (fetches.FETCH_S, 3600.0):
            monkeypatch.setattr(fetches, "FETCH_S", fetch_s)
            simulations = []
            for seed in SEEDS:
                pools, kinds = make_rimac()
                simulations.append(PoolSimulation(pools, 3, kinds, seed))
                simulations[-1].run(34.0, bursts)
            credits.append(self.mean_credit(simulations))
        assert credits[0] > credits[1] + 0.05

    def test_late_requests_are_still_answered(self):
        simulations = self.simulate()
        late = sum(simulation.count("late") for simulation in simulations)
        refused = sum(simulation.count("refused") for simulation in simulations)
        lost = sum(simulation.count("lost") for simulation in simulations)
        assert late > refused and lost < 0.02 * sum(
            len(w.outcomes) for w in simulations
        )

    def test_a_hanging_target_affects_its_own_calls_only(self):
        def prepare(simulation):
            fake = simulation.targets["clubs-1"]
            simulation.at(10.0, setattr, fake, "broken", True)

        simulations = self.simulate(bursts=(), prepare=prepare)
        assert self.mean_credit(simulations) > 0.7
        lost = sum(simulation.count("lost") for simulation in simulations)
        assert lost < 0.02 * sum(len(simulation.outcomes) for simulation in simulations)

    def test_a_slow_target_is_used_less(self):
        def prepare(simulation):
            fake = simulation.targets["clubs-1"]
            simulation.at(10.0, setattr, fake, "slowness", 4.0)

        assert self.mean_credit(self.simulate(bursts=(), prepare=prepare)) > 0.7


# Requests per second that a cold engine accepts.
COLD_PER_S = 16


def make_engine_job(name, parts=(), tokens_in=1000, **changes):
    """Return an `EngineJob`."""
    ids = tuple(part for part, _ in parts)
    tokens = tuple(count for _, count in parts)
    job = EngineJob(name, ids, tokens, tokens_in, 100, 1, 10.0, 10.0, (), (), ())
    return job.replace(**changes) if changes else job


def make_engines(count=3, slots=4, memory_tokens=100_000):
    """Return an `EngineScheduler` with targets."""
    scheduler = EngineScheduler(EngineSpec(slots, memory_tokens, COLD_PER_S))
    scheduler.set_targets(make_targets(count, "engine"), 0.0)
    return scheduler


class TestEnginePlacement:
    def test_prompts_with_shared_parts_go_to_one_engine(self):
        scheduler = make_engines()
        parts = (("shared", 6000), ("own", 500))
        targets = set()
        for number in range(5):
            job = make_engine_job(f"j{number}", parts, 6500)
            (placed,) = scheduler.submit(job, 0.0)
            targets.add(placed.target.target_id)
            scheduler.note_begun(job.job_id)
            scheduler.end(job.job_id, False, 1.0)
        assert len(targets) == 1 and placed.cached_tokens == 6500

    def test_a_busy_engine_is_avoided_although_it_cached_the_prompt(self):
        scheduler = make_engines()
        parts = (("shared", 500),)
        placed = [
            scheduler.submit(make_engine_job(f"j{i}", parts, 5000), 0.0)[0]
            for i in range(6)
        ]
        counts = {}
        for action in placed:
            name = action.target.target_id
            counts[name] = counts.get(name, 0) + 1
        assert max(counts.values()) == 2

    def test_a_new_scheduler_places_prompts_where_the_last_one_did(self):
        chosen = []
        for _ in range(2):
            scheduler = make_engines(count=5)
            chosen.append([])
            for number in range(20):
                job = make_engine_job(f"j{number}", ((f"part-{number}", 6000),), 6000)
                (placed,) = scheduler.submit(job, 0.0)
                chosen[-1].append(placed.target.target_id)
                scheduler.end(job.job_id, False, 0.1)
        assert chosen[0] == chosen[1]
        assert len(set(chosen[0])) > 2

    def test_a_part_is_recomputed_only_to_avoid_a_longer_wait(self):
        scheduler = make_engines(count=2)
        parts = (("shared", 6000),)
        (first,) = scheduler.submit(make_engine_job("a", parts, 6000), 0.0)
        scheduler.note_begun("a")
        scheduler.submit(make_engine_job("b", (*parts, ("b", 9000)), 15_000), 0.0)
        job = make_engine_job("c", (*parts, ("c", 100)), 6100)
        (again,) = scheduler.submit(job, 0.0)
        assert again.target is first.target
        scheduler.submit(make_engine_job("d", (*parts, ("d", 9000)), 15_000), 0.0)
        job = make_engine_job("e", (*parts, ("e", 100)), 6100)
        (other,) = scheduler.submit(job, 0.0)
        assert other.target is not first.target

    def test_an_engine_in_the_domain_of_the_inputs_is_preferred(self):
        scheduler = make_engines()
        job = make_engine_job("a", input_domains=("fd-2",), input_bytes=(4_000_000,))
        (placed,) = scheduler.submit(job, 0.0)
        assert placed.target.failure_domain == "fd-2"

    def test_the_most_urgent_request_is_placed_first(self):
        scheduler = make_engines(count=1, slots=1)
        scheduler.submit(make_engine_job("running"), 0.0)
        scheduler.submit(make_engine_job("low", priority=2), 0.0)
        scheduler.submit(make_engine_job("high", priority=0), 0.0)
        (placed,) = scheduler.end("running", False, 1.0)
        assert placed.job.job_id == "high"

    def test_engine_memory_is_not_overcommitted(self):
        scheduler = make_engines(count=1, memory_tokens=10_000)
        assert scheduler.submit(make_engine_job("a", tokens_in=6000), 0.0)
        assert scheduler.submit(make_engine_job("b", tokens_in=6000), 0.0) == []
        assert pick_actions(scheduler.end("a", False, 1.0), Placed)

    def test_a_failed_engine_is_backed_off_and_its_cache_cleared(self):
        scheduler = make_engines(count=2)
        parts = (("shared", 5000),)
        (first,) = scheduler.submit(make_engine_job("a", parts, 5000), 0.0)
        scheduler.end("a", True, 0.1)
        (second,) = scheduler.submit(make_engine_job("b", parts, 5000), 0.2)
        assert second.target is not first.target and second.cached_tokens == 0

    def test_a_placement_can_be_resent(self):
        scheduler = make_engines(count=1, slots=1)
        (placed,) = scheduler.submit(make_engine_job("a"), 0.0)
        scheduler.submit(make_engine_job("b"), 0.0)
        (again,) = scheduler.resend_outcome("a")
        assert (again.job, again.target) == (placed.job, placed.target)
        assert scheduler.resend_outcome("b") == []
        scheduler.end("a", False, 0.1)
        assert scheduler.resend_outcome("a") is None

    def test_a_request_without_capacity_is_refused_at_its_first_byte_deadline(self):
        scheduler = make_engines(count=1, slots=1)
        scheduler.submit(make_engine_job("a"), 0.0)
        scheduler.submit(make_engine_job("b", first_byte_deadline_s=2.0), 0.0)
        assert scheduler.next_due_s(0.0) == 2.0
        assert pick_actions(scheduler.plan(2.0), NotPlaced)[0].job.job_id == "b"

    def test_requests_of_failed_daemons_expire(self):
        scheduler = make_engines(count=1, slots=1)
        scheduler.submit(make_engine_job("a", deadline_s=5.0), 0.0)
        scheduler.submit(make_engine_job("b", deadline_s=50.0), 0.0)
        assert pick_actions(scheduler.plan(6.0), Placed)[0].job.job_id == "b"

    def test_a_new_scheduler_accounts_for_running_requests(self):
        scheduler = make_engines(count=2)
        scheduler.adopt(make_engine_job("a", tokens_in=9000), "engine-0", False)
        (placed,) = scheduler.submit(make_engine_job("b"), 0.0)
        assert placed.target.target_id == "engine-1"


def make_roster(names="abcde", own="own"):
    """Return a `Roster` with members."""
    roster = Roster(MemberEntry(own, f"{own}.1", "10.0.0.1:1", "fd-1", 1.0))
    for name in names:
        roster.put(MemberEntry(name, f"{name}.1", f"10.0.0.2:{ord(name)}", "fd-1", 1.0))
    return roster


def find_pool_name(roster, wanted):
    """Return a pool that another daemon schedules or, if not `wanted`, this one."""
    return next(
        pool
        for pool in map("pool-{}".format, range(100))
        if (roster.choose(pool) != roster.own.name) == wanted
    )


class TestRoster:
    def test_all_daemons_choose_the_same_scheduler(self):
        names = "abcde"
        for pool in ("x", "y", "z"):
            chosen = {
                make_roster(names.replace(own, ""), own).choose(pool) for own in names
            }
            assert len(chosen) == 1

    def test_weights_decide_how_many_pools_a_daemon_schedules(self):
        roster = make_roster("ab")
        roster.put(MemberEntry("big", "big.1", "10.0.0.3:1", "fd-1", 2.0))
        chosen = [roster.choose(f"pool-{i}") for i in range(700)]
        # The weight of "big" is 2 of 5 in total.
        assert 210 < chosen.count("big") < 350

    def test_small_members_schedule_only_when_all_large_ones_are_suspected(self):
        roster = Roster(MemberEntry("own", "own.1", "10.0.0.1:97", "fd-1", 0.1))
        large = {f"large-{number}" for number in range(6)}
        small = {f"small-{number}" for number in range(89)}
        for name in sorted(large | small):
            weight = 0.717 if name in large else 0.1
            roster.put(MemberEntry(name, f"{name}.1", "10.0.0.2:97", "fd-1", weight))
        pools = [f"pool-{number}" for number in range(30)]
        assert {roster.choose(pool) for pool in pools} == large
        for name in large:
            roster.suspect(name)
        assert {roster.choose(pool) for pool in pools} <= small | {"own"}
        for name in large:
            roster.remove(name)
        assert len({roster.choose(pool) for pool in pools}) > 10

    def test_pools_are_assigned_to_distinct_members_while_possible(self):
        roster = make_roster("abcde")
        pools = [f"pool-{number}" for number in range(6)]
        roster.set_pools(pools)
        assert len({roster.choose(pool) for pool in pools}) == 6
        more = [*pools, "pool-6", "pool-7"]
        roster.set_pools(more)
        assert len({roster.choose(pool) for pool in more}) == 6
        roster.remove("a")
        assert len({roster.choose(pool) for pool in more}) == 5

    def test_a_suspected_member_is_skipped_until_it_answers(self):
        roster = make_roster()
        pool = find_pool_name(roster, True)
        first, second = roster.rank(pool)[:2]
        assert roster.suspect(first) and not roster.suspect(first)
        assert roster.choose(pool) == second
        assert roster.clear(first)
        assert roster.choose(pool) == first

    def test_a_restarted_member_is_not_suspected(self):
        roster = make_roster()
        roster.suspect("a")
        roster.put(MemberEntry("a", "a.2", "10.0.0.2:97", "fd-1", 1.0))
        assert not roster.is_suspected("a")


class TestJobOwners:
    def make_job_owners(self):
        owners = JobOwners()
        for number in range(3):
            owners.put(f"a.1/{number}", "a", None)
        owners.put("b.1/0", "b", None)
        return owners

    def test_jobs_of_a_superseded_incarnation_are_listed(self):
        owners = self.make_job_owners()
        owners.put("a.2/0", "a", None)
        replaced = owners.list_superseded("a", "a.2")
        assert replaced == ["a.1/0", "a.1/1", "a.1/2"]
        assert not owners.list_superseded("b", "b.1")

    def test_jobs_of_a_silent_daemon_are_returned_once(self):
        owners = self.make_job_owners()
        owners.note_disconnected("a", 10.0)
        owners.note_disconnected("b", 10.0)
        owners.note_received("b")
        assert not owners.pop_orphaned_jobs(10.0 + OWNER_GRACE_S)
        assert len(owners.pop_orphaned_jobs(10.1 + OWNER_GRACE_S)) == 3
        assert not owners.pop_orphaned_jobs(20.0)


class TestPoolClient:
    def submit(self, job=None):
        roster = make_roster()
        client = PoolClient(roster)
        pool = find_pool_name(roster, True)
        client.watch([pool])
        (sent,) = client.submit(pool, job or make_job("j"), 10.0)
        return roster, client, pool, sent

    def test_times_are_sent_relative_to_now(self):
        _, _, _, sent = self.submit(
            make_job("j", soft_deadline_s=12.0, deadline_s=16.0)
        )
        assert isinstance(sent.record, SubmitPieces)
        assert sent.record.job.soft_deadline_s == pytest.approx(2.0)
        assert sent.record.job.deadline_s == pytest.approx(6.0)

    def test_an_unacknowledged_job_goes_to_the_next_scheduler(self):
        roster, client, pool, sent = self.submit()
        assert not pick_actions(
            client.tick(10.0 + ACK_TIMEOUT_S - 0.05), MemberSuspected
        )
        actions = client.tick(10.0 + ACK_TIMEOUT_S + 0.05)
        assert pick_actions(actions, MemberSuspected)[0].peer == sent.peer
        (again,) = [
            a
            for a in pick_actions(actions, SendTo)
            if isinstance(a.record, SubmitPieces)
        ]
        assert again.peer == roster.rank(pool)[1]

    def test_own_suspension_does_not_cause_suspicion_of_others(self):
        _, client, _, _ = self.submit()
        client.note_suspended(7.0)
        assert not pick_actions(
            client.tick(17.0 + ACK_TIMEOUT_S - 0.05), MemberSuspected
        )
        assert pick_actions(client.tick(17.0 + ACK_TIMEOUT_S + 0.05), MemberSuspected)

    def test_a_scheduler_that_froze_after_acknowledging_is_detected_by_pings(self):
        _, client, _, sent = self.submit()
        client.note_received(sent.peer, 10.01)
        client.receive(JobTaken("j"), sent.peer, 10.01)
        actions = []
        for step in range(60):
            actions += client.tick(10.1 + step * 0.1)
        assert pick_actions(actions, MemberSuspected)[0].jobs == 1

    def test_a_result_is_delivered_once_and_duplicates_are_dropped(self):
        _, client, _, sent = self.submit()
        actions = client.tick(10.5)
        other = [
            a.peer for a in pick_actions(actions, SendTo) if "Submit" in repr(a.record)
        ][0]
        made = PiecesMade("j", ("h1", "h2"))
        actions = client.receive(made, sent.peer, 10.6)
        assert pick_actions(actions, Deliver)[0].result is made
        assert SendTo(other, DropJob("j")) in actions
        assert client.receive(made, other, 10.7) == [SendTo(other, DropJob("j"))]
        assert client.drop("j") == [SendTo(sent.peer, DropJob("j"))]

    def test_mutual_suspicion_does_not_close_connections_repeatedly(self):
        roster, client, _, sent = self.submit()
        peer = roster.find(sent.peer)
        reconnects, now = 0, 10.0
        for number in range(40):
            now += 0.1
            actions = client.receive(Ping(number, (peer,)), sent.peer, now)
            assert SendTo(sent.peer, Pong(number, roster.own.incarnation)) in actions
            actions += client.tick(now)
            reconnects += len(
                [a for a in pick_actions(actions, Reconnect) if a.peer == peer.name]
            )
        assert reconnects <= 4.0 / MIN_RECONNECT_INTERVAL_S + 1

    def test_a_ping_to_a_silent_peer_carries_the_senders_entry(self):
        roster, client, _, sent = self.submit()
        client.tick(10.5)
        pings = []
        for step in range(12):
            actions = client.tick(10.6 + step * 0.1)
            pings += [
                a for a in pick_actions(actions, SendTo) if isinstance(a.record, Ping)
            ]
        asked = [ping for ping in pings if ping.peer == sent.peer]
        assert asked and asked[0].record.sender_entry == (roster.own,)
        unknown_member = MemberEntry("new", "new.1", "10.0.0.9:1", "fd-1", 1.0)
        client.receive(Ping(1, (unknown_member,)), "new", 12.0)
        assert roster.find("new") == unknown_member

    def test_the_first_ping_introduces_the_sender(self):
        roster, client, pool, _ = self.submit()
        pings = [a.record for a in pick_actions(client.tick(10.1), SendTo)]
        assert pings and all(ping.sender_entry == (roster.own,) for ping in pings)
        unknown_member = MemberEntry("new", "new.1", "10.0.0.9:1", "fd-1", 1.0)
        assert not pick_actions(
            client.receive(Ping(1, (unknown_member,)), "new", 12.0), Reconnect
        )
        assert pick_actions(
            client.receive(Ping(2, (unknown_member,)), "new", 12.5), Reconnect
        )

    def test_jobs_are_resubmitted_to_a_restarted_scheduler(self):
        roster, client, _, sent = self.submit()
        client.receive(JobTaken("j"), sent.peer, 10.01)
        client.note_received(sent.peer, 10.01)
        roster.put(MemberEntry(sent.peer, "again.2", "10.0.0.2:9", "fd-1", 1.0))
        records = [a.record for a in pick_actions(client.tick(10.1), SendTo)]
        assert [r.job.job_id for r in records if isinstance(r, SubmitPieces)] == ["j"]

    @pytest.mark.parametrize("loss", ["suspected", "left", "restarted"])
    def test_a_new_scheduler_receives_the_retained_results(self, loss):
        roster, client, pool, sent = self.submit()
        client.receive(PiecesMade("j", ("a/1", "a/2")), sent.peer, 10.1)
        client.mark_read("j")
        if loss == "suspected":
            roster.suspect(sent.peer)
        elif loss == "left":
            roster.remove(sent.peer)
        else:
            roster.put(MemberEntry(sent.peer, "again.2", "10.0.0.2:9", "fd-1", 1.0))
        records = [a.record for a in pick_actions(client.tick(10.2), SendTo)]
        (held,) = [r for r in records if isinstance(r, ResultsHeld)]
        assert (held.service, held.handles, held.read) == (
            pool,
            ("a/1", "a/2"),
            True,
        )
        records = [a.record for a in pick_actions(client.tick(10.3), SendTo)]
        assert not [r for r in records if isinstance(r, ResultsHeld)]
        assert client.drop("j") == [SendTo(roster.choose(pool), DropJob("j"))]

    def test_a_pong_reveals_a_restarted_scheduler(self):
        roster, client, pool, sent = self.submit()
        client.receive(JobTaken("j"), sent.peer, 10.01)
        client.receive(Pong(1, roster.find_incarnation(sent.peer)), sent.peer, 10.4)
        assert not pick_submissions(client.tick(10.5))
        client.receive(Pong(2, f"{sent.peer}.later"), sent.peer, 10.6)
        (again,) = pick_submissions(client.tick(10.7))
        assert (again.peer, again.record.service) == (sent.peer, pool)

    def test_after_a_lost_connection_the_job_list_is_sent(
        self,
    ):
        _, client, pool, sent = self.submit()
        (sync,) = client.sync(sent.peer)
        assert (sync.peer, sync.record) == (sent.peer, SyncJobs(("j",), ()))
        client.receive(PiecesMade("j", ("h1", "h2")), sent.peer, 10.1)
        assert client.sync(sent.peer)[0].record == SyncJobs((), ("j",))
        client.drop("j")
        assert client.sync(sent.peer)[0].record == SyncJobs((), ())
        assert not client.sync("own")

    def test_a_job_unknown_to_its_scheduler_is_resubmitted(self):
        _, client, pool, sent = self.submit()
        (again,) = client.receive(JobUnknown("j"), sent.peer, 10.1)
        assert (again.peer, again.record.service) == (sent.peer, pool)
        assert not client.receive(JobUnknown("j"), "another", 10.1)
        client.drop("j")
        assert not client.receive(JobUnknown("j"), sent.peer, 10.2)

    def test_a_new_scheduler_receives_the_running_requests(self):
        roster, client, pool, sent = self.submit(make_engine_job("e"))
        assert isinstance(sent.record, SubmitRequest)
        client.receive(RequestPlaced("e", "engine-1", 0), sent.peer, 10.1)
        client.note_begun("e")
        roster.suspect(sent.peer)
        records = [a.record for a in pick_actions(client.tick(10.2), SendTo)]
        (running,) = [r for r in records if isinstance(r, RequestRunning)]
        assert (running.target_id, running.begun) == ("engine-1", True)
        assert client.end_request("e", False) == [
            SendTo(roster.choose(pool), RequestEnded("e", False))
        ]

    def test_an_unexpected_placement_is_released(self):
        _, client, _, sent = self.submit(make_engine_job("e"))
        client.end_request("e", False)
        actions = client.receive(RequestPlaced("e", "engine-1", 0), sent.peer, 10.1)
        assert actions == [SendTo(sent.peer, RequestEnded("e", False))]

    def test_an_idle_client_pings_rarely(self):
        roster = make_roster()
        client = PoolClient(roster)
        client.watch([find_pool_name(roster, True)])
        pings = 0
        for step in range(300):
            now = 10.0 + step * 0.1
            for action in pick_actions(client.tick(now), SendTo):
                pings += 1
                client.note_received(action.peer, now + 0.01)
        assert 8 <= pings <= 11
        assert PING_TIMEOUT_S > 0


class TestColdEngines:
    """Engines that have just started, or become cold, while many requests wait."""

    def count_placements(self, cold_s, length_s=1.0, period_s=0.02):
        """Return the number of requests placed on an engine in `length_s`."""
        scheduler = make_engines(1, 500, 10**9)
        cold = make_targets(1, "engine")[0].replace(cold_s=cold_s)
        scheduler.set_targets([cold], 0.0)
        placed, now, number = [], 0.0, 0
        while now < length_s:
            number += 1
            job = make_engine_job(
                f"r{number}", deadline_s=60.0, first_byte_deadline_s=50.0
            )
            placed += pick_actions(scheduler.submit(job, now), Placed)
            now += period_s
        return len(placed)

    def test_requests_to_a_cold_engine_are_rate_limited(self):
        assert self.count_placements(cold_s=3.0) == COLD_PER_S

    def test_requests_to_a_warm_engine_are_not_limited(self):
        assert self.count_placements(cold_s=0.0) > 2 * COLD_PER_S

    def test_the_limit_ends_when_the_engine_is_warm(self):
        assert self.count_placements(cold_s=0.5) > COLD_PER_S

    def test_a_queued_request_is_placed_when_the_limit_allows(self):
        scheduler = make_engines(count=1, slots=500, memory_tokens=10**9)
        cold = make_targets(1, "engine")[0].replace(cold_s=3.0)
        scheduler.set_targets([cold], 0.0)
        for number in range(COLD_PER_S + 1):
            job = make_engine_job(
                f"r{number}", deadline_s=60.0, first_byte_deadline_s=50.0
            )
            scheduler.submit(job, 0.0)
        assert scheduler.next_due_s(0.0) == pytest.approx(1.0)
        assert len(pick_actions(scheduler.plan(1.0), Placed)) == 1


class TestPieceIsolation:
    """A piece that crashes its targets shares calls with other pieces."""

    def simulate(self, **failure):
        scheduler = make_scheduler(targets=3)
        calls = pick_actions(scheduler.submit(make_job("deadly"), 0.0), StageCall)
        calls += pick_actions(scheduler.submit(make_job("beside"), 0.0), StageCall)
        now, done, sent = 0.0, [], 0
        while calls and now < 5.0:
            call, now = calls.pop(0), now + 0.3
            sent += any(piece.job.job_id == "deadly" for piece in call.pieces)
            if any(piece.job.job_id == "deadly" for piece in call.pieces):
                actions = scheduler.fail_call(call.call_id, now, **failure)
            else:
                actions = scheduler.complete_call(call.call_id, make_results(call), now)
            done += [action.job.job_id for action in pick_actions(actions, JobDone)]
            calls += pick_actions(actions, StageCall)
            while not calls and scheduler.busy and now < 5.0:
                now += 0.1
                calls += pick_actions(scheduler.plan(now), StageCall)
        return done, sent

    def test_pieces_of_two_failed_calls_are_retried_alone(self):
        done, sent = self.simulate()
        assert done == ["beside"]
        assert sent == 3

    def test_pieces_of_a_suspended_request_are_not_sent_again(self):
        done, sent = self.simulate(is_suspended=lambda fingerprint: True)
        assert sent == 1


class TestDueTimes:
    """Time passes between `plan` and `next_due_s` in a pool with little traffic."""

    def test_a_job_that_became_due_after_planning_is_due_at_once(self):
        scheduler = make_scheduler(targets=2)
        (call,) = pick_actions(scheduler.submit(make_job("a"), 0.0), StageCall)
        scheduler.complete_call(call.call_id, make_results(call), 0.001)
        # Partial batches are spaced, so this job waits although its target is idle.
        assert not pick_actions(scheduler.submit(make_job("b"), 0.002), StageCall)
        due_s = scheduler.next_due_s(0.002)
        late_s = due_s + 0.001
        assert scheduler.next_due_s(late_s) == due_s
        assert pick_actions(scheduler.plan(late_s), StageCall)

    def test_a_request_whose_engine_became_due_after_planning_is_due_at_once(self):
        scheduler = make_engines(count=1)
        (placed,) = scheduler.submit(make_engine_job("a"), 0.0)
        scheduler.end("a", True, 0.0)
        assert not scheduler.submit(make_engine_job("b"), 0.1)
        due_s = scheduler.next_due_s(0.1)
        assert scheduler.next_due_s(due_s + 0.001) == due_s
        assert pick_actions(scheduler.plan(due_s + 0.001), Placed)
