"""A small site: stand-ins in this process, gateways in their own, proxies between."""

import asyncio
import os
import socket
from contextlib import asynccontextmanager
from random import Random

import aiohttp

from bench.soak.callers import VERSIONS
from bench.soak.gateways import DRAIN_LIMIT_S, GatewayProcess
from bench.soak.misbehaving import VM_SETTINGS
from bench.soak.proxies import LoopbackProxy
from firworks.platform.store import TARGETS_TOPIC
from firworks.standins.crashing_targets import (
    MANNERS,
    CrashingEngine,
    CrashingStage,
    CrashingTarget,
)
from firworks.standins.platform_store import PlatformStore
from firworks.standins.web import LOOPBACK
from firworks.tests.gateway_testbed import KEY, make_configuration

OTHER_KEY = "key-other"
OTHER_ACCOUNT = "other"
LEAVE_LIMIT_S = 2.0
# Before each event of an engine.
EVENT_PAUSES_S = (0.0, 0.02, 0.1)
DOMAINS = ("fd-1", "fd-2", "fd-3")
SERVICES = (
    ("loans", CrashingTarget),
    ("engines", CrashingEngine),
    ("repair", CrashingStage),
)
TARGETS_PER_SERVICE = 3
# The platform asks each gateway whether it is ready, and leaves it after two misses.
READY_PERIOD_S = 1.0
MISSES = 2
HEARTBEAT_S = 1.2
# The entry of a run that ended goes after three heartbeats.
LAPSE_S = 3.6
# Below the ports that outgoing connections are given; each soak has some of its own,
# so that another one does not take the port of a gateway that is down.
FIRST_PORT = 20_000
PORTS_PER_SOAK = 100
SOAKS = 120


