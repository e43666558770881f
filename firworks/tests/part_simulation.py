"""A fleet in virtual time: requests with shared parts, some of which crash engines.

Crash trackers and suspensions are those of the gateways; engines, messages, stages and
checks of engines are simulated.
"""

import asyncio
from random import Random
from types import SimpleNamespace

from firworks.gateway.crashes import CrashTracker
from firworks.gateway.metrics import GatewayMetrics
from firworks.gateway.pools import PoolRefusedError
from firworks.gateway.suspensions import Suspensions
from firworks.kernel.forwarding.features import list_shared_parts, make_fingerprint
from firworks.kernel.forwarding.outcomes import (
    BROKEN,
    NOT_RUN,
    AttemptError,
    Progress,
)
from firworks.kernel.forwarding.requests import Prompt
from firworks.kernel.pools.messages import MemberEntry
from firworks.kernel.pools.roster import Roster
from firworks.plugins.peer_handshake import PROTOCOL

SYSTEM_PART = "system"
DEADLY_PART = "dead"
MESSAGE_S = (0.002, 0.02)
STAGES_S = (0.2, 0.5)
FIRST_EVENT_S = (0.1, 0.4)
STREAM_S = (0.5, 2.0)
CHECK_S = (0.005, 0.04)
BACK_S = 3.0
MAX_ATTEMPTS = 2


class Engine:
    """An engine that requests with the deadly part crash.

    Attributes:
        name (str): Its id.
        run (int): Number of its incarnation.
        up (bool): It runs.
        in_flight (dict of asyncio.Future): One for each request that it has; set when
            it crashes, in the order in which the requests came.
    """

    __slots__ = ("name", "run", "up", "in_flight")

    def __init__(self, name):
        self.name = name
        self.run = 0
        self.up = True
        self.in_flight = {}

    @property
    def incarnation(self):
        """Its identity, as a tuple."""
        return (self.name, self.run)


class SimulatedGateway:
    """What a `CrashTracker` needs of a gateway."""

    def __init__(self, fleet, name):
        loop = asyncio.get_running_loop()
        self.clock = loop.time
        self.metrics = GatewayMetrics()
        self.roster = Roster(make_member(name))
        self.store = self.connections = self.availability = self.limits = None
        self.pools = SimpleNamespace(peers=self)
        self.connected = True
        self._fleet = fleet
        self.crashes = CrashTracker(self)
        self.crashes.checks = self
        self.suspensions = Suspensions(self.crashes)

    def send(self, peer, record):
        """Send a record to a peer, which gets it a little later."""
        self._fleet.deliver(self, peer, record)

    def get_protocol(self, peer):
        """Return the protocol version (int) of a peer."""
        return self._fleet.protocol

    def broadcast(self, record):
        """Send a record to all peers."""
        for name in self.roster.names:
            self.send(name, record)

    async def wait(self, incarnation):
        """Wait for a check of an engine to end."""
        await asyncio.sleep(CHECK_S[1])


class Request:
    """The state of a request, as `Suspensions` needs it."""

    def __init__(self, number, part_ids):
        self.fingerprint = make_fingerprint(f"/{number}", None, None)
        prompt = Prompt("m", 0, 0, tuple((one, 0) for one in (*part_ids, "own")))
        self.parts = list_shared_parts(prompt)
        self.features = (self.fingerprint, *self.parts)
        self.progress = Progress(True, MAX_ATTEMPTS)
        self.trial, self.part_trial = False, ()
        self.incarnation = self.response = None
        self.may_have_run = False
        self.deadly = any(one.startswith(DEADLY_PART) for one in part_ids)
        self.served = None
        self.begun_s = asyncio.get_running_loop().time()


