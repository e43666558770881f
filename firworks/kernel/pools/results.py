"""Decisions of the scheduler of a stage pool."""

from firworks.kernel.messages import Struct

# Why a target did not produce the result of a piece.
REASON_LATE = "late"
REASON_GONE = "gone"
REASON_ROOM = "room"
REASON_ERROR = "error"
# Why a job is refused: its request has crashed several targets.
REASON_SUSPENDED = "suspended"
# Why a job is refused: the limits of its targets allow too few calls.
REASON_LIMITED = "limits of all targets"


class JobDone(Struct):
    """All pieces of a job are done.

    Attributes:
        job (PieceJob): The job.
        handles (tuple of str): Handles of the results by index of the piece.
    """

    __slots__ = ("job", "handles")


class JobRefused(Struct):
    """A job will not be finished.

    Attributes:
        job (PieceJob): The job.
        reason (str): A ``REASON_`` constant, or the error that the target reported.
        retry_after_s (float): Time until capacity is expected to be free.
    """

    __slots__ = ("job", "reason", "retry_after_s")


class InputsRead(Struct):
    """The targets of a job's calls have fetched its inputs.

    Attributes:
        job (PieceJob): The job.
    """

    __slots__ = ("job",)


class FreeResults(Struct):
    """Results that a target no longer has to keep.

    Attributes:
        target (Target): The target that holds them.
        handles (tuple of str): Their handles.
        size_bytes (int): Their approximate size.
    """

    __slots__ = ("target", "handles", "size_bytes")
