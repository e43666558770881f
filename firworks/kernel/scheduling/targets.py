"""A daemon's local state of targets and of the calls placed on them."""

from collections import deque

from firworks.kernel.admission import AdaptiveLimit
from firworks.kernel.health import TargetHealth

MAX_REPORT_AGE_S = 10.0
MIN_PACE_PERIOD_S = 0.5
FIRST_CHECK_DELAY_S = 0.1


class PlacedCall:
    """A call in flight at a target.

    Attributes:
        call (CallRequested): The call.
        target (TargetState): The target.
        due_s (float): Kernel time by which the stage must be complete.
        load_factor (float): Load of the target when the call was placed, this call
            included, relative to its capacity; at least 1.
        started_s (float): Kernel time of the placement.
        progress_s (float): Kernel time of the last progress on this call.
        streaming (bool): Chunks of the response have arrived.
        pace_start_s (float): Start of the current pace measurement.
        tokens (int): Tokens received since `pace_start_s`.
        check_s (float): Kernel time of the next check for slowness.
        hedged (bool): A hedge was advised for this call.
    """

    __slots__ = (
        "call",
        "target",
        "due_s",
        "load_factor",
        "started_s",
        "progress_s",
        "streaming",
        "pace_start_s",
        "tokens",
        "check_s",
        "hedged",
    )

    def __init__(self, call, target, due_s, load_factor, now):
        self.call = call
        self.target = target
        self.due_s = due_s
        self.load_factor = load_factor
        self.started_s = now
        self.progress_s = now
        self.streaming = False
        self.pace_start_s = now
        self.tokens = 0
        self.check_s = now + FIRST_CHECK_DELAY_S
        self.hedged = False

    def record_chunk(self, tokens, now):
        """Record progress and the tokens of a response chunk.

        Args:
            tokens (int): Tokens in the chunk.
            now (float): Kernel time.

        Returns:
            float: Pace in seconds per token since the last measurement; 0 if the
                current one is not complete yet.
        """
        self.progress_s = now
        self.target.health.last_progress_s = now
        if not self.streaming:
            self.streaming = True
            self.pace_start_s = now
            return 0.0
        self.tokens += tokens
        elapsed = now - self.pace_start_s
        if elapsed < MIN_PACE_PERIOD_S or not self.tokens:
            return 0.0
        pace = elapsed / self.tokens
        self.pace_start_s = now
        self.tokens = 0
        return pace


class TargetState:
    """A daemon's local state of one target of one pool.

    Attributes:
        name (str): The target's name.
        index (int): Position in the pool's target list.
        failure_domain (str): Empty while the VM list does not contain it.
        calls (dict of int to PlacedCall): This daemon's calls in flight, by call id.
        leaving (bool): Draining; gets no new calls.
        down_s (float): Kernel time when it was reported down; infinite if it is up.
        report_s (float): Kernel time at which its last load report was measured.
        reported_other_load (float): Requests of other daemons in that report.
        report_capacity (int): Concurrent requests by its last report, or 0.
        peer_calls (int): Calls in flight there that peers have published.
        concurrency (int): Configured concurrency limit.
        limit (AdaptiveLimit): Concurrency limit while it reports no capacity.
        health (TargetHealth): Failures, latency and ejection state.
        in_subset (bool): Part of this daemon's subset of the pool.
    """

    __slots__ = (
        "name",
        "index",
        "failure_domain",
        "calls",
        "leaving",
        "down_s",
        "report_s",
        "reported_other_load",
        "report_capacity",
        "peer_calls",
        "concurrency",
        "limit",
        "health",
        "in_subset",
        "_ended",
    )

    def __init__(self, name, index, concurrency):
        self.name = name
        self.index = index
        self.failure_domain = ""
        self.calls = {}
        self.leaving = False
        self.down_s = float("inf")
        self.report_s = float("-inf")
        self.reported_other_load = 0.0
        self.report_capacity = 0
        self.peer_calls = 0
        self.set_concurrency(concurrency)
        self.health = TargetHealth()
        self.in_subset = False
        self._ended = deque()

    def set_concurrency(self, concurrency):
        """Set the configured concurrency and restart the adaptive limit from it."""
        self.concurrency = concurrency
        self.limit = AdaptiveLimit(concurrency)

    @property
    def capacity(self):
        """Requests the target runs at once: as reported, else the adaptive limit."""
        return self.report_capacity or self.limit.value

    def is_down(self, now, retry_s):
        """Return whether it was reported down within the last `retry_s` seconds."""
        return self.down_s <= now < self.down_s + retry_s

    def remove_call(self, placed, now):
        """Remove a call; its start and end are kept for reports measured earlier."""
        self.calls.pop(placed.call.call_id, None)
        self._ended.append((placed.started_s, now))
        while self._ended and self._ended[0][1] < now - MAX_REPORT_AGE_S:
            self._ended.popleft()

    def count_own_calls_at(self, at_s):
        """Return this daemon's number of calls in flight there at a past time."""
        running = sum(placed.started_s <= at_s for placed in self.calls.values())
        ended = sum(start <= at_s < end for start, end in self._ended)
        return running + ended

    def record_report(self, report):
        """Apply a `TargetReported`; one measured before the last is ignored.

        The load of other daemons is the reported load less this daemon's calls in
        flight when it was measured. A report measured after the target was reported
        down marks it up again.
        """
        if report.measured_s < self.report_s:
            return
        self.report_s = report.measured_s
        self.report_capacity = report.capacity
        total = report.running + report.queued
        self.reported_other_load = max(
            0.0, total - self.count_own_calls_at(report.measured_s)
        )
        if report.measured_s > self.down_s:
            self.down_s = float("inf")
