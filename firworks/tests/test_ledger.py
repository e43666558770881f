"""Tests of the ledger over several real kernels and a faulty log model.

Each guard has a scenario that holds with it and breaks when it is dropped.
"""

import pytest

from firworks.kernel.fleet.events import MEMBER_ALIVE, MEMBER_DEAD, MemberChanged
from firworks.kernel.ledger.claims import (
    CLAIM_EXPIRED,
    CLAIM_FULL,
    CLAIM_IN_PROGRESS,
    CLAIM_NOT_RUN,
    CLAIM_OUTCOME,
    CLAIM_REUSED,
    CLAIM_UNAVAILABLE,
    CLAIM_UNKNOWN,
    LATE_OUTCOME_GRACE_S,
    MAX_DEADLINE_S,
    ClaimReleased,
    ClaimRequested,
    WorkKey,
)
from firworks.kernel.ledger.entries import KeyEntry, digest_text
from firworks.kernel.ledger.holder import MAX_QUEUED_RECORDS, ClaimHolder
from firworks.kernel.ledger.ledger import Ledger
from firworks.kernel.ledger.writers import WriterSelector
from firworks.kernel.ledger.records import (
    ClaimRecord,
    LookupRequested,
    OutcomeRecord,
    ReleaseRecord,
    ResolutionRecord,
    ResolutionRequested,
    UnknownRecord,
)
from firworks.kernel.ledger.state import LedgerState
from firworks.kernel.log_reader import StreamReader
from firworks.kernel.messages import LogEntry, LogRead, RecordsAppended
from firworks.tests.ledger_simulation import EPOCH_S, SKEW_S, WINDOW_S, World

STREAM = "ledger-0"
VOID_CLAIM = LedgerState.apply_release


def key(name="k"):
    return WorkKey("account", "service", name)


def request(claim_id, work="k", fingerprint=b"f", issued_s=EPOCH_S, deadline_s=8.0):
    return ClaimRequested(claim_id, key(work), fingerprint, issued_s, deadline_s)


def claim_record(claim_id, issued_s=EPOCH_S, fingerprint=b"f"):
    return ClaimRecord(claim_id, key(), fingerprint, issued_s)


def states(world, claim_id):
    return [word.state for word in world.words.get(claim_id, [])]


def win(world, name, claim_id, **fields):
    """Let a claim win and dispatch it."""
    world.claim(name, request(claim_id, deadline_s=world.now + 8, **fields))
    world.run(1.0)
    assert claim_id in world.daemons[name].parts[-1].won
    assert world.dispatch(name, claim_id)


def ask(world, name, claim_id, **fields):
    """Send a claim and return the states it was refused with."""
    world.claim(name, request(claim_id, deadline_s=world.now + 8, **fields))
    world.run(1.0)
    return states(world, claim_id)


def wins(world, name, claim_id):
    ask(world, name, claim_id)
    return claim_id in world.daemons[name].parts[-1].won


