"""Runs the stages of a request and forwards it to a target, with retries."""

import asyncio

from firworks.codes import Code
from firworks.events import LogEvent, log_event
from firworks.gateway.answer_times import AnswerTimeRecorder
from firworks.gateway.answers import (
    ResponseAbortedError,
    make_error_response,
)
from firworks.gateway.exchanges import Exchange
from firworks.gateway.extra_attempts import ExtraAttempts
from firworks.gateway.pools import PoolRefusedError
from firworks.gateway.response_forwarding import ResponseForwarder
from firworks.gateway.stage_runs import StageRun
from firworks.gateway.stream_versions import ResumptionRefusedError
from firworks.gateway.suspensions import Suspensions
from firworks.gateway.target_selection import TargetSelection
from firworks.gateway.verification import (
    is_mismatched,
    log_mismatch,
    raise_failure,
    verify_continuation,
    verify_refusal,
    verify_response,
)
from firworks.kernel.forwarding.admission import (
    compute_caller_timeout_s,
)
from firworks.kernel.forwarding.outcomes import (
    BROKEN,
    INPUTS_GONE,
    NOT_RUN,
    AttemptError,
)
from firworks.kernel.pools.home_domains import (
    choose_home_domain,
    get_last_shared_part,
)
from firworks.kernel.pools.jobs import EngineJob
from firworks.kernel.pools.results import REASON_GONE, REASON_SUSPENDED
from firworks.platform.headers import (
    TargetHeaders,
    build_head,
)

# Minimum time of an engine to process a prompt and generate the first token.
MIN_FIRST_TOKEN_S = 0.06
# The target may have closed connections that idled longer, so that a request sent on
# them fails after it was sent; non-repeatable requests do not use them.
NON_REPEATABLE_MAX_IDLE_S = 1.0


