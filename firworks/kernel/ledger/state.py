"""State of a ledger stream, computed from its log entries in offset order."""

from functools import singledispatch

from firworks.kernel.ledger.claims import (
    CLAIM_IN_PROGRESS,
    CLAIM_NOT_RUN,
    CLAIM_OUTCOME,
    CLAIM_REUSED,
    CLAIM_UNKNOWN,
)
from firworks.kernel.ledger.entries import (
    EXPIRED,
    REUSED,
    VOID,
    FinalRefusal,
    KeyEntry,
    digest_key,
    digest_text,
    parse_holder,
)
from firworks.kernel.ledger.records import (
    DECISION_FREE,
    DECISION_WON,
    ClaimRecord,
    LedgerDecision,
    OutcomeRecord,
    ReleaseRecord,
    ResolutionRecord,
    UnknownRecord,
)

BUCKET_S = 60.0
CLAIM_BYTES = 200  # estimated memory per claim
KEY_BYTES = 400  # estimated memory per key, without the response

_CLOSED_STATES = (CLAIM_OUTCOME, CLAIM_NOT_RUN)
_OPEN_STATES = (CLAIM_IN_PROGRESS, CLAIM_UNKNOWN)


class LedgerState:
    """Decides each claim by the log entries before it.

    A claim wins when its id is new, its key is free and the key's age at the time
    of writing is within the window. Keys and claim ids are evicted only when no
    claim with them can win any more.

    Args:
        window_s (float): Age in seconds up to which a key may be claimed.
        skew_s (float): Allowed difference between wall clocks, in seconds.
        has_ended (callable): Returns whether an incarnation (str) is known to have
            ended; the outcome of its work in progress is then reported as unknown.

    Attributes:
        size_bytes (int): Estimate of the memory in use.
        wall_s (float): Wall time at the last tick; no decision on a claim uses it.
    """

    def __init__(self, window_s, skew_s, has_ended=lambda incarnation: False):
        self._window_s = window_s
        self._skew_s = skew_s
        self._has_ended = has_ended
        self._keys = {}
        self._claims = {}
        self._buckets = {}
        self._written_s = 0.0
        self._swept_bucket = None
        self.size_bytes = 0
        self.wall_s = 0.0

    def __len__(self):
        return len(self._claims)

    def apply_entry(self, entry):
        """Apply the records of a `LogEntry`; entries come in offset order."""
        self._written_s = max(self._written_s, entry.written_s)
        for record in entry.records:
            self.apply(record, entry.written_s)
        self._evict_expired()

    def apply(self, record, written_s):
        """Apply one record; records of other parts change nothing."""
        _apply(record, self, written_s)

    def apply_claim(self, record, written_s):
        """Decide a claim at its offset; a duplicate record changes nothing."""
        claim_digest = digest_text(record.claim_id)
        if claim_digest not in self._claims:
            entry = self._decide(claim_digest, record, written_s)
            self._record_claim(claim_digest, record.issued_s, entry)

    def apply_release(self, record):
        """Void a claim, even one appended later; free its key if it had won."""
        claim_digest = digest_text(record.claim_id)
        entry = self._claims.get(claim_digest)
        if entry is None:
            self._record_claim(claim_digest, record.issued_s, VOID)
            return
        if not isinstance(entry, KeyEntry):
            return
        if entry.winner == claim_digest:
            if entry.state != CLAIM_IN_PROGRESS:
                return
            entry.winner = b""
            entry.state = DECISION_FREE
        self._claims[claim_digest] = VOID

    def apply_outcome(self, record):
        """Store the response to a request whose claim won; the first one counts."""
        entry = self._find_won(record.claim_id)
        if entry is not None and entry.state in _OPEN_STATES:
            self._close(entry, CLAIM_OUTCOME, record.response)

    def apply_unknown(self, record, written_s):
        """Mark the outcome of the request of a claim as unknown."""
        entry = self._find_won(record.claim_id)
        if entry is not None and entry.state == CLAIM_IN_PROGRESS:
            entry.state = CLAIM_UNKNOWN
            entry.unknown_s = written_s

    def apply_resolution(self, record, written_s):
        """Resolve a key whose outcome was unknown when the operator asked."""
        entry = self._keys.get(digest_key(record.key))
        asked_s = min(record.asked_s, written_s)
        if entry is None or not entry.was_unknown(asked_s, self._skew_s):
            return
        state = CLAIM_OUTCOME if record.ran else CLAIM_NOT_RUN
        self._close(entry, state, record.response if record.ran else b"")

    def find_decision(self, record):
        """Return the `LedgerDecision` on a `ClaimRecord`, None before it is read."""
        claim_digest = digest_text(record.claim_id)
        entry = self._claims.get(claim_digest)
        if entry is None:
            return None
        if isinstance(entry, FinalRefusal):
            return LedgerDecision(record.claim_id, entry.state)
        if entry.winner == claim_digest and entry.state == CLAIM_IN_PROGRESS:
            return LedgerDecision(record.claim_id, DECISION_WON)
        return self._describe(entry, record)

    def predict_decision(self, record):
        """Return the decision on a claim that would lose if appended, or None.

        Args:
            record (ClaimRecord): A claim that has not been read from the log.
        """
        entry = self._keys.get(digest_key(record.key))
        if entry is None or entry.state == DECISION_FREE:
            return None
        return self._describe(entry, record)

    def _describe(self, entry, record):
        """Return the decision on a claim that another claim keeps from winning."""
        if not self._matches(entry, record):
            return LedgerDecision(record.claim_id, CLAIM_REUSED)
        state = self.find_state(entry, self._written_s)
        if state == CLAIM_IN_PROGRESS and self._has_ended(entry.holder):
            state = CLAIM_UNKNOWN
        return LedgerDecision(record.claim_id, state, entry.response)

    def look_up(self, key):
        """Return the `KeyEntry` of a `WorkKey`, or None."""
        return self._keys.get(digest_key(key))

    def find_state(self, entry, wall_s):
        """Return the state of a `KeyEntry` at a wall time (seconds)."""
        return entry.find_state(wall_s, self._skew_s)

    def reflects(self, record):
        """Return whether appending a record would no longer change this state.

        Args:
            record (Record): Any ledger record but a claim.
        """
        if isinstance(record, ResolutionRecord):
            entry = self._keys.get(digest_key(record.key))
            return entry is None or not entry.was_unknown(record.asked_s, self._skew_s)
        entry = self._claims.get(digest_text(record.claim_id))
        if isinstance(record, ReleaseRecord):
            return entry is VOID
        if not isinstance(entry, KeyEntry):
            return False
        if isinstance(record, UnknownRecord):
            return entry.state != CLAIM_IN_PROGRESS
        return entry.state in _CLOSED_STATES

    def _decide(self, claim_digest, record, written_s):
        """Return the `KeyEntry` or `FinalRefusal` to record for a new claim."""
        if not self._in_window(record.issued_s, written_s):
            return EXPIRED
        key_digest = digest_key(record.key)
        entry = self._keys.get(key_digest)
        if entry is None:
            entry = self._make_entry(key_digest, record)
        elif entry.state == DECISION_FREE:
            self._renew_entry(entry, key_digest, record)
        else:
            return entry if self._matches(entry, record) else REUSED
        entry.winner = claim_digest
        entry.state = CLAIM_IN_PROGRESS
        entry.won_s = written_s
        entry.holder = parse_holder(record.claim_id)
        return entry

    def _in_window(self, issued_s, written_s):
        age_s = written_s - issued_s
        return -self._skew_s <= age_s <= self._window_s

    def _matches(self, entry, record):
        same_work = entry.fingerprint == record.fingerprint
        return same_work and entry.issued_s == record.issued_s

    def _make_entry(self, key_digest, record):
        entry = KeyEntry(record.fingerprint, record.issued_s, b"", DECISION_FREE, b"")
        self._keys[key_digest] = entry
        self._bucket(record.issued_s)[1].append(key_digest)
        self.size_bytes += KEY_BYTES
        return entry

    def _renew_entry(self, entry, key_digest, record):
        entry.fingerprint = record.fingerprint
        if entry.issued_s != record.issued_s:
            entry.issued_s = record.issued_s
            self._bucket(record.issued_s)[1].append(key_digest)

    def _find_won(self, claim_id):
        claim_digest = digest_text(claim_id)
        entry = self._claims.get(claim_digest)
        if isinstance(entry, KeyEntry) and entry.winner == claim_digest:
            return entry
        return None

    def _close(self, entry, state, response):
        entry.state = state
        entry.response = response
        self.size_bytes += len(response)

    def _record_claim(self, claim_digest, issued_s, entry):
        self._claims[claim_digest] = entry
        self._bucket(issued_s)[0].append(claim_digest)
        self.size_bytes += CLAIM_BYTES

    def _bucket(self, issued_s):
        """Return the claim and key digests (lists) of a bucket of times of issue.

        Times in the future, negative and not-a-number ones count as the newest
        valid time, so that their entries are evicted too.
        """
        newest_s = self._written_s + self._skew_s
        if not 0 <= issued_s <= newest_s:
            issued_s = newest_s
        return self._buckets.setdefault(int(issued_s // BUCKET_S), ([], []))

    def _evict_expired(self):
        horizon_s = self._written_s - self._window_s - 2 * self._skew_s
        last_bucket = int(horizon_s // BUCKET_S) - 1
        if last_bucket == self._swept_bucket:
            return
        self._swept_bucket = last_bucket
        for number in sorted(n for n in self._buckets if n <= last_bucket):
            claims, keys = self._buckets.pop(number)
            self._evict_bucket(claims, keys, number)

    def _evict_bucket(self, claims, keys, number):
        for claim_digest in claims:
            del self._claims[claim_digest]
        self.size_bytes -= CLAIM_BYTES * len(claims)
        for key_digest in keys:
            entry = self._keys.get(key_digest)
            if entry is None or int(entry.issued_s // BUCKET_S) != number:
                continue
            del self._keys[key_digest]
            self.size_bytes -= KEY_BYTES + len(entry.response)


@singledispatch
def _apply(record, state, written_s):
    """Apply a record to a state, by the record's type."""


@_apply.register
def _(record: ClaimRecord, state, written_s):
    state.apply_claim(record, written_s)


@_apply.register
def _(record: ReleaseRecord, state, written_s):
    state.apply_release(record)


@_apply.register
def _(record: OutcomeRecord, state, written_s):
    state.apply_outcome(record)


@_apply.register
def _(record: UnknownRecord, state, written_s):
    state.apply_unknown(record, written_s)


@_apply.register
def _(record: ResolutionRecord, state, written_s):
    state.apply_resolution(record, written_s)
