"""A stateful test of the ledger with combined and repeated fault injection."""

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
from firworks.tests.ledger_simulation import EPOCH_S, WINDOW_S, LedgerSimulation

NAMES = ("a", "b", "c")
FAULTS = ("lose", "fail", "late", "double", "gap")
DISTURBANCES = ("pause", "restart", "cut", "cut_log", "stop_log", "change_view")
MAX_DEADLINE_S = 15.0
CI_EXAMPLES = 60
names = st.sampled_from(NAMES)


class LedgerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.patches = [
            patch.object(entries, "MAX_DEADLINE_S", MAX_DEADLINE_S),
            patch.object(entries, "LATE_OUTCOME_GRACE_S", 5.0),
        ]
        for one in self.patches:
            one.start()
        self.sim = LedgerSimulation(NAMES)
        self.issued = {}
        self.running = []
        self.asked = {name: [] for name in NAMES}
        self.released = set()
        self.settled = []
        self.count = 0

    def make_request(self, who, key, fingerprint, caller_timeout_s):
        now = self.sim.now
        name, issued_s = self.issued.get(key, ("", -1e9))
        if now - issued_s > 1.5 * WINDOW_S:
            self.count += 1
            name, issued_s = f"{key}/{self.count}", now
            self.issued[key] = (name, issued_s)
        self.count += 1
        return ClaimRequested(
            f"{self.sim.get_incarnation(who)}/{self.count}",
            WorkKey("account", "service", name),
            fingerprint,
            EPOCH_S + issued_s,
            now + caller_timeout_s,
        )

    @rule(who=st.lists(names, min_size=1, unique=True), key=st.integers(0, 2))
    def claim(self, who, key, fingerprint=b"f", caller_timeout_s=8.0):
        for name in who:
            if not self.sim.daemons[name].paused:
                request = self.make_request(name, key, fingerprint, caller_timeout_s)
                self.asked[name].append(request)
                self.sim.claim(name, request)

    @rule(
        seed=st.integers(0, 2**32), steps=st.integers(10, 150), level=st.integers(0, 3)
    )
    def work(self, seed, steps, level):
        """Execute pending actions in any order, some with a fault."""
        rng = Random(seed)
        turns = (self.dispatch_any, self.finish_any, self.claim_any, self.land_any)
        for _ in range(steps):
            faulty = rng.randrange(8) < level
            self.sim.step(rng.randrange(4), rng.choice(FAULTS) if faulty else "ok")
            if rng.randrange(5) == 0:
                self.sim.advance(rng.choice((0.05, 0.3, 0.6)))
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
        self.sim.run(seconds, step_s=0.1)

    @rule(seconds=st.sampled_from([0.6, 0.6, 5.0, 5.0, 40.0, 1.2 * WINDOW_S]))
    def wait(self, seconds):
        self.sim.advance(seconds)

    @rule(index=st.integers(0, 5))
    def land_late(self, index):
        self.sim.append_delayed(index)

    @rule(one=names, other=names, kind=st.sampled_from(DISTURBANCES))
    def disturb(self, one, other, kind):
        getattr(self, kind)(one, other)

    def pause(self, one, other):
        self.sim.daemons[one].paused = True

    def restart(self, one, other):
        self.sim.start(one)
        self.asked[one] = []
        self.running = [run for run in self.running if run[0] != one]

    def cut(self, one, other):
        self.sim.cut[one, other] = True

    def cut_log(self, one, other):
        self.sim.cut[one, "log"] = True

    def stop_log(self, one, other):
        self.sim.log_down = True

    def change_view(self, one, other):
        daemon = self.sim.daemons[one]
        alive = daemon.view.get(other, True)
        daemon.view[other] = not alive
        if not daemon.paused:
            status = MEMBER_DEAD if alive else MEMBER_ALIVE
            self.sim.set_status(daemon, other, status)

    @rule()
    def mend(self):
        sim = self.sim
        sim.log_down = False
        sim.cut.clear()
        for daemon in sim.daemons.values():
            daemon.paused = False

    @rule(name=names, release=st.integers(0, 7))
    def dispatch_or_release(self, name, release):
        daemon = self.sim.daemons[name]
        if daemon.paused or not daemon.parts[-1].won:
            return
        claim_id = daemon.parts[-1].won[0]
        if release == 0:
            daemon.parts[-1].won.remove(claim_id)
            self.released.add(claim_id)
            self.sim.deliver(daemon, ClaimReleased(claim_id))
        elif self.sim.dispatch(name, claim_id):
            self.running.append((name, claim_id))
        else:
            self.released.add(claim_id)

    @rule(whole=st.integers(0, 3))
    def finish(self, whole):
        runs = [r for r in self.running if not self.sim.daemons[r[0]].paused]
        if runs:
            self.running.remove(runs[0])
            name, claim_id = runs[0]
            response = claim_id.encode() if whole else None
            self.sim.finish(name, claim_id, response)

    @rule(name=names, key=st.integers(0, 2))
    def resolve(self, name, key):
        """Resolve a key as an operator who knows what ran."""
        daemon = self.sim.daemons[name]
        if daemon.paused or key not in self.issued:
            return
        work = WorkKey("account", "service", self.issued[key][0])
        runs = self.sim.dispatched.get(work, [])
        response = runs[0].encode() if runs else b""
        if runs:
            self.sim.responses.setdefault(work, response)
        self.count += 1
        lookup_id = f"operator/{self.count}"
        event = ResolutionRequested(lookup_id, work, bool(runs), response)
        self.sim.deliver(daemon, event)
        self.settled.append((lookup_id, work))

    @invariant()
    def keep_promises(self):
        self.sim.check()
        for lookup_id, work in self.settled:
            found = self.sim.lookups.get(lookup_id)
            if found is not None and found.state == CLAIM_NOT_RUN:
                assert work not in self.sim.dispatched

    def teardown(self):
        try:
            self.check_recovery()
        finally:
            for one in self.patches:
                one.stop()

    def check_recovery(self):
        """Without faults every claim is decided and a new key can be claimed."""
        sim = self.sim
        self.mend()
        sim.run(10.0, step_s=0.2)
        self.issued.clear()
        fresh = self.make_request("a", "fresh", b"f", 8.0)
        sim.claim("a", fresh)
        sim.run(3.0, step_s=0.1)
        sim.check()
        assert fresh.claim_id in sim.daemons["a"].parts[-1].won
        for name in NAMES:
            for request in self.asked[name]:
                if request.deadline_s < sim.now:
                    self.check_decided(name, request.claim_id)

    def check_decided(self, name, claim_id):
        sim = self.sim
        dispatched = [c for claims in sim.dispatched.values() for c in claims]
        won = sim.daemons[name].parts[-1].won
        decided = claim_id in won or claim_id in dispatched or claim_id in sim.replies
        assert decided or claim_id in self.released, f"{claim_id} got no decision"


TestLedgerMachine = LedgerMachine.TestCase
LONG = hypothesis_settings().max_examples > 100
TestLedgerMachine.settings = hypothesis_settings(
    max_examples=hypothesis_settings().max_examples if LONG else CI_EXAMPLES,
    stateful_step_count=40,
)
