"""Permits of this gateway for targets that name a limit of requests per second."""

import asyncio
from functools import singledispatchmethod

from firworks.events import LogEvent, log_event
from firworks.gateway.timers import RestartableTimer
from firworks.kernel.pools.clients import SendTo
from firworks.kernel.target_limits.coordinator import ProbeTarget
from firworks.kernel.target_limits.following import CoordinatorChanged
from firworks.kernel.target_limits.limiter import (
    LimitChanged,
    PermitsArrived,
    TargetLimiter,
)
from firworks.kernel.target_limits.permit_requests import PermitDecided

# Checks of targets that may have crashed come before all requests of callers: a request
# that crashes targets must be found before it is sent again.
CHECK_PRIORITY = -1
# Limited targets listed in a log line about a request.
MAX_LOGGED_TARGETS = 8
DELAYED, MOVED, REFUSED = "delayed", "moved", "refused"


class PermitDeniedError(Exception):
    """No limited target accepts a request in time.

    Attributes:
        retry_after_s (float): When its caller should return.
    """

    def __init__(self, retry_after_s):
        super().__init__("the limits of all targets are used up")
        self.retry_after_s = retry_after_s


class TargetLimits:
    """Executes the actions of a `TargetLimiter` and waits for its permits.

    Args:
        gateway (Gateway): Provides the roster, the pools and the target directory.

    Attributes:
        limiter (TargetLimiter): Decides which requests may be sent.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self.limiter = TargetLimiter(gateway.roster, gateway.rng)
        self._futures = {}
        self._timer = RestartableTimer(gateway.clock, self._run)
        self._tasks = set()

    @property
    def active(self):
        """Whether any target names a limit."""
        return self.limiter.active

    def list_limited(self, targets):
        """Return those of some targets (list of Target) that name a limit."""
        return [target for target in targets if self.is_limited(target)]

    def is_limited(self, target):
        """Return whether a target names a limit."""
        return self.limiter.get_rate(target.incarnation) is not None

    def may_send(self, target):
        """Return whether a request may be sent to a target without waiting."""
        return self.limiter.get_wait_s(target.incarnation, self._clock()) == 0.0

    def take(self, target):
        """Take a permit to send one request now; return whether there was one."""
        return self.limiter.take(target.incarnation, self._clock())

    def prefetch(self, service, targets):
        """Ask for a permit for a later request to a limited one of some targets."""
        limited = [target.incarnation for target in self.list_limited(targets)]
        if limited:
            actions = self.limiter.prefetch(service, limited, self._clock())
            self._execute_all(actions)

    async def acquire(self, service, targets, priority, latest_start_s):
        """Wait for a permit for one of some limited targets; return that target.

        Args:
            service (str): Service of the targets.
            targets (list of Target): Any of them will do.
            priority (int): 0 is the most urgent.
            latest_start_s (float): When the permit is of no more use.

        Raises:
            PermitDeniedError: When there is no permit in time.
        """
        by_incarnation = {target.incarnation: target for target in targets}
        now = self._clock()
        number, actions = self.limiter.request(
            service, tuple(by_incarnation), priority, latest_start_s, now
        )
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        try:
            self._execute_all(actions)
            incarnation = await future
        except PermitDeniedError:
            self._gateway.metrics.permits.labels("denied").inc()
            raise
        finally:
            del self._futures[number]
            self._execute_all(self.limiter.cancel(number, self._clock()))
        self._gateway.metrics.permits.labels("granted").inc()
        return by_incarnation[incarnation]

    async def acquire_for_check(self, target, timeout_s):
        """Wait for a permit to check a target; return whether there is one in time."""
        if self.take(target):
            return True
        try:
            latest_start_s = self._clock() + timeout_s
            async with asyncio.timeout(timeout_s):
                await self.acquire(
                    target.service, [target], CHECK_PRIORITY, latest_start_s
                )
        except (PermitDeniedError, TimeoutError):
            return False
        return True

    def record_response(self, target, rate_per_s, sent_s, request_id):
        """Apply the limit that a response names, or that it names none.

        Args:
            target (Target): The target that responded.
            rate_per_s (float or None): The limit.
            sent_s (float): When its request was sent, in monotonic seconds.
            request_id (str): The caller's request id, for the log.
        """
        actions = self.limiter.record_response(
            target.incarnation, target.service, rate_per_s, sent_s, self._clock()
        )
        if actions:
            self._execute_all(actions, request_id)

    def log_request(self, context, outcome, waited_s):
        """Log that limits affected a request.

        Args:
            context (RequestContext): The request.
            outcome (str): ``DELAYED``, ``MOVED`` or ``REFUSED``.
            waited_s (float): How long it waited for a permit.
        """
        now = self._clock()
        self._gateway.metrics.requests_limited.labels(outcome).inc()
        limits = [
            (incarnation[0], limit.rate_per_s, round(now - limit.received_s, 3))
            for incarnation, limit in self.limiter.limits.items()
            if limit.service == context.service and limit.rate_per_s is not None
        ][:MAX_LOGGED_TARGETS]
        log_event(
            LogEvent.REQUEST_LIMITED,
            request=context.request_id,
            outcome=outcome,
            service=context.service,
            waited_s=round(waited_s, 3),
            targets=[target_id for target_id, _, _ in limits],
            rates_per_s=[rate_per_s for _, rate_per_s, _ in limits],
            ages_s=[age_s for _, _, age_s in limits],
            coordinator=self.limiter.get_coordinator(context.service, now),
        )

    def receive(self, peer, record):
        """Handle a record of another gateway about limits and permits."""
        self._execute_all(self.limiter.receive(record, peer, self._clock()))

    def send_limits(self, peer):
        """Send a newly connected peer all limits that are known here."""
        for record in self.limiter.describe_all(self._clock()):
            self._gateway.pools.peers.send(peer, record)

    def tick(self):
        """Repeat requests for permits and follow the coordinators."""
        self._execute_all(self.limiter.tick(self._clock()))

    def retain(self, incarnations):
        """Forget all targets but these (set of tuple)."""
        self.limiter.retain(incarnations)

    def close(self):
        """Cancel the timer and all probes."""
        self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _run(self):
        self._execute_all(self.limiter.plan(self._clock()))

    def _execute_all(self, actions, request_id=""):
        for action in actions:
            self._execute(action, request_id)
        self._timer.set(self.limiter.next_due_s(self._clock()))

    @singledispatchmethod
    def _execute(self, action, request_id):
        raise TypeError(f"not an action of the limiter: {action!r}")

    @_execute.register
    def _(self, action: SendTo, request_id):
        self._gateway.pools.peers.send(action.peer, action.record)

    @_execute.register
    def _(self, action: LimitChanged, request_id):
        target_id, born_ms = action.incarnation
        fields = {"target": target_id, "born_ms": born_ms, "service": action.service}
        fields |= {"request": request_id, "peer": action.peer}
        if action.rate_per_s is None:
            log_event(LogEvent.TARGET_LIMIT_ENDED, **fields)
        else:
            rate_per_s = action.rate_per_s
            log_event(LogEvent.TARGET_LIMITED, rate_per_s=rate_per_s, **fields)
        self._gateway.pools.plan(action.service)

    @_execute.register
    def _(self, action: CoordinatorChanged, request_id):
        log_event(
            LogEvent.LIMIT_COORDINATOR_CHANGED,
            service=action.service,
            coordinator=action.coordinator,
        )

    @_execute.register
    def _(self, action: PermitDecided, request_id):
        future = self._futures.get(action.number)
        if future is None or future.done():
            return
        if action.incarnation is None:
            future.set_exception(PermitDeniedError(action.retry_after_s))
        else:
            future.set_result(action.incarnation)

    @_execute.register
    def _(self, action: PermitsArrived, request_id):
        self._gateway.pools.plan(action.service)

    @_execute.register
    def _(self, action: ProbeTarget, request_id):
        target = self._gateway.directory.find_known(action.incarnation[0])
        if target is None or target.incarnation != action.incarnation:
            return
        if not self._gateway.availability.may_send_control(target):
            return
        task = asyncio.ensure_future(self._gateway.crashes.checks.probe(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
