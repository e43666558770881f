"""Daemons, operators and a faulty log, explored by a stateful machine."""

import random

import pytest
from hypothesis import Phase
from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from firworks.kernel.configuration import follower
from firworks.kernel.configuration.follower import ConfigurationFollower
from firworks.kernel.configuration.records import NO_VERSION
from firworks.kernel.fleet.events import ConfigurationAccepted, FactChanged, FactLearned
from firworks.kernel.messages import (
    AppendRecords,
    LogRead,
    LogReadFailed,
    PeerConnected,
    PeerReceived,
    ReadLog,
    SendPeer,
    Tick,
)
from firworks.tests.test_configuration import make_settings_of
from firworks.tests.test_configuration_history import (
    NEW_CHECKS,
    OLD_CHECKS,
    LogModel,
    mutate,
)

NAMES = ("vm-0", "vm-1", "vm-2")
FAULTS = st.sampled_from(["none", "none", "lost", "late", "doubled"])


class FaultyLog(LogModel):
    """A log that is down at times, loses answers and lands appends late or twice."""

    def __init__(self):
        super().__init__()
        self.up = True
        self.limbo = []

    def append(self, record, fault="none"):
        if not self.up or fault == "late":
            self.limbo.append(record)
            return
        if fault == "doubled":
            self.limbo.append(record)
        self.land(record)


class ConfigurationMachine(RuleBasedStateMachine):
    """No interleaving of faults makes two daemons decide differently."""

    daemons = {}
    in_force = {}

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.log = FaultyLog()
        self.now = 0.0
        self.daemons = {}
        self.inboxes = {name: [] for name in NAMES}
        self.in_force = {}
        for index, name in enumerate(NAMES):
            self.boot(name, new=index > 0)

    def boot(self, name, new):
        checks = NEW_CHECKS if new else OLD_CHECKS
        table = make_settings_of(name, log_retention_s=200.0, dedupe_window_s=1.0)
        self.daemons[name] = ConfigurationFollower(table, self.rng, checks)
        self.inboxes[name] = []
        self.in_force[name] = []
        for peer in NAMES:
            if peer != name:
                self.feed(name, PeerConnected(peer))

    def feed(self, name, event):
        for result in self.daemons[name].handle(event, self.now):
            self.carry_out(name, result)

    def carry_out(self, name, result):
        if isinstance(result, ReadLog):
            log = self.log
            failed = LogReadFailed(result.stream, result.offset)
            answer = log.read(result.offset) if log.up else failed
            self.inboxes[name].append(answer)
        elif isinstance(result, AppendRecords):
            fault = self.rng.choice(["none", "late", "doubled"])
            self.log.append(result.records[0], fault)
        elif isinstance(result, SendPeer):
            self.inboxes[result.peer].append(PeerReceived(name, result.message))
        elif isinstance(result, FactChanged):
            fact = FactLearned(result.topic, result.key, result.value, name)
            for peer in NAMES:
                if peer != name:
                    self.inboxes[peer].append(fact)
        elif isinstance(result, ConfigurationAccepted):
            self.in_force[name].append((result.version, result.digest))

    @rule(
        kind=st.sampled_from(["valid", "valid", "invalid", "format", "restore"]),
        age=st.sampled_from([0, 0, 0, 1, 2]),
        number=st.integers(0, 2),
        fault=FAULTS,
    )
    def publish(self, kind, age, number, fault):
        self.log.append(self.log.make_publication(kind, age, number), fault)

    @rule(name=st.sampled_from(NAMES), fault=FAULTS)
    def carry(self, name, fault):
        state = self.daemons[name].history.state
        if state is not None and state.version != NO_VERSION:
            self.log.append(state.make_snapshot(self.now), fault)

    @precondition(lambda self: self.log.limbo)
    @rule(index=st.integers(0, 9))
    def land_late(self, index):
        self.log.land(self.log.limbo.pop(index % len(self.log.limbo)))

    @rule(count=st.integers(1, 4))
    def trim(self, count):
        self.log.oldest = min(len(self.log.entries), self.log.oldest + count)

    @rule()
    def toggle_outage(self):
        self.log.up = not self.log.up

    @rule(name=st.sampled_from(NAMES), new=st.booleans())
    def replace_daemon(self, name, new):
        self.boot(name, new)

    @rule(name=st.sampled_from(NAMES), wait_s=st.sampled_from([0.1, 1.0, 40.0]))
    def tick(self, name, wait_s):
        self.now += wait_s
        self.feed(name, Tick(self.now))

    @rule(name=st.sampled_from(NAMES), index=st.integers(0, 9), lose=st.booleans())
    def deliver(self, name, index, lose):
        inbox = self.inboxes[name]
        if inbox:
            message = inbox.pop(index % len(inbox))
            if not lose or isinstance(message, LogRead):
                self.feed(name, message)

    @rule(name=st.sampled_from(NAMES))
    def drain(self, name):
        for _ in range(6):
            self.now += 0.6
            self.feed(name, Tick(self.now))
            waiting, self.inboxes[name] = self.inboxes[name], []
            for message in waiting:
                self.feed(name, message)

    @invariant()
    def check_states(self):
        for name in self.daemons:
            self.log.check_history(self.daemons[name].history)

    @invariant()
    def check_in_force(self):
        for reached in self.in_force.values():
            versions = [version for version, _ in reached]
            assert versions == sorted(set(versions))
            for version, digest in reached:
                assert self.log.accepted[version].digest == digest

    def teardown(self):
        """Once the log is up and holds a fresh carry, all daemons agree."""
        if not self.daemons:
            return
        self.log.up = True
        for _ in range(3):
            for name in NAMES:
                self.drain(name)
        for name in NAMES:
            history = self.daemons[name].history
            if history.known and history.state.version != NO_VERSION:
                self.log.land(history.state.make_snapshot(self.now))
                break
        else:
            return
        for _ in range(3):
            for name in NAMES:
                self.now += 40.0
                self.drain(name)
        for name in NAMES:
            assert self.daemons[name].history.state.version == self.log.current_at[-1]


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = run_settings(stateful_step_count=40)


class TestGuard:
    def test_version_in_force_decreases_without_the_guard(self, monkeypatch):
        guard = "state.document is None or state.version <= self.version"
        copy = mutate(follower, (guard, "state.document is None"))
        name = f"{__name__}.ConfigurationFollower"
        monkeypatch.setattr(name, copy.ConfigurationFollower)
        run = run_settings(max_examples=600, phases=[Phase.generate])
        with pytest.raises(AssertionError):
            run_state_machine_as_test(ConfigurationMachine, settings=run)
