"""Tests of stage pools near their capacity, with replays of two sites."""

import asyncio
from random import Random

import pytest
from prometheus_client import generate_latest

from firworks.kernel.forwarding.configuration import StagePoolSpec
from firworks.kernel.pools.answer_times import (
    MAX_AGE_S,
    MAX_GOAL_SHARE,
    MIN_SAMPLES,
    AnswerTimes,
)
from firworks.kernel.pools.critical_path import compute_downstream_s
from firworks.kernel.pools.freeing_memory import FreeingMemory
from firworks.kernel.pools.home_domains import (
    choose_home_domain,
    get_last_shared_part,
)
from firworks.kernel.pools.jobs import PieceJob
from firworks.kernel.pools.reported_loads import (
    MAX_REPORTED,
    MIN_REPORTED,
    REPORT_AGE_S,
    ReportedLoad,
)
from firworks.kernel.pools.stages import StageScheduler
from firworks.kernel.pools.workers import StageCall, StageWorker
from firworks.platform.headers import read_load_notice
from firworks.standins.platform_targets import PlatformEngine
from firworks.tests.fluid_bound import compute_credit_bound, compute_served_bound
from firworks.tests.gateway_testbed import PROMPT, run_testbed, wait_until
from firworks.tests.gateway_testbed import play as play_testbed
from firworks.tests.pool_simulation import ENGINE_S, make_targets, vary_speeds
from firworks.tests.pool_workloads import HARBOUR, TOURS, make_harbour

LENGTH_S = 34.0
MINIMUM_S = 0.06


def make_job(name, count, result_bytes=1_000, home_domain=""):
    """Return a `PieceJob`."""
    return PieceJob(
        name,
        name,
        0,
        count,
        "k",
        (),
        result_bytes,
        1,
        2.0,
        6.0,
        0.1,
        (),
        (),
        b"",
        home_domain=home_domain,
    )


def play(site, seed=1, **changes):
    """Return the simulation of the bursts of a site.

    Args:
        site (Site): The site.
        seed (int): Seed of the load.
        changes (dict): Attributes of the site to set for this run.
    """
    before = {name: getattr(site, name) for name in changes}
    for name, value in changes.items():
        setattr(site, name, value)
    world = site.simulate(seed)
    world.run(LENGTH_S, site.bursts)
    for name, value in before.items():
        setattr(site, name, value)
    return world


class TestBounds:
    def test_nothing_served_exceeds_the_fluid_bound(self):
        """An error in the bound would show policies as better than they are."""
        for site in (HARBOUR, TOURS):
            world = play(site)
            served = world.count("on time") + world.count("late")
            assert world.credit() <= compute_credit_bound(world)
            assert served <= compute_served_bound(world)

    def test_work_beyond_the_capacity_is_not_counted(self):
        """A bound of all requests under any load would state nothing."""
        world = HARBOUR.simulate(1)
        manifest = world.kinds[0]
        world.arrivals = [(manifest, 0.0, (10,))] * 1000
        request_s = 10 * (0.2 / 14 + 0.012)
        served = 9 * (manifest.deadline_s - ENGINE_S) / request_s
        assert abs(compute_served_bound(world) - served) < 0.15 * served
        on_time = 9 * (manifest.soft_deadline_s - ENGINE_S) / request_s
        credit = on_time * (4.2 - 0.63) + served * 0.63
        assert abs(compute_credit_bound(world) - credit / 4200) < 0.25 * credit / 4200


