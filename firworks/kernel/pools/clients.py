"""Hands a daemon's jobs to the pools' schedulers.

Load pattern: a scheduler may be killed, frozen, cut off or slow at the worst moment.
A job that is not taken in ``ACK_TIMEOUT_S``, or whose scheduler does not answer a ping,
goes to the next in rank at once; pieces may be made twice, so this costs time only.
"""

from functools import singledispatch, singledispatchmethod

from firworks.kernel.messages import Struct
from firworks.kernel.pools.jobs import EngineJob, PieceJob
from firworks.kernel.pools.messages import (
    DropJob,
    InputsFetched,
    JobTaken,
    JobUnknown,
    PiecesMade,
    PiecesRefused,
    Ping,
    Pong,
    RequestBegun,
    RequestEnded,
    RequestPlaced,
    RequestRefused,
    RequestRunning,
    ResultsHeld,
    ResultsRead,
    SubmitPieces,
    SubmitRequest,
    SyncJobs,
)

# A round trip between daemons takes a few milliseconds, a busy one's some tens.
ACK_TIMEOUT_S = 0.25
PING_TIMEOUT_S = 0.4
# While jobs are at a scheduler that has said nothing for this long, it is pinged.
ACTIVE_PING_INTERVAL_S = 0.3
# A suspected member is tried again.
RETRY_S = 0.5
# Least time from one replacement of a connection to the next.
MIN_RECONNECT_INTERVAL_S = 2.0
# Schedulers that have no job of this daemon are pinged this often.
IDLE_PING_INTERVAL_S = 3.0


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
        result (Record): `PiecesMade`, `PiecesRefused`, `InputsFetched`,
            `RequestPlaced` or `RequestRefused`.
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

    __slots__ = ("service", "job", "peer", "incarnation", "sent_s", "taken")

    def __init__(self, service, job, peer, incarnation, now):
        self.service = service
        self.job = job
        self.peer = peer
        self.incarnation = incarnation
        self.sent_s = now
        self.taken = False


class _Finished:
    """A job whose results its scheduler keeps."""

    __slots__ = ("service", "job", "peer", "incarnation", "handles", "read")

    def __init__(self, pending, peer, incarnation, handles):
        self.service = pending.service
        self.job = pending.job
        self.peer = peer
        self.incarnation = incarnation
        self.handles = handles
        self.read = False


class _Running:
    """A request that is at an engine."""

    __slots__ = ("service", "job", "peer", "incarnation", "target_id", "begun")

    def __init__(self, pending, peer, incarnation, target_id):
        self.service = pending.service
        self.job = pending.job
        self.peer = peer
        self.incarnation = incarnation
        self.target_id = target_id
        self.begun = False


class _Contact:
    """When a peer was heard and pinged."""

    __slots__ = ("heard_s", "heard", "pinged_s", "awaits", "reconnected_s")

    def __init__(self, now):
        self.heard_s = now
        self.heard = False
        self.pinged_s = 0.0
        self.awaits = None
        self.reconnected_s = float("-inf")


