"""State and decisions of a reader of a configuration stream."""

from firworks.codes import Code
from firworks.document import FORMAT
from firworks.kernel.configuration.records import NO_VERSION, Carry
from firworks.kernel.messages import Struct


class Decision(Struct):
    """The outcome of one publication.

    Attributes:
        publication_id (str): As in its record.
        offset (int): Offset of its record; the version, when accepted.
        code (Code): ``OK``, ``BASE_SUPERSEDED`` or ``DOCUMENT_INVALID``.
        current (int): The version before it; ``NO_VERSION`` if none or unknown.
        digest (str): Digest in the record, in hexadecimal.
        written_s (float): Wall time at which the log stored the record.
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
    """A `Publish` or `Restore` `record`, read at `offset` (int), without a decision."""

    __slots__ = ("offset", "written_s", "record")


class ConfigurationState(Struct):
    """The version that results from all entries before `position`.

    Attributes:
        position (int): The offset after the last entry that it covers.
        version (int): Offset of the accepted record, or ``NO_VERSION``.
        format (int): Format number of its document.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        packed (bytes): The packed document.
        document (Document): The parsed document; None when its format is unknown.
        snapshot_position (int): Position of the newest snapshot in the log.
        snapshot_made_s (float): Wall time at which that one was made.
    """

    __slots__ = (
        "position",
        "version",
        "format",
        "digest",
        "packed",
        "document",
        "snapshot_position",
        "snapshot_made_s",
    )
    DEFAULTS = {"snapshot_position": 0, "snapshot_made_s": 0.0}

    def make_snapshot(self, wall_s):
        """Return a `Carry` of this state, made at `wall_s` (wall time)."""
        return Carry(
            self.position, self.version, self.format, self.digest, self.packed, wall_s
        )


def make_empty_state():
    """Return the state before the first entry of a stream."""
    return ConfigurationState(0, NO_VERSION, FORMAT, "", b"", None)