class TestAnswerTimes:
    def test_more_answers_are_on_time_when_the_engines_time_is_measured(self):
        """Stages ended in time, and the answers after them were just late."""
        for site, factor in ((HARBOUR, 1.2), (TOURS, 1.05)):
            before = play(site)
            after = play(site, measures_answers=True)
            assert after.count("on time") > factor * before.count("on time")
            assert after.credit() > before.credit() + 0.03

    def test_few_or_old_samples_give_the_minimum(self):
        """A new gateway, or one without requests, must not act on chance."""
        times = AnswerTimes()
        for _ in range(MIN_SAMPLES - 1):
            times.record("llm", 0.5, 10.0)
        assert times.estimate_s("llm", 2.0, MINIMUM_S, 10.0) == MINIMUM_S
        times.record("llm", 0.5, 10.0)
        assert times.estimate_s("llm", 2.0, MINIMUM_S, 10.0) == 0.5
        assert times.estimate_s("other", 2.0, MINIMUM_S, 10.0) == MINIMUM_S
        late_s = 10.0 + MAX_AGE_S + 0.1
        assert times.estimate_s("llm", 2.0, MINIMUM_S, late_s) == MINIMUM_S

    def test_an_estimate_leaves_part_of_the_goal_to_the_stages(self):
        """With overloaded engines all jobs counted as late and lost their order."""
        times = AnswerTimes()
        for _ in range(MIN_SAMPLES):
            times.record("llm", 9.0, 10.0)
        assert times.estimate_s("llm", 2.0, MINIMUM_S, 10.0) == 2.0 * MAX_GOAL_SHARE


class TestCriticalPath:
    def test_known_waits_replace_the_usual_ones(self):
        """With a full later pool, jobs left the first one too late to be on time."""
        pools, kinds = make_harbour()
        stages = kinds[1].stages
        usual_s = compute_downstream_s(stages, (1, 6, 10), pools.get, 0.1)
        waits_s = {"lookup": 1.0, "ledger": None}
        known_s = compute_downstream_s(stages, (1, 6, 10), pools.get, 0.1, waits_s.get)
        assert known_s[1:] == usual_s[1:]
        usual_wait_s = 2 * pools["lookup"].call_s
        assert abs(known_s[0] - usual_s[0] - (1.0 - usual_wait_s)) < 1e-9


class TestFreeingMemory:
    def test_more_requests_are_served_in_both_kinds_of_target(self):
        """Calls were half full while results waited to be freed."""
        for early in (False, True):
            worlds = []
            for reuses in (False, True):
                world = HARBOUR.simulate(1)
                world.reserves_early = early
                world.reuses_memory = reuses
                for scheduler in world.schedulers.values():
                    scheduler.freeing.enabled = reuses
                world.run(LENGTH_S, HARBOUR.bursts)
                worlds.append(world)
            before, after = (
                world.count("on time") + world.count("late") for world in worlds
            )
            assert after > before
            assert worlds[1].credit() > worlds[0].credit()
            assert worlds[1].no_room < 0.01 * worlds[1].pieces

    def test_memory_being_freed_counts_until_a_piece_finds_no_room(self):
        """A target that frees late would be sent calls in vain again and again."""
        spec = StagePoolSpec(1, 2, 4, 0.2, 0.02, 4_000, 4.0)
        freeing = FreeingMemory(True)
        worker = StageWorker(None)
        worker.freeing_bytes = 3_000
        assert freeing.get_bytes(worker, 1.0) == 3_000
        freeing.note_memory_full(spec, 1.0)
        assert freeing.get_bytes(worker, 4.9) == 0
        assert freeing.get_bytes(worker, 5.0) == 3_000
        assert FreeingMemory().get_bytes(worker, 1.0) == 0

    @pytest.mark.parametrize("enabled", [False, True])
    def test_a_call_is_sent_to_a_target_that_is_being_told_to_free(self, enabled):
        """Freeing takes 50 ms, in which a target with work to do was idle."""
        spec = StagePoolSpec(1, 2, 4, 0.2, 0.02, 4_000, 4.0)
        scheduler = StageScheduler(spec)
        scheduler.freeing.enabled = enabled
        scheduler.set_targets(make_targets("scans", 1), 0.0)
        (call,) = scheduler.submit(make_job("a", 4), 0.0)
        results = [(f"scans-0/{i}", "") for i in range(4)]
        scheduler.complete_call(call.call_id, results, 0.3)
        assert scheduler.submit(make_job("b", 4), 0.3) == []
        actions = scheduler.release("a", 0.3)
        calls = [action for action in actions if isinstance(action, StageCall)]
        assert len(calls) == enabled


