"""Replays of loads on engines whose placements are rated by the expected time."""

import pytest

from firworks.kernel.pools.engines import BY_TIME, BY_TOKENS
from firworks.tests.engine_kit import PARTS, make_job, make_scheduler, place, serve
from firworks.tests.engine_simulation import EngineSimulation, make_kinds

# Factors on the times of engines, by failure domain.
UNEVEN = {"fd-1": 0.7, "fd-2": 0.7, "fd-3": 1.7}
SLIGHTLY_UNEVEN = {"fd-1": 1.0, "fd-2": 1.0, "fd-3": 1.3}
HOT_SHARE = 0.28
LENGTH_S = 40.0


def simulate(
    placement,
    slowness=UNEVEN,
    hot_share=HOT_SHARE,
    change=None,
    length_s=LENGTH_S,
    **settings,
):
    """Return an `EngineSimulation` after some seconds of load.

    Args:
        placement (str): How engines are rated.
        slowness (dict of str to float): Factors of the failure domains.
        hot_share (float): Share of requests for one subject.
        change (callable or None): ``change(simulation)`` is called at half time of
            ``LENGTH_S``.
        length_s (float): Length of the load.
        **settings: As of `EngineSimulation`.
    """
    simulation = EngineSimulation(
        placement, make_kinds(hot_share), slowness, **settings
    )
    if change is not None:
        simulation.at(LENGTH_S / 2, change, simulation)
    simulation.run(length_s)
    return simulation


class TestUnevenEngines:
    """Engines of one failure domain take 2.4 times as long as the others."""

    @pytest.mark.parametrize("slowness", [UNEVEN, SLIGHTLY_UNEVEN])
    def test_first_events_come_earlier_than_by_tokens(self, slowness):
        by_tokens = simulate(BY_TOKENS, slowness)
        by_time = simulate(BY_TIME, slowness)
        for kind in ("manifest", "summary", "chat"):
            before_s = by_tokens.measure_quantile(0.9, kind)
            assert by_time.measure_quantile(0.9, kind) <= before_s
        before_s = by_tokens.measure_quantile(0.9, "manifest")
        assert by_time.measure_quantile(0.9, "manifest") < before_s
        assert by_time.measure_late() <= 0.5 * by_tokens.measure_late()

    def test_slow_engines_get_few_requests_but_some(self):
        counts = simulate(BY_TIME).count_by_domain()
        assert 0 < counts["fd-3"] < 0.1 * sum(counts.values())

    def test_all_requests_are_served(self):
        simulation = simulate(BY_TIME)
        assert not any(one.refused for one in simulation.sent)
        assert max(simulation.list_first_s()) < 1.0

    def test_a_change_of_speeds_is_noticed(self):
        def swap(simulation):
            for engine in simulation.engines.values():
                domain = engine.target.failure_domain
                engine.slowness = {"fd-1": 1.7, "fd-2": 0.7, "fd-3": 0.7}[domain]

        simulation = simulate(BY_TIME, change=swap)
        assert simulation.measure_late(None, LENGTH_S / 2 + 10.0) < 0.005

    def test_recovered_engines_get_requests_again(self):
        def recover(simulation):
            for engine in simulation.engines.values():
                engine.slowness = 0.7

        slow = simulate(BY_TIME, length_s=4 * LENGTH_S).count_by_domain()
        recovered = simulate(BY_TIME, change=recover, length_s=4 * LENGTH_S)
        assert recovered.count_by_domain()["fd-3"] > 3 * slow["fd-3"]

    def test_an_engine_that_stalls_gets_few_requests(self):
        def stall(simulation):
            simulation.engines["engine-0"].stalled = True

        simulation = simulate(BY_TIME, change=stall)
        lost = [one for one in simulation.sent if one.first_s is None]
        assert len(lost) <= 5


