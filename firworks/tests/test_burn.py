"""Tests of burn counts, their JSON form and the fleet's report."""

import asyncio
import json
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.burn import MAX_PIPELINES, WINDOW_S, BurnRecorder
from firworks.burn_json import pack_struct, parse_snapshot
from firworks.burn_report import Unreachable, merge_snapshots
from firworks.codes import Code
from firworks.document import Document, Pipeline
from firworks.errors import SettingsError
from firworks.kernel.messages import RequestFinished, StageCost
from firworks.tests.test_admin import FakeView, run_admin
from firworks.tools.burn import collect_report, format_report

START_S = 1_000_000.0
SECRET = {"admin_secret": "s3cret"}


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


def make_snapshot(daemon="d1", incarnation="a", version=1, objective=0.9, met=(True,)):
    recorder = BurnRecorder(daemon, incarnation, START_S)
    pipelines = {
        "ask": Pipeline(name="ask", deadline_ms=1, objective=objective, stages=())
    }
    recorder.set_document(version, Document("", pipelines, {}, {}))
    for one in met:
        recorder.record(make_finished(met=one), START_S)
    return recorder.take_snapshot(START_S + 150)


class TestMergeSnapshots:
    def test_counts_add_up_and_the_newest_objective_holds(self):
        first = make_snapshot("d1", version=2, objective=0.5, met=(True, False))
        second = make_snapshot("d2", version=1, objective=0.9, met=(True, True))
        (pipeline,) = merge_snapshots([first, second]).pipelines
        window = pipeline.windows[0]
        assert (window.total, window.met) == (4, 3)
        assert window.attainment == pytest.approx(0.75)
        assert window.burn == pytest.approx(0.5)
        assert window.stages[0].price == pytest.approx(2.0)

    def test_the_same_daemon_counts_once(self):
        snapshot = make_snapshot(met=(True, True))
        (pipeline,) = merge_snapshots([snapshot, snapshot]).pipelines
        assert pipeline.windows[0].total == 2

    def test_restarts_and_silence_lower_the_coverage(self):
        report = merge_snapshots([make_snapshot()], [Unreachable("10.0.0.2:1", "x")])
        coverage = {item.window: item.share for item in report.coverage}
        assert coverage["5m"] == pytest.approx(150 / 600)

    @pytest.mark.parametrize(
        ("objective", "missed", "alert"),
        [(0.99, 0, "none"), (0.99, 2, "ticket"), (0.99, 20, "page"), (0.5, 20, "none")],
    )
    def test_alerts(self, objective, missed, alert):
        met = [True] * (100 - missed) + [False] * missed
        snapshot = make_snapshot(objective=objective, met=met)
        assert merge_snapshots([snapshot]).pipelines[0].alert == alert


class TestCollectReport:
    def test_daemons_that_fail_are_named(self):
        async def run():
            view = FakeView("d1")
            view.burn.record(make_finished(), view.burn.since_s)
            with socket.socket() as taken:
                taken.bind(("127.0.0.1", 0))
                closed = f"127.0.0.1:{taken.getsockname()[1]}"
                async with run_admin(view) as good, run_admin(view, **SECRET) as shut:
                    addresses = [f"127.0.0.1:{good.port}", f"127.0.0.1:{shut.port}"]
                    return await collect_report([*addresses, closed]), addresses, closed

        report, addresses, closed = asyncio.run(run())
        assert report.daemons == ("d1",)
        assert {item.address for item in report.unreachable} == {addresses[1], closed}
        text = "\n".join(format_report(report))
        assert f"UNREACHABLE {closed}" in text
        assert "ask: objective none" in text
