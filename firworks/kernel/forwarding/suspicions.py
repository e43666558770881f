"""Messages between daemons about leaving targets and features that crash targets.

A feature is a request or a part of prompts; see `firworks.kernel.forwarding.features`.
"""

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
        fingerprints (tuple of bytes): Fingerprints of the features of the requests.
        incarnation (str): Identity of the target's incarnation.
        answered (tuple of bytes): Those of the features that are parts and had a
            response after all crashes that the sender knew.
    """

    __slots__ = ("fingerprints", "incarnation", "answered")
    TYPES = ((bytes,), str, (bytes,))


@register_record
class SuspectCleared(Record):
    """A suspect feature (bytes, its fingerprint) had a complete response."""

    __slots__ = ("fingerprint",)
    TYPES = (bytes,)


@register_record
class Suspicion(Record):
    """Crashes and trials of a suspect feature, as known to the sender.

    Attributes:
        fingerprint (bytes): Fingerprint of the feature.
        incarnations (tuple of str): Incarnations that crashed, one for each crash.
        crash_ages_s (tuple of float): Seconds since each of the crashes.
        trial_ages_s (tuple of float): Seconds since each of its trials began.
        solo_trial_ages_s (tuple of float): Those of requests without other features in
            quarantine.
        trial_returned (bool): A trial that targets rejected has been discarded.
    """

    __slots__ = (
        "fingerprint",
        "incarnations",
        "crash_ages_s",
        "trial_ages_s",
        "solo_trial_ages_s",
        "trial_returned",
    )
    TYPES = (bytes, (str,), (float,), (float,), (float,), bool)


@register_record
class SuspectsCleared(Record):
    """Suspect features (tuple of bytes, fingerprints) had a complete response."""

    __slots__ = ("fingerprints",)
    TYPES = ((bytes,),)
    PROTOCOL = 2


@register_record
class Suspicions(Record):
    """Several features (tuple of Suspicion), as known to the sender."""

    __slots__ = ("suspicions",)
    TYPES = ((Suspicion,),)
    PROTOCOL = 2


@register_record
class TrialAsked(Record):
    """Requests permission for a trial of a request with quarantined features.

    Attributes:
        suspicions (tuple of Suspicion): Crashes and trials of each of the features, as
            known to the sender.
    """

    __slots__ = ("suspicions",)
    TYPES = ((Suspicion,),)


@register_record
class TrialAnswered(Record):
    """Reply to `TrialAsked`.

    Attributes:
        fingerprints (tuple of bytes): Fingerprints of the features.
        granted (bool): The requesting daemon may send a request to one target.
    """

    __slots__ = ("fingerprints", "granted")
    TYPES = ((bytes,), bool)


@register_record
class TrialReturned(Record):
    """A trial of a request was inconclusive, as no target ran it.

    Attributes:
        fingerprints (tuple of bytes): Fingerprints of the features.
        reached (bool): A target has read the request and rejected it.
    """

    __slots__ = ("fingerprints", "reached")
    TYPES = ((bytes,), bool)


SUSPICION_RECORDS = (
    TargetCrashed,
    SuspectCleared,
    SuspectsCleared,
    Suspicion,
    Suspicions,
    TrialAsked,
    TrialAnswered,
    TrialReturned,
)
