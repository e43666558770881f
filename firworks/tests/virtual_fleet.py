"""Many daemons' fleet parts in one process, with a virtual clock and network."""

import heapq
from itertools import count
from random import Random

from firworks.kernel.codec import encode_record
from firworks.kernel.fleet.dissemination import Dissemination
from firworks.kernel.fleet.events import MEMBER_ALIVE, FactLearned, MemberChanged
from firworks.kernel.fleet.membership import Membership
from firworks.kernel.messages import (
    ConnectPeer,
    DisconnectPeer,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    SendPeer,
    Tick,
    VmEntry,
    VmsListed,
)
from firworks.kernel.node import Kernel, Part

TICK_S = 0.25
LATENCY_S = 0.005
DIAL_RETRY_S = 1.0
LIST_PERIOD_S = 1.0


class Recorder(Part):
    """Notes the signals of one daemon with their times."""

    def __init__(self):
        self.seen = []

    def handle(self, event, now):
        if isinstance(event, FactLearned | MemberChanged):
            self.seen.append((now, event))
        return []


class Daemon:
    """The fleet parts of one daemon; `make_extra_parts` makes further parts."""

    def __init__(self, fleet, vm, incarnation, make_extra_parts):
        place = (vm.region, vm.failure_domain, vm.address)
        rng = Random(f"{fleet.seed}/{vm.name}/{incarnation}")
        self.name = vm.name
        self.vm = vm
        self.membership = Membership(vm.name, incarnation, *place, rng)
        self.dissemination = Dissemination(vm.name, self.membership)
        self.recorder = Recorder()
        parts = [self.membership, self.dissemination, *make_extra_parts(self), self.recorder]
        self.kernel = Kernel(parts)
        self.parts = parts
        self.links = set()
        self.alive = True
        self.paused_events = None
        self.sent_messages = self.sent_bytes = self.received_messages = 0


