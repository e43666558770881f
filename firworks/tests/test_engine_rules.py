"""Tests of what limits placements on engines, whichever way they are rated."""

import pytest

from firworks.kernel.forwarding.configuration import EngineSpec
from firworks.kernel.pools.engines import (
    BY_TIME,
    BY_TOKENS,
    EngineScheduler,
    NotPlaced,
    Placed,
)
from firworks.tests.engine_kit import (
    make_job,
    make_scheduler,
    make_targets,
    place,
    serve,
)


class TestMemory:
    """What an engine holds for the requests of all gateways stays under its memory."""

    def make_scheduler(self, placement, memory_bytes):
        spec = EngineSpec(16, 282_344, 0)
        scheduler = EngineScheduler(spec, None, placement, memory_bytes)
        scheduler.set_targets(make_targets(2), 0.0)
        return scheduler

    @pytest.mark.parametrize("placement", [BY_TOKENS, BY_TIME])
    def test_the_bytes_of_stage_results_are_limited(self, placement):
        scheduler = self.make_scheduler(placement, 8_000_000)
        jobs = [
            make_job(f"j{i}", input_domains=("fd-0",), input_bytes=(3_500_000,))
            for i in range(5)
        ]
        chosen = [place(scheduler, job, 0.0).target_id for job in jobs[:4]]
        assert sorted(chosen) == ["e0", "e0", "e1", "e1"]
        assert scheduler.submit(jobs[4], 0.0) == []
        (placed,) = scheduler.end("j0", False, 1.0)
        assert placed.target.target_id == chosen[0]

    @pytest.mark.parametrize("placement", [BY_TOKENS, BY_TIME])
    def test_an_engine_without_requests_takes_any(self, placement):
        scheduler = self.make_scheduler(placement, 1_000_000)
        job = make_job("a", input_domains=("fd-0",), input_bytes=(3_500_000,))
        assert scheduler.submit(job, 0.0)

    @pytest.mark.parametrize("placement", [BY_TOKENS, BY_TIME])
    def test_bytes_are_not_limited_without_the_setting(self, placement):
        scheduler = self.make_scheduler(placement, 0)
        for number in range(20):
            job = make_job(
                f"j{number}", input_domains=("fd-0",), input_bytes=(90_000_000,)
            )
            assert scheduler.submit(job, 0.0)

    def test_generated_tokens_leave_less_memory_for_cached_parts(self):
        # Parts would be counted as cached that the engine has evicted for them.
        scheduler = make_scheduler(1, memory_tokens=20_000)
        serve(scheduler, make_job("a", (("old", 6000),), 100), 0.0)
        place(scheduler, make_job("b", (("new", 6000),), 100, tokens_out=8000), 1.0)
        scheduler.end("b", False, 2.0)
        (placed,) = scheduler.submit(make_job("d", (("old", 6000),), 100), 3.0)
        assert placed.cached_tokens == 0


class TestSchedulerRules:
    """What holds for placements by tokens holds for those by time."""

    def test_excluded_and_failed_engines_get_nothing(self):
        scheduler = make_scheduler(3)
        failed = place(scheduler, make_job("a"), 0.0)
        scheduler.end("a", True, 0.1)
        excluded = ("e0",) if failed.target_id != "e0" else ("e1",)
        target = place(scheduler, make_job("b", excluded=excluded), 0.2)
        assert target.target_id not in (failed.target_id, *excluded)

    def test_slots_and_memory_are_not_overcommitted(self):
        scheduler = make_scheduler(1, slots=2)
        assert scheduler.submit(make_job("a"), 0.0)
        assert scheduler.submit(make_job("b"), 0.0)
        assert scheduler.submit(make_job("c"), 0.0) == []
        (placed,) = scheduler.end("a", False, 1.0)
        assert isinstance(placed, Placed) and placed.job.job_id == "c"
        scheduler = make_scheduler(1, memory_tokens=15_000)
        assert scheduler.submit(make_job("a"), 0.0)
        assert scheduler.submit(make_job("b"), 0.0) == []

    def test_changed_slots_apply_at_once(self):
        scheduler = make_scheduler(1, slots=1)
        place(scheduler, make_job("a"), 0.0)
        assert scheduler.submit(make_job("b"), 0.0) == []
        scheduler.spec = scheduler.spec.replace(slots=2)
        (placed,) = scheduler.plan(0.1)
        assert isinstance(placed, Placed)

    def test_requests_that_expire_or_are_cancelled_free_their_places(self):
        scheduler = make_scheduler(1, slots=1)
        place(scheduler, make_job("a", deadline_s=2.0), 0.0)
        scheduler.submit(make_job("b"), 0.0)
        (placed,) = scheduler.plan(4.0)
        assert placed.job.job_id == "b"
        scheduler.submit(make_job("c"), 4.0)
        (placed,) = scheduler.end("b", False, 5.0)
        assert placed.job.job_id == "c"

    def test_a_request_is_refused_at_its_first_byte_deadline(self):
        scheduler = make_scheduler(1, slots=1)
        place(scheduler, make_job("a"), 0.0)
        scheduler.submit(make_job("b", first_byte_deadline_s=2.0), 0.0)
        assert [type(one) for one in scheduler.plan(2.0)] == [NotPlaced]

    def test_requests_of_another_scheduler_are_counted(self):
        scheduler = make_scheduler(2, slots=1)
        scheduler.adopt(make_job("a"), "e0", False, 0.0)
        assert place(scheduler, make_job("b"), 0.0).target_id == "e1"
        scheduler.note_begun("a", 0.5)
        assert scheduler.submit(make_job("c"), 0.5) == []
        (placed,) = scheduler.end("a", False, 1.0)
        assert placed.target.target_id == "e0"

    def test_engines_that_leave_and_come_back_are_forgotten(self):
        scheduler = make_scheduler(3)
        first = serve(scheduler, make_job("a"), 0.0)
        rest = [one for one in make_targets(3) if one != first]
        scheduler.set_targets(rest, 1.0)
        scheduler.set_targets(make_targets(3), 2.0)
        (placed,) = scheduler.submit(make_job("b"), 3.0)
        assert placed.cached_tokens == 0

    def test_places_are_left_for_requests_that_fit_one_version_only(self):
        # Streams of the older version could go on nowhere, as others had filled it.
        scheduler = EngineScheduler(EngineSpec(10, 10**9, 0), placement=BY_TIME)
        targets = make_targets(4)
        versions = ("old", "new", "new", "new")
        scheduler.set_targets(
            [
                target.replace(version=version)
                for target, version in zip(targets, versions, strict=True)
            ],
            0.0,
        )
        chosen = [place(scheduler, make_job(f"j{i}"), 0.0).version for i in range(38)]
        assert chosen.count("old") == 8
        excluded = ("e1", "e2", "e3")
        bound = make_job("bound", excluded=excluded)
        assert place(scheduler, bound, 0.0).version == "old"

    def test_an_engine_that_leaves_finishes_its_requests(self):
        scheduler = make_scheduler(2)
        target = place(scheduler, make_job("a"), 0.0)
        scheduler.set_targets([one for one in make_targets(2) if one != target], 1.0)
        assert place(scheduler, make_job("b"), 1.0) != target
        scheduler.note_begun("a", 1.5)
        assert scheduler.end("a", False, 2.0) == []
