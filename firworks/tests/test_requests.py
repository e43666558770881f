"""Tests of `Requests`: identities, streams, deadlines, claims and shutdown."""

import random

import pytest

from firworks.codes import Code
from firworks.kernel.answers import CompleteResponse, encode_response
from firworks.kernel.callers import (
    CallerDisconnected,
    EndConnections,
    FinishResponse,
    ResultLookupRequested,
    SendChunk,
)
from firworks.kernel.calls import (
    RESULT_CRASHED,
    RESULT_FAILED,
    CallChunk,
    CallCompleted,
    CallFailed,
    CallRejected,
    CallRequested,
    CancelCall,
    HedgeAdvised,
    StartCall,
)
from firworks.kernel.fleet.events import DrainExpired, DrainStarted
from firworks.kernel.ledger.claims import (
    CLAIM_OUTCOME,
    CLAIM_UNAVAILABLE,
    ClaimRefused,
    ClaimReleased,
    ClaimRequested,
    ClaimWon,
    DeferAccepted,
    DeferredDone,
    DeferredReady,
    DeferRefused,
    DeferRequested,
    OutcomeReached,
    OutcomeUnknown,
    ResultFound,
    ResultRequested,
)
from firworks.kernel.messages import RequestFinished, Tick
from firworks.tests.kit import OTHER_TOKEN, RequestHarness, Verdict


@pytest.fixture
def harness():
    return RequestHarness()


def complete(harness, call, body=None, count=-1):
    return harness.feed(
        CallCompleted(call.call_id, call.identity.encode(), body, count)
    )


def send_chunk(harness, call, offset, *tokens):
    return harness.feed(CallChunk(call.call_id, call.identity.encode(), offset, tokens))


def fail(harness, call, result=RESULT_FAILED, began=True):
    return harness.feed(CallFailed(call.call_id, result, began))


def start_generate(harness, request_id="r1"):
    harness.arrive(request_id, "ask")
    complete(harness, harness.started()[-1], {"vector": 1})
    return harness.started()[-1]


class TestPipeline:
    def test_stages_run_in_order_and_the_response_is_streamed(self, harness):
        call = start_generate(harness)
        assert call.kind == "engine"
        send_chunk(harness, call, 0, "a", "b")
        send_chunk(harness, call, 2, "c")
        complete(harness, call, count=3)
        assert harness.tokens("r1") == ["a", "b", "c"]
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran) == (Code.OK, "yes")
        assert ending.tokens == ("a", "b", "c")
        assert harness.requests.idle and harness.gates.in_progress == 0

    def test_swapped_responses_do_not_reach_the_wrong_request(self, harness):
        harness.arrive("r1", "look", body=1)
        harness.arrive("r2", "look", body=2, token=OTHER_TOKEN)
        first, second = harness.started()
        harness.feed(CallCompleted(first.call_id, second.identity.encode(), "two"))
        complete(harness, second, "two")
        assert harness.endings("r2")[0].body == "two"
        assert harness.endings("r1") == []
        retried = harness.started()[2]
        assert retried.identity.request_id == "r1"
        complete(harness, retried, "one")
        assert harness.endings("r1")[0].body == "one"

    def test_late_response_of_a_superseded_attempt_is_dropped(self, harness):
        harness.arrive("r1", "look")
        first = harness.started()[0]
        fail(harness, first)
        complete(harness, first, "late")
        assert harness.endings("r1") == []
        complete(harness, harness.started()[1], "right")
        assert harness.endings("r1")[0].body == "right"

    def test_duplicate_response_of_a_target_is_dropped(self, harness):
        harness.arrive("r1", "look")
        call = harness.started()[0]
        complete(harness, call, "first")
        complete(harness, call, "second")
        assert [ending.body for ending in harness.endings("r1")] == ["first"]

    def test_request_keeps_its_configuration_version(self, harness):
        harness.arrive("r1", "ask")
        harness.requests.version = 9
        complete(harness, harness.started()[0], 1)
        assert {call.version for call in harness.tap.find(CallRequested)} == {1}


