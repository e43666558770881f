"""Drives one daemon's scheduler in the policy bench, as its request part would."""

from bench.policy_targets import Job
from firworks.codes import Code
from firworks.kernel.budgets import StageBudgets
from firworks.kernel.calls import (
    RESULT_CANCELLED,
    RESULT_OK,
    RESULT_TIMEOUT,
    CallEnded,
    CallIdentity,
    CallChunk,
    CallPlaced,
    CallRejected,
    CallRequested,
    CallWithdrawn,
    HedgeAdvised,
)
from firworks.kernel.fleet.events import FactChanged
from firworks.kernel.node import Kernel, Part
from firworks.kernel.scheduling.scheduler import Scheduler

NETWORK_S = 0.002
MOST_ATTEMPTS = 4
PART_PERIOD_S = 0.25


class Flow:
    """One request in progress at a daemon."""

    def __init__(self, ask, deadline_s, now):
        self.ask = ask
        self.deadline_s = deadline_s
        self.stage = -1
        self.stage_started_s = now
        self.attempt = 0
        self.tried = []
        self.calls = {}
        self.over = False
        self.timer = None


class Attempt:
    """One call of a flow."""

    def __init__(self, flow, call):
        self.flow = flow
        self.call = call
        self.target = None
        self.job = None
        self.started_s = 0.0
        self.first_token_s = 0.0
        self.timer = None


