"""What a scheduler knows of each target of a stage pool."""

# Weight of the newest call in the measured speed of a target.
SPEED_WEIGHT = 0.5
SPEED_LIMIT = 20.0
# A call that exceeds its prediction by this factor and time has failed.
OVERDUE_FACTOR = 2.5
OVERDUE_MARGIN_S = 0.35
# Pause after a failure, doubled by each further one.
FIRST_PAUSE_S = 0.5
# Results that nobody gives up go within the time that targets keep them; most of them
# were made well before they were noticed.
UNKNOWN_EXPIRY_SHARE = 0.25
LONGEST_PAUSE_S = 8.0


class StageCall:
    """One call of a target for several pieces.

    Attributes:
        call_id (int): Unique in the scheduler.
        target (Target): Whom to call.
        pieces (list of Piece): What to make.
        started_s (float): When it was sent.
        due_s (float): When its answer is expected.
        overdue_s (float): When to give it up.
        begun_s (float or None): When the target is known to have begun it.
        read (bool): The target has fetched its inputs, if there are any.
    """

    __slots__ = (
        "call_id",
        "target",
        "pieces",
        "started_s",
        "due_s",
        "overdue_s",
        "begun_s",
        "read",
    )

    def __init__(self, call_id, target, pieces, started_s, due_s, overdue_s):
        self.call_id = call_id
        self.target = target
        self.pieces = pieces
        self.started_s = started_s
        self.due_s = due_s
        self.overdue_s = overdue_s
        self.begun_s = None
        self.read = not any(piece.job.inputs for piece in pieces)


class StageWorker:
    """One target of a stage pool.

    Attributes:
        target (Target): The target.
        calls (dict of int to StageCall): In progress or waiting there.
        speed (float): Measured time of calls over their nominal time.
        held_bytes (int): Size of the results that it keeps for requests.
        freeing_bytes (int): Share of them that it is being told to give up.
        paused_until_s (float): No call before, after failures.
    """

    __slots__ = (
        "target",
        "calls",
        "speed",
        "held_bytes",
        "freeing_bytes",
        "_unknown_bytes",
        "_unknown_s",
        "paused_until_s",
        "_failures",
    )

    def __init__(self, target):
        self.target = target
        self.calls = {}
        self.speed = 1.0
        self.held_bytes = 0
        self.freeing_bytes = 0
        self._unknown_bytes = 0
        self._unknown_s = 0.0
        self.paused_until_s = 0.0
        self._failures = 0

    @property
    def free_s(self):
        """When its last call is expected to end; 0 without calls."""
        return max((call.due_s for call in self.calls.values()), default=0.0)

    def is_ready(self, slots, ahead_s, now):
        """Return whether a call that is sent now would wait for no other one for long.

        Args:
            slots (int): Calls that the target runs at once.
            ahead_s (float): How long before its last call ends it counts as ready.
            now (float): Monotonic seconds.
        """
        if len(self.calls) < slots:
            return True
        return len(self.calls) == slots and self.free_s - ahead_s <= now

    def predict(self, nominal_s, now):
        """Return when a call that is sent now is expected to end."""
        return max(now, self.free_s) + nominal_s * self.speed

    def add(self, call):
        """Take in a call that is being sent."""
        if not self.calls:
            call.begun_s = call.started_s
        self.calls[call.call_id] = call

    def remove(self, call_id, now):
        """Take out a call that has ended; the next one has begun then.

        Returns:
            StageCall or None: The call, if it was one of this target's.
        """
        call = self.calls.pop(call_id, None)
        if call is not None and self.calls:
            following = next(iter(self.calls.values()))
            if following.begun_s is None:
                following.begun_s = now
        return call

    def note_answer(self, call, nominal_s, now):
        """Take in the answer to a call."""
        begun_s = max(
            [call.started_s]
            + [other.due_s for other in self.calls.values() if other.due_s < call.due_s]
        )
        measured = min(SPEED_LIMIT, max(0.1, (now - begun_s) / nominal_s))
        self.speed += SPEED_WEIGHT * (measured - self.speed)
        self._failures = 0

    def note_memory_full(self, spec, now):
        """Take in that it had no room for a result.

        Results of which this scheduler knows nothing take it up: those of another one
        that ended. They expire one after the other.
        """
        begun = sum(
            piece.job.result_bytes
            for call in self.calls.values()
            for piece in call.pieces
        )
        self._unknown_bytes = max(0, spec.memory_bytes - (self.held_bytes - begun))
        self._unknown_s = now

    def estimate_free_bytes(self, spec, now):
        """Return the bytes of results that it is expected to have room for."""
        length_s = UNKNOWN_EXPIRY_SHARE * spec.result_ttl_s
        left = max(0.0, 1.0 - (now - self._unknown_s) / length_s)
        unknown = int(self._unknown_bytes * left)
        return spec.memory_bytes - self.held_bytes - unknown

    def note_failure(self, now):
        """Take in that a call failed; the target rests for a time."""
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        self._failures += 1
        self.paused_until_s = now + pause_s

    def pause_until(self, until_s):
        """Take in that the target has no room for a call until then."""
        self.paused_until_s = max(self.paused_until_s, until_s)


def estimate_completion_s(spec, workers, pieces, now):
    """Return the seconds until targets of usual speed have made some pieces.

    Args:
        spec (StagePoolSpec): What each target can do.
        workers (list of StageWorker): The targets; not empty.
        pieces (int): How many, from the next one that is to be called for.
        now (float): Monotonic seconds.
    """
    frees = sorted(max(now, worker.free_s) for worker in workers)
    calls = -(-pieces // spec.batch)
    rounds, index = divmod(calls - 1, len(frees))
    last_size = pieces - (calls - 1) * spec.batch
    full_s = spec.estimate_call_s(spec.batch)
    return frees[index] - now + rounds * full_s + spec.estimate_call_s(last_size)
