"""Runs the stages of requests: calls, retries, hedges and streamed parts."""

from firworks.codes import Code
from firworks.events import LogEvent
from firworks.kernel.answers import CompleteResponse
from firworks.kernel.callers import SendChunk
from firworks.kernel.calls import (
    RESULT_CANCELLED,
    RESULT_CRASHED,
    RESULT_FAILED,
    RESULT_OK,
    RESULT_REFUSED,
    RESULT_TIMEOUT,
    CallEnded,
    CallFailed,
    CallIdentity,
    CallRequested,
    CallWithdrawn,
    CancelCall,
    StartCall,
)
from firworks.kernel.request_state import Call
from firworks.kernel.ledger.claims import LATE_OUTCOME_GRACE_S
from firworks.kernel.messages import WriteLogEvent, StageCost
from firworks.kernel.prompts import hash_prefix, make_prompt
from firworks.kernel.streams import StreamGapError

MAX_ATTEMPTS = 4

_FAILURE_CODES = {
    RESULT_REFUSED: Code.TARGET_REFUSED,
    RESULT_TIMEOUT: Code.TARGET_FAILED,
    RESULT_FAILED: Code.TARGET_FAILED,
    RESULT_CRASHED: Code.TARGET_FAILED,
}


class StageRunner:
    """Turns stages into calls and answers of calls into the next stage.

    Args:
        incarnation (str): Unique name of this run of the daemon.
        budgets (StageBudgets): Splits the remaining time over the stages.
        owner (Requests): Told when a request is whole or has failed.
    """

    def __init__(self, incarnation, budgets, owner):
        self.incarnation = incarnation
        self.budgets = budgets
        self.owner = owner
        self.calls = {}
        self.dropped_answers = 0
        self._last_call_id = 0

    def start_stage(self, request, index, previous, now):
        """Begin a stage of a request."""
        request.start_stage(index, previous)
        return self.request_call(request, now)

    def request_call(self, request, now, prefer="", hedge_of=0):
        """Ask the scheduling part to place one more attempt at the stage."""
        self._last_call_id += 1
        request.attempts += 1
        identity = CallIdentity(
            self.incarnation,
            request.request_id,
            request.stage_index,
            request.attempts,
        )
        call = Call(self._last_call_id, identity, request)
        request.calls[call.call_id] = call
        self.calls[call.call_id] = call
        return [self._describe_call(call, request, now, prefer, hedge_of)]

    def _describe_call(self, call, request, now, prefer, hedge_of):
        stage = request.stage
        remaining_s = request.deadline_s - now
        budget_s = self.budgets.stage_budget(
            request.pipeline, request.stage_index, remaining_s
        )
        avoid = list(request.failed_targets)
        avoid.extend(other.target for other in request.calls.values() if other.target)
        return CallRequested(
            call_id=call.call_id,
            identity=call.identity,
            account=request.account.name,
            pipeline=request.pipeline.name,
            stage=stage.name,
            pool=stage.pool,
            deadline_s=request.deadline_s,
            budget_s=budget_s,
            repeatable=stage.repeatable,
            deferred=bool(request.deferral_id),
            model=stage.model,
            prefix=self._hash_prefix(request),
            expected_tokens=stage.expected_tokens,
            avoid=tuple(avoid),
            hedge_of=hedge_of,
            alone=request.alone,
            fingerprint=request.fingerprint,
            prefer=prefer,
            version=request.version,
            weight=request.pipeline.attainment_weight,
        )

    def _hash_prefix(self, request):
        if request.pool.kind != "engine":
            return ()
        return hash_prefix(request.stage.model, self._make_prompt(request))

    def _make_prompt(self, request):
        return make_prompt(request.body, request.previous)

    def place_call(self, placed, now):
        """Start a call at the target that the scheduling part chose."""
        call = self.calls.get(placed.call_id)
        if call is None:
            return []
        request = call.request
        stage = request.stage
        timeout_s = placed.timeout_s
        if not stage.repeatable:
            if not self.owner.may_dispatch(request, now):
                return self.owner.expire_claim(request, now)
            request.dispatched.add(call.call_id)
            timeout_s = request.deadline_s - now + LATE_OUTCOME_GRACE_S
        request.begun.add(call.call_id)
        call.target = placed.target
        call.started_s = now
        return [self._start_action(call, request, placed, timeout_s)]

    def _start_action(self, call, request, placed, timeout_s):
        engine = request.pool.kind == "engine"
        return StartCall(
            call_id=call.call_id,
            identity=call.identity,
            target=placed.target,
            kind=request.pool.kind,
            operation=request.stage.operation,
            model=request.stage.model,
            body=self._make_prompt(request) if engine else request.make_stage_body(),
            resume=tuple(request.stream.tokens) if engine else (),
            timeout_s=timeout_s,
            priority=placed.priority,
            repeatable=request.stage.repeatable,
        )

    def reject_call(self, rejected, now):
        """Take note that the scheduling part will not place a call."""
        call = self.calls.pop(rejected.call_id, None)
        if call is None:
            return []
        request = call.request
        del request.calls[call.call_id]
        if request.calls:
            return []
        return self.owner.fail(
            request, rejected.code, now, retry_after_s=rejected.retry_after_s
        )

    def hedge_call(self, wanted, now):
        """Start a second attempt beside a slow one, if the work may repeat."""
        call = self.calls.get(wanted.call_id)
        if call is None or call.first_token_s:
            return []
        request = call.request
        if not request.stage.repeatable or request.attempts >= MAX_ATTEMPTS:
            return []
        return self.request_call(request, now, hedge_of=call.call_id)

    def take_part(self, part, now):
        """Place a part of a streamed answer."""
        call = self.calls.get(part.call_id)
        if call is None:
            return []
        if part.identity != call.echo:
            return self._drop_answer(call, now)
        request = call.request
        results = self._prefer_call(call, now)
        try:
            offset = len(request.stream.tokens)
            new = request.stream.place(part.offset, part.tokens)
        except StreamGapError as error:
            return results + self._fail_call(call, str(error), now)
        if not new:
            return results
        call.tokens += len(new)
        call.first_token_s = call.first_token_s or now
        if request.streams_to_caller and request.caller:
            request.first_token_s = request.first_token_s or now
            results.append(SendChunk(request.request_id, offset, new))
        return results

    def take_answer(self, answered, now):
        """Take a target's whole answer and go on to the next stage."""
        call = self.calls.get(answered.call_id)
        if call is None:
            self.dropped_answers += 1
            return []
        request = call.request
        if answered.identity != call.echo:
            return self._drop_answer(call, now)
        streamed = request.pool.kind == "engine"
        if streamed and answered.count != len(request.stream.tokens):
            detail = f"{len(request.stream.tokens)} of {answered.count} tokens"
            return self._fail_call(call, detail, now)
        results = self._prefer_call(call, now)
        results.append(self._end_call(call, RESULT_OK, now))
        self.budgets.observe(
            request.pipeline.name, request.stage.name, now - call.started_s
        )
        output = self._make_output(request, answered, streamed)
        if request.is_last_stage:
            return results + self.owner.complete(request, output, now)
        previous = "".join(output.tokens) if streamed else output.body
        return results + self.start_stage(
            request, request.stage_index + 1, previous, now
        )

    def _make_output(self, request, answered, streamed):
        if streamed:
            return CompleteResponse(tokens=tuple(request.stream.tokens))
        return CompleteResponse(body=answered.body)

    def take_failure(self, failed, now):
        """Take note that a call failed; `retry_or_fail` follows its `CallEnded`."""
        call = self.calls.get(failed.call_id)
        if call is None or call.failure is not None:
            return []
        call.failure = failed
        if not failed.began:
            call.request.begun.discard(call.call_id)
            call.request.dispatched.discard(call.call_id)
        return [self._describe_end(call, failed.result, now)]

    def retry_or_fail(self, ended, now):
        """Decide what follows a failed call, after all parts have seen its end."""
        call = self.calls.get(ended.call_id)
        if call is None or call.failure is None:
            return []
        request = call.request
        self._forget_call(call)
        request.failed_targets.append(call.target)
        if request.calls:
            return []
        code = _FAILURE_CODES[call.failure.result]
        refusal = self.owner.check_quarantine(request, now)
        if refusal is not None:
            return self.owner.fail(request, refusal, now)
        if not self._may_retry(call, request, now):
            return self.owner.fail(request, code, now, detail=call.failure.detail)
        return self.request_call(request, now, prefer=self._choose_resume(call))

    def _may_retry(self, call, request, now):
        if request.attempts >= MAX_ATTEMPTS or now >= request.deadline_s:
            return False
        return request.stage.repeatable or not call.failure.began

    def _choose_resume(self, call):
        """Return the target whose broken stream may resume there, or ""."""
        request = call.request
        broke = call.failure.result == RESULT_FAILED and call.tokens > 0
        if not broke or call.target in request.resumed_targets:
            return ""
        request.resumed_targets.append(call.target)
        request.failed_targets.remove(call.target)
        return call.target

    def cancel_calls(self, request, now, keep=None):
        """Cancel a request's calls, but for the call `keep`."""
        results = []
        for call in list(request.calls.values()):
            if call is keep:
                continue
            if call.target:
                results.append(CancelCall(call.call_id))
                results.append(self._end_call(call, RESULT_CANCELLED, now))
            else:
                self._forget_call(call)
                results.append(CallWithdrawn(call.call_id))
        return results

    def _prefer_call(self, call, now):
        """Cancel the other attempts at a stage once one of them delivers."""
        if len(call.request.calls) == 1:
            return []
        return self.cancel_calls(call.request, now, keep=call)

    def _drop_answer(self, call, now):
        """Drop an answer that belongs to another call; its connection closes."""
        self.dropped_answers += 1
        note = WriteLogEvent(
            LogEvent.ANSWER_MISMATCHED,
            {"target": call.target, "call": call.echo},
        )
        return [note, *self._fail_call(call, "answer of another call", now)]

    def _fail_call(self, call, detail, now):
        failure = CallFailed(call.call_id, RESULT_FAILED, True, detail)
        return [CancelCall(call.call_id), *self.take_failure(failure, now)]

    def _end_call(self, call, result, now):
        ended = self._describe_end(call, result, now)
        self._forget_call(call)
        return ended

    def _describe_end(self, call, result, now):
        request = call.request
        latency_s = now - call.started_s
        price = latency_s * request.pool.price_per_second
        request.costs.append(StageCost(request.stage.name, latency_s, price))
        first_s = call.first_token_s - call.started_s if call.first_token_s else 0.0
        return CallEnded(
            call_id=call.call_id,
            target=call.target,
            pool=request.stage.pool,
            result=result,
            latency_s=latency_s,
            first_token_s=first_s,
            tokens=call.tokens,
            account=request.account.name,
            fingerprint=request.fingerprint,
            neighbours=self._find_neighbours(call, result),
        )

    def _find_neighbours(self, call, result):
        if result != RESULT_CRASHED:
            return ()
        return tuple(
            other.request.fingerprint
            for other in self.calls.values()
            if other.target == call.target and other.request is not call.request
        )

    def _forget_call(self, call):
        del self.calls[call.call_id]
        del call.request.calls[call.call_id]
