"""Simulation of several kernels on a log model with fault injection, virtual time."""

from firworks.kernel.fleet.events import MEMBER_ALIVE, MemberChanged
from firworks.kernel.ledger.claims import (
    CLAIM_NOT_RUN,
    CLAIM_OUTCOME,
    ClaimRefused,
    ClaimReleased,
    ClaimWon,
    OutcomeReached,
    OutcomeUnknown,
)
from firworks.kernel.ledger.ledger import Ledger
from firworks.kernel.ledger.records import LookupCompleted
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

WINDOW_S = 100.0
SKEW_S = 1.0
RETENTION_S = 110.0
READ_LIMIT = 4
EPOCH_S = 1_000_000.0


def settings_for(name, **changes):
    table = {
        "name": name,
        "log_url": "http://127.0.0.1:1",
        "vms_url": "http://127.0.0.1:1",
        "dedupe_window_s": WINDOW_S,
        "clock_skew_s": SKEW_S,
        "log_retention_s": RETENTION_S,
        "ledger_streams": 1,
    }
    return make_settings({**table, **changes})


class LogModel:
    """Streams with delayed and duplicated appends, trimmed by retention time."""

    def __init__(self, retention_s):
        self.retention_s = retention_s
        self.streams = {}
        self.delayed = []

    def append(self, stream, records, now):
        entries = self.streams.setdefault(stream, [[], 0])
        entry = LogEntry(entries[1], EPOCH_S + now, records)
        entries[0].append(entry)
        entries[1] += 1
        return entry.offset

    def read(self, action, now):
        entries = self.streams.setdefault(action.stream, [[], 0])
        horizon_s = EPOCH_S + now - self.retention_s
        kept = entries[0] = [e for e in entries[0] if e.written_s >= horizon_s]
        oldest = kept[0].offset if kept else entries[1]
        start = oldest if action.offset is None else action.offset
        found = tuple(e for e in kept if e.offset >= start)[:READ_LIMIT]
        return LogRead(action.stream, action.offset, oldest, entries[1], found)


class Caller(Part):
    """Test double of the request part: records replies and won claims."""

    def __init__(self, sim, ledger):
        self.sim = sim
        self.ledger = ledger
        self.won = []

    def handle(self, event, now):
        self.sim.record(event)
        if isinstance(event, ClaimWon):
            self.won.append(event.claim_id)
        return []


class Daemon:
    """One daemon: its kernel, clock offset and view of the members."""

    def __init__(self, sim, name, offset_s, make_parts):
        self.name = name
        self.offset_s = offset_s
        self.paused = False
        self.view = {}
        self.parts = make_parts(sim, name)
        self.kernel = Kernel(self.parts)


def make_ledger_parts(sim, name):
    ledger = Ledger(settings_for(name, **sim.settings))
    return [ledger, Caller(sim, ledger)]


