"""What daemons tell each other of targets: who leaves, and which requests end them."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class LeavingTold(Record):
    """A target has told the sender that it leaves.

    Attributes:
        target_id (str): The target.
        born_ms (int): Names its run; see `Target`.
    """

    __slots__ = ("target_id", "born_ms")
    TYPES = (str, int)


@register_record
class TargetCrashed(Record):
    """A target's run ended under some requests.

    Attributes:
        fingerprints (tuple of bytes): Of the requests.
        run (str): Name of the target's run.
    """

    __slots__ = ("fingerprints", "run")
    TYPES = ((bytes,), str)


@register_record
class SuspectCleared(Record):
    """A suspected request (bytes, its fingerprint) had its whole answer."""

    __slots__ = ("fingerprint",)
    TYPES = (bytes,)


@register_record
class Suspicion(Record):
    """All that a daemon knows of a suspected request.

    Attributes:
        fingerprint (bytes): Of the request.
        runs (tuple of str): Names of the runs that ended under it, one for each end.
        crash_ages_s (tuple of float): How long ago each of them ended, in seconds.
        trial_ages_s (tuple of float): How long ago each trial of it began.
        trial_returned (bool): A trial that a target turned away has been given back.
    """

    __slots__ = ("fingerprint", "runs", "crash_ages_s", "trial_ages_s", "trial_returned")
    TYPES = (bytes, (str,), (float,), (float,), bool)


@register_record
class TrialAsked(Record):
    """Asks for leave to send a refused request once more.

    Attributes:
        suspicion (Suspicion): What the sender knows of it.
    """

    __slots__ = ("suspicion",)
    TYPES = (Suspicion,)


@register_record
class TrialAnswered(Record):
    """Answers a `TrialAsked`.

    Attributes:
        fingerprint (bytes): Of the request.
        granted (bool): The daemon that asked may send it to one target.
    """

    __slots__ = ("fingerprint", "granted")
    TYPES = (bytes, bool)


@register_record
class TrialReturned(Record):
    """A trial of a request has shown nothing, as no target ran it.

    Attributes:
        fingerprint (bytes): Of the request.
        reached (bool): A target has read it, and turned it away.
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
