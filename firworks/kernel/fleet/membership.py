"""Membership of the fleet: heartbeats, suspicion, refutation and epochs.

Every daemon sends a digest to each of its neighbours in each period; the digest is
the heartbeat. Before a silent neighbour is suspected, others are asked when they last
received from it; it can refute the suspicion before it is declared dead. Epochs order
the incarnations of a daemon: a restarted daemon learns from its neighbours which
epoch to adopt, so no clock is involved. The VM list only tells which daemons to
connect to. A view may be wrong for a while; this affects latency, never correctness.
"""

from functools import singledispatchmethod

from firworks.events import LogEvent
from firworks.kernel.fleet.detector import FailureDetector
from firworks.kernel.fleet.digests import (
    MEMBER_TTL_S,
    RANK_ALIVE,
    RANK_DEAD,
    RANK_DRAINED,
    RANK_LEAVING,
    RANK_SUSPECT,
    TOPIC_MEMBER,
    Digest,
    MemberFact,
    Probe,
    ProbeReply,
    VersionedFactChanged,
    make_member_fact,
)
from firworks.kernel.fleet.events import (
    MEMBER_DEAD,
    DrainFinished,
    DrainStarted,
    FactLearned,
    MemberChanged,
)
from firworks.kernel.fleet.members import Member
from firworks.kernel.fleet.neighbours import Neighbours
from firworks.kernel.fleet.own_state import OwnState
from firworks.kernel.messages import (
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    Tick,
    VmEntry,
    VmsListed,
    WriteLogEvent,
)
from firworks.kernel.node import Part

CHECK_PERIOD_S = 0.2
DEAD_PERIOD_FACTOR = 5.0
EVICT_AFTER_S = 60.0
PERIOD_SLACK_S = 1e-6


