"""Signals between the request part, the ledger and the deferred queue."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record, Signal

# A claim holder dispatches before its request's deadline and waits for the outcome up
# to the grace time after it. A holder that has reported nothing by then has failed.
MAX_DEADLINE_S = 600.0
LATE_OUTCOME_GRACE_S = 60.0

# Values of `ClaimRefused.state`.
CLAIM_OUTCOME = "outcome"  # the request ran; `response` holds its response
CLAIM_UNKNOWN = "unknown"  # the request was dispatched, its outcome is not known
CLAIM_IN_PROGRESS = "in_progress"  # another claim was still running at the deadline
CLAIM_REUSED = "reused"  # the key belongs to a different request
CLAIM_EXPIRED = "expired"  # the key is too old, or its time of issue in the future
CLAIM_UNAVAILABLE = "unavailable"  # not decided in time; released, never dispatched
CLAIM_FULL = "full"  # the ledger's memory limit is reached
CLAIM_NOT_RUN = "not_run"  # an operator found that it did not run; the key is closed


@register_record
class WorkKey(Record):
    """Identity of a keyed request: client account, service and idempotency key."""

    __slots__ = ("account", "service", "key")
    TYPES = (str, str, str)


class ClaimRequested(Signal):
    """A non-repeatable request claims the exclusive right to run under its key.

    Attributes:
        claim_id (str): Unique, never reused: incarnation and request.
        key (WorkKey): The claimed key.
        fingerprint (bytes): Hash of the request's content.
        issued_s (float): Wall time in seconds at which the key was issued.
        deadline_s (float): Kernel time in seconds at which an undecided claim is
            refused.
    """

    __slots__ = ("claim_id", "key", "fingerprint", "issued_s", "deadline_s")


class ClaimWon(Signal):
    """The claim won; its holder may dispatch the request once.

    Before it dispatches, the holder calls the ledger's ``may_dispatch``, which
    checks the deadline and the key's age again.
    """

    __slots__ = ("claim_id",)


class ClaimRefused(Signal):
    """The claim's request must not dispatch.

    Attributes:
        claim_id (str): The claim.
        state (str): One of the ``CLAIM_`` constants.
        response (bytes): With ``CLAIM_OUTCOME``, the first response, encoded.
    """

    __slots__ = ("claim_id", "state", "response")
    DEFAULTS = {"response": b""}


class ClaimReleased(Signal):
    """The holder has not dispatched and never will; may precede the decision."""

    __slots__ = ("claim_id",)


class OutcomeReached(Signal):
    """The holder's request got a complete `response` (bytes)."""

    __slots__ = ("claim_id", "response")


class OutcomeUnknown(Signal):
    """The holder dispatched the request and got no complete response."""

    __slots__ = ("claim_id",)


class DeferRequested(Signal):
    """Asks the deferred queue to accept a request.

    Attributes:
        request_id (str): Unique, never reused; also the id of the result.
        account (str): The client account.
        pipeline (str): The pipeline's name.
        body (bytes): The request's JSON bytes.
        deadline_s (float): Kernel time in seconds until which the caller waits for
            acceptance.
    """

    __slots__ = ("request_id", "account", "pipeline", "body", "deadline_s")


class DeferAccepted(Signal):
    """The request is in the log and will get a result."""

    __slots__ = ("request_id",)


class DeferRefused(Signal):
    """The request was not accepted in time.

    Attributes:
        request_id (str): The request.
        may_run (bool): Whether the request may still reach the log and run; its
            result can then be looked up by its id.
    """

    __slots__ = ("request_id", "may_run")
    DEFAULTS = {"may_run": False}


class DeferredReady(Signal):
    """An accepted deferred request, to be run by this daemon now."""

    __slots__ = ("request_id", "account", "pipeline", "body")


class DeferredDone(Signal):
    """A run of a deferred request ended; without `response` (bytes) it is retried."""

    __slots__ = ("request_id", "response")


class ResultRequested(Signal):
    """A caller looks up a deferred result; the reply is `ResultFound`."""

    __slots__ = ("lookup_id", "request_id", "account")


class ResultFound(Signal):
    """State of a deferred request.

    Attributes:
        lookup_id (str): Echo of the lookup.
        state (str): "done", "open", "missing", or "unavailable" when the log cannot
            be read.
        response (bytes): With "done", the first response, encoded.
    """

    __slots__ = ("lookup_id", "state", "response")
    DEFAULTS = {"response": b""}
