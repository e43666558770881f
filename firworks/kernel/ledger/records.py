"""Records of the ledger streams, and messages between the ledgers of daemons."""

from firworks.kernel.codec import register_record
from firworks.kernel.ledger.claims import WorkKey
from firworks.kernel.messages import Record, Signal, Struct

# Values of `LedgerDecision.state` besides the ``CLAIM_`` constants.
DECISION_WON = "won"
DECISION_VOID = "void"  # the claim was released
DECISION_FREE = "free"  # lost to a claim that has been released since; retry


@register_record
class ClaimRecord(Record):
    """A claim of a key; the log entries before it decide whether it wins.

    Attributes:
        claim_id (str): Unique, never reused.
        key (WorkKey): The claimed key.
        fingerprint (bytes): Hash of the request's content.
        issued_s (float): Wall time in seconds at which the key was issued.
    """

    __slots__ = ("claim_id", "key", "fingerprint", "issued_s")
    TYPES = (str, WorkKey, bytes, float)


@register_record
class ReleaseRecord(Record):
    """Voids a claim, including one that is appended after this record."""

    __slots__ = ("claim_id", "issued_s")
    TYPES = (str, float)


@register_record
class OutcomeRecord(Record):
    """The encoded response (bytes) to the request whose claim won."""

    __slots__ = ("claim_id", "response")
    TYPES = (str, bytes)


@register_record
class UnknownRecord(Record):
    """The claim holder dispatched the request and got no complete response."""

    __slots__ = ("claim_id",)
    TYPES = (str,)


@register_record
class ResolutionRecord(Record):
    """An operator's resolution of a key whose outcome is unknown.

    Attributes:
        resolution_id (str): Unique, never reused.
        key (WorkKey): The key.
        ran (bool): Whether the operator found that the request ran.
        response (bytes): With `ran`, the response to resends.
        asked_s (float): Wall time in seconds of the operator's request; outcomes
            that became unknown later are not resolved by it.
    """

    __slots__ = ("resolution_id", "key", "ran", "response", "asked_s")
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
    """Asks a peer to append records to a stream and to report the result of each."""

    __slots__ = ("stream", "records")
    TYPES = (str, (Record,))


@register_record
class LedgerHeard(Record):
    """Acknowledges the receipt of submitted records, named by `ids`."""

    __slots__ = ("ids",)
    TYPES = ((str,),)


@register_record
class LedgerStalled(Record):
    """The sender cannot reach the log for `stream`."""

    __slots__ = ("stream",)
    TYPES = (str,)


@register_record
class LedgerStored(Record):
    """The record named `id` is in the log."""

    __slots__ = ("id",)
    TYPES = (str,)


@register_record
class LedgerDecision(Record):
    """The decision on a claim.

    Attributes:
        claim_id (str): The claim.
        state (str): A ``CLAIM_`` or ``DECISION_`` constant.
        response (bytes): With ``CLAIM_OUTCOME``, the first response.
    """

    __slots__ = ("claim_id", "state", "response")
    TYPES = (str, str, bytes)
    DEFAULTS = {"response": b""}


class Reply(Struct):
    """A `message` (Record) to `origin`, the daemon (str) whose request it answers."""

    __slots__ = ("origin", "message")


class LookupRequested(Signal):
    """An operator requests the state of `key` (WorkKey)."""

    __slots__ = ("lookup_id", "key")


class ResolutionRequested(Signal):
    """An operator resolves a key whose outcome is unknown.

    Attributes:
        lookup_id (str): Unique, never reused; echoed by `LookupCompleted`.
        key (WorkKey): The key.
        ran (bool): Whether the operator found that the request ran.
        response (bytes): With `ran`, the response to resends.
    """

    __slots__ = ("lookup_id", "key", "ran", "response")


class LookupCompleted(Signal):
    """The state of a key, in reply to a lookup or a resolution.

    Attributes:
        lookup_id (str): Echo of the request.
        state (str): A ``CLAIM_`` constant, "free", or "unavailable" when the log
            could not be read in time.
        response (bytes): With ``CLAIM_OUTCOME``, the response.
    """

    __slots__ = ("lookup_id", "state", "response")
    DEFAULTS = {"response": b""}


def get_record_id(record):
    """Return the id (str) of a stored record, unique within its stream.

    It is made of the record's type and first field, which is an id in every type.
    """
    return f"{type(record).__name__}:{record.values()[0]}"
