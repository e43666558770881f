"""Messages between daemons about limits that targets name and permits to send."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class LimitNamed(Record):
    """What a target's newest responses to the sender say about its limit.

    Attributes:
        target_id (str): Id of the target.
        born_ms (int): Unix time of its start in milliseconds; see `Target`.
        service (str): Its service.
        rates_per_s (tuple of float): The limit; empty if it no longer names one.
        sent_age_s (float): Seconds since the request of that response was sent.
        received_age_s (float): Seconds since the response was received.
    """

    __slots__ = (
        "target_id",
        "born_ms",
        "service",
        "rates_per_s",
        "sent_age_s",
        "received_age_s",
    )
    TYPES = (str, int, str, (float,), float, float)


@register_record
class FollowLimits(Record):
    """The sender takes permits for some services from the receiver only.

    Attributes:
        services (tuple of str): The services, with at least one limited target each.
    """

    __slots__ = ("services",)
    TYPES = ((str,),)


@register_record
class LimitsFollowed(Record):
    """Confirms a `FollowLimits`.

    Attributes:
        services (tuple of str): As received.
    """

    __slots__ = ("services",)
    TYPES = ((str,),)


@register_record
class PermitAsked(Record):
    """Asks for a permit to send one request to one of some targets.

    Attributes:
        number (int): Identifies the request among those of the sender.
        service (str): Service of the targets.
        target_ids (tuple of str): Ids of the targets.
        born_ms (tuple of int): Their start times, in the same order.
        priority (int): 0 is the most urgent.
        left_s (float): Time within which the permit is of use; 0 if only a permit that
            is available now is wanted.
    """

    __slots__ = ("number", "service", "target_ids", "born_ms", "priority", "left_s")
    TYPES = (int, str, (str,), (int,), int, float)


@register_record
class PermitQueued(Record):
    """A `PermitAsked` (int, its number) waits for a permit."""

    __slots__ = ("number",)
    TYPES = (int,)


@register_record
class PermitGranted(Record):
    """Permits one request to a target.

    Attributes:
        number (int): Number of the `PermitAsked`.
        target_id (str): Id of the target.
        born_ms (int): Its start time.
    """

    __slots__ = ("number", "target_id", "born_ms")
    TYPES = (int, str, int)


@register_record
class PermitDenied(Record):
    """There is no permit in time.

    Attributes:
        number (int): Number of the `PermitAsked`.
        retry_after_s (float): When the caller should return.
    """

    __slots__ = ("number", "retry_after_s")
    TYPES = (int, float)


@register_record
class PermitCancelled(Record):
    """The permit that was asked for (int, its number) is no longer needed."""

    __slots__ = ("number",)
    TYPES = (int,)


LIMIT_RECORDS = (
    LimitNamed,
    FollowLimits,
    LimitsFollowed,
    PermitAsked,
    PermitQueued,
    PermitGranted,
    PermitDenied,
    PermitCancelled,
)
