"""What a reader of a configuration stream knows and decides."""

from firworks.codes import Code
from firworks.document import FORMAT
from firworks.kernel.configuration.records import NO_VERSION, Carry
from firworks.kernel.messages import Struct


class Decision(Struct):
    """What became of one publication.

    Attributes:
        publication_id (str): The publication.
        offset (int): Offset of its record; the version, when accepted.
        code (Code): ``OK``, ``BASE_SUPERSEDED`` or ``DOCUMENT_INVALID``.
        current (int): The version current before it.
        digest (str): Digest that the record names.
        written_s (float): Wall time at which the log took the record.
    """

    __slots__ = (
        "publication_id",
        "offset",
        "code",
        "current",
        "digest",
        "written_s",
    )

    @property
    def accepted(self):
        """Whether the publication became a version."""
        return self.code is Code.OK


class Candidate(Struct):
    """A `Publish` or `Restore` `record` read at `offset` (int), to be decided."""

    __slots__ = ("offset", "written_s", "record")


class ConfigurationState(Struct):
    """The version that all entries before `position` lead to.

    Attributes:
        position (int): The offset that follows the entries taken into account.
        version (int): Offset of the accepted record, or ``NO_VERSION``.
        format (int): Format number of its document.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        packed (bytes): The packed document.
        document (Document): The parsed document; None when its format is unknown.
        snapshot_position (int): Position of the newest carry in the log.
        carried_s (float): Wall time at which that carry was made.
    """

    __slots__ = (
        "position",
        "version",
        "format",
        "digest",
        "packed",
        "document",
        "snapshot_position",
        "carried_s",
    )
    DEFAULTS = {"snapshot_position": 0, "carried_s": 0.0}

    def make_snapshot(self, wall_s):
        """Return the `Carry` that states this at `wall_s` (wall seconds)."""
        return Carry(
            self.position, self.version, self.format, self.digest, self.packed, wall_s
        )


def make_empty_state():
    """Return the state of a stream of which no entry has been read."""
    return ConfigurationState(0, NO_VERSION, FORMAT, "", b"", None)
