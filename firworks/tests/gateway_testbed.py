"""A testbed on loopback: the platform's store, targets and gateways in one loop."""

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

EPHEMERAL_ADDRESS = "127.0.0.1:0"
KEY = "club-key"
HOST = "desk.example"
DEADLINE_MS = 5_000
PROMPT = {"X-Model": "m", "X-Token-Counts": "40,20", "X-Prefix-Hash": "a1:30,b2:10"}
POLL_S = 0.01
# Ends tests that wait for something that never happens.
TEST_TIMEOUT_S = 60.0


def make_route(name, service, kind="idempotent", **more):
    """Return a route (dict) in the operator's format."""
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
    """Return a configuration (dict) in the operator's format."""
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
    """A running store with its targets and gateways.

    Attributes:
        store (PlatformStore): The store.
        targets (dict of str to PlatformTarget): The targets by id.
        gateways (list of Gateway): The running gateways.
        session (aiohttp.ClientSession): Sends the callers' requests.
    """

    def __init__(self):
        self.store = PlatformStore()
        self.targets = {}
        self.gateways = []
        self.session = None
        self._numbers = 0

    async def add_target(self, cls, target_id, service, domain="fd-1"):
        """Start a target, write its entry to the store, and return it."""
        target = cls(target_id, service, domain)
        await target.start()
        self.targets[target_id] = target
        self.store.put_target(target_id, target.make_entry())
        return target

    async def add_gateway(self, name, ready=True, **settings):
        """Start a gateway and return it, by default once it is ready."""
        table = {
            "name": name,
            "region": "r",
            "failure_domain": "fd-1",
            "callers": EPHEMERAL_ADDRESS,
            "readiness": EPHEMERAL_ADDRESS,
            "peers": EPHEMERAL_ADDRESS,
            "metrics": EPHEMERAL_ADDRESS,
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
        """Return the headers of a new request."""
        self._numbers += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"r{self._numbers}",
            "X-Deadline-Ms": str(DEADLINE_MS),
            **more,
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        return headers

    async def send_request(
        self, path, method="GET", gateway=None, body=None, **headers
    ):
        """Send a caller's request; return (status, headers, body) of the response."""
        gateway = gateway or self.gateways[0]
        address = f"http://127.0.0.1:{gateway.callers.port}{path}"
        url = URL(address, encoded=True)
        async with self.session.request(
            method, url, data=body, headers=self.make_headers(**headers)
        ) as answer:
            return answer.status, answer.headers, await answer.read()


@asynccontextmanager
async def run_testbed(gateways=1):
    """Run a testbed with two targets of each service and some gateways."""
    testbed = GatewayTestbed()
    await testbed.store.start()
    testbed.store.put_configuration(make_configuration())
    for number in (1, 2):
        await testbed.add_target(PlatformTarget, f"loans-{number}", "loans")
        await testbed.add_target(PlatformEngine, f"engine-{number}", "engines")
        await testbed.add_target(PlatformStage, f"repair-{number}", "repair")
    async with aiohttp.ClientSession() as testbed.session:
        try:
            for number in range(gateways):
                await testbed.add_gateway(f"gateway-{number + 1}")
            yield testbed
        finally:
            for gateway in testbed.gateways:
                await gateway.stop()
            for target in testbed.targets.values():
                await target.stop()
            await testbed.store.stop()


async def wait_until(condition):
    """Wait until a condition holds; ``TEST_TIMEOUT_S`` limits the wait."""
    while not condition():
        await asyncio.sleep(POLL_S)


async def run_together(run, cases):
    """Run ``run(case)`` for all cases at the same time.

    Raises:
        AssertionError: Names the cases that failed.
    """
    results = await asyncio.gather(*map(run, cases), return_exceptions=True)
    failed = {
        str(case): repr(result)
        for case, result in zip(cases, results, strict=True)
        if isinstance(result, BaseException)
    }
    assert not failed, failed


def play_cases(make_scenario, cases):
    """Run ``make_scenario(*case)`` on a testbed of its own for each case, together.

    Args:
        make_scenario (callable): Returns a scenario.
        cases (list of tuple): Number of gateways and arguments of each case.
    """

    async def run(case):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            async with run_testbed(case[0]) as testbed:
                await make_scenario(*case[1:])(testbed)

    asyncio.run(run_together(run, cases))


def run(test):
    """Run a test coroutine within ``TEST_TIMEOUT_S``."""

    async def limited():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test()

    asyncio.run(limited())


def play(scenario, gateways=1):
    """Run ``scenario(testbed)`` on a new testbed, within ``TEST_TIMEOUT_S``."""

    async def run_scenario():
        async with run_testbed(gateways) as testbed:
            await scenario(testbed)

    run(run_scenario)
