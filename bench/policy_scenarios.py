"""Scenarios of the policy bench: load, and faults alone and in pairs."""

from itertools import combinations

from bench.policy_site import DOMAINS
from bench.policy_traffic import Traffic

DURATION_S = 30.0
FAULT_AT_S = 8.0
FAULT_END_S = 24.0
LOG_DOWN_S = 60.0
FAULT_LOAD = 0.55
USUAL_LAG_S = 0.2


class Fault:
    """Something that goes wrong in a run; also carries traffic options.

    Attributes:
        name (str): For the table.
        duration_s (float): Length of run that it needs.
        traffic (str): Option of `Traffic.draw` that it sets, or empty.
        report_lag_s (float): Lag of reports that it sets, or 0.
    """

    name = ""
    duration_s = DURATION_S
    traffic = ""
    report_lag_s = 0.0

    def schedule(self, world):
        """Plan what happens in a run."""


class Burst(Fault):
    """Three times the load for 10 s."""

    name = "burst"
    traffic = "burst"


class Straggler(Fault):
    """One engine and one encoder take ten times as long."""

    name = "straggler"

    def schedule(self, world):
        """See `Fault.schedule`."""
        for name in ("engines-1", "encoders-1"):
            target = world.targets[name]
            world.clock.after(FAULT_AT_S, target.set_slowdown, 10.0)
            world.clock.after(FAULT_END_S, target.set_slowdown, 1.0)


class DeadTarget(Fault):
    """One engine and one encoder die without a word."""

    name = "dead target"

    def schedule(self, world):
        """See `Fault.schedule`."""
        for name in ("engines-2", "encoders-2"):
            world.clock.after(FAULT_AT_S, world.targets[name].die)


class DomainGone(Fault):
    """All daemons and targets of a failure domain are gone."""

    name = "domain gone"

    def schedule(self, world):
        """See `Fault.schedule`."""
        world.clock.after(FAULT_AT_S, self._take_away, world)

    def _take_away(self, world):
        for target in world.targets.values():
            if target.domain == DOMAINS[0]:
                target.die()
        lost = [d for i, d in enumerate(world.daemons) if i % len(DOMAINS) == 0]
        for daemon in lost:
            daemon.die()
        world.clock.after(2.0, self._rebalance, world)

    def _rebalance(self, world):
        world.balanced = [d for d in world.daemons if not d.dead]


class LateReports(Fault):
    """Reports arrive 5 s late."""

    name = "reports 5 s late"
    report_lag_s = 5.0


class Poison(Fault):
    """Requests that crash each engine that runs them are sent again."""

    name = "poison"
    traffic = "poison"


class Flood(Fault):
    """A large client account asks for five times its share."""

    name = "flood"
    traffic = "flood"


class LogDown(Fault):
    """The log service is down for 60 s."""

    name = "log down"
    duration_s = FAULT_AT_S + LOG_DOWN_S + 7.0

    def schedule(self, world):
        """See `Fault.schedule`."""
        world.clock.after(FAULT_AT_S, self._stop, world)

    def _stop(self, world):
        world.log_up_s = world.clock.now + LOG_DOWN_S


FAULTS = (
    Burst(),
    Straggler(),
    DeadTarget(),
    DomainGone(),
    LateReports(),
    Poison(),
    Flood(),
    LogDown(),
)


class Scenario:
    """Load and faults of a run.

    Args:
        name (str): For the table.
        load (float): Share of the site's capacity.
        faults (tuple of Fault): What goes wrong.
        report_lag_s (float): How late reports are.
    """

    def __init__(self, name, load, faults=(), report_lag_s=USUAL_LAG_S):
        self.name = name
        self.load = load
        self.faults = faults
        lags = [fault.report_lag_s for fault in faults]
        self.report_lag_s = max([report_lag_s, *lags])
        self.duration_s = max([DURATION_S, *(f.duration_s for f in faults)])

    def draw(self, world):
        """Return the arrivals of a run."""
        options = {fault.traffic: True for fault in self.faults if fault.traffic}
        traffic = Traffic(world.seed, self.load, self.duration_s)
        return traffic.draw(**options)


def make_scenarios(pairs=False):
    """Return the scenarios; with `pairs` those of two faults at once."""
    if pairs:
        return [
            Scenario(f"{a.name} + {b.name}", FAULT_LOAD, (a, b))
            for a, b in combinations(FAULTS, 2)
        ]
    steady = [Scenario(f"steady {int(100 * x)}%", x) for x in (0.5, 0.8, 0.95)]
    lags = [Scenario(f"reports {lag} s late", 0.8, (), lag) for lag in (0.2, 1.0, 5.0)]
    single = [Scenario(f.name, FAULT_LOAD, (f,)) for f in FAULTS if not f.report_lag_s]
    return steady + lags + single
