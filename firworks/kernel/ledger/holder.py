"""The holder's side of claims: from a request's wish to its final word."""

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

SILENCE_S = 0.5
RESEND_S = 1.0
MAX_QUEUED_RECORDS = 2_000
MAX_SUBMIT_RECORDS = 200


class Submission(Struct):
    """A record on its way to the log.

    Attributes:
        record (Record): The record.
        stream (str): Its stream.
        candidate (str or None): The daemon asked last.
        sent_s (float): When it was asked.
        heard (bool): It answered.
        sends (int): How often the record was submitted.
    """

    __slots__ = ("record", "stream", "candidate", "sent_s", "heard", "sends")
    DEFAULTS = {"candidate": None, "sent_s": 0.0, "heard": False, "sends": 0}


class Outbox:
    """Submits records again and again until their fate is known.

    Args:
        choice (WriterChoice): Chooses the daemon to ask.
    """

    def __init__(self, choice):
        self._choice = choice
        self._items = {}
        self._awake = False

    def __len__(self):
        return len(self._items)

    def wake(self):
        """Look for due submissions at the next `poll`; called at each tick."""
        self._awake = True

    def add(self, record, stream):
        """Take a record."""
        self._awake = True
        self._items.setdefault(get_record_id(record), Submission(record, stream))

    def drop(self, name):
        """Forget a record and return its `Submission`, or None."""
        return self._items.pop(name, None)

    def note_heard(self, peer, names):
        """A peer took in the named records."""
        for name in names:
            item = self._items.get(name)
            if item is not None and item.candidate == peer:
                item.heard = True
                self._choice.stop_avoiding(peer, item.stream)

    def mark_stalled(self, peer, stream, now):
        """A daemon cannot reach the log; its records go elsewhere."""
        self._choice.avoid(peer, stream, now)
        self._awake = True
        for item in self._items.values():
            if item.candidate == peer and item.stream == stream:
                item.candidate = None

    @singledispatchmethod
    def take(self, event, now):
        """Take a `MemberChanged` or a `PeerDisconnected`."""
        raise TypeError(f"not an event of peers: {event!r}")

    @take.register
    def _(self, event: MemberChanged, now):
        self._choice.apply_member_change(event)

    @take.register
    def _(self, event: PeerDisconnected, now):
        peer = event.peer
        self._awake = True
        for item in self._items.values():
            if item.candidate == peer:
                self._choice.avoid(peer, item.stream, now)
                item.candidate = None

    def poll(self, now):
        """Return the submissions due now, as `SendPeer`; this daemon is a peer too."""
        if not self._awake:
            return []
        self._awake = False
        batches = {}
        for item in self._items.values():
            self._check_silence(item, now)
            if item.candidate is None or now >= item.sent_s + RESEND_S:
                self._send(item, batches, now)
        return [
            SendPeer(peer, LedgerSubmit(stream, tuple(records)))
            for (peer, stream, _), records in batches.items()
        ]

    def _check_silence(self, item, now):
        waiting = item.candidate not in (None, self._choice.name)
        if waiting and not item.heard and now >= item.sent_s + SILENCE_S:
            self._choice.avoid(item.candidate, item.stream, now)
            item.candidate = None

    def _send(self, item, batches, now):
        item.candidate = self._choice.choose(item.stream, now)
        if item.candidate is None:
            return
        item.sent_s = now
        item.heard = False
        item.sends += 1
        part = 0
        while len(batches.get((item.candidate, item.stream, part), ())) >= (
            MAX_SUBMIT_RECORDS
        ):
            part += 1
        key = (item.candidate, item.stream, part)
        batches.setdefault(key, []).append(item.record)


class PendingClaim(Struct):
    """A claim that is not decided.

    Attributes:
        request (ClaimRequested): What was asked for.
        stream (str): Its stream.
        attempt (int): Counts the claims made for the request, from 1.
        in_progress (bool): Another claim of the key is known to be running.
    """

    __slots__ = ("request", "stream", "attempt", "in_progress")
    DEFAULTS = {"attempt": 1, "in_progress": False}

    def make_record(self):
        """Return the record of the current attempt."""
        asked = self.request
        return ClaimRecord(
            f"{asked.claim_id}#{self.attempt}",
            asked.key,
            asked.fingerprint,
            asked.issued_s,
        )


class ClaimHolder:
    """This daemon's own claims.

    A claim that was refused, released or given up is forgotten here, so that no
    later word on it can lead to a dispatch.

    Args:
        outbox (Outbox): Takes records to the log.
    """

    def __init__(self, outbox):
        self._outbox = outbox
        self._pending = {}
        self._attempts = {}
        self._won = {}

    def request(self, event, stream):
        """Take a `ClaimRequested` whose key is within its window."""
        if len(self._outbox) >= MAX_QUEUED_RECORDS:
            return [ClaimRefused(event.claim_id, CLAIM_UNAVAILABLE)]
        pending = PendingClaim(event, stream)
        self._pending[event.claim_id] = pending
        self._submit(pending)
        return []

    def release(self, event):
        """Take a `ClaimReleased`."""
        pending = self._pending.get(event.claim_id)
        if pending is not None:
            self._give_up(pending)
            return
        won = self._won.pop(event.claim_id, None)
        if won is not None:
            self._void(won)

    def report_outcome(self, event):
        """Take an `OutcomeReached`."""
        won = self._won.pop(event.claim_id, None)
        if won is not None:
            record = OutcomeRecord(won.make_record().claim_id, event.response)
            self._outbox.add(record, won.stream)

    def report_unknown(self, event):
        """Take an `OutcomeUnknown`."""
        won = self._won.pop(event.claim_id, None)
        if won is not None:
            record = UnknownRecord(won.make_record().claim_id)
            self._outbox.add(record, won.stream)

    def get_won(self, claim_id):
        """Return the `ClaimRequested` of a claim that won, or None."""
        won = self._won.get(claim_id)
        return None if won is None else won.request

    def expire(self, now):
        """Refuse the claims whose deadline has passed."""
        due = [p for p in self._pending.values() if now >= p.request.deadline_s]
        signals = []
        for pending in due:
            self._give_up(pending)
            state = CLAIM_IN_PROGRESS if pending.in_progress else CLAIM_UNAVAILABLE
            signals.append(ClaimRefused(pending.request.claim_id, state))
        return signals

    def apply_decision(self, decision, now):
        """Take a `LedgerDecision` from whichever daemon served the claim."""
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
        may_land = submission is None or submission.sends > 1
        if decision.state != CLAIM_OUTCOME and may_land:
            self._void(pending)
        answer = decision.answer if decision.state == CLAIM_OUTCOME else b""
        return [ClaimRefused(claim_id, decision.state, answer)]

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

    def _give_up(self, pending):
        submission = self._forget(pending)
        if submission is None or submission.sends:
            self._void(pending)

    def _void(self, pending):
        record = pending.make_record()
        release = ReleaseRecord(record.claim_id, record.issued_s)
        self._outbox.add(release, pending.stream)
