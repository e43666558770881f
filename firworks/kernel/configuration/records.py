"""Records of the configuration stream, and messages between peers about versions."""

import zlib

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record

NO_VERSION = -1
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


def name_stream(environment):
    """Return the name of an environment's configuration stream."""
    return f"config-{environment}"


def pack_document(data):
    """Return a document's bytes compressed, as records hold them."""
    return zlib.compress(data, 6)


def unpack_document(packed):
    """Return a document's bytes, or None if malformed or over `MAX_DOCUMENT_BYTES`."""
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return data if inflater.eof and not inflater.unused_data else None


@register_record
class Publish(Record):
    """A document meant to replace the version `base`.

    Attributes:
        publication_id (str): Unique; duplicates of the record share it.
        base (int): The version to replace, or ``NO_VERSION``.
        format (int): Number of the document's format.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        document (bytes): Packed by `pack_document`.
    """

    __slots__ = ("publication_id", "base", "format", "digest", "document")
    TYPES = (str, int, int, str, bytes)


@register_record
class Restore(Record):
    """A document that replaces any version accepted before `position`.

    It gives an environment a version again when the log retains none, and is
    accepted unless a version was accepted at or after `position`.

    Attributes:
        publication_id (str): Unique; duplicates of the record share it.
        position (int): At most the record's own offset.
        format (int): Number of the document's format.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        document (bytes): Packed by `pack_document`.
    """

    __slots__ = ("publication_id", "position", "format", "digest", "document")
    TYPES = (str, int, int, str, bytes)


@register_record
class Carry(Record):
    """A snapshot: the version that results from all entries before `position`.

    Appended so that the version outlives the log's retention. It stays valid however
    late it is appended or read: a reader that has every entry from `position` on
    continues from it exactly.

    Attributes:
        position (int): The offset after the last entry that it covers.
        version (int): Offset of the accepted record.
        format (int): Number of the document's format.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        document (bytes): Packed by `pack_document`.
        made_s (float): Wall time at which the log had been read up to `position`,
            exclusive.
    """

    __slots__ = ("position", "version", "format", "digest", "document", "made_s")
    TYPES = (int, int, int, str, bytes, float)


@register_record
class ConfigurationFact(Record):
    """Gossip that a daemon has this version in force."""

    __slots__ = ("version", "digest")
    TYPES = (int, str)


@register_record
class ConfigurationWanted(Record):
    """A daemon asks a peer for `version` (int) or a newer one."""

    __slots__ = ("version",)
    TYPES = (int,)


@register_record
class ConfigurationSent(Record):
    """A peer's response to `ConfigurationWanted`.

    Attributes:
        snapshot (Carry): The peer's version, as it would append it to the log.
        snapshot_position (int): Position of the newest snapshot it read in the log.
        snapshot_made_s (float): Wall time at which that one was made.
    """

    __slots__ = ("snapshot", "snapshot_position", "snapshot_made_s")
    TYPES = (Carry, int, float)
