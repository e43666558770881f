"""Work that is submitted to the scheduler of a pool."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class PieceJob(Record):
    """The pieces of one stage of one request.

    Attributes:
        job_id (str): Unique to the daemon that handles the request and to the attempt.
        request_id (str): The caller's request.
        stage (int): Index of the stage in its route.
        count (int): Number of pieces of the stage.
        key (str): Input of a stage without dependencies; else empty.
        inputs (tuple of str): Handles of the results that the stage needs.
        result_bytes (int): Approximate size of one result.
        priority (int): 0 is the most urgent.
        soft_deadline_s (float): Until when the request's answer is on time; monotonic
            seconds of the scheduler, relative to the time of sending on the wire.
        deadline_s (float): When the request's answer must have begun; likewise.
        downstream_s (float): Expected time of the stages after this one and of the
            request's target.
        input_domains (tuple of str): Failure domains that hold its inputs.
        input_bytes (tuple of int): Size of the inputs in each of them.
        fingerprint (bytes): The same for each attempt of the caller's request.
        home_domain (str): Failure domain in which the request is likely to reach an
            engine; empty if unknown.
        account (str): Name of the client account; empty if there is none.
        weight (float): Weight of the account's share of the pool.
    """

    __slots__ = (
        "job_id",
        "request_id",
        "stage",
        "count",
        "key",
        "inputs",
        "result_bytes",
        "priority",
        "soft_deadline_s",
        "deadline_s",
        "downstream_s",
        "input_domains",
        "input_bytes",
        "fingerprint",
        "home_domain",
        "account",
        "weight",
    )
    DEFAULTS = {"home_domain": "", "account": "", "weight": 1.0}
    TYPES = (
        str,
        str,
        int,
        int,
        str,
        (str,),
        int,
        int,
        float,
        float,
        float,
        (str,),
        (int,),
        bytes,
        str,
        str,
        float,
    )

    def shift(self, seconds):
        """Return a copy whose times are later by some seconds."""
        return self.replace(
            soft_deadline_s=self.soft_deadline_s + seconds,
            deadline_s=self.deadline_s + seconds,
        )


@register_record
class EngineJob(Record):
    """A request that is to be placed on an engine.

    Attributes:
        job_id (str): Unique to the daemon that handles the request and to the attempt.
        part_ids (tuple of str): Hashes of the parts (segments) of the prompt, in order.
        part_tokens (tuple of int): Number of tokens of each part.
        tokens_in (int): Prompt tokens.
        tokens_out (int): Maximum number of tokens to generate.
        priority (int): 0 is the most urgent.
        first_byte_deadline_s (float): When its answer must have begun; monotonic
            seconds of the scheduler, relative to the time of sending on the wire.
        deadline_s (float): When the request times out; likewise.
        excluded (tuple of str): Targets on which this request has failed.
        input_domains (tuple of str): Failure domains that hold its stage results.
        input_bytes (tuple of int): Size of the results in each of them.
        account (str): Name of the client account; empty if there is none.
        weight (float): Weight of the account's share of the pool.
    """

    __slots__ = (
        "job_id",
        "part_ids",
        "part_tokens",
        "tokens_in",
        "tokens_out",
        "priority",
        "first_byte_deadline_s",
        "deadline_s",
        "excluded",
        "input_domains",
        "input_bytes",
        "account",
        "weight",
    )
    DEFAULTS = {"account": "", "weight": 1.0}
    TYPES = (
        str,
        (str,),
        (int,),
        int,
        int,
        int,
        float,
        float,
        (str,),
        (str,),
        (int,),
        str,
        float,
    )

    def shift(self, seconds):
        """Return a copy whose times are later by some seconds."""
        return self.replace(
            first_byte_deadline_s=self.first_byte_deadline_s + seconds,
            deadline_s=self.deadline_s + seconds,
        )


def sum_remote_bytes(job, failure_domain):
    """Return how many bytes of a job's inputs are in other failure domains."""
    sizes = zip(job.input_domains, job.input_bytes, strict=True)
    return sum(size for domain, size in sizes if domain != failure_domain)


class Piece:
    """One piece of a job.

    Attributes:
        job (PieceJob): The job.
        number (int): Index of the piece in its job.
        failed_attempts (int): Number of calls that failed to process it.
    """

    __slots__ = ("job", "number", "failed_attempts")

    def __init__(self, job, number):
        self.job = job
        self.number = number
        self.failed_attempts = 0
