"""Tests of deferred requests with several kernels and fault injection in a log."""

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
from firworks.tests.ledger_simulation import (
    EPOCH_S,
    RETENTION_S,
    LedgerSimulation,
    settings_for,
)

NAMES = ("a", "b", "c")


class Runner(Part):
    """Test double of the request part: records replies and assigned runs."""

    def __init__(self, sim, name):
        self.sim = sim
        self.name = name

    def handle(self, event, now):
        if isinstance(event, DeferredReady):
            self.sim.runs.append((self.name, event.request_id))
        elif isinstance(event, DeferAccepted | DeferRefused):
            self.sim.replies[event.request_id] = event
        elif isinstance(event, ResultFound):
            self.sim.lookups[event.lookup_id] = event
        return []


def make_parts(sim, name):
    sim.runs = []
    return [DeferredQueue(settings_for(name, **sim.settings)), Runner(sim, name)]


def make_simulation():
    return LedgerSimulation(NAMES, make_parts)


def defer(sim, name, request_id, caller_timeout_s=8.0):
    deadline_s = sim.now + caller_timeout_s
    event = DeferRequested(request_id, "account", "quote", b"{}", deadline_s)
    sim.deliver(sim.daemons[name], event)


def end_runs(sim, has_response=True):
    """End every run; with `has_response`, each gives a different response."""
    runs, sim.runs = sim.runs, []
    for number, (name, request_id) in enumerate(runs):
        if sim.daemons[name].paused:
            sim.runs.append((name, request_id))
            continue
        text = f"{request_id} by {name} {sim.now} {number}" if has_response else ""
        sim.deliver(sim.daemons[name], DeferredDone(request_id, text.encode()))


def find(sim, name, request_id, account="account", wait_s=2.0):
    lookup_id = f"lookup/{len(sim.lookups)}"
    event = ResultRequested(lookup_id, request_id, account)
    sim.deliver(sim.daemons[name], event)
    sim.run(wait_s)
    return sim.lookups[lookup_id]


class TestDeferred:
    def test_result_of_an_accepted_request_is_found_at_any_daemon(self):
        sim = make_simulation()
        defer(sim, "a", "r")
        sim.run(1.0)
        assert sim.replies["r"] == DeferAccepted("r")
        assert find(sim, "b", "r").state == RESULT_OPEN
        end_runs(sim)
        sim.run(1.0)
        found = [find(sim, name, "r") for name in NAMES]
        assert {f.state for f in found} == {RESULT_DONE}
        assert len({f.response for f in found}) == 1
        assert find(sim, "a", "r", account="other").state == RESULT_MISSING
        assert find(sim, "a", "none").state == RESULT_MISSING

    def test_an_accepted_request_survives_a_restart_of_all_daemons(self):
        sim = make_simulation()
        defer(sim, "a", "r")
        sim.run(1.0)
        for name in NAMES:
            sim.start(name)
        sim.run(5.0)
        end_runs(sim)
        sim.run(1.0)
        assert find(sim, "c", "r").state == RESULT_DONE

    def test_a_paused_runner_is_replaced_and_the_first_response_counts(self):
        sim = make_simulation()
        defer(sim, "a", "r")
        sim.run(1.0)
        (first, _) = sim.runs[0]
        sim.daemons[first].paused = True
        for daemon in sim.daemons.values():
            if not daemon.paused:
                sim.set_status(daemon, first, MEMBER_DEAD)
        sim.run(12.0)
        assert len(sim.runs) > 1
        end_runs(sim)
        sim.run(1.0)
        response = find(sim, next(n for n in NAMES if n != first), "r").response
        sim.daemons[first].paused = False
        end_runs(sim)
        sim.run(5.0)
        assert response and find(sim, first, "r").response == response

    def test_a_run_without_a_response_is_retried(self):
        sim = make_simulation()
        defer(sim, "a", "r")
        sim.run(1.0)
        end_runs(sim, has_response=False)
        sim.run(4.0)
        assert [request_id for _, request_id in sim.runs] == ["r"]

    def test_in_an_outage_requests_are_refused_in_time_as_possibly_running(self):
        sim = make_simulation()
        sim.log_down = True
        defer(sim, "a", "r")
        sim.run(9.0)
        assert sim.replies["r"] == DeferRefused("r", may_run=True)
        assert find(sim, "a", "r", wait_s=6.0).state == RESULT_UNAVAILABLE

    def test_an_open_request_is_reappended_before_its_entry_is_trimmed(self):
        sim = make_simulation()
        defer(sim, "a", "r")
        for _ in range(4):
            sim.run(RETENTION_S / 2, step_s=1.0)
        for name in NAMES:
            sim.start(name)
        sim.run(5.0)
        assert find(sim, "a", "r").state == RESULT_OPEN

    @pytest.mark.parametrize("cut", NAMES)
    def test_a_daemon_cut_off_from_the_log_accepts_through_a_peer(self, cut):
        sim = make_simulation()
        sim.cut[cut, "log"] = True
        defer(sim, cut, "r")
        sim.run(4.0)
        assert sim.replies["r"] == DeferAccepted("r")

    @settings(max_examples=25)
    @given(seed=st.integers(0, 2**32), level=st.integers(0, 4))
    def test_what_was_accepted_is_answered_once_in_the_end(self, seed, level):
        sim = make_simulation()
        disturb(sim, Random(seed), level)
        sim.log_down = False
        sim.cut.clear()
        for daemon in sim.daemons.values():
            daemon.paused = False
        for _ in range(12):
            sim.run(2.0, step_s=0.2)
            end_runs(sim)
        accepted = [i for i, w in sim.replies.items() if isinstance(w, DeferAccepted)]
        for request_id in accepted:
            found = [find(sim, name, request_id) for name in NAMES]
            assert [f.state for f in found] == [RESULT_DONE] * len(NAMES)
            responses = {f.response for f in found} | sim.seen.get(request_id, set())
            assert len(responses) == 1


