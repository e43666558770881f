"""Submits a daemon's jobs to the schedulers of the pools, with failover.

Load pattern: a scheduler may be killed, frozen, partitioned or slow at any moment. A
job that is not acknowledged within ``ACK_TIMEOUT_S``, or whose scheduler does not
answer a ping, is resubmitted to the next daemon in rank at once. Pieces may safely be
processed twice, so this only costs time.
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

# A round trip takes a few milliseconds, some tens if the peer is busy.
ACK_TIMEOUT_S = 0.25
PING_TIMEOUT_S = 0.4
# A scheduler with jobs of this daemon is pinged after this time without a message.
ACTIVE_PING_INTERVAL_S = 0.3
# Interval of pings to a suspected member.
SUSPECTED_PING_INTERVAL_S = 0.5
# Minimum time from one replacement of a connection to the next.
MIN_RECONNECT_INTERVAL_S = 2.0
# Interval of pings to schedulers without jobs of this daemon.
IDLE_PING_INTERVAL_S = 3.0


class SendTo(Struct):
    """Send a record to a daemon, which may be this one.

    Attributes:
        peer (str): Name of the daemon.
        record (Record): The record to send.
    """

    __slots__ = ("peer", "record")


class Reconnect(Struct):
    """Replace the connection to a daemon (str), as it may be broken."""

    __slots__ = ("peer",)


class Deliver(Struct):
    """Deliver a result to the request that waits for it.

    Attributes:
        result (Record): `PiecesMade`, `PiecesRefused`, `InputsFetched`,
            `RequestPlaced` or `RequestRefused`.
    """

    __slots__ = ("result",)


class MemberSuspected(Struct):
    """A member does not answer and is suspected to have failed.

    Attributes:
        peer (str): The member.
        jobs (int): Number of jobs that are resubmitted to another scheduler.
    """

    __slots__ = ("peer", "jobs")


class MemberCleared(Struct):
    """A suspected member (str) answers again."""

    __slots__ = ("peer",)


class _Pending:
    """A job that was submitted to a scheduler and has no result yet."""

    __slots__ = ("service", "job", "peer", "incarnation", "sent_s", "acknowledged")

    def __init__(self, service, job, peer, incarnation, now):
        self.service = service
        self.job = job
        self.peer = peer
        self.incarnation = incarnation
        self.sent_s = now
        self.acknowledged = False


class _Finished:
    """A finished job whose results have not been freed."""

    __slots__ = ("service", "job", "peer", "incarnation", "handles", "read")

    def __init__(self, pending, peer, incarnation, handles):
        self.service = pending.service
        self.job = pending.job
        self.peer = peer
        self.incarnation = incarnation
        self.handles = handles
        self.read = False


class _Running:
    """A request that was placed on an engine."""

    __slots__ = ("service", "job", "peer", "incarnation", "target_id", "begun")

    def __init__(self, pending, peer, incarnation, target_id):
        self.service = pending.service
        self.job = pending.job
        self.peer = peer
        self.incarnation = incarnation
        self.target_id = target_id
        self.begun = False


class _Contact:
    """Failure detector state of a peer."""

    __slots__ = (
        "last_received_s",
        "has_received",
        "pinged_s",
        "awaited_pong",
        "reconnected_s",
    )

    def __init__(self, now):
        self.last_received_s = now
        self.has_received = False
        self.pinged_s = 0.0
        self.awaited_pong = None
        self.reconnected_s = float("-inf")


class PoolClient:
    """Tracks the jobs of this daemon at their schedulers.

    Methods return a list of the actions to carry out: `SendTo`, `Reconnect`,
    `Deliver`, `MemberSuspected` and `MemberCleared`.

    Args:
        roster (Roster): The members.
    """

    def __init__(self, roster):
        self._roster = roster
        self._pending = {}
        # By job, until the results are freed.
        self._finished = {}
        self._running = {}
        self._contacts = {}
        self._watched = {}
        self._ping_number = 0

    def watch(self, services):
        """Set the names of the pools whose schedulers are monitored by pings."""
        self._watched = tuple(services)
        self._roster.set_pools(services)

    def submit(self, service, job, now):
        """Submit a job; its times are monotonic seconds of this daemon."""
        peer = self._roster.choose(service)
        incarnation = self._roster.find_incarnation(peer)
        self._pending[job.job_id] = _Pending(service, job, peer, incarnation, now)
        return [SendTo(peer, make_submission(job.shift(-now), service))]

    def drop(self, job_id):
        """Cancel a job, or free its results if it is done."""
        entry = self._pending.pop(job_id, None) or self._finished.pop(job_id, None)
        return [] if entry is None else [SendTo(entry.peer, DropJob(job_id))]

    def mark_read(self, job_id):
        """Report that the results of a finished job have been read."""
        finished = self._finished.get(job_id)
        if finished is None:
            return []
        finished.read = True
        return [SendTo(finished.peer, ResultsRead(job_id))]

    def note_begun(self, job_id):
        """Report that the first token of a placed request was received."""
        running = self._running.get(job_id)
        if running is None or running.begun:
            return []
        running.begun = True
        return [SendTo(running.peer, RequestBegun(job_id))]

    def end_request(self, job_id, failed):
        """Report that a request has left its engine or is cancelled.

        Args:
            job_id (str): The job.
            failed (bool): The engine aborted it or could not be reached.
        """
        entry = self._pending.pop(job_id, None) or self._running.pop(job_id, None)
        return (
            [] if entry is None else [SendTo(entry.peer, RequestEnded(job_id, failed))]
        )

    def sync(self, peer):
        """Send a scheduler the list of this daemon's jobs that it should have.

        Load pattern: connections between daemons are reset and messages in flight are
        lost. A lost result would be awaited until the deadline, and capacity would stay
        reserved for requests that have ended.
        """
        if peer == self._roster.own.name:
            return []
        awaited = [key for key, entry in self._pending.items() if entry.peer == peer]
        held = [
            key
            for table in (self._finished, self._running)
            for key, entry in table.items()
            if entry.peer == peer
        ]
        return [SendTo(peer, SyncJobs(tuple(awaited), tuple(held)))]

    def note_received(self, peer, now):
        """Record that a message from a peer was received; clears suspicion of it."""
        contact = self._contacts.setdefault(peer, _Contact(now))
        contact.last_received_s = now
        contact.has_received = True
        contact.awaited_pong = None
        return [MemberCleared(peer)] if self._roster.clear(peer) else []

    @singledispatchmethod
    def receive(self, record, peer, now):
        """Handle a record from a scheduler; other records are ignored."""
        return []

    @receive.register
    def _(self, record: Ping, peer, now):
        actions = []
        for entry in record.sender_entry:
            if not self._roster.put(entry):
                actions += self._reconnect(peer, now)
        own = self._roster.own
        return [*actions, SendTo(peer, Pong(record.number, own.incarnation))]

    @receive.register
    def _(self, record: Pong, peer, now):
        """Detect a restart of a scheduler before the store reports it."""
        self._roster.note_incarnation(peer, record.incarnation)
        return []

    @receive.register
    def _(self, record: JobTaken, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is not None and pending.peer == peer:
            pending.acknowledged = True
        return []

    @receive.register
    def _(self, record: JobUnknown, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is None or pending.peer != peer:
            return []
        return self.submit(pending.service, pending.job, now)

    @receive.register
    def _(self, record: InputsFetched, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is None or pending.peer != peer:
            return []
        return [Deliver(record)]

    @receive.register
    def _(self, record: PiecesMade, peer, now):
        pending = self._pending.pop(record.job_id, None)
        if pending is None:
            # The job was done elsewhere or cancelled; these results are not needed.
            finished = self._finished.get(record.job_id)
            if finished is not None and finished.peer == peer:
                return []
            return [SendTo(peer, DropJob(record.job_id))]
        incarnation = self._roster.find_incarnation(peer)
        finished = _Finished(pending, peer, incarnation, record.handles)
        self._finished[record.job_id] = finished
        actions = [Deliver(record)]
        if pending.peer != peer:
            actions.append(SendTo(pending.peer, DropJob(record.job_id)))
        return actions

    @receive.register
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

    @receive.register(PiecesRefused)
    @receive.register(RequestRefused)
    def _(self, record, peer, now):
        pending = self._pending.get(record.job_id)
        if pending is None or pending.peer != peer:
            return []
        del self._pending[record.job_id]
        return [Deliver(record)]

    def note_suspended(self, suspended_s):
        """Exclude the time for which this process was suspended from all timeouts."""
        for pending in self._pending.values():
            pending.sent_s += suspended_s
        for contact in self._contacts.values():
            contact.last_received_s += suspended_s
            contact.pinged_s += suspended_s

    def tick(self, now):
        """Resubmit jobs of failed schedulers and send the pings that are due."""
        actions = []
        for peer in self._list_silent(now):
            actions += self._fail_over(peer, now)
        actions += self._resubmit_pending(now) + self._hand_over_finished(now)
        return actions + self._hand_over_running(now) + self._ping_due(now)

    def _list_silent(self, now):
        silent = set()
        for pending in self._pending.values():
            if pending.peer == self._roster.own.name:
                continue
            if not pending.acknowledged and now - pending.sent_s > ACK_TIMEOUT_S:
                silent.add(pending.peer)
        for peer, contact in self._contacts.items():
            awaited = contact.awaited_pong is not None
            if awaited and now - contact.pinged_s > PING_TIMEOUT_S:
                silent.add(peer)
        return silent

    def _fail_over(self, peer, now):
        """Suspect a scheduler and resubmit its jobs to the next in rank."""
        contact = self._contacts.setdefault(peer, _Contact(now))
        contact.awaited_pong = None
        newly_suspected = self._roster.suspect(peer)
        resubmitted = [entry for entry in self._pending.values() if entry.peer == peer]
        actions = self._reconnect(peer, now)
        if newly_suspected or resubmitted:
            actions.append(MemberSuspected(peer, len(resubmitted)))
        for pending in resubmitted:
            actions += self.submit(pending.service, pending.job, now)
        return actions

    def _reconnect(self, peer, now):
        """Replace a connection, unless that was done recently.

        Two daemons that suspect each other would otherwise keep closing the connections
        that carry each other's answers.
        """
        contact = self._contacts.setdefault(peer, _Contact(now))
        if now - contact.reconnected_s < MIN_RECONNECT_INTERVAL_S:
            return []
        contact.reconnected_s = now
        return [Reconnect(peer)]

    def _resubmit_pending(self, now):
        """Resubmit the jobs of schedulers that have restarted."""
        orphaned = [
            pending
            for pending in self._pending.values()
            if self._has_restarted(pending.peer, pending.incarnation)
        ]
        actions = []
        for pending in orphaned:
            actions += self.submit(pending.service, pending.job, now)
        return actions

    def _has_restarted(self, peer, incarnation):
        return self._roster.find_incarnation(peer) not in (None, incarnation)

    def _hand_over_finished(self, now):
        """Send a pool's new scheduler the results retained for this daemon."""
        actions = []
        for finished in self._finished.values():
            scheduler_lost = self._roster.is_suspected(finished.peer)
            scheduler_lost = (
                scheduler_lost
                or self._roster.find_incarnation(finished.peer) != finished.incarnation
            )
            if not scheduler_lost:
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

    def _hand_over_running(self, now):
        """Send the current schedulers the requests that run on engines."""
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
        for peer, interval_s in self._list_ping_intervals(now).items():
            contact = self._contacts.setdefault(
                peer, _Contact(now - IDLE_PING_INTERVAL_S)
            )
            silent_s = now - max(contact.last_received_s, contact.pinged_s)
            if contact.awaited_pong is None and silent_s >= interval_s:
                self._ping_number += 1
                contact.awaited_pong = self._ping_number
                contact.pinged_s = now
                introduction = (
                    self._roster.is_suspected(peer) or not contact.has_received
                )
                introduction = (self._roster.own,) if introduction else ()
                actions.append(SendTo(peer, Ping(self._ping_number, introduction)))
        return actions

    def _list_ping_intervals(self, now):
        """Return the ping interval of each monitored peer, in seconds by name."""
        intervals_s = {}
        for service in self._watched:
            for name in self._roster.rank(service):
                if name == self._roster.own.name:
                    break
                suspected = self._roster.is_suspected(name)
                intervals_s[name] = (
                    SUSPECTED_PING_INTERVAL_S if suspected else IDLE_PING_INTERVAL_S
                )
                if not suspected:
                    break
        for pending in self._pending.values():
            if pending.peer != self._roster.own.name:
                intervals_s[pending.peer] = ACTIVE_PING_INTERVAL_S
        return intervals_s


@singledispatch
def make_submission(job, service):
    """Return the record that submits a job.

    Args:
        job (PieceJob or EngineJob): The job; its times are relative to now.
        service (str): The pool.

    Raises:
        TypeError: When the job is of another type.
    """
    raise TypeError(f"unsupported job type: {job!r}")


@make_submission.register
def _(job: PieceJob, service):
    return SubmitPieces(service, job)


@make_submission.register
def _(job: EngineJob, service):
    return SubmitRequest(service, job)
