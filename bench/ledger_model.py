"""Ledger kernels under a virtual clock, with peers and a log that take time."""

from heapq import heappop, heappush
from random import Random
from time import perf_counter

from firworks.kernel.fleet.events import MEMBER_ALIVE, MEMBER_DEAD, MemberChanged
from firworks.kernel.ledger.claims import (
    ClaimRefused,
    ClaimRequested,
    ClaimWon,
    WorkKey,
)
from firworks.kernel.ledger.ledger import Ledger
from firworks.kernel.ledger.writers import rank_members
from firworks.kernel.messages import (
    AppendFailed,
    AppendRecords,
    LogEntry,
    LogRead,
    LogReadFailed,
    PeerReceived,
    ReadLog,
    RecordsAppended,
    SendPeer,
    Tick,
)
from firworks.kernel.node import Kernel, Part
from firworks.settings import make_settings

TICK_S = 0.05
PEER_DELAY_S = 0.002
READ_LIMIT = 100
EPOCH_S = 1_000_000.0
DEADLINE_S = 8.0
FAIL_DELAY_S = 0.01
JITTER = 0.2
SUSPECT_AFTER_S = 3.0


class _Caller(Part):
    """Notes when each claim was decided."""

    def __init__(self, fleet):
        self.fleet = fleet

    def handle(self, event, now):
        if isinstance(event, ClaimWon):
            self.fleet.decided[event.claim_id] = now
        elif isinstance(event, ClaimRefused):
            self.fleet.refused[event.claim_id] = event.state
        return []


class LedgerFleet:
    """Daemons of one cell, each a real kernel with a ledger.

    Args:
        size (int): Daemons.
        delay_s (float): Time that the log takes for an append and for a read.
        relay (bool): Whether peers other than the usual writer may be asked.
        standbys (int): Daemons next in line that follow each stream.
        **settings: Settings of every daemon.
    """

    def __init__(self, size, delay_s, relay=True, standbys=1, **settings):
        self.now = 0.0
        self.delay_s = delay_s
        self.cut = set()
        self.appends = 0
        self.busy_s = 0.0
        self.busy_by_s = {}
        self.asked = {}
        self.decided = {}
        self.refused = {}
        self.holders = {}
        self.streams = {}
        self._rng = Random(0)
        self._queue = []
        self._count = 0
        self.names = [f"d{number}" for number in range(size)]
        self.ledgers = {}
        self._kernels = {}
        for name in self.names:
            self._start(name, relay, standbys, settings)
        for number, name in enumerate(self.names):
            self._push(number * TICK_S / size, self._tick, name)

    def _start(self, name, relay, standbys, settings):
        table = {"name": name, "log_url": "http://127.0.0.1:1"}
        table["vms_url"] = table["log_url"]
        ledger = Ledger(make_settings({**table, **settings}), relay, standbys)
        self.ledgers[name] = ledger
        self._kernels[name] = Kernel([ledger, _Caller(self)])
        for other in self.names:
            self._feed(name, MemberChanged(other, f"{other}/1", MEMBER_ALIVE))

    def claim(self, name, number):
        """Let a daemon claim a fresh key."""
        claim_id = f"{name}/{number}"
        key = WorkKey("account", "service", str(number))
        self.asked[claim_id] = self.now
        self.holders[claim_id] = name
        deadline_s = self.now + DEADLINE_S
        issued_s = EPOCH_S + self.now
        event = ClaimRequested(claim_id, key, b"f" * 16, issued_s, deadline_s)
        self._feed(name, event)

    def load(self, rate_per_s, seconds, seed=1):
        """Schedule claims of random daemons at a Poisson rate."""
        rng = Random(seed)
        at_s = self.now
        number = len(self.asked)
        while at_s < self.now + seconds:
            at_s += rng.expovariate(rate_per_s)
            number += 1
            self._push(at_s, self._claim_anywhere, rng.random(), number)

    def kill(self, name):
        """Stop a daemon; the others drop it from their views a little later."""
        del self._kernels[name]
        self.names.remove(name)
        for other in self.names:
            gone = MemberChanged(name, f"{name}/1", MEMBER_DEAD)
            self._push(self.now + SUSPECT_AFTER_S, self._feed, other, gone)

    def find_writer(self, stream):
        """Return the usual writer of a stream."""
        return rank_members(stream, self.names)[0]

    def _claim_anywhere(self, share, number):
        self.claim(self.names[int(share * len(self.names))], number)

    def run(self, seconds):
        """Let virtual time pass."""
        end_s = self.now + seconds
        while self._queue and self._queue[0][0] <= end_s:
            self.now, _, function, args = heappop(self._queue)
            function(*args)
        self.now = end_s

    def _push(self, at_s, function, *args):
        self._count += 1
        heappush(self._queue, (at_s, self._count, function, args))

    def _tick(self, name):
        if name not in self._kernels:
            return
        self._feed(name, Tick(EPOCH_S + self.now))
        self._push(self.now + TICK_S, self._tick, name)

    def _take_half(self):
        """Return the time of one way to the log or back."""
        return self.delay_s / 2 * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def _feed(self, name, event):
        if name not in self._kernels:
            return
        start = perf_counter()
        actions = self._kernels[name].handle(event, self.now)
        spent_s = perf_counter() - start
        self.busy_s += spent_s
        self.busy_by_s[name] = self.busy_by_s.get(name, 0.0) + spent_s
        for action in actions:
            self._carry_out(name, action)

    def _carry_out(self, name, action):
        if isinstance(action, SendPeer):
            event = PeerReceived(name, action.message)
            self._push(self.now + PEER_DELAY_S, self._feed, action.peer, event)
        elif isinstance(action, AppendRecords):
            self._append(name, action)
        elif isinstance(action, ReadLog):
            self._read(name, action)

    def _append(self, name, action):
        if name in self.cut:
            event = AppendFailed(action.append_id, action.stream)
            self._push(self.now + FAIL_DELAY_S, self._feed, name, event)
            return
        self._push(self.now + self._take_half(), self._store, name, action)

    def _store(self, name, action):
        self.appends += 1
        entries = self.streams.setdefault(action.stream, [])
        offset = len(entries)
        entries.append(LogEntry(offset, EPOCH_S + self.now, action.records))
        event = RecordsAppended(action.append_id, action.stream, offset)
        self._push(self.now + self._take_half(), self._feed, name, event)

    def _read(self, name, action):
        if name in self.cut:
            event = LogReadFailed(action.stream, action.offset)
            self._push(self.now + FAIL_DELAY_S, self._feed, name, event)
            return
        self._push(self.now + self._take_half(), self._fetch, name, action)

    def _fetch(self, name, action):
        entries = self.streams.setdefault(action.stream, [])
        start = action.offset or 0
        found = tuple(entries[start : start + READ_LIMIT])
        event = LogRead(action.stream, action.offset, 0, len(entries), found)
        self._push(self.now + self._take_half(), self._feed, name, event)
