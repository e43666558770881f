"""The world of the policy bench: daemons, fake targets, callers and faults."""

from random import Random

from bench.policy_driver import Driver
from bench.policy_site import DAEMONS, DOMAINS, POLICIES, SLOTS, make_document
from bench.policy_site import name_targets as name_pool_targets
from bench.policy_targets import Clock, FakeTarget
from firworks.codes import Code
from firworks.kernel.fleet.events import ConfigurationAccepted, FactLearned
from firworks.kernel.messages import Tick, VmEntry, VmsListed

TICK_S = 0.1
REPORT_PERIOD_S = 0.25
GOSSIP_DELAY_S = 0.3
BALANCER_CHECK_S = 2.0
CLAIM_S = 0.01
CACHE_BLOCKS = 60
LOST_REPORT_SHARE = 0.05
SHORTEST_RETURN_S = 0.5
MOST_ASKS = 4
LEAST_TIME_S = 0.2
DRAIN_S = 40.0
QUARANTINE_CRASHES = 2


class Ask:
    """One request as its caller sees it, with all its returns.

    Attributes:
        arrival (Arrival): What was asked.
        deadline_s (float): When the answer is due.
        count (int): How often the caller has asked.
        used_s (float): Work of the attempts whose results were used.
        first_token_s (float): From arrival to first token.
        latency_s (float): From arrival to the whole answer; 0 without one.
        code (Code): The last answer's code.
        refused (int): Refusals that the caller got.
        unsafe (bool): Told or left in doubt about work that may not repeat.
    """

    def __init__(self, arrival, deadline_s):
        self.arrival = arrival
        self.deadline_s = deadline_s
        self.count = 0
        self.used_s = 0.0
        self.first_token_s = 0.0
        self.latency_s = 0.0
        self.code = None
        self.refused = 0


