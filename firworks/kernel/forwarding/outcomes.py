"""Retry policy for attempts that end without a usable response.

Load pattern: targets crash, reset connections, fail some of their requests or reject
them under load. A request that must not run twice is retried only if the target is
known not to have begun it. All retries draw on a budget, so that failures do not
multiply the load.
"""

from firworks.codes import Code
from firworks.kernel.messages import Struct

# The target states that it did not begin the request, or nothing was sent.
NOT_RUN = "not run"
# The response is missing, truncated or invalid: the request may have run.
BROKEN = "broken"
# The target reported a failure.
FAILED = "failed"
# Abandoned before a response, as its features crash targets: the request may have run.
SUSPENDED = "suspended"
# Stage results that the request needs no longer exist; it did not run.
INPUTS_GONE = "inputs gone"
# Not sent, as the stream may not begin, or go on, at the target's software version.
WRONG_VERSION = "wrong version"

# Statuses that promise callers that their request has not run and never will; callers
# then send it again, also one that may run only once.
NOT_RUN_STATUSES = (408, 421, 429, 503)

# Less time before the deadline is too short for a retry to succeed.
MIN_RETRY_TIME_S = 0.05
# Retry-After of refusals for which no better estimate exists.
DEFAULT_RETRY_AFTER_S = 0.5


class AttemptError(Exception):
    """An attempt at a target ended without a usable response.

    Attributes:
        kind (str): ``NOT_RUN``, ``BROKEN``, ``FAILED``, ``SUSPENDED``,
            ``INPUTS_GONE`` or ``WRONG_VERSION``.
        sent (bool): A target has read, or may have read, the request.
        detail (str): Description for the log.
        answer (object): The target's complete error response, or None.
        silent (bool): The target sent nothing until the attempt was abandoned.
        misdirected (bool): Another target responded at the address.
    """

    def __init__(
        self, kind, sent, detail, answer=None, silent=False, misdirected=False
    ):
        super().__init__(detail)
        self.kind = kind
        self.sent = sent
        self.detail = detail
        self.answer = answer
        self.silent = silent
        self.misdirected = misdirected

    @property
    def target_absent(self):
        """Whether the target was not found at its address."""
        return self.kind == NOT_RUN and (self.misdirected or not self.sent)

    @property
    def blames_target(self):
        """Whether the target is down or failing, as opposed to merely busy."""
        if self.kind == NOT_RUN:
            return self.target_absent
        return self.kind in (BROKEN, FAILED)


class RetryDecision(Struct):
    """What to do after a failed attempt.

    Attributes:
        retry (bool): Send the request to another target.
        code (Code): Code of the response to the caller if it is not retried.
    """

    __slots__ = ("retry", "code")


class Progress:
    """Outcome of the attempts of a request so far.

    Attributes:
        repeatable (bool): It may run more than once.
        max_attempts (int): Maximum number of targets that it may be sent to.
        resumable (bool): Its response may go on at another target once it has begun.
        sends (int): Number of targets that have read it, or may have.
        may_have_run (bool): A target may have begun it.
        has_begun (bool): Bytes of a response have gone to the caller.
    """

    __slots__ = (
        "repeatable",
        "max_attempts",
        "resumable",
        "sends",
        "may_have_run",
        "has_begun",
    )

    def __init__(self, repeatable, max_attempts, resumable=False):
        self.repeatable = repeatable
        self.max_attempts = max_attempts
        self.resumable = resumable
        self.has_begun = False
        self.sends = 0
        self.may_have_run = False

    def record(self, failure):
        """Record a failed attempt (AttemptError)."""
        self.sends += failure.sent
        self.may_have_run = self.may_have_run or failure.kind in (
            BROKEN,
            FAILED,
            SUSPENDED,
        )

    @property
    def may_retry(self):
        """Whether it may be sent to another target, time and budgets aside.

        Load pattern: connections to targets are reset in the middle of large responses.
        A second response must not follow the first bytes of another one.
        """
        if self.has_begun and not self.resumable:
            return False
        may_repeat = self.repeatable or not self.may_have_run
        return may_repeat and self.sends < self.max_attempts

    def may_state(self, status):
        """Whether a target's response that states nothing else may reach the caller.

        Load pattern: a target runs a request, fails, and responds as an overloaded one
        does. Only callers of requests that may be repeated can do with that status.

        Args:
            status (int): HTTP status of the response.
        """
        return self.repeatable or status not in NOT_RUN_STATUSES

    def correct(self, code):
        """Return a code that promises nothing if the request may have run.

        Args:
            code (Code): What the caller would be told if it had not.
        """
        if self.may_have_run and code.http_status in NOT_RUN_STATUSES:
            return Code.TARGET_FAILED
        return code

    def judge(self, failure, left_s, within_budget):
        """Return the `RetryDecision` after a failure that has been recorded.

        Args:
            failure (AttemptError): The failed attempt.
            left_s (float): Time until the deadline.
            within_budget (bool): The retry budget allows a retry.
        """
        time_left = left_s > MIN_RETRY_TIME_S
        if self.may_retry and time_left and within_budget:
            return RetryDecision(True, Code.OK)
        return RetryDecision(False, self.correct(Code.OVERLOADED))
