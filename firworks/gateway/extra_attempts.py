"""Sends slow requests to a second target; the first answer is the one that counts."""

import asyncio

from firworks.events import LogEvent, log_event, log_exception
from firworks.gateway.attempts import Attempt
from firworks.gateway.pools import PoolRefusedError
from firworks.kernel.attempts.policy import SlowAttempt, list_checks
from firworks.kernel.forwarding.outcomes import AttemptError

BUSY_STATUSES = (429, 503)
WON, CANCELLED, FAILED, NOT_SENT = "won", "cancelled", "failed", "not sent"


class ExtraAttempts:
    """Runs the attempts of requests, and extra ones for those that are slow.

    Args:
        gateway (Gateway): Provides policy, metrics, targets and suspects.
        make_attempt (callable): ``make_attempt(context, attempt)`` is a coroutine that
            runs one attempt and returns the response.
        selection (TargetSelection): Lists the targets.
        suspensions (Suspensions): Waits until crashes of targets are known.
        log_failure (callable): ``log_failure(context, failure, target)`` is called with
            each `AttemptError` besides the last one that the caller gets.
    """

    def __init__(self, gateway, make_attempt, selection, suspensions, log_failure):
        self.gateway = gateway
        self.make_attempt = make_attempt
        self.selection = selection
        self.suspensions = suspensions
        self.log_failure = log_failure
        self.policy = gateway.extra_attempts

    async def run(self, context):
        """Run an attempt of a request, perhaps with an extra one; return the response.

        Raises:
            AttemptError: When no attempt has a usable response.
            PoolRefusedError: When no target accepts the request in time.
        """
        progress = context.progress
        possible = progress.repeatable and not progress.has_begun
        if self.policy.active and possible:
            return await AttemptRace(self, context).run()
        attempt = Attempt(self.policy, self.gateway.clock, context)
        return await self.make_attempt(context, attempt)

    def record_request(self, context):
        """Count a request, of which the limit of extra attempts is a share."""
        if self.policy.active:
            self.policy.record_request(context.service)

    def record_refusal(self, service, exchange):
        """Record a response by which a target refuses work as it is busy, if it is one.

        Args:
            service (str): Service of the target.
            exchange (Exchange): Its response has been received.
        """
        if self.policy.active and exchange.not_run and exchange.status in BUSY_STATUSES:
            self.policy.record_refusal(service, self.gateway.clock())

    def find_obstacle(self, context, first):
        """Return why a request gets no extra attempt now (str), or None.

        An extra attempt that is possible is counted against the limits.

        Args:
            context (RequestContext): The request.
            first (Attempt): Its attempt in progress.
        """
        now = self.gateway.clock()
        is_first_check = not first.tracked.is_slow
        self.policy.mark_slow(first.tracked, now)
        slow = self._describe(context, first)
        reason = self.policy.find_obstacle(slow, now)
        if reason is None:
            reason = self.policy.try_withdraw(context.service, is_first_check, now)
        if reason is not None:
            service = self.gateway.metrics.services.bound(context.service)
            self.gateway.metrics.extra_refused.labels(service, reason).inc()
        return reason

    def _describe(self, context, first):
        gateway, progress = self.gateway, context.progress
        targets = gateway.availability.list_available(context.service)
        return SlowAttempt(
            context.service,
            progress.repeatable,
            progress.has_begun,
            self.is_suspected(context),
            progress.sends + 1,
            # One attempt is kept to resume a stream that breaks after its first event.
            progress.max_attempts - progress.resumable,
            first.tracked.usual_s,
            get_answer_deadline_s(context),
            gateway.roster.count,
            sum(max(1, one.slots) for one in targets),
            len(self.selection.list_others(context)),
        )

    def is_suspected(self, context):
        """Return whether a request is suspected of crashing targets."""
        in_trial = context.trial or bool(context.part_trial)
        return in_trial or self.gateway.crashes.is_suspected(context.features)


