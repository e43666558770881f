"""The claims of this daemon's requests, and the outbox that submits records."""

from functools import singledispatchmethod

from firworks.kernel.fleet.events import MemberChanged
from firworks.kernel.ledger.claims import (
    CLAIM_IN_PROGRESS,
    CLAIM_OUTCOME,
    CLAIM_UNAVAILABLE,
    ClaimRefused,
    ClaimWon,
)
from firworks.kernel.ledger.records import (
    DECISION_FREE,
    DECISION_VOID,
    DECISION_WON,
    ClaimRecord,
    LedgerSubmit,
    OutcomeRecord,
    ReleaseRecord,
    UnknownRecord,
    get_record_id,
)
from firworks.kernel.messages import PeerDisconnected, SendPeer, Struct

ACK_TIMEOUT_S = 0.5
RESEND_INTERVAL_S = 1.0
MAX_QUEUED_RECORDS = 2_000
MAX_SUBMIT_RECORDS = 200


class Submission(Struct):
    """A record that is not yet known to be in the log.

    Attributes:
        record (Record): The record.
        stream (str): Its stream.
        recipient (str or None): The daemon to which it was last submitted.
        sent_s (float): Kernel time in seconds of that submission.
        acknowledged (bool): Whether that daemon acknowledged it.
        sends (int): How often the record was submitted.
    """

    __slots__ = ("record", "stream", "recipient", "sent_s", "acknowledged", "sends")
    DEFAULTS = {"recipient": None, "sent_s": 0.0, "acknowledged": False, "sends": 0}


class Outbox:
    """Resubmits records until their results are known.

    Args:
        writers (WriterSelector): Chooses the daemon to submit to.
    """

    def __init__(self, writers):
        self._writers = writers
        self._items = {}
        self._awake = False

    def __len__(self):
        return len(self._items)

    def wake(self):
        """Let the next `poll` look for due submissions; called at each tick."""
        self._awake = True

    def add(self, record, stream):
        """Add a record to submit, unless it is pending already."""
        self._awake = True
        self._items.setdefault(get_record_id(record), Submission(record, stream))

    def drop(self, record_id):
        """Remove a record by its id and return its `Submission`, or None."""
        return self._items.pop(record_id, None)

    def mark_acknowledged(self, peer, record_ids):
        """Mark the records with these ids (iterable of str) as received by a peer."""
        for record_id in record_ids:
            item = self._items.get(record_id)
            if item is not None and item.recipient == peer:
                item.acknowledged = True
                self._writers.stop_avoiding(peer, item.stream)

    def mark_stalled(self, peer, stream, now):
        """Redirect the records submitted to a daemon that cannot reach the log."""
        self._writers.avoid(peer, stream, now)
        self._awake = True
        for item in self._items.values():
            if item.recipient == peer and item.stream == stream:
                item.recipient = None

    @singledispatchmethod
    def apply_event(self, event, now):
        """Apply a `MemberChanged` or a `PeerDisconnected`."""
        raise TypeError(f"expected MemberChanged or PeerDisconnected, got {event!r}")

    @apply_event.register
    def _(self, event: MemberChanged, now):
        self._writers.apply_member_change(event)

    @apply_event.register
    def _(self, event: PeerDisconnected, now):
        peer = event.peer
        self._awake = True
        for item in self._items.values():
            if item.recipient == peer:
                self._writers.avoid(peer, item.stream, now)
                item.recipient = None

    def poll(self, now):
        """Return the submissions due now, as `SendPeer`, some to this daemon itself."""
        if not self._awake:
            return []
        self._awake = False
        batches = {}
        for item in self._items.values():
            self._check_timeout(item, now)
            if item.recipient is None or now >= item.sent_s + RESEND_INTERVAL_S:
                self._send(item, batches, now)
        return [
            SendPeer(peer, LedgerSubmit(stream, tuple(records)))
            for (peer, stream, _), records in batches.items()
        ]

    def _check_timeout(self, item, now):
        waiting = item.recipient not in (None, self._writers.name)
        if waiting and not item.acknowledged and now >= item.sent_s + ACK_TIMEOUT_S:
            self._writers.avoid(item.recipient, item.stream, now)
            item.recipient = None

    def _send(self, item, batches, now):
        item.recipient = self._writers.choose(item.stream, now)
        if item.recipient is None:
            return
        item.sent_s = now
        item.acknowledged = False
        item.sends += 1
        chunk = 0
        while len(batches.get((item.recipient, item.stream, chunk), ())) >= (
            MAX_SUBMIT_RECORDS
        ):
            chunk += 1
        key = (item.recipient, item.stream, chunk)
        batches.setdefault(key, []).append(item.record)


