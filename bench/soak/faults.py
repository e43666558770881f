"""Draws faults from a seed and injects them, in series and overlapping."""

import asyncio
from collections import deque
from functools import partial

from bench.soak.gateways import PAUSED
from bench.soak.proxies import FAULTS
from bench.soak.site import SERVICES, TARGETS_PER_SERVICE
from firworks.platform.store import TARGETS_TOPIC

TARGET_FAULTS = (
    "busy",
    "fail",
    "reset",
    "hang",
    "cut",
    "foreign",
    "surplus",
    "joined",
    "stray",
    "unframed",
    "unframed reset",
    "unframed torn",
)
_ODD_ENTRY = (
    b'{"service": "engines", "address": "127.0.0.1:%b", "zone": "fd-1", '
    b'"slots": %b, "state": "ready", "cold-left-ms": %b}'
)
ODD_ENTRIES = (
    _ODD_ENTRY % (b"80", b"1e999", b"0"),
    _ODD_ENTRY % (b"80", b"NaN", b"0"),
    _ODD_ENTRY % (b"80", b"4", b"9" * 400),
    _ODD_ENTRY % (b"9" * 5_000, b"4", b"0"),
    _ODD_ENTRY % (b"70000", b"4", b"0"),
    b"[" * 100_000,
)
# How many copies of the store are kept; one is taken before each fault.
COPIES = 8
STORE_FAULTS = ("down", "silent")
LONGEST_S = 3.0
# Mean time from one fault to the next.
GAP_S = 0.7


