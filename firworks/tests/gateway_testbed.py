"""A site on loopback: the platform's store, targets and gateways in one loop."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp
from yarl import URL

from firworks.gateway.process import Gateway
from firworks.gateway.settings import make_gateway_settings
from firworks.standins.platform_store import PlatformStore
from firworks.standins.platform_targets import (
    PlatformEngine,
    PlatformStage,
    PlatformTarget,
)

ANY_PORT = "127.0.0.1:0"
KEY = "club-key"
HOST = "desk.example"
PATIENCE_MS = 5_000
POLL_S = 0.01
# Ends a wait for something that never happens.
LIMIT_S = 60.0


def make_route(name, service, kind="idempotent", **more):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4_000,
        "goal-ms": 1_000,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "stages": [],
        "public": False,
        **more,
    }


def make_configuration(version=1, **changes):
    """Return a configuration as the operator writes it."""
    service = {"health-path": "/healthz", "max-conns": 100}
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "call-ms": 20.0,
        "item-ms": 2.0,
        "headroom-mb": 20.0,
        "handle-s": 4.0,
    }
    engine = {"slots": 8, "kv-capacity": 100_000}
    table = {
        "version": version,
        "routes": [
            make_route("stock", "loans"),
            make_route("book", "loans", "non_idempotent", **{"max-attempts": 1}),
            make_route("rules", "engines", "streaming", resumable=True),
            make_route("once", "engines", "streaming"),
            make_route(
                "advice",
                "engines",
                "streaming",
                stages=[
                    {"service": "repair", "after": [], "bytes": 1000},
                    {"service": "repair", "after": [0], "bytes": 1000},
                ],
            ),
            make_route("open", "loans", public=True),
        ],
        "services": [
            {"name": "loans", **service},
            {"name": "engines", **service, "engine": engine},
            {"name": "repair", **service, "pieces": pieces},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "club", "api-keys": [KEY], "priority": 1}],
    }
    return {**table, **changes}


class GatewayTestbed:
    """A running site.

    Attributes:
        store (PlatformStore): The store.
        targets (dict of str to PlatformTarget): By id.
        gateways (list of Gateway): Running ones.
        session (aiohttp.ClientSession): For callers.
    """

    def __init__(self):
        self.store = PlatformStore()
        self.targets = {}
        self.gateways = []
        self.session = None
        self._numbers = 0

    async def add_target(self, cls, target_id, service, domain="fd-1"):
        """Start a target and enter it into the store."""
        target = cls(target_id, service, domain)
        await target.start()
        self.targets[target_id] = target
        self.store.put_target(target_id, target.make_entry())
        return target

    async def add_gateway(self, name, ready=True, **settings):
        """Start a gateway and wait until it is ready."""
        table = {
            "name": name,
            "region": "r",
            "failure_domain": "fd-1",
            "callers": ANY_PORT,
            "readiness": ANY_PORT,
            "peers": ANY_PORT,
            "metrics": ANY_PORT,
            "store": self.store.address,
            **settings,
        }
        gateway = Gateway(make_gateway_settings(table))
        await gateway.start()
        self.gateways.append(gateway)
        if ready:
            await wait_until(lambda: gateway.ready)
        return gateway

    def make_headers(self, key=KEY, **more):
        """Return the headers of a new attempt."""
        self._numbers += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"r{self._numbers}",
            "X-Deadline-Ms": str(PATIENCE_MS),
            **more,
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        return headers

    async def ask(self, path, method="GET", gateway=None, body=None, **headers):
        """Return (status, headers, body) of a caller's request."""
        gateway = gateway or self.gateways[0]
        address = f"http://127.0.0.1:{gateway.callers.port}{path}"
        url = URL(address, encoded=True)
        async with self.session.request(
            method, url, data=body, headers=self.make_headers(**headers)
        ) as answer:
            return answer.status, answer.headers, await answer.read()


@asynccontextmanager
async def run_testbed(gateways=1):
    """Run a site with two targets of each service and some gateways."""
    world = GatewayTestbed()
    await world.store.start()
    world.store.put_configuration(make_configuration())
    for number in (1, 2):
        await world.add_target(PlatformTarget, f"loans-{number}", "loans")
        await world.add_target(PlatformEngine, f"engine-{number}", "engines")
        await world.add_target(PlatformStage, f"repair-{number}", "repair")
    async with aiohttp.ClientSession() as world.session:
        try:
            for number in range(gateways):
                await world.add_gateway(f"gateway-{number + 1}")
            yield world
        finally:
            for gateway in world.gateways:
                await gateway.stop()
            for target in world.targets.values():
                await target.stop()
            await world.store.stop()


async def wait_until(condition):
    """Wait until a condition holds; the test's own limit ends a wait in vain."""
    while not condition():
        await asyncio.sleep(POLL_S)


def play(scenario, gateways=1):
    """Run ``scenario(world)`` on a site."""

    async def run():
        async with asyncio.timeout(LIMIT_S):
            async with run_testbed(gateways) as world:
                await scenario(world)

    asyncio.run(run())