class Relay:
    """Forwards requests to targets.

    Args:
        gateway (Gateway): Provides pools, connections and the target directory.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._selection = TargetSelection(gateway)
        self._suspensions = Suspensions(gateway.crashes)
        self._forwarder = ResponseForwarder(gateway)
        self._attempts = ExtraAttempts(
            gateway,
            self._attempt,
            self._selection,
            self._suspensions,
            self._log_parallel_failure,
        )
        self._answer_times = AnswerTimeRecorder(gateway, MIN_FIRST_TOKEN_S)

    async def serve(self, context):
        """Forward a request; return its response (aiohttp StreamResponse).

        Raises:
            ResponseAbortedError: When a response that has begun cannot be completed.
        """
        remaining_s = context.remaining_s(self._clock())
        try:
            async with self._gateway.shutdown.deadlines.limit(remaining_s):
                return await self._serve(context)
        except TimeoutError:
            return self._handle_timeout(context)
        finally:
            if context.stages is not None:
                context.stages.free()
            self._suspensions.return_trials(context)

    async def _serve(self, context):
        if not await self._suspensions.admit(context):
            return self._reject_quarantined(context)
        self._attempts.record_request(context)
        try:
            await self._find_origin(context)
            return await self._attempt_repeatedly(context)
        except ResumptionRefusedError as error:
            return self._reject_resumption(context, error.reason)

    async def _find_origin(self, context):
        """Find the version at which a caller's stream may be resumed."""
        resumes = context.admitted.request.last_event_id is not None
        if resumes and context.admitted.route.streaming:
            versions = self._gateway.stream_versions
            origin = await versions.find_origin(context)
            versions.resume(context, origin)

    async def _attempt_repeatedly(self, context):
        versions = self._gateway.stream_versions
        while True:
            try:
                versions.follow_version(context)
                await self._run_stages(context)
                return await self._attempts.run(context)
            except PoolRefusedError as error:
                if error.reason != REASON_GONE or context.restarted:
                    return self._handle_pool_refusal(context, error)
                self._restart_stages(context)
            except AttemptError as failure:
                await self._suspensions.settle(context, failure)
                verdict = self._decide_retry(context, failure)
                if not verdict.retry:
                    return await self._handle_final_failure(
                        context, failure, verdict.code
                    )
                if failure.kind == INPUTS_GONE:
                    self._restart_stages(context)

    def _restart_stages(self, context):
        """Discard stage results, some of which are lost, to run the stages again."""
        log_event(LogEvent.STAGES_RESTARTED, request=context.request_id)
        context.restarted = True
        context.stages.free()
        context.stages = None

    async def _handle_final_failure(self, context, failure, code):
        """Forward the target's own error response, if any, or generate one."""
        if failure.answer is not None and context.response is None:
            exchange, body = failure.answer
            return await self._forwarder.send_buffered(context, exchange, body)
        return self._reject(context, code, failure.detail)

    def _decide_retry(self, context, failure):
        now = self._clock()
        budget = self._gateway.retry_budget
        within_budget = self._suspensions.may_resend(context, failure) and (
            not failure.sent or budget.try_acquire(context.service, now)
        )
        verdict = context.progress.judge(
            failure, context.remaining_s(now), within_budget
        )
        self._log_failure(
            context,
            failure,
            target=context.target_id,
            software=context.software,
            budget=within_budget,
            again=verdict.retry,
        )
        return verdict

    def _log_parallel_failure(self, context, failure, target):
        """Log a failed attempt (AttemptError) beside another one that went on."""
        self._log_failure(
            context,
            failure,
            target="" if target is None else target.target_id,
            software="" if target is None else target.version,
            budget=True,
            again=False,
        )

    def _log_failure(self, context, failure, **fields):
        metrics = self._gateway.metrics
        metrics.record_failed_attempt(context.service, failure.kind)
        log_event(
            LogEvent.ATTEMPT_FAILED,
            request=context.request_id,
            kind=failure.kind,
            sends=context.progress.sends,
            left_s=round(context.remaining_s(self._clock()), 3),
            begun=context.response is not None,
            parts=context.list_part_ids(),
            detail=failure.detail,
            **fields,
        )

    async def _run_stages(self, context):
        if not context.admitted.route.stages or context.stages is not None:
            return
        gateway = self._gateway
        context.stages = StageRun(
            gateway.pools,
            context.admitted,
            gateway.locate_result,
            self._answer_times.estimate_s(context),
            context.fingerprint,
            self._compute_event_deadline_s(context),
            self._choose_home_domain(context),
        )
        started_s = self._clock()
        context.inputs = await context.stages.run()
        context.staged_s = self._clock()
        context.stages_s = round(context.staged_s - started_s, 3)

    def _choose_home_domain(self, context):
        """Return the failure domain (str) in which it is likely to reach an engine."""
        gateway = self._gateway
        if gateway.settings.result_locality == "off":
            return ""
        engines = gateway.directory.get_usable(context.service)
        return choose_home_domain(
            get_last_shared_part(context.placed_parts),
            (engine.failure_domain for engine in engines),
        )

    async def _attempt(self, context, attempt):
        """Run one attempt; return the response."""
        try:
            if self._gateway.pools.has_engines(context.service):
                return await self._attempt_engine(context, attempt)
            return await self._attempt_service(context, attempt)
        except AttemptError as failure:
            context.progress.record(failure)
            raise
        finally:
            attempt.finish()

    async def _attempt_service(self, context, attempt):
        balancer = self._gateway.balancer
        if attempt.is_extra:
            target = self._selection.choose_extra(context, attempt.avoided)
        else:
            target = await self._selection.choose(context)
        context.excluded.add(target.incarnation)
        balancer.begin(target)
        started_s, failed = self._clock(), False
        try:
            return await self._send(context, attempt, target, None)
        except AttemptError:
            failed = True
            raise
        finally:
            now = self._clock()
            latency_s = now - started_s
            if attempt.is_lost:
                # Shows only that the latency is no less.
                latency_s = max(latency_s, balancer.get_latency_s([target]))
            balancer.end(target, failed or attempt.is_held(), latency_s, now)

    async def _attempt_engine(self, context, attempt):
        self._selection.check_backoffs(context)
        pools = self._gateway.pools
        job = self._make_engine_job(context, attempt)
        failed = False

        def note_begun():
            pools.note_begun(job.job_id)
            self._answer_times.record(context)
            # A stream that breaks off later needs new results.
            if context.stages is not None:
                context.stages.free()
                context.stages = None

        try:
            if attempt.is_extra:
                target_id = await self._selection.place_extra(context, job)
            else:
                target_id = await self._selection.place(context, job)
            target = self._gateway.directory.find(target_id)
            if target is None:
                context.excluded.add((target_id, 0))
                raise AttemptError(NOT_RUN, False, f"{target_id} is not usable")
            context.excluded.add(target.incarnation)
            return await self._send(context, attempt, target, note_begun)
        except AttemptError as error:
            failed = error.blames_target
            raise
        finally:
            pools.end_request(job.job_id, failed)

    def _make_engine_job(self, context, attempt):
        prompt = context.admitted.request.prompt
        parts = context.placed_parts
        domains, sizes = (), ()
        if context.stages is not None:
            domains, sizes = context.stages.sum_bytes_by_domain(context.inputs)
        return EngineJob(
            self._gateway.pools.make_job_id(),
            tuple(part for part, _ in parts),
            tuple(tokens for _, tokens in parts),
            0 if prompt is None else prompt.tokens_in,
            0 if prompt is None else prompt.tokens_out,
            context.admitted.priority,
            self._compute_event_deadline_s(context),
            context.admitted.deadline_s,
            self._list_excluded(context, attempt),
            domains,
            sizes,
            context.admitted.account_name,
            context.admitted.account_weight,
        )

    def _list_excluded(self, context, attempt):
        """Return the ids (tuple of str) of engines that must not get an attempt."""
        backed_off = self._gateway.availability.list_backed_off(context.service)
        incompatible = self._gateway.stream_versions.list_incompatible(context)
        incarnations = {
            *context.excluded,
            *(target.incarnation for target in (*backed_off, *incompatible)),
        }
        if attempt.is_extra:
            near = self._selection.list_avoidable(context, attempt.avoided)
            incarnations.update(target.incarnation for target in near)
        return tuple(target_id for target_id, _ in incarnations)

    def _compute_event_deadline_s(self, context):
        """Return when the next event must arrive at the latest (monotonic seconds)."""
        admitted = context.admitted
        if context.response is None:
            return admitted.first_byte_deadline_s
        caller_timeout_s = compute_caller_timeout_s(admitted.route)
        return min(admitted.deadline_s, self._clock() + caller_timeout_s)

    async def _send(self, context, attempt, target, note_begun):
        """Send the request to a target and forward its response."""
        availability = self._gateway.availability
        if not availability.may_send(target):
            detail = f"{target.target_id} backs off or leaves"
            raise AttemptError(NOT_RUN, False, detail)
        await self._gateway.stream_versions.check_target(context, target)
        if attempt.is_extra and self._attempts.is_suspected(context):
            raise AttemptError(NOT_RUN, False, "suspected of crashing targets")
        await self._suspensions.acquire_trial(context)
        availability.record_request(target)
        attempt.note_sent(target)
        head = self._build_head(context, target)
        exchange = Exchange(self._gateway.connections, target, self._clock)
        max_idle_s = None if context.progress.repeatable else NON_REPEATABLE_MAX_IDLE_S
        method = context.admitted.request.method
        try:
            async with self._suspensions.watch(context):
                await exchange.send(head, context.body or b"", method, max_idle_s)
            if is_mismatched(context, exchange) and not context.progress.repeatable:
                # The request must not run elsewhere, and its own response is to follow.
                log_mismatch(context, exchange)
                await exchange.skip_response()
            return await self._handle_response(context, attempt, exchange, note_begun)
        except AttemptError as error:
            exchange.abort()
            if error.target_absent:
                availability.record_absence(target)
            if error.kind == BROKEN:
                self._check_liveness(context, target, error.silent)
            raise
        except asyncio.CancelledError:
            # The deadline passed, or the caller left, before the response ended.
            exchange.abort()
            if exchange.pending:
                context.progress.may_have_run = True
                context.progress.sends += attempt.is_lost
                context.part_trial = ()
            if exchange.is_stalled():
                self._check_liveness(context, target, True)
            raise
        except BaseException:
            exchange.abort()
            raise

    def _check_liveness(self, context, target, silent):
        """Start to check whether a target terminated during a request."""
        checks = self._gateway.crashes.checks
        checks.begin(target, context.features, silent)

    def _build_head(self, context, target):
        admitted = context.admitted
        configuration = self._gateway.configuration
        own = TargetHeaders(
            context.remaining_s(self._clock()),
            target.target_id,
            context.account_name,
            admitted.priority if admitted.request.prompt is not None else None,
            context.last_event_id,
            context.inputs,
        )
        length = None if context.body is None else len(context.body)
        return build_head(
            admitted.request,
            context.http.raw_headers,
            length,
            own,
            admitted.has_key or configuration.requires_keys,
        )

    async def _handle_response(self, context, attempt, exchange, note_begun):
        verify_response(context, exchange)
        availability = self._gateway.availability
        availability.record_response(exchange.target, exchange, context.request_id)
        verify_refusal(context, exchange)
        if exchange.not_run or exchange.status >= 500:
            body = await exchange.read_all()
            exchange.finish()
            self._attempts.record_refusal(context.service, exchange)
            raise_failure(context, exchange, body)
        if context.progress.has_begun:
            verify_continuation(exchange)
        success = 200 <= exchange.status < 300
        if not success or not context.admitted.route.streaming:
            return await self._forwarder.forward_buffered(context, exchange, attempt)
        return await self._forwarder.forward_events(
            context, exchange, attempt, note_begun
        )

    def _handle_timeout(self, context):
        detail = "deadline exceeded"
        if self._gateway.shutdown.cuts_off(context.admitted):
            return self._handle_drain_limit(context)
        if context.response is not None:
            raise ResponseAbortedError(detail)
        if context.progress.sends or context.excluded:
            return self._reject(context, Code.DEADLINE_EXCEEDED, detail)
        return self._reject(context, Code.OVERLOADED, detail)

    def _handle_drain_limit(self, context):
        """End a request whose deadline is later than the limit of the drain."""
        self._gateway.metrics.drain_requests.labels("ended").inc()
        detail = "the gateway stops"
        if context.progress.sends or context.excluded:
            return self._reject(context, Code.DEADLINE_EXCEEDED, detail)
        return self._reject(context, Code.DRAINING, detail)

    def _handle_pool_refusal(self, context, error):
        if context.response is not None:
            raise ResponseAbortedError(error.reason)
        if error.reason == REASON_SUSPENDED:
            return self._reject_quarantined(context)
        return self._reject(context, Code.OVERLOADED, error.reason, error.retry_after_s)

    def _reject_quarantined(self, context):
        """Reject a request that is quarantined for crashing targets."""
        detail, after_s = self._suspensions.explain(context)
        return self._reject(context, Code.SUSPENDED, detail, after_s)

    def _reject_resumption(self, context, reason):
        """Reject a stream that cannot go on; its caller may start a new one at once."""
        self._gateway.metrics.resumptions_refused.labels(reason).inc()
        return self._reject(context, Code.NOT_RESUMABLE, reason)

    def _reject(self, context, code, detail, retry_after_s=None):
        if context.response is not None:
            raise ResponseAbortedError(detail)
        code = context.progress.correct(code)
        log_event(
            LogEvent.REQUEST_REFUSED,
            request=context.request_id,
            code=int(code),
            detail=detail,
            sends=context.progress.sends,
            ran=context.progress.may_have_run,
            retry_after_s=retry_after_s,
        )
        return make_error_response(context.request_id, code, detail, retry_after_s)
