"""Tests that prompts of very many parts take bounded memory and work to be placed."""

import tracemalloc
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.kernel.forwarding.configuration import EngineSpec
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools import timed_placement
from firworks.kernel.pools.engine_state import MAX_CACHED_PARTS, EngineState
from firworks.kernel.pools.engines import BY_TIME, EngineScheduler, Placed
from firworks.kernel.pools.jobs import EngineJob
from firworks.kernel.pools.part_groups import MAX_SINGLE_PARTS, group_parts
from firworks.kernel.pools.prompt_parts import MAX_PARTS, EngineOrders, PromptParts

# As many as the header of a legal request holds.
LONG = 2_000
MAX_PLACED = 80
SPEC = EngineSpec(16, 632_000, 0.0)


def make_parts(count, name=""):
    """Return the parts (tuple of (str, int)) of a prompt, of one token each."""
    return tuple((f"{name}{number:x}", 1) for number in range(count))


def make_job(name, parts):
    """Return the `EngineJob` of a prompt."""
    ids, tokens = zip(*group_parts(parts), strict=True)
    return EngineJob(name, ids, tokens, len(parts), 20, 1, 5.0, 9.0, (), (), ())


def make_scheduler(engines=3):
    """Return an `EngineScheduler` of some engines."""
    scheduler = EngineScheduler(SPEC, placement=BY_TIME)
    targets = [
        Target(f"e{n}", "llm", f"10.0.0.{n + 1}:1", "fd-1", "", 16, False, 1, 0)
        for n in range(engines)
    ]
    scheduler.set_targets(targets, 0.0)
    return scheduler


class TestGroups:
    @pytest.mark.parametrize("count", [0, 1, 3, MAX_SINGLE_PARTS + 1])
    def test_usual_prompts_stay_as_they_are(self, count):
        parts = make_parts(count)
        assert group_parts(parts) is parts

    @given(st.integers(2, 3 * LONG))
    def test_there_are_few_groups_with_all_tokens(self, count):
        groups = group_parts(make_parts(count))
        assert len(groups) <= MAX_PLACED
        assert sum(tokens for _, tokens in groups) == count
        assert len({group_id for group_id, _ in groups}) == len(groups)
        assert groups[-1] == (f"{count - 1:x}", 1)

    @given(st.integers(0, LONG), st.integers(1, LONG), st.integers(1, LONG))
    def test_prompts_that_share_parts_share_their_groups(self, shared, first, second):
        common = make_parts(shared)
        one = group_parts((*common, *make_parts(first, "a")))
        other = group_parts((*common, *make_parts(second, "b")))
        same = 0
        while one[same] == other[same]:
            same += 1
        tokens = sum(count for _, count in one[:same])
        # Less than the last group, which is as long as all groups before it, is lost.
        assert shared >= tokens > (shared - MAX_SINGLE_PARTS) / 2 - 2


# Each request with a prompt of 2,000 parts took 2 MB of the gateway for good.
class TestMemory:
    LIMIT_BYTES = 25_000_000

    def test_placed_prompts_take_bounded_memory(self):
        scheduler, placed = make_scheduler(), 0
        tracemalloc.start()
        try:
            for number in range(1_000):
                job = make_job(f"j{number}", make_parts(LONG, f"{number:x}-"))
                actions = scheduler.submit(job, number * 0.0009)
                placed += sum(isinstance(action, Placed) for action in actions)
                scheduler.end(job.job_id, False, number * 0.0009)
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert placed == 1_000
        assert held < self.LIMIT_BYTES

    def test_an_engine_is_taken_to_have_so_many_parts(self):
        engine = EngineState(make_scheduler().targets[0])
        evicted = []
        for number in range(100):
            job = make_job(f"j{number}", make_parts(LONG, f"{number:x}-"))
            evicted += engine.add(job, 0, SPEC.memory_tokens)
        assert len(engine.parts) == MAX_CACHED_PARTS
        assert evicted and not set(evicted) & set(engine.parts)

    def test_the_parts_used_last_are_known(self):
        parts, target = PromptParts(), make_scheduler().targets[0]
        for number in range(400):
            job = make_job(f"j{number}", make_parts(LONG, f"{number:x}-"))
            parts.begin(job, target, 0.1, 1.0)
        assert len(parts) == MAX_PARTS
        cached = parts.find_cached(job, 16, {"fd-1"}, 1.0)
        assert cached.depths == {target.incarnation: len(job.part_ids) - 1}
        # Requests whose parts are known no more end like others.
        parts.end(make_job("j0", make_parts(LONG, "0-")))

    def test_orders_do_not_hold_the_parts(self):
        orders = EngineOrders()
        orders.set_engines(make_scheduler().targets)
        tracemalloc.start()
        try:
            for number in range(1_000):
                ids = [part_id for part_id, _ in make_parts(LONG, f"{number:x}-")]
                orders.find(tuple(ids))
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert held < 1_000 * 1_000


# All waiting requests were rated anew at each event, while no engine had a place.
class TestWork:
    def test_nothing_is_rated_while_no_engine_has_a_place(self, monkeypatch):
        rated = []

        class CountingParts(PromptParts):
            def find_cached(self, job, slots, domains, now):
                rated.append(job.job_id)
                return super().find_cached(job, slots, domains, now)

        monkeypatch.setattr(timed_placement, "PromptParts", CountingParts)
        scheduler, rng = make_scheduler(), Random(1)
        for number in range(200):
            scheduler.submit(make_job(f"j{number}", make_parts(LONG)), 0.0)
        running = [f"j{number}" for number in range(48)]
        assert len(rated) == len(running)
        scheduler.plan(0.5)
        assert len(rated) == len(running)
        for number in range(48, 100):
            ended = running.pop(rng.randrange(len(running)))
            actions = scheduler.end(ended, False, 1.0)
            running += [action.job.job_id for action in actions]
            assert len(running) == 48
            assert len(rated) == number + 1
