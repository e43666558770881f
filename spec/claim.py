"""The variables of one claim in the specification of claims."""

from z3 import And, Or

ABSENT = -1
NUMBERS = ("phase", "told", "runs", "refused", "first", "copy", "release")
TIMES = ("first_time", "copy_time", "release_time")


class Claim:
    """The variables of one claim in one state."""

    def __init__(self, state, index):
        self.index = index
        for name in (*NUMBERS, *TIMES):
            setattr(self, name, getattr(state, f"{name}{index}"))

    def name(self, variable):
        """Return the name of this claim's variable."""
        return f"{variable}{self.index}"

    def later(self, state):
        """Return the same claim in another state."""
        return Claim(state, self.index)

    def entries(self):
        """Return the offsets and times of the claim's entries in the log."""
        return [
            (self.first, self.first_time),
            (self.copy, self.copy_time),
            (self.release, self.release_time),
        ]


def order_entries(one, other):
    """Return that two claims' entries have offsets of their own."""
    mine = [one.first, one.copy, one.release]
    theirs = [other.first, other.copy, other.release]
    return And([Or(a == ABSENT, a != b) for a in mine for b in theirs])
