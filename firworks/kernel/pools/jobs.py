"""Work that a pool's scheduler takes in."""

from firworks.kernel.codec import register_record
from firworks.kernel.messages import Record


@register_record
class PieceJob(Record):
    """The pieces of one stage of one request.

    Attributes:
        job_id (str): Unique to the daemon that has the request and to the try.
        request_id (str): The caller's request.
        stage (int): Number of the stage in its route.
        count (int): How many pieces the stage has.
        key (str): Input of a stage that follows no other; else empty.
        inputs (tuple of str): Handles of the results that the stage needs.
        result_bytes (int): Approximate size of one result.
        priority (int): 0 is the most urgent.
        soft_deadline_s (float): When the request's answer would still be on time; monotonic
            seconds of the scheduler, relative to now on the wire.
        deadline_s (float): When the request's answer must have begun; likewise.
        downstream_s (float): Time that the stages after this one and the target need.
        input_domains (tuple of str): Failure domains that hold its inputs.
        input_bytes (tuple of int): Size of the inputs in each of them.
        fingerprint (bytes): The same for each try of the caller's request.
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
    )
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
    )

    def shift(self, seconds):
        """Return a copy whose times are later by some seconds."""
        return self.replace(
            soft_deadline_s=self.soft_deadline_s + seconds, deadline_s=self.deadline_s + seconds
        )


@register_record
class EngineJob(Record):
    """A request that needs an engine.

    Attributes:
        job_id (str): Unique to the daemon and the attempt.
        part_ids (tuple of str): Hashes of the prompt's parts, in order.
        part_tokens (tuple of int): Their tokens.
        tokens_in (int): Prompt tokens.
        tokens_out (int): Most tokens to generate.
        priority (int): 0 is the most urgent.
        first_byte_deadline_s (float): When its answer must have begun; monotonic seconds of the
            scheduler, relative to now on the wire.
        deadline_s (float): When the request ends; likewise.
        excluded (tuple of str): Targets that have failed this request.
        input_domains (tuple of str): Failure domains that hold its stage results.
        input_bytes (tuple of int): Size of the results in each of them.
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
    )
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
    )

    def shift(self, seconds):
        """Return a copy whose times are later by some seconds."""
        return self.replace(
            first_byte_deadline_s=self.first_byte_deadline_s + seconds, deadline_s=self.deadline_s + seconds
        )


def sum_remote_bytes(job, failure_domain):
    """Return how many bytes of a job's inputs lie in other failure domains."""
    sizes = zip(job.input_domains, job.input_bytes, strict=True)
    return sum(size for domain, size in sizes if domain != failure_domain)


class Piece:
    """One piece of a job.

    Attributes:
        job (PieceJob): The job.
        number (int): Number of the piece, from 0.
        tries (int): Calls that have failed to make it.
    """

    __slots__ = ("job", "number", "tries")

    def __init__(self, job, number):
        self.job = job
        self.number = number
        self.tries = 0
