"""Events and actions exchanged by the kernel and the caller adapters."""

from firworks.kernel.messages import Action, Event

# Values of `FinishResponse.ran`.
RAN_YES = "yes"
RAN_NO = "no"
RAN_UNKNOWN = "unknown"


class RequestArrived(Event):
    """A caller's well-formed request arrived.

    Attributes:
        request_id (str): Globally unique, never reused; assigned by the adapter.
        token (str): Bearer token; empty if absent.
        pipeline (str): Name of the requested pipeline.
        body (object): JSON value.
        idempotency_key (str): Empty if absent.
        issued_s (float): Wall-clock time at which the key was issued; 0 if absent.
        deadline_ms (int): Remaining time; 0 selects the pipeline's default.
        wall_s (float): Wall-clock time of arrival.
        first_send (bool): The caller states that it has never sent this key before.
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
    """The caller closed its connection before the response was complete."""

    __slots__ = ("request_id",)


class ResultLookupRequested(Event):
    """A caller asks for the result of a deferred request.

    Attributes:
        lookup_id (str): Unique; returned as `FinishResponse.request_id`.
        token (str): Bearer token.
        request_id (str): The deferred request.
    """

    __slots__ = ("lookup_id", "token", "request_id")


class EndConnections(Action):
    """Make each response that has not begun the last one of its connection."""

    __slots__ = ()


class SendChunk(Action):
    """Send `tokens` of the response; `offset` is the position of the first one."""

    __slots__ = ("request_id", "offset", "tokens")


class FinishResponse(Action):
    """End a request with its final response, of which there is exactly one.

    Attributes:
        request_id (str): The request.
        code (Code): Numbered result code.
        ran (str): Whether the work ran; one of the ``RAN_`` constants.
        body (object): JSON value of a complete response, else None.
        tokens (tuple of str): All tokens of a complete streamed response.
        detail (str): Explanation for people if the request failed.
        retry_after_s (float): When the caller should retry; 0 when not known.
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
