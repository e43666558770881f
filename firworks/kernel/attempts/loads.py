"""Load of a service as one gateway can tell it from its own attempts.

Load pattern: a service is busy or slow as a whole. Its targets refuse work, or most
attempts take longer than was usual, or the attempts in progress use up the slots of
its targets. An extra attempt would then take capacity from first attempts.
"""

from math import exp

from firworks.kernel.attempts.conditions import has_spare_capacity

# Time constant of the average number of attempts in progress.
LOAD_DECAY_S = 5.0
# Time constant of the numbers of attempts and of slow ones.
SLOW_DECAY_S = 10.0
# A service has capacity to spare below this share of its slots. Queues of services with
# few slots grow steeply above it.
SPARE_SHARE = 0.7
# One target in ten that is slow, and the 5% above a quantile of 0.95, make 15%.
MAX_SLOW_SHARE = 0.25
MIN_SLOW_ATTEMPTS = 5.0
# A refusal of a target counts for this long.
REFUSAL_S = 2.0


class DecayingAverage:
    """A value that approaches its input exponentially.

    Attributes:
        value (float): As of the last change.
    """

    __slots__ = ("value", "_decay_s", "_updated_s")

    def __init__(self, decay_s, now):
        self.value = 0.0
        self._decay_s = decay_s
        self._updated_s = now

    def advance(self, level, now):
        """Approach a level that has held since the last call; return the value."""
        share = exp(min(0.0, self._updated_s - now) / self._decay_s)
        self.value = level + (self.value - level) * share
        self._updated_s = max(now, self._updated_s)
        return self.value

    def add(self, amount, now):
        """Add to a value that decays to 0."""
        self.advance(0.0, now)
        self.value += amount


class ServiceLoad:
    """Attempts of this gateway at one service.

    Attempts that take longer than usual no longer count as in progress: they may be
    held by a target that has paused, which says nothing about the other targets.
    """

    __slots__ = ("_in_progress", "_average", "_begun", "_slow", "_refused_s")

    def __init__(self, now):
        self._in_progress = 0
        self._average = DecayingAverage(LOAD_DECAY_S, now)
        self._begun = DecayingAverage(SLOW_DECAY_S, now)
        self._slow = DecayingAverage(SLOW_DECAY_S, now)
        self._refused_s = float("-inf")

    def begin(self, now):
        """Count an attempt."""
        self._average.advance(self._in_progress, now)
        self._begun.add(1.0, now)
        self._in_progress += 1

    def end(self, now):
        """Count an attempt no longer as in progress."""
        self._average.advance(self._in_progress, now)
        self._in_progress -= 1

    def record_slow(self, now):
        """Count an attempt that takes longer than usual."""
        self._slow.add(1.0, now)

    def record_refusal(self, now):
        """Record that a target refused work as it is busy."""
        self._refused_s = now

    def is_busy(self, members, slots, now):
        """Return whether the service has no capacity to spare.

        Args:
            members (int): Gateways, which send to the service about equally much.
            slots (int): Requests that its usable targets run at once.
            now (float): Monotonic seconds.
        """
        if now - self._refused_s < REFUSAL_S:
            return True
        slow = self._slow.advance(0.0, now)
        begun = self._begun.advance(0.0, now)
        if slow >= MIN_SLOW_ATTEMPTS and slow > MAX_SLOW_SHARE * begun:
            return True
        load = members * self._average.advance(self._in_progress, now)
        return not has_spare_capacity(load, slots, SPARE_SHARE)
