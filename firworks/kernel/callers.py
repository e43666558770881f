"""Events and actions between the kernel and the callers' interface."""

from firworks.kernel.messages import Action, Event

# Values of `FinishResponse.ran`.
RAN_YES = "yes"
RAN_NO = "no"
RAN_UNKNOWN = "unknown"


class RequestArrived(Event):
    """A caller's well-formed request arrived.

    Attributes:
        request_id (str): Unique for ever; given by the adapter.
        token (str): Bearer token; empty when there was none.
        pipeline (str): Name of the pipeline asked for.
        body (object): JSON value.
        idempotency_key (str): Empty when there was none.
        issued_s (float): Wall time of issue of the key; 0 when not given.
        deadline_ms (int): Remaining budget; 0 means the pipeline's default.
        wall_s (float): Wall clock at arrival.
        first_send (bool): The caller states that it never sent this key before.
    """

    __slots__ = (
        "request_id",
        "token",
        "pipeline",
        "body",
        "idempotency_key",
        "issued_s",
        "deadline_ms",
        "wall_s",
        "first_send",
    )
    DEFAULTS = {
        "idempotency_key": "",
        "issued_s": 0.0,
        "deadline_ms": 0,
        "wall_s": 0.0,
        "first_send": False,
    }


class CallerDisconnected(Event):
    """The caller closed its connection before the answer was whole."""

    __slots__ = ("request_id",)


class ResultLookupRequested(Event):
    """A caller asks for the result of a deferred request.

    Attributes:
        lookup_id (str): Unique; echoed by `FinishResponse.request_id`.
        token (str): Bearer token.
        request_id (str): The deferred request.
    """

    __slots__ = ("lookup_id", "token", "request_id")


class SendChunk(Action):
    """Send tokens of the answer; `offset` is the first one's place in the whole."""

    __slots__ = ("request_id", "offset", "tokens")


class FinishResponse(Action):
    """End a request with its only final answer.

    Attributes:
        request_id (str): The request.
        code (Code): Numbered result code.
        ran (str): One of the ``RAN_`` constants.
        body (object): JSON value of a whole answer, else None.
        tokens (tuple of str): All tokens of a whole streamed answer.
        detail (str): For people, when the request failed.
        retry_after_s (float): When to come back; 0 when not known.
    """

    __slots__ = (
        "request_id",
        "code",
        "ran",
        "body",
        "tokens",
        "detail",
        "retry_after_s",
    )
    DEFAULTS = {"body": None, "tokens": (), "detail": "", "retry_after_s": 0.0}