class Driver(Part):
    """One daemon: the real scheduler, and requests that it carries through.

    Args:
        world (World): Clock, targets and callers.
        name (str): The daemon's name.
        document (Document): In force.
        protected (bool): Stage budgets and early refusal act.
        random (random.Random): For the scheduler.
    """

    def __init__(self, world, name, document, protected, random):
        self.world = world
        self.name = name
        self.document = document
        self.protected = protected
        self.budgets = StageBudgets()
        self.scheduler = Scheduler(random, name)
        self.kernel = Kernel([self.scheduler, self])
        self.attempts = {}
        self.flows = []
        self.dead = False
        self._next_call = 0

    def send(self, event):
        """Hand one event to the kernel; a dead daemon takes none."""
        if not self.dead:
            self.kernel.handle(event, self.world.clock.now)

    def handle(self, event, now):
        """Answer the scheduler's signals."""
        if isinstance(event, CallPlaced):
            self._dispatch(event)
        elif isinstance(event, CallRejected):
            return self._take_rejection(event)
        elif isinstance(event, HedgeAdvised):
            return self._hedge(event)
        elif isinstance(event, FactChanged):
            self.world.spread_fact(self, event)
        return []

    def start(self, ask):
        """Begin a request; `ask` is what a caller sent."""
        now = self.world.clock.now
        pipeline = self.document.pipelines[ask.arrival.pipeline]
        remaining = ask.deadline_s - now
        if self.world.is_quarantined(ask.arrival):
            self.world.answer(ask, Code.QUARANTINED, 0.0)
            return
        if self.protected and not self.budgets.can_meet(pipeline, remaining):
            self.world.answer(ask, Code.DEADLINE_TOO_SHORT, 1.0)
            return
        flow = Flow(ask, ask.deadline_s, now)
        self.flows.append(flow)
        flow.timer = self.world.clock.after(remaining, self._expire, flow)
        self._begin_stage(flow)

    def die(self):
        """Lose everything in progress without a word."""
        self.dead = True
        for flow in self.flows:
            if not flow.over:
                self._finish(flow, None)

    def _begin_stage(self, flow):
        flow.stage += 1
        flow.tried = []
        flow.attempt = 0
        flow.stage_started_s = self.world.clock.now
        pipeline = self.document.pipelines[flow.ask.arrival.pipeline]
        if flow.stage == len(pipeline.stages):
            self._finish(flow, Code.OK)
            return
        if not pipeline.stages[flow.stage].repeatable:
            self.world.claim(self, flow, lambda: self.send(self._make_call(flow)))
            return
        self.send(self._make_call(flow))

    def _make_call(self, flow, hedge_of=0):
        arrival = flow.ask.arrival
        pipeline = self.document.pipelines[arrival.pipeline]
        stage = pipeline.stages[flow.stage]
        now = self.world.clock.now
        remaining = flow.deadline_s - now
        if self.protected:
            budget = self.budgets.stage_budget(pipeline, flow.stage, remaining)
        else:
            budget = remaining / (len(pipeline.stages) - flow.stage)
        flow.attempt += 1
        self._next_call += 1
        number = f"{arrival.number}.{flow.ask.count}"
        identity = CallIdentity(self.name, number, flow.stage, flow.attempt)
        call = CallRequested(
            self._next_call,
            identity,
            arrival.account,
            pipeline.name,
            stage.name,
            stage.pool,
            flow.deadline_s,
            budget,
            stage.repeatable,
            deferred=pipeline.deferred,
            prefix=arrival.prefix if stage.model else (),
            avoid=tuple(flow.tried),
            hedge_of=hedge_of,
        )
        attempt = Attempt(flow, call)
        self.attempts[call.call_id] = attempt
        flow.calls[call.call_id] = attempt
        return call

    def _dispatch(self, placed):
        attempt = self.attempts[placed.call_id]
        flow = attempt.flow
        arrival = flow.ask.arrival
        stage = attempt.call.stage
        attempt.target = self.world.targets[placed.target]
        attempt.started_s = self.world.clock.now
        flow.tried.append(placed.target)
        poison = arrival.poison and stage == "generate"
        listener = _Listener(self, attempt)
        attempt.job = Job(
            stage,
            attempt.call.prefix,
            arrival.work_s[stage],
            poison,
            listener,
            placed.priority,
        )
        self.world.count_dispatch(attempt)
        clock = self.world.clock
        clock.after(NETWORK_S, attempt.target.submit, attempt.job)
        attempt.timer = clock.after(placed.timeout_s, self.end, attempt, RESULT_TIMEOUT)

    def end(self, attempt, result):
        """End an attempt and go on with its request."""
        if self._close(attempt, result) and not attempt.flow.over:
            if result == RESULT_OK:
                self._stage_done(attempt)
            elif not attempt.flow.calls:
                self._retry(attempt.flow)

    def _close(self, attempt, result):
        if self.attempts.pop(attempt.call.call_id, None) is None:
            return False
        attempt.flow.calls.pop(attempt.call.call_id, None)
        if attempt.target is None:
            self.send(CallWithdrawn(attempt.call.call_id))
            return True
        attempt.timer.cancelled = True
        if result in (RESULT_CANCELLED, RESULT_TIMEOUT):
            attempt.target.cancel(attempt.job)
        elapsed = self.world.clock.now - attempt.started_s
        self.send(
            CallEnded(
                attempt.call.call_id,
                attempt.target.name,
                attempt.call.pool,
                result,
                elapsed,
                first_token_s=attempt.first_token_s,
                account=attempt.call.account,
            )
        )
        return True

    def _stage_done(self, attempt):
        flow = attempt.flow
        for other in list(flow.calls.values()):
            self._close(other, RESULT_CANCELLED)
        flow.ask.used_s += attempt.job.done_s
        if attempt.first_token_s and attempt.call.stage == "generate":
            first = attempt.started_s + attempt.first_token_s
            flow.ask.first_token_s = first - flow.ask.arrival.at_s
        elapsed = self.world.clock.now - flow.stage_started_s
        self.budgets.observe(attempt.call.pipeline, attempt.call.stage, elapsed)
        self._begin_stage(flow)

    def _retry(self, flow):
        pipeline = self.document.pipelines[flow.ask.arrival.pipeline]
        repeatable = pipeline.stages[flow.stage].repeatable
        if not repeatable:
            self._finish(flow, Code.OUTCOME_UNKNOWN)
        elif flow.attempt >= MOST_ATTEMPTS or self.world.is_quarantined(
            flow.ask.arrival
        ):
            self._finish(flow, Code.TARGET_FAILED)
        else:
            self.send(self._make_call(flow))

    def _take_rejection(self, event):
        attempt = self.attempts.pop(event.call_id, None)
        if attempt is None:
            return []
        flow = attempt.flow
        flow.calls.pop(event.call_id)
        if not flow.calls and not flow.over:
            self._finish(flow, event.code, event.retry_after_s)
        return []

    def _hedge(self, event):
        attempt = self.attempts.get(event.call_id)
        if attempt is None or attempt.flow.over:
            return []
        return [self._make_call(attempt.flow, hedge_of=event.call_id)]

    def _expire(self, flow):
        if not flow.over:
            self._finish(flow, Code.DEADLINE_EXCEEDED)

    def _finish(self, flow, code, retry_after_s=0.0):
        flow.over = True
        flow.timer.cancelled = True
        for attempt in list(flow.calls.values()):
            self._close(attempt, RESULT_CANCELLED)
        self.world.answer(flow.ask, code, retry_after_s)


class _Listener:
    """Receives what happens to one job."""

    def __init__(self, driver, attempt):
        self._driver = driver
        self._attempt = attempt

    def job_first_token(self, job):
        driver = self._driver
        attempt = self._attempt
        if attempt.call.prefix:
            attempt.first_token_s = driver.world.clock.now - attempt.started_s
            self._send_part(job)

    def _send_part(self, job):
        """Stream on for as long as the job runs at a living target."""
        driver = self._driver
        attempt = self._attempt
        if job.state == "running" and not attempt.target.dead:
            tokens = attempt.target.count_tokens(job)
            if tokens:
                part = CallChunk(attempt.call.call_id, "", 0, ("t",) * tokens)
                driver.send(part)
            driver.world.clock.after(PART_PERIOD_S, self._send_part, job)

    def job_done(self, job):
        self._driver.end(self._attempt, RESULT_OK)

    def job_failed(self, job, result):
        if result == "crashed":
            self._driver.world.count_crash(self._attempt)
        self._driver.end(self._attempt, result)
