"""Carries one request through its stages and attempts to its answer."""

import asyncio

from firworks.codes import Code
from firworks.events import LogEvent, log_event
from firworks.gateway.answers import (
    ResponseAbortedError,
    make_forwarded_response,
    make_error_response,
)
from firworks.gateway.exchanges import Exchange
from firworks.gateway.pools import PoolRefusedError
from firworks.gateway.stage_runs import StageRun
from firworks.kernel.forwarding.admission import (
    compute_caller_timeout_s,
    compute_stall_limit_s,
)
from firworks.kernel.forwarding.event_stream import EventSplitter, EventTooLongError
from firworks.kernel.forwarding.outcomes import (
    BROKEN,
    DEFAULT_RETRY_AFTER_S,
    FAILED,
    INPUTS_GONE,
    NOT_RUN,
    AttemptError,
)
from firworks.kernel.pools.jobs import EngineJob
from firworks.kernel.pools.results import REASON_GONE, REASON_SUSPENDED
from firworks.platform.headers import (
    REQUEST_ID,
    STAMP,
    TargetHeaders,
    build_head,
)

# Time of an engine to read a prompt and make the first token, at the least.
MIN_FIRST_TOKEN_S = 0.06
# Connections that idled longer may have been closed by the target meanwhile; work that
# may not repeat is not risked on them.
NON_REPEATABLE_MAX_IDLE_S = 1.0
# A larger answer is passed on while it is read.
MAX_BUFFERED_RESPONSE_BYTES = 1_048_576
# Refused callers of one service are told to come back within this time of each other.
RETRY_AFTER_JITTER_S = 0.5
INPUT_STATUSES = (400, 409)


