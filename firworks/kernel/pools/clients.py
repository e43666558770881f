"""Hands a daemon's jobs to the pools' schedulers.

Load pattern: a scheduler may be killed, frozen, cut off or slow at the worst moment.
A job that is not taken in ``TAKE_LIMIT_S``, or whose scheduler does not answer a ping,
goes to the next in rank at once; pieces may be made twice, so this costs time only.
"""

from functools import singledispatchmethod

from firworks.kernel.messages import Struct
from firworks.kernel.pools.messages import (
    DropJob,
    JobTaken,
    PiecesMade,
    PiecesRefused,
    Ping,
    Pong,
    SubmitPieces,
)

# A round trip between daemons takes a few milliseconds, a busy one's some tens.
TAKE_LIMIT_S = 0.25
PING_LIMIT_S = 0.4
# While jobs are at a scheduler that has said nothing for this long, it is pinged.
QUIET_LIMIT_S = 0.3
# A suspected member is tried again.
RETRY_S = 0.5
# Schedulers that have no job of this daemon are pinged this often.
IDLE_PING_S = 3.0


class SendTo(Struct):
    """Send a record to a daemon, which may be this one.

    Attributes:
        peer (str): Name of the daemon.
        record (Record): What to send.
    """

    __slots__ = ("peer", "record")


class Reconnect(Struct):
    """Replace the connection to a daemon (str): it may carry nothing."""

    __slots__ = ("peer",)


class Deliver(Struct):
    """Hand a result to the request that waits for it.

    Attributes:
        result (PiecesMade or PiecesRefused): The result.
    """

    __slots__ = ("result",)


class MemberSuspected(Struct):
    """A member does not answer.

    Attributes:
        peer (str): The member.
        jobs (int): Jobs that move to another scheduler.
    """

    __slots__ = ("peer", "jobs")


class MemberCleared(Struct):
    """A suspected member (str) answers again."""

    __slots__ = ("peer",)


class _Pending:
    """A job that is at a scheduler."""

    __slots__ = ("service", "job", "peer", "sent_s", "taken")

    def __init__(self, service, job, peer, now):
        self.service = service
        self.job = job
        self.peer = peer
        self.sent_s = now
        self.taken = False


class _Contact:
    """When a peer was heard and pinged."""

    __slots__ = ("heard_s", "pinged_s", "awaits")

    def __init__(self, now):
        self.heard_s = now
        self.pinged_s = 0.0
        self.awaits = None


class PoolClient:
    """Jobs of this daemon by scheduler.

    Methods return lists of the actions above.

    Args:
        roster (Roster): The members.
    """

    def __init__(self, roster):
        self._roster = roster
        self._pending = {}
        self._finished = {}
        self._contacts = {}
        self._watched = {}
        self._ping_number = 0

    def watch(self, services):
        """Take in the names of the pools whose schedulers are to be known."""
        self._watched = tuple(services)

    def submit(self, service, job, now):
        """Hand over a job; its times are monotonic seconds of this daemon."""
        peer = self._roster.choose(service)
        self._pending[job.job_id] = _Pending(service, job, peer, now)
        return [SendTo(peer, SubmitPieces(service, job.shift(-now)))]

    def drop(self, job_id):
        """Give up a job, or its results."""
        pending = self._pending.pop(job_id, None)
        peer = pending.peer if pending is not None else self._finished.pop(job_id, None)
        return [] if peer is None else [SendTo(peer, DropJob(job_id))]

    def hear(self, peer, now):
        """Take in that something came from a peer."""
        contact = self._contacts.setdefault(peer, _Contact(now))
        contact.heard_s = now
        contact.awaits = None
        return [MemberCleared(peer)] if self._roster.clear(peer) else []

    @singledispatchmethod
    def take(self, record, peer, now):
        """Take a scheduler's record."""
        return []

    @take.register
    def _(self, record: Pong, peer, now):
        return []

    @take.register
    def _(self, record: JobTaken, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is not None and pending.peer == peer:
            pending.taken = True
        return []

    @take.register
    def _(self, record: PiecesMade, peer, now):
        pending = self._pending.pop(record.job_id, None)
        if pending is None:
            # The job was made elsewhere or given up; these results are surplus.
            if self._finished.get(record.job_id) == peer:
                return []
            return [SendTo(peer, DropJob(record.job_id))]
        self._finished[record.job_id] = peer
        actions = [Deliver(record)]
        if pending.peer != peer:
            actions.append(SendTo(pending.peer, DropJob(record.job_id)))
        return actions

    @take.register
    def _(self, record: PiecesRefused, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is None or pending.peer != peer:
            return []
        del self._pending[record.job_id]
        return [Deliver(record)]

    def tick(self, now):
        """Return the pings that are due and the jobs that move."""
        actions = []
        for peer in self._list_silent(now):
            actions += self._abandon(peer, now)
        return actions + self._ping_due(now)

    def _list_silent(self, now):
        silent = set()
        for pending in self._pending.values():
            if pending.peer == self._roster.own.name:
                continue
            if not pending.taken and now - pending.sent_s > TAKE_LIMIT_S:
                silent.add(pending.peer)
        for peer, contact in self._contacts.items():
            awaited = contact.awaits is not None
            if awaited and now - contact.pinged_s > PING_LIMIT_S:
                silent.add(peer)
        return silent

    def _abandon(self, peer, now):
        """Suspect a scheduler and move its jobs to the next in rank."""
        contact = self._contacts.setdefault(peer, _Contact(now))
        contact.awaits = None
        new = self._roster.suspect(peer)
        moved = [one for one in self._pending.values() if one.peer == peer]
        actions = [Reconnect(peer)]
        if new or moved:
            actions.append(MemberSuspected(peer, len(moved)))
        for pending in moved:
            actions += self.submit(pending.service, pending.job, now)
        return actions

    def _ping_due(self, now):
        actions = []
        for peer, every_s in self._list_watched(now).items():
            contact = self._contacts.setdefault(peer, _Contact(now - IDLE_PING_S))
            quiet_s = now - max(contact.heard_s, contact.pinged_s)
            if contact.awaits is None and quiet_s >= every_s:
                self._ping_number += 1
                contact.awaits = self._ping_number
                contact.pinged_s = now
                unheard = self._roster.is_suspected(peer)
                actions.append(SendTo(peer, Ping(self._ping_number, unheard)))
        return actions

    def _list_watched(self, now):
        """Return how often each peer is to be heard, in seconds by name."""
        watched = {}
        for service in self._watched:
            for name in self._roster.rank(service):
                if name == self._roster.own.name:
                    break
                suspected = self._roster.is_suspected(name)
                watched[name] = RETRY_S if suspected else IDLE_PING_S
                if not suspected:
                    break
        for pending in self._pending.values():
            if pending.peer != self._roster.own.name:
                watched[pending.peer] = QUIET_LIMIT_S
        return watched
