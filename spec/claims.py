"""Claims of one idempotency key: at most one holder ever runs the work.

Each claim may land late and twice, its holder may pause at any point, and a reader
may begin after the log has trimmed old entries. The key was issued at time 0 of
the log's clock; every other clock differs from that one by at most ``SKEW``.
"""

from z3 import And, If, Implies, Int, Not, Or, Real

from spec.claim import ABSENT, NUMBERS, TIMES, Claim, order_entries
from spec.transitions import System

IDLE, SENT, RELEASED, DISPATCHED = range(4)
UNTOLD, WON, LOST = range(3)
FINAL_DECISION = "first decision is final"
GUARDS = (
    "decided by the whole prefix",
    "only a winner dispatches",
    "released never dispatches",
    "dispatched once",
    "dispatched never releases",
    "window at dispatch",
    "retention above the window",
    "release voids a later claim",
    "copies are ignored",
)

WINDOW = Real("window")
RETENTION = Real("retention")
SKEW = Real("skew")


class Claims(System):
    """Claims of one key, each by its own holder.

    Args:
        count (int): Number of claims.
        dropped (str): One of ``GUARDS``, or ``FINAL_DECISION``, that is left out.
        margin (int): Clock skews by which retention exceeds the window.
        writing_window (bool): A claim also loses when written outside the window.
    """

    def __init__(self, count=3, dropped="", margin=3, writing_window=False):
        self.claims = range(count)
        self.dropped = dropped
        self.margin = margin
        self.writing_window = writing_window
        self.variables = {"head": "int", "oldest": "int", "now": "real"}
        for i in self.claims:
            for name in NUMBERS:
                self.variables[f"{name}{i}"] = "int"
            for name in TIMES:
                self.variables[f"{name}{i}"] = "real"

    def guard(self, name, formula):
        """Return a guard's formula, or true when the guard is dropped."""
        return And(True) if name == self.dropped else formula

    def assume(self, states):
        """Return how the window, the skew and the retention relate."""
        enough = RETENTION > WINDOW + self.margin * SKEW
        return And(
            WINDOW > 0,
            SKEW > 0,
            RETENTION > 0,
            self.guard("retention above the window", enough),
        )

    def start(self, s):
        """Begin with nothing in the log; a caller's clock may be ahead."""
        facts = [s.head == 0, s.oldest == 0, s.now >= -2 * SKEW]
        for i in self.claims:
            claim = Claim(s, i)
            facts += [claim.phase == IDLE, claim.told == UNTOLD, claim.runs == 0]
            facts += [claim.first == ABSENT, claim.copy == ABSENT]
            facts += [claim.release == ABSENT, claim.refused == 0]
        return And(facts)

    def steps(self, s, t):
        """Return the steps of every claim, of time and of the log."""
        steps = {"time passes": self.pass_time(s, t), "trim": self.trim(s, t)}
        for i in self.claims:
            claim = Claim(s, i)
            steps[f"send {i}"] = self.send(claim, s, t)
            steps[f"land {i}"] = self.land(claim, s, t)
            steps[f"land {i} again"] = self.land_again(claim, s, t)
            steps[f"decide {i}"] = self.decide(claim, s, t)
            steps[f"dispatch {i}"] = self.dispatch(claim, s, t)
            steps[f"release {i}"] = self.release(claim, s, t)
            steps[f"land release {i}"] = self.land_release(claim, s, t)
        return steps

    def pass_time(self, s, t):
        """Let any time pass; every holder is paused meanwhile."""
        return And(t.now >= s.now, s.keep(t, "now"))

    def trim(self, s, t):
        """Drop entries that are older than the retention."""
        facts = [s.oldest <= t.oldest, t.oldest <= s.head, s.keep(t, "oldest")]
        for i in self.claims:
            claim = Claim(s, i)
            for offset, time in claim.entries():
                gone = And(offset != ABSENT, offset < t.oldest)
                facts.append(Implies(gone, time <= s.now - RETENTION))
        return And(facts)

    def send(self, claim, s, t):
        """Append a claim; it may land at any later time, once or twice."""
        in_window = And(s.now - SKEW <= WINDOW, s.now + SKEW >= -SKEW)
        sent = And(claim.phase == IDLE, in_window, claim.later(t).phase == SENT)
        return And(sent, s.keep(t, claim.name("phase")))

    def land(self, claim, s, t):
        """Land the first copy of a claim."""
        later = claim.later(t)
        landed = And(later.first == s.head, later.first_time == s.now)
        return And(
            claim.phase != IDLE,
            claim.first == ABSENT,
            landed,
            t.head == s.head + 1,
            s.keep(t, "head", claim.name("first"), claim.name("first_time")),
        )

    def land_again(self, claim, s, t):
        """Land a second copy of a claim."""
        later = claim.later(t)
        landed = And(later.copy == s.head, later.copy_time == s.now)
        return And(
            claim.first != ABSENT,
            claim.copy == ABSENT,
            landed,
            t.head == s.head + 1,
            s.keep(t, "head", claim.name("copy"), claim.name("copy_time")),
        )

    def decide(self, claim, s, t):
        """Tell a holder its fate, as a reader that began at some offset sees it."""
        view = Int(f"view {claim.name('')}")
        at = self.appearance(claim, view)
        whole = self.guard("decided by the whole prefix", view <= s.oldest)
        won = self.wins(s, claim, view)
        untold = self.guard(FINAL_DECISION, claim.told == UNTOLD)
        return And(
            Or(claim.phase == SENT, claim.phase == RELEASED),
            untold,
            0 <= view,
            at != ABSENT,
            whole,
            claim.later(t).told == If(won, WON, LOST),
            s.keep(t, claim.name("told")),
        )

    def dispatch(self, claim, s, t):
        """Run the work, if the holder was told that it won."""
        phases = [SENT]
        if self.dropped == "released never dispatches":
            phases.append(RELEASED)
        if self.dropped == "dispatched once":
            phases.append(DISPATCHED)
        local = s.now - SKEW  # the slowest clock that a holder may have
        later = claim.later(t)
        changed = (claim.name("phase"), claim.name("runs"))
        return And(
            Or([claim.phase == phase for phase in phases]),
            self.guard("only a winner dispatches", claim.told == WON),
            self.guard("window at dispatch", local <= WINDOW),
            later.phase == DISPATCHED,
            later.runs == claim.runs + 1,
            s.keep(t, *changed),
        )

    def release(self, claim, s, t):
        """Give up: tell the caller "not run", and never dispatch."""
        phases = [SENT]
        if self.dropped == "dispatched never releases":
            phases.append(DISPATCHED)
        freed = Or([claim.phase == phase for phase in phases])
        later = claim.later(t)
        released = And(later.phase == RELEASED, later.refused == 1)
        changed = (claim.name("phase"), claim.name("refused"))
        return And(freed, released, s.keep(t, *changed))

    def land_release(self, claim, s, t):
        """Land a release, perhaps before the claim itself."""
        later = claim.later(t)
        landed = And(later.release == s.head, later.release_time == s.now)
        return And(
            claim.phase == RELEASED,
            claim.release == ABSENT,
            landed,
            t.head == s.head + 1,
            s.keep(t, "head", claim.name("release"), claim.name("release_time")),
        )

    def appearance(self, claim, view):
        """Return the offset at which a claim counts for a reader from `view` on."""
        first = If(claim.first >= view, claim.first, ABSENT)
        second = If(claim.copy >= view, claim.copy, ABSENT)
        if self.dropped == "copies are ignored":
            return If(second != ABSENT, second, first)
        return If(first != ABSENT, first, second)

    def in_window(self, claim, view):
        """Return whether the appearance of a claim was written in the window."""
        at_first = self.appearance(claim, view) == claim.first
        time = If(at_first, claim.first_time, claim.copy_time)
        return And(-SKEW <= time, time <= WINDOW)

    def wins(self, s, claim, view, depth=None):
        """Return whether a claim wins for a reader from `view` on."""
        depth = len(self.claims) - 1 if depth is None else depth
        at = self.appearance(claim, view)
        voided = And(claim.release >= view, claim.release < at)
        free = [
            at >= view,
            at != ABSENT,
            self.guard("release voids a later claim", Not(voided)),
        ]
        if self.writing_window:
            free.append(self.in_window(claim, view))
        for j in self.claims:
            other = Claim(s, j)
            if j == claim.index or depth == 0:
                continue
            before = self.appearance(other, view)
            earlier = And(before >= view, before < at)
            freed = And(other.release > before, other.release < at)
            held = self.wins(s, other, view, depth - 1)
            free.append(Not(And(earlier, held, Not(freed))))
        return And(free)

    def invariant(self, s):
        """Return what keeps the work from running twice."""
        facts = [0 <= s.oldest, s.oldest <= s.head]
        for i in self.claims:
            facts.append(self.describe_claim(s, Claim(s, i)))
            for j in self.claims:
                if i < j:
                    facts.append(order_entries(Claim(s, i), Claim(s, j)))
        return And(facts)

    def describe_claim(self, s, c):
        """Return the invariant of one claim."""
        facts = [
            Or([c.phase == phase for phase in (IDLE, SENT, RELEASED, DISPATCHED)]),
            Or([c.told == told for told in (UNTOLD, WON, LOST)]),
            c.runs == If(c.phase == DISPATCHED, 1, 0),
            c.refused == If(c.phase == RELEASED, 1, 0),
            Implies(c.phase == IDLE, And(c.first == ABSENT, c.told == UNTOLD)),
            Implies(c.phase != IDLE, s.now >= -2 * SKEW),
            Implies(c.first == ABSENT, c.copy == ABSENT),
            Implies(c.copy != ABSENT, c.copy > c.first),
            Implies(c.release != ABSENT, c.phase == RELEASED),
            Implies(c.told != UNTOLD, c.first != ABSENT),
            Implies(c.phase == DISPATCHED, self.wins(s, c, 0)),
            Or(c.release == ABSENT, And(c.release != c.first, c.release != c.copy)),
        ]
        late = s.now > WINDOW + SKEW
        facts.append(Implies(c.told == WON, Or(late, self.wins(s, c, 0))))
        for offset, time in c.entries():
            gone = And(offset != ABSENT, offset < s.oldest)
            facts.append(Implies(gone, time <= s.now - RETENTION))
            landed = And(-2 * SKEW <= time, time <= s.now)
            facts.append(Implies(offset != ABSENT, landed))
            facts += [ABSENT <= offset, offset < s.head]
        return And(facts)

    def safe(self, s):
        """Return that the work runs at most once and that "not run" is true."""
        claims = [Claim(s, i) for i in self.claims]
        facts = [sum(c.runs for c in claims) <= 1]
        for c in claims:
            facts.append(Implies(c.refused == 1, c.runs == 0))
            at = self.appearance(c, 0)
            voided = And(c.release != ABSENT, c.release < at)
            facts.append(Implies(voided, Not(self.wins(s, c, 0))))
        return And(facts)
