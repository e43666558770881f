"""Tests of the schedulers of pools whose targets name a limit."""

from random import Random

import pytest

from firworks.kernel.forwarding.configuration import EngineSpec, StagePoolSpec
from firworks.kernel.pools.engines import EngineScheduler, NotPlaced, Placed
from firworks.kernel.pools.messages import MemberEntry
from firworks.kernel.pools.results import REASON_LIMITED, JobDone, JobRefused
from firworks.kernel.pools.roster import Roster
from firworks.kernel.pools.stages import StageScheduler
from firworks.kernel.pools.workers import StageCall
from firworks.kernel.target_limits.limiter import TargetLimiter
from firworks.tests.limit_rule import compute_allowed, count_most
from firworks.tests.test_pools import (
    make_engine_job,
    make_job,
    make_results,
    make_targets,
)

STEP_S = 0.01
LENGTH_S = 14.0
WAIT_S = 4.0
SERVICE_S = 0.3
STAGE_SPEC = StagePoolSpec(1, 2, 8, 0.2, 0.01, 10_000_000, 4.0)
ENGINE_SPEC = EngineSpec(32, 1_000_000, 0)


class PoolRun:
    """Plays jobs at the scheduler of one pool, with a virtual clock.

    Attributes:
        sent_s (dict of str to list of float): When each target got requests.
        begun (dict of str to float): How long each job waited until it began.
        refused (dict of str to (float, float)): How long each job waited until it was
            refused, and its Retry-After.
        reasons (set of str): Reasons of refusals.
    """

    def __init__(self, limits, service):
        roster = Roster(MemberEntry("one", "one.1", "", "fd", 1.0))
        self.limiter = TargetLimiter(roster, Random(1))
        self.targets = make_targets(len(limits), service)
        self.sent_s = {target.target_id: [] for target in self.targets}
        self.begun = {}
        self.refused = {}
        self.reasons = set()
        self.submitted_s = {}
        self._ends = []
        for target, limit in zip(self.targets, limits, strict=True):
            self.limiter.record_response(target.incarnation, service, limit, 0.0, 0.0)

    def play(self, scheduler, make, rate_per_s):
        """Submit jobs at a rate, each made by ``make(name, number, now)``."""
        scheduler.set_targets(self.targets, 0.0)
        submitted, steps = 0, int(LENGTH_S / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            actions = self.limiter.tick(now)
            for end_s, end in [one for one in self._ends if one[0] <= now]:
                self._ends.remove((end_s, end))
                actions += end(now)
            while submitted < now * rate_per_s and now < LENGTH_S - WAIT_S:
                submitted += 1
                name = f"job-{submitted}"
                self.submitted_s[name] = now
                actions += scheduler.submit(make(name, submitted, now), now)
            due_s = scheduler.next_due_s(now)
            if due_s is not None and due_s <= now + STEP_S:
                actions += scheduler.plan(now)
            for action in actions:
                self._execute(scheduler, action, now)

    def _execute(self, scheduler, action, now):
        if isinstance(action, Placed):
            job_id = action.job.job_id
            self.sent_s[action.target.target_id].append(now)
            self.begun[job_id] = now - self.submitted_s[job_id]
            end = lambda time_s: scheduler.end(job_id, False, time_s)  # noqa: E731
            self._ends.append((now + SERVICE_S, end))
        elif isinstance(action, StageCall):
            self.sent_s[action.target.target_id].append(now)
            results = make_results(action)
            number = action.call_id
            end = lambda time_s: scheduler.complete_call(  # noqa: E731
                number, results, time_s
            )
            self._ends.append((action.due_s, end))
        elif isinstance(action, JobDone):
            job_id = action.job.job_id
            self.begun[job_id] = now - self.submitted_s[job_id]
            scheduler.release(job_id, now)
        elif isinstance(action, NotPlaced | JobRefused):
            job_id = action.job.job_id
            waited_s = now - self.submitted_s[job_id]
            self.refused[job_id] = (waited_s, action.retry_after_s)
            self.reasons.add(getattr(action, "reason", ""))


def play_engines(limits, rate_per_s):
    """Return a `PoolRun` of engine jobs; every fifth one is more urgent."""
    run = PoolRun(limits, "engine")
    scheduler = EngineScheduler(ENGINE_SPEC, run.limiter)

    def make(name, number, now):
        deadline_s = now + WAIT_S
        return make_engine_job(
            name,
            ((f"part-{number}", 500),),
            first_byte_deadline_s=deadline_s,
            deadline_s=deadline_s,
            priority=int(number % 5 > 0),
        )

    run.play(scheduler, make, rate_per_s)
    return run


def play_stages(limits, rate_per_s):
    """Return a `PoolRun` of stage jobs."""
    run = PoolRun(limits, "stage")
    scheduler = StageScheduler(STAGE_SPEC, run.limiter)

    def make(name, number, now):
        return make_job(name, 2, now + WAIT_S / 2, now + WAIT_S)

    run.play(scheduler, make, rate_per_s)
    return run


PLAYS = [play_engines, play_stages]


class TestLimitedPools:
    @pytest.mark.parametrize("play", PLAYS)
    def test_free_targets_take_the_rest_without_delay(self, play):
        run = play([1.0, None, None], 6)
        limited, *free = run.sent_s.values()
        assert count_most(limited) <= compute_allowed(1)
        assert len(limited) >= 0.7 * (LENGTH_S - WAIT_S)
        assert min(len(times_s) for times_s in free) > len(limited)
        assert not run.refused
        assert max(run.begun.values()) < 1.0

    @pytest.mark.parametrize("play", PLAYS)
    @pytest.mark.parametrize("limit", [0.5, 2.0])
    def test_limits_of_all_targets_are_kept_and_used(self, play, limit):
        run = play([limit] * 3, 60)
        for times_s in run.sent_s.values():
            assert count_most(times_s) <= compute_allowed(limit)
            in_use = [time_s for time_s in times_s if time_s < LENGTH_S - WAIT_S]
            assert len(in_use) >= 0.8 * limit * (LENGTH_S - WAIT_S) - 1
        assert set(run.submitted_s) == {*run.begun, *run.refused}

    @pytest.mark.parametrize("play", PLAYS)
    def test_jobs_that_get_no_permit_in_time_are_refused_at_once(self, play):
        run = play([0.5], 60)
        assert len(run.refused) > 300
        waits_s = sorted(waited_s for waited_s, _ in run.refused.values())
        assert waits_s[int(0.9 * len(waits_s))] < 0.2
        assert all(0.0 < after_s <= 20.0 for _, after_s in run.refused.values())
        if play is play_stages:
            assert REASON_LIMITED in run.reasons

    def test_urgent_requests_are_placed_first(self):
        run = play_engines([2.0], 5)
        urgent = {name for name in run.submitted_s if int(name[4:]) % 5 == 0}
        assert urgent <= set(run.begun)

    @pytest.mark.parametrize("play", PLAYS)
    def test_a_target_that_accepts_nothing_gets_nothing(self, play):
        run = play([0.0, None], 6)
        blocked, free = run.sent_s.values()
        assert not blocked and free and not run.refused

    @pytest.mark.parametrize("play", PLAYS)
    def test_jobs_are_refused_if_no_target_accepts_anything(self, play):
        run = play([0.0, 0.0], 6)
        assert set(run.refused) == set(run.submitted_s)
        assert max(waited_s for waited_s, _ in run.refused.values()) < 0.2
