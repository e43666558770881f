"""Several real kernels around a log model that shows every fault; virtual time."""

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
    """Streams whose appends can land late or twice and whose old entries go."""

    def __init__(self, retention_s):
        self.retention_s = retention_s
        self.streams = {}
        self.late = []

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
    """Stands for the request part: notes every word and dispatch."""

    def __init__(self, world, ledger):
        self.world = world
        self.ledger = ledger
        self.won = []

    def handle(self, event, now):
        self.world.note(event)
        if isinstance(event, ClaimWon):
            self.won.append(event.claim_id)
        return []


class Daemon:
    """One daemon: its kernel and what the world knows of it."""

    def __init__(self, world, name, offset_s, make_parts):
        self.name = name
        self.offset_s = offset_s
        self.paused = False
        self.sees = {}
        self.parts = make_parts(world, name)
        self.kernel = Kernel(self.parts)


def make_ledger_parts(world, name):
    ledger = Ledger(settings_for(name, **world.settings))
    return [ledger, Caller(world, ledger)]


class World:
    """Daemons, network and log; `pending` holds what is under way, oldest first."""

    def __init__(self, names=("a", "b", "c"), make_parts=make_ledger_parts, **settings):
        self.settings = settings
        self.make_parts = make_parts
        self.now = 0.0
        self.log = LogModel(settings.get("log_retention_s", RETENTION_S))
        self.log_down = False
        self.cut = {}
        self.pending = []
        self.words = {}
        self.dispatched = {}
        self.requests = {}
        self.answers = {}
        self.lookups = {}
        self.daemons = {}
        self.starts = {}
        self.names = names
        for number, name in enumerate(names):
            self.start(name, (0.0, 0.45, -0.45)[number % 3])

    def start(self, name, offset_s=0.0):
        """Start or replace a daemon; nothing of an earlier one remains."""
        self.pending = [p for p in self.pending if p[0] is not self.daemons.get(name)]
        daemon = Daemon(self, name, offset_s, self.make_parts)
        self.daemons[name] = daemon
        self.starts[name] = self.starts.get(name, 0) + 1
        for other in self.names:
            self.show(daemon, other, MEMBER_ALIVE)
        self.tick(daemon)
        return daemon

    def incarnation(self, name):
        """Return the name of a daemon's present run."""
        return f"{name}.{self.starts.get(name, 1)}"

    def show(self, daemon, other, status):
        """Change a daemon's view of another one."""
        self.feed(daemon, MemberChanged(other, self.incarnation(other), status))

    def feed(self, daemon, event):
        for action in daemon.kernel.handle(event, self.now):
            self.pending.append((daemon, action))

    def tick(self, daemon):
        self.feed(daemon, Tick(EPOCH_S + self.now + daemon.offset_s))

    def advance(self, seconds):
        self.now += seconds
        for daemon in list(self.daemons.values()):
            if not daemon.paused:
                self.tick(daemon)

    def note(self, event):
        if isinstance(event, ClaimRefused):
            self.words.setdefault(event.claim_id, []).append(event)
        elif isinstance(event, LookupCompleted):
            self.lookups[event.lookup_id] = event

    # What the request part does.

    def claim(self, name, request):
        self.requests[request.claim_id] = request
        self.feed(self.daemons[name], request)

    def dispatch(self, name, claim_id):
        daemon = self.daemons[name]
        caller = daemon.parts[-1]
        caller.won.remove(claim_id)
        if not caller.ledger.may_dispatch(claim_id, self.now):
            self.feed(daemon, ClaimReleased(claim_id))
            return False
        key = self.requests[claim_id].key
        self.dispatched.setdefault(key, []).append(claim_id)
        return True

    def finish(self, name, claim_id, answer):
        if answer is None:
            self.feed(self.daemons[name], OutcomeUnknown(claim_id))
            return
        self.answers.setdefault(self.requests[claim_id].key, answer)
        self.feed(self.daemons[name], OutcomeReached(claim_id, answer))

    def check(self):
        """Check the promises on everything said and dispatched so far."""
        for key, claims in self.dispatched.items():
            assert len(claims) == 1, f"{key} was dispatched by {claims}"
        for claim_id, words in self.words.items():
            assert len(words) == 1, f"{claim_id} was told {words}"
            self._check_word(self.requests[claim_id], words[0])

    def _check_word(self, request, word):
        runs = self.dispatched.get(request.key, [])
        assert request.claim_id not in runs, f"{word} was said and it was dispatched"
        if word.state == CLAIM_OUTCOME:
            assert word.answer == self.answers[request.key], "not the first answer"
            ran = self.requests[runs[0]]
            assert ran.fingerprint == request.fingerprint, "another request's answer"
        if word.state == CLAIM_NOT_RUN:
            assert not runs, "an operator found that it did not run, and it ran"

    # What the network and the log do.

    def step(self, index=0, fate="ok"):
        """Carry out one pending action; a paused daemon's wait with it."""
        ready = [p for p in self.pending if not p[0].paused]
        if not ready:
            return False
        daemon, action = ready[index % len(ready)]
        self.pending.remove((daemon, action))
        if isinstance(action, SendPeer):
            self._send(daemon, action, fate)
        elif isinstance(action, ReadLog):
            self._read(daemon, action, fate)
        elif isinstance(action, AppendRecords):
            self._append(daemon, action, fate)
        return True

    def _send(self, daemon, action, fate):
        target = self.daemons.get(action.peer)
        if target is None or fate in ("lose", "fail"):
            return
        if self.cut.get((daemon.name, action.peer)):
            return
        if target.paused:
            self.pending.append((daemon, action))
            return
        for _ in range(2 if fate == "double" else 1):
            self.feed(target, PeerReceived(daemon.name, action.message))

    def _cut_off(self, daemon):
        return self.log_down or self.cut.get((daemon.name, "log"))

    def _read(self, daemon, action, fate):
        if fate == "fail" or self._cut_off(daemon):
            self.feed(daemon, LogReadFailed(action.stream, action.offset))
            return
        read = self.log.read(action, self.now)
        if fate == "gap":
            read.entries = read.entries[:1] + read.entries[2:]
        self.feed(daemon, read)

    def _append(self, daemon, action, fate):
        failed = AppendFailed(action.append_id, action.stream)
        if fate == "fail" or self._cut_off(daemon):
            self.feed(daemon, failed)
        elif fate == "late":
            self.log.late.append((action.stream, action.records))
            self.feed(daemon, failed)
        else:
            offset = self.log.append(action.stream, action.records, self.now)
            if fate == "double":
                self.log.late.append((action.stream, action.records))
            event = RecordsAppended(action.append_id, action.stream, offset)
            self.feed(daemon, failed if fate == "lose" else event)

    def land_late(self, index=0):
        if self.log.late:
            stream, records = self.log.late.pop(index % len(self.log.late))
            self.log.append(stream, records, self.now)

    def run(self, seconds, step_s=0.05):
        """Let everything work without faults for a while."""
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
