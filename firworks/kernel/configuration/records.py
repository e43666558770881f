"""Records of the configuration stream, and of peers that pass a version on."""

import zlib

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record

NO_VERSION = -1
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


def name_stream(environment):
    """Return the name of an environment's configuration stream."""
    return f"config-{environment}"


def pack_document(data):
    """Return the compressed form in which records hold a document's bytes."""
    return zlib.compress(data, 6)


def unpack_document(packed):
    """Return a document's bytes, or None when malformed or over the limit."""
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return data if inflater.eof and not inflater.unused_data else None


@register_record
class Publish(Record):
    """A document that is to replace the version `base`.

    Attributes:
        publication_id (str): Unique; a copy of the record has the same.
        base (int): The version that it replaces, or ``NO_VERSION``.
        format (int): Number of the document's format.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        document (bytes): Packed by `pack_document`.
    """

    __slots__ = ("publication_id", "base", "format", "digest", "document")
    TYPES = (str, int, int, str, bytes)


@register_record
class Restore(Record):
    """A document that replaces whatever was accepted before `position`.

    It gives an environment a version again when the log retains none, and is
    accepted unless a version was accepted at or after `position`.

    Attributes:
        publication_id (str): Unique; a copy of the record has the same.
        position (int): An offset not above the record's own.
        format (int): Number of the document's format.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        document (bytes): Packed by `pack_document`.
    """

    __slots__ = ("publication_id", "position", "format", "digest", "document")
    TYPES = (str, int, int, str, bytes)


@register_record
class Carry(Record):
    """The version that all entries before `position` lead to.

    It is true however late it is appended or read; a reader that has every entry
    from `position` on continues from it exactly.

    Attributes:
        position (int): The offset that follows the entries taken into account.
        version (int): Offset of the accepted publish record.
        format (int): Number of the document's format.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        document (bytes): Packed by `pack_document`.
        made_s (float): Wall time at which every entry before `position`, and none
            at it, had been read.
    """

    __slots__ = ("position", "version", "format", "digest", "document", "made_s")
    TYPES = (int, int, int, str, bytes, float)


@register_record
class ConfigurationFact(Record):
    """A daemon has this version in force; spread by gossip."""

    __slots__ = ("version", "digest")
    TYPES = (int, str)


@register_record
class ConfigurationWanted(Record):
    """A daemon asks a peer for a version not below `version` (int)."""

    __slots__ = ("version",)
    TYPES = (int,)


@register_record
class ConfigurationSent(Record):
    """A peer's answer to `ConfigurationWanted`.

    Attributes:
        carry (Carry): The peer's version, as it would append it to the log.
        snapshot_position (int): Position of the newest carry that it saw in the log.
        carried_s (float): Wall time at which that carry was made.
    """

    __slots__ = ("carry", "snapshot_position", "carried_s")
    TYPES = (Carry, int, float)
