"""Decides at which software version a stream goes on, if at any.

Load pattern: callers resume streams that began at daemons that were killed, while the
targets of their version leave. The version is known from a record of the stream, or
because only one can have served it. Otherwise the resumption is refused: a guess would
join the output of two versions, which its caller cannot see.

Load pattern: a route is split between services. A stream goes on at its own service or,
if that has no target left, at another service of the route with targets of its version.
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
        service (str): Its service; empty if several may have served it.
        version (str): Software version of the target; empty if it stated none.
        evidence (str): ``OWN_RECORD``, ``PEER_RECORD`` or ``ONLY_VERSION``.
    """

    __slots__ = ("service", "version", "evidence")


def is_ambiguous(versions_by_service):
    """Return whether streams without a record can't be resumed.

    Args:
        versions_by_service (dict of str to set of str): All versions that may have
            served them, by service.
    """
    return len(_list_software(versions_by_service)) > 1


def infer_origin(versions_by_service):
    """Return the `Origin` of a stream of which there is no record, or None.

    Args:
        versions_by_service (dict of str to set of str): All versions that may have
            served the stream, by service.
    """
    software = _list_software(versions_by_service)
    if len(software) != 1:
        return None
    ((_, version),) = software
    serving = [name for name, versions in versions_by_service.items() if versions]
    return Origin(serving[0] if len(serving) == 1 else "", version, ONLY_VERSION)


def _list_software(versions_by_service):
    """Return what may have served a stream (set of (str, str)).

    Targets that state no version are of the same one only within their service.
    """
    return {
        ("" if version else service, version)
        for service, versions in versions_by_service.items()
        for version in versions
    }


def choose_service(began, others, version, targets_by_service):
    """Return the service (str) at which a stream goes on, or None.

    Args:
        began (str): The service that began it; empty if unknown.
        others (list of str): Where it goes on if that one has no target, the best
            service first.
        version (str): Version at which it began. Targets that state none are of the
            same one only within their service.
        targets_by_service (dict of str to list of Target): The compatible usable
            targets of each service of its route.
    """
    services = [began or others[0], *(others if version else ())]
    return next((one for one in services if targets_by_service.get(one)), None)


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
