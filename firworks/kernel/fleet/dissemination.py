"""Disseminates facts through the fleet by gossip, within a byte budget.

Facts are piggybacked on the digests that neighbours exchange. A fleet-wide fact goes
from its origin to all neighbours; a daemon that receives it over a link forwards it
to its cell, and one that receives it within its cell forwards it over its links.
Anti-entropy repairs losses: each digest carries a checksum of the sender's table;
when the tables differ, a daemon sends the version hashes of the facts that it has,
and the neighbour sends the others.
"""

from functools import singledispatchmethod

from firworks.errors import CodecError
from firworks.kernel.codec import decode_record
from firworks.kernel.fleet.digests import (
    TOPIC_MEMBER,
    Digest,
    Fact,
    TableSummary,
    VersionedFactChanged,
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
BUDGET_DEPTH_S = 2.0  # token bucket depth, in seconds of the budget
URGENT_RESERVE_S = 0.5  # seconds of the budget; urgent facts go early only above it
MESSAGE_OVERHEAD_BYTES = 140
DIGEST_BYTES = 45
MISMATCH_LIMIT = 2  # consecutive different checksums that cause a sync
SYNC_PERIOD_S = 5.0
SYNC_MIN_INTERVAL_S = 0.5
VERSION_HASH_BYTES = 9  # a 64-bit integer in CBOR


class Dissemination(Part):
    """Batches facts into one digest per neighbour and period.

    It must come after `Membership` in the kernel's list of parts.

    Args:
        name (str): This daemon's name.
        membership (Membership): Lists the neighbours and builds the digests.
        budget_bytes_per_s (float): Limit of what is sent, with message overhead.
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
        self._own_expiries = {}
        self._mismatches = {}
        self._peer_sync_s = {}
        self._last_sync_s = float("-inf")

    @singledispatchmethod
    def handle(self, event, now):
        """Handle one event and return a list of actions and signals."""
        return []

    @property
    def longest_waits(self):
        """Longest queueing time in seconds by topic (dict of str to float)."""
        return dict(self._outboxes.longest_waits)

    @property
    def deferred_facts(self):
        """How many times a fact was deferred to a later digest by the budget."""
        return self._outboxes.deferred

    def measure_oldest_wait(self, now):
        """Return how long the oldest queued fact has waited, in seconds."""
        return self._outboxes.measure_oldest(now)

    @handle.register
    def _handle_fact_changed(self, event: FactChanged, now):
        identity = (event.topic, event.key, self.name)
        self._own_expiries[identity] = now + event.ttl_s
        return self._publish_own(identity, event.value, event.ttl_s, now)

    def _publish_own(self, identity, value, ttl_s, now):
        """Publish a fact of this daemon with a version above all its earlier ones."""
        self._counter += 1
        self._epoch = max(self._epoch, self._membership.epoch)
        fact = Fact(*identity, self._epoch, self._counter, ttl_s, value)
        return self._publish(fact, now)

    @handle.register
    def _handle_versioned_fact(self, event: VersionedFactChanged, now):
        return self._publish(event.fact, now)

    def _publish(self, fact, now):
        if self.table.store(fact, now) is None:
            return []
        for peer in self._list_recipients():
            if self._should_send(fact, peer):
                self._outboxes.put(peer, fact.identity, now)
        urgent = find_priority(fact.topic) <= URGENT_PRIORITY
        return self._flush(now) if urgent else []

    def _should_send(self, fact, peer):
        """Whether a neighbour should get a fact that was published here."""
        if fact.topic in ADDRESSED_TOPICS:
            return peer == fact.key
        return fact.topic not in CELL_TOPICS or self._membership.is_in_mesh(peer)

    def _list_recipients(self):
        """Return the neighbours that are not considered dead."""
        neighbours = self._membership.list_neighbours()
        find_status = self._membership.find_status
        return [peer for peer in neighbours if find_status(peer) != MEMBER_DEAD]

    @handle.register
    def _handle_message(self, event: PeerReceived, now):
        if isinstance(event.message, TableSummary):
            return self._answer_summary(event.peer, event.message, now)
        if not isinstance(event.message, Digest):
            return []
        results = []
        for data in event.message.facts:
            results += self._apply_fact(data, event.peer, now)
        results += self._request_missing(event.peer, event.message.table_checksum, now)
        if event.message.facts or self._membership.urgent:
            results += self._flush(now)
        return results

    def _apply_fact(self, data, peer, now):
        fact = self._decode(data)
        if fact is None:
            return []
        stored = self.table.find(fact.identity)
        if stored is not None and stored.fact.version <= fact.version:
            self._outboxes.discard(peer, fact.identity)
        if fact.origin == self.name and fact.topic != TOPIC_MEMBER:
            return self._apply_own_fact(fact, now)
        if self.table.store(fact, now, data) is None:
            return []
        if is_shared(fact.topic):
            self._relay(fact, peer, now)
        return [FactLearned(fact.topic, fact.key, fact.value, fact.origin)]

    def _decode(self, data):
        """Return the `Fact` encoded in `data`; None, and count it, if there is none."""
        try:
            fact = decode_record(data)
        except CodecError:
            fact = None
        if isinstance(fact, Fact):
            return fact
        self.skipped_facts += 1
        return None

    def _apply_own_fact(self, fact, now):
        """Apply a fact of this daemon that a peer returns, perhaps of an earlier run.

        The counters are raised to its version, so that later facts supersede it; if
        it supersedes a fact of this run, that fact is published again.
        """
        self._epoch = max(self._epoch, fact.epoch)
        self._counter = max(self._counter, fact.counter)
        own = self.table.find(fact.identity)
        if own is None or fact.identity not in self._own_expiries:
            self.table.store(fact, now)
        elif own.fact.version < fact.version:
            ttl_s = own.expires_s - now
            return self._publish_own(fact.identity, own.fact.value, ttl_s, now)
        return []

    def _relay(self, fact, source, now):
        from_mesh = self._membership.is_in_mesh(source)
        for peer in self._list_recipients():
            inside = from_mesh and self._membership.is_in_mesh(peer)
            if peer not in (source, fact.origin) and not inside:
                self._outboxes.put(peer, fact.identity, now)

    def _request_missing(self, peer, checksum, now):
        """Ask a neighbour whose table differs for the facts that are missing here."""
        if checksum == self.table.checksum:
            self._mismatches.pop(peer, None)
            return []
        self._mismatches[peer] = self._mismatches.get(peer, 0) + 1
        last_s = self._peer_sync_s.get(peer, float("-inf"))
        recent = (
            now - last_s < SYNC_PERIOD_S
            or now - self._last_sync_s < SYNC_MIN_INTERVAL_S
        )
        if self._mismatches[peer] < MISMATCH_LIMIT or recent:
            return []
        self._peer_sync_s[peer] = self._last_sync_s = now
        hashes = tuple(entry.version_hash for entry in self.table.list_shared())
        self._tokens -= MESSAGE_OVERHEAD_BYTES + VERSION_HASH_BYTES * len(hashes)
        return [SendPeer(peer, TableSummary(hashes))]

    def _answer_summary(self, peer, summary, now):
        """Queue the facts that a neighbour lacks."""
        hashes = set(summary.version_hashes)
        for entry in self.table.list_shared():
            if entry.version_hash not in hashes:
                self._outboxes.put(peer, entry.fact.identity, now)
        return self._flush(now)

    @handle.register
    def _tick(self, event: Tick, now):
        if self._refilled_s is not None and now - self._refilled_s < FLUSH_PERIOD_S:
            return []
        self._refill(now)
        self.table.expire(now)
        for identity in [key for key, s in self._own_expiries.items() if s <= now]:
            del self._own_expiries[identity]
        neighbours = self._membership.list_neighbours()
        self._outboxes.retain(neighbours)
        for peers in (self._mismatches, self._peer_sync_s):
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
        """Send digests to the neighbours that are due or have urgent facts queued."""
        due = self._list_due(now)
        if not due:
            return []
        batches = self._select_facts(due, now)
        self._tokens -= len(due) * (MESSAGE_OVERHEAD_BYTES + DIGEST_BYTES)
        make_digest = self._membership.make_digest
        checksum = self.table.checksum
        return [
            SendPeer(peer, make_digest(peer, checksum, tuple(facts), now))
            for peer, facts in batches.items()
        ]

    def _list_due(self, now):
        urgent = set(self._membership.pop_urgent())
        due = []
        for peer in self._membership.list_neighbours():
            send_early = self._tokens > URGENT_RESERVE_S * self._budget_bytes_per_s
            send_early = send_early and self._outboxes.has_urgent(peer)
            period_s = URGENT_PERIOD_S if send_early else PERIOD_S
            if peer in urgent or self._membership.is_due(peer, period_s, now):
                due.append(peer)
        return due

    def _select_facts(self, due, now):
        """Dequeue facts for due neighbours, most urgent first, within the budget."""
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