def disturb(sim, rng, level):
    """Accept, run and look up requests with random fault injection."""
    sim.seen = {}
    for number in range(300):
        faulty = rng.randrange(8) < level
        fault = rng.choice(("lose", "fail", "late", "double", "gap"))
        sim.step(rng.randrange(4), fault if faulty else "ok")
        if rng.randrange(4) == 0:
            sim.advance(rng.choice((0.05, 0.3, 1.0)))
        name = rng.choice(NAMES)
        turn = rng.randrange(100)
        if turn < 4 and not sim.daemons[name].paused:
            defer(sim, name, f"r{number}", rng.choice((1.0, 8.0)))
        elif turn < 8:
            end_runs(sim, has_response=rng.randrange(3) > 0)
        elif turn < 10:
            sim.append_delayed(rng.randrange(4))
        elif turn < 14 and level:
            change_fault(sim, rng, name)
        record_results(sim)


def change_fault(sim, rng, name):
    kind = rng.randrange(5)
    if kind == 0:
        runs = [run for run in sim.runs if run[0] != name]
        sim.start(name)
        sim.runs = runs
    elif kind == 1:
        sim.daemons[name].paused = not sim.daemons[name].paused
    elif kind == 2:
        sim.cut[name, "log"] = not sim.cut.get((name, "log"))
    elif kind == 3:
        sim.cut[name, rng.choice(NAMES)] = rng.randrange(2) == 0
    else:
        sim.log_down = not sim.log_down


def record_results(sim):
    """Record the results that each daemon which follows the stream would return."""
    for daemon in sim.daemons.values():
        stream = daemon.parts[0]._stream
        for request_id in [i for i in sim.replies if stream is not None]:
            state, response = stream.state.find(request_id, "account")
            if state == RESULT_DONE:
                sim.seen.setdefault(request_id, set()).add(response)


class TestDeferredState:
    def test_the_first_response_counts_and_expires(self):
        state = DeferredState(result_ttl_s=10.0)
        accept = AcceptRecord("r", "account", "quote", b"{}", EPOCH_S)
        done = [DoneRecord("r", "account", response) for response in (b"1", b"2")]
        state.apply_entry(LogEntry(0, EPOCH_S, (accept, *done, accept)))
        assert state.find("r", "account") == (RESULT_DONE, b"1")
        state.apply_entry(LogEntry(1, EPOCH_S + 11.0, ()))
        assert (state.find("r", "account")[0], state.size_bytes) == (RESULT_MISSING, 0)

    def test_a_copy_appended_too_late_is_ignored(self):
        state = DeferredState(result_ttl_s=10.0)
        accept = AcceptRecord("r", "account", "quote", b"{}", EPOCH_S - 9_000.0)
        state.apply_entry(LogEntry(0, EPOCH_S, (accept,)))
        assert state.open == {}
