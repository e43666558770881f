"""Signals between the request part and the ledger."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record, Signal

# A holder dispatches before its request's deadline, and awaits the outcome for the
# grace after it; then it has told the ledger what it knows, or has failed.
MAX_DEADLINE_S = 600.0
LATE_OUTCOME_GRACE_S = 60.0

# Values of `ClaimRefused.state`.
CLAIM_OUTCOME = "outcome"  # the work ran; `answer` holds its answer
CLAIM_UNKNOWN = "unknown"  # the work was dispatched, its outcome is not known
CLAIM_IN_PROGRESS = "in_progress"  # still so at the deadline
CLAIM_REUSED = "reused"  # the key belongs to another request
CLAIM_EXPIRED = "expired"  # the key is too old or from the future
CLAIM_UNAVAILABLE = "unavailable"  # not decided in time; released, never dispatched
CLAIM_FULL = "full"  # the ledger can hold no more keys
CLAIM_NOT_RUN = "not_run"  # an operator found that it did not run; the key is closed


@register_record
class WorkKey(Record):
    """Identity of idempotent work: client account, service and idempotency key."""

    __slots__ = ("account", "service", "key")
    TYPES = (str, str, str)


class ClaimRequested(Signal):
    """A request asks to be the only one to run non-repeatable work.

    Attributes:
        claim_id (str): Unique for ever: incarnation and request.
        key (WorkKey): What is claimed.
        fingerprint (bytes): Hash of the request's content.
        issued_s (float): Wall time of issue of the key, in seconds.
        deadline_s (float): Kernel time after which the decision is of no use.
    """

    __slots__ = ("claim_id", "key", "fingerprint", "issued_s", "deadline_s")


class ClaimWon(Signal):
    """The claim was decided in the holder's favour; it may dispatch once.

    Before it dispatches it asks the ledger's ``may_dispatch``, which checks the
    key's age again.
    """

    __slots__ = ("claim_id",)


class ClaimRefused(Signal):
    """The claim's request must not dispatch.

    Attributes:
        claim_id (str): The claim.
        state (str): One of the ``CLAIM_`` constants.
        answer (bytes): With ``CLAIM_OUTCOME``, the first answer's bytes.
    """

    __slots__ = ("claim_id", "state", "answer")
    DEFAULTS = {"answer": b""}


class ClaimReleased(Signal):
    """The holder has not dispatched and never will; also before the decision."""

    __slots__ = ("claim_id",)


class OutcomeReached(Signal):
    """The holder's dispatched work ended with a whole answer (bytes)."""

    __slots__ = ("claim_id", "answer")


class OutcomeUnknown(Signal):
    """The holder dispatched and got no whole answer."""

    __slots__ = ("claim_id",)


class DeferRequested(Signal):
    """A deferred request is to be accepted.

    Attributes:
        request_id (str): Unique for ever; also names the result.
        account (str): The client account.
        pipeline (str): The pipeline's name.
        body (bytes): The request's JSON bytes.
        deadline_s (float): Kernel time until which the caller waits for acceptance.
    """

    __slots__ = ("request_id", "account", "pipeline", "body", "deadline_s")


class DeferAccepted(Signal):
    """The request is in the log and will be answered."""

    __slots__ = ("request_id",)


class DeferRefused(Signal):
    """The request could not be logged in time.

    Attributes:
        request_id (str): The request.
        may_run (bool): It may yet reach the log and run; a result is then found
            under its id. Otherwise it will not run.
    """

    __slots__ = ("request_id", "may_run")
    DEFAULTS = {"may_run": False}


class DeferredReady(Signal):
    """This daemon should run an accepted deferred request now."""

    __slots__ = ("request_id", "account", "pipeline", "body")


class DeferredDone(Signal):
    """A run of a deferred request ended; without `answer` (bytes) it runs again."""

    __slots__ = ("request_id", "answer")


class ResultRequested(Signal):
    """A caller asks for a deferred result; answered at once by `ResultFound`."""

    __slots__ = ("lookup_id", "request_id", "account")


class ResultFound(Signal):
    """State of a deferred request.

    Attributes:
        lookup_id (str): Echo of the lookup.
        state (str): "done", "open", "missing", or "unavailable" when the log cannot
            be read.
        answer (bytes): With "done", the first outcome's bytes.
    """

    __slots__ = ("lookup_id", "state", "answer")
    DEFAULTS = {"answer": b""}