class PendingClaim(Struct):
    """An undecided claim.

    Attributes:
        request (ClaimRequested): The request for the claim.
        stream (str): The key's stream.
        attempt (int): Number of the claim record made for the request, from 1.
        in_progress (bool): Whether another claim of the key is known to be running.
    """

    __slots__ = ("request", "stream", "attempt", "in_progress")
    DEFAULTS = {"attempt": 1, "in_progress": False}

    def make_record(self):
        """Return the record of the current attempt."""
        request = self.request
        return ClaimRecord(
            f"{request.claim_id}#{self.attempt}",
            request.key,
            request.fingerprint,
            request.issued_s,
        )


class ClaimHolder:
    """Manages the claims of this daemon's requests.

    A claim that was refused, released or abandoned is removed, so that no later
    decision on it can lead to a dispatch.

    Args:
        outbox (Outbox): Submits records to the log.
    """

    def __init__(self, outbox):
        self._outbox = outbox
        self._pending = {}
        self._attempts = {}
        self._won = {}

    def request(self, event, stream):
        """Submit the claim of a `ClaimRequested` whose key is within its window."""
        if len(self._outbox) >= MAX_QUEUED_RECORDS:
            return [ClaimRefused(event.claim_id, CLAIM_UNAVAILABLE)]
        pending = PendingClaim(event, stream)
        self._pending[event.claim_id] = pending
        self._submit(pending)
        return []

    def release(self, event):
        """Release a claim, whether it is decided or not."""
        pending = self._pending.get(event.claim_id)
        if pending is not None:
            self._abandon(pending)
            return
        won = self._won.pop(event.claim_id, None)
        if won is not None:
            self._submit_release(won)

    def report_outcome(self, event):
        """Submit the response in an `OutcomeReached`."""
        won = self._won.pop(event.claim_id, None)
        if won is not None:
            record = OutcomeRecord(won.make_record().claim_id, event.response)
            self._outbox.add(record, won.stream)

    def report_unknown(self, event):
        """Submit that an outcome is unknown, for an `OutcomeUnknown`."""
        won = self._won.pop(event.claim_id, None)
        if won is not None:
            record = UnknownRecord(won.make_record().claim_id)
            self._outbox.add(record, won.stream)

    def get_won(self, claim_id):
        """Return the `ClaimRequested` of a claim that won, or None."""
        won = self._won.get(claim_id)
        return None if won is None else won.request

    def expire(self, now):
        """Return refusals (ClaimRefused) of the claims whose deadline has passed."""
        due = [p for p in self._pending.values() if now >= p.request.deadline_s]
        signals = []
        for pending in due:
            self._abandon(pending)
            state = CLAIM_IN_PROGRESS if pending.in_progress else CLAIM_UNAVAILABLE
            signals.append(ClaimRefused(pending.request.claim_id, state))
        return signals

    def apply_decision(self, decision, now):
        """Apply a `LedgerDecision` from any daemon; a stale one changes nothing."""
        claim_id = self._attempts.get(decision.claim_id)
        pending = self._pending.get(claim_id)
        if pending is None or now >= pending.request.deadline_s:
            return []
        if decision.state == CLAIM_IN_PROGRESS:
            pending.in_progress = True
            return []
        if decision.state == DECISION_VOID:
            return []
        submission = self._forget(pending)
        if decision.state == DECISION_FREE:
            self._retry(pending)
            return []
        if decision.state == DECISION_WON:
            self._won[claim_id] = pending
            return [ClaimWon(claim_id)]
        may_be_appended = submission is None or submission.sends > 1
        if decision.state != CLAIM_OUTCOME and may_be_appended:
            self._submit_release(pending)
        response = decision.response if decision.state == CLAIM_OUTCOME else b""
        return [ClaimRefused(claim_id, decision.state, response)]

    def _retry(self, pending):
        pending.attempt += 1
        pending.in_progress = False
        self._pending[pending.request.claim_id] = pending
        self._submit(pending)

    def _submit(self, pending):
        record = pending.make_record()
        self._attempts[record.claim_id] = pending.request.claim_id
        self._outbox.add(record, pending.stream)

    def _forget(self, pending):
        record = pending.make_record()
        del self._pending[pending.request.claim_id]
        del self._attempts[record.claim_id]
        return self._outbox.drop(get_record_id(record))

    def _abandon(self, pending):
        submission = self._forget(pending)
        if submission is None or submission.sends:
            self._submit_release(pending)

    def _submit_release(self, pending):
        record = pending.make_record()
        release = ReleaseRecord(record.claim_id, record.issued_s)
        self._outbox.add(release, pending.stream)
