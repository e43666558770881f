"""Testbed whose targets crash under a request, with callers that keep retrying it."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp

from firworks.standins.crashing_targets import (
    DEADLY,
    CrashingEngine,
    CrashingStage,
    CrashingTarget,
)
from firworks.standins.platform_targets import PlatformEngine
from firworks.tests.gateway_testbed import (
    PROMPT,
    GatewayTestbed,
    make_configuration,
    wait_until,
)

# Entries of crashed targets expire after a few missed heartbeats.
LAPSE_S = 0.5
# Without a part that other requests share: only the request itself is a suspect.
OWN_PROMPT = {**PROMPT, "X-Prefix-Hash": "b2:40"}
PIECES = {"X-Pieces": "2,1", **PROMPT}


class CrashTestbed(GatewayTestbed):
    """A running testbed with targets that can crash.

    Attributes:
        statuses (list of int): Statuses of the responses to repeated requests; 0 for
            no response.
    """

    def __init__(self):
        super().__init__()
        self.statuses = []
        self._tasks = set()

    @property
    def crashing(self):
        """The targets that can crash (list)."""
        return [one for one in self.targets.values() if hasattr(one, "ended_s")]

    @property
    def ended_s(self):
        """Times at which targets crashed, sorted (list of float)."""
        return sorted(time_s for one in self.crashing for time_s in one.ended_s)

    @property
    def reached_s(self):
        """Times at which the request reached targets, sorted (list of float)."""
        return sorted(time_s for one in self.crashing for time_s, _ in one.reached)

    async def add_crashing(self, cls, service, count, **traits):
        """Start targets that can crash; `traits` are attributes of `Crashing`."""
        for number in range(1, count + 1):
            target = await self.add_target(cls, f"{service}-{number}", service)
            for name, value in traits.items():
                setattr(target, name, value)
            target.on_run = self._register_run

    def _register_run(self, target, before):
        self.store.put_target(target.target_id, target.make_entry())
        if before != target.target_id:
            self._spawn(self._drop_entry(before))

    async def _drop_entry(self, target_id):
        await asyncio.sleep(LAPSE_S)
        self.store.put_target(target_id, None)

    async def send_tolerantly(self, path, gateway, body=None, **headers):
        """Return the status of a request; 0 when the connection breaks."""
        try:
            return (await self.send_request(path, "POST", gateway, body, **headers))[0]
        except aiohttp.ClientError:
            return 0

    async def repeat(self, path, period_s, count, **headers):
        """Send a request through the gateways in turn every ``period_s``.

        Sends do not wait for earlier responses; returns after all have ended.
        """
        attempts = []
        for number in range(count):
            gateway = self.gateways[number % len(self.gateways)]
            attempts.append(self._spawn(self._send_and_record(path, gateway, headers)))
            await asyncio.sleep(period_s)
        await asyncio.gather(*attempts)

    async def _send_and_record(self, path, gateway, headers):
        self.statuses.append(await self.send_tolerantly(path, gateway, **headers))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self):
        """Stop the gateways, the targets and the store."""
        for task in list(self._tasks):
            task.cancel()
        for gateway in self.gateways:
            await gateway.stop()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()


@asynccontextmanager
async def run_crash_testbed(cls=CrashingTarget, gateways=3, targets=5, **traits):
    """Run a testbed whose targets of one kind can crash.

    Args:
        cls (type): `CrashingTarget`, `CrashingEngine` or `CrashingStage`.
        gateways (int): Number of gateways.
        targets (int): Number of targets that can crash.
        **traits: Attributes of `Crashing`.
    """
    world = CrashTestbed()
    await world.store.start()
    world.store.put_configuration(make_configuration())
    service = {CrashingTarget: "loans", CrashingEngine: "engines"}.get(cls, "repair")
    await world.add_crashing(cls, service, targets, **traits)
    if cls is CrashingStage:
        await world.add_target(PlatformEngine, "engine-1", "engines")
    async with aiohttp.ClientSession() as world.session:
        try:
            for number in range(gateways):
                await world.add_gateway(f"gateway-{number + 1}")
            await wait_until(
                lambda: all(one.roster.count == gateways for one in world.gateways)
            )
            yield world
        finally:
            await world.stop()


def make_path(cls):
    """Return the path and headers of a request that crashes targets of a class."""
    mark = DEADLY.decode()
    if cls is CrashingTarget:
        return f"/stock/{mark}", {}
    if cls is CrashingEngine:
        return f"/rules/{mark}", OWN_PROMPT
    return "/advice/a", {"X-Piece-Key": mark, **PIECES}