class TestStream:
    def test_repeated_chunks_are_dropped(self, harness):
        call = start_generate(harness)
        send_chunk(harness, call, 0, "a", "b")
        send_chunk(harness, call, 0, "a", "b")
        send_chunk(harness, call, 1, "b", "c")
        complete(harness, call, count=3)
        assert harness.tokens("r1") == ["a", "b", "c"]

    def test_gap_fails_the_attempt_and_the_next_resumes(self, harness):
        call = start_generate(harness)
        send_chunk(harness, call, 0, "a")
        actions = send_chunk(harness, call, 5, "f")
        assert CancelCall(call.call_id) in actions
        resumed = harness.started()[-1]
        assert resumed.resume == ("a",)
        send_chunk(harness, resumed, 1, "b")
        complete(harness, resumed, count=2)
        assert harness.tokens("r1") == ["a", "b"]

    def test_truncated_stream_is_not_complete(self, harness):
        call = start_generate(harness)
        send_chunk(harness, call, 0, "a")
        complete(harness, call, count=2)
        assert harness.endings("r1") == []
        assert harness.started()[-1].resume == ("a",)

    def test_broken_stream_resumes_at_the_same_engine_once(self, harness):
        call = start_generate(harness)
        send_chunk(harness, call, 0, "a")
        fail(harness, call)
        resumed = harness.started()[-1]
        assert resumed.target == call.target
        send_chunk(harness, resumed, 1, "b")
        fail(harness, resumed)
        assert harness.started()[-1].target != call.target

    @pytest.mark.parametrize("seed", range(20))
    def test_broken_and_repeated_streams_give_each_token_once(self, harness, seed):
        rng = random.Random(seed)
        expected = [f"t{i}" for i in range(12)]
        start_generate(harness)
        for _ in range(3):
            call = harness.started()[-1]
            position = len(call.resume)
            cut = rng.randrange(position, len(expected) + 1)
            while position < cut:
                step = rng.randrange(1, 4)
                back = rng.randrange(0, 2) if position > len(call.resume) else 0
                part = expected[position - back : min(position + step, cut)]
                send_chunk(harness, call, position - back, *part)
                position = min(position + step, cut)
            fail(harness, call)
        call = harness.started()[-1]
        send_chunk(harness, call, len(call.resume), *expected[len(call.resume) :])
        complete(harness, call, count=len(expected))
        assert harness.tokens("r1") == expected
        assert harness.endings("r1")[0].tokens == tuple(expected)


class TestHedge:
    def test_first_complete_response_wins_and_the_other_call_is_cancelled(
        self, harness
    ):
        harness.arrive("r1", "look")
        first = harness.started()[0]
        harness.feed(HedgeAdvised(first.call_id))
        second = harness.started()[1]
        assert second.target != first.target
        actions = complete(harness, second, "fast")
        assert CancelCall(first.call_id) in actions
        complete(harness, first, "slow")
        assert [ending.body for ending in harness.endings("r1")] == ["fast"]

    def test_non_repeatable_work_is_not_hedged(self, harness):
        harness.arrive("r1", "lend", idempotency_key="k", issued_s=1.0)
        harness.feed(ClaimWon(harness.tap.find(ClaimRequested)[0].claim_id))
        harness.feed(HedgeAdvised(harness.started()[0].call_id))
        assert len(harness.started()) == 1


