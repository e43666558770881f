"""State of one ledger stream: a function of its entries in offset order."""

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
CLAIM_BYTES = 200
KEY_BYTES = 400

_CLOSED_STATES = (CLAIM_OUTCOME, CLAIM_NOT_RUN)
_OPEN_STATES = (CLAIM_IN_PROGRESS, CLAIM_UNKNOWN)


class LedgerState:
    """Decides claims by the entries before them.

    A claim wins when its id is new, its key is free and the key's age at the time
    of writing is within the window. Keys and ids are forgotten only when no claim of
    theirs can win any more.

    Args:
        window_s (float): Age up to which a key may be claimed.
        skew_s (float): Allowed difference between wall clocks.
        has_ended (callable): Whether an incarnation (str) is known to have ended; its
            work in progress is said to be unknown at once.

    Attributes:
        size_bytes (int): Estimate of the memory held.
        wall_s (float): Wall time as last told; no decision on a claim depends on it.
    """

    def __init__(self, window_s, skew_s, has_ended=lambda incarnation: False):
        self._window_s = window_s
        self._skew_s = skew_s
        self._is_gone = has_ended
        self._keys = {}
        self._claims = {}
        self._buckets = {}
        self._written_s = 0.0
        self._swept = None
        self.size_bytes = 0
        self.wall_s = 0.0

    def __len__(self):
        return len(self._claims)

    def apply_entry(self, entry):
        """Apply the records of a `LogEntry`; entries come in offset order."""
        self._written_s = max(self._written_s, entry.written_s)
        for record in entry.records:
            self.apply(record, entry.written_s)
        self._forget_expired()

    def apply(self, record, written_s):
        """Apply one record; kinds that belong to other parts change nothing."""
        _apply(record, self, written_s)

    def apply_claim(self, record, written_s):
        """Decide a claim at its offset; a second appearance changes nothing."""
        claim = digest_text(record.claim_id)
        if claim not in self._claims:
            entry = self._decide(claim, record, written_s)
            self._remember(claim, record.issued_s, entry)

    def apply_release(self, record):
        """Void a claim, also one that lands later; free its key if it had won."""
        claim = digest_text(record.claim_id)
        entry = self._claims.get(claim)
        if entry is None:
            self._remember(claim, record.issued_s, VOID)
            return
        if not isinstance(entry, KeyEntry):
            return
        if entry.winner == claim:
            if entry.state != CLAIM_IN_PROGRESS:
                return
            entry.winner = b""
            entry.state = DECISION_FREE
        self._claims[claim] = VOID

    def apply_outcome(self, record):
        """Keep the first answer of the work that a claim won."""
        entry = self._find_won(record.claim_id)
        if entry is not None and entry.state in _OPEN_STATES:
            self._close(entry, CLAIM_OUTCOME, record.answer)

    def apply_unknown(self, record, written_s):
        """Note that the outcome of a claim's work is unknown."""
        entry = self._find_won(record.claim_id)
        if entry is not None and entry.state == CLAIM_IN_PROGRESS:
            entry.state = CLAIM_UNKNOWN
            entry.unknown_s = written_s

    def resolve_key(self, record, written_s):
        """Take an operator's word on a key whose outcome was unknown when asked."""
        entry = self._keys.get(digest_key(record.key))
        asked_s = min(record.asked_s, written_s)
        if entry is None or not entry.was_unknown(asked_s, self._skew_s):
            return
        state = CLAIM_OUTCOME if record.ran else CLAIM_NOT_RUN
        self._close(entry, state, record.answer if record.ran else b"")

    def judge(self, record):
        """Return the `LedgerDecision` on a `ClaimRecord`; None if it has not landed."""
        claim = digest_text(record.claim_id)
        entry = self._claims.get(claim)
        if entry is None:
            return None
        if isinstance(entry, FinalRefusal):
            return LedgerDecision(record.claim_id, entry.state)
        if entry.winner == claim and entry.state == CLAIM_IN_PROGRESS:
            return LedgerDecision(record.claim_id, DECISION_WON)
        return self._describe(entry, record)

    def predict_decision(self, record):
        """Return the decision on a claim that need not be appended, or None.

        Args:
            record (ClaimRecord): A claim that has not landed.
        """
        entry = self._keys.get(digest_key(record.key))
        if entry is None or entry.state == DECISION_FREE:
            return None
        return self._describe(entry, record)

    def _describe(self, entry, record):
        """Return the decision on a claim of a key that another claim has won."""
        if not self._matches(entry, record):
            return LedgerDecision(record.claim_id, CLAIM_REUSED)
        state = self.find_state(entry, self._written_s)
        if state == CLAIM_IN_PROGRESS and self._is_gone(entry.holder):
            state = CLAIM_UNKNOWN
        return LedgerDecision(record.claim_id, state, entry.answer)

    def look_up(self, key):
        """Return the `KeyEntry` of a `WorkKey`, or None."""
        return self._keys.get(digest_key(key))

    def find_state(self, entry, wall_s):
        """Return the state of a `KeyEntry` at a wall time (seconds)."""
        return entry.find_state(wall_s, self._skew_s)

    def reflects(self, record):
        """Return whether a record can change nothing any more.

        Args:
            record (Record): A release, outcome, unknown or resolution.
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

    def _decide(self, claim, record, written_s):
        """Return what is remembered of a claim that lands now."""
        if not self._in_window(record.issued_s, written_s):
            return EXPIRED
        name = digest_key(record.key)
        entry = self._keys.get(name)
        if entry is None:
            entry = self._make_entry(name, record)
        elif entry.state == DECISION_FREE:
            self._renew_entry(entry, name, record)
        else:
            return entry if self._matches(entry, record) else REUSED
        entry.winner = claim
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

    def _make_entry(self, name, record):
        entry = KeyEntry(record.fingerprint, record.issued_s, b"", DECISION_FREE, b"")
        self._keys[name] = entry
        self._bucket(record.issued_s)[1].append(name)
        self.size_bytes += KEY_BYTES
        return entry

    def _renew_entry(self, entry, name, record):
        entry.fingerprint = record.fingerprint
        if entry.issued_s != record.issued_s:
            entry.issued_s = record.issued_s
            self._bucket(record.issued_s)[1].append(name)

    def _find_won(self, claim_id):
        claim = digest_text(claim_id)
        entry = self._claims.get(claim)
        if isinstance(entry, KeyEntry) and entry.winner == claim:
            return entry
        return None

    def _close(self, entry, state, answer):
        entry.state = state
        entry.answer = answer
        self.size_bytes += len(answer)

    def _remember(self, claim, issued_s, entry):
        self._claims[claim] = entry
        self._bucket(issued_s)[0].append(claim)
        self.size_bytes += CLAIM_BYTES

    def _bucket(self, issued_s):
        """Return the lists of claim and key digests issued in the same minute."""
        newest_s = self._written_s + self._skew_s
        if not 0 <= issued_s <= newest_s:
            issued_s = newest_s
        return self._buckets.setdefault(int(issued_s // BUCKET_S), ([], []))

    def _forget_expired(self):
        horizon_s = self._written_s - self._window_s - 2 * self._skew_s
        last = int(horizon_s // BUCKET_S) - 1
        if last == self._swept:
            return
        self._swept = last
        for number in sorted(n for n in self._buckets if n <= last):
            claims, keys = self._buckets.pop(number)
            self._forget(claims, keys, number)

    def _forget(self, claims, keys, number):
        for claim in claims:
            del self._claims[claim]
        self.size_bytes -= CLAIM_BYTES * len(claims)
        for name in keys:
            entry = self._keys.get(name)
            if entry is None or int(entry.issued_s // BUCKET_S) != number:
                continue
            del self._keys[name]
            self.size_bytes -= KEY_BYTES + len(entry.answer)


@singledispatch
def _apply(record, state, written_s):
    """Apply a record to a state."""


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
    state.resolve_key(record, written_s)
