"""What a ledger stream's state remembers of keys and claims."""

from hashlib import blake2b

from firworks.kernel.claims import CLAIM_EXPIRED, CLAIM_REUSED
from firworks.kernel.ledger_records import DECISION_VOID
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
    """

    __slots__ = ("fingerprint", "issued_s", "winner", "state", "answer")


class Fate:
    """A final refusal that is the same for all claims that share it."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state


VOID = Fate(DECISION_VOID)
EXPIRED = Fate(CLAIM_EXPIRED)
REUSED = Fate(CLAIM_REUSED)


def digest_text(text):
    """Return the fixed-size digest under which an id is remembered."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def digest_key(key):
    """Return the fixed-size digest under which a `WorkKey` is remembered."""
    text = f"{len(key.account)},{len(key.service)},{key.account}{key.service}{key.key}"
    return digest_text(text)