class TestRefusal:
    @pytest.mark.parametrize(
        ("fields", "code"),
        [
            ({"token": "wrong"}, Code.UNAUTHENTICATED),
            ({"pipeline": "none"}, Code.UNKNOWN_PIPELINE),
            ({"pipeline": "lend"}, Code.IDEMPOTENCY_KEY_REQUIRED),
        ],
    )
    def test_invalid_requests_are_refused_as_not_run(self, harness, fields, code):
        fields = {"pipeline": "look", **fields}
        ending, summary = harness.arrive("r1", **fields)
        assert isinstance(summary, RequestFinished) and not summary.met
        assert (ending.code, ending.ran) == (code, "no")

    def test_limits_refuse_with_retry_after(self, harness):
        harness.gates.admission = Verdict(code=Code.RATE_LIMITED, retry_after_s=2.0)
        ending, _ = harness.arrive("r1", "look")
        assert (ending.code, ending.retry_after_s) == (Code.RATE_LIMITED, 2.0)

    def test_refused_resend_is_not_reported_as_not_run(self, harness):
        harness.gates.admission = Verdict(code=Code.RATE_LIMITED)
        key = {"idempotency_key": "k", "issued_s": 1.0}
        assert harness.arrive("r1", "lend", **key)[0].ran == "unknown"
        key["first_send"] = True
        assert harness.arrive("r2", "lend", **key)[0].ran == "no"

    def test_rejected_call_ends_its_request_at_once(self, harness):
        harness.tap.placing = False
        harness.arrive("r1", "look")
        call = harness.tap.find(CallRequested)[0]
        harness.feed(CallRejected(call.call_id, Code.OVERLOADED, 1.5))
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran) == (Code.OVERLOADED, "no")
        assert ending.retry_after_s == 1.5


class TestDeadline:
    def test_late_work_is_cancelled_at_the_target(self, harness):
        harness.arrive("r1", "look")
        harness.now += 2.5
        actions = harness.feed(Tick(0.0))
        assert CancelCall(harness.started()[0].call_id) in actions
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran) == (Code.DEADLINE_EXCEEDED, "unknown")

    def test_queued_request_past_its_deadline_was_not_run(self, harness):
        harness.tap.placing = False
        harness.arrive("r1", "look", deadline_ms=500)
        harness.now += 0.6
        harness.feed(Tick(0.0))
        assert harness.endings("r1")[0].ran == "no"

    def test_attempts_are_bounded(self, harness):
        harness.arrive("r1", "look")
        for _ in range(10):
            fail(harness, harness.started()[-1], RESULT_CRASHED)
        assert len(harness.started()) == 4
        assert harness.endings("r1")[0].code is Code.TARGET_FAILED

    def test_suspect_is_refused_before_a_retry(self, harness):
        harness.arrive("r1", "look")
        harness.gates.verdict = Verdict(refused=True)
        fail(harness, harness.started()[0], RESULT_CRASHED)
        assert harness.endings("r1")[0].code is Code.QUARANTINED