class FaultPlan:
    """Faults of one run; each is noted with its begin and end.

    Args:
        site (Site): What to harm.
        rng (random.Random): Decides everything.

    Attributes:
        spans (list of (float, float, str, str)): Begin, end, kind and what was harmed.
    """

    def __init__(self, site, rng):
        self.spans = []
        self._site = site
        self._rng = rng
        self._running = set()
        self._copies = deque(maxlen=COPIES)
        self._kinds = (
            (3, self._signal_gateways),
            (2, self._pause_gateway),
            (3, self._harm_target),
            (3, self._harm_way),
            (2, self._harm_store),
            (2, self._change_configuration),
            (2, self._replace_target),
            (2, self._end_targets),
            (2, self._say_leaving),
            (2, self._rest_target),
            (1, self._kill_all_gateways),
            (1, self._write_odd_entries),
            (2, self._repeat_refusals),
        )

    async def run(self, length_s):
        """Inject faults for some seconds, then let all end."""
        end_s = self._site.clock() + length_s
        while self._site.clock() < end_s:
            await asyncio.sleep(self._rng.expovariate(1 / GAP_S))
            self._copies.append(self._site.store.take_copy())
            weights = [weight for weight, _ in self._kinds]
            _, inject = self._rng.choices(self._kinds, weights)[0]
            task = asyncio.ensure_future(inject())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        await asyncio.gather(*self._running)
        self._site.publish()

    def was_harmed(self, begin_s, end_s, kinds):
        """Return whether a fault of some kinds was there in a time."""
        return any(
            kind in kinds and first_s <= end_s and last_s >= begin_s
            for first_s, last_s, kind, _ in self.spans
        )

    async def _hold(self, kind, what, heal=None):
        """Note a fault, keep it for a time and heal it."""
        now = self._site.clock()
        length_s = self._rng.uniform(0.1, LONGEST_S)
        self.spans.append((now, now + length_s, kind, what))
        await asyncio.sleep(length_s)
        if heal is not None:
            heal()

    async def _signal_gateways(self):
        """Send a series of signals, to one gateway or to many."""
        act = self._rng.choice(("terminate", "terminate", "kill", "hang up"))
        count = self._rng.choice((1, 1, 2, len(self._site.gateways)))
        for gateway in self._rng.sample(self._site.gateways, count):
            if act == "hang up":
                ratio = self._rng.choice((0.1, 0.2))
                gateway.change_settings(retry_ratio=ratio)
            else:
                getattr(gateway, act)()
            await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.3, 1.0)))

    async def _kill_all_gateways(self):
        """Kill all gateways at once; some soon after a release."""
        if self._rng.random() < 0.5:
            service, cls = SERVICES[1]
            await self._site.add_target(service, cls)
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        for gateway in self._site.gateways:
            gateway.kill()

    async def _write_odd_entries(self):
        """Let another writer leave odd entries among those of the targets."""
        for number in range(3):
            data = self._rng.choice(ODD_ENTRIES)
            self._site.store.put(TARGETS_TOPIC, f"odd-{number}", data)
        await asyncio.sleep(0)

    async def _repeat_refusals(self):
        """Let a target refuse requests, and repeat the refusals later."""
        target = self._rng.choice(self._site.list_serving())
        target.repeat_refusal_after = self._rng.choice((1, 2, 4))
        await self._hold(
            "target", f"{target.target_id} repeats", partial(_heal, target)
        )

    async def _pause_gateway(self):
        gateway = self._rng.choice(self._site.gateways)
        gateway.pause()
        await self._hold(PAUSED, gateway.name, gateway.resume)

    async def _harm_target(self):
        target = self._rng.choice(self._site.list_serving())
        fault = self._rng.choice(TARGET_FAULTS)
        target.fault = fault
        await self._hold(
            "target", f"{target.target_id} {fault}", partial(_heal, target)
        )

    async def _harm_way(self):
        """Harm what passes to a target, or from a gateway to the store."""
        proxies = [("way to target", item) for item in self._site.proxies.items()]
        proxies += [("way to store", item) for item in self._site.store_proxies.items()]
        kind, (name, proxy) = self._rng.choice(proxies)
        fault = self._rng.choice(FAULTS)
        proxy.set_fault(fault)
        await self._hold(kind, f"{name} {fault}", lambda: proxy.set_fault(""))

    async def _harm_store(self):
        fault = self._rng.choice((*STORE_FAULTS, "turns away", "forgets", "restored"))
        store = self._site.store
        if fault == "turns away":
            names = [one.name for one in self._site.gateways]
            some = self._rng.sample(names, max(1, len(names) // 2))
            store.turned_away.update(some)
            await self._hold("store", fault, store.turned_away.clear)
        elif fault == "forgets":
            for topic in list(store._topics):
                store.trim(topic)
            await self._hold("store", fault)
        elif fault == "restored":
            store.down, copy = True, self._rng.choice(self._copies)
            await self._hold("store", fault, lambda: self._site.restore_store(copy))
        else:
            setattr(store, fault, True)
            await self._hold("store", fault, lambda: setattr(store, fault, False))

    async def _change_configuration(self):
        """Publish configurations in quick succession."""
        for _ in range(self._rng.choice((1, 1, 3))):
            self._site.publish(
                routed=self._rng.random() < 0.7,
                keyed=self._rng.random() < 0.7,
                timeout_ms=self._rng.choice((3_500, 4_000)),
            )
            await asyncio.sleep(self._rng.uniform(0.0, 0.4))

    async def _replace_target(self):
        """Let a target leave after another one has come."""
        service, cls = self._rng.choice(SERVICES)
        serving = [t for t in self._site.list_serving() if t.service == service]
        if len(serving) > TARGETS_PER_SERVICE:
            return
        await self._site.add_target(service, cls)
        target = self._rng.choice(serving)
        self._site.drain_target(target)
        await asyncio.sleep(LONGEST_S)
        self._site.store.put_target(target.target_id, None)

    async def _end_targets(self):
        """End one target, or all of a service at one moment."""
        service, _ = self._rng.choice(SERVICES)
        serving = [t for t in self._site.list_serving() if t.service == service]
        some = serving if self._rng.random() < 0.3 else [self._rng.choice(serving)]
        for target in [one for one in some if not one.down]:
            target.end()
        await self._hold("target", f"{len(some)} of {service} ended")

    async def _say_leaving(self):
        """Let a target say that it leaves; later it ends and starts anew."""
        target = self._rng.choice(self._site.list_serving())
        target.leaves = True
        await self._hold("leaving", target.target_id)
        if target.leaves and not target.down:
            target.end()

    async def _rest_target(self):
        """Let a target want no work for a time."""
        target = self._rng.choice(self._site.list_serving())
        target.fault = "busy"
        target.retry_after = str(self._rng.choice((1, 2.5, 4)))
        await self._hold("target", f"{target.target_id} rests", partial(_heal, target))


def _heal(target):
    target.fault = ""
    target.retry_after = None
    target.repeat_refusal_after = 0
