"""Carries one request through its stages and attempts to its answer."""

import asyncio

from firworks.codes import Code
from firworks.events import LogEvent, log_event
from firworks.gateway.answers import ResponseAbortedError, make_forwarded_response, make_error_response
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
ENGINE_LEAST_S = 0.06
# Connections that idled longer may have been closed by the target meanwhile; work that
# may not repeat is not risked on them.
UNREPEATABLE_IDLE_S = 1.0
# A larger answer is passed on while it is read.
BUFFERED_ANSWER_BYTES = 1_048_576
# Refused callers of one service are told to come back within this time of each other.
RETURN_SPREAD_S = 0.5
INPUT_STATUSES = (400, 409)


class Relay:
    """Serves requests by forwarding them.

    Args:
        gateway (Gateway): Owns pools, connections and the directory.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock

    async def serve(self, ticket):
        """Return the answer to a request (aiohttp StreamResponse).

        Raises:
            ResponseAbortedError: When an answer that has begun cannot be completed.
        """
        left_s = ticket.left_s(self._clock())
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._serve(ticket)
        except TimeoutError:
            return self._end_late(ticket)
        finally:
            if ticket.stages is not None:
                ticket.stages.free()
            if ticket.trial and not ticket.may_have_run:
                reached = ticket.progress.sends > 0
                self._gateway.crashes.return_trial(ticket.fingerprint, reached)

    async def _serve(self, ticket):
        crashes = self._gateway.crashes
        if crashes.is_quarantined(ticket.fingerprint):
            if not await crashes.request_trial(ticket.fingerprint):
                return self._suspend(ticket)
            ticket.trial = True
        while True:
            try:
                await self._run_stages(ticket)
                return await self._attempt(ticket)
            except PoolRefusedError as error:
                if error.reason != REASON_GONE or ticket.restarted:
                    return self._refuse(ticket, error)
                self._restart_stages(ticket)
            except AttemptError as failure:
                ticket.progress.record(failure)
                verdict = self._judge(ticket, failure)
                if not verdict.retry:
                    return await self._end_failed(ticket, failure, verdict.code)
                if failure.kind == INPUTS_GONE:
                    self._restart_stages(ticket)

    def _restart_stages(self, ticket):
        """Make the stages' results anew: some of them are gone."""
        log_event(LogEvent.STAGES_RESTARTED, request=ticket.request_id)
        ticket.restarted = True
        ticket.stages.free()
        ticket.stages = None

    async def _end_failed(self, ticket, failure, code):
        """Pass on a target's own answer of a failure, or give one of the system's."""
        if failure.answer is not None and ticket.response is None:
            exchange, body = failure.answer
            return await self._answer_whole(ticket, exchange, body)
        return self._give_up(ticket, code, failure.detail)

    def _judge(self, ticket, failure):
        now = self._clock()
        budget = self._gateway.retry_budget
        refused = self._gateway.crashes.is_quarantined(ticket.fingerprint)
        harmless = not refused or (ticket.trial and failure.kind == NOT_RUN)
        within = harmless and (not failure.sent or budget.try_acquire(ticket.service, now))
        verdict = ticket.progress.judge(failure, ticket.left_s(now), within)
        metrics = self._gateway.metrics
        metrics.record_failed_attempt(ticket.service, failure.kind)
        log_event(
            LogEvent.ATTEMPT_FAILED,
            request=ticket.request_id,
            target=ticket.target_id,
            kind=failure.kind,
            sends=ticket.progress.sends,
            left_s=round(ticket.left_s(now), 3),
            budget=within,
            again=verdict.retry,
            detail=failure.detail,
        )
        return verdict

    async def _run_stages(self, ticket):
        if not ticket.admitted.route.stages or ticket.stages is not None:
            return
        gateway = self._gateway
        ticket.stages = StageRun(
            gateway.pools,
            ticket.admitted,
            gateway.locate_result,
            ENGINE_LEAST_S,
            ticket.fingerprint,
        )
        begun_s = self._clock()
        ticket.inputs = await ticket.stages.run()
        ticket.stages_s = round(self._clock() - begun_s, 3)

    async def _attempt(self, ticket):
        if self._gateway.pools.has_engines(ticket.service):
            return await self._attempt_engine(ticket)
        return await self._attempt_service(ticket)

    async def _attempt_service(self, ticket):
        balancer = self._gateway.balancer
        availability = self._gateway.availability
        targets = availability.list_available(ticket.service)
        target = balancer.choose(targets, ticket.excluded, self._clock())
        if target is None:
            self._check_rests(ticket)
            raise PoolRefusedError("no target", DEFAULT_RETRY_AFTER_S)
        ticket.excluded.add(target.incarnation)
        balancer.begin(target)
        begun_s, failed = self._clock(), False
        try:
            return await self._send(ticket, target, None)
        except AttemptError:
            failed = True
            raise
        finally:
            now = self._clock()
            balancer.end(target, failed, now - begun_s, now)

    def _check_rests(self, ticket):
        """Refuse a request while no target of its service wants work."""
        wait_s = self._gateway.availability.get_service_backoff_s(ticket.service)
        if wait_s > 0.0:
            # Those who are told to come back at one moment would come as a herd.
            spread_s = self._gateway.rng.uniform(0.0, RETURN_SPREAD_S)
            raise PoolRefusedError("its targets want no work", wait_s + spread_s)

    async def _attempt_engine(self, ticket):
        self._check_rests(ticket)
        pools = self._gateway.pools
        job = self._make_engine_job(ticket)
        failed = False

        def note_begun():
            pools.note_begun(job.job_id)
            if ticket.stages is not None:
                ticket.stages.free()

        try:
            target_id = await pools.place_request(ticket.service, job)
            target = self._gateway.directory.find(target_id)
            if target is None:
                ticket.excluded.add((target_id, 0))
                raise AttemptError(NOT_RUN, False, f"{target_id} is not usable")
            ticket.excluded.add(target.incarnation)
            return await self._send(ticket, target, note_begun)
        except AttemptError as error:
            failed = error.blames_target
            raise
        finally:
            pools.end_request(job.job_id, failed)

    def _make_engine_job(self, ticket):
        prompt = ticket.admitted.request.prompt
        parts = () if prompt is None else prompt.parts
        domains, sizes = (), ()
        if ticket.stages is not None:
            domains, sizes = ticket.stages.weigh_inputs(ticket.inputs)
        return EngineJob(
            self._gateway.pools.make_job_id(),
            tuple(part for part, _ in parts),
            tuple(tokens for _, tokens in parts),
            0 if prompt is None else prompt.tokens_in,
            0 if prompt is None else prompt.tokens_out,
            ticket.admitted.priority,
            self._find_begin_by_s(ticket),
            ticket.admitted.deadline_s,
            self._list_excluded(ticket),
            domains,
            sizes,
        )

    def _list_excluded(self, ticket):
        """Return the ids of the engines that may not get a request (tuple of str)."""
        resting = self._gateway.availability.list_backed_off(ticket.service)
        runs = {*ticket.excluded, *(target.incarnation for target in resting)}
        return tuple(target_id for target_id, _ in runs)

    def _find_begin_by_s(self, ticket):
        """Return when the next event of a stream must have come."""
        admitted = ticket.admitted
        if ticket.response is None:
            return admitted.first_byte_deadline_s
        caller_timeout_s = compute_caller_timeout_s(admitted.route)
        return min(admitted.deadline_s, self._clock() + caller_timeout_s)

    async def _send(self, ticket, target, note_begun):
        """Send the request to a target and pass its answer on."""
        availability = self._gateway.availability
        if not availability.may_send(target):
            detail = f"{target.target_id} leaves or wants no work"
            raise AttemptError(NOT_RUN, False, detail)
        availability.record_request(target)
        ticket.target_id = target.target_id
        head = self._build_head(ticket, target)
        exchange = Exchange(self._gateway.connections, target, self._clock)
        max_idle_s = None if ticket.progress.repeatable else UNREPEATABLE_IDLE_S
        method = ticket.admitted.request.method
        try:
            await exchange.send(head, ticket.body or b"", method, max_idle_s)
            if self._is_stray(ticket, exchange) and not ticket.progress.repeatable:
                # The request runs only here, and its own answer follows.
                self._log_mismatch(ticket, exchange)
                await exchange.skip_response()
            return await self._take_answer(ticket, exchange, note_begun)
        except AttemptError as error:
            exchange.abort()
            if error.kind == BROKEN:
                self._look_at(ticket, target, error.silent)
            raise
        except asyncio.CancelledError:
            # The deadline has passed, or the caller has left, while nothing came.
            exchange.abort()
            ticket.progress.may_have_run = ticket.progress.may_have_run or exchange.pending
            if exchange.is_silent():
                self._look_at(ticket, target, True)
            raise
        except BaseException:
            exchange.abort()
            raise

    def _look_at(self, ticket, target, silent):
        """Find out whether a target has ended under a request."""
        checks = self._gateway.crashes.checks
        checks.begin(target, (ticket.fingerprint,), silent)

    def _build_head(self, ticket, target):
        admitted = ticket.admitted
        configuration = self._gateway.configuration
        account = None if admitted.account is None else admitted.account.name
        own = TargetHeaders(
            ticket.left_s(self._clock()),
            target.target_id,
            account,
            admitted.priority if admitted.request.prompt is not None else None,
            ticket.last_event_id,
            ticket.inputs,
        )
        length = None if ticket.body is None else len(ticket.body)
        return build_head(
            admitted.request, ticket.http.raw_headers, length, own, configuration.requires_keys
        )

    async def _take_answer(self, ticket, exchange, note_begun):
        self._check_identity(ticket, exchange)
        availability = self._gateway.availability
        availability.record_response(exchange.target, exchange, ticket.request_id)
        if exchange.not_run or exchange.status >= 500:
            body = await exchange.read_all()
            exchange.finish()
            self._raise_failure(exchange, body)
        if not 200 <= exchange.status < 300 or not ticket.admitted.route.streaming:
            return await self._pass_on(ticket, exchange)
        if note_begun is not None:
            note_begun()
        return await self._stream(ticket, exchange)

    def _is_stray(self, ticket, exchange):
        """Return whether an answer belongs to another request."""
        echoed = exchange.headers.get(REQUEST_ID)
        return echoed is not None and echoed != ticket.request_id

    def _check_identity(self, ticket, exchange):
        """Drop an answer that is not shown to be the request's."""
        echoed = exchange.headers.get(REQUEST_ID)
        success = 200 <= exchange.status < 300
        unproved = success and (echoed is None or STAMP not in exchange.headers)
        if unproved or self._is_stray(ticket, exchange):
            self._log_mismatch(ticket, exchange)
            raise AttemptError(BROKEN, True, f"answer to {echoed!r}")

    def _log_mismatch(self, ticket, exchange):
        log_event(
            LogEvent.ANSWER_MISMATCHED,
            target=exchange.target.target_id,
            request=ticket.request_id,
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

    async def _pass_on(self, ticket, exchange):
        """Pass on an answer once it is known to be whole."""
        parts, size = [], 0
        while part := await exchange.read_chunk():
            parts.append(part)
            size += len(part)
            if size > BUFFERED_ANSWER_BYTES:
                return await self._pass_on_long(ticket, exchange, parts)
        exchange.finish()
        self._gateway.crashes.clear(ticket.fingerprint)
        return await self._answer_whole(ticket, exchange, b"".join(parts))

    async def _answer_whole(self, ticket, exchange, body):
        response = make_forwarded_response(exchange, len(body))
        await self._begin_answer(ticket, response)
        await response.write_eof(body)
        return response

    async def _pass_on_long(self, ticket, exchange, parts):
        response = make_forwarded_response(exchange, None)
        await self._begin_answer(ticket, response)
        for part in parts:
            await response.write(part)
        while part := await exchange.read_chunk():
            await response.write(part)
        exchange.finish()
        self._gateway.crashes.clear(ticket.fingerprint)
        await response.write_eof()
        return response

    async def _begin_answer(self, ticket, response):
        ticket.response = response
        first_s = self._clock() - ticket.admitted.arrived_s
        ticket.first_s = round(first_s, 3)
        route = ticket.admitted.route.name
        self._gateway.metrics.record_first_byte(route, first_s)
        self._gateway.prepare_response(ticket.http, response)
        await response.prepare(ticket.http)

    async def _stream(self, ticket, exchange):
        """Pass on whole events as they come."""
        splitter = EventSplitter(ticket.last_event_id)
        if ticket.response is None:
            await self._begin_answer(ticket, make_forwarded_response(exchange, None))
        limit_s, waited_s = compute_stall_limit_s(ticket.admitted.route), 0.0
        while True:
            begun_s = self._clock()
            part = await self._read_within(exchange, limit_s - waited_s)
            waited_s += self._clock() - begun_s
            if not part:
                break
            try:
                events = splitter.feed(part)
            except EventTooLongError as error:
                raise AttemptError(BROKEN, True, str(error)) from error
            if events:
                waited_s = 0.0
                await ticket.response.write(events)
                ticket.last_event_id = splitter.last_id
        if splitter.has_partial_event:
            raise AttemptError(BROKEN, True, "the stream ended inside an event")
        exchange.finish()
        self._gateway.crashes.clear(ticket.fingerprint)
        await ticket.response.write_eof()
        return ticket.response

    async def _read_within(self, exchange, limit_s):
        """Return the next bytes of a stream; raise `AttemptError` after a time."""
        try:
            async with asyncio.timeout(limit_s):
                return await exchange.read_chunk()
        except TimeoutError as error:
            detail = "no whole event in time"
            raise AttemptError(BROKEN, True, detail, silent=True) from error

    def _end_late(self, ticket):
        detail = "the deadline has passed"
        if ticket.response is not None:
            raise ResponseAbortedError(detail)
        if ticket.progress.sends or ticket.excluded:
            return self._give_up(ticket, Code.DEADLINE_EXCEEDED, detail)
        return self._give_up(ticket, Code.OVERLOADED, detail)

    def _refuse(self, ticket, error):
        if ticket.response is not None:
            raise ResponseAbortedError(error.reason)
        if ticket.progress.may_have_run:
            return self._give_up(ticket, Code.TARGET_FAILED, error.reason)
        if error.reason == REASON_SUSPENDED:
            return self._suspend(ticket)
        return self._give_up(ticket, Code.OVERLOADED, error.reason, error.retry_after_s)

    def _suspend(self, ticket):
        """Refuse a request that ends targets."""
        detail = "the request has ended several targets"
        after_s = self._gateway.crashes.get_retry_after_s(ticket.fingerprint)
        return self._give_up(ticket, Code.SUSPENDED, detail, after_s)

    def _give_up(self, ticket, code, detail, retry_after_s=None):
        if ticket.response is not None:
            raise ResponseAbortedError(detail)
        log_event(
            LogEvent.REQUEST_REFUSED,
            request=ticket.request_id,
            code=int(code),
            detail=detail,
            sends=ticket.progress.sends,
            ran=ticket.progress.may_have_run,
            retry_after_s=retry_after_s,
        )
        return make_error_response(ticket.request_id, code, detail, retry_after_s)