class TestClaim:
    KEY = {"idempotency_key": "k", "issued_s": 1.0}

    def begin(self, harness, request_id="r1"):
        harness.arrive(request_id, "lend", **self.KEY)
        claim = harness.tap.find(ClaimRequested)[-1]
        assert not harness.started()
        harness.feed(ClaimWon(claim.claim_id))
        return claim.claim_id

    def test_work_waits_for_the_claim_and_its_outcome_is_stored(self, harness):
        claim_id = self.begin(harness)
        (call,) = harness.started()
        assert not call.repeatable
        complete(harness, call, "lent")
        stored = encode_response(CompleteResponse(body="lent"))
        assert harness.tap.find(OutcomeReached) == [OutcomeReached(claim_id, stored)]
        assert harness.endings("r1")[0].code is Code.OK

    def test_resend_gets_the_stored_response(self, harness):
        harness.arrive("r1", "lend", **self.KEY)
        claim_id = harness.tap.find(ClaimRequested)[0].claim_id
        stored = encode_response(CompleteResponse(body="lent"))
        harness.feed(ClaimRefused(claim_id, CLAIM_OUTCOME, stored))
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran, ending.body) == (Code.REPLAYED, "yes", "lent")
        assert harness.started() == []

    def test_dispatched_work_is_never_sent_again(self, harness):
        claim_id = self.begin(harness)
        fail(harness, harness.started()[0], RESULT_FAILED)
        assert len(harness.started()) == 1
        assert harness.tap.find(OutcomeUnknown) == [OutcomeUnknown(claim_id)]
        assert harness.tap.find(ClaimReleased) == []
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran) == (Code.OUTCOME_UNKNOWN, "unknown")

    def test_claim_of_work_that_was_not_started_is_released(self, harness):
        claim_id = self.begin(harness)
        for _ in range(4):
            fail(harness, harness.started()[-1], began=False)
        assert harness.tap.find(ClaimReleased) == [ClaimReleased(claim_id)]
        assert harness.endings("r1")[0].ran == "no"

    def test_request_with_an_expired_key_is_not_dispatched(self, harness):
        harness.gates.dispatch = False
        claim_id = self.begin(harness)
        assert harness.started() == []
        assert harness.tap.find(ClaimReleased) == [ClaimReleased(claim_id)]
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran) == (Code.IDEMPOTENCY_KEY_EXPIRED, "no")

    def test_claim_won_past_the_deadline_is_not_dispatched(self, harness):
        harness.gates.dispatch = False
        harness.arrive("r1", "lend", **self.KEY)
        claim = harness.tap.find(ClaimRequested)[0]
        harness.now += 4.5
        harness.feed(ClaimWon(claim.claim_id))
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran) == (Code.DEADLINE_EXCEEDED, "no")
        assert harness.started() == []

    def test_caller_gets_in_progress_at_the_deadline_and_the_outcome_is_stored(
        self, harness
    ):
        claim_id = self.begin(harness)
        harness.now += 4.5
        harness.feed(Tick(0.0))
        (ending,) = harness.endings("r1")
        assert (ending.code, ending.ran) == (Code.IN_PROGRESS, "unknown")
        complete(harness, harness.started()[0], "late")
        assert harness.tap.find(OutcomeReached)[0].claim_id == claim_id
        assert len(harness.endings("r1")) == 1 and harness.requests.idle

    def test_missing_outcome_becomes_unknown(self, harness):
        claim_id = self.begin(harness)
        for _ in range(2):
            harness.now += 61.0
            harness.feed(Tick(0.0))
        assert harness.tap.find(OutcomeUnknown) == [OutcomeUnknown(claim_id)]
        assert harness.requests.idle

    def test_caller_disconnect_does_not_cancel_claimed_work(self, harness):
        self.begin(harness)
        harness.feed(CallerDisconnected("r1"))
        complete(harness, harness.started()[0], "lent")
        assert len(harness.tap.find(OutcomeReached)) == 1
        assert harness.endings("r1") == []

    def test_claim_won_after_the_end_is_released(self, harness):
        harness.feed(ClaimWon("d1.1/gone"))
        assert harness.tap.find(ClaimReleased) == [ClaimReleased("d1.1/gone")]

    def test_undecided_claim_of_a_first_send_was_not_run(self, harness):
        harness.arrive("r1", "lend", first_send=True, **self.KEY)
        claim_id = harness.tap.find(ClaimRequested)[0].claim_id
        harness.feed(ClaimRefused(claim_id, CLAIM_UNAVAILABLE))
        assert harness.endings("r1")[0].ran == "no"

    def test_request_without_a_ledger_decision_ends_as_unknown(self, harness):
        harness.arrive("r1", "lend", **self.KEY)
        for _ in range(2):
            harness.now += 4.5
            harness.feed(Tick(0.0))
        assert harness.endings("r1")[0].ran == "unknown"
        assert len(harness.tap.find(ClaimReleased)) == 1


class TestCallerDisconnect:
    def test_repeatable_work_is_cancelled(self, harness):
        harness.arrive("r1", "look")
        actions = harness.feed(CallerDisconnected("r1"))
        assert CancelCall(harness.started()[0].call_id) in actions
        assert harness.requests.idle and harness.gates.in_progress == 0


