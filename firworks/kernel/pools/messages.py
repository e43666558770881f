"""Messages between the daemons that submit jobs and the schedulers of pools."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record
from firworks.kernel.pools.jobs import EngineJob, PieceJob


@register_record
class MemberEntry(Record):
    """The entry of a daemon in the member list of the store.

    Attributes:
        name (str): Name of the daemon.
        incarnation (str): Unique id of this run of its process.
        address (str): "ip:port" at which it accepts connections of other daemons.
        failure_domain (str): Its failure domain.
        weight (float): Its share of a core, or of a network link if that is less.
    """

    __slots__ = ("name", "incarnation", "address", "failure_domain", "weight")
    TYPES = (str, str, str, str, float)


@register_record
class MemberLeaving(Record):
    """The sender shuts down: it finishes its work and accepts no more jobs.

    Attributes:
        name (str): Name of the daemon.
        incarnation (str): The incarnation that shuts down.
    """

    __slots__ = ("name", "incarnation")
    TYPES = (str, str)


@register_record
class Ping(Record):
    """Checks whether a daemon is alive.

    Attributes:
        number (int): Sequence number, echoed by `Pong`.
        sender_entry (tuple of MemberEntry): The sender's own entry if it has received
            nothing from the daemon or suspects it, else empty. The daemon may not know
            the sender, or its connection to the sender may be broken.
    """

    __slots__ = ("number", "sender_entry")
    TYPES = (int, (MemberEntry,))


@register_record
class Pong(Record):
    """Answers a `Ping`.

    Attributes:
        number (int): Number of the ping.
        incarnation (str): The incarnation that answers.
    """

    __slots__ = ("number", "incarnation")
    TYPES = (int, str)


@register_record
class SubmitPieces(Record):
    """Submits a job to the scheduler of a pool; times are relative to sending.

    Attributes:
        service (str): The pool.
        job (PieceJob): The job.
    """

    __slots__ = ("service", "job")
    TYPES = (str, PieceJob)


@register_record
class JobTaken(Record):
    """The scheduler acknowledges a job (str)."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class DropJob(Record):
    """Cancels a job (str), or frees its results if it is done."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class ResultsRead(Record):
    """The results of a job (str) were read and may be evicted to free memory."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class ResultsHeld(Record):
    """Hands the results of a finished job over to another scheduler.

    Attributes:
        service (str): The pool.
        job (PieceJob): The finished job; its times are relative to sending.
        handles (tuple of str): Handles of the results by index of the piece.
        read (bool): The results were read and may be evicted to free memory.
    """

    __slots__ = ("service", "job", "handles", "read")
    TYPES = (str, PieceJob, (str,), bool)


@register_record
class InputsFetched(Record):
    """The targets of a job (str) have fetched its inputs."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class PiecesMade(Record):
    """All pieces of a job are done.

    Attributes:
        job_id (str): The job.
        handles (tuple of str): Handles of the results by index of the piece.
    """

    __slots__ = ("job_id", "handles")
    TYPES = (str, (str,))


@register_record
class PiecesRefused(Record):
    """A job will not be finished.

    Attributes:
        job_id (str): The job.
        reason (str): Why it was refused.
        retry_after_s (float): Time until capacity is expected to be free.
    """

    __slots__ = ("job_id", "reason", "retry_after_s")
    TYPES = (str, str, float)


@register_record
class SubmitRequest(Record):
    """Asks the scheduler of a pool for an engine; times are relative to sending.

    Attributes:
        service (str): The pool.
        job (EngineJob): The request.
    """

    __slots__ = ("service", "job")
    TYPES = (str, EngineJob)


@register_record
class RequestPlaced(Record):
    """The engine that a request was assigned to.

    Attributes:
        job_id (str): The job.
        target_id (str): The engine.
        cached_tokens (int): Prompt tokens that it is expected to have cached.
    """

    __slots__ = ("job_id", "target_id", "cached_tokens")
    TYPES = (str, str, int)


@register_record
class RequestRefused(Record):
    """No engine had capacity for a request in time.

    Attributes:
        job_id (str): The job.
        retry_after_s (float): Time until capacity is expected to be free.
    """

    __slots__ = ("job_id", "retry_after_s")
    TYPES = (str, float)


@register_record
class RequestBegun(Record):
    """The first token of a request (str) was received."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class RequestEnded(Record):
    """A request has left its engine.

    Attributes:
        job_id (str): The job.
        failed (bool): The engine aborted it or could not be reached.
    """

    __slots__ = ("job_id", "failed")
    TYPES = (str, bool)


@register_record
class RequestRunning(Record):
    """Hands a running request over to another scheduler.

    Attributes:
        service (str): The pool.
        job (EngineJob): The request; its times are relative to sending.
        target_id (str): Its engine.
        begun (bool): Its first token was received.
    """

    __slots__ = ("service", "job", "target_id", "begun")
    TYPES = (str, EngineJob, str, bool)


@register_record
class SyncJobs(Record):
    """Lists the sender's jobs at a scheduler after a connection was lost.

    Attributes:
        awaited (tuple of str): Jobs for which no result was received.
        held (tuple of str): Jobs that are done or placed and not yet released.
    """

    __slots__ = ("awaited", "held")
    TYPES = ((str,), (str,))


@register_record
class JobUnknown(Record):
    """A scheduler does not know a job (str), or has dropped it."""

    __slots__ = ("job_id",)
    TYPES = (str,)
