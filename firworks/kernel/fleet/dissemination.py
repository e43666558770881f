"""Spreads facts through the fleet within a byte budget.

Facts ride on the digests that neighbours exchange anyway. A fleet-wide fact goes
from its origin to all neighbours; a daemon that learns it over a link passes it on
to its cell, and one that learns it in its cell passes it on over its links. A hash
of the whole table in each digest uncovers what got lost; a daemon then tells its
neighbour the marks of what it has, and gets the rest.
"""

from functools import singledispatchmethod

from firworks.errors import CodecError
from firworks.kernel.codec import decode_record
from firworks.kernel.fleet.digests import (
    TOPIC_MEMBER,
    Digest,
    Fact,
    VersionedFactChanged,
    TableSummary,
)
from firworks.kernel.fleet.events import MEMBER_DEAD, FactChanged, FactLearned
from firworks.kernel.fleet.facts import FactTable
from firworks.kernel.messages import PeerReceived, SendPeer, Tick
from firworks.kernel.node import Part
from firworks.kernel.outboxes import Outboxes
from firworks.kernel.topics import (
    ADDRESSED_TOPICS,
    CELL_TOPICS,
    URGENT_PRIORITY,
    find_priority,
    is_shared,
)

PERIOD_S = 1.0
FLUSH_PERIOD_S = 0.1
URGENT_PERIOD_S = 0.2
BUDGET_BYTES_PER_S = 8_000.0
BUDGET_DEPTH_S = 2.0
URGENT_RESERVE_S = 0.5
MESSAGE_OVERHEAD_BYTES = 140
DIGEST_BYTES = 45
MISMATCH_LIMIT = 2
SYNC_PERIOD_S = 5.0
SYNC_MIN_INTERVAL_S = 0.5
VERSION_HASH_BYTES = 9


