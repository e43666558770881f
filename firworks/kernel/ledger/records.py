"""Records of the ledger's streams and messages between ledgers."""

from firworks.kernel.codec import register_record
from firworks.kernel.ledger.claims import WorkKey
from firworks.kernel.messages import Record, Signal, Struct

# Values of `LedgerDecision.state` besides the ``CLAIM_`` constants.
DECISION_WON = "won"
DECISION_VOID = "void"  # released
DECISION_FREE = "free"  # lost to a claim that was released since


@register_record
class ClaimRecord(Record):
    """A claim of a key; decided by the log entries before it.

    Attributes:
        claim_id (str): Unique for ever.
        key (WorkKey): What is claimed.
        fingerprint (bytes): Hash of the request's content.
        issued_s (float): Wall time of issue of the key.
    """

    __slots__ = ("claim_id", "key", "fingerprint", "issued_s")
    TYPES = (str, WorkKey, bytes, float)


@register_record
class ReleaseRecord(Record):
    """Voids a claim, also one that lands later."""

    __slots__ = ("claim_id", "issued_s")
    TYPES = (str, float)


@register_record
class OutcomeRecord(Record):
    """The answer (bytes) of the work that a claim won."""

    __slots__ = ("claim_id", "answer")
    TYPES = (str, bytes)


@register_record
class UnknownRecord(Record):
    """The holder of a claim dispatched, got no whole answer and is done with it."""

    __slots__ = ("claim_id",)
    TYPES = (str,)


@register_record
class ResolutionRecord(Record):
    """An operator's answer to a key whose outcome is unknown.

    Attributes:
        resolution_id (str): Unique for ever.
        key (WorkKey): The key.
        ran (bool): Whether the operator found that the work ran.
        answer (bytes): With `ran`, the answer for resends.
        asked_s (float): Wall time at which the operator asked; work that became
            unknown later is not settled by it.
    """

    __slots__ = ("resolution_id", "key", "ran", "answer", "asked_s")
    TYPES = (str, WorkKey, bool, bytes, float)


LEDGER_RECORDS = (
    ClaimRecord,
    ReleaseRecord,
    OutcomeRecord,
    UnknownRecord,
    ResolutionRecord,
)


@register_record
class LedgerSubmit(Record):
    """Asks a peer to append records to a stream and to report what comes of them."""

    __slots__ = ("stream", "records")
    TYPES = (str, (Record,))


@register_record
class LedgerHeard(Record):
    """The peer took in a `LedgerSubmit` of records named by `ids`."""

    __slots__ = ("ids",)
    TYPES = ((str,),)


@register_record
class LedgerStalled(Record):
    """The peer cannot reach the log for `stream`."""

    __slots__ = ("stream",)
    TYPES = (str,)


@register_record
class LedgerStored(Record):
    """The record named `id` is in the log."""

    __slots__ = ("id",)
    TYPES = (str,)


@register_record
class LedgerDecision(Record):
    """What became of a claim.

    Attributes:
        claim_id (str): The claim.
        state (str): A ``CLAIM_`` or ``DECISION_`` constant.
        answer (bytes): With ``CLAIM_OUTCOME``, the first answer.
    """

    __slots__ = ("claim_id", "state", "answer")
    TYPES = (str, str, bytes)
    DEFAULTS = {"answer": b""}


class Reply(Struct):
    """A `message` (Record) for `origin`, a peer's name; "" is this daemon."""

    __slots__ = ("origin", "message")


class LookupRequested(Signal):
    """An operator asks what the ledger holds on `key` (WorkKey)."""

    __slots__ = ("lookup_id", "key")


class ResolutionRequested(Signal):
    """An operator settles a key whose outcome is unknown.

    Attributes:
        lookup_id (str): Unique for ever; echoed by `LookupCompleted`.
        key (WorkKey): The key.
        ran (bool): Whether the work was found to have run.
        answer (bytes): With `ran`, the answer for resends.
    """

    __slots__ = ("lookup_id", "key", "ran", "answer")


class LookupCompleted(Signal):
    """What the ledger holds on a key.

    Attributes:
        lookup_id (str): Echo of the request.
        state (str): A ``CLAIM_`` constant, "free", or "unavailable" when the log
            could not be read in time.
        answer (bytes): With ``CLAIM_OUTCOME``, the answer.
    """

    __slots__ = ("lookup_id", "state", "answer")
    DEFAULTS = {"answer": b""}


def get_record_id(record):
    """Return an id for a stored record, unique within its stream.

    The first field of each kind is its own id.
    """
    return f"{type(record).__name__}:{record.values()[0]}"