class LedgerSimulation:
    """Daemons, network and log; `pending` holds undelivered actions, oldest first."""

    def __init__(self, names=("a", "b", "c"), make_parts=make_ledger_parts, **settings):
        self.settings = settings
        self.make_parts = make_parts
        self.now = 0.0
        self.log = LogModel(settings.get("log_retention_s", RETENTION_S))
        self.log_down = False
        self.cut = {}
        self.pending = []
        self.replies = {}
        self.dispatched = {}
        self.requests = {}
        self.responses = {}
        self.lookups = {}
        self.daemons = {}
        self.starts = {}
        self.names = names
        for number, name in enumerate(names):
            self.start(name, (0.0, 0.45, -0.45)[number % 3])

    def start(self, name, offset_s=0.0):
        """Start or restart a daemon; pending actions of the earlier one are dropped."""
        self.pending = [p for p in self.pending if p[0] is not self.daemons.get(name)]
        daemon = Daemon(self, name, offset_s, self.make_parts)
        self.daemons[name] = daemon
        self.starts[name] = self.starts.get(name, 0) + 1
        for other in self.names:
            self.set_status(daemon, other, MEMBER_ALIVE)
        self.tick(daemon)
        return daemon

    def get_incarnation(self, name):
        """Return the current incarnation of a daemon."""
        return f"{name}.{self.starts.get(name, 1)}"

    def set_status(self, daemon, other, status):
        """Change the status of a member in a daemon's view."""
        self.deliver(daemon, MemberChanged(other, self.get_incarnation(other), status))

    def deliver(self, daemon, event):
        for action in daemon.kernel.handle(event, self.now):
            self.pending.append((daemon, action))

    def tick(self, daemon):
        self.deliver(daemon, Tick(EPOCH_S + self.now + daemon.offset_s))

    def advance(self, seconds):
        self.now += seconds
        for daemon in list(self.daemons.values()):
            if not daemon.paused:
                self.tick(daemon)

    def record(self, event):
        if isinstance(event, ClaimRefused):
            self.replies.setdefault(event.claim_id, []).append(event)
        elif isinstance(event, LookupCompleted):
            self.lookups[event.lookup_id] = event

    # Actions of the request part.

    def claim(self, name, request):
        self.requests[request.claim_id] = request
        self.deliver(self.daemons[name], request)

    def dispatch(self, name, claim_id):
        daemon = self.daemons[name]
        caller = daemon.parts[-1]
        caller.won.remove(claim_id)
        if not caller.ledger.may_dispatch(claim_id, self.now):
            self.deliver(daemon, ClaimReleased(claim_id))
            return False
        key = self.requests[claim_id].key
        self.dispatched.setdefault(key, []).append(claim_id)
        return True

    def finish(self, name, claim_id, response):
        if response is None:
            self.deliver(self.daemons[name], OutcomeUnknown(claim_id))
            return
        self.responses.setdefault(self.requests[claim_id].key, response)
        self.deliver(self.daemons[name], OutcomeReached(claim_id, response))

    def check(self):
        """Check the invariants on all replies and dispatches so far."""
        for key, claims in self.dispatched.items():
            assert len(claims) == 1, f"{key} was dispatched by {claims}"
        for claim_id, replies in self.replies.items():
            assert len(replies) == 1, f"{claim_id} got {replies}"
            self._check_reply(self.requests[claim_id], replies[0])

    def _check_reply(self, request, reply):
        runs = self.dispatched.get(request.key, [])
        assert request.claim_id not in runs, f"dispatched in spite of {reply}"
        if reply.state == CLAIM_OUTCOME:
            assert reply.response == self.responses[request.key], "wrong response"
            ran = self.requests[runs[0]]
            assert ran.fingerprint == request.fingerprint, "another request's response"
        if reply.state == CLAIM_NOT_RUN:
            assert not runs, "it ran, but an operator found that it did not"

    # Network and log.

    def step(self, index=0, fault="ok"):
        """Execute one pending action of a daemon that is not paused."""
        ready = [p for p in self.pending if not p[0].paused]
        if not ready:
            return False
        daemon, action = ready[index % len(ready)]
        self.pending.remove((daemon, action))
        if isinstance(action, SendPeer):
            self._send(daemon, action, fault)
        elif isinstance(action, ReadLog):
            self._read(daemon, action, fault)
        elif isinstance(action, AppendRecords):
            self._append(daemon, action, fault)
        return True

    def _send(self, daemon, action, fault):
        target = self.daemons.get(action.peer)
        if target is None or fault in ("lose", "fail"):
            return
        if self.cut.get((daemon.name, action.peer)):
            return
        if target.paused:
            self.pending.append((daemon, action))
            return
        for _ in range(2 if fault == "double" else 1):
            self.deliver(target, PeerReceived(daemon.name, action.message))

    def _cut_off(self, daemon):
        return self.log_down or self.cut.get((daemon.name, "log"))

    def _read(self, daemon, action, fault):
        if fault == "fail" or self._cut_off(daemon):
            self.deliver(daemon, LogReadFailed(action.stream, action.offset))
            return
        read = self.log.read(action, self.now)
        if fault == "gap":
            read.entries = read.entries[:1] + read.entries[2:]
        self.deliver(daemon, read)

    def _append(self, daemon, action, fault):
        failed = AppendFailed(action.append_id, action.stream)
        if fault == "fail" or self._cut_off(daemon):
            self.deliver(daemon, failed)
        elif fault == "late":
            self.log.delayed.append((action.stream, action.records))
            self.deliver(daemon, failed)
        else:
            offset = self.log.append(action.stream, action.records, self.now)
            if fault == "double":
                self.log.delayed.append((action.stream, action.records))
            event = RecordsAppended(action.append_id, action.stream, offset)
            self.deliver(daemon, failed if fault == "lose" else event)

    def append_delayed(self, index=0):
        if self.log.delayed:
            stream, records = self.log.delayed.pop(index % len(self.log.delayed))
            self.log.append(stream, records, self.now)

    def run(self, seconds, step_s=0.05):
        """Run without further faults for a period of virtual time."""
        end_s = self.now + seconds
        while self.now < end_s:
            self.drain()
            self.advance(step_s)
        self.drain()

    def drain(self, limit=2_000):
        for _ in range(limit):
            if not self.step():
                return
            if all(self._waits(p) for p in self.pending):
                return

    def _waits(self, pending):
        daemon, action = pending
        target = self.daemons.get(getattr(action, "peer", ""))
        return daemon.paused or (target is not None and target.paused)
