"""Which daemons are alive: heartbeats, suspicion, refutation and epochs.

Every daemon sends a digest to each of its neighbours in each period; the digest is
the heartbeat. A neighbour that falls silent is asked for through others before it
is suspected, and can refute the suspicion before it is declared dead. Epochs order
the incarnations of a daemon: a restarted one learns from its neighbours which
epoch it must take, so no clock is involved. The VM list only tells whom to dial; a
view may be wrong for a while, and only time depends on it.
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
    VersionedFactChanged,
    MemberFact,
    Probe,
    ProbeReply,
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
    WriteLogEvent,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    Tick,
    VmEntry,
    VmsListed,
)
from firworks.kernel.node import Part

CHECK_PERIOD_S = 0.2
DEAD_PERIOD_FACTOR = 5.0
FORGET_AFTER_S = 60.0
PERIOD_SLACK_S = 1e-6


class Membership(Part):
    """Keeps this daemon's view of all other daemons.

    Args:
        name (str): This daemon's name.
        incarnation (str): Unique for each start of the process.
        region (str): Region of this daemon.
        failure_domain (str): Failure domain of this daemon.
        address (str): "ip:port" that other daemons reach this one at.
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
        self._checked_s = float("-inf")

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event and return a list of actions and signals."""
        return []

    @property
    def epoch(self):
        """Orders this incarnation of the daemon after earlier ones."""
        return self._own.epoch

    def list_alive(self):
        """Return the sorted names of daemons held to be alive, this one included."""
        names = [m.name for m in self._members.values() if not m.gone]
        return sorted([*names, self.name])

    def list_cell(self):
        """Return the sorted names of this daemon's cell, this one included."""
        return tuple(sorted((*self._neighbours.mesh, self.name)))

    def list_neighbours(self):
        """Return the names that digests go to: mesh, links and guests."""
        return self._neighbours.list_names()

    def count_entries(self):
        """Return how many daemons there may be: those listed or not gone, and self."""
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
        """Whether the next digest to a neighbour is due."""
        member = self._members[name]
        factor = DEAD_PERIOD_FACTOR if member.gone else 1.0
        return now - member.sent_s >= period_s * factor - PERIOD_SLACK_S

    @property
    def urgent(self):
        """Whether some neighbour needs a digest at once."""
        return bool(self._urgent)

    def pop_urgent(self):
        """Return the names that need a digest at once, and forget them."""
        urgent = list(self._urgent)
        self._urgent.clear()
        return urgent

    def make_digest(self, name, table, facts, now):
        """Return the next `Digest` to a neighbour.

        Args:
            name (str): The neighbour.
            table (int): Hash of the fleet-wide facts.
            facts (tuple of bytes): Encoded facts that go along.
            now (float): Monotonic time in seconds.
        """
        member = self._members[name]
        member.sequence_out += 1
        member.sent_s = now
        introduce = member.acknowledged < member.introduce_until
        return Digest(
            epoch=self._own.epoch,
            tag=self._own.tag,
            refutation=self._own.refutation,
            rank=self._own.rank,
            sequence=member.sequence_out,
            acknowledged=member.sequence_in,
            peer_epoch=member.required_epoch or member.epoch,
            peer_refutation=member.refutation,
            peer_rank=member.rank,
            reply_only=self._neighbours.is_reply_only(name),
            table=table,
            introductions=(self._own.introduction,) if introduce else (),
            facts=facts,
        )

    @handle.register
    def _take_vms(self, event: VmsListed, now):
        listed = {vm.name: vm for vm in event.vms if vm.role == "entry"}
        listed.pop(self.name, None)
        if listed == self._listed:
            return []
        self._listed = listed
        results = []
        for name in sorted(listed):
            results += self._take_vm(listed[name], now)
        for member in self._members.values():
            member.listed = member.name in listed
        return results + self._neighbours.choose(now)

    def _take_vm(self, vm, now):
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
        if now - self._checked_s < CHECK_PERIOD_S:
            return []
        self._checked_s = now
        actions, verdicts = self._detector.check(now)
        for member, rank in verdicts:
            state = (member.epoch, member.refutation, rank)
            actions += self._apply(member, state, now)
            self._urgent[member.name] = None
        actions += self._forget(now)
        return actions + self._neighbours.review(now)

    def _forget(self, now):
        """Drop members that neither the VM list nor any message has named lately."""
        results = []
        for member in list(self._members.values()):
            last_s = max(member.heard_s, member.ranked_s)
            if member.listed or now - last_s <= FORGET_AFTER_S:
                continue
            del self._members[member.name]
            if not member.gone:
                lost = (member.name, member.incarnation, MEMBER_DEAD)
                results.append(MemberChanged(*lost))
        return results

    @handle.register
    def _note_connected(self, event: PeerConnected, now):
        member = self._members.get(event.peer)
        if member is not None:
            member.introduce_until = member.sequence_out + 1
            member.acknowledged_s = now
            self._urgent[event.peer] = None
        return []

    @handle.register
    def _note_disconnected(self, event: PeerDisconnected, now):
        member = self._members.get(event.peer)
        names = self._neighbours.list_names()
        if member is None or member.gone or event.peer not in names:
            return []
        return self._detector.probe(member, names, now)

    @handle.register
    def _take_message(self, event: PeerReceived, now):
        return self._take_record(event.message, event.peer, now)

    @singledispatchmethod
    def _take_record(self, record, peer, now):
        return []

    @_take_record.register
    def _take_digest(self, digest: Digest, peer, now):
        member = self._members.get(peer) or self._add_member(peer, now)
        results = self._begin_epoch(member, digest, now)
        if digest.epoch == member.epoch and digest.tag == member.tag:
            member.apply_digest(digest, now)
            if not digest.reply_only:
                self._neighbours.add_inbound_peer(peer)
            state = (digest.epoch, digest.refutation, digest.rank)
            results += self._apply(member, state, now)
        self._take_opinion(member, digest)
        if member.gone and digest.rank < RANK_DEAD or member.required_epoch:
            self._urgent[peer] = None
        return results

    def _begin_epoch(self, member, digest, now):
        """Notice a new incarnation of a neighbour, or ask it to raise its epoch."""
        if digest.epoch <= member.epoch:
            if digest.tag != member.tag:
                member.required_epoch = member.epoch + 1
            return []
        if not digest.introductions:
            return []
        # Others need no news of a start that followed no end.
        spread = member.rank >= RANK_SUSPECT
        member.begin_epoch(digest.epoch, digest.introductions[0], now)
        return [*self._report(member, spread), *self._neighbours.dial()]

    def _take_opinion(self, member, digest):
        """Answer what a neighbour believes about this daemon."""
        if digest.peer_epoch < self._own.epoch:
            member.introduce_until = member.sequence_out + 1
        elif self._own.apply_peer_view(digest):
            self._tell_all()

    def _tell_all(self):
        """Let all neighbours know of this daemon's changed state at once."""
        for member in self._members.values():
            member.introduce_until = member.sequence_out + 1
            self._urgent[member.name] = None

    @_take_record.register
    def _answer_probe(self, probe: Probe, peer, now):
        return self._detector.answer(probe, peer, now)

    @_take_record.register
    def _take_reply(self, reply: ProbeReply, peer, now):
        self._detector.apply_probe_reply(reply, now)
        return []

    @handle.register
    def _learn_fact(self, event: FactLearned, now):
        value = event.value
        if event.topic != TOPIC_MEMBER or not isinstance(value, MemberFact):
            return []
        if event.key == self.name:
            if self._own.apply_member_fact(value):
                self._tell_all()
            return []
        member = self._members.get(event.key) or self._add_member(event.key, now)
        results = []
        if value.epoch > member.epoch:
            member.begin_epoch(value.epoch, value, now)
            results = self._report(member, spread=False)
        state = (value.epoch, value.refutation, value.rank)
        return results + self._apply(member, state, now, spread=False)

    def _apply(self, member, state, now, spread=True):
        """Take over a newer statement about a member's current epoch."""
        if state <= member.state or state[0] != member.epoch:
            return []
        before = member.status
        if state[2] != member.rank:
            member.ranked_s = now
        member.refutation, member.rank = state[1:]
        return self._report(member, spread, before != member.status)

    def _report(self, member, spread=True, changed=True):
        """Return the signals that tell the parts, and with `spread` the fleet."""
        results = []
        if changed:
            fields = {"member": member.name, "status": member.status}
            results = [
                MemberChanged(member.name, member.incarnation, member.status),
                WriteLogEvent(LogEvent.MEMBER_CHANGED, fields),
            ]
        if spread and member.epoch:
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
        self._tell_all()
        return []
