"""Terms of two issuers at one engine that ignores fencing numbers.

An order takes effect within ``ORDER`` of its sending. Clocks run at one rate here; in
the code a margin stands for their difference.
"""

from z3 import And, If, Implies, Not, Or, Real

from spec.transitions import System

NONE = -1
GUARDS = (
    "successor waits",
    "issuer stops by its clock",
    "no term since the position",
)
# Not needed, as an order is sent only while the longest order fits into the term.
LONG_WAIT = "wait covers the longest order"

TERM = Real("term")
ORDER = Real("order")


class Terms(System):
    """Two issuers that take, renew and lose terms, and give orders.

    Args:
        dropped (str): One of ``GUARDS``, or ``LONG_WAIT``, that is left out.
    """

    variables = {
        "now": "real",
        "head": "int",  # terms in the log
        "granted": "int",  # position of the newest granted term
        "granted_by": "int",
        "effect": "int",  # highest number that took effect
        "broken": "bool",
    }

    def __init__(self, dropped=""):
        self.dropped = dropped
        self.variables = dict(Terms.variables)
        for i in (0, 1):
            self.variables |= {f"position{i}": "int", f"fencing{i}": "int"}
            self.variables |= {f"flight{i}": "int", f"read{i}": "int"}
            self.variables |= {f"sent{i}": "real", f"until{i}": "real"}
            self.variables |= {f"lands{i}": "real", f"read_at{i}": "real"}

    def guard(self, name, formula):
        """Return a guard's formula, or true when the guard is dropped."""
        return And(True) if name == self.dropped else formula

    def assume(self, states):
        """Return that times are positive."""
        return And(TERM > 0, ORDER > 0)

    def start(self, s):
        """Begin with an empty stream that both have read."""
        facts = [s.head == 0, s.granted == NONE, s.granted_by == NONE]
        facts += [s.effect == NONE, Not(s.broken)]
        for i in (0, 1):
            facts += [get(s, "position", i) == NONE, get(s, "fencing", i) == NONE]
            facts += [get(s, "flight", i) == NONE, get(s, "read", i) == 0]
            facts += [get(s, "read_at", i) == s.now]
        return And(facts)

    def steps(self, s, t):
        """Return the steps of time and of both issuers."""
        steps = {"time passes": And(t.now >= s.now, s.keep(t, "now"))}
        for i in (0, 1):
            steps[f"read {i}"] = self.read(s, t, i)
            steps[f"send {i}"] = self.send(s, t, i)
            steps[f"land {i}"] = self.land(s, t, i)
            steps[f"order {i}"] = self.order(s, t, i)
            steps[f"effect {i}"] = self.take_effect(s, t, i)
        return steps

    def read(self, s, t, i):
        """Read the stream to its head; note when, if a new term was granted."""
        new = get(s, "read", i) <= s.granted
        at = If(new, s.now, get(s, "read_at", i))
        done = And(get(t, "read", i) == s.head, get(t, "read_at", i) == at)
        return And(done, s.keep(t, f"read{i}", f"read_at{i}"))

    def send(self, s, t, i):
        """Append a term: a renewal, or one after waiting out the newest term read."""
        wait = TERM
        if self.dropped != LONG_WAIT:
            wait = TERM + ORDER
        waited = s.now >= get(s, "read_at", i) + wait
        renews = And(s.granted_by == i, get(s, "read", i) > s.granted)
        return And(
            get(s, "position", i) == NONE,
            self.guard("successor waits", Or(renews, waited)),
            get(t, "position", i) == get(s, "read", i),
            get(t, "sent", i) == s.now,
            s.keep(t, f"position{i}", f"sent{i}"),
        )

    def land(self, s, t, i):
        """Land a term at any later time; the log's order grants or refuses it."""
        position = get(s, "position", i)
        fresh = self.guard("no term since the position", position == s.head)
        granted = And(
            t.granted == s.head,
            t.granted_by == i,
            get(t, "fencing", i) == s.head,
            get(t, "until", i) == get(s, "sent", i) + TERM,
        )
        refused = And(
            t.granted == s.granted,
            t.granted_by == s.granted_by,
            get(t, "fencing", i) == get(s, "fencing", i),
            get(t, "until", i) == get(s, "until", i),
        )
        changed = ("head", "granted", "granted_by")
        changed += (f"fencing{i}", f"until{i}", f"position{i}")
        return And(
            position != NONE,
            t.head == s.head + 1,
            get(t, "position", i) == NONE,
            If(fresh, granted, refused),
            s.keep(t, *changed),
        )

    def order(self, s, t, i):
        """Send an order; one order of an issuer is on its way at a time."""
        in_time = s.now + ORDER <= get(s, "until", i)
        return And(
            get(s, "fencing", i) != NONE,
            get(s, "flight", i) == NONE,
            self.guard("issuer stops by its clock", in_time),
            get(t, "flight", i) == get(s, "fencing", i),
            get(t, "lands", i) == s.now + ORDER,
            s.keep(t, f"flight{i}", f"lands{i}"),
        )

    def take_effect(self, s, t, i):
        """Let an order take effect, or expire when its time is over."""
        flight = get(s, "flight", i)
        in_time = s.now < get(s, "lands", i)
        higher = If(flight > s.effect, flight, s.effect)
        return And(
            flight != NONE,
            get(t, "flight", i) == NONE,
            t.effect == If(in_time, higher, s.effect),
            t.broken == Or(s.broken, And(in_time, flight < s.effect)),
            s.keep(t, f"flight{i}", "effect", "broken"),
        )

    def invariant(self, s):
        """Return that an older issuer's orders end before a newer one begins."""
        facts = [Not(s.broken), s.head >= 0, NONE <= s.granted, s.granted < s.head]
        facts += [s.effect <= s.granted, NONE <= s.granted_by, s.granted_by <= 1]
        facts.append((s.granted == NONE) == (s.granted_by == NONE))
        for i in (0, 1):
            facts += [self.describe_issuer(s, i), self.describe_rival(s, i, 1 - i)]
        return And(facts)

    def describe_issuer(self, s, i):
        """Return the invariant of one issuer's own variables."""
        fencing, flight = get(s, "fencing", i), get(s, "flight", i)
        until, position = get(s, "until", i), get(s, "position", i)
        lands = get(s, "lands", i)
        return And(
            NONE <= fencing,
            fencing <= s.granted,
            NONE <= flight,
            flight <= fencing,
            Implies(s.granted_by == i, fencing == s.granted),
            Implies(And(fencing == s.granted, fencing != NONE), s.granted_by == i),
            Implies(flight != NONE, lands <= until),
            Implies(fencing != NONE, until <= get(s, "sent", i) + TERM),
            Implies(fencing != NONE, get(s, "sent", i) <= s.now),
            Implies(And(flight != NONE, s.now < lands), s.effect <= flight),
            0 <= get(s, "read", i),
            get(s, "read", i) <= s.head,
            get(s, "read_at", i) <= s.now,
            NONE <= position,
            position <= get(s, "read", i),
            Implies(position != NONE, get(s, "sent", i) <= s.now),
        )

    def describe_rival(self, s, i, j):
        """Return what issuer `i` may still do while `j` holds or takes the term."""
        until, fencing = get(s, "until", i), get(s, "fencing", i)
        over = Or(fencing == NONE, until <= s.now)
        # j read i's term when it had landed, so after it was sent.
        has_read = get(s, "read", j) > fencing
        holds = And(s.granted_by == i, has_read)
        known = Implies(holds, until <= get(s, "read_at", j) + TERM)
        proposes = And(s.granted_by == i, get(s, "position", j) == s.head)
        return And(
            Implies(s.granted_by == j, over),
            Implies(And(fencing != NONE, s.granted_by == i), known),
            Implies(And(fencing != NONE, proposes), over),
        )

    def safe(self, s):
        """Return that no order took effect after one with a higher number."""
        return Not(s.broken)


def get(state, name, i):
    """Return the variable `name` of issuer `i`."""
    return getattr(state, f"{name}{i}")
