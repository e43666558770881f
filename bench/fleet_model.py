"""A fleet of kernels in one process that counts time, messages and bytes."""

import gc
import resource
import time

from firworks.document import Account, Document
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.fleet.departures import Departures
from firworks.kernel.fleet.events import TOPIC_LOAD, ConfigurationAccepted, FactChanged
from firworks.kernel.limits.limits import AccountLimits
from firworks.kernel.messages import PeerReceived
from firworks.kernel.quarantine import Quarantine
from firworks.kernel.scheduling.loads import PoolLoad
from firworks.tests.virtual_fleet import VirtualFleet, make_vms

DAEMON_TICK_S = 0.05
SETTLE_S = 12
LARGE_SETTLE_S = 45
LARGE_SIZE = 36

# What a message costs on the wire beside its payload: WebSocket, TCP, IP and Ethernet
# headers of the segment and of its acknowledgement.
WIRE_OVERHEAD_BYTES = 140


def make_parts(daemon):
    """Return the fleet parts beside membership and dissemination."""
    return (Departures(), AccountLimits(daemon.name), Quarantine(daemon.name))


def make_weights(count):
    """Return how traffic spreads over accounts: a few large ones, in sum 1."""
    weights = [1.0 / (index + 1) for index in range(count)]
    return [weight / sum(weights) for weight in weights]


def make_accounts(rates):
    """Return the configuration signal of a document with client accounts.

    Args:
        rates (list of float): Limit of each account, in requests a second; twice
            as many may be in progress.
    """
    accounts = {
        name_account(index): Account(name_account(index), (), rate, int(2 * rate) + 1)
        for index, rate in enumerate(rates)
    }
    return ConfigurationAccepted(1, "digest", Document("digest", {}, {}, accounts))


def name_account(index):
    """Return the name of an account."""
    return f"account-{index:04d}"


class TimedFleet(VirtualFleet):
    """A virtual fleet that measures what its daemons spend.

    Args:
        size (int): Daemons.
        regions (int): Regions.
        rates (list of float): Limits of the client accounts.
        **options: See `VirtualFleet`.
    """

    def __init__(self, size, regions, rates, **options):
        self.busy_s = 0.0
        gc.collect()
        before = _read_memory()
        vms = make_vms(size, regions, 2 if regions > 1 else 3)
        options.setdefault("tick_s", DAEMON_TICK_S)
        super().__init__(vms, make_extra_parts=make_parts, measure=True, **options)
        self.run(3)
        for name in list(self.daemons):
            self.feed(name, make_accounts(rates))
        self.run(SETTLE_S if size <= LARGE_SIZE else LARGE_SETTLE_S)
        gc.collect()
        self.memory_bytes = (_read_memory() - before) / size

    def handle(self, daemon, event):
        """Take an event with its cost of decoding and encoding."""
        started_s = time.thread_time()
        if isinstance(event, PeerReceived):
            event = PeerReceived(event.peer, decode_record(event.message))
        actions = super().handle(daemon, event)
        self.busy_s += time.thread_time() - started_s
        return actions

    def _send(self, daemon, action):
        started_s = time.thread_time()
        data = encode_record(action.message)
        self.busy_s += time.thread_time() - started_s
        super()._send(daemon, action.replace(message=data))

    def count_sent(self):
        """Return messages and payload bytes sent so far by all daemons."""
        daemons = self.daemons.values()
        messages = sum(daemon.sent_messages for daemon in daemons)
        return messages, sum(daemon.sent_bytes for daemon in daemons)

    def state_loads(self, pools, targets):
        """Let each daemon state its load on the targets of some pools once."""
        load = PoolLoad(7, tuple(range(targets)), (1,) * targets, ())
        for name in list(self.daemons):
            for pool in range(pools):
                self.feed(name, FactChanged(TOPIC_LOAD, f"pool-{pool}", load, 5.0))


def _read_memory():
    """Return this process's resident memory in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()
