"""Tests of the learned speeds of engines and of the loads derived from them."""

import pytest

from firworks.gateway.metrics import SHOWN_AGE_S, SHOWN_ENGINES, GatewayMetrics
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.pools.engine_loads import EngineLoad, Reading
from firworks.kernel.pools.engine_speeds import HALF_LIFE_S, EngineSpeed, EngineSpeeds


def make_engine(number=0, domain="fd-1"):
    """Return a `Target` of an engine pool."""
    name = f"engine-{number}"
    return Target(name, "engine", "10.0.0.1:80", domain, "", 16, False, 1, 0.0)


class TestEngineSpeeds:
    """Engines are 1.7 and 2.4 times slower by failure domain, and change over time."""

    def record(self, speeds, target, factor, count=10, begin_s=0.0):
        for number in range(count):
            speeds.record(target, 0.1 * factor, 0.1, begin_s + number)

    def test_a_new_scheduler_starts_from_the_usual_speed(self):
        speeds = EngineSpeeds()
        assert speeds.get_slowness(make_engine(), 5.0) == 1.0
        described = speeds.describe(make_engine(), 5.0)
        assert (described.samples, described.age_s) == (0, float("inf"))

    def test_the_speed_of_a_slow_engine_is_learned(self):
        speeds = EngineSpeeds()
        self.record(speeds, make_engine(0), 2.4)
        self.record(speeds, make_engine(1), 1.0)
        assert 1.9 < speeds.get_slowness(make_engine(0), 10.0) < 2.5
        assert 0.9 < speeds.get_slowness(make_engine(1), 10.0) < 1.4
        described = speeds.describe(make_engine(0), 10.0)
        assert (described.samples, described.age_s) == (10, 1.0)

    def test_an_unknown_engine_is_rated_as_its_failure_domain(self):
        speeds = EngineSpeeds()
        for number in range(5):
            self.record(speeds, make_engine(number, "fd-1"), 0.7)
            self.record(speeds, make_engine(10 + number, "fd-3"), 1.7)
        near = speeds.get_slowness(make_engine(8, "fd-1"), 10.0)
        far = speeds.get_slowness(make_engine(18, "fd-3"), 10.0)
        assert far > 1.8 * near

    def test_one_outlier_does_not_exclude_an_engine(self):
        # A lost message or a restart of a gateway looks like an answer after seconds.
        speeds = EngineSpeeds()
        self.record(speeds, make_engine(), 1.0)
        speeds.record(make_engine(), 30.0, 0.1, 10.0)
        assert speeds.get_slowness(make_engine(), 10.0) < 1.35

    def test_a_slow_engine_without_samples_is_rated_as_usual_again(self):
        # It would otherwise never get the requests that show that it has recovered.
        speeds = EngineSpeeds()
        self.record(speeds, make_engine(0), 2.4)
        self.record(speeds, make_engine(1, "fd-2"), 1.0)
        after_s = 10.0 + 8 * HALF_LIFE_S
        assert speeds.get_slowness(make_engine(0), after_s) < 1.1

    def test_a_change_of_speed_shows_within_a_half_life(self):
        speeds = EngineSpeeds()
        self.record(speeds, make_engine(), 2.4, count=30)
        self.record(speeds, make_engine(), 0.7, count=30, begin_s=30.0)
        assert speeds.get_slowness(make_engine(), 60.0) < 1.2

    def test_short_prompts_weigh_less_than_long_ones(self):
        # Their times are mostly delays of the network, which vary.
        speeds = EngineSpeeds()
        for number in range(10):
            speeds.record(make_engine(), 0.3, 0.3, number)
            speeds.record(make_engine(), 0.06, 0.02, number)
        assert speeds.get_slowness(make_engine(), 10.0) < 1.2

    def test_engines_that_are_gone_are_forgotten(self):
        speeds = EngineSpeeds()
        self.record(speeds, make_engine(0), 2.4)
        self.record(speeds, make_engine(1), 1.0)
        speeds.keep({make_engine(1).incarnation})
        assert speeds.describe(make_engine(0), 10.0).samples == 0
        assert speeds.describe(make_engine(1), 10.0).samples == 10


class TestEngineLoads:
    """The wait at an engine is known from the prompts that it has not read."""

    def test_the_wait_is_the_time_of_the_unread_prompts_at_its_speed(self):
        load = EngineLoad(make_engine())
        load.slowness = 2.0
        load.begin("a", Reading(0.1, 0.0, 0.1), 0.0)
        load.begin("b", Reading(0.3, 0.0, 0.4), 0.0)
        assert load.estimate_wait_s(0.0) == pytest.approx(0.8)
        assert load.estimate_wait_s(0.15) == pytest.approx(0.65)
        load.pop_reading("a", 0.2)
        assert load.estimate_wait_s(0.2) == pytest.approx(0.6)
        load.end("b", 0.3)
        assert load.estimate_wait_s(0.3) == 0.0
        assert load.running == 1

    def test_an_engine_that_stalls_does_not_look_idle(self):
        load = EngineLoad(make_engine())
        load.begin("a", Reading(0.1, 0.0, 0.1), 0.0)
        assert load.estimate_wait_s(0.1) == pytest.approx(0.0)
        assert load.estimate_wait_s(1.1) == pytest.approx(1.0)

    def test_prompts_that_report_no_first_event_do_not_count_for_ever(self):
        # Responses that are not streamed have no first event before their end.
        load = EngineLoad(make_engine())
        load.begin("buffered", Reading(0.1, 0.0, 0.1), 0.0)
        load.begin("streamed", Reading(0.1, 0.0, 0.2), 0.0)
        assert load.pop_reading("streamed", 0.2).expected_s == 0.2
        assert load.estimate_wait_s(0.2) == 0.0
        load.end("buffered", 0.5)
        load.end("streamed", 0.5)
        assert load.running == 0

    def test_a_cancelled_prompt_no_longer_counts(self):
        load = EngineLoad(make_engine())
        for name in "abc":
            load.begin(name, Reading(0.1, 0.0, 0.1), 0.0)
        load.end("b", 0.0)
        assert load.estimate_wait_s(0.0) == pytest.approx(0.2)
        load.end("a", 0.05)
        assert load.estimate_wait_s(0.05) == pytest.approx(0.1)


class TestSpeedMetrics:
    """The learned speeds are shown by engine; the number of series is bounded."""

    def show(self, metrics, count, age_s=1.0):
        speeds = [EngineSpeed(f"e{i}", 1.0 + i, 3, age_s) for i in range(count)]
        metrics._show_speeds({"engines": speeds, "empty": []})
        return {
            sample.labels["target"]: sample.value
            for family in metrics.engine_slowness.collect()
            for sample in family.samples
        }

    def test_the_slowest_engines_are_shown(self):
        metrics = GatewayMetrics()
        shown = self.show(metrics, 70)
        assert len(shown) == SHOWN_ENGINES
        assert shown["e69"] == 70.0 and "e0" not in shown
        assert metrics.engines_rated.labels("engines")._value.get() == 70

    def test_engines_without_recent_samples_are_not_shown(self):
        metrics = GatewayMetrics()
        self.show(metrics, 70)
        assert self.show(metrics, 70, 2 * SHOWN_AGE_S) == {}