class PoolClient:
    """Jobs of this daemon by scheduler.

    Methods return lists of the actions above.

    Args:
        roster (Roster): The members.
    """

    def __init__(self, roster):
        self._roster = roster
        self._pending = {}
        # By job, until the results are given up.
        self._finished = {}
        self._running = {}
        self._contacts = {}
        self._watched = {}
        self._ping_number = 0

    def watch(self, services):
        """Take in the names of the pools whose schedulers are to be known."""
        self._watched = tuple(services)
        self._roster.set_pools(services)

    def submit(self, service, job, now):
        """Hand over a job; its times are monotonic seconds of this daemon."""
        peer = self._roster.choose(service)
        run = self._roster.find_incarnation(peer)
        self._pending[job.job_id] = _Pending(service, job, peer, run, now)
        return [SendTo(peer, make_submission(job.shift(-now), service))]

    def drop(self, job_id):
        """Give up a job, or its results."""
        found = self._pending.pop(job_id, None) or self._finished.pop(job_id, None)
        return [] if found is None else [SendTo(found.peer, DropJob(job_id))]

    def mark_read(self, job_id):
        """Take in that the results of a finished job have been read."""
        finished = self._finished.get(job_id)
        if finished is None:
            return []
        finished.read = True
        return [SendTo(finished.peer, ResultsRead(job_id))]

    def note_begun(self, job_id):
        """Take in that the first token of a placed request has come."""
        running = self._running.get(job_id)
        if running is None or running.begun:
            return []
        running.begun = True
        return [SendTo(running.peer, RequestBegun(job_id))]

    def end_request(self, job_id, failed):
        """Take in that a request has left its engine, or is given up.

        Args:
            job_id (str): The job.
            failed (bool): The engine broke it off or could not be reached.
        """
        found = self._pending.pop(job_id, None) or self._running.pop(job_id, None)
        return (
            [] if found is None else [SendTo(found.peer, RequestEnded(job_id, failed))]
        )

    def sync(self, peer):
        """Tell a scheduler which jobs of this daemon it should have.

        Load pattern: connections between daemons are reset, and what was under way on
        them is gone: a result that nobody repeats would be awaited until the deadline,
        and room would be kept for requests that have ended.
        """
        if peer == self._roster.own.name:
            return []
        awaited = [key for key, one in self._pending.items() if one.peer == peer]
        held = [
            key
            for table in (self._finished, self._running)
            for key, one in table.items()
            if one.peer == peer
        ]
        return [SendTo(peer, SyncJobs(tuple(awaited), tuple(held)))]

    def hear(self, peer, now):
        """Take in that something came from a peer."""
        contact = self._contacts.setdefault(peer, _Contact(now))
        contact.heard_s = now
        contact.heard = True
        contact.awaits = None
        return [MemberCleared(peer)] if self._roster.clear(peer) else []

    @singledispatchmethod
    def take(self, record, peer, now):
        """Take a scheduler's record."""
        return []

    @take.register
    def _(self, record: Ping, peer, now):
        actions = []
        for entry in record.unheard:
            if not self._roster.put(entry):
                actions += self._reconnect(peer, now)
        own = self._roster.own
        return [*actions, SendTo(peer, Pong(record.number, own.incarnation))]

    @take.register
    def _(self, record: Pong, peer, now):
        """Notice that a scheduler has started anew before the store tells so."""
        self._roster.note_incarnation(peer, record.incarnation)
        return []

    @take.register
    def _(self, record: JobTaken, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is not None and pending.peer == peer:
            pending.taken = True
        return []

    @take.register
    def _(self, record: JobUnknown, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is None or pending.peer != peer:
            return []
        return self.submit(pending.service, pending.job, now)

    @take.register
    def _(self, record: InputsFetched, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is None or pending.peer != peer:
            return []
        return [Deliver(record)]

    @take.register
    def _(self, record: PiecesMade, peer, now):
        pending = self._pending.pop(record.job_id, None)
        if pending is None:
            # The job was made elsewhere or given up; these results are surplus.
            finished = self._finished.get(record.job_id)
            if finished is not None and finished.peer == peer:
                return []
            return [SendTo(peer, DropJob(record.job_id))]
        run = self._roster.find_incarnation(peer)
        finished = _Finished(pending, peer, run, record.handles)
        self._finished[record.job_id] = finished
        actions = [Deliver(record)]
        if pending.peer != peer:
            actions.append(SendTo(pending.peer, DropJob(record.job_id)))
        return actions

    @take.register
    def _(self, record: RequestPlaced, peer, now):
        pending = self._pending.pop(record.job_id, None)
        if pending is None:
            running = self._running.get(record.job_id)
            if running is not None and running.peer == peer:
                return []
            return [SendTo(peer, RequestEnded(record.job_id, False))]
        self._running[record.job_id] = _Running(
            pending, peer, self._roster.find_incarnation(peer), record.target_id
        )
        actions = [Deliver(record)]
        if pending.peer != peer:
            ended = RequestEnded(record.job_id, False)
            actions.append(SendTo(pending.peer, ended))
        return actions

    @take.register(PiecesRefused)
    @take.register(RequestRefused)
    def _(self, record, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is None or pending.peer != peer:
            return []
        del self._pending[record.job_id]
        return [Deliver(record)]

    def note_suspended(self, suspended_s):
        """Take in that this daemon stood still: that time is nobody's silence."""
        for pending in self._pending.values():
            pending.sent_s += suspended_s
        for contact in self._contacts.values():
            contact.heard_s += suspended_s
            contact.pinged_s += suspended_s

    def tick(self, now):
        """Return the pings that are due and the jobs that move."""
        actions = []
        for peer in self._list_silent(now):
            actions += self._abandon(peer, now)
        actions += self._move_pending(now) + self._move_finished(now)
        return actions + self._move_running(now) + self._ping_due(now)

    def _list_silent(self, now):
        silent = set()
        for pending in self._pending.values():
            if pending.peer == self._roster.own.name:
                continue
            if not pending.taken and now - pending.sent_s > ACK_TIMEOUT_S:
                silent.add(pending.peer)
        for peer, contact in self._contacts.items():
            awaited = contact.awaits is not None
            if awaited and now - contact.pinged_s > PING_TIMEOUT_S:
                silent.add(peer)
        return silent

    def _abandon(self, peer, now):
        """Suspect a scheduler and move its jobs to the next in rank."""
        contact = self._contacts.setdefault(peer, _Contact(now))
        contact.awaits = None
        new = self._roster.suspect(peer)
        moved = [one for one in self._pending.values() if one.peer == peer]
        actions = self._reconnect(peer, now)
        if new or moved:
            actions.append(MemberSuspected(peer, len(moved)))
        for pending in moved:
            actions += self.submit(pending.service, pending.job, now)
        return actions

    def _reconnect(self, peer, now):
        """Replace a connection, unless that was done a moment ago.

        Two daemons that suspect each other would otherwise cut the connections that
        carry each other's answers.
        """
        contact = self._contacts.setdefault(peer, _Contact(now))
        if now - contact.reconnected_s < MIN_RECONNECT_INTERVAL_S:
            return []
        contact.reconnected_s = now
        return [Reconnect(peer)]

    def _move_pending(self, now):
        """Hand the jobs of a scheduler that has started anew over again."""
        lost = [
            pending
            for pending in self._pending.values()
            if self._has_restarted(pending.peer, pending.incarnation)
        ]
        actions = []
        for pending in lost:
            actions += self.submit(pending.service, pending.job, now)
        return actions

    def _has_restarted(self, peer, incarnation):
        return self._roster.find_incarnation(peer) not in (None, incarnation)

    def _move_finished(self, now):
        """Tell a pool's new scheduler which results targets keep for this daemon."""
        actions = []
        for finished in self._finished.values():
            gone = self._roster.is_suspected(finished.peer)
            gone = gone or self._roster.find_incarnation(finished.peer) != finished.incarnation
            if not gone:
                continue
            finished.peer = self._roster.choose(finished.service)
            finished.incarnation = self._roster.find_incarnation(finished.peer)
            record = ResultsHeld(
                finished.service,
                finished.job.shift(-now),
                finished.handles,
                finished.read,
            )
            actions.append(SendTo(finished.peer, record))
        return actions

    def _move_running(self, now):
        """Tell the schedulers of today which requests are at engines."""
        actions = []
        for job_id, running in self._running.items():
            peer = self._roster.choose(running.service)
            restarted = self._has_restarted(running.peer, running.incarnation)
            if peer == running.peer and not restarted:
                continue
            if not restarted and not self._roster.is_suspected(running.peer):
                actions.append(SendTo(running.peer, RequestEnded(job_id, False)))
            running.peer = peer
            running.incarnation = self._roster.find_incarnation(peer)
            record = RequestRunning(
                running.service,
                running.job.shift(-now),
                running.target_id,
                running.begun,
            )
            actions.append(SendTo(peer, record))
        return actions

    def _ping_due(self, now):
        actions = []
        for peer, every_s in self._list_watched(now).items():
            contact = self._contacts.setdefault(peer, _Contact(now - IDLE_PING_INTERVAL_S))
            quiet_s = now - max(contact.heard_s, contact.pinged_s)
            if contact.awaits is None and quiet_s >= every_s:
                self._ping_number += 1
                contact.awaits = self._ping_number
                contact.pinged_s = now
                unheard = self._roster.is_suspected(peer) or not contact.heard
                unheard = (self._roster.own,) if unheard else ()
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
                watched[name] = RETRY_S if suspected else IDLE_PING_INTERVAL_S
                if not suspected:
                    break
        for pending in self._pending.values():
            if pending.peer != self._roster.own.name:
                watched[pending.peer] = ACTIVE_PING_INTERVAL_S
        return watched


@singledispatch
def make_submission(job, service):
    """Return the record that hands a job, with times that count from now, over."""
    raise TypeError(f"not a job: {job!r}")


@make_submission.register
def _(job: PieceJob, service):
    return SubmitPieces(service, job)


@make_submission.register
def _(job: EngineJob, service):
    return SubmitRequest(service, job)