class TestLedger:
    def test_one_of_concurrent_claims_wins_and_the_rest_get_its_response(self):
        world = World()
        for name in world.names:
            world.claim(name, request(f"{name}/1"))
        world.run(1.0)
        (name,) = [n for n, d in world.daemons.items() if d.parts[-1].won]
        assert world.dispatch(name, f"{name}/1")
        world.finish(name, f"{name}/1", b"lent")
        world.run(1.0)
        others = [n for n in world.names if n != name]
        assert [states(world, f"{n}/1") for n in others] == [[CLAIM_OUTCOME]] * 2
        assert ask(world, "a", "a/2") == [CLAIM_OUTCOME]
        world.check()

    def test_an_outcome_survives_a_restart_of_all_daemons(self):
        world = World()
        win(world, "a", "a/1")
        world.finish("a", "a/1", b"lent")
        world.run(1.0)
        for name in world.names:
            world.start(name)
        assert ask(world, "b", "b/1") == [CLAIM_OUTCOME]
        world.check()

    def test_a_claim_of_a_key_in_progress_is_refused_at_its_deadline(self):
        world = World()
        win(world, "a", "a/1")
        assert ask(world, "b", "b/1") == []
        world.run(8.0)
        assert states(world, "b/1") == [CLAIM_IN_PROGRESS]

    def test_a_waiting_claim_wins_after_the_winner_releases(self):
        world = World()
        world.claim("a", request("a/1"))
        world.run(1.0)
        world.claim("b", request("b/1"))
        world.run(1.0)
        world.feed(world.daemons["a"], ClaimReleased("a/1"))
        world.run(1.0)
        assert world.daemons["b"].parts[-1].won == ["b/1"]

    def test_claims_with_unknown_outcome_or_other_fingerprint_are_refused(self):
        world = World()
        win(world, "a", "a/1")
        assert ask(world, "b", "b/1", fingerprint=b"g") == [CLAIM_REUSED]
        world.finish("a", "a/1", None)
        world.run(1.0)
        assert ask(world, "b", "b/2") == [CLAIM_UNKNOWN]

    @pytest.mark.parametrize("age_s", [WINDOW_S + SKEW_S, -2 * SKEW_S])
    def test_a_key_outside_its_window_is_refused_at_once(self, age_s):
        world = World()
        assert ask(world, "a", "a/1", issued_s=EPOCH_S - age_s) == [CLAIM_EXPIRED]

    def test_in_a_log_outage_claims_are_refused_in_time_and_the_key_stays_free(self):
        world = World()
        world.log_down = True
        world.claim("a", request("a/1"))
        world.run(9.0)
        assert states(world, "a/1") == [CLAIM_UNAVAILABLE]
        world.log_down = False
        world.run(5.0)
        assert wins(world, "b", "b/1")

    def test_the_outage_queue_is_bounded(self):
        world = World()
        world.log_down = True
        for number in range(MAX_QUEUED_RECORDS + 1):
            world.claim("a", request(f"a/{number}", work=str(number)))
        assert list(world.words) == [f"a/{MAX_QUEUED_RECORDS}"]
        assert states(world, f"a/{MAX_QUEUED_RECORDS}") == [CLAIM_UNAVAILABLE]

    @pytest.mark.parametrize("cut", ["a", "b", "c"])
    def test_a_daemon_cut_off_from_the_log_is_served_by_a_peer(self, cut):
        world = World()
        world.cut[cut, "log"] = True
        world.run(1.0)
        for name in world.names:
            world.claim(name, request(f"{name}/1", work=name))
        world.run(3.0)
        won = [d.parts[-1].won for d in world.daemons.values()]
        assert won == [["a/1"], ["b/1"], ["c/1"]]

    def test_a_daemon_cut_off_from_its_peers_writes_directly(self):
        world = World()
        for name in ("b", "c"):
            world.cut["a", name] = True
            world.cut[name, "a"] = True
        world.claim("a", request("a/1"))
        world.run(4.0)
        assert world.daemons["a"].parts[-1].won == ["a/1"]

    def test_the_usual_writer_and_its_standby_follow_a_stream(self):
        world = World()
        world.run(3.0)
        followers = [n for n, d in world.daemons.items() if d.parts[0].size_bytes]
        assert followers == []
        win(world, "a", "a/1")
        world.run(1.0)
        followers = [n for n, d in world.daemons.items() if d.parts[0].size_bytes]
        assert len(followers) == 2


