"""Scheduler state of each target of a stage pool."""

import heapq

from firworks.kernel.pools.reported_loads import ReportedLoad

# Weight of the latest call in the moving average of a target's slowdown.
SLOWDOWN_WEIGHT = 0.5
MAX_SLOWDOWN = 20.0
# A call times out after its predicted duration times this factor, plus this margin.
OVERDUE_FACTOR = 2.5
OVERDUE_MARGIN_S = 0.35
# Back-off after a failure, doubled by each further one.
INITIAL_BACKOFF_S = 0.5
# Results that nobody frees expire within the retention time of the targets. Most are
# already old when they are noticed, so all are expected to expire within this share.
UNKNOWN_EXPIRY_SHARE = 0.25
MAX_BACKOFF_S = 8.0


class StageCall:
    """One call to a target with a batch of pieces.

    Attributes:
        call_id (int): Unique within the scheduler.
        target (Target): The target to call.
        pieces (list of Piece): The batch.
        started_s (float): When it was sent.
        due_s (float): When its answer is expected.
        overdue_s (float): When it times out.
        begun_s (float or None): When the target began to execute it, if it did.
        inputs_fetched (bool): Its inputs, if any, have been fetched.
    """

    __slots__ = (
        "call_id",
        "target",
        "pieces",
        "started_s",
        "due_s",
        "overdue_s",
        "begun_s",
        "inputs_fetched",
    )

    def __init__(self, call_id, target, pieces, started_s, due_s, overdue_s):
        self.call_id = call_id
        self.target = target
        self.pieces = pieces
        self.started_s = started_s
        self.due_s = due_s
        self.overdue_s = overdue_s
        self.begun_s = None
        self.inputs_fetched = not any(piece.job.inputs for piece in pieces)


class StageWorker:
    """State of one target of a stage pool.

    Attributes:
        target (Target): The target.
        calls (dict of int to StageCall): Calls in progress or queued at the target.
        slowdown (float): Moving average of the duration of calls over their nominal
            time.
        held_bytes (int): Size of the results that it retains, those of calls in flight
            included.
        freeing_bytes (int): Part of `held_bytes` that it is being told to free.
        reported (ReportedLoad): What it states about its speed.
        paused_until_s (float): No calls are sent before this time.
    """

    __slots__ = (
        "target",
        "calls",
        "slowdown",
        "held_bytes",
        "freeing_bytes",
        "_unknown_bytes",
        "_unknown_s",
        "paused_until_s",
        "_failures",
        "reported",
    )

    def __init__(self, target):
        self.target = target
        self.calls = {}
        self.slowdown = 1.0
        self.held_bytes = 0
        self.freeing_bytes = 0
        self._unknown_bytes = 0
        self._unknown_s = 0.0
        self.paused_until_s = 0.0
        self._failures = 0
        self.reported = ReportedLoad()

    @property
    def idle_from_s(self):
        """When its last call is expected to end (float); 0 without calls."""
        return max((call.due_s for call in self.calls.values()), default=0.0)

    def is_ready(self, slots, ahead_s, now):
        """Return whether a call sent now would hardly queue behind others.

        Args:
            slots (int): Calls that the target runs concurrently.
            ahead_s (float): How long before the end of its last call it is ready again.
            now (float): Monotonic seconds.
        """
        if len(self.calls) < slots:
            return True
        return len(self.calls) == slots and self.idle_from_s - ahead_s <= now

    def predict(self, nominal_s, now):
        """Return when a call sent now is expected to end."""
        slowdown = self.reported.combine(self.slowdown, now)
        return max(now, self.idle_from_s) + nominal_s * slowdown

    def add(self, call):
        """Add a call that is being sent."""
        if not self.calls:
            call.begun_s = call.started_s
        self.calls[call.call_id] = call

    def remove(self, call_id, now):
        """Remove a call that has ended; the target then begins the next one.

        Returns:
            StageCall or None: The call, or None if it is not one of this target.
        """
        call = self.calls.pop(call_id, None)
        if call is not None and self.calls:
            following = next(iter(self.calls.values()))
            if following.begun_s is None:
                following.begun_s = now
        return call

    def note_answer(self, call, nominal_s, now):
        """Update the slowdown from a completed call and reset the back-off."""
        begun_s = max(
            [call.started_s]
            + [other.due_s for other in self.calls.values() if other.due_s < call.due_s]
        )
        measured = min(MAX_SLOWDOWN, max(0.1, (now - begun_s) / nominal_s))
        self.slowdown += SLOWDOWN_WEIGHT * (measured - self.slowdown)
        self._failures = 0

    def note_memory_full(self, spec, now):
        """Record that the target had no memory for a result.

        The memory is taken up by results unknown to this scheduler, those of an earlier
        scheduler. They expire gradually.
        """
        in_flight_bytes = sum(
            piece.job.result_bytes
            for call in self.calls.values()
            for piece in call.pieces
        )
        self._unknown_bytes = max(
            0, spec.memory_bytes - (self.held_bytes - in_flight_bytes)
        )
        self._unknown_s = now

    def estimate_free_bytes(self, spec, now):
        """Return the expected free memory for results, in bytes."""
        expiry_s = UNKNOWN_EXPIRY_SHARE * spec.result_ttl_s
        remaining = max(0.0, 1.0 - (now - self._unknown_s) / expiry_s)
        unknown = int(self._unknown_bytes * remaining)
        return spec.memory_bytes - self.held_bytes - unknown

    def note_failure(self, now):
        """Back off after a failed call."""
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self.paused_until_s = now + pause_s

    def pause_until(self, until_s):
        """Send no calls before a time."""
        self.paused_until_s = max(self.paused_until_s, until_s)


def estimate_completion_s(spec, workers, pieces, now):
    """Return the seconds until targets of nominal speed complete some pieces.

    Args:
        spec (StagePoolSpec): Capacity of each target.
        workers (list of StageWorker): The targets; not empty.
        pieces (int): Number of pieces, counted from the head of the queue.
        now (float): Monotonic seconds.
    """
    idle_times_s = sorted(max(now, worker.idle_from_s) for worker in workers)
    calls = -(-pieces // spec.batch)
    rounds, index = divmod(calls - 1, len(idle_times_s))
    last_size = pieces - (calls - 1) * spec.batch
    full_s = spec.estimate_call_s(spec.batch)
    return idle_times_s[index] - now + rounds * full_s + spec.estimate_call_s(last_size)


def estimate_limited_completion_s(spec, workers, pieces, intervals_s, now):
    """Return the seconds until targets, some of them limited, complete some pieces.

    Args:
        spec (StagePoolSpec): Capacity of each target.
        workers (list of StageWorker): The targets; not empty.
        pieces (int): Number of pieces, counted from the head of the queue.
        intervals_s (dict of StageWorker to tuple): Seconds until the next call to each
            limited target, and between its calls.
        now (float): Monotonic seconds.
    """
    free, full_s = [], spec.estimate_call_s(spec.batch)
    for number, worker in enumerate(workers):
        wait_s, interval_s = intervals_s.get(worker, (0.0, 0.0))
        begin_s = max(now + wait_s, worker.idle_from_s)
        free.append((begin_s, number, max(full_s, interval_s)))
    heapq.heapify(free)
    last_begin_s = now
    for _ in range(-(-pieces // spec.batch)):
        last_begin_s, number, interval_s = heapq.heappop(free)
        heapq.heappush(free, (last_begin_s + interval_s, number, interval_s))
    last_size = pieces - (-(-pieces // spec.batch) - 1) * spec.batch
    return last_begin_s - now + spec.estimate_call_s(last_size)