class Relay:
    """Serves requests by forwarding them.

    Args:
        gateway (Gateway): Owns pools, connections and the directory.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock

    async def serve(self, context):
        """Return the answer to a request (aiohttp StreamResponse).

        Raises:
            ResponseAbortedError: When an answer that has begun cannot be completed.
        """
        remaining_s = context.remaining_s(self._clock())
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return await self._serve(context)
        except TimeoutError:
            return self._handle_timeout(context)
        finally:
            if context.stages is not None:
                context.stages.free()
            if context.trial and not context.may_have_run:
                reached = context.progress.sends > 0
                self._gateway.crashes.return_trial(context.fingerprint, reached)

    async def _serve(self, context):
        crashes = self._gateway.crashes
        if crashes.is_quarantined(context.fingerprint):
            if not await crashes.request_trial(context.fingerprint):
                return self._reject_quarantined(context)
            context.trial = True
        while True:
            try:
                await self._run_stages(context)
                return await self._attempt(context)
            except PoolRefusedError as error:
                if error.reason != REASON_GONE or context.restarted:
                    return self._handle_pool_refusal(context, error)
                self._restart_stages(context)
            except AttemptError as failure:
                context.progress.record(failure)
                verdict = self._decide_retry(context, failure)
                if not verdict.retry:
                    return await self._handle_final_failure(
                        context, failure, verdict.code
                    )
                if failure.kind == INPUTS_GONE:
                    self._restart_stages(context)

    def _restart_stages(self, context):
        """Make the stages' results anew: some of them are gone."""
        log_event(LogEvent.STAGES_RESTARTED, request=context.request_id)
        context.restarted = True
        context.stages.free()
        context.stages = None

    async def _handle_final_failure(self, context, failure, code):
        """Pass on a target's own answer of a failure, or give one of the system's."""
        if failure.answer is not None and context.response is None:
            exchange, body = failure.answer
            return await self._send_buffered(context, exchange, body)
        return self._reject(context, code, failure.detail)

    def _decide_retry(self, context, failure):
        now = self._clock()
        budget = self._gateway.retry_budget
        refused = self._gateway.crashes.is_quarantined(context.fingerprint)
        harmless = not refused or (context.trial and failure.kind == NOT_RUN)
        within = harmless and (
            not failure.sent or budget.try_acquire(context.service, now)
        )
        verdict = context.progress.judge(failure, context.remaining_s(now), within)
        metrics = self._gateway.metrics
        metrics.count_failed_attempt(context.service, failure.kind)
        log_event(
            LogEvent.ATTEMPT_FAILED,
            request=context.request_id,
            target=context.target_id,
            kind=failure.kind,
            sends=context.progress.sends,
            left_s=round(context.remaining_s(now), 3),
            budget=within,
            again=verdict.retry,
            detail=failure.detail,
        )
        return verdict

    async def _run_stages(self, context):
        if not context.admitted.route.stages or context.stages is not None:
            return
        gateway = self._gateway
        context.stages = StageRun(
            gateway.pools,
            context.admitted,
            gateway.locate_result,
            MIN_FIRST_TOKEN_S,
            context.fingerprint,
        )
        begun_s = self._clock()
        context.inputs = await context.stages.run()
        context.stages_s = round(self._clock() - begun_s, 3)

    async def _attempt(self, context):
        if self._gateway.pools.has_engines(context.service):
            return await self._attempt_engine(context)
        return await self._attempt_service(context)

    async def _attempt_service(self, context):
        balancer = self._gateway.balancer
        availability = self._gateway.availability
        targets = availability.list_available(context.service)
        target = balancer.choose(targets, context.excluded, self._clock())
        if target is None:
            self._check_backoffs(context)
            raise PoolRefusedError("no target", DEFAULT_RETRY_AFTER_S)
        context.excluded.add(target.run)
        balancer.begin(target)
        begun_s, failed = self._clock(), False
        try:
            return await self._send(context, target, None)
        except AttemptError:
            failed = True
            raise
        finally:
            now = self._clock()
            balancer.end(target, failed, now - begun_s, now)

    def _check_backoffs(self, context):
        """Refuse a request while no target of its service wants work."""
        wait_s = self._gateway.availability.get_service_backoff_s(context.service)
        if wait_s > 0.0:
            # Those who are told to come back at one moment would come as a herd.
            spread_s = self._gateway.rng.uniform(0.0, RETRY_AFTER_JITTER_S)
            raise PoolRefusedError("its targets want no work", wait_s + spread_s)

    async def _attempt_engine(self, context):
        self._check_backoffs(context)
        pools = self._gateway.pools
        job = self._make_engine_job(context)
        failed = False

        def note_begun():
            pools.note_begun(job.job_id)
            if context.stages is not None:
                context.stages.free()

        try:
            target_id = await pools.place_request(context.service, job)
            target = self._gateway.directory.find(target_id)
            if target is None:
                context.excluded.add((target_id, 0))
                raise AttemptError(NOT_RUN, False, f"{target_id} is not usable")
            context.excluded.add(target.run)
            return await self._send(context, target, note_begun)
        except AttemptError as error:
            failed = error.blames_target
            raise
        finally:
            pools.end_request(job.job_id, failed)

    def _make_engine_job(self, context):
        prompt = context.admitted.request.prompt
        parts = () if prompt is None else prompt.parts
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
            self._find_begin_by_s(context),
            context.admitted.deadline_s,
            self._list_excluded(context),
            domains,
            sizes,
        )

    def _list_excluded(self, context):
        """Return the ids of the engines that may not get a request (tuple of str)."""
        resting = self._gateway.availability.list_backed_off(context.service)
        runs = {*context.excluded, *(target.run for target in resting)}
        return tuple(target_id for target_id, _ in runs)

    def _find_begin_by_s(self, context):
        """Return when the next event of a stream must have come."""
        admitted = context.admitted
        if context.response is None:
            return admitted.first_byte_deadline_s
        caller_timeout_s = compute_caller_timeout_s(admitted.route)
        return min(admitted.deadline_s, self._clock() + caller_timeout_s)

    async def _send(self, context, target, note_begun):
        """Send the request to a target and pass its answer on."""
        availability = self._gateway.availability
        if not availability.may_send(target):
            detail = f"{target.target_id} leaves or wants no work"
            raise AttemptError(NOT_RUN, False, detail)
        availability.note_sent(target)
        context.target_id = target.target_id
        head = self._build_head(context, target)
        exchange = Exchange(self._gateway.connections, target, self._clock)
        max_idle_s = None if context.progress.repeatable else NON_REPEATABLE_MAX_IDLE_S
        method = context.admitted.request.method
        try:
            await exchange.send(head, context.body or b"", method, max_idle_s)
            if (
                self._is_mismatched(context, exchange)
                and not context.progress.repeatable
            ):
                # The request runs only here, and its own answer follows.
                self._log_mismatch(context, exchange)
                await exchange.skip_response()
            return await self._handle_response(context, exchange, note_begun)
        except AttemptError as error:
            exchange.abort()
            if error.kind == BROKEN:
                self._check_liveness(context, target, error.silent)
            raise
        except asyncio.CancelledError:
            # The deadline has passed, or the caller has left, while nothing came.
            exchange.abort()
            context.progress.may_have_run = (
                context.progress.may_have_run or exchange.pending
            )
            if exchange.is_stalled():
                self._check_liveness(context, target, True)
            raise
        except BaseException:
            exchange.abort()
            raise

    def _check_liveness(self, context, target, silent):
        """Find out whether a target has ended under a request."""
        checks = self._gateway.crashes.checks
        checks.begin(target, (context.fingerprint,), silent)

    def _build_head(self, context, target):
        admitted = context.admitted
        configuration = self._gateway.configuration
        account = None if admitted.account is None else admitted.account.name
        own = TargetHeaders(
            context.remaining_s(self._clock()),
            target.target_id,
            account,
            admitted.priority if admitted.request.prompt is not None else None,
            context.last_event_id,
            context.inputs,
        )
        length = None if context.body is None else len(context.body)
        return build_head(
            admitted.request, context.http.raw_headers, length, own, configuration.keyed
        )

    async def _handle_response(self, context, exchange, note_begun):
        self._verify_response(context, exchange)
        availability = self._gateway.availability
        availability.note_answer(exchange.target, exchange, context.request_id)
        if exchange.not_run or exchange.status >= 500:
            body = await exchange.read_all()
            exchange.finish()
            self._raise_failure(exchange, body)
        if not 200 <= exchange.status < 300 or not context.admitted.route.streaming:
            return await self._forward_buffered(context, exchange)
        if note_begun is not None:
            note_begun()
        return await self._forward_events(context, exchange)

    def _is_mismatched(self, context, exchange):
        """Return whether an answer belongs to another request."""
        echoed = exchange.headers.get(REQUEST_ID)
        return echoed is not None and echoed != context.request_id

    def _verify_response(self, context, exchange):
        """Drop an answer that is not shown to be the request's."""
        echoed = exchange.headers.get(REQUEST_ID)
        success = 200 <= exchange.status < 300
        unproved = success and (echoed is None or STAMP not in exchange.headers)
        if unproved or self._is_mismatched(context, exchange):
            self._log_mismatch(context, exchange)
            raise AttemptError(BROKEN, True, f"answer to {echoed!r}")

    def _log_mismatch(self, context, exchange):
        log_event(
            LogEvent.ANSWER_MISMATCHED,
            target=exchange.target.target_id,
            request=context.request_id,
            echoed=exchange.headers.get(REQUEST_ID),
            status=exchange.status,
        )

    def _raise_failure(self, exchange, body):
        """Raise the `AttemptError` that a target's answer states."""
        detail = f"{exchange.target.target_id}: status {exchange.status}"
        if exchange.not_run and exchange.status in INPUT_STATUSES:
            raise AttemptError(INPUTS_GONE, True, detail)
        if exchange.not_run:
            raise AttemptError(NOT_RUN, True, detail)
        raise AttemptError(FAILED, True, detail, (exchange, body))

    async def _forward_buffered(self, context, exchange):
        """Pass on an answer once it is known to be whole."""
        parts, size = [], 0
        while part := await exchange.read_chunk():
            parts.append(part)
            size += len(part)
            if size > MAX_BUFFERED_RESPONSE_BYTES:
                return await self._forward_unbuffered(context, exchange, parts)
        exchange.finish()
        self._gateway.crashes.clear(context.fingerprint)
        return await self._send_buffered(context, exchange, b"".join(parts))

    async def _send_buffered(self, context, exchange, body):
        response = make_forwarded_response(exchange, len(body))
        await self._start_response(context, response)
        await response.write_eof(body)
        return response

    async def _forward_unbuffered(self, context, exchange, parts):
        response = make_forwarded_response(exchange, None)
        await self._start_response(context, response)
        for part in parts:
            await response.write(part)
        while part := await exchange.read_chunk():
            await response.write(part)
        exchange.finish()
        self._gateway.crashes.clear(context.fingerprint)
        await response.write_eof()
        return response

    async def _start_response(self, context, response):
        context.response = response
        first_s = self._clock() - context.admitted.arrived_s
        context.first_s = round(first_s, 3)
        route = context.admitted.route.name
        self._gateway.metrics.count_first_byte(route, first_s)
        self._gateway.prepare_response(context.http, response)
        await response.prepare(context.http)

    async def _forward_events(self, context, exchange):
        """Pass on whole events as they come."""
        splitter = EventSplitter(context.last_event_id)
        if context.response is None:
            await self._start_response(context, make_forwarded_response(exchange, None))
        limit_s, waited_s = compute_stall_limit_s(context.admitted.route), 0.0
        while True:
            begun_s = self._clock()
            part = await self._read_with_timeout(exchange, limit_s - waited_s)
            waited_s += self._clock() - begun_s
            if not part:
                break
            try:
                events = splitter.feed(part)
            except EventTooLongError as error:
                raise AttemptError(BROKEN, True, str(error)) from error
            if events:
                waited_s = 0.0
                await context.response.write(events)
                context.last_event_id = splitter.last_id
        if splitter.cut:
            raise AttemptError(BROKEN, True, "the stream ended inside an event")
        exchange.finish()
        self._gateway.crashes.clear(context.fingerprint)
        await context.response.write_eof()
        return context.response

    async def _read_with_timeout(self, exchange, limit_s):
        """Return the next bytes of a stream; raise `AttemptError` after a time."""
        try:
            async with asyncio.timeout(limit_s):
                return await exchange.read_chunk()
        except TimeoutError as error:
            detail = "no whole event in time"
            raise AttemptError(BROKEN, True, detail, silent=True) from error

    def _handle_timeout(self, context):
        detail = "the deadline has passed"
        if context.response is not None:
            raise ResponseAbortedError(detail)
        if context.progress.sends or context.excluded:
            return self._reject(context, Code.DEADLINE_EXCEEDED, detail)
        return self._reject(context, Code.OVERLOADED, detail)

    def _handle_pool_refusal(self, context, error):
        if context.response is not None:
            raise ResponseAbortedError(error.reason)
        if context.progress.may_have_run:
            return self._reject(context, Code.TARGET_FAILED, error.reason)
        if error.reason == REASON_SUSPENDED:
            return self._reject_quarantined(context)
        return self._reject(context, Code.OVERLOADED, error.reason, error.retry_after_s)

    def _reject_quarantined(self, context):
        """Refuse a request that ends targets."""
        detail = "the request has ended several targets"
        after_s = self._gateway.crashes.get_retry_after_s(context.fingerprint)
        return self._reject(context, Code.SUSPENDED, detail, after_s)

    def _reject(self, context, code, detail, retry_after_s=None):
        if context.response is not None:
            raise ResponseAbortedError(detail)
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
