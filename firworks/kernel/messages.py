"""Base classes of everything that enters, leaves or crosses the kernel.

An `Event` enters the kernel and an `Action` leaves it. A `Signal` is an event
that one part of the kernel raises for the other parts; the kernel delivers it at
the same instant. A `Record` is stored in the log service or sent to a peer.
"""

_REQUIRED = object()


class Struct:
    """A plain value with named slots.

    Subclasses list their fields in ``__slots__`` and may give ``DEFAULTS``. Fields
    are set by position, in slot order, or by keyword.

    Raises:
        TypeError: When a field is missing, unknown or given twice.
    """

    __slots__ = ()
    DEFAULTS = {}

    def __init__(self, *args, **kwargs):
        names = self.__slots__
        if len(args) > len(names):
            raise TypeError(f"{type(self).__name__} takes {len(names)} fields")
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
    """Something that one part of the kernel tells the others."""

    __slots__ = ()


class Action(Struct):
    """Something that the kernel asks the daemon to carry out."""

    __slots__ = ()


class Record(Struct):
    """A value that is stored in the log service or sent to a peer.

    Subclasses are decorated with `firworks.kernel.codec.register_record` and give
    ``TYPES``, the wire type of each field in order.
    """

    __slots__ = ()
    TYPES = ()


class Tick(Event):
    """Time passed.

    Attributes:
        wall_s (float): The wall clock, in seconds since the epoch; only the age of
            idempotency keys and records depends on it.
    """

    __slots__ = ("wall_s",)


class AppendRecords(Action):
    """Append one entry holding several records to a log stream.

    Attributes:
        append_id (str): Echoed by `RecordsAppended` or `AppendFailed`; begins with
            the name of the part that appends.
        stream (str): Name of the stream.
        records (tuple of Record): Stored as one entry at one offset.
    """

    __slots__ = ("append_id", "stream", "records")


class RecordsAppended(Event):
    """The log service confirmed an append at `offset` (int)."""

    __slots__ = ("append_id", "stream", "offset")


class AppendFailed(Event):
    """No confirmation of an append arrived; it may still take effect, even late."""

    __slots__ = ("append_id", "stream")


class ReadLog(Action):
    """Read entries of `stream` from `offset` (int) on; None reads the oldest."""

    __slots__ = ("stream", "offset")


class LogRead(Event):
    """Entries read from the log service.

    Attributes:
        stream (str): Name of the stream.
        asked (int or None): The offset asked for.
        oldest (int): The oldest offset still retained.
        head (int): The offset that the next append will get.
        entries (tuple of LogEntry): In offset order, possibly with fewer entries
            than there are up to the head.
    """

    __slots__ = ("stream", "asked", "oldest", "head", "entries")


class LogEntry(Struct):
    """One entry: `offset` (int), `written_s` (wall seconds), `records` (tuple)."""

    __slots__ = ("offset", "written_s", "records")


class LogReadFailed(Event):
    """The log service did not answer a read of `stream` from `asked`."""

    __slots__ = ("stream", "asked")


# What the log service answers, or that it does not.
LogResponse = RecordsAppended | AppendFailed | LogRead | LogReadFailed


class SendPeer(Action):
    """Send `message` (Record) to the daemon named `peer`."""

    __slots__ = ("peer", "message")


class PeerReceived(Event):
    """The daemon named `peer` sent `message` (Record)."""

    __slots__ = ("peer", "message")


class PeerConnected(Event):
    """A connection to the daemon named `peer` opened."""

    __slots__ = ("peer",)


class PeerDisconnected(Event):
    """The connection to the daemon named `peer` closed."""

    __slots__ = ("peer",)


class PeerInboundLost(Event):
    """The last connection on which the daemon named `peer` sends to this one closed."""

    __slots__ = ("peer",)


class ConnectPeer(Action):
    """Keep a connection to the daemon `peer` at `address` ("ip:port")."""

    __slots__ = ("peer", "address")


class DisconnectPeer(Action):
    """Close the connection to the daemon named `peer`."""

    __slots__ = ("peer",)


class VmEntry(Struct):
    """A VM as the platform lists it.

    Attributes:
        name (str): Unique name; a replaced VM gets a new one.
        address (str): "ip:port".
        role (str): "entry" or "target".
        region (str): Region of the VM.
        failure_domain (str): Failure domain of the VM.
        leaving (bool): The platform is about to take the VM away.
    """

    __slots__ = ("name", "address", "role", "region", "failure_domain", "leaving")
    DEFAULTS = {"leaving": False}


class VmsListed(Event):
    """The platform's VM list was read: `vms` is a tuple of VmEntry."""

    __slots__ = ("vms",)


class WriteLogEvent(Action):
    """Write the catalogued log event `event` (LogEvent) with `fields` (dict)."""

    __slots__ = ("event", "fields")


class RequestFinished(Action):
    """A request is over; the daemon's metrics and burn report take note.

    Attributes:
        request_id (str): The request.
        pipeline (str): Its pipeline, or "" when unknown.
        account (str): Its client account, or "" when unknown.
        code (Code): The result code that the caller got.
        met (bool): Delivered whole within the deadline.
        latency_s (float): From arrival to the end.
        first_token_s (float): From arrival to the first token; 0 without one.
        costs (tuple of StageCost): Cost by stage, of all attempts.
        counted (bool): Whether it counts for attainment; its costs always do.
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
