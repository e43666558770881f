"""Takes a gateway out of service without cutting a request."""

import asyncio

from firworks.events import LogEvent, log_event
from firworks.kernel.pools.messages import MemberLeaving

# The balancer needs two misses, one a second, to stop sending new connections.
DEREGISTRATION_DELAY_S = 2.6
# Kept of the drain limit for the process to end.
EXIT_MARGIN_S = 0.4
DRAIN_POLL_S = 0.02
# A request that was sent before the rotation ended arrives within this time.
QUIET_S = 0.3


async def drain(gateway):
    """Leave the rotation, let requests in progress end, then stop.

    Args:
        gateway (Gateway): What is to stop.
    """
    settings = gateway.settings
    gateway.draining.set()
    log_event(LogEvent.DAEMON_DRAINING, name=settings.name)
    limit_s = gateway.clock() + settings.drain_limit_s - EXIT_MARGIN_S
    gateway.broadcast(MemberLeaving(settings.name, gateway.incarnation))
    leaving = asyncio.ensure_future(gateway.leave())
    await asyncio.sleep(min(DEREGISTRATION_DELAY_S, settings.drain_limit_s / 2))
    gateway.callers.stop_listening()
    await _wait_quiet(gateway, limit_s)
    leaving.cancel()
    await gateway.stop()


async def _wait_quiet(gateway, limit_s):
    """Wait until all connections of callers are closed and nothing is in progress.

    A connection that waits for a request is closed early: one that came shortly before
    the limit could not be answered any more.
    """
    idle_s = gateway.clock() + QUIET_S
    while (now := gateway.clock()) < limit_s:
        if now >= idle_s and gateway.callers.close_idle() and not _is_busy(gateway):
            return
        await asyncio.sleep(DRAIN_POLL_S)


def _is_busy(gateway):
    """Return whether callers or other gateways still wait for a gateway."""
    return gateway.callers.in_progress > 0 or gateway.pools.busy
