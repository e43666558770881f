"""Orders to engines while issuers pause, die and race, and the log fails."""

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

from firworks.document import parse_document
from firworks.kernel.fleet.events import ConfigurationAccepted
from firworks.kernel.fleet.placement import matches
from firworks.kernel.messages import (
    AppendRecords,
    LogEntry,
    LogRead,
    LogReadFailed,
    ReadLog,
    Tick,
)
from firworks.kernel.orders import engines, slots, terms
from firworks.kernel.orders.orders import OrderIssuer
from firworks.kernel.orders.records import (
    ORDER_ACCEPTED,
    ORDER_EXPIRED,
    ORDER_STALE,
    EngineInspected,
    EngineState,
    InspectEngine,
    OrderCompleted,
    OrderEngine,
)
from firworks.tests.test_configuration import make_settings_of

ENGINES = ("e-0", "e-1", "e-2")
DAEMONS = ("vm-0", "vm-1", "vm-2")
LIMIT = 1


def make_document(model, role):
    return parse_document(
        f"""format = 1
[pipelines]
[accounts]
[weight_store]
concurrent_loads = {LIMIT}
[pools.chat]
kind = "engine"
targets = ["e-0", "e-1", "e-2"]
models = ["{model}"]
role = "{role}"
manage_models = true
""".encode()
    )


DOCUMENTS = [
    make_document("small", "mixed"),
    make_document("small", "prefill"),
    make_document("large", "mixed"),
]


class Engine:
    """An engine that takes a while to load and may ignore fencing numbers."""

    def __init__(self, checks):
        self.checks = checks
        self.state = EngineState((), (), "")
        self.fencing = -1
        self.effects = []
        self.target = None
        self.loaded_s = None

    def take(self, order, now, load_s):
        if self.checks and order.fencing < self.fencing:
            return ORDER_STALE
        self.fencing = max(self.fencing, order.fencing)
        self.effects.append(order.fencing)
        if not self.loading(now) and not matches(self.state, order.desired):
            self.target = order.desired
            loads = self.state.needs_load(order.desired)
            self.loaded_s = now + (load_s if loads else 0.0)
        return ORDER_ACCEPTED

    def loading(self, now):
        if self.loaded_s is not None and now >= self.loaded_s:
            self.state = self.target
            self.loaded_s = None
        return self.loaded_s is not None


class Issuer:
    """One daemon, its clock and the orders that wait in its adapter."""

    def __init__(self, name, incarnation, rng, now):
        self.name = name
        settings = make_settings_of(name)
        self.orders = OrderIssuer(settings, f"{name}.{incarnation}", rng)
        self.rate = rng.uniform(0.996, 1.004)
        self.offset_s = rng.uniform(0.0, 1000.0)
        self.paused_until_s = 0.0
        self.cut_off = False
        self.outbox = []

    def clock(self, now):
        return now * self.rate + self.offset_s


