"""Gives orders to the engines of managed pools, one daemon per pool at a time."""

from functools import singledispatchmethod

from firworks.events import LogEvent
from firworks.kernel.fleet.events import (
    ConfigurationAccepted,
    DrainStarted,
    MemberChanged,
)
from firworks.kernel.fleet.live import LiveMembers
from firworks.kernel.fleet.placement import list_managed_pools, make_desired_state
from firworks.kernel.messages import (
    AppendFailed,
    AppendRecords,
    WriteLogEvent,
    LogRead,
    LogReadFailed,
    RecordsAppended,
    Tick,
    VmsListed,
)
from firworks.kernel.node import Part
from firworks.kernel.orders.engines import EngineOrders
from firworks.kernel.orders.records import (
    ORDER_STALE,
    EngineInspected,
    OrderCompleted,
    Term,
    get_control_stream_name,
)
from firworks.kernel.orders.slots import Slots
from firworks.kernel.orders.terms import ScopeTerms
from firworks.kernel.tail_reader import TailReader

TAIL_ENTRIES = 256
POLL_INTERVAL_S = 2.0
BACKUP_DELAY_MIN_S = 5.0
BACKUP_DELAY_MAX_S = 120.0


class OrderIssuer(Part):
    """Holds terms for managed pools and brings their engines to the wanted state.

    Without a managed pool in the document it does nothing.

    Args:
        settings (Settings): The daemon's settings.
        incarnation (str): Unique name of this run of the daemon.
        rng (random.Random): Spreads the daemons that may take over.
    """

    def __init__(self, settings, incarnation, rng):
        self._incarnation = incarnation
        self._rng = rng
        stream = get_control_stream_name(settings.environment)
        self._reader = TailReader(stream, TAIL_ENTRIES, POLL_INTERVAL_S)
        self._slots = Slots()
        self._limit = 1
        self._pools = {}
        self._scopes = {}
        self._delays_s = {}
        self._engines = {}
        self._members = LiveMembers(settings.name)
        self._draining = False
        self._count = 0

    def holds_term(self, pool, now):
        """Return whether this daemon's term for a pool (str) runs."""
        scope = self._scopes.get(pool)
        return scope is not None and scope.is_held(now)

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event; see `Part.handle`."""
        return []

    @handle.register
    def _take_configuration(self, event: ConfigurationAccepted, now):
        self._limit = event.document.concurrent_loads
        pools = list_managed_pools(event.document)
        self._pools = {pool.name: pool for pool in pools}
        for name in [n for n in self._scopes if n not in self._pools]:
            del self._scopes[name]
        for name in list(self._engines):
            self._leave(name, now)
        return self._append(self._slots.pop_records(now))

    @handle.register
    def _handle_tick(self, event: Tick, now):
        if not self._pools:
            return []
        results = self._reader.poll(now)
        if not self._reader.at_head:
            return results
        records = []
        for name, pool in self._pools.items():
            scope = self._scopes.get(name)
            if scope is None:
                scope = self._scopes[name] = ScopeTerms(name, self._incarnation, now)
                self._delays_s[name] = self._choose_delay(name)
            records += self._propose(scope, now)
            if not scope.is_held(now):
                self._leave(name, now)
                continue
            for engine in self._enter(pool):
                results += engine.poll(now)
        records += self._slots.pop_records(now)
        return results + self._append(records)

    @handle.register
    def _handle_read(self, event: LogRead, now):
        if event.stream != self._reader.stream:
            return []
        results = []
        entries = self._reader.take(event, now)
        whole = self._reader.contiguous_from <= event.oldest
        for entry in entries:
            self._slots.apply_entry(entry, whole, self._limit)
            for record in entry.records:
                if isinstance(record, Term) and record.scope in self._scopes:
                    results += self._take_term(record, entry.offset, now)
        return results

    @handle.register
    def _handle_read_failed(self, event: LogReadFailed, now):
        if event.stream == self._reader.stream:
            self._reader.fail(now)
        return []

    @handle.register(RecordsAppended)
    @handle.register(AppendFailed)
    def _handle_append(self, event, now):
        if event.append_id.startswith(f"orders-{self._incarnation}-"):
            self._reader.request_poll(now)
        return []

    @handle.register
    def _handle_drain(self, event: DrainStarted, now):
        self._draining = True
        return []

    @handle.register
    def _handle_members(self, event: VmsListed | MemberChanged, now):
        self._members.apply_event(event)
        return []

    @handle.register
    def _handle_shown(self, event: EngineInspected, now):
        for name, engines in self._engines.items():
            engine = engines.get(event.target)
            if engine is None:
                continue
            fencing = self._scopes[name].get_fencing_number(now)
            actions = engine.apply_state(event.state, event.loading, fencing, now)
            return actions + self._append(self._slots.pop_records(now))
        return []

    @handle.register
    def _handle_answer(self, event: OrderCompleted, now):
        for name, engines in self._engines.items():
            engine = engines.get(event.target)
            if engine is None:
                continue
            engine.note_answer(event.order_id, now)
            if event.result == ORDER_STALE:
                self._scopes[name].drop()
                fields = {"pool": name, "target": event.target}
                return [WriteLogEvent(LogEvent.ORDER_STALE, fields)]
        return []

    def _propose(self, scope, now):
        if self._draining:
            return []
        delay_s = self._delays_s[scope.scope]
        term = scope.propose(self._reader.cursor, delay_s, now)
        return [] if term is None else [term]

    def _take_term(self, term, offset, now):
        scope = self._scopes[term.scope]
        mine = scope.is_held(now)
        scope.take(term, offset, self._reader.contiguous_from, now)
        self._delays_s[term.scope] = self._choose_delay(term.scope)
        if scope.is_held(now) and not mine:
            fields = {"pool": term.scope, "fencing": offset}
            return [WriteLogEvent(LogEvent.TERM_GRANTED, fields)]
        return []

    def _choose_delay(self, name):
        """Return how long this daemon leaves a free scope to the preferred one."""
        if self._members.rank(f"orders/{name}") == 0:
            return 0.0
        return self._rng.uniform(BACKUP_DELAY_MIN_S, BACKUP_DELAY_MAX_S)

    def _enter(self, pool):
        """Return the engines (list of EngineOrders) of a pool under a term."""
        engines = self._engines.get(pool.name)
        if engines is None:
            wanted = make_desired_state(pool)
            engines = self._engines[pool.name] = {
                target: EngineOrders(target, wanted, self._slots, self._make_id)
                for target in pool.targets
            }
        return list(engines.values())

    def _leave(self, name, now):
        """Forget the engines of a pool and give their slots back."""
        for engine in self._engines.pop(name, {}).values():
            engine.release_slot(now)

    def _append(self, records):
        if not records:
            return []
        append_id = f"orders-{self._make_id()}"
        return [AppendRecords(append_id, self._reader.stream, tuple(records))]

    def _make_id(self):
        self._count += 1
        return f"{self._incarnation}-{self._count}"
