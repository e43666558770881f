"""What targets say of themselves in their answers, and what follows for this daemon.

Load pattern: a target is about to stop, or has more work than it can take, and says so
to the daemons that it answers, before the store has its word or while the store is
away. One that leaves gets nothing more until it has started anew. One that wants no
work for a time gets none from this daemon until that is over, and then one request at a
time until it has taken one: all that waited would else come at one moment.
"""

from firworks.kernel.messages import Struct

# A target that asks for longer is asked again after this time: it may have meant
# milliseconds, or have written a date of another clock.
MAX_BACKOFF_S = 120.0
# After a rest, a request that is not answered holds others up for this time.
PROBE_TIMEOUT_S = 1.0
# A run to which nothing was sent for this time after its rest is forgotten.
FORGET_AFTER_S = 10.0


class Notice(Struct):
    """What an answer says of its target.

    Attributes:
        leaving (bool): The target is about to stop.
        rest_s (float): It wants no work from this daemon for so long; 0 without a wish.
        odd (str): A wish that could not be followed as it was written, or empty.
    """

    __slots__ = ("leaving", "rest_s", "odd")


EMPTY_NOTICE = Notice(False, 0.0, "")


class _Rest:
    """A target's wish; times in monotonic seconds."""

    __slots__ = ("until_s", "probed_s")

    def __init__(self, until_s):
        self.until_s = until_s
        self.probed_s = float("-inf")


class TargetBackoffs:
    """Runs of targets that want no work from this daemon for a time."""

    def __init__(self):
        self._rests = {}

    @property
    def any(self):
        """Whether some run rests, or has not taken a request since."""
        return bool(self._rests)

    def note(self, run, rest_s, now):
        """Take in that a run wants no work; return until when.

        Args:
            run (tuple): Of the target.
            rest_s (float): Seconds.
            now (float): Monotonic seconds.
        """
        until_s = now + min(rest_s, MAX_BACKOFF_S)
        rest = self._rests.setdefault(run, _Rest(until_s))
        rest.until_s = max(rest.until_s, until_s)
        return rest.until_s

    def note_taken(self, run, now):
        """Take in that a run has taken a request after its rest."""
        rest = self._rests.get(run)
        if rest is not None and rest.until_s <= now:
            del self._rests[run]

    def note_sent(self, run, now):
        """Take in that a request is sent to a run."""
        rest = self._rests.get(run)
        if rest is not None:
            rest.probed_s = now

    def get_wait_s(self, run, now):
        """Return the seconds until a request may be sent to a run."""
        rest = self._rests.get(run)
        if rest is None:
            return 0.0
        return max(0.0, rest.until_s - now, rest.probed_s + PROBE_TIMEOUT_S - now)

    def expire(self, now):
        """Forget runs whose rest was over long ago; a new run has none."""
        for run, rest in list(self._rests.items()):
            if rest.until_s + FORGET_AFTER_S <= now:
                del self._rests[run]