class PartSimulation:
    """A fleet of gateways and engines.

    Args:
        gateways (int): Number of gateways.
        engines (int): Number of engines.
        seed (int): Seed of all random choices.
        order_seed (int or None): Seed of the order in which requests notice a crash of
            their engine; None for the order in which they came.

    Attributes:
        requests (list of Request): All requests, in order.
        crashes_s (list of float): When requests crashed engines.
        deadly_sends_s (list of float): When requests with the deadly part reached one.
        messages (int): Records sent between gateways.
        protocol (int): Version of the protocol between them.
    """

    def __init__(self, gateways, engines, seed=1, order_seed=None):
        self.requests = []
        self.crashes_s = []
        self.deadly_sends_s = []
        self.messages = 0
        self.protocol = PROTOCOL
        self._rng = Random(seed)
        self._order_rng = None if order_seed is None else Random(order_seed)
        self._engines = [Engine(f"engine-{n}") for n in range(engines)]
        self.gateways = {}
        for number in range(gateways):
            self.add_gateway(f"gateway-{number}")
        self._tasks = set()

    def add_gateway(self, name):
        """Start a gateway, which gets the suspicions of all others."""
        new = self.gateways[name] = SimulatedGateway(self, name)
        for other in self.gateways.values():
            if other is not new:
                other.roster.put(new.roster.own)
                new.roster.put(other.roster.own)
                other.crashes.send_suspicions(name)
        return new

    def remove_gateway(self, name):
        """Kill a gateway."""
        del self.gateways[name]
        for other in self.gateways.values():
            other.roster.remove(name)

    def deliver(self, sender, peer, record):
        """Deliver a record unless either end is disconnected."""
        self.messages += 1
        receiver = self.gateways.get(peer)
        if receiver is None or not (sender.connected and receiver.connected):
            return
        delay_s = self._rng.uniform(*MESSAGE_S)
        name = sender.roster.own.name
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, receiver.crashes.receive, record, name)

    async def play(self, length_s, sound_per_s, deadly_per_s, make_sound, make_deadly):
        """Send requests for some seconds, and wait for all to end.

        Args:
            length_s (float): Duration.
            sound_per_s (float): Sound requests per second.
            deadly_per_s (float): Requests with the deadly part per second.
            make_sound (callable): ``make_sound(rng)`` returns the ids of their parts.
            make_deadly (callable): The same for the others.
        """
        senders = [
            asyncio.ensure_future(self._send_all(length_s, rate, make))
            for rate, make in ((sound_per_s, make_sound), (deadly_per_s, make_deadly))
            if rate
        ]
        await asyncio.gather(*senders)
        await asyncio.gather(*self._tasks)

    def count_late(self, settle_s=3.0, free=5):
        """Return the number of deadly sends too long after the fifth crash."""
        if len(self.crashes_s) < free:
            return 0
        limit_s = self.crashes_s[free - 1] + settle_s
        return sum(time_s > limit_s for time_s in self.deadly_sends_s)

    def measure_served(self, from_s=0.0):
        """Return the share of the sound requests that were served."""
        sound = [
            one.served
            for one in self.requests
            if not one.deadly and one.begun_s >= from_s
        ]
        return sum(sound) / max(1, len(sound))

    def kill(self, engines):
        """Kill some engines (list of Engine) for another reason."""
        for engine in engines:
            self._crash(engine)

    @property
    def engines(self):
        """The engines (list of Engine)."""
        return self._engines

    async def _send_all(self, length_s, rate, make):
        end_s = asyncio.get_running_loop().time() + length_s
        while asyncio.get_running_loop().time() < end_s:
            request = Request(len(self.requests), make(self._rng))
            self.requests.append(request)
            gateway = self._rng.choice(list(self.gateways.values()))
            self._spawn(self._serve(gateway, request))
            await asyncio.sleep(self._rng.expovariate(rate))

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, gateway, request):
        request.served = False
        guard = gateway.suspensions
        try:
            if await guard.admit(request):
                request.served = await self._attempt_all(gateway, request)
        except PoolRefusedError:
            pass  # it was suspended while it waited
        finally:
            guard.return_trials(request)

    async def _attempt_all(self, gateway, request):
        guard = gateway.suspensions
        while True:
            await asyncio.sleep(self._rng.uniform(*STAGES_S))
            up = [one for one in self._engines if one.up]
            if not up:
                return False
            await guard.acquire_trial(request)
            try:
                await self._run(gateway, request, self._rng.choice(up))
                return True
            except AttemptError as failure:
                request.progress.record(failure)
                await guard.settle(request, failure)
                retry = guard.may_resend(request, failure)
                if not request.progress.may_retry or not retry:
                    return False

    async def _run(self, gateway, request, engine):
        if not engine.up:
            # It crashed while the request waited for a trial.
            raise AttemptError(NOT_RUN, False, "connection refused")
        broken = asyncio.get_running_loop().create_future()
        incarnation = request.incarnation = engine.incarnation
        engine.in_flight[broken] = None
        try:
            if request.deadly:
                self.deadly_sends_s.append(asyncio.get_running_loop().time())
            async with gateway.suspensions.watch(request):
                await self._work(self._rng.uniform(*FIRST_EVENT_S), broken)
            if request.deadly:
                self.crashes_s.append(asyncio.get_running_loop().time())
                self._crash(engine)
            await self._work(self._rng.uniform(*STREAM_S), broken)
        except ConnectionResetError as error:
            self._spawn(self._check(gateway, incarnation, request))
            raise AttemptError(BROKEN, True, "reset") from error
        finally:
            engine.in_flight.pop(broken)
        request.part_trial = ()
        gateway.crashes.record_answer(request.features)

    async def _work(self, seconds, broken):
        done, _ = await asyncio.wait({broken}, timeout=seconds)
        if done:
            raise ConnectionResetError

    async def _check(self, gateway, incarnation, request):
        await asyncio.sleep(self._rng.uniform(*CHECK_S))
        gateway.crashes.record_ended(incarnation, set(request.features))

    def _crash(self, engine):
        if engine.up:
            engine.up = False
            engine.run += 1
            requests = list(engine.in_flight)
            if self._order_rng is not None:
                self._order_rng.shuffle(requests)
            for broken in requests:
                broken.set_result(None)
            asyncio.get_running_loop().call_later(BACK_S, setattr, engine, "up", True)


def make_member(name):
    """Return a `MemberEntry`."""
    return MemberEntry(name, f"{name}.1", "127.0.0.1:1", "fd-1", 1.0)