class TestResolution:
    def resolve(self, world, ran, answer=b""):
        lookup_id = f"lookup/{len(world.lookups)}"
        question = ResolutionRequested(lookup_id, key(), ran, answer)
        world.feed(world.daemons["c"], question)
        world.run(2.0)
        return world.lookups[lookup_id]

    def test_a_key_in_progress_cannot_be_resolved(self):
        world = World()
        win(world, "a", "a/1")
        assert self.resolve(world, False).state == CLAIM_IN_PROGRESS
        world.finish("a", "a/1", b"lent")
        world.run(1.0)
        assert ask(world, "b", "b/1") == [CLAIM_OUTCOME]

    @pytest.mark.parametrize(
        ("ran", "state"), [(True, CLAIM_OUTCOME), (False, CLAIM_NOT_RUN)]
    )
    def test_an_unknown_outcome_is_resolved_once(self, ran, state):
        world = World()
        win(world, "a", "a/1")
        world.finish("a", "a/1", None)
        world.run(1.0)
        assert self.resolve(world, ran, b"lent").state == state
        assert self.resolve(world, not ran, b"other").state == state
        assert ask(world, "b", "b/1") == [state]
        assert world.words["b/1"][0].answer == (b"lent" if ran else b"")

    def test_a_lookup_returns_the_state_or_unavailable_without_the_log(self):
        world = World()
        world.feed(world.daemons["a"], LookupRequested("one", key()))
        world.run(1.0)
        assert world.lookups["one"].state == "free"
        world.log_down = True
        world.feed(world.daemons["a"], LookupRequested("two", key()))
        world.run(11.0)
        assert world.lookups["two"].state == CLAIM_UNAVAILABLE


def late_after_release():
    """A claim that lands after its release must not hold the key."""
    world = World()
    world.claim("a", request("a/1", deadline_s=2.0))
    while not world.log.late:
        world.step(0, "late")
        world.advance(0.01)
    world.advance(2.0)
    world.run(3.0)
    world.land_late()
    assert states(world, "a/1") == [CLAIM_UNAVAILABLE]
    assert wins(world, "b", "b/1")


def duplicated_claim():
    """The second copy of a released claim must not hold the key."""
    world = World()
    world.claim("a", request("a/1"))
    world.run(1.0)
    world.feed(world.daemons["a"], ClaimReleased("a/1"))
    world.run(1.0)
    world.log.append(STREAM, (claim_record("a/1#1"),), world.now)
    assert wins(world, "b", "b/1")


def duplicate_outlives_original():
    """A doubled claim whose first copy and rival were trimmed must not dispatch."""
    world = World()
    win(world, "a", "a/1")
    world.claim("b", request("b/1", deadline_s=1_000.0))
    world.daemons["b"].paused = True
    world.log.append(STREAM, (claim_record("b/1#1"),), world.now)
    world.advance(WINDOW_S - 5.0)
    world.log.append(STREAM, (claim_record("b/1#1"),), world.now)
    world.advance(16.0)
    world.start("a")
    world.start("c")
    world.daemons["b"].paused = False
    world.run(3.0)
    assert world.daemons["b"].parts[-1].won == ["b/1"]
    world.dispatch("b", "b/1")
    world.check()


def decision_after_release():
    """A claim that wins after its request gave it up must not be signalled."""
    world = World()
    world.log_down = True
    world.claim("a", request("a/1"))
    world.feed(world.daemons["a"], ClaimReleased("a/1"))
    world.drain()
    world.log_down = False
    world.log.append(STREAM, (claim_record("a/1#1"),), world.now)
    world.run(4.0)
    assert world.daemons["a"].parts[-1].won == []


def gap_in_reading():
    """A reader that misses an entry must not decide by what follows."""
    world = World()
    world.log.append(STREAM, (ReleaseRecord("none", EPOCH_S),), world.now)
    win(world, "a", "a/1")
    world.log.append(STREAM, (ReleaseRecord("none", EPOCH_S),), world.now)
    for name in world.names:
        world.start(name)
    world.claim("b", request("b/1", deadline_s=world.now + 8))
    for _ in range(60):
        world.step(0, "gap")
        world.advance(0.05)
    assert world.daemons["b"].parts[-1].won == []


def response_of_another_request():
    """A claim that lost must not get the answer of a later request's work."""
    world = World(names=("a",))
    world.claim("a", request("a/1"))
    world.run(1.0)
    world.log.append(STREAM, (claim_record("a/2#1"),), world.now)
    world.feed(world.daemons["a"], ClaimReleased("a/1"))
    world.run(1.0)
    win(world, "a", "a/3", fingerprint=b"g")
    world.finish("a", "a/3", b"for g")
    world.run(1.0)
    ask(world, "a", "a/2")
    world.check()


