"""Messages between daemons about leaving targets and requests that crash targets."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class LeavingTold(Record):
    """A target has announced to the sender that it is leaving.

    Attributes:
        target_id (str): Id of the target.
        born_ms (int): Unix time of its start in milliseconds; see `Target`.
    """

    __slots__ = ("target_id", "born_ms")
    TYPES = (str, int)


@register_record
class TargetCrashed(Record):
    """A target crashed while it was running some requests.

    Attributes:
        fingerprints (tuple of bytes): Fingerprints of the requests.
        incarnation (str): Identity of the target's incarnation.
    """

    __slots__ = ("fingerprints", "incarnation")
    TYPES = ((bytes,), str)


@register_record
class SuspectCleared(Record):
    """A suspect request (bytes, its fingerprint) was answered completely."""

    __slots__ = ("fingerprint",)
    TYPES = (bytes,)


@register_record
class Suspicion(Record):
    """Crashes and trials of a suspect request, as known to the sender.

    Attributes:
        fingerprint (bytes): Fingerprint of the request.
        incarnations (tuple of str): Incarnations that crashed, one for each crash.
        crash_ages_s (tuple of float): Seconds since each of the crashes.
        trial_ages_s (tuple of float): Seconds since each of its trials began.
        trial_returned (bool): A trial that targets rejected has been discarded.
    """

    __slots__ = (
        "fingerprint",
        "incarnations",
        "crash_ages_s",
        "trial_ages_s",
        "trial_returned",
    )
    TYPES = (bytes, (str,), (float,), (float,), bool)


@register_record
class TrialAsked(Record):
    """Requests permission for a trial of a quarantined request.

    Attributes:
        suspicion (Suspicion): Crashes and trials known to the sender.
    """

    __slots__ = ("suspicion",)
    TYPES = (Suspicion,)


@register_record
class TrialAnswered(Record):
    """Reply to `TrialAsked`.

    Attributes:
        fingerprint (bytes): Fingerprint of the request.
        granted (bool): The requesting daemon may send it to one target.
    """

    __slots__ = ("fingerprint", "granted")
    TYPES = (bytes, bool)


@register_record
class TrialReturned(Record):
    """A trial of a request was inconclusive, as no target ran it.

    Attributes:
        fingerprint (bytes): Fingerprint of the request.
        reached (bool): A target has read the request and rejected it.
    """

    __slots__ = ("fingerprint", "reached")
    TYPES = (bytes, bool)


SUSPICION_RECORDS = (
    TargetCrashed,
    SuspectCleared,
    Suspicion,
    TrialAsked,
    TrialAnswered,
    TrialReturned,
)