class VirtualFleet:
    """Runs daemons against each other; everything follows from the seed.

    `loss` is the share of messages lost, `blocked(a, b)` cuts a direction, and
    `silent` holds directed pairs whose present connection carries nothing.
    """

    def __init__(
        self,
        vms,
        seed=0,
        loss=0.0,
        make_extra_parts=lambda daemon: (),
        measure=False,
        tick_s=TICK_S,
    ):
        self.now = 0.0
        self.seed = seed
        self.rng = Random(seed)
        self.loss = loss
        self.blocked = lambda one, other: False
        self.silent = set()
        self.delay_s = LATENCY_S
        self.listed = {vm.name: vm for vm in vms}
        self.daemons = {}
        self.make_extra_parts = make_extra_parts
        self.measure = measure
        self.tick_s = tick_s
        self._events = []
        self._order = count()
        self._starts = count(1)
        for vm in vms:
            self.start(vm)

    def start(self, vm):
        incarnation = f"{vm.name}-{next(self._starts)}"
        daemon = Daemon(self, vm, incarnation, self.make_extra_parts)
        self.daemons[vm.name] = daemon
        self._schedule(self.rng.random() * self.tick_s, self._tick, daemon)
        self._schedule(self.rng.random() * 0.1, self._list, daemon)
        return daemon

    def kill(self, name, sockets_close=True):
        daemon = self.daemons.pop(name)
        daemon.alive = False
        for other in list(self.daemons.values()):
            if name in other.links and sockets_close:
                other.links.discard(name)
                self._feed(other, PeerDisconnected(name))
                self._schedule(DIAL_RETRY_S, self._dial, other, name)
        return daemon

    def pause(self, name):
        self.daemons[name].paused_events = []

    def resume(self, name):
        daemon = self.daemons[name]
        events, daemon.paused_events = daemon.paused_events, None
        for event in events:
            self._feed(daemon, event)

    def feed(self, name, event):
        self._feed(self.daemons[name], event)

    def run(self, seconds, until=lambda: False):
        """Run for some seconds or until the condition holds; returns whether it did."""
        end_s = self.now + seconds
        checked_s = self.now
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
            if self.now - checked_s >= 0.1:
                checked_s = self.now
                if until():
                    return True
        self.now = end_s
        return until()

    def view(self, name):
        """The names that a daemon holds to be alive."""
        membership = self.daemons[name].membership
        alive = [n for n in self.daemons if membership.find_status(n) == MEMBER_ALIVE]
        return sorted([*alive, name])

    def converged(self):
        """Whether all hold exactly the running daemons to be alive, and as they are."""
        names = sorted(self.daemons)
        return all(self._sees(d.membership, names) for d in self.daemons.values())

    def _sees(self, membership, names):
        if membership.list_alive() != names:
            return False
        near = membership.list_neighbours()
        for name in names:
            status = membership.find_status(name)
            incarnation = membership.find_incarnation(name)
            known = self.daemons[name].membership.incarnation == incarnation
            if status not in (MEMBER_ALIVE, None) or (name in near and not known):
                return False
        return True

    def _schedule(self, delay_s, action, *args):
        item = (self.now + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, item)

    def _tick(self, daemon):
        if daemon.alive:
            if daemon.paused_events is None:
                self._feed(daemon, Tick(self.now))
            self._schedule(self.tick_s, self._tick, daemon)

    def _list(self, daemon):
        if daemon.alive:
            if daemon.paused_events is None:
                self._feed(daemon, VmsListed(tuple(self.listed.values())))
            self._schedule(LIST_PERIOD_S, self._list, daemon)

    def _feed(self, daemon, event):
        if not daemon.alive:
            return
        if daemon.paused_events is not None:
            daemon.paused_events.append(event)
            return
        for action in self.handle(daemon, event):
            self._perform(daemon, action)

    def handle(self, daemon, event):
        """Let a daemon's kernel take an event; returns its actions."""
        return daemon.kernel.handle(event, self.now)

    def _perform(self, daemon, action):
        if isinstance(action, ConnectPeer):
            self.silent.discard((daemon.name, action.peer))
            self._schedule(self.delay_s, self._dial, daemon, action.peer)
        elif isinstance(action, DisconnectPeer):
            daemon.links.discard(action.peer)
        elif isinstance(action, SendPeer):
            self._send(daemon, action)

    def _dial(self, daemon, peer):
        if not daemon.alive or peer in daemon.links:
            return
        other = self.daemons.get(peer)
        cut = self.blocked(daemon.name, peer) or self.blocked(peer, daemon.name)
        if other is None or cut or other.paused_events is not None:
            self._schedule(DIAL_RETRY_S, self._dial, daemon, peer)
            return
        daemon.links.add(peer)
        self._feed(daemon, PeerConnected(peer))

    def _send(self, daemon, action):
        daemon.sent_messages += 1
        if self.measure:
            daemon.sent_bytes += measure_size(action.message)
        pair = (daemon.name, action.peer)
        lost = self.rng.random() < self.loss
        if action.peer not in daemon.links or pair in self.silent or lost:
            return
        delay_s = self.delay_s * (0.5 + self.rng.random())
        self._schedule(delay_s, self._deliver, *pair, action.message)

    def _deliver(self, sender, peer, message):
        daemon = self.daemons.get(peer)
        if daemon is not None and not self.blocked(sender, peer):
            daemon.received_messages += 1
            self._feed(daemon, PeerReceived(sender, message))


def make_vms(size, regions=1, domains=3):
    """Entry VMs spread evenly over regions and failure domains."""
    return [
        VmEntry(
            f"vm-{index:03d}",
            f"10.0.{index // 250}.{index % 250 + 1}:8082",
            "entry",
            f"region-{index % regions}",
            f"fd-{index % (regions * domains)}",
        )
        for index in range(size)
    ]


def measure_size(message):
    """Return the bytes of a message on the wire, encoded already or not."""
    return len(message if isinstance(message, bytes) else encode_record(message))
