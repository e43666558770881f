"""A stateful test of the ledger: any fault, at any moment, together or twice."""

from random import Random
from unittest.mock import patch

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from firworks.kernel.fleet.events import MEMBER_ALIVE, MEMBER_DEAD
from firworks.kernel.ledger import entries
from firworks.kernel.ledger.claims import (
    CLAIM_NOT_RUN,
    ClaimReleased,
    ClaimRequested,
    WorkKey,
)
from firworks.kernel.ledger.records import ResolutionRequested
from firworks.tests.ledger_simulation import EPOCH_S, WINDOW_S, World

NAMES = ("a", "b", "c")
FATES = ("lose", "fail", "late", "double", "gap")
DISTURBANCES = ("pause", "restart", "cut", "cut_log", "stop_log", "change_view")
MAX_DEADLINE_S = 15.0
CI_EXAMPLES = 60
names = st.sampled_from(NAMES)


class LedgerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.patches = [
            patch.object(entries, "LONGEST_DEADLINE_S", MAX_DEADLINE_S),
            patch.object(entries, "LATE_OUTCOME_GRACE_S", 5.0),
        ]
        for one in self.patches:
            one.start()
        self.world = World(NAMES)
        self.issued = {}
        self.running = []
        self.asked = {name: [] for name in NAMES}
        self.released = set()
        self.settled = []
        self.count = 0

    def make_request(self, who, key, fingerprint, caller_timeout_s):
        now = self.world.now
        name, issued_s = self.issued.get(key, ("", -1e9))
        if now - issued_s > 1.5 * WINDOW_S:
            self.count += 1
            name, issued_s = f"{key}/{self.count}", now
            self.issued[key] = (name, issued_s)
        self.count += 1
        return ClaimRequested(
            f"{self.world.incarnation(who)}/{self.count}",
            WorkKey("account", "service", name),
            fingerprint,
            EPOCH_S + issued_s,
            now + caller_timeout_s,
        )

    @rule(who=st.lists(names, min_size=1, unique=True), key=st.integers(0, 2))
    def claim(self, who, key, fingerprint=b"f", caller_timeout_s=8.0):
        for name in who:
            if not self.world.daemons[name].paused:
                request = self.make_request(name, key, fingerprint, caller_timeout_s)
                self.asked[name].append(request)
                self.world.claim(name, request)

    @rule(
        seed=st.integers(0, 2**32), steps=st.integers(10, 150), level=st.integers(0, 3)
    )
    def work(self, seed, steps, level):
        """Carry out pending actions in any order, some with a fault."""
        rng = Random(seed)
        turns = (self.dispatch_any, self.finish_any, self.claim_any, self.land_any)
        for _ in range(steps):
            faulty = rng.randrange(8) < level
            self.world.step(rng.randrange(4), rng.choice(FATES) if faulty else "ok")
            if rng.randrange(5) == 0:
                self.world.advance(rng.choice((0.05, 0.3, 0.6)))
            if rng.randrange(5) == 0:
                rng.choice(turns)(rng)

    def dispatch_any(self, rng):
        self.dispatch_or_release(rng.choice(NAMES), rng.randrange(6))

    def finish_any(self, rng):
        self.finish(rng.randrange(3))

    def claim_any(self, rng):
        fingerprint = b"g" if rng.randrange(20) == 0 else b"f"
        caller_timeout_s = rng.choice((1.0, 4.0, MAX_DEADLINE_S))
        who = rng.sample(NAMES, rng.randint(1, len(NAMES)))
        self.claim(who, rng.randrange(3), fingerprint, caller_timeout_s)

    def land_any(self, rng):
        self.land_late(rng.randrange(6))

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def settle(self, seconds):
        self.world.run(seconds, step_s=0.1)

    @rule(seconds=st.sampled_from([0.6, 0.6, 5.0, 5.0, 40.0, 1.2 * WINDOW_S]))
    def wait(self, seconds):
        self.world.advance(seconds)

    @rule(index=st.integers(0, 5))
    def land_late(self, index):
        self.world.land_late(index)

    @rule(one=names, other=names, kind=st.sampled_from(DISTURBANCES))
    def disturb(self, one, other, kind):
        getattr(self, kind)(one, other)

    def pause(self, one, other):
        self.world.daemons[one].paused = True

    def restart(self, one, other):
        self.world.start(one)
        self.asked[one] = []
        self.running = [run for run in self.running if run[0] != one]

    def cut(self, one, other):
        self.world.cut[one, other] = True

    def cut_log(self, one, other):
        self.world.cut[one, "log"] = True

    def stop_log(self, one, other):
        self.world.log_down = True

    def change_view(self, one, other):
        daemon = self.world.daemons[one]
        alive = daemon.sees.get(other, True)
        daemon.sees[other] = not alive
        if not daemon.paused:
            status = MEMBER_DEAD if alive else MEMBER_ALIVE
            self.world.show(daemon, other, status)

    @rule()
    def mend(self):
        world = self.world
        world.log_down = False
        world.cut.clear()
        for daemon in world.daemons.values():
            daemon.paused = False

    @rule(name=names, release=st.integers(0, 7))
    def dispatch_or_release(self, name, release):
        daemon = self.world.daemons[name]
        if daemon.paused or not daemon.parts[-1].won:
            return
        claim_id = daemon.parts[-1].won[0]
        if release == 0:
            daemon.parts[-1].won.remove(claim_id)
            self.released.add(claim_id)
            self.world.feed(daemon, ClaimReleased(claim_id))
        elif self.world.dispatch(name, claim_id):
            self.running.append((name, claim_id))
        else:
            self.released.add(claim_id)

    @rule(whole=st.integers(0, 3))
    def finish(self, whole):
        runs = [r for r in self.running if not self.world.daemons[r[0]].paused]
        if runs:
            self.running.remove(runs[0])
            name, claim_id = runs[0]
            answer = claim_id.encode() if whole else None
            self.world.finish(name, claim_id, answer)

    @rule(name=names, key=st.integers(0, 2))
    def resolve(self, name, key):
        """Let an operator, who knows what ran, settle a key."""
        daemon = self.world.daemons[name]
        if daemon.paused or key not in self.issued:
            return
        work = WorkKey("account", "service", self.issued[key][0])
        runs = self.world.dispatched.get(work, [])
        answer = runs[0].encode() if runs else b""
        if runs:
            self.world.answers.setdefault(work, answer)
        self.count += 1
        lookup_id = f"operator/{self.count}"
        asked = ResolutionRequested(lookup_id, work, bool(runs), answer)
        self.world.feed(daemon, asked)
        self.settled.append((lookup_id, work))

    @invariant()
    def keep_promises(self):
        self.world.check()
        for lookup_id, work in self.settled:
            found = self.world.lookups.get(lookup_id)
            if found is not None and found.state == CLAIM_NOT_RUN:
                assert work not in self.world.dispatched

    def teardown(self):
        try:
            self.check_recovery()
        finally:
            for one in self.patches:
                one.stop()

    def check_recovery(self):
        """Without faults every claim gets its word and new work is let through."""
        world = self.world
        self.mend()
        world.run(10.0, step_s=0.2)
        self.issued.clear()
        fresh = self.make_request("a", "fresh", b"f", 8.0)
        world.claim("a", fresh)
        world.run(3.0, step_s=0.1)
        world.check()
        assert fresh.claim_id in world.daemons["a"].parts[-1].won
        for name in NAMES:
            for request in self.asked[name]:
                if request.deadline_s < world.now:
                    self.check_decided(name, request.claim_id)

    def check_decided(self, name, claim_id):
        world = self.world
        dispatched = [c for claims in world.dispatched.values() for c in claims]
        won = world.daemons[name].parts[-1].won
        decided = claim_id in won or claim_id in dispatched or claim_id in world.words
        assert decided or claim_id in self.released, f"{claim_id} got no word"


TestLedgerMachine = LedgerMachine.TestCase
LONG = hypothesis_settings().max_examples > 100
TestLedgerMachine.settings = hypothesis_settings(
    max_examples=hypothesis_settings().max_examples if LONG else CI_EXAMPLES,
    stateful_step_count=40,
)