class TestHotParts:
    """One subject gets 28 of 100 requests, and 1,220 subjects share 4 first parts."""

    def test_hot_parts_do_not_delay_first_events(self):
        hot, even = simulate(BY_TIME), simulate(BY_TIME, hot_share=0.0)
        limit_s = 1.25 * even.measure_quantile(0.9, "manifest")
        assert hot.measure_quantile(0.9, "manifest") < limit_s

    def test_few_shared_tokens_are_read_again(self):
        simulation = simulate(BY_TIME)
        assert simulation.reread_tokens < 0.04 * simulation.read_tokens

    def test_a_hot_part_is_served_by_several_engines_and_a_cooled_one_by_one(self):
        scheduler = make_scheduler(12)
        hot, now = set(), 0.0
        for number in range(60):
            hot.add(place(scheduler, make_job(f"hot{number}"), now).target_id)
            if number % 6 == 5:
                now += 0.4
                for job in range(number - 5, number + 1):
                    scheduler.note_begun(f"hot{job}", now)
                    scheduler.end(f"hot{job}", False, now)
        assert len(hot) > 1
        now += 60.0
        cooled = {
            serve(scheduler, make_job(f"cool{i}"), now + 5.0 * i).target_id
            for i in range(10)
        }
        assert len(cooled) == 1

    def test_a_subject_stays_at_its_engine(self):
        scheduler = make_scheduler(70)
        first = serve(scheduler, make_job("a"), 0.0)
        assert serve(scheduler, make_job("b"), 5.0) == first

    def test_a_new_scheduler_places_subjects_where_the_last_one_did(self):
        chosen = []
        for _ in range(2):
            scheduler = make_scheduler(70)
            jobs = [
                make_job(f"j{number}", (("first", 2520), (f"s{number}", 3780)))
                for number in range(40)
            ]
            chosen.append(
                [serve(scheduler, job, 30.0 * i) for i, job in enumerate(jobs)]
            )
        same = sum(one == other for one, other in zip(*chosen, strict=True))
        assert same == 40

    def test_a_new_scheduler_causes_few_late_first_events(self):
        simulation = simulate(BY_TIME, change=EngineSimulation.replace_scheduler)
        assert simulation.measure_late(None, LENGTH_S / 2) < 0.01

    def test_requests_without_parts_spread_over_the_engines(self):
        scheduler = make_scheduler(10)
        chosen = {
            serve(scheduler, make_job(f"j{i}", part_ids=(), part_tokens=()), i, 0.31)
            for i in range(10)
        }
        assert len(chosen) == 10


class TestLocality:
    """Stage results of megabytes are in one failure domain."""

    def choose(self, scheduler, name, domain, now, parts=PARTS):
        job = make_job(name, parts, input_domains=(domain,), input_bytes=(3_750_000,))
        return place(scheduler, job, now).failure_domain

    @pytest.mark.parametrize("domain", ["fd-0", "fd-1", "fd-2"])
    def test_a_new_subject_goes_to_the_domain_of_its_results(self, domain):
        assert self.choose(make_scheduler(70), "a", domain, 0.0) == domain

    @pytest.mark.parametrize("at_home", [False, True])
    def test_fewer_results_cross_domains_than_by_tokens(self, at_home):
        even = dict.fromkeys(UNEVEN, 1.0)
        by_time = simulate(BY_TIME, even, at_home=at_home).remote_bytes
        assert by_time < simulate(BY_TOKENS, even, at_home=at_home).remote_bytes

    def test_the_weight_of_waste_trades_time_for_bytes(self):
        light = simulate(BY_TIME, waste_weight=1.0, at_home=True)
        heavy = simulate(BY_TIME, waste_weight=5.0, at_home=True)
        assert heavy.remote_bytes < 0.8 * light.remote_bytes
        assert heavy.measure_quantile(0.9) >= light.measure_quantile(0.9)

    def test_cached_parts_outweigh_the_results(self):
        scheduler = make_scheduler(70)
        home = serve(scheduler, make_job("a"), 0.0).failure_domain
        other = next(d for d in ("fd-0", "fd-1", "fd-2") if d != home)
        assert self.choose(scheduler, "b", other, 1.0) == home

    def test_a_longer_wait_outweighs_the_results(self):
        scheduler = make_scheduler(3)
        assert self.choose(scheduler, "before", "fd-1", 0.0, (("x", 9000),)) == "fd-1"
        assert self.choose(scheduler, "a", "fd-1", 0.0) != "fd-1"