class TestDeferral:
    def test_acceptance_waits_for_the_log(self, harness):
        harness.arrive("r1", "quote", idempotency_key="k")
        harness.arrive("r2", "quote", body={"q": "r1"}, idempotency_key="k")
        first, second = harness.tap.find(DeferRequested)
        assert first.request_id == second.request_id
        assert harness.endings("r1") == []
        harness.feed(DeferAccepted(first.request_id))
        for request_id in ("r1", "r2"):
            (ending,) = harness.endings(request_id)
            assert ending.code is Code.ACCEPTED
            assert ending.body == {"request_id": first.request_id}

    @pytest.mark.parametrize(("may_run", "ran"), [(True, "unknown"), (False, "no")])
    def test_refusal_reports_whether_the_request_may_still_run(
        self, harness, may_run, ran
    ):
        harness.arrive("r1", "quote")
        name = harness.tap.find(DeferRequested)[0].request_id
        harness.feed(DeferRefused(name, may_run))
        assert harness.endings("r1")[0].ran == ran

    def test_log_outage_is_not_reported_as_a_missing_result(self, harness):
        harness.feed(ResultFound("l1", "unavailable"))
        (ending,) = harness.endings("l1")
        assert ending.code is Code.LEDGER_UNAVAILABLE and ending.retry_after_s > 0

    def test_run_has_no_caller_and_reports_its_outcome(self, harness):
        harness.feed(DeferredReady("q1", "club", "quote", b'{"plaque": 1}'))
        (call,) = harness.started()
        send_chunk(harness, call, 0, "x")
        complete(harness, call, count=1)
        (done,) = harness.tap.find(DeferredDone)
        assert done == DeferredDone(
            "q1", encode_response(CompleteResponse(tokens=("x",)))
        )
        assert harness.gates.in_progress == 0

    def test_deferred_runs_count_only_if_they_succeed(self, harness):
        harness.feed(DeferredReady("q1", "club", "quote", b"1"))
        fail_all = [fail(harness, harness.started()[-1]) for _ in range(4)]
        harness.feed(DeferredReady("q1", "club", "quote", b"1"))
        harness.now += 3.0
        complete(harness, harness.started()[-1], count=0)
        summaries = [a for a in harness.actions if isinstance(a, RequestFinished)]
        assert [(s.counted, s.met) for s in summaries] == [(False, False), (True, True)]
        assert len(fail_all) == 4

    def test_failed_run_is_reported_without_a_result(self, harness):
        harness.feed(DeferredReady("q1", "club", "quote", b"1"))
        harness.now += 60.0
        harness.feed(Tick(0.0))
        assert harness.tap.find(DeferredDone) == [DeferredDone("q1", b"")]

    def test_result_is_looked_up_for_its_account(self, harness):
        harness.feed(ResultLookupRequested("l1", OTHER_TOKEN, "q1"))
        assert harness.tap.find(ResultRequested) == [
            ResultRequested("l1", "q1", "school")
        ]
        harness.feed(ResultFound("l1", "open"))
        assert harness.endings("l1")[0].code is Code.IN_PROGRESS


class TestDrain:
    def test_streams_in_progress_complete_and_new_requests_are_refused(self, harness):
        call = start_generate(harness)
        assert harness.feed(DrainStarted()) == [EndConnections()]
        assert not harness.requests.ready
        ending, _ = harness.arrive("r2", "look")
        assert (ending.code, ending.ran) == (Code.DRAINING, "no")
        send_chunk(harness, call, 0, "a")
        complete(harness, call, count=1)
        assert harness.endings("r1")[0].code is Code.OK and harness.requests.idle

    def test_drain_timeout_sends_every_caller_one_response(self, harness):
        harness.arrive("r1", "look")
        harness.tap.placing = False
        harness.arrive("r2", "look")
        actions = harness.feed(DrainExpired())
        endings = [action for action in actions if isinstance(action, FinishResponse)]
        results = {ending.request_id: (ending.code, ending.ran) for ending in endings}
        assert results == {
            "r1": (Code.SHUT_DOWN, "unknown"),
            "r2": (Code.SHUT_DOWN, "no"),
        }


class TestIsolation:
    def test_chunks_go_to_their_own_caller(self, harness):
        first = start_generate(harness, "r1")
        second = start_generate(harness, "r2")
        send_chunk(harness, second, 0, "two")
        send_chunk(harness, first, 0, "one")
        sent = [a for a in harness.actions if isinstance(a, SendChunk)]
        assert {part.request_id: part.tokens for part in sent} == {
            "r1": ("one",),
            "r2": ("two",),
        }
        assert all(isinstance(call, StartCall) for call in harness.started())
