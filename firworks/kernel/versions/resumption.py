"""Decides at which software version a stream goes on, if at any.

Load pattern: callers resume streams that began at daemons that were killed, while the
targets of their version leave. The version is known from a record of the stream, or
because only one can have served it. Otherwise the resumption is refused: a guess would
join the output of two versions, which its caller cannot see.
"""

from firworks.kernel.messages import Struct

# How the version of a stream is known.
OWN_RECORD = "own record"
PEER_RECORD = "record of a peer"
ONLY_VERSION = "only version"
# Why a stream cannot be resumed.
ORIGIN_UNKNOWN = "origin unknown"
VERSION_GONE = "version gone"


class Origin(Struct):
    """Where a stream that is resumed began.

    Attributes:
        service (str): Its service.
        version (str): Software version of the target; empty if it stated none.
        evidence (str): ``OWN_RECORD``, ``PEER_RECORD`` or ``ONLY_VERSION``.
    """

    __slots__ = ("service", "version", "evidence")


def infer_origin(versions_by_service):
    """Return the `Origin` of a stream of which there is no record, or None.

    Args:
        versions_by_service (dict of str to set of str): All versions that may have
            served the stream, by service.
    """
    candidates = [
        (service, version)
        for service, versions in versions_by_service.items()
        for version in versions
    ]
    if len(candidates) != 1:
        return None
    return Origin(*candidates[0], ONLY_VERSION)


def is_compatible(target, version, versions):
    """Return whether a stream that began at a version may go on at a target.

    Targets that state no version are of the same version only if none states one.

    Args:
        target (Target): The target.
        version (str): Version at which the stream began.
        versions (set of str): All versions that may have served the service.
    """
    if target.version != version:
        return False
    return bool(version) or versions <= {version}


def list_incompatible(targets, version, versions):
    """Return those (list of Target) of some targets at which a stream can't go on."""
    return [one for one in targets if not is_compatible(one, version, versions)]