class Dissemination(Part):
    """Batches facts into one digest per neighbour and period.

    It must come after the membership in the kernel's list of parts.

    Args:
        name (str): This daemon's name.
        membership (Membership): Knows the neighbours and makes the digests.
        budget_bytes_per_s (float): What may be sent, with the overhead of messages.
    """

    def __init__(self, name, membership, budget_bytes_per_s=BUDGET_BYTES_PER_S):
        self.name = name
        self.table = FactTable()
        self.skipped_facts = 0
        self._membership = membership
        self._budget_bytes_per_s = budget_bytes_per_s
        self._tokens = budget_bytes_per_s
        self._refilled_s = None
        self._outboxes = Outboxes()
        self._counter = 0
        self._epoch = 0
        self._stated = {}
        self._mismatches = {}
        self._synced_s = {}
        self._last_sync_s = float("-inf")

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event and return a list of actions and signals."""
        return []

    @property
    def waits(self):
        """Longest wait of a fact sent so far, by topic (dict of str to seconds)."""
        return dict(self._outboxes.longest_waits)

    @property
    def deferred_facts(self):
        """How many times a fact had to wait for a later period."""
        return self._outboxes.deferred

    def measure_oldest_wait(self, now):
        """Return the age in seconds of the oldest fact that still waits."""
        return self._outboxes.measure_oldest(now)

    @handle.register
    def _change_fact(self, event: FactChanged, now):
        identity = (event.topic, event.key, self.name)
        self._stated[identity] = now + event.ttl_s
        return self._state_own(identity, event.value, event.ttl_s, now)

    def _state_own(self, identity, value, ttl_s, now):
        """Publish a fact of this daemon as newer than all it has stated."""
        self._counter += 1
        self._epoch = max(self._epoch, self._membership.epoch)
        fact = Fact(*identity, self._epoch, self._counter, ttl_s, value)
        return self._publish(fact, now)

    @handle.register
    def _state_fact(self, event: VersionedFactChanged, now):
        return self._publish(event.fact, now)

    def _publish(self, fact, now):
        if self.table.store(fact, now) is None:
            return []
        for peer in self._list_receivers():
            if self._concerns(fact, peer):
                self._outboxes.put(peer, fact.identity, now)
        urgent = find_priority(fact.topic) <= URGENT_PRIORITY
        return self._flush(now) if urgent else []

    def _concerns(self, fact, peer):
        """Whether a neighbour should get a fact that was stated here."""
        if fact.topic in ADDRESSED_TOPICS:
            return peer == fact.key
        return fact.topic not in CELL_TOPICS or self._membership.is_in_mesh(peer)

    def _list_receivers(self):
        """Return the neighbours that are not held to be gone."""
        neighbours = self._membership.list_neighbours()
        find_status = self._membership.find_status
        return [peer for peer in neighbours if find_status(peer) != MEMBER_DEAD]

    @handle.register
    def _take_message(self, event: PeerReceived, now):
        if isinstance(event.message, TableSummary):
            return self._answer_summary(event.peer, event.message, now)
        if not isinstance(event.message, Digest):
            return []
        results = []
        for data in event.message.facts:
            results += self._take_fact(data, event.peer, now)
        results += self._compare(event.peer, event.message.table, now)
        if event.message.facts or self._membership.urgent:
            results += self._flush(now)
        return results

    def _take_fact(self, data, peer, now):
        fact = self._decode(data)
        if fact is None:
            return []
        stored = self.table.find(fact.identity)
        if stored is not None and stored.fact.version <= fact.version:
            self._outboxes.discard(peer, fact.identity)
        if fact.origin == self.name and fact.topic != TOPIC_MEMBER:
            return self._take_echo(fact, now)
        if self.table.store(fact, now, data) is None:
            return []
        if is_shared(fact.topic):
            self._relay(fact, peer, now)
        return [FactLearned(fact.topic, fact.key, fact.value, fact.origin)]

    def _decode(self, data):
        """Return the `Fact` in some bytes, or None when they hold no known one."""
        try:
            fact = decode_record(data)
        except CodecError:
            fact = None
        if isinstance(fact, Fact):
            return fact
        self.skipped_facts += 1
        return None

    def _take_echo(self, fact, now):
        """Take back what this daemon stated, perhaps before it restarted."""
        self._epoch = max(self._epoch, fact.epoch)
        self._counter = max(self._counter, fact.counter)
        own = self.table.find(fact.identity)
        if own is None or fact.identity not in self._stated:
            self.table.store(fact, now)
        elif own.fact.version < fact.version:
            ttl_s = own.expires_s - now
            return self._state_own(fact.identity, own.fact.value, ttl_s, now)
        return []

    def _relay(self, fact, source, now):
        from_mesh = self._membership.is_in_mesh(source)
        for peer in self._list_receivers():
            inside = from_mesh and self._membership.is_in_mesh(peer)
            if peer not in (source, fact.origin) and not inside:
                self._outboxes.put(peer, fact.identity, now)

    def _compare(self, peer, table, now):
        """Ask a neighbour that keeps another table for what is missing here."""
        if table == self.table.digest:
            self._mismatches.pop(peer, None)
            return []
        self._mismatches[peer] = self._mismatches.get(peer, 0) + 1
        last_s = self._synced_s.get(peer, float("-inf"))
        recent = now - last_s < SYNC_PERIOD_S or now - self._last_sync_s < SYNC_MIN_INTERVAL_S
        if self._mismatches[peer] < MISMATCH_LIMIT or recent:
            return []
        self._synced_s[peer] = self._last_sync_s = now
        version_hashes = tuple(entry.mark for entry in self.table.list_shared())
        self._tokens -= MESSAGE_OVERHEAD_BYTES + VERSION_HASH_BYTES * len(version_hashes)
        return [SendPeer(peer, TableSummary(version_hashes))]

    def _answer_summary(self, peer, summary, now):
        """Queue what a neighbour lacks."""
        version_hashes = set(summary.version_hashes)
        for entry in self.table.list_shared():
            if entry.mark not in version_hashes:
                self._outboxes.put(peer, entry.fact.identity, now)
        return self._flush(now)

    @handle.register
    def _tick(self, event: Tick, now):
        if self._refilled_s is not None and now - self._refilled_s < FLUSH_PERIOD_S:
            return []
        self._refill(now)
        self.table.expire(now)
        for identity in [key for key, s in self._stated.items() if s <= now]:
            del self._stated[identity]
        neighbours = self._membership.list_neighbours()
        self._outboxes.retain(neighbours)
        for peers in (self._mismatches, self._synced_s):
            for peer in [peer for peer in peers if peer not in neighbours]:
                del peers[peer]
        return self._flush(now)

    def _refill(self, now):
        if self._refilled_s is not None:
            elapsed_s = now - self._refilled_s
            depth = self._budget_bytes_per_s * BUDGET_DEPTH_S
            gained = elapsed_s * self._budget_bytes_per_s
            self._tokens = min(depth, self._tokens + gained)
        self._refilled_s = now

    def _flush(self, now):
        """Send digests to the neighbours that are due or have urgent facts."""
        due = self._list_due(now)
        if not due:
            return []
        batches = self._take_facts(due, now)
        self._tokens -= len(due) * (MESSAGE_OVERHEAD_BYTES + DIGEST_BYTES)
        make_digest = self._membership.make_digest
        digest = self.table.digest
        return [
            SendPeer(peer, make_digest(peer, digest, tuple(facts), now))
            for peer, facts in batches.items()
        ]

    def _list_due(self, now):
        urgent = set(self._membership.pop_urgent())
        due = []
        for peer in self._membership.list_neighbours():
            hurried = self._tokens > URGENT_RESERVE_S * self._budget_bytes_per_s
            hurried = hurried and self._outboxes.has_urgent(peer)
            period_s = URGENT_PERIOD_S if hurried else PERIOD_S
            if peer in urgent or self._membership.is_due(peer, period_s, now):
                due.append(peer)
        return due

    def _take_facts(self, due, now):
        """Return the facts for each neighbour that is due, within the budget."""
        batches = {peer: [] for peer in due}
        for peer, identity in self._outboxes.list_waiting(due):
            entry = self.table.find(identity)
            if entry is None:
                self._outboxes.discard(peer, identity)
                continue
            if self._tokens <= 0:
                self._outboxes.deferred += 1
                continue
            data = entry.encode(now)
            self._tokens -= len(data)
            self._outboxes.pop(peer, identity, now)
            batches[peer].append(data)
        return batches
