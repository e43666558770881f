"""Messages between daemons about the versions at which streams began.

For each service, one daemon keeps these records for all others: the first in the rank
of the service that responds and knows these messages.
"""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record
from firworks.kernel.versions.served import ServedVersion


@register_record
class StreamsBegun(Record):
    """Streams began, or went on, at a version; sent to the keeper of the service.

    The keeper writes them to the store as well.

    Attributes:
        service (str): The service.
        version (str): Software version of the targets.
        digests (tuple of bytes): One for each stream; see `make_stream_digest`.
        unix_s (float): Time of the record, in Unix seconds.
    """

    __slots__ = ("service", "version", "digests", "unix_s")
    TYPES = (str, str, (bytes,), float)
    PROTOCOL = 1


@register_record
class OriginAsked(Record):
    """Asks the keeper at which version a stream began.

    Attributes:
        number (int): Echoed by `OriginTold`.
        service (str): The service.
        digest (bytes): Digest of the stream.
    """

    __slots__ = ("number", "service", "digest")
    TYPES = (int, str, bytes)
    PROTOCOL = 1


@register_record
class OriginTold(Record):
    """Answers an `OriginAsked`.

    Attributes:
        number (int): Number of the question.
        known (bool): There is a record of the stream.
        version (str): The version at which it began; empty if unknown.
    """

    __slots__ = ("number", "known", "version")
    TYPES = (int, bool, str)
    PROTOCOL = 1


VERSION_RECORDS = (ServedVersion, StreamsBegun, OriginAsked, OriginTold)
