"""Messages between a daemon and the scheduler of a pool."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record
from firworks.kernel.pools.jobs import EngineJob, PieceJob


@register_record
class MemberEntry(Record):
    """How a daemon makes itself known in the store.

    Attributes:
        name (str): Of the daemon.
        incarnation (str): Unique name of this run.
        address (str): "ip:port" for other daemons.
        failure_domain (str): Where it runs.
        weight (float): Its share of a core, or of a link if that is less.
    """

    __slots__ = ("name", "incarnation", "address", "failure_domain", "weight")
    TYPES = (str, str, str, str, float)


@register_record
class MemberLeaving(Record):
    """The sender stops: it finishes what it has and takes no more jobs.

    Attributes:
        name (str): Of the daemon.
        incarnation (str): The run that stops.
    """

    __slots__ = ("name", "incarnation")
    TYPES = (str, str)


@register_record
class Ping(Record):
    """Asks whether a daemon is alive.

    Attributes:
        number (int): Echoed by `Pong`.
        sender_entry (tuple of MemberEntry): The sender itself, if it has not heard from
            the daemon: that may not know the sender, or its connection to the sender
            may carry nothing.
    """

    __slots__ = ("number", "sender_entry")
    TYPES = (int, (MemberEntry,))


@register_record
class Pong(Record):
    """Answers a `Ping`.

    Attributes:
        number (int): Of the ping.
        incarnation (str): The run that answers.
    """

    __slots__ = ("number", "incarnation")
    TYPES = (int, str)


@register_record
class SubmitPieces(Record):
    """Hands a job to a pool's scheduler; its times count from now.

    Attributes:
        service (str): The pool.
        job (PieceJob): The job.
    """

    __slots__ = ("service", "job")
    TYPES = (str, PieceJob)


@register_record
class JobTaken(Record):
    """The scheduler has the job (str)."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class DropJob(Record):
    """A job (str), or its results, are not needed any longer."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class ResultsRead(Record):
    """The results of a job (str) may be given up when room is needed."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class ResultsHeld(Record):
    """Results that another scheduler has made, for one that takes over.

    Attributes:
        service (str): The pool.
        job (PieceJob): The finished job; its times count from now.
        handles (tuple of str): Results by number of the piece.
        read (bool): They may be given up when room is needed.
    """

    __slots__ = ("service", "job", "handles", "read")
    TYPES = (str, PieceJob, (str,), bool)


@register_record
class InputsFetched(Record):
    """The inputs of a job (str) have been fetched."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class PiecesMade(Record):
    """A job is done.

    Attributes:
        job_id (str): The job.
        handles (tuple of str): Results by number of the piece.
    """

    __slots__ = ("job_id", "handles")
    TYPES = (str, (str,))


@register_record
class PiecesRefused(Record):
    """A job will not be finished.

    Attributes:
        job_id (str): The job.
        reason (str): Why.
        retry_after_s (float): When there will be room again.
    """

    __slots__ = ("job_id", "reason", "retry_after_s")
    TYPES = (str, str, float)


@register_record
class SubmitRequest(Record):
    """Asks a pool's scheduler for an engine; the job's deadline counts from now.

    Attributes:
        service (str): The pool.
        job (EngineJob): The request.
    """

    __slots__ = ("service", "job")
    TYPES = (str, EngineJob)


@register_record
class RequestPlaced(Record):
    """The engine for a request.

    Attributes:
        job_id (str): The job.
        target_id (str): The engine.
        cached_tokens (int): Prompt tokens that it is believed to have read.
    """

    __slots__ = ("job_id", "target_id", "cached_tokens")
    TYPES = (str, str, int)


@register_record
class RequestRefused(Record):
    """No engine had room for a request in time.

    Attributes:
        job_id (str): The job.
        retry_after_s (float): When there will be room again.
    """

    __slots__ = ("job_id", "retry_after_s")
    TYPES = (str, float)


@register_record
class RequestBegun(Record):
    """The first token of a request (str) has come."""

    __slots__ = ("job_id",)
    TYPES = (str,)


@register_record
class RequestEnded(Record):
    """A request has left its engine.

    Attributes:
        job_id (str): The job.
        failed (bool): The engine broke it off or could not be reached.
    """

    __slots__ = ("job_id", "failed")
    TYPES = (str, bool)


@register_record
class RequestRunning(Record):
    """A request that another scheduler has placed, for one that takes over.

    Attributes:
        service (str): The pool.
        job (EngineJob): The request; its deadline counts from now.
        target_id (str): Its engine.
        begun (bool): Its first token has come.
    """

    __slots__ = ("service", "job", "target_id", "begun")
    TYPES = (str, EngineJob, str, bool)


@register_record
class SyncJobs(Record):
    """Names the sender's jobs at a scheduler, after a connection was lost.

    Attributes:
        awaited (tuple of str): Jobs whose results it has not heard of.
        held (tuple of str): Jobs that were done, or placed, and go on.
    """

    __slots__ = ("awaited", "held")
    TYPES = ((str,), (str,))


@register_record
class JobUnknown(Record):
    """A scheduler does not have a job that it was asked for."""

    __slots__ = ("job_id",)
    TYPES = (str,)