def resolved_while_paused():
    """A holder that pauses until an operator settled its key must not dispatch."""
    world = World(dedupe_window_s=5_000.0, log_retention_s=9_000.0)
    world.claim("a", request("a/1"))
    world.run(1.0)
    assert world.daemons["a"].parts[-1].won == ["a/1"]
    world.daemons["a"].paused = True
    world.advance(MAX_DEADLINE_S + LATE_OUTCOME_GRACE_S + 2 * SKEW_S)
    world.feed(world.daemons["b"], ResolutionRequested("o/1", key(), False, b""))
    world.run(3.0)
    assert world.lookups["o/1"].state == CLAIM_NOT_RUN
    world.daemons["a"].paused = False
    assert not world.dispatch("a", "a/1")


def full_memory():
    """Over the memory limit new keys are refused and old ones remembered."""
    world = World(ledger_memory_limit_bytes=3_000)
    win(world, "a", "a/1")
    world.finish("a", "a/1", b"lent")
    world.run(1.0)
    said = [ask(world, "b", f"b/{n}", work=str(n)) for n in range(8)]
    assert said[-1] == [CLAIM_FULL]
    assert ask(world, "c", "c/1") == [CLAIM_OUTCOME]


def ignore_early_release(self, record):
    if digest_text(record.claim_id) in self._claims:
        VOID_CLAIM(self, record)


def accept_duplicates(self, record, written_s):
    claim = digest_text(record.claim_id)
    self._claims[claim] = self._decide(claim, record, written_s)


def skip_gaps(self, entries):
    for entry in entries:
        if entry.offset >= self.next_offset:
            self.next_offset = entry.offset + 1
            yield entry


def check_window_only(self, claim_id, now):
    won = self._holder.get_won(claim_id)
    return won is not None and self._in_window(won.issued_s, now)


GUARDS = [
    (late_after_release, LedgerState, "void_claim", ignore_early_release),
    (duplicated_claim, LedgerState, "land_claim", accept_duplicates),
    (duplicate_outlives_original, Ledger, "_in_window", lambda *args: True),
    (decision_after_release, ClaimHolder, "_give_up", lambda *args: None),
    (gap_in_reading, StreamReader, "_follow", skip_gaps),
    (response_of_another_request, LedgerState, "_matches", lambda *args: True),
    (resolved_while_paused, Ledger, "may_dispatch", check_window_only),
    (full_memory, Ledger, "_is_full", lambda self: False),
]


@pytest.mark.parametrize(
    ("scenario", "owner", "name", "dropped"),
    GUARDS,
    ids=lambda v: getattr(v, "__name__", ""),
)
class TestGuards:
    def test_scenario_holds_only_with_its_guard(
        self, scenario, owner, name, dropped, monkeypatch
    ):
        scenario()
        monkeypatch.setattr(owner, name, dropped)
        with pytest.raises(AssertionError):
            scenario()


class TestLedgerState:
    def test_a_claim_appended_outside_its_window_loses(self):
        state = LedgerState(WINDOW_S, SKEW_S)
        late = EPOCH_S + WINDOW_S + 1.0
        state.apply_entry(LogEntry(0, late, (claim_record("a"),)))
        assert state.find_decision(claim_record("a")).state == CLAIM_EXPIRED

    @pytest.mark.parametrize("issued_s", [float("nan"), float("inf"), -1e300, 1e300])
    def test_claims_with_invalid_times_lose_and_are_evicted(self, issued_s):
        state = LedgerState(WINDOW_S, SKEW_S)
        state.apply_entry(LogEntry(0, EPOCH_S, (claim_record("a", issued_s),)))
        assert state.find_decision(claim_record("a")).state == CLAIM_EXPIRED
        state.apply_entry(LogEntry(1, EPOCH_S + 3 * WINDOW_S, ()))
        assert (len(state), state.size_bytes) == (0, 0)

    def test_old_keys_are_evicted_and_their_memory_is_freed(self):
        state = LedgerState(WINDOW_S, SKEW_S)
        state.apply_entry(LogEntry(0, EPOCH_S, (claim_record("a"),)))
        assert isinstance(state.look_up(key()), KeyEntry)
        state.apply_entry(LogEntry(1, EPOCH_S + 3 * WINDOW_S, ()))
        assert (len(state), state.size_bytes, state.look_up(key())) == (0, 0, None)