class TestHomeDomains:
    def test_requests_with_the_same_shared_part_have_the_same_home(self):
        """Stages and engines that choose differently would move each result."""
        domains = ("fd-2", "fd-0", "fd-1")
        homes = {
            f"part-{i}": choose_home_domain(f"part-{i}", domains) for i in range(60)
        }
        assert set(homes.values()) == set(domains)
        for part_id, home in homes.items():
            assert choose_home_domain(part_id, reversed(domains)) == home
            others = [domain for domain in domains if domain != home]
            assert choose_home_domain(part_id, [*others, home]) == home

    def test_a_request_without_shared_part_or_engines_has_none(self):
        """A request alone has nothing cached, so no engine is nearer than others."""
        own = (("own", 10),)
        shared = (("all", 5), ("site", 4), ("own", 1))
        assert get_last_shared_part(()) == get_last_shared_part(own) == ""
        assert get_last_shared_part(shared) == "site"
        assert choose_home_domain("", ("fd-1",)) == ""
        assert choose_home_domain("site", ()) == ""


class TestLocality:
    @pytest.mark.parametrize("home", ["fd-0", "fd-1", "fd-2"])
    def test_an_idle_pool_makes_large_results_near_their_engine(self, home):
        """Two of three results of 1.5 MB crossed failure domains, as by chance."""
        spec = StagePoolSpec(1, 2, 4, 0.2, 0.02, 20_000_000, 4.0)
        scheduler = StageScheduler(spec)
        scheduler.prefers_home = True
        scheduler.set_targets(make_targets("scans", 3), 0.0)
        (call,) = scheduler.submit(make_job("a", 2, 1_500_000, home), 0.0)
        assert call.target.failure_domain == home

    def test_a_busy_target_near_the_engine_is_not_waited_for(self):
        """Waiting for it would give capacity away."""
        spec = StagePoolSpec(1, 2, 4, 0.2, 0.02, 20_000_000, 4.0)
        scheduler = StageScheduler(spec)
        scheduler.prefers_home = True
        scheduler.set_targets(make_targets("scans", 3), 0.0)
        scheduler.submit(make_job("a", 4, 1_500_000, "fd-1"), 0.0)
        (call,) = scheduler.submit(make_job("b", 4, 1_500_000, "fd-1"), 0.0)
        assert call.target.failure_domain != "fd-1"

    def test_fewer_bytes_cross_failure_domains_and_no_fewer_requests_are_served(self):
        """Links of gateways and engines were busy with results from elsewhere."""
        for site in (HARBOUR, TOURS):
            before = play(site, bursts=())
            after = play(site, bursts=(), prefers_home=True)
            assert after.engine_bytes < 0.95 * before.engine_bytes
            served = [
                world.count("on time") + world.count("late")
                for world in (before, after)
            ]
            assert served[1] > 0.99 * served[0]


class TestReportedLoads:
    def test_a_report_counts_less_than_calls_and_only_while_it_is_new(self):
        """A target that stated a false speed would draw all calls, or get none."""
        load = ReportedLoad()
        assert load.combine(1.0, 0.0) == 1.0
        for stated in (0.0, 1e9):
            load.note(stated, 10.0)
            limit = min(MAX_REPORTED, max(MIN_REPORTED, stated))
            assert abs(load.combine(1.0, 10.0) - 1.0) < 0.5 * abs(limit - 1.0)
            assert load.combine(1.0, 10.0 + REPORT_AGE_S) == 1.0

    def test_more_is_served_by_targets_whose_speed_changes(self):
        """Calls were sent to targets that had become slow since their last call."""
        for site in (HARBOUR, TOURS):
            served = []
            for reports in (False, True):
                world = site.simulate(1)
                world.reports_loads = reports
                vary_speeds(world, LENGTH_S)
                world.run(LENGTH_S)
                served.append(world.count("on time") + world.count("late"))
            assert served[1] > 1.03 * served[0]

    def test_calls_do_not_herd_and_choices_do_not_flap(self):
        """The target that looked fast last would get most of the calls."""
        calls = {}
        for reports in (False, True):
            world = HARBOUR.simulate(1)
            world.reports_loads = reports
            rng = Random(3)

            def change(world=world, rng=rng):
                for fake in world.targets.values():
                    fake.slowness = rng.uniform(0.7, 1.3)
                if world.now < 15.0:
                    world.at(world.now + 0.15, change)

            world.at(0.0, change)
            counts = dict.fromkeys(world.targets, 0)
            begin = world._begin_call

            def count_call(name, scheduler, call, counts=counts, begin=begin):
                counts[call.target.target_id] += 1
                begin(name, scheduler, call)

            world._begin_call = count_call
            world.run(15.0)
            for service in world.specs:
                shares = [
                    number
                    for target_id, number in counts.items()
                    if world.targets[target_id].target.service == service
                ]
                mean = sum(shares) / len(shares)
                assert max(shares) < 1.3 * mean and min(shares) > 0.7 * mean
            calls[reports] = sum(counts.values())
        assert calls[True] < 1.1 * calls[False]