class Site:
    """Everything that a soak runs.

    Args:
        folder (Path): For settings and logs of the gateways.
        gateways (int): How many.
        seed (int): Of what the site itself draws.

    Attributes:
        store (PlatformStore): The store.
        store_proxies (dict of str to LoopbackProxy): On each gateway's way to it.
        targets (dict of str to PlatformTarget): By id, also those that are gone.
        proxies (dict of str to LoopbackProxy): On the way to each target.
        gateways (list of GatewayProcess): The gateways.
        left_s (dict of str to float): When the store was told that a target leaves.
        changes (list of (float, bool, bool)): When a configuration was written, and
            whether it has route "open" and the other account's key.
    """

    def __init__(self, folder, gateways, seed):
        self.store = PlatformStore()
        self.store_proxies = {}
        self.targets = {}
        self.proxies = {}
        self.gateways = []
        self.left_s = {}
        self.changes = []
        self._folder = folder
        self._count = gateways
        self._rng = Random(seed)
        self._versions_rng = Random(f"versions/{seed}")
        self._version = 0
        self._table = {}
        self._rotation = {}
        self._tasks = []
        self._numbers = 0
        self._ports = []

    def clock(self):
        """Return the loop's seconds."""
        return asyncio.get_running_loop().time()

    async def start(self):
        """Start all parts."""
        await self.store.start()
        self.publish()
        for service, cls in SERVICES:
            for _ in range(TARGETS_PER_SERVICE):
                await self.add_target(service, cls)
        self._ports = find_free_ports(4 * self._count)
        for number in range(self._count):
            await self._add_gateway(f"gateway-{number + 1}", number)
        self._tasks.append(asyncio.ensure_future(self._watch_readiness()))
        self._tasks.append(asyncio.ensure_future(self._refresh_entries()))

    async def stop(self):
        """Stop all parts."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.stop()
        for proxy in [*self.proxies.values(), *self.store_proxies.values()]:
            await proxy.stop()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()

    def publish(self, routed=True, keyed=True, timeout_ms=4_000):
        """Write a newer configuration.

        Args:
            routed (bool): Route "open" exists.
            keyed (bool): The other account's key exists.
            timeout_ms (int): Of all routes.
        """
        self._version += self._rng.randint(1, 3)
        table = make_configuration(self._version)
        for route in table["routes"]:
            route["timeout-ms"] = timeout_ms
        if not routed:
            table["routes"] = [r for r in table["routes"] if r["name"] != "open"]
        keys = [OTHER_KEY] if keyed else []
        other = {"name": OTHER_ACCOUNT, "api-keys": keys, "priority": 2}
        table["tenants"].append(other)
        self._table = table
        self.store.put_configuration(table)
        self.changes.append((self.clock(), routed, keyed))

    def restore_store(self, copy):
        """Bring the store back from a copy; what was written since is written again."""
        self.store.restore(copy)
        self.store.down = False
        self.store.put_configuration(self._table)
        for name, target in self.targets.items():
            if name in self.left_s:
                self.store.put_target(name, target.make_entry("draining"))
        asyncio.get_running_loop().call_later(LAPSE_S, self._drop_silent)

    def _drop_silent(self):
        """Remove the entries of targets that do not write them any more."""
        for name in self.store.get_values(TARGETS_TOPIC):
            if name not in self.targets:
                self.store.put_target(name, None)

    async def add_target(self, service, cls):
        """Start a target behind a proxy and enter it."""
        self._numbers += 1
        domain = DOMAINS[self._numbers % len(DOMAINS)]
        target = cls(f"{service}-{self._numbers}", service, domain)
        await target.start()
        proxy = LoopbackProxy(target.address)
        await proxy.start()
        self.targets[target.target_id] = target
        self.proxies[target.target_id] = proxy
        target.manner = self._rng.choice(MANNERS)
        target.back_s = self._rng.choice((0.0, 0.3, 1.0))
        target.on_run = self._note_run
        target.pause_s = self._versions_rng.choice(EVENT_PAUSES_S)
        if self._numbers > len(SERVICES) * TARGETS_PER_SERVICE:
            target.version = self._versions_rng.choice(VERSIONS)
        # Entries and handles name the proxy.
        target.address = proxy.address
        self.store.put_target(target.target_id, target.make_entry())
        return target

    def _note_run(self, target, before):
        """Enter a target's new run; the entry of the one that ended lapses."""
        for known in (self.targets, self.proxies):
            known[target.target_id] = known.pop(before)
        if before == target.target_id:
            self.store.put_target(target.target_id, target.make_entry())
        else:
            target.version = self._versions_rng.choice((target.version, *VERSIONS))
            self.store.put_target(target.target_id, target.make_entry())
            loop = asyncio.get_running_loop()
            loop.call_later(LAPSE_S, self.store.put_target, before, None)

    def list_announced(self):
        """Return id, arrivals and told of all runs of targets (list of tuple)."""
        targets = self.targets.values()
        past = [run for target in targets for run in target.past]
        return past + [(one.target_id, one.arrivals, one.announced) for one in targets]

    def list_serving(self):
        """Return the targets that do not leave."""
        return [
            target for name, target in self.targets.items() if name not in self.left_s
        ]

    def drain_target(self, target):
        """Let a target tell that it leaves."""
        self.left_s[target.target_id] = self.clock()
        entry = target.make_entry("draining")
        self.store.put_target(target.target_id, entry)

    def choose_gateway(self, rng):
        """Return a gateway that is in rotation, or any if none is."""
        ready = [
            one for one in self.gateways if self._rotation.get(one.name, 0) < MISSES
        ]
        return rng.choice(ready or self.gateways)

    def choose_key(self, rng):
        """Return the key of one of the accounts."""
        return rng.choice((KEY, KEY, OTHER_KEY))

    async def _add_gateway(self, name, number):
        proxy = LoopbackProxy(self.store.address)
        await proxy.start()
        self.store_proxies[name] = proxy
        ports = {
            listener: f"{LOOPBACK}:{port}"
            for listener, port in zip(
                ("callers", "readiness", "peers", "metrics"),
                self._ports[4 * number :],
                strict=False,
            )
        }
        seeds = [one.get_address("peers") for one in self.gateways[:3]]
        settings = {
            "name": name,
            "region": "r",
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "store": proxy.address,
            "seeds": seeds,
            "drain_limit_s": DRAIN_LIMIT_S,
            "leave_limit_ms": int(LEAVE_LIMIT_S * 1000),
            **VM_SETTINGS,
            **ports,
        }
        gateway = GatewayProcess(settings, self._folder, self.clock)
        gateway.start()
        self.gateways.append(gateway)

    async def _watch_readiness(self):
        timeout = aiohttp.ClientTimeout(total=READY_PERIOD_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(self._ask_ready(session, one) for one in self.gateways)
                )
                await asyncio.sleep(READY_PERIOD_S)

    async def _ask_ready(self, session, gateway):
        url = f"http://{gateway.get_address('readiness')}/readyz"
        try:
            async with session.get(url) as answer:
                ready = answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            ready = False
        misses = 0 if ready else self._rotation.get(gateway.name, 0) + 1
        self._rotation[gateway.name] = misses

    async def _refresh_entries(self):
        """Let targets write their entries again, as they do to show that they live."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for target in [one for one in self.list_serving() if not one.down]:
                self.store.put_target(target.target_id, target.make_entry())


@asynccontextmanager
async def run_site(folder, gateways, seed):
    """Run a `Site`."""
    site = Site(folder, gateways, seed)
    try:
        await site.start()
        yield site
    finally:
        await site.stop()


def find_free_ports(count):
    """Return some different ports that nothing listens on."""
    ports = []
    first = FIRST_PORT + os.getpid() % SOAKS * PORTS_PER_SOAK
    for port in range(first, first + PORTS_PER_SOAK):
        with socket.socket() as one:
            try:
                one.bind((LOOPBACK, port))
            except OSError:
                continue  # something listens there
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"fewer than {count} ports are free from {first} on")
