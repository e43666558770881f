"""Checks of a transition system: by induction, and by search to a depth."""

from z3 import And, Bool, Int, Not, Or, Real, Solver, sat, unsat

_SORTS = {"int": Int, "bool": Bool, "real": Real}


class State:
    """Symbolic values of the variables of a system at one moment.

    Args:
        variables (dict of str to str): Sort of each variable: int, bool or real.
        label (str): Distinguishes the moment.
    """

    def __init__(self, variables, label):
        self.variables = variables
        for name, sort in variables.items():
            setattr(self, name, _SORTS[sort](f"{name}@{label}"))

    def keep(self, later, *changed):
        """Return that all variables but the changed ones stay in `later`."""
        names = [name for name in self.variables if name not in changed]
        return And([getattr(later, n) == getattr(self, n) for n in names])


class System:
    """A transition system.

    Attributes:
        variables (dict of str to str): Sort of each variable.
    """

    variables = {}

    def make_state(self, label):
        """Return the `State` at a moment."""
        return State(self.variables, label)

    def assume(self, states):
        """Return what holds of the constants and of the log, for some states."""
        return And(True)

    def start(self, state):
        """Return what holds at the start."""
        raise NotImplementedError

    def steps(self, before, after):
        """Return the formula of each step (dict of str to formula)."""
        raise NotImplementedError

    def invariant(self, state):
        """Return a formula that implies safety and that each step preserves."""
        raise NotImplementedError

    def safe(self, state):
        """Return the property that must always hold."""
        raise NotImplementedError


def prove(system):
    """Prove safety for any number of steps, by induction.

    Returns:
        str: Name of the first obligation that fails, or "" when all hold.
    """
    before, after = system.make_state("0"), system.make_state("1")
    if not _holds(system, [before], system.start(before), system.invariant(before)):
        return "start"
    if not _holds(system, [before], system.invariant(before), system.safe(before)):
        return "safe"
    for name, formula in system.steps(before, after).items():
        premise = And(system.invariant(before), formula)
        if not _holds(system, [before, after], premise, system.invariant(after)):
            return name
    return ""


def find_impossible_steps(system):
    """Return the names of steps that no state of the invariant allows.

    A proof over impossible steps, or contradictory assumptions, would be worthless.
    """
    before, after = system.make_state("0"), system.make_state("1")
    impossible = []
    for name, formula in system.steps(before, after).items():
        solver = Solver()
        solver.add(system.assume([before, after]), system.invariant(before), formula)
        if solver.check() != sat:
            impossible.append(name)
    return impossible


def _holds(system, states, premise, conclusion):
    solver = Solver()
    solver.add(system.assume(states), premise, Not(conclusion))
    return solver.check() == unsat


def search(system, depth):
    """Look for a run of at most `depth` steps that ends in an unsafe state.

    Returns:
        list of str: The steps of the shortest such run, or None when there is none.
    """
    solver = Solver()
    states = [system.make_state(str(0))]
    solver.add(system.start(states[0]))
    taken = []
    for length in range(depth + 1):
        solver.push()
        solver.add(system.assume(states), Not(system.safe(states[-1])))
        if solver.check() == sat:
            return _name_steps(solver.model(), taken)
        solver.pop()
        states.append(system.make_state(str(length + 1)))
        steps = system.steps(states[-2], states[-1])
        solver.add(Or(list(steps.values())))
        taken.append(steps)
    return None


def _name_steps(model, taken):
    names = []
    for steps in taken:
        holds = [n for n, f in steps.items() if model.eval(f, model_completion=True)]
        names.append(holds[0] if holds else "?")
    return names
