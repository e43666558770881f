"""Callers that misbehave on raw connections, beside the other faults of a soak."""

import asyncio

from firworks.tests import misbehaving_callers as behaviors
from firworks.tests.gateway_process import read_peak_bytes
from firworks.tests.misbehaving_callers import misbehave

# Memory and descriptors of the smallest VM of the deployments.
VM_SETTINGS = {"memory_mb": 152, "max_descriptors": 1535}
# Their requests reach no target: bodies never end, and others have no route.
UNROUTED, ROUTED = "/nowhere/a", "/stock/a"
BEHAVIORS = (
    (behaviors.send_body_in_one_piece, ROUTED),
    (behaviors.send_body_in_pieces, ROUTED),
    (behaviors.send_small_chunks, ROUTED),
    (behaviors.send_trailers, UNROUTED),
    (behaviors.send_request_line, UNROUTED),
    (behaviors.send_fields, UNROUTED),
    (behaviors.send_pipelined, UNROUTED),
    (behaviors.send_slowly, UNROUTED),
    (behaviors.send_nothing, UNROUTED),
)
LISTENERS = ("callers", "callers", "readiness", "metrics", "peers")
MAX_CALLERS = 12
GAP_S = 1.0
LONGEST_S = 2.0


class MisbehavingCallers:
    """Lets some callers misbehave at one gateway after the other.

    Args:
        site (Site): Names the gateways.
        rng (random.Random): Chooses gateway, listener, behavior and number.

    Attributes:
        violations (list of str): Processes that took more memory than their VM has.
    """

    def __init__(self, site, rng):
        self.violations = []
        self._site = site
        self._rng = rng

    async def run(self):
        """Let callers misbehave until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / GAP_S))
            gateway = self._rng.choice(self._site.gateways)
            behavior, path = self._rng.choice(BEHAVIORS)
            listener = self._rng.choice(LISTENERS)
            port = int(gateway.get_address(listener).rsplit(":", 1)[1])
            count = self._rng.randint(1, MAX_CALLERS)
            length_s = self._rng.uniform(0.1, LONGEST_S)
            async with misbehave([port], path, behavior, count):
                await asyncio.sleep(length_s)
            self._check_memory(gateway, behavior.__name__)

    def _check_memory(self, gateway, name):
        process = gateway.process
        if process is None or process.poll() is not None:
            return
        try:
            peak_mb = read_peak_bytes(process) / 1e6
        except (OSError, ValueError):
            return  # it has just ended
        if peak_mb > VM_SETTINGS["memory_mb"]:
            self.violations.append(f"{gateway.name}: {peak_mb:.0f} MB after {name}")