class World:
    """One run.

    Args:
        policy (str): A key of ``POLICIES``.
        scenario (Scenario): Load and faults.
        seed (int): Same seed, same run.
        weights (dict of str to float): Attainment weight by pipeline.
    """

    def __init__(self, policy, scenario, seed, weights=None):
        self.clock = Clock()
        self.scenario = scenario
        self.seed = seed
        self.random = Random(f"world {seed}")
        self.document = make_document(policy, weights)
        self.report_lag_s = scenario.report_lag_s
        self.log_up_s = 0.0
        self.targets = self._make_targets()
        self.daemons = [
            Driver(
                self,
                f"daemon-{index}",
                self.document,
                POLICIES[policy][1],
                Random(f"{policy} {seed} {index}"),
            )
            for index in range(DAEMONS)
        ]
        self.balanced = list(self.daemons)
        self.asks = []
        self.returning = 0
        self.dispatches = 0
        self.first_dispatches = 0
        self.retries = 0
        self.hedges = 0
        self.crashes = {}

    def run(self):
        """Run the scenario to its end and return the world."""
        self._configure()
        for arrival in self.scenario.draw(self):
            deadline = self.document.pipelines[arrival.pipeline].deadline_ms / 1000
            ask = Ask(arrival, arrival.at_s + deadline)
            self.asks.append(ask)
            self.clock.after(arrival.at_s, self.submit, ask)
        for fault in self.scenario.faults:
            fault.schedule(self)
        for daemon in self.daemons:
            self.clock.after(self.random.random() * TICK_S, self._tick, daemon)
        for target in self.targets.values():
            self.clock.after(
                self.random.random() * REPORT_PERIOD_S, self._report, target
            )
        self.clock.run(self.scenario.duration_s)
        while self._has_open_asks() and self.clock.now < self._end_s:
            self.clock.run(self.clock.now + 1.0)
        return self

    @property
    def _end_s(self):
        return self.scenario.duration_s + DRAIN_S

    def _has_open_asks(self):
        if self.returning:
            return True
        return any(not flow.over for d in self.daemons for flow in d.flows)

    def submit(self, ask):
        """Let the balancer hand a request to a daemon."""
        ask.count += 1
        daemon = self.random.choice(self.balanced)
        if daemon.dead:
            self._come_back(ask, SHORTEST_RETURN_S)
            return
        daemon.start(ask)

    def answer(self, ask, code, retry_after_s):
        """Give the caller an answer; None is a connection that broke."""
        now = self.clock.now
        ask.code = code
        if code is Code.OK:
            if now <= ask.deadline_s:
                ask.latency_s = now - ask.arrival.at_s
            return
        if code is not None and 2000 <= code < 3000:
            ask.refused += 1
        if ask.arrival.pipeline == "loan" and not _is_not_run(code):
            return
        self._come_back(ask, max(retry_after_s, SHORTEST_RETURN_S))

    def _come_back(self, ask, delay_s):
        late = self.clock.now + delay_s + LEAST_TIME_S > ask.deadline_s
        if ask.count < MOST_ASKS and not late:
            self.returning += 1
            self.clock.after(delay_s, self._submit_again, ask)

    def _submit_again(self, ask):
        self.returning -= 1
        self.submit(ask)

    def claim(self, daemon, flow, proceed):
        """Win a claim in the log, once the log is up, and go on."""
        wait = max(0.0, self.log_up_s - self.clock.now)
        self.clock.after(wait + CLAIM_S, self._claimed, flow, proceed)

    def _claimed(self, flow, proceed):
        if not flow.over:
            flow.claimed = True
            proceed()

    def spread_fact(self, origin, fact):
        """Carry a fact to the other daemons."""
        learned = FactLearned(fact.topic, fact.key, fact.value, origin.name)
        delay = GOSSIP_DELAY_S * (0.5 + self.random.random())
        for daemon in self.daemons:
            if daemon is not origin:
                self.clock.after(delay, daemon.send, learned)

    def count_dispatch(self, attempt):
        """Count an attempt that is sent to a target."""
        self.dispatches += 1
        if attempt.call.hedge_of:
            self.hedges += 1
        elif attempt.call.identity.attempt > 1:
            self.retries += 1
        else:
            self.first_dispatches += 1

    def count_crash(self, attempt):
        """Count a target that a poison request crashed."""
        if attempt.job.poison:
            number = attempt.flow.ask.arrival.number
            self.crashes.setdefault(number, set()).add(attempt.target.name)

    def is_quarantined(self, arrival):
        """Return whether a request has crashed enough targets; for every policy."""
        crashed = self.crashes.get(arrival.number, ())
        return len(crashed) >= QUARANTINE_CRASHES

    def _make_targets(self):
        targets = {}
        index = 0
        for pool, slots in SLOTS.items():
            engine = pool == "engines"
            for name in name_pool_targets(pool):
                targets[name] = FakeTarget(
                    self.clock,
                    name,
                    DOMAINS[index % len(DOMAINS)],
                    slots,
                    contention=0.06 if engine else 0.0,
                    cache_blocks=CACHE_BLOCKS if engine else 0,
                    stops_on_cancel=engine,
                )
                index += 1
        return targets

    def _configure(self):
        vms = tuple(
            VmEntry(target.name, "10.0.0.1:80", "target", "region-1", target.domain)
            for target in self.targets.values()
        )
        for daemon in self.daemons:
            daemon.send(ConfigurationAccepted(1, "digest", self.document))
            daemon.send(VmsListed(vms))

    def _tick(self, daemon):
        if not daemon.dead:
            daemon.send(Tick(self.clock.now))
            self.clock.after(TICK_S, self._tick, daemon)

    def _report(self, target):
        self.clock.after(REPORT_PERIOD_S, self._report, target)
        pool = target.name.rsplit("-", 1)[0]
        if not self.document.pools[pool].reports_load:
            return
        report = target.make_report()
        if report is None or self.random.random() < LOST_REPORT_SHARE:
            return
        self.clock.after(self.report_lag_s, self._deliver, report)

    def _deliver(self, report):
        for daemon in self.daemons:
            daemon.send(report)


def _is_not_run(code):
    return code is not None and 2000 <= code < 3000
