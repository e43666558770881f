"""Graceful shutdown of a gateway without interrupting requests."""

import asyncio

from firworks.events import LogEvent, log_event
from firworks.kernel.pools.messages import MemberLeaving

# The load balancer removes a gateway after two failed health checks, one per second.
DEREGISTRATION_DELAY_S = 2.6
# Part of the drain limit reserved for the exit of the process.
EXIT_MARGIN_S = 0.4
DRAIN_POLL_S = 0.02
# Requests sent before the load balancer removed the gateway arrive within this time.
LATE_ARRIVAL_S = 0.3


async def drain(gateway):
    """Leave the load balancer's rotation, finish requests in progress, then stop.

    Args:
        gateway (Gateway): The gateway to stop.
    """
    settings = gateway.settings
    gateway.draining.set()
    log_event(LogEvent.DAEMON_DRAINING, name=settings.name)
    limit_s = gateway.clock() + settings.drain_limit_s - EXIT_MARGIN_S
    gateway.broadcast(MemberLeaving(settings.name, gateway.incarnation))
    leaving = asyncio.ensure_future(gateway.leave())
    await asyncio.sleep(min(DEREGISTRATION_DELAY_S, settings.drain_limit_s / 2))
    gateway.callers.stop_listening()
    await _wait_until_idle(gateway, limit_s)
    leaving.cancel()
    await gateway.stop()


async def _wait_until_idle(gateway, limit_s):
    """Wait until no request is in progress and all callers' connections are closed.

    Idle connections are closed early, as a request that arrived on one shortly before
    the limit could not be completed.

    Args:
        gateway (Gateway): The gateway that drains.
        limit_s (float): Monotonic seconds at which to stop waiting.
    """
    last_arrival_s = gateway.clock() + LATE_ARRIVAL_S
    while (now := gateway.clock()) < limit_s:
        if (
            now >= last_arrival_s
            and gateway.callers.close_idle()
            and not _is_busy(gateway)
        ):
            return
        await asyncio.sleep(DRAIN_POLL_S)


def _is_busy(gateway):
    """Return whether requests of callers or jobs of other gateways are in progress."""
    return gateway.callers.in_progress > 0 or gateway.pools.busy