class TestLoadHeader:
    @pytest.mark.parametrize(
        ("text", "slowdown"),
        [
            ("1,0,1,100", 1.0),
            ("3, 2, 8, 250", 2.5),
            ("1 0 1 70.5", 0.705),
            ("1/0/1", None),
        ],
    )
    def test_three_or_four_figures_are_read(self, text, slowdown):
        """Older targets state no speed."""
        notice, unusual = read_load_notice({"X-Server-Load": text})
        assert notice.slowdown == slowdown and notice.slots >= 1 and not unusual

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "x",
            "1,0",
            "1,0,1,nan",
            "1,0,1,-5",
            "1,0,1,0",
            "1,0,0,100",
            "1,,1,100",
            "1,0,1,100,7",
            "1,0,1,1e999",
            "1,0,1,100" * 100,
        ],
    )
    def test_a_malformed_value_is_named_and_not_used(self, text):
        """A target that sends rubbish must not change the schedule."""
        notice, unusual = read_load_notice({"X-Server-Load": text})
        assert notice is None and 0 < len(unusual) <= 100
        assert read_load_notice({}) == (None, "")


class TestGateways:
    SETTINGS = {
        "stage_answer_times": True,
        "stage_memory_reuse": True,
        "result_locality": "home",
        "target_load_reports": True,
    }

    def test_staged_requests_are_served_with_all_settings_on(self):
        """Each result is freed once, although a call may free those that wait."""

        async def scenario(testbed):
            gateway = await testbed.add_gateway("gateway-1", **self.SETTINGS)
            headers = {
                **PROMPT,
                "X-Prefix-Hash": "all:30,own:10",
                "X-Pieces": "2,3",
                "X-Piece-Key": "k",
            }
            for _ in range(3):
                answers = await asyncio.gather(
                    *(
                        testbed.send_request("/advice/a", "POST", **headers)
                        for _ in range(4)
                    )
                )
                assert [status for status, _, _ in answers] == [200] * 4
            stages = [t for t in testbed.targets.values() if t.service == "repair"]
            made = sum(sum(target.batches) for target in stages)
            await wait_until(
                lambda: sum(len(target.freed) for target in stages) >= made
            )
            freed = [handle for target in stages for handle in target.freed]
            assert made == 12 * 5 and len(freed) == len(set(freed)) == made
            text = generate_latest(gateway.metrics.registry).decode()
            name = "firworks_staged_answer_seconds_count"
            assert f'{name}{{service="engines"}} 12.0' in text

        play_testbed(scenario, gateways=0)

    def test_jobs_name_the_home_domain_only_when_asked(self):
        """A deployment in service is scheduled as before."""

        async def serve(locality):
            async with run_testbed(0) as testbed:
                await testbed.add_target(PlatformEngine, "far", "engines", "fd-2")
                gateway = await testbed.add_gateway("g", result_locality=locality)
                jobs = []
                submit = gateway.pools._client.submit

                def record(service, job, now):
                    if service == "repair":
                        jobs.append(job)
                    return submit(service, job, now)

                gateway.pools._client.submit = record
                headers = {**PROMPT, "X-Pieces": "2,3", "X-Piece-Key": "k"}
                await testbed.send_request("/advice/a", "POST", **headers)
                return {job.home_domain for job in jobs}

        assert asyncio.run(serve("off")) == {""}
        home = choose_home_domain("a1", ("fd-1", "fd-2"))
        assert asyncio.run(serve("home")) == {home}
