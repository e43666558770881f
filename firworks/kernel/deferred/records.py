"""Records of deferred requests and messages between the daemons that run them."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class AcceptRecord(Record):
    """An accepted request; re-appended at intervals while it is open.

    Attributes:
        request_id (str): Unique, never reused.
        account (str): The client account.
        pipeline (str): The pipeline's name.
        body (bytes): The request's JSON bytes.
        copied_s (float): Wall time in seconds at which this copy was made.
    """

    __slots__ = ("request_id", "account", "pipeline", "body", "copied_s")
    TYPES = (str, str, str, bytes, float)


@register_record
class DoneRecord(Record):
    """The `response` (bytes) to an accepted request; the first in the log counts."""

    __slots__ = ("request_id", "account", "response")
    TYPES = (str, str, bytes)


DEFERRED_RECORDS = (AcceptRecord, DoneRecord)


@register_record
class DeferredRun(Record):
    """Assigns an open request to the receiving daemon."""

    __slots__ = ("request_id", "account", "pipeline", "body")
    TYPES = (str, str, str, bytes)


@register_record
class DeferredBeat(Record):
    """Heartbeat of a daemon for the requests that it runs, named by `request_ids`."""

    __slots__ = ("request_ids",)
    TYPES = ((str,),)


@register_record
class DeferredStopped(Record):
    """The sender no longer runs the request."""

    __slots__ = ("request_id",)
    TYPES = (str,)


@register_record
class DeferredLookup(Record):
    """Looks up the state of a request on behalf of a client account."""

    __slots__ = ("lookup_id", "request_id", "account")
    TYPES = (str, str, str)


@register_record
class DeferredFound(Record):
    """Reply to a `DeferredLookup`; `state` and `response` as in `ResultFound`."""

    __slots__ = ("lookup_id", "state", "response")
    TYPES = (str, str, bytes)
