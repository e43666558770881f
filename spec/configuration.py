"""Configuration acceptance: what one reader knows against what the log decides.

The log is given by functions of the offset, so it is of any length and content. A
reader of any suffix, with any carries, in any order, must agree with `current`.
"""

from z3 import And, BoolSort, Function, If, Implies, IntSort, Not, Or

from spec.transitions import System

NONE = -1
PUBLISH, RESTORE, CARRY, OTHER = range(4)
GUARDS = (
    "base is current",
    "only offset 0 begins with nothing",
    "carry not before the run",
    "unread entries make unknown",
    "unknown format makes unknown",
    "restore only over older",
    "restore not from the future",
    "restore not before the run",
    "restore not over undecided",
    "in force never falls",
)

kind = Function("kind", IntSort(), IntSort())
argument = Function("argument", IntSort(), IntSort())  # base or position
valid = Function("valid", IntSort(), BoolSort())
readable = Function("readable", IntSort(), BoolSort())  # the format is known
current = Function("current", IntSort(), IntSort())  # before the offset


def applies(offset, version):
    """Return whether the record at an offset may replace a version."""
    publish = And(kind(offset) == PUBLISH, argument(offset) == version)
    position = argument(offset)
    restore = And(version < position, position <= offset)
    return Or(publish, And(kind(offset) == RESTORE, restore))


def define_current(offset):
    """Return the definition of `current` from one offset to the next."""
    accepted = And(applies(offset, current(offset)), valid(offset))
    return And(
        current(0) == NONE,
        current(offset + 1) == If(accepted, offset, current(offset)),
    )


class Configuration(System):
    """One reader; any others reach it only through true carries.

    Args:
        dropped (str): One of ``GUARDS`` that the reader leaves out.
        log_length (int): For searches, the number of entries; 0 leaves the log
            unbounded, for proofs.
    """

    variables = {
        "cursor": "int",
        "run_start": "int",
        "known": "bool",
        "version": "int",
        "undecided": "int",
        "in_force": "int",
        "fallen": "bool",
        "stated": "int",  # position of the next carry that is adopted
    }

    def __init__(self, dropped="", log_length=6):
        self.dropped = dropped
        self.log_length = log_length

    def guard(self, name, formula):
        """Return a guard's formula, or true when the guard is dropped."""
        return And(True) if name == self.dropped else formula

    def assume(self, states):
        """Return the log's definition and lemmas at the offsets of the states."""
        offsets = list(range(self.log_length + 1))
        offsets += [state.cursor for state in states]
        offsets += [state.run_start for state in states]
        facts = [define_current(offset) for offset in offsets]
        facts += [bound_current(offset) for offset in offsets]
        if self.log_length:
            facts += [state.cursor <= self.log_length for state in states]
            facts += [state.stated <= self.log_length for state in states]
        return And(facts)

    def start(self, s):
        """Begin anywhere, after any trim; nothing is known but at offset 0."""
        empty = And(s.known == (s.cursor == 0), s.version == NONE)
        if self.dropped == "only offset 0 begins with nothing":
            empty = And(s.known, s.version == NONE)
        return And(
            s.cursor >= 0,
            s.run_start == s.cursor,
            empty,
            s.undecided == NONE,
            s.in_force == NONE,
            Not(s.fallen),
        )

    def steps(self, s, t):
        """Return the steps of the reader."""
        return {
            "read": self.read(s, t),
            "miss": self.miss(s, t),
            "adopt": self.adopt(s, t),
            "put in force": self.put_in_force(s, t),
        }

    def read(self, s, t):
        """Take in the entry at the cursor."""
        fold = If(s.known, self.read_known(s, t), self.read_unknown(s, t))
        kept = ("in_force", "fallen", "run_start")
        changed = [name for name in self.variables if name not in kept]
        return And(t.cursor == s.cursor + 1, s.keep(t, *changed), fold)

    def read_known(self, s, t):
        """Decide the entry by the version before it."""
        at = s.cursor
        restore = And(
            kind(at) == RESTORE,
            self.guard("restore only over older", s.version < argument(at)),
            self.guard("restore not from the future", argument(at) <= at),
        )
        based = self.guard("base is current", argument(at) == s.version)
        mine = Or(And(kind(at) == PUBLISH, based), restore)
        if self.dropped == "unknown format makes unknown":
            lost = And(False)
            accepted = And(mine, readable(at), valid(at))
        else:
            lost = And(mine, Not(readable(at)))
            accepted = And(mine, valid(at))
        stays = And(t.known, t.undecided == NONE)
        return If(
            lost,
            And(Not(t.known), t.version == s.version, t.undecided == at),
            And(stays, t.version == If(accepted, at, s.version)),
        )

    def read_unknown(self, s, t):
        """Put a publication off, or accept a restore that nothing can precede."""
        at = s.cursor
        restore = And(
            kind(at) == RESTORE,
            argument(at) <= at,
            self.guard("restore not before the run", argument(at) >= s.run_start),
            self.guard("restore not over undecided", s.undecided < argument(at)),
            readable(at),
            valid(at),
        )
        publication = Or(kind(at) == PUBLISH, kind(at) == RESTORE)
        waits = If(publication, t.undecided == at, t.undecided == s.undecided)
        return If(
            restore,
            And(t.known, t.version == at, t.undecided == NONE),
            And(Not(t.known), t.version == s.version, waits),
        )

    def miss(self, s, t):
        """Find the entries at the cursor trimmed, and go on after them."""
        known = And(s.known, t.cursor == s.cursor)
        if self.dropped == "unread entries make unknown":
            known = s.known
        return And(
            t.cursor > s.cursor,
            t.run_start == t.cursor,
            t.known == known,
            t.undecided == NONE,
            s.keep(t, "cursor", "run_start", "known", "undecided", "stated"),
        )

    def adopt(self, s, t):
        """Continue from a carry or a peer's state, made at any time before."""
        stated = s.stated
        ahead = stated > s.cursor
        return And(
            stated >= 1,
            Or(ahead, Not(s.known)),
            self.guard("carry not before the run", stated >= s.run_start),
            t.cursor == If(stated >= s.run_start, stated, s.run_start),
            t.version == current(stated),
            define_current(stated),
            bound_current(stated),
            current(stated) != NONE,
            t.known,
            t.run_start == If(ahead, stated, s.run_start),
            t.undecided == NONE,
            t.in_force == s.in_force,
            t.fallen == s.fallen,
        )

    def put_in_force(self, s, t):
        """Put the version in force when it is newer."""
        newer = self.guard("in force never falls", s.version > s.in_force)
        return And(
            newer,
            s.version != NONE,
            t.in_force == s.version,
            t.fallen == Or(s.fallen, s.version < s.in_force),
            s.keep(t, "in_force", "fallen", "stated"),
        )

    def invariant(self, s):
        """Return that what is known is exact and what is put off is bounded."""
        at = current(s.cursor)
        older = Or(at <= s.undecided, at < s.run_start)
        return And(
            Implies(s.known, s.version == at),
            Implies(Not(s.known), older),
            Implies(s.known, s.undecided == NONE),
            0 <= s.run_start,
            s.run_start <= s.cursor,
            s.undecided < s.cursor,
            Or(s.undecided >= s.run_start, s.undecided == NONE),
            Not(s.fallen),
        )

    def safe(self, s):
        """Return that the reader agrees with the log and never falls."""
        return And(Implies(s.known, s.version == current(s.cursor)), Not(s.fallen))


