"""Entries for keys and claims in the state of a ledger stream."""

from hashlib import blake2b
from sys import intern

from firworks.kernel.ledger.claims import (
    CLAIM_EXPIRED,
    CLAIM_IN_PROGRESS,
    CLAIM_REUSED,
    CLAIM_UNKNOWN,
    LATE_OUTCOME_GRACE_S,
    MAX_DEADLINE_S,
)
from firworks.kernel.ledger.records import DECISION_VOID
from firworks.kernel.messages import Struct

DIGEST_BYTES = 16


class KeyEntry(Struct):
    """The state of one key. Times are wall times in seconds.

    Attributes:
        fingerprint (bytes): Fingerprint of the claim that won last.
        issued_s (float): When the key was issued.
        winner (bytes): Digest of the winning claim's id; empty when free.
        state (str): A ``CLAIM_`` constant or "free".
        response (bytes): With ``CLAIM_OUTCOME``, the response.
        won_s (float): When the winning claim was written to the log.
        holder (str): Incarnation of the daemon whose claim won last.
        unknown_s (float): When the log recorded the outcome as unknown.
    """

    __slots__ = (
        "fingerprint",
        "issued_s",
        "winner",
        "state",
        "response",
        "won_s",
        "holder",
        "unknown_s",
    )
    DEFAULTS = {"won_s": 0.0, "holder": "", "unknown_s": 0.0}

    def find_state(self, wall_s, skew_s):
        """Return the state at a wall time; overdue work in progress is unknown.

        Args:
            wall_s (float): Wall time in seconds.
            skew_s (float): Allowed difference between wall clocks, in seconds.
        """
        overdue_s = self.won_s + MAX_DEADLINE_S + LATE_OUTCOME_GRACE_S + skew_s
        if self.state == CLAIM_IN_PROGRESS and wall_s > overdue_s:
            return CLAIM_UNKNOWN
        return self.state

    def was_unknown(self, wall_s, skew_s):
        """Return whether the outcome was unknown by a wall time, and still is."""
        if self.find_state(wall_s, skew_s) != CLAIM_UNKNOWN:
            return False
        return self.state != CLAIM_UNKNOWN or self.unknown_s <= wall_s


class FinalRefusal:
    """A final refusal; one object is shared by all claims refused for one reason."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state


VOID = FinalRefusal(DECISION_VOID)
EXPIRED = FinalRefusal(CLAIM_EXPIRED)
REUSED = FinalRefusal(CLAIM_REUSED)


def parse_holder(claim_id):
    """Return the holder's incarnation (str), the prefix of a claim's id."""
    return intern(claim_id.partition("/")[0])


def digest_text(text):
    """Return the fixed-size digest under which an id is stored in memory."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def digest_key(key):
    """Return the fixed-size digest under which a `WorkKey` is stored in memory."""
    text = f"{len(key.account)},{len(key.service)},{key.account}{key.service}{key.key}"
    return digest_text(text)
