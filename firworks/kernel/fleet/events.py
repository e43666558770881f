"""Signals between the fleet's parts and the rest of the kernel."""

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
    """A part wants the fleet to know a fact.

    Attributes:
        topic (str): One of the ``TOPIC_`` constants.
        key (str): What the fact is about, such as a target's name.
        value (Record): The fact; the newest from this daemon wins.
        ttl_s (float): Others forget it after this long unless renewed.
    """

    __slots__ = ("topic", "key", "value", "ttl_s")


class FactLearned(Signal):
    """Another daemon's fact arrived, or replaced an older one of the same origin.

    Attributes:
        topic (str): One of the ``TOPIC_`` constants.
        key (str): What the fact is about.
        value (Record): The fact.
        origin (str): Name of the daemon that stated it.
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
    """This daemon takes no new requests and ends when those in progress have."""

    __slots__ = ()


class DrainExpired(Event):
    """The time for a drain is over; requests in progress end now."""

    __slots__ = ()


class RequestQuarantined(Signal):
    """A fingerprint (bytes) is refused fleet-wide until `until_s` (kernel time)."""

    __slots__ = ("fingerprint", "until_s")


class DrainFinished(Signal):
    """This daemon has no work left and is about to exit."""

    __slots__ = ()