def bound_current(offset):
    """Return the bounds on `current`, which the invariant of `Races` proves."""
    return And(
        Implies(offset >= 0, current(offset) >= NONE),
        Implies(offset >= 0, current(offset) < offset),
    )


class Races(System):
    """Two publications with the same base: at most one is ever accepted.

    The state is an offset that walks along the log, and the first winner.
    """

    variables = {"at": "int", "base": "int", "winner": "int", "winners": "int"}

    def __init__(self, dropped=""):
        self.dropped = dropped

    def assume(self, states):
        """Return the definition of `current` at each state."""
        return And([define_current(state.at) for state in states])

    def start(self, s):
        """Begin at the first offset, with any base."""
        return And(s.at == 0, s.base >= NONE, s.winner == NONE, s.winners == 0)

    def steps(self, s, t):
        """Return the one step: look at the next entry."""
        based = And(kind(s.at) == PUBLISH, argument(s.at) == s.base, valid(s.at))
        if self.dropped != "base is current":
            based = And(based, current(s.at) == s.base)
        walk = And(t.at == s.at + 1, t.base == s.base)
        won = And(t.winner == s.at, t.winners == s.winners + 1)
        kept = And(t.winner == s.winner, t.winners == s.winners)
        return {"look": And(walk, If(based, won, kept))}

    def invariant(self, s):
        """Return that a winner leaves its base behind for good."""
        return And(
            s.at >= 0,
            s.base >= NONE,
            current(s.at) >= NONE,
            current(s.at) < s.at,
            Implies(s.winners == 0, s.winner == NONE),
            Or(s.winners == 0, s.winners == 1),
            Implies(s.winners == 1, current(s.at) > s.base),
        )

    def safe(self, s):
        """Return that at most one publication won."""
        return s.winners <= 1
