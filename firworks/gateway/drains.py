"""Graceful shutdown of a gateway without interrupting requests."""

import asyncio

from firworks.codes import Code
from firworks.errors import RequestError
from firworks.events import LogEvent, log_event
from firworks.gateway.deadlines import Deadlines
from firworks.kernel.forwarding.drains import DrainPlan, ResponseDurations
from firworks.kernel.pools.messages import MemberLeaving

DRAIN_POLL_S = 0.02


class GracefulShutdown:
    """Leaves the load balancer's rotation and finishes the requests in progress.

    Args:
        gateway (Gateway): The gateway to stop.

    Attributes:
        plan (DrainPlan or None): Its time limits; None before it begins.
        deadlines (Deadlines): Those of the requests in progress.
        durations (ResponseDurations): What responses have taken so far.
    """

    def __init__(self, gateway):
        self.plan = None
        self.deadlines = Deadlines()
        self.durations = ResponseDurations()
        self._gateway = gateway
        self._clock = gateway.clock

    @property
    def begun(self):
        """Whether the gateway drains."""
        return self.plan is not None

    def check(self, admitted):
        """Check that a request (AdmittedRequest) ends before the limit of the drain.

        Raises:
            RequestError: When it may not; it has not begun.
        """
        if not self.begun or self.plan.accepts(
            admitted.route.name, admitted.deadline_s, self._clock()
        ):
            return
        self._gateway.metrics.drain_requests.labels("refused").inc()
        detail = "the gateway stops before the request would end"
        raise RequestError(Code.DRAINING, detail)

    def cuts_off(self, admitted):
        """Return whether the drain ends an `AdmittedRequest` before its deadline."""
        return self.begun and self.plan.cuts_off(admitted.deadline_s)

    async def run(self):
        """Drain the gateway, then stop it."""
        gateway, name = self._gateway, self._gateway.settings.name
        in_progress = gateway.callers.in_progress
        log_event(LogEvent.DAEMON_DRAINING, name=name, requests=in_progress)
        self._begin()
        gateway.broadcast(MemberLeaving(name, gateway.incarnation))
        leaving = asyncio.ensure_future(gateway.leave())
        await self._sleep_until(self.plan.listening_until_s)
        gateway.callers.stop_listening()
        await self._sleep_until(self.plan.closing_s)
        gateway.callers.close_idle()
        if not await self._wait_until_idle(self.plan.limit_s):
            log_event(
                LogEvent.DAEMON_DRAIN_TIMEOUT,
                name=name,
                requests=gateway.callers.in_progress,
                pools_busy=gateway.pools.busy,
            )
            await self._wait_until_idle(self.plan.end_s)
        leaving.cancel()
        await gateway.stop()

    def _begin(self):
        now = self._clock()
        limit_s = self._gateway.settings.drain_limit_s
        self.plan = DrainPlan(now, limit_s, self.durations)
        self.deadlines.bring_forward(self.plan.limit_s - now)

    async def _sleep_until(self, time_s):
        await asyncio.sleep(max(0.0, time_s - self._clock()))

    async def _wait_until_idle(self, limit_s):
        """Wait until all callers' connections are closed and no work is in progress.

        Args:
            limit_s (float): Monotonic seconds at which to stop waiting.

        Returns:
            bool: Whether that was before the limit.
        """
        gateway = self._gateway
        while gateway.callers.connected or gateway.pools.busy:
            if self._clock() >= limit_s:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True
