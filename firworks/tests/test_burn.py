"""Tests of burn counts, their JSON form and the fleet's report."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.burn import MAX_PIPELINES, WINDOW_S, BurnRecorder
from firworks.burn_json import pack_struct, parse_snapshot
from firworks.codes import Code
from firworks.errors import SettingsError
from firworks.kernel.messages import RequestFinished, StageCost

START_S = 1_000_000.0


def make_finished(pipeline="ask", code=Code.OK, met=True, price=0.5):
    costs = (StageCost("generate", 2.0, price),)
    return RequestFinished("r", pipeline, "clubs", code, met, 0.1, costs=costs)


def make_recorder():
    return BurnRecorder("d1", "d1.a", START_S)


def find_window(recorder, wall_s, window):
    (pipeline,) = recorder.take_snapshot(wall_s).pipelines
    return next(item for item in pipeline.windows if item.window == window)


class TestBurnRecorder:
    @given(
        st.lists(
            st.tuples(
                st.floats(0, 2 * WINDOW_S["3d"]), st.booleans(), st.sampled_from(Code)
            ),
            max_size=40,
        )
    )
    def test_windows_hold_what_a_full_history_would(self, items):
        recorder = make_recorder()
        history = sorted(items, key=lambda item: item[0])
        for offset_s, met, code in history:
            recorder.record(make_finished(code=code, met=met), START_S + offset_s)
        end_s = START_S + (history[-1][0] if history else 0)
        for pipeline in recorder.take_snapshot(end_s).pipelines:
            totals = {
                item.window: item.total + item.excluded for item in pipeline.windows
            }
            for window, total in totals.items():
                ages = [end_s - START_S - offset_s for offset_s, _, _ in history]
                # A window's oldest bucket may be partly outside it.
                width_s = WINDOW_S[window] / 30
                assert total >= sum(age < WINDOW_S[window] - width_s for age in ages)
                assert total <= sum(age <= WINDOW_S[window] for age in ages)

    def test_callers_own_errors_do_not_burn(self):
        recorder = make_recorder()
        recorder.record(make_finished(code=Code.RATE_LIMITED, met=False), START_S)
        recorder.record(make_finished(code=Code.OVERLOADED, met=False), START_S)
        window = find_window(recorder, START_S, "5m")
        assert (window.total, window.met, window.excluded) == (1, 0, 1)

    def test_costs_of_a_stage_add_up(self):
        recorder = make_recorder()
        recorder.record(make_finished(price=0.5), START_S)
        recorder.record(make_finished(price=0.25), START_S + 100)
        (stage,) = find_window(recorder, START_S + 101, "1h").stages
        assert (stage.stage, stage.seconds, stage.price) == ("generate", 4.0, 0.75)

    def test_pipelines_are_bounded(self):
        recorder = make_recorder()
        for number in range(5 * MAX_PIPELINES):
            recorder.record(make_finished(pipeline=f"p{number}"), START_S)
        pipelines = recorder.take_snapshot(START_S).pipelines
        assert len(pipelines) == MAX_PIPELINES
        assert sum(item.windows[0].total for item in pipelines) == 5 * MAX_PIPELINES

    def test_clock_that_steps_back_loses_nothing(self):
        recorder = make_recorder()
        recorder.record(make_finished(), START_S)
        recorder.record(make_finished(), START_S - 500)
        assert find_window(recorder, START_S, "5m").total == 2


class TestSnapshotJson:
    def test_round_trip(self):
        recorder = make_recorder()
        recorder.record(make_finished(), START_S)
        snapshot = recorder.take_snapshot(START_S)
        text = json.dumps(pack_struct(snapshot))
        assert parse_snapshot(json.loads(text), "d1") == snapshot

    @pytest.mark.parametrize("table", [None, [], {}, {"daemon": "d1"}])
    def test_other_json_is_refused(self, table):
        with pytest.raises(SettingsError):
            parse_snapshot(table, "d1")
