"""Sites whose targets end under a request, and callers that send it again and again."""

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
from firworks.tests.gateway_testbed import GatewayTestbed, make_configuration, wait_until

# Entries of runs that ended go after a few heartbeats without a sign of life.
LAPSE_S = 0.5
PROMPT = {"X-Model": "m", "X-Token-Counts": "40,20", "X-Prefix-Hash": "a1:30,b2:10"}
PIECES = {"X-Pieces": "2,1", **PROMPT}


class CrashTestbed(GatewayTestbed):
    """A running site with targets that end.

    Attributes:
        statuses (list of int): Of the answers to repeated requests, 0 without one.
    """

    def __init__(self):
        super().__init__()
        self.statuses = []
        self._tasks = set()

    @property
    def crashing(self):
        """The targets that can end (list)."""
        return [one for one in self.targets.values() if hasattr(one, "ended_s")]

    @property
    def ended_s(self):
        """When targets ended, in order (list of float)."""
        return sorted(time_s for one in self.crashing for time_s in one.ended_s)

    @property
    def reached_s(self):
        """When the deadly request reached targets, in order (list of float)."""
        return sorted(time_s for one in self.crashing for time_s, _ in one.reached)

    async def add_crashing(self, cls, service, count, **traits):
        """Start targets that can end; `traits` are attributes of `Crashing`."""
        for number in range(1, count + 1):
            target = await self.add_target(cls, f"{service}-{number}", service)
            for name, value in traits.items():
                setattr(target, name, value)
            target.on_run = self._note_run

    def _note_run(self, target, before):
        self.store.put_target(target.target_id, target.make_entry())
        if before != target.target_id:
            self._spawn(self._drop_entry(before))

    async def _drop_entry(self, target_id):
        await asyncio.sleep(LAPSE_S)
        self.store.put_target(target_id, None)

    async def send_tolerantly(self, path, gateway, **headers):
        """Return the status of a request; 0 when its answer is cut off."""
        try:
            return (await self.ask(path, "POST", gateway, **headers))[0]
        except aiohttp.ClientError:
            return 0

    async def repeat(self, path, period_s, count, **headers):
        """Send a request through the gateways in turn, without waiting for answers."""
        tries = []
        for number in range(count):
            gateway = self.gateways[number % len(self.gateways)]
            tries.append(self._spawn(self._try(path, gateway, headers)))
            await asyncio.sleep(period_s)
        await asyncio.gather(*tries)

    async def _try(self, path, gateway, headers):
        self.statuses.append(await self.send_tolerantly(path, gateway, **headers))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self):
        """Stop all parts."""
        for task in list(self._tasks):
            task.cancel()
        for gateway in self.gateways:
            await gateway.stop()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()


@asynccontextmanager
async def run_crash_testbed(cls=CrashingTarget, gateways=3, targets=5, **traits):
    """Run a site whose targets of one kind can end.

    Args:
        cls (type): `CrashingTarget`, `CrashingEngine` or `CrashingStage`.
        gateways (int): How many.
        targets (int): How many can end.
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
    """Return the path and headers of a request that ends targets of a kind."""
    mark = DEADLY.decode()
    if cls is CrashingTarget:
        return f"/stock/{mark}", {}
    if cls is CrashingEngine:
        return f"/rules/{mark}", PROMPT
    return "/advice/a", {"X-Piece-Key": mark, **PIECES}