class Membership(Part):
    """Maintains this daemon's view of all other daemons.

    Args:
        name (str): This daemon's name.
        incarnation (str): Unique for each start of the process.
        region (str): Region of this daemon.
        failure_domain (str): Failure domain of this daemon.
        address (str): "ip:port" at which other daemons reach this one.
        rng (Random): Source of random choices.
    """

    def __init__(self, name, incarnation, region, failure_domain, address, rng):
        self.name = name
        self.incarnation = incarnation
        vm = VmEntry(name, address, "entry", region, failure_domain)
        self._own = OwnState(incarnation, vm)
        self._members = {}
        self._neighbours = Neighbours(vm, self._members)
        self._detector = FailureDetector(self._neighbours, self._members, rng)
        self._urgent = {}
        self._listed = {}
        self._last_check_s = float("-inf")

    @singledispatchmethod
    def handle(self, event, now):
        """Handle one event and return a list of actions and signals."""
        return []

    @property
    def epoch(self):
        """Epoch of this incarnation (int), higher than those of earlier ones."""
        return self._own.epoch

    def list_alive(self):
        """Return the sorted names of the daemons not considered dead, and this one."""
        names = [m.name for m in self._members.values() if not m.gone]
        return sorted([*names, self.name])

    def list_cell(self):
        """Return the sorted names of this daemon's cell, this one included."""
        return tuple(sorted((*self._neighbours.mesh, self.name)))

    def list_neighbours(self):
        """Return the names of the daemons that digests are sent to."""
        return self._neighbours.list_names()

    def count_entries(self):
        """Return how many daemons are listed or not considered dead, and this one."""
        known = [m for m in self._members.values() if m.listed or not m.gone]
        return 1 + len(known)

    def is_in_mesh(self, name):
        """Whether a daemon belongs to this daemon's cell."""
        return name in self._neighbours.mesh

    def find_status(self, name):
        """Return a ``MEMBER_`` constant, or None for an unknown daemon."""
        member = self._members.get(name)
        return member.status if member else None

    def find_incarnation(self, name):
        """Return a daemon's incarnation; empty when unknown."""
        member = self._members.get(name)
        return member.incarnation if member else ""

    def is_due(self, name, period_s, now):
        """Whether the next digest to a neighbour is due.

        Args:
            name (str): The neighbour.
            period_s (float): Period for live neighbours; dead ones get fewer digests.
            now (float): Monotonic time in seconds.
        """
        member = self._members[name]
        factor = DEAD_PERIOD_FACTOR if member.gone else 1.0
        return now - member.sent_s >= period_s * factor - PERIOD_SLACK_S

    @property
    def urgent(self):
        """Whether a member needs a digest without waiting for the period."""
        return bool(self._urgent)

    def pop_urgent(self):
        """Return and clear the names of members that need a digest immediately."""
        urgent = list(self._urgent)
        self._urgent.clear()
        return urgent

    def make_digest(self, name, table_checksum, facts, now):
        """Return the next `Digest` to a neighbour.

        Args:
            name (str): The neighbour.
            table_checksum (int): Hash of the fleet-wide facts.
            facts (tuple of bytes): Encoded facts to piggyback.
            now (float): Monotonic time in seconds.
        """
        member = self._members[name]
        member.sequence_out += 1
        member.sent_s = now
        introduce = member.acknowledged < member.introduce_until
        return Digest(
            epoch=self._own.epoch,
            incarnation_hash=self._own.incarnation_hash,
            refutation=self._own.refutation,
            rank=self._own.rank,
            sequence=member.sequence_out,
            acknowledged=member.sequence_in,
            peer_epoch=member.required_epoch or member.epoch,
            peer_refutation=member.refutation,
            peer_rank=member.rank,
            reply_only=self._neighbours.is_reply_only(name),
            table_checksum=table_checksum,
            introductions=(self._own.introduction,) if introduce else (),
            facts=facts,
        )

    @handle.register
    def _apply_vms(self, event: VmsListed, now):
        listed = {vm.name: vm for vm in event.vms if vm.role == "entry"}
        listed.pop(self.name, None)
        if listed == self._listed:
            return []
        self._listed = listed
        results = []
        for name in sorted(listed):
            results += self._apply_vm(listed[name], now)
        for member in self._members.values():
            member.listed = member.name in listed
        return results + self._neighbours.choose(now)

    def _apply_vm(self, vm, now):
        member = self._members.get(vm.name)
        results = []
        if member is None:
            member = self._add_member(vm.name, now)
            results.append(MemberChanged(vm.name, "", member.status))
        member.address = vm.address
        member.region = vm.region
        member.failure_domain = vm.failure_domain
        if vm.leaving and member.rank == RANK_ALIVE:
            state = (member.epoch, member.refutation, RANK_LEAVING)
            results += self._apply(member, state, now)
        return results

    def _add_member(self, name, now):
        member = self._members[name] = Member(name, now)
        return member

    @handle.register
    def _check(self, event: Tick, now):
        if now - self._last_check_s < CHECK_PERIOD_S:
            return []
        self._last_check_s = now
        actions, rank_changes = self._detector.check(now)
        for member, rank in rank_changes:
            state = (member.epoch, member.refutation, rank)
            actions += self._apply(member, state, now)
            self._urgent[member.name] = None
        actions += self._evict_stale(now)
        return actions + self._neighbours.refresh(now)

    def _evict_stale(self, now):
        """Remove unlisted members with no digest or rank change for a while."""
        results = []
        for member in list(self._members.values()):
            last_s = max(member.last_digest_s, member.rank_changed_s)
            if member.listed or now - last_s <= EVICT_AFTER_S:
                continue
            del self._members[member.name]
            if not member.gone:
                change = (member.name, member.incarnation, MEMBER_DEAD)
                results.append(MemberChanged(*change))
        return results

    @handle.register
    def _handle_connected(self, event: PeerConnected, now):
        member = self._members.get(event.peer)
        if member is not None:
            member.introduce_until = member.sequence_out + 1
            member.acknowledged_s = now
            self._urgent[event.peer] = None
        return []

    @handle.register
    def _handle_disconnected(self, event: PeerDisconnected, now):
        member = self._members.get(event.peer)
        names = self._neighbours.list_names()
        if member is None or member.gone or event.peer not in names:
            return []
        return self._detector.probe(member, names, now)

    @handle.register
    def _handle_message(self, event: PeerReceived, now):
        return self._handle_record(event.message, event.peer, now)

    @singledispatchmethod
    def _handle_record(self, record, peer, now):
        return []

    @_handle_record.register
    def _handle_digest(self, digest: Digest, peer, now):
        member = self._members.get(peer) or self._add_member(peer, now)
        results = self._begin_epoch(member, digest, now)
        if (
            digest.epoch == member.epoch
            and digest.incarnation_hash == member.incarnation_hash
        ):
            member.apply_digest(digest, now)
            if not digest.reply_only:
                self._neighbours.add_inbound_peer(peer)
            state = (digest.epoch, digest.refutation, digest.rank)
            results += self._apply(member, state, now)
        self._apply_peer_view(member, digest)
        if member.gone and digest.rank < RANK_DEAD or member.required_epoch:
            self._urgent[peer] = None
        return results

    def _begin_epoch(self, member, digest, now):
        """Detect a new incarnation of a neighbour, or require it to raise its epoch."""
        if digest.epoch <= member.epoch:
            if digest.incarnation_hash != member.incarnation_hash:
                member.required_epoch = member.epoch + 1
            return []
        if not digest.introductions:
            return []
        # Published only if other daemons may consider the member suspect or dead.
        publish = member.rank >= RANK_SUSPECT
        member.begin_epoch(digest.epoch, digest.introductions[0], now)
        return [*self._report(member, publish), *self._neighbours.dial()]

    def _apply_peer_view(self, member, digest):
        """Respond to a neighbour's view of this daemon, refuting it if necessary."""
        if digest.peer_epoch < self._own.epoch:
            member.introduce_until = member.sequence_out + 1
        elif self._own.apply_peer_view(digest):
            self._notify_all()

    def _notify_all(self):
        """Mark all members for an immediate digest with this daemon's new state."""
        for member in self._members.values():
            member.introduce_until = member.sequence_out + 1
            self._urgent[member.name] = None

    @_handle_record.register
    def _handle_probe(self, probe: Probe, peer, now):
        return self._detector.answer_probe(probe, peer, now)

    @_handle_record.register
    def _handle_probe_reply(self, reply: ProbeReply, peer, now):
        self._detector.apply_probe_reply(reply, now)
        return []

    @handle.register
    def _handle_fact(self, event: FactLearned, now):
        value = event.value
        if event.topic != TOPIC_MEMBER or not isinstance(value, MemberFact):
            return []
        if event.key == self.name:
            if self._own.apply_member_fact(value):
                self._notify_all()
            return []
        member = self._members.get(event.key) or self._add_member(event.key, now)
        results = []
        if value.epoch > member.epoch:
            member.begin_epoch(value.epoch, value, now)
            results = self._report(member, publish=False)
        state = (value.epoch, value.refutation, value.rank)
        return results + self._apply(member, state, now, publish=False)

    def _apply(self, member, state, now, publish=True):
        """Apply a newer statement about a member's current epoch.

        Args:
            member (Member): The member.
            state (tuple of int): Epoch, refutation and rank.
            now (float): Monotonic time in seconds.
            publish (bool): Publish the change to the fleet as well.

        Returns:
            list of Signal: Empty if the statement is not newer.
        """
        if state <= member.state or state[0] != member.epoch:
            return []
        before = member.status
        if state[2] != member.rank:
            member.rank_changed_s = now
        member.refutation, member.rank = state[1:]
        return self._report(member, publish, before != member.status)

    def _report(self, member, publish=True, changed=True):
        """Return the signals that notify the parts and, with `publish`, the fleet."""
        results = []
        if changed:
            fields = {"member": member.name, "status": member.status}
            results = [
                MemberChanged(member.name, member.incarnation, member.status),
                WriteLogEvent(LogEvent.MEMBER_CHANGED, fields),
            ]
        if publish and member.epoch:
            results.append(VersionedFactChanged(make_member_fact(member, MEMBER_TTL_S)))
        return results

    @handle.register
    def _start_drain(self, event: DrainStarted, now):
        return self._announce(RANK_LEAVING)

    @handle.register
    def _finish_drain(self, event: DrainFinished, now):
        return self._announce(RANK_DRAINED)

    def _announce(self, rank):
        self._own.announce(rank)
        self._notify_all()
        return []
