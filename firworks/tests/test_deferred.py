"""Tests of deferred requests over several real kernels and a faulty log model."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firworks.kernel.deferred.deferred import DeferredQueue
from firworks.kernel.deferred.records import AcceptRecord, DoneRecord
from firworks.kernel.deferred.state import (
    RESULT_DONE,
    RESULT_MISSING,
    RESULT_OPEN,
    RESULT_UNAVAILABLE,
    DeferredState,
)
from firworks.kernel.fleet.events import MEMBER_DEAD
from firworks.kernel.ledger.claims import (
    DeferAccepted,
    DeferredDone,
    DeferredReady,
    DeferRefused,
    DeferRequested,
    ResultFound,
    ResultRequested,
)
from firworks.kernel.messages import LogEntry
from firworks.kernel.node import Part
from firworks.tests.ledger_simulation import EPOCH_S, RETENTION_S, World, settings_for

NAMES = ("a", "b", "c")


class Runner(Part):
    """Stands for the request part: notes every word; runs what it is given."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def handle(self, event, now):
        if isinstance(event, DeferredReady):
            self.world.runs.append((self.name, event.request_id))
        elif isinstance(event, DeferAccepted | DeferRefused):
            self.world.words[event.request_id] = event
        elif isinstance(event, ResultFound):
            self.world.lookups[event.lookup_id] = event
        return []


def make_parts(world, name):
    world.runs = []
    return [DeferredQueue(settings_for(name, **world.settings)), Runner(world, name)]


def make_world():
    return World(NAMES, make_parts)


def defer(world, name, request_id, caller_timeout_s=8.0):
    deadline_s = world.now + caller_timeout_s
    event = DeferRequested(request_id, "account", "quote", b"{}", deadline_s)
    world.feed(world.daemons[name], event)


def end_runs(world, answer=True):
    """End every run; with `answer`, each gives another answer."""
    runs, world.runs = world.runs, []
    for number, (name, request_id) in enumerate(runs):
        if world.daemons[name].paused:
            world.runs.append((name, request_id))
            continue
        text = f"{request_id} by {name} {world.now} {number}" if answer else ""
        world.feed(world.daemons[name], DeferredDone(request_id, text.encode()))


def find(world, name, request_id, account="account", wait_s=2.0):
    lookup_id = f"lookup/{len(world.lookups)}"
    event = ResultRequested(lookup_id, request_id, account)
    world.feed(world.daemons[name], event)
    world.run(wait_s)
    return world.lookups[lookup_id]


class TestDeferred:
    def test_result_of_an_accepted_request_is_found_at_any_daemon(self):
        world = make_world()
        defer(world, "a", "r")
        world.run(1.0)
        assert world.words["r"] == DeferAccepted("r")
        assert find(world, "b", "r").state == RESULT_OPEN
        end_runs(world)
        world.run(1.0)
        found = [find(world, name, "r") for name in NAMES]
        assert {f.state for f in found} == {RESULT_DONE}
        assert len({f.answer for f in found}) == 1
        assert find(world, "a", "r", account="other").state == RESULT_MISSING
        assert find(world, "a", "none").state == RESULT_MISSING

    def test_an_accepted_request_survives_a_restart_of_all_daemons(self):
        world = make_world()
        defer(world, "a", "r")
        world.run(1.0)
        for name in NAMES:
            world.start(name)
        world.run(5.0)
        end_runs(world)
        world.run(1.0)
        assert find(world, "c", "r").state == RESULT_DONE

    def test_a_paused_runner_is_replaced_and_the_first_response_counts(self):
        world = make_world()
        defer(world, "a", "r")
        world.run(1.0)
        (first, _) = world.runs[0]
        world.daemons[first].paused = True
        for daemon in world.daemons.values():
            if not daemon.paused:
                world.show(daemon, first, MEMBER_DEAD)
        world.run(12.0)
        assert len(world.runs) > 1
        end_runs(world)
        world.run(1.0)
        answer = find(world, next(n for n in NAMES if n != first), "r").answer
        world.daemons[first].paused = False
        end_runs(world)
        world.run(5.0)
        assert answer and find(world, first, "r").answer == answer

    def test_a_run_without_a_response_is_retried(self):
        world = make_world()
        defer(world, "a", "r")
        world.run(1.0)
        end_runs(world, answer=False)
        world.run(4.0)
        assert [request_id for _, request_id in world.runs] == ["r"]

    def test_in_an_outage_requests_are_refused_in_time_as_possibly_running(self):
        world = make_world()
        world.log_down = True
        defer(world, "a", "r")
        world.run(9.0)
        assert world.words["r"] == DeferRefused("r", may_run=True)
        assert find(world, "a", "r", wait_s=6.0).state == RESULT_UNAVAILABLE

    def test_an_open_request_is_reappended_before_its_entry_is_trimmed(self):
        world = make_world()
        defer(world, "a", "r")
        for _ in range(4):
            world.run(RETENTION_S / 2, step_s=1.0)
        for name in NAMES:
            world.start(name)
        world.run(5.0)
        assert find(world, "a", "r").state == RESULT_OPEN

    @pytest.mark.parametrize("cut", NAMES)
    def test_a_daemon_cut_off_from_the_log_accepts_through_a_peer(self, cut):
        world = make_world()
        world.cut[cut, "log"] = True
        defer(world, cut, "r")
        world.run(4.0)
        assert world.words["r"] == DeferAccepted("r")

    @settings(max_examples=25)
    @given(seed=st.integers(0, 2**32), level=st.integers(0, 4))
    def test_what_was_accepted_is_answered_once_in_the_end(self, seed, level):
        world = make_world()
        disturb(world, Random(seed), level)
        world.log_down = False
        world.cut.clear()
        for daemon in world.daemons.values():
            daemon.paused = False
        for _ in range(12):
            world.run(2.0, step_s=0.2)
            end_runs(world)
        accepted = [i for i, w in world.words.items() if isinstance(w, DeferAccepted)]
        for request_id in accepted:
            found = [find(world, name, request_id) for name in NAMES]
            assert [f.state for f in found] == [RESULT_DONE] * len(NAMES)
            answers = {f.answer for f in found} | world.seen.get(request_id, set())
            assert len(answers) == 1


