"""Graceful shutdown of a gateway without interrupting requests."""

import asyncio

from firworks.events import LogEvent, log_event
from firworks.kernel.pools.messages import MemberLeaving

DRAIN_POLL_S = 0.02


async def drain(gateway):
    """Leave the load balancer's rotation, finish requests in progress, then stop.

    Args:
        gateway (Gateway): The gateway to stop.
    """
    settings = gateway.settings
    log_event(
        LogEvent.DAEMON_DRAINING,
        name=settings.name,
        requests=gateway.callers.in_progress,
    )
    plan = gateway.begin_drain()
    gateway.broadcast(MemberLeaving(settings.name, gateway.incarnation))
    leaving = asyncio.ensure_future(gateway.leave())
    await _sleep_until(gateway, plan.listening_until_s)
    gateway.callers.stop_listening()
    await _sleep_until(gateway, plan.closing_s)
    gateway.callers.close_idle()
    if not await _wait_until_idle(gateway, plan.limit_s):
        log_event(
            LogEvent.DAEMON_DRAIN_TIMEOUT,
            name=settings.name,
            requests=gateway.callers.in_progress,
            pools_busy=gateway.pools.busy,
        )
        await _wait_until_idle(gateway, plan.end_s)
    leaving.cancel()
    await gateway.stop()


async def _sleep_until(gateway, time_s):
    await asyncio.sleep(max(0.0, time_s - gateway.clock()))


async def _wait_until_idle(gateway, limit_s):
    """Wait until all callers' connections are closed and no work is in progress.

    Args:
        gateway (Gateway): The gateway that drains.
        limit_s (float): Monotonic seconds at which to stop waiting.

    Returns:
        bool: Whether that was before the limit.
    """
    while gateway.callers.connected or gateway.pools.busy:
        if gateway.clock() >= limit_s:
            return False
        await asyncio.sleep(DRAIN_POLL_S)
    return True
