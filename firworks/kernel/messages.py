"""Base classes of the kernel's messages, and the messages of the log and peers.

An `Event` is an input of the kernel and an `Action` an output. A `Signal` is an
event that one part of the kernel raises for the other parts; the kernel delivers it
before it handles the next event. A `Record` is stored in the log service or sent to
a peer.
"""

_REQUIRED = object()


class Struct:
    """A value object with named fields.

    Subclasses list their fields in ``__slots__`` and may define ``DEFAULTS``. Fields
    are set by position, in slot order, or by keyword.

    Raises:
        TypeError: If a field is missing, unknown or given twice.
    """

    __slots__ = ()
    DEFAULTS = {}

    def __init__(self, *args, **kwargs):
        names = self.__slots__
        if len(args) > len(names):
            raise TypeError(
                f"{type(self).__name__} takes {len(names)} fields, not {len(args)}"
            )
        for name, value in zip(names, args, strict=False):
            if name in kwargs:
                raise TypeError(f"{type(self).__name__}: {name} was given twice")
            setattr(self, name, value)
        for name in names[len(args) :]:
            value = kwargs.pop(name, _REQUIRED)
            if value is _REQUIRED:
                value = self._default(name)
            setattr(self, name, value)
        if kwargs.keys() - set(names):
            unknown = sorted(kwargs.keys() - set(names))
            raise TypeError(f"{type(self).__name__} has no field {unknown[0]}")

    @classmethod
    def fields(cls):
        """Return the field names of the class, in order."""
        return cls.__slots__

    def _default(self, name):
        try:
            return self.DEFAULTS[name]
        except KeyError:
            raise TypeError(f"{type(self).__name__} needs {name}") from None

    def values(self):
        """Return the field values, in field order, as a tuple."""
        return tuple(getattr(self, name) for name in self.__slots__)

    def replace(self, **changes):
        """Return a copy with some fields changed."""
        current = dict(zip(self.__slots__, self.values(), strict=True))
        return type(self)(**{**current, **changes})

    def __eq__(self, other):
        if type(self) is not type(other):
            return NotImplemented
        return self.values() == other.values()

    def __hash__(self):
        return hash((type(self).__name__, self.values()))

    def __repr__(self):
        pairs = zip(self.__slots__, self.values(), strict=True)
        body = ", ".join(f"{name}={value!r}" for name, value in pairs)
        return f"{type(self).__name__}({body})"


class Event(Struct):
    """Something that happened outside the kernel."""

    __slots__ = ()


class Signal(Event):
    """An event that one part of the kernel raises for the others."""

    __slots__ = ()


class Action(Struct):
    """An operation that the kernel requests from the daemon."""

    __slots__ = ()


class Record(Struct):
    """A value that is stored in the log service or sent to a peer.

    Subclasses are decorated with `firworks.kernel.codec.register_record` and define
    ``TYPES``, the wire type of each field, in order, and ``PROTOCOL``, the least
    version of the peers' protocol in which a daemon understands the record.
    """

    __slots__ = ()
    TYPES = ()
    PROTOCOL = 0


class Tick(Event):
    """Periodic timer event.

    Attributes:
        wall_s (float): Wall-clock time in seconds since the epoch; used only for the
            age of idempotency keys and records.
    """

    __slots__ = ("wall_s",)


class AppendRecords(Action):
    """Append one entry holding several records to a log stream.

    Attributes:
        append_id (str): Echoed by `RecordsAppended` or `AppendFailed`; prefixed with
            the name of the appending part.
        stream (str): Name of the stream.
        records (tuple of Record): Stored as one entry at one offset.
    """

    __slots__ = ("append_id", "stream", "records")


class RecordsAppended(Event):
    """The log service confirmed an append at `offset` (int)."""

    __slots__ = ("append_id", "stream", "offset")


class AppendFailed(Event):
    """An append was not confirmed; it may still take effect later."""

    __slots__ = ("append_id", "stream")


class ReadLog(Action):
    """Read entries of `stream` from `offset` (int) on; None starts at the oldest."""

    __slots__ = ("stream", "offset")


class LogRead(Event):
    """Entries read from the log service.

    Attributes:
        stream (str): Name of the stream.
        requested_offset (int or None): Offset of the `ReadLog`.
        oldest (int): The oldest offset still retained.
        head (int): The offset of the next append.
        entries (tuple of LogEntry): In offset order; may end before the head.
    """

    __slots__ = ("stream", "requested_offset", "oldest", "head", "entries")


class LogEntry(Struct):
    """A log entry: `offset` (int), `written_s` (wall-clock time), `records` (tuple)."""

    __slots__ = ("offset", "written_s", "records")


class LogReadFailed(Event):
    """A read of `stream` from `requested_offset` failed or timed out."""

    __slots__ = ("stream", "requested_offset")


# Results of requests to the log service.
LogResponse = RecordsAppended | AppendFailed | LogRead | LogReadFailed


class SendPeer(Action):
    """Send `message` (Record) to the daemon named `peer`."""

    __slots__ = ("peer", "message")


class PeerReceived(Event):
    """The daemon named `peer` sent `message` (Record)."""

    __slots__ = ("peer", "message")


class PeerConnected(Event):
    """A connection to the daemon named `peer` was opened."""

    __slots__ = ("peer",)


class PeerDisconnected(Event):
    """The connection to the daemon named `peer` was closed."""

    __slots__ = ("peer",)


class PeerInboundLost(Event):
    """The last inbound connection from the daemon named `peer` was closed."""

    __slots__ = ("peer",)


class ConnectPeer(Action):
    """Maintain a connection to the daemon `peer` at `address` ("ip:port")."""

    __slots__ = ("peer", "address")


class DisconnectPeer(Action):
    """Close the connection to the daemon named `peer`."""

    __slots__ = ("peer",)


class VmEntry(Struct):
    """A VM in the platform's list.

    Attributes:
        name (str): Unique name, never reused for a replacement VM.
        address (str): "ip:port".
        role (str): "entry" or "target".
        region (str): Region of the VM.
        failure_domain (str): Failure domain of the VM.
        leaving (bool): The platform is about to remove the VM.
    """

    __slots__ = ("name", "address", "role", "region", "failure_domain", "leaving")
    DEFAULTS = {"leaving": False}


class VmsListed(Event):
    """The platform's VM list was read: `vms` is a tuple of VmEntry."""

    __slots__ = ("vms",)


class WriteLogEvent(Action):
    """Log `event` (LogEvent), an entry of the log catalogue, with `fields` (dict)."""

    __slots__ = ("event", "fields")


class RequestFinished(Action):
    """A request ended; input of the daemon's metrics and burn report.

    Attributes:
        request_id (str): The request.
        pipeline (str): Its pipeline, or "" when unknown.
        account (str): Its client account, or "" when unknown.
        code (Code): The result code sent to the caller.
        met (bool): The complete response was delivered within the deadline.
        latency_s (float): Time from arrival to the end.
        first_token_s (float): Time from arrival to the first token; 0 without one.
        costs (tuple of StageCost): Cost of all attempts, by stage.
        counted (bool): It counts for attainment; its costs count in any case.
    """

    __slots__ = (
        "request_id",
        "pipeline",
        "account",
        "code",
        "met",
        "latency_s",
        "first_token_s",
        "costs",
        "counted",
    )
    DEFAULTS = {"first_token_s": 0.0, "costs": (), "counted": True}


class StageCost(Struct):
    """Cost of one `stage` (str): `seconds` of target time and `price` (floats)."""

    __slots__ = ("stage", "seconds", "price")
