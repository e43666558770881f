"""Signals between the fleet modules and the rest of the kernel."""

from firworks.kernel.messages import Event, Signal

# Values of `MemberChanged.status`.
MEMBER_ALIVE = "alive"
MEMBER_SUSPECT = "suspect"
MEMBER_LEAVING = "leaving"
MEMBER_DEAD = "dead"

# Topics of `FactChanged` and `FactLearned`.
TOPIC_CONFIGURATION = "configuration"
TOPIC_TARGET_LEAVING = "leaving"
TOPIC_TARGET_DOWN = "down"
TOPIC_QUARANTINE = "quarantine"
TOPIC_DEMAND = "demand"
TOPIC_LOAD = "load"
TOPIC_LOAN = "loan"


class MemberChanged(Signal):
    """A daemon's status changed in this daemon's view.

    Attributes:
        member (str): The daemon's name.
        incarnation (str): Its incarnation.
        status (str): One of the ``MEMBER_`` constants.
    """

    __slots__ = ("member", "incarnation", "status")


class FactChanged(Signal):
    """A part publishes a fact, or a new version of it, to the fleet.

    Attributes:
        topic (str): One of the ``TOPIC_`` constants.
        key (str): What the fact is about, such as a target's name.
        value (Record): The content; the latest one of this daemon wins.
        ttl_s (float): Time in seconds until it expires unless published again.
    """

    __slots__ = ("topic", "key", "value", "ttl_s")


class FactLearned(Signal):
    """A fact of another daemon was received, new or newer than the known version.

    Attributes:
        topic (str): One of the ``TOPIC_`` constants.
        key (str): What the fact is about.
        value (Record): The content.
        origin (str): Name of the daemon that published it.
    """

    __slots__ = ("topic", "key", "value", "origin")


class ConfigurationAccepted(Signal):
    """A newer configuration version is in force in this daemon.

    Attributes:
        version (int): Offset of its publish record.
        digest (str): SHA-256 of the document's bytes, in hexadecimal.
        document (Document): The parsed document.
    """

    __slots__ = ("version", "digest", "document")


class DrainStarted(Signal):
    """This daemon accepts no new requests and exits once those in progress end."""

    __slots__ = ()


class DrainExpired(Event):
    """The drain timeout has expired; requests in progress are ended now."""

    __slots__ = ()


class RequestQuarantined(Signal):
    """Requests of a fingerprint are to be rejected on the whole fleet.

    Attributes:
        fingerprint (bytes): Identifies identical requests.
        until_s (float): End of the quarantine, kernel time in seconds.
    """

    __slots__ = ("fingerprint", "until_s")


class DrainFinished(Signal):
    """This daemon has no work left and is about to exit."""

    __slots__ = ()
