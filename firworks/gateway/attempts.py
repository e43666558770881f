"""One attempt of a request at a target."""

import asyncio


class Attempt:
    """An attempt of a request, which may compete with another one for the answer.

    Args:
        policy (ExtraAttemptPolicy): Gets its times.
        clock (callable): Returns monotonic seconds.
        context (RequestContext): The request.
        race (AttemptRace or None): Where it competes with another one; None if alone.
        avoided (Target or None): Target of the first attempt, if this is an extra one;
            another failure domain than the target's is preferred.

    Attributes:
        target (Target or None): Where it was sent, or is about to be; None before.
        tracked (TrackedAttempt or None): Its times; None before it was sent.
        is_lost (bool): The other attempt answers.
        has_answered (bool): It claimed the answer.
    """

    __slots__ = (
        "context",
        "avoided",
        "target",
        "tracked",
        "is_lost",
        "has_answered",
        "_policy",
        "_clock",
        "_race",
    )

    def __init__(self, policy, clock, context, race=None, avoided=None):
        self.context = context
        self.avoided = avoided
        self.target = None
        self.tracked = None
        self.is_lost = False
        self.has_answered = False
        self._policy = policy
        self._clock = clock
        self._race = race

    @property
    def is_extra(self):
        """Whether it began as the first attempt was slow."""
        return self.avoided is not None

    @property
    def competes(self):
        """Whether another attempt may answer instead."""
        return self._race is not None

    def note_sent(self, target):
        """Record that the request is being sent to a target."""
        self.target = target
        if not self.is_extra:
            self.context.set_target(target)
        if not self._policy.active:
            return
        kind = make_kind(self.context)
        now = self._clock()
        self.tracked = self._policy.begin(self.context.service, kind, now)
        if self._race is not None and not self.is_extra:
            self._race.schedule_checks()

    def claim(self):
        """Make this the attempt that answers the caller; abandon the other one.

        Raises:
            CancelledError: When the other one answers.
        """
        if self.is_lost:
            # Its task was cancelled, but has not been resumed since.
            raise asyncio.CancelledError
        if self.has_answered:
            return
        self.has_answered = True
        self.context.set_target(self.target)
        self._finish_tracking(True)
        if self._race is not None:
            self._race.settle(self)

    def finish(self):
        """Record the end of an attempt."""
        self._finish_tracking(False)

    def is_held(self):
        """Return whether its target held it until the other attempt answered."""
        if not self.is_lost or self.tracked is None:
            return False
        return self.tracked.is_held(self._clock())

    def _finish_tracking(self, answered):
        if self.tracked is not None and not self.tracked.has_ended:
            self._policy.end(self.tracked, answered, self._clock())


def make_kind(context):
    """Return what the latency of a request is compared with (tuple).

    The time until an engine's first event grows with the prompt: requests are told
    apart by its size, in steps of a factor of 4.
    """
    prompt = context.admitted.request.prompt
    size = 0 if prompt is None else prompt.tokens_in.bit_length() // 2
    return (context.service, context.admitted.route.name, size)
