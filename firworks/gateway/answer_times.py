"""Measures how long engines take to answer requests whose stages are done."""

from firworks.kernel.pools.answer_times import AnswerTimes


class AnswerTimeRecorder:
    """Records the time from the end of the stages to the first event.

    Args:
        gateway (Gateway): Provides settings, clock and metrics.
        minimum_s (float): Least time of an engine in seconds.
    """

    def __init__(self, gateway, minimum_s):
        self._gateway = gateway
        self._minimum_s = minimum_s
        self._times = AnswerTimes()

    def estimate_s(self, context):
        """Return the seconds (float) that stages of a request have to leave for it."""
        if not self._gateway.settings.stage_answer_times:
            return self._minimum_s
        goal_s = context.admitted.route.goal_s
        now = self._gateway.clock()
        return self._times.estimate_s(context.service, goal_s, self._minimum_s, now)

    def record(self, context):
        """Record that the first event of a request was received."""
        if context.staged_s is None:
            return
        now = self._gateway.clock()
        answer_s = now - context.staged_s
        context.staged_s = None
        self._times.record(context.service, answer_s, now)
        self._gateway.metrics.record_staged_answer(context.service, answer_s)