class AttemptRace:
    """The attempts of one request that compete for the answer.

    Each runs in a task of its own; the first that claims the answer ends the other.

    Args:
        owner (ExtraAttempts): Decides on and counts extra attempts.
        context (RequestContext): The request.
    """

    def __init__(self, owner, context):
        self._owner = owner
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._first = self._make_attempt(None)
        self._extra = None
        self._winner = None
        self._tasks = {}
        # Attempts whose end has not been handled; a task may be done before that.
        self._open = set()
        # Pairs of an attempt and its `AttemptError`.
        self._failures = []
        self._final_error = None
        self._done = self._loop.create_future()
        self._timer = None

    async def run(self):
        """Run the race; return the response, or raise what ended its last attempt."""
        self._start(self._first)
        try:
            return await self._done
        except AttemptError as error:
            await self._settle_others(error)
            raise
        finally:
            await self._close()

    async def _settle_others(self, error):
        """Wait until the crashes at all failures but the final one are known."""
        final = None
        for attempt, failure in self._failures:
            if failure is error:
                final = attempt
            elif attempt.target is not None:
                self._context.set_target(attempt.target)
                await self._owner.suspensions.settle(self._context, failure)
        final = final or self._winner
        if final.target is not None:
            self._context.set_target(final.target)

    def schedule_checks(self):
        """Schedule the times at which an extra attempt is considered."""
        tracked = self._first.tracked
        if tracked.usual_s is None:
            return
        left_s = get_answer_deadline_s(self._context) - tracked.begun_s
        self._schedule_next(list_checks(tracked.usual_s, left_s))

    def settle(self, winner):
        """Let one attempt answer and end the other at once."""
        self._winner = winner
        self._cancel_timer()
        for attempt, task in self._tasks.items():
            if attempt is not winner and not task.done():
                attempt.is_lost = True
                task.cancel()
                self._count_waste(attempt)
        self._record_outcome(WON if winner.is_extra else CANCELLED)

    def _make_attempt(self, avoided):
        owner = self._owner
        clock = owner.gateway.clock
        return Attempt(owner.policy, clock, self._context, self, avoided)

    def _start(self, attempt):
        coroutine = self._owner.make_attempt(self._context, attempt)
        self._open.add(attempt)
        task = self._tasks[attempt] = self._loop.create_task(coroutine)
        task.add_done_callback(lambda task: self._handle_end(attempt, task))

    def _schedule_next(self, checks):
        after_s = next(checks, None)
        if after_s is not None:
            begun_s = self._first.tracked.begun_s
            delay_s = begun_s + after_s - self._owner.gateway.clock()
            self._timer = self._loop.call_later(delay_s, self._check, checks)

    def _check(self, checks):
        """Begin an extra attempt if it is possible now, or consider it again later."""
        if self._done.done():
            return
        if self._owner.find_obstacle(self._context, self._first) is not None:
            self._schedule_next(checks)
            return
        self._extra = self._make_attempt(self._first.target)
        self._count("begun")
        self._start(self._extra)

    def _handle_end(self, attempt, task):
        """Handle the end of the task of an attempt."""
        self._open.discard(attempt)
        error = None if task.cancelled() else task.exception()
        if attempt.is_lost or self._done.done():
            return
        if task.cancelled():
            self._done.cancel()
        elif error is None:
            self._done.set_result(task.result())
        elif attempt is self._winner:
            self._fail(error)
        elif attempt.is_extra and not isinstance(error, AttemptError):
            self._handle_unsent(error)
        else:
            self._handle_failure(attempt, error)

    def _handle_unsent(self, error):
        """Handle an extra attempt that no target has got; the first one goes on."""
        if not isinstance(error, PoolRefusedError):
            log_exception(self._context.request_id, error)
        self._record_outcome(NOT_SENT)
        if self._failures:
            self._fail(self._failures[-1][1])

    def _handle_failure(self, attempt, error):
        """Handle a failed attempt; the other one, if any, goes on."""
        if attempt.is_extra:
            self._record_outcome(FAILED if error.sent else NOT_SENT)
        if not isinstance(error, AttemptError):
            self._fail(error)
            return
        # A failure of an attempt that was sent says more to the caller.
        position = len(self._failures) if error.sent else 0
        self._failures.insert(position, (attempt, error))
        self._cancel_timer()
        if not self._open:
            self._fail(self._failures[-1][1])

    def _fail(self, error):
        self._final_error = error
        self._done.set_exception(error)

    async def _close(self):
        """End all attempts, and wait until they have given back what they held."""
        self._cancel_timer()
        running = [task for task in self._tasks.values() if not task.done()]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._record_outcome(CANCELLED)
        for attempt, failure in self._failures:
            if failure is not self._final_error:
                self._owner.log_failure(self._context, failure, attempt.target)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _count(self, outcome):
        metrics = self._owner.gateway.metrics
        service = metrics.services.bound(self._context.service)
        metrics.extra_attempts.labels(service, outcome).inc()

    def _count_waste(self, attempt):
        if attempt.tracked is not None:
            metrics = self._owner.gateway.metrics
            service = metrics.services.bound(self._context.service)
            wasted_s = self._owner.gateway.clock() - attempt.tracked.begun_s
            metrics.extra_wasted.labels(service).inc(wasted_s)

    def _record_outcome(self, outcome):
        """Count and log the end of the extra attempt, once."""
        extra, self._extra = self._extra, None
        if extra is None:
            return
        self._count(outcome)
        now = self._owner.gateway.clock()
        first_s = self._first.tracked.begun_s
        log_event(
            LogEvent.EXTRA_ATTEMPT_ENDED,
            request=self._context.request_id,
            service=self._context.service,
            first_target=self._first.target.target_id,
            target="" if extra.target is None else extra.target.target_id,
            usual_s=round(self._first.tracked.usual_s, 3),
            after_s=round(now - first_s, 3),
            outcome=outcome,
        )


def get_answer_deadline_s(context):
    """Return when the answer, or its first event, must arrive (monotonic seconds)."""
    admitted = context.admitted
    if admitted.route.streaming:
        return admitted.first_byte_deadline_s
    return admitted.deadline_s