class TestFailedHolder:
    LONG_S = 10_000.0

    def make_state(self, has_ended=lambda incarnation: False):
        state = LedgerState(self.LONG_S, SKEW_S, has_ended)
        state.apply_entry(LogEntry(0, EPOCH_S, (claim_record("a.1/x"),)))
        return state

    def resolve(self, state, wall_s):
        record = ResolutionRecord("o/1", key(), True, b"lent", wall_s)
        state.apply_entry(LogEntry(1, wall_s, (record,)))
        return state.look_up(key()).state

    def test_a_key_of_an_overdue_holder_can_be_resolved(self):
        overdue_s = EPOCH_S + MAX_DEADLINE_S + LATE_OUTCOME_GRACE_S + SKEW_S
        assert self.resolve(self.make_state(), overdue_s) == CLAIM_IN_PROGRESS
        assert self.resolve(self.make_state(), overdue_s + 1.0) == CLAIM_OUTCOME

    def test_a_resolution_from_before_the_outcome_became_unknown_is_ignored(self):
        state = self.make_state()
        unknown = UnknownRecord("a.1/x")
        early = ResolutionRecord("o/1", key(), False, b"", EPOCH_S + 1.0)
        state.apply_entry(LogEntry(1, EPOCH_S + 2.0, (unknown, early)))
        assert state.look_up(key()).state == CLAIM_UNKNOWN

    def test_a_resend_is_refused_at_once_when_the_holder_has_ended(self):
        state = self.make_state(lambda incarnation: incarnation == "a.1")
        assert state.predict_decision(claim_record("b.1/y")).state == CLAIM_UNKNOWN
        assert state.look_up(key()).state == CLAIM_IN_PROGRESS

    def test_a_late_outcome_of_a_holder_reported_dead_is_stored(self):
        state = self.make_state(lambda incarnation: True)
        outcome = OutcomeRecord("a.1/x", b"lent")
        state.apply_entry(LogEntry(1, EPOCH_S + 9.0, (outcome,)))
        assert state.predict_decision(claim_record("b.1/y")).state == CLAIM_OUTCOME

    def test_ended_incarnations_are_distinguished_from_live_ones(self):
        choice = WriterSelector("b")
        choice.apply_member_change(MemberChanged("a", "a.1", MEMBER_ALIVE))
        assert not choice.has_ended("a.1") and not choice.has_ended("never.1")
        choice.apply_member_change(MemberChanged("a", "a.2", MEMBER_ALIVE))
        assert choice.has_ended("a.1") and not choice.has_ended("a.2")
        choice.apply_member_change(MemberChanged("a", "a.2", MEMBER_DEAD))
        assert choice.has_ended("a.2")
        choice.apply_member_change(MemberChanged("a", "a.2", MEMBER_ALIVE))
        assert not choice.has_ended("a.2")


class TestStreamReader:
    def test_reading_restarts_when_its_position_was_trimmed(self):
        reader = StreamReader("s", 1.0)
        reader.poll(0.0)
        assert len(reader.take(LogRead("s", None, 0, 1, (LogEntry(0, 0.0, ()),)))) == 1
        assert reader.take(LogRead("s", 1, 5, 6, (LogEntry(5, 0.0, ()),))) == ()
        assert reader.restarted and reader.next_offset is None

    def test_a_response_to_another_read_is_ignored(self):
        reader = StreamReader("s", 1.0)
        reader.take(LogRead("s", None, 0, 1, (LogEntry(0, 0.0, ()),)))
        assert reader.take(LogRead("s", 0, 0, 1, (LogEntry(0, 0.0, ()),))) == ()

    def test_append_results_of_other_parts_are_ignored(self):
        world = World(names=("a",))
        world.feed(world.daemons["a"], RecordsAppended("other/1", STREAM, 0))
        assert wins(world, "a", "a/1")
