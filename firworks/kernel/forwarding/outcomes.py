"""What follows when an attempt at a target ends without a usable answer.

Load pattern: targets crash, reset, fail part of their requests or refuse under load.
Work that may not repeat is sent again only when the target is known not to have begun
it; everything sent again draws on a budget, so that failures don't multiply the load.
"""

from firworks.codes import Code
from firworks.kernel.messages import Struct

# The target states that it did not begin, or nothing was sent.
NOT_RUN = "not run"
# The answer is missing, cut or not one: the request may have run.
BROKEN = "broken"
# The target answered that it failed.
FAILED = "failed"
# Stage results that the request needs no longer exist; it did not begin.
INPUTS_GONE = "inputs gone"

# A retry needs this much time before the deadline to be of use.
MIN_RETRY_TIME_S = 0.05
# Sent back where nothing better is known.
DEFAULT_RETRY_AFTER_S = 0.5


class AttemptError(Exception):
    """An attempt at a target ended without a usable answer.

    Attributes:
        kind (str): One of the kinds above.
        sent (bool): A target has read, or may have read, the request.
        detail (str): For the log.
        answer (object): The target's own whole answer of a failure, or None.
        silent (bool): The target said nothing until the attempt was given up.
    """

    def __init__(self, kind, sent, detail, answer=None, silent=False):
        super().__init__(detail)
        self.kind = kind
        self.sent = sent
        self.detail = detail
        self.answer = answer
        self.silent = silent

    @property
    def blames_target(self):
        """Whether the target is down or failing, and not merely busy."""
        if self.kind == NOT_RUN:
            return not self.sent
        return self.kind in (BROKEN, FAILED)


class Verdict(Struct):
    """What to do after a failed attempt.

    Attributes:
        again (bool): Send the request to another target.
        code (Code): The answer otherwise.
    """

    __slots__ = ("again", "code")


class Progress:
    """What has happened to a request so far.

    Attributes:
        repeatable (bool): It may run more than once.
        max_attempts (int): Most targets that it may be sent to.
        sends (int): Targets that have or may have read it.
        ran (bool): A target may have begun it.
    """

    __slots__ = ("repeatable", "max_attempts", "sends", "ran")

    def __init__(self, repeatable, max_attempts):
        self.repeatable = repeatable
        self.max_attempts = max_attempts
        self.sends = 0
        self.ran = False

    def note(self, failure):
        """Take in a `AttemptError`."""
        self.sends += failure.sent
        self.ran = self.ran or failure.kind in (BROKEN, FAILED)

    def judge(self, failure, left_s, within_budget):
        """Return the `Verdict` after a failure that has been noted.

        Args:
            failure (AttemptError): How the attempt ended.
            left_s (float): Time until the deadline.
            within_budget (bool): The retry budget allows another send.
        """
        may_repeat = self.repeatable or not self.ran
        time_left = left_s > MIN_RETRY_TIME_S
        attempts_left = self.sends < self.max_attempts
        if may_repeat and time_left and attempts_left and within_budget:
            return Verdict(True, Code.OK)
        return Verdict(False, self._refusal(failure))

    def _refusal(self, failure):
        if not self.ran:
            return Code.OVERLOADED
        return Code.TARGET_FAILED
