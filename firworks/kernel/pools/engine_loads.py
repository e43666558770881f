"""What an engine of a pool has to do, as its scheduler knows it."""

from firworks.kernel.messages import Struct


class Reading(Struct):
    """A prompt whose first event has not come.

    Attributes:
        read_s (float): Seconds that an engine of usual speed reads it.
        placed_s (float): When it was placed; monotonic seconds.
        expected_s (float or None): Seconds from then to its first event, at the usual
            speed; None if another scheduler placed it.
    """

    __slots__ = ("read_s", "placed_s", "expected_s")


class EngineLoad:
    """Prompts to be read and requests that run on one engine.

    Engines read one prompt after the other.

    Args:
        target (Target): The engine.

    Attributes:
        running (int): Number of requests, those included whose prompt is to be read.
        reads (bool): Any prompt is to be read.
        slowness (float): Factor of its times over those of the usual speed.
        placed_s (float): When it last got a request; monotonic seconds.
    """

    __slots__ = (
        "target",
        "incarnation",
        "running",
        "reads",
        "slowness",
        "placed_s",
        "_jobs",
        "_readings",
        "_following_s",
        "_head_s",
        "_head_since_s",
    )

    def __init__(self, target):
        self.target = target
        self.incarnation = target.incarnation
        self.running = 0
        self.reads = False
        self.slowness = 1.0
        self.placed_s = float("-inf")
        self._jobs = set()
        self._readings = {}
        self._following_s = 0.0
        self._head_s = 0.0
        self._head_since_s = 0.0

    def estimate_wait_s(self, now):
        """Return when the engine will have read all prompts, in seconds from now.

        A prompt that is overdue is expected to take as long again as it is overdue, so
        that an engine that became slow, or stalls, does not look idle.
        """
        if not self.reads:
            return 0.0
        head_s = self.slowness * self._head_s - (now - self._head_since_s)
        return self.slowness * self._following_s + abs(head_s)

    def begin(self, job_id, reading, now):
        """Add a request (str) and its prompt (Reading)."""
        self.add_running(job_id)
        self.placed_s = now
        self._readings[job_id] = reading
        if len(self._readings) == 1:
            self._set_head(reading, now)
        else:
            self._following_s += reading.read_s

    def add_running(self, job_id):
        """Add a request (str) whose first event has come."""
        self._jobs.add(job_id)
        self.running = len(self._jobs)

    def pop_reading(self, job_id, now):
        """Return the `Reading` of a request whose first event has come, or None.

        Prompts placed before it have been read too, or do not report their first event
        (responses that are not streamed): they no longer count.
        """
        reading = self._readings.get(job_id)
        if reading is None:
            return None
        for earlier in list(self._readings):
            del self._readings[earlier]
            if earlier == job_id:
                break
        self._advance(now)
        return reading

    def end(self, job_id, now):
        """Remove a request (str)."""
        self._jobs.discard(job_id)
        self.running = len(self._jobs)
        if job_id in self._readings:
            is_head = job_id == next(iter(self._readings))
            reading = self._readings.pop(job_id)
            if is_head:
                self._advance(now)
            else:
                self._following_s -= reading.read_s

    def _advance(self, now):
        """Begin to read the next prompt."""
        self.reads = bool(self._readings)
        if self.reads:
            self._set_head(next(iter(self._readings.values())), now)

    def _set_head(self, reading, now):
        self.reads = True
        self._head_s = reading.read_s
        self._head_since_s = now
        readings = iter(self._readings.values())
        next(readings)
        self._following_s = sum(one.read_s for one in readings)
