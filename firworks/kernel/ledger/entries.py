"""What a ledger stream's state remembers of keys and claims."""

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
    """What is known of one key.

    Attributes:
        fingerprint (bytes): Of the claim that won last.
        issued_s (float): Wall time of issue of the key.
        winner (bytes): Digest of the winning claim's id; empty when free.
        state (str): A ``CLAIM_`` constant or "free".
        answer (bytes): With ``CLAIM_OUTCOME``.
        won_s (float): Wall time at which the winning claim was written.
        holder (str): Incarnation of the daemon whose claim won last.
        unknown_s (float): Wall time at which its outcome was written as unknown.
    """

    __slots__ = (
        "fingerprint",
        "issued_s",
        "winner",
        "state",
        "answer",
        "won_s",
        "holder",
        "unknown_s",
    )
    DEFAULTS = {"won_s": 0.0, "holder": "", "unknown_s": 0.0}

    def find_state(self, wall_s, skew_s):
        """Return the state at a wall time; a holder that is overdue has failed.

        Args:
            wall_s (float): Wall time in seconds.
            skew_s (float): Allowed difference between wall clocks.
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
    """A final refusal that is the same for all claims that share it."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state


VOID = FinalRefusal(DECISION_VOID)
EXPIRED = FinalRefusal(CLAIM_EXPIRED)
REUSED = FinalRefusal(CLAIM_REUSED)


def parse_holder(claim_id):
    """Return the incarnation that begins the id of a claim."""
    return intern(claim_id.partition("/")[0])


def digest_text(text):
    """Return the fixed-size digest under which an id is remembered."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def digest_key(key):
    """Return the fixed-size digest under which a `WorkKey` is remembered."""
    text = f"{len(key.account)},{len(key.service)},{key.account}{key.service}{key.key}"
    return digest_text(text)