class OrdersMachine(RuleBasedStateMachine):
    """No order of an older term takes effect after one of a newer term."""

    @initialize(seed=st.integers(0, 1000), checks=st.booleans())
    def start(self, seed, checks):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.entries = []
        self.limbo = []
        self.up = True
        self.flights = []
        self.document = 0
        self.engines = {name: Engine(checks) for name in ENGINES}
        self.issuers = {}
        for name in DAEMONS:
            self.boot(name)

    def boot(self, name):
        incarnation = len(self.entries) + int(self.now)
        issuer = Issuer(name, incarnation, self.rng, self.now)
        self.issuers[name] = issuer
        self.configure(issuer)

    def configure(self, issuer):
        document = DOCUMENTS[self.document]
        accepted = ConfigurationAccepted(self.document, document.digest, document)
        self.feed(issuer, accepted)

    def feed(self, issuer, event):
        for action in issuer.orders.handle(event, issuer.clock(self.now)):
            self.carry_out(issuer, action)

    def carry_out(self, issuer, action):
        if isinstance(action, ReadLog):
            up = self.up and not issuer.cut_off
            self.feed(issuer, self.read(action, up))
        elif isinstance(action, AppendRecords):
            late = not self.up or issuer.cut_off or self.rng.random() < 0.1
            if late or self.rng.random() < 0.1:
                self.limbo.append(action.records)
            if not late:
                self.land(action.records)
        elif isinstance(action, InspectEngine):
            engine = self.engines[action.target]
            loading = engine.loading(self.now)
            self.feed(issuer, EngineInspected(action.target, engine.state, loading))
        elif isinstance(action, OrderEngine):
            issuer.outbox.append(action)

    def read(self, action, up):
        if not up:
            return LogReadFailed(action.stream, action.offset)
        head = len(self.entries)
        start = action.offset or 0
        entries = tuple(self.entries[start : start + 50])
        return LogRead(action.stream, action.offset, 0, head, entries)

    def land(self, records):
        self.entries.append(LogEntry(len(self.entries), self.now, tuple(records)))

    def send_orders(self, issuer):
        """Send what waits in the adapter; it may take effect a while later."""
        for order in issuer.outbox:
            clock = issuer.clock(self.now)
            if clock > order.send_before_s:
                answer = OrderCompleted(order.order_id, order.target, ORDER_EXPIRED)
                self.feed(issuer, answer)
                continue
            effect_s = self.now + self.rng.uniform(0.0, order.timeout_s) * 0.99
            self.flights.append((effect_s, order, issuer))
        issuer.outbox = []

    def take_effect(self):
        due = sorted((f for f in self.flights if f[0] <= self.now), key=lambda f: f[0])
        self.flights = [f for f in self.flights if f[0] > self.now]
        for effect_s, order, issuer in due:
            load_s = self.rng.choice([1.0, 20.0, slots.LOAD_TIMEOUT_S * 0.98])
            engine = self.engines[order.target]
            result = engine.take(order, effect_s, load_s)
            answer = OrderCompleted(order.order_id, order.target, result)
            if issuer is self.issuers[issuer.name]:
                self.feed(issuer, answer)
            self.check_loads()

    @rule(seconds=st.sampled_from([2, 10, 40, 90]))
    def advance(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            self.take_effect()
            for issuer in self.issuers.values():
                if issuer.paused_until_s <= self.now:
                    self.send_orders(issuer)
                    self.feed(issuer, Tick(self.now))
                    # A pause may begin between a decision and its sending.
                    if self.rng.random() < 0.9:
                        self.send_orders(issuer)

    @rule(name=st.sampled_from(DAEMONS), seconds=st.sampled_from([5, 40, 200]))
    def pause(self, name, seconds):
        self.issuers[name].paused_until_s = self.now + seconds

    @rule(name=st.sampled_from(DAEMONS))
    def replace_daemon(self, name):
        self.boot(name)

    @rule()
    def toggle_outage(self):
        self.up = not self.up

    @precondition(lambda self: self.limbo and self.up)
    @rule(index=st.integers(0, 9))
    def land_late(self, index):
        self.land(self.limbo.pop(index % len(self.limbo)))

    @rule(name=st.sampled_from(DAEMONS))
    def cut_off(self, name):
        self.issuers[name].cut_off = not self.issuers[name].cut_off

    @rule(document=st.integers(0, 2))
    def change_configuration(self, document):
        self.document = document
        for issuer in self.issuers.values():
            self.configure(issuer)

    @rule(name=st.sampled_from(ENGINES))
    def replace_engine(self, name):
        if not self.engines[name].loading(self.now):
            self.engines[name].state = EngineState((), (), "")

    @invariant()
    def check_effects(self):
        for engine in getattr(self, "engines", {}).values():
            assert engine.effects == sorted(engine.effects)

    def check_loads(self):
        loading = [e for e in self.engines.values() if e.loading(self.now)]
        assert len(loading) <= LIMIT

    def teardown(self):
        """Once nothing fails any more, every engine reaches its wanted state."""
        if not hasattr(self, "engines"):
            return
        self.up = True
        for issuer in self.issuers.values():
            issuer.cut_off = False
        for _ in range(40):
            self.advance(60)
            self.check_effects()
        wanted = DOCUMENTS[self.document].pools["chat"].models
        for engine in self.engines.values():
            assert engine.state.models == wanted


TestOrdersMachine = OrdersMachine.TestCase
TestOrdersMachine.settings = run_settings(
    max_examples=run_settings().max_examples // 4, stateful_step_count=25
)


def cut_off_issuers(seed, wait_s):
    """Cut the issuer off the log while orders are due, and let another take over."""
    machine = OrdersMachine()
    machine.start(seed=seed, checks=False)
    for engine in machine.engines.values():
        engine.state = EngineState(("small",), (), "mixed")
    machine.advance(60)
    for issuer in machine.issuers.values():
        if issuer.orders.holds_term("chat", issuer.clock(machine.now)):
            issuer.cut_off = True
    for step in range(30):
        machine.document = step % 2
        for issuer in machine.issuers.values():
            machine.configure(issuer)
        machine.advance(wait_s)
        machine.check_effects()


GUARDS = {
    "waiting out": (terms, "WAIT_S", 0.0),
    "stopping before the end": (terms, "TERM_S", 10_000.0),
    "longest order": (engines, "ORDER_TIMEOUT_S", 120.0),
}


class TestTakeover:
    @pytest.mark.parametrize("wait_s", [7, 11, 13])
    def test_orders_of_a_cut_off_issuer_end_before_its_successor_begins(self, wait_s):
        for seed in range(8):
            cut_off_issuers(seed, wait_s)

    @pytest.mark.parametrize("guard", GUARDS)
    def test_each_guard_is_needed(self, guard, monkeypatch):
        monkeypatch.setattr(*GUARDS[guard])
        with pytest.raises(AssertionError):
            for seed in range(8):
                for wait_s in (7, 11, 13):
                    cut_off_issuers(seed, wait_s)

    def test_a_load_must_end_before_its_slot_expires(self, monkeypatch):
        monkeypatch.setattr(slots, "SLOT_TTL_S", 30.0)
        run = run_settings(
            derandomize=True,
            max_examples=200,
            stateful_step_count=25,
            phases=[Phase.generate],
        )
        with pytest.raises(AssertionError):
            run_state_machine_as_test(OrdersMachine, settings=run)