def disturb(world, rng, level):
    """Accept, run and look up requests while anything fails."""
    world.seen = {}
    for number in range(300):
        faulty = rng.randrange(8) < level
        fate = rng.choice(("lose", "fail", "late", "double", "gap"))
        world.step(rng.randrange(4), fate if faulty else "ok")
        if rng.randrange(4) == 0:
            world.advance(rng.choice((0.05, 0.3, 1.0)))
        name = rng.choice(NAMES)
        turn = rng.randrange(100)
        if turn < 4 and not world.daemons[name].paused:
            defer(world, name, f"r{number}", rng.choice((1.0, 8.0)))
        elif turn < 8:
            end_runs(world, answer=rng.randrange(3) > 0)
        elif turn < 10:
            world.land_late(rng.randrange(4))
        elif turn < 14 and level:
            change_fault(world, rng, name)
        note_answers(world)


def change_fault(world, rng, name):
    kind = rng.randrange(5)
    if kind == 0:
        runs = [run for run in world.runs if run[0] != name]
        world.start(name)
        world.runs = runs
    elif kind == 1:
        world.daemons[name].paused = not world.daemons[name].paused
    elif kind == 2:
        world.cut[name, "log"] = not world.cut.get((name, "log"))
    elif kind == 3:
        world.cut[name, rng.choice(NAMES)] = rng.randrange(2) == 0
    else:
        world.log_down = not world.log_down


def note_answers(world):
    """Note what each daemon that follows the stream would answer."""
    for daemon in world.daemons.values():
        stream = daemon.parts[0]._stream
        for request_id in [i for i in world.words if stream is not None]:
            state, answer = stream.state.find(request_id, "account")
            if state == RESULT_DONE:
                world.seen.setdefault(request_id, set()).add(answer)


class TestDeferredState:
    def test_the_first_response_counts_and_expires(self):
        state = DeferredState(keep_s=10.0)
        accept = AcceptRecord("r", "account", "quote", b"{}", EPOCH_S)
        done = [DoneRecord("r", "account", answer) for answer in (b"1", b"2")]
        state.apply_entry(LogEntry(0, EPOCH_S, (accept, *done, accept)))
        assert state.find("r", "account") == (RESULT_DONE, b"1")
        state.apply_entry(LogEntry(1, EPOCH_S + 11.0, ()))
        assert (state.find("r", "account")[0], state.size_bytes) == (RESULT_MISSING, 0)

    def test_a_copy_appended_too_late_is_ignored(self):
        state = DeferredState(keep_s=10.0)
        accept = AcceptRecord("r", "account", "quote", b"{}", EPOCH_S - 9_000.0)
        state.apply_entry(LogEntry(0, EPOCH_S, (accept,)))
        assert state.open == {}
