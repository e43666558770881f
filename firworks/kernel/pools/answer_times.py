"""Measures the time from the end of the stages of a request to its first event.

Load pattern: engines near their capacity take 0.4 to 1 s until the first event, a third
of a latency goal or more. While stages reckoned with the time of an idle engine, all
kinds of request were served in the order of goals that none could meet any longer:
their stages ended in time, and their answers were just late.
"""

from collections import deque

# Samples of each service; a gateway sees 0.5 to 3 requests with stages a second.
MAX_SAMPLES = 32
# Samples do not count once they are older than two waves of the load.
MAX_AGE_S = 30.0
MIN_SAMPLES = 3
# Share of the samples that an estimate covers: an answer that is expected at its goal
# exactly is late in half of all cases.
COVERED_SHARE = 0.8
# An estimate takes at most this share of a latency goal. Under overload of the engines
# all requests would count as late, and no order would be left among them.
MAX_GOAL_SHARE = 0.5


class AnswerTimes:
    """Recent times from the end of the stages to the first event, by service."""

    def __init__(self):
        self._samples = {}

    def record(self, service, seconds, now):
        """Add the time of a request.

        Args:
            service (str): Service of its engines.
            seconds (float): From the end of its stages to the first event.
            now (float): Monotonic seconds.
        """
        samples = self._samples.setdefault(service, deque(maxlen=MAX_SAMPLES))
        samples.append((now, seconds))

    def estimate_s(self, service, goal_s, minimum_s, now):
        """Return the expected seconds from the end of the stages to the first event.

        Args:
            service (str): Service of the engines.
            goal_s (float): Latency goal of the request.
            minimum_s (float): Least time; the result while too few samples are known.
            now (float): Monotonic seconds.
        """
        samples = self._samples.get(service, ())
        times_s = sorted(time for at_s, time in samples if now - at_s <= MAX_AGE_S)
        if len(times_s) < MIN_SAMPLES:
            return minimum_s
        covered_s = times_s[int(COVERED_SHARE * (len(times_s) - 1) + 0.5)]
        return max(minimum_s, min(covered_s, MAX_GOAL_SHARE * goal_s))
