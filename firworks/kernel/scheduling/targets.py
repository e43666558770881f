"""Targets and the calls that run there, as one daemon sees them."""

from collections import deque

from firworks.kernel.admission import AdaptiveLimit
from firworks.kernel.health import TargetHealth

MAX_REPORT_AGE_S = 10.0
PACE_PERIOD_S = 0.5
FIRST_CHECK_S = 0.1


class PlacedCall:
    """A call that runs at a target.

    Attributes:
        call (CallRequested): The call.
        target (TargetState): Where it runs.
        due_s (float): Kernel time at which the stage must be done.
        crowding (float): Requests per place at the target when it was placed; at
            least 1.
        started_s (float): Kernel time of placing.
        progress_s (float): When the target last showed progress on it.
        streaming (bool): Parts of the answer have arrived.
        paced_s (float): Since when tokens are counted for the pace.
        tokens (int): Tokens since then.
        check_s (float): When to look again whether it is slow.
        hedged (bool): A hedge was advised.
    """

    __slots__ = (
        "call",
        "target",
        "due_s",
        "crowding",
        "started_s",
        "progress_s",
        "streaming",
        "paced_s",
        "tokens",
        "check_s",
        "hedged",
    )

    def __init__(self, call, target, due_s, crowding, now):
        self.call = call
        self.target = target
        self.due_s = due_s
        self.crowding = crowding
        self.started_s = now
        self.progress_s = now
        self.streaming = False
        self.paced_s = now
        self.tokens = 0
        self.check_s = now + FIRST_CHECK_S
        self.hedged = False

    def record_chunk(self, tokens, now):
        """Count a part of the answer.

        Args:
            tokens (int): Tokens in it.
            now (float): Kernel time.

        Returns:
            float: Seconds per token since the last measurement; 0 when it is too
                early for another.
        """
        self.progress_s = now
        self.target.health.last_progress_s = now
        if not self.streaming:
            self.streaming = True
            self.paced_s = now
            return 0.0
        self.tokens += tokens
        elapsed = now - self.paced_s
        if elapsed < PACE_PERIOD_S or not self.tokens:
            return 0.0
        pace = elapsed / self.tokens
        self.paced_s = now
        self.tokens = 0
        return pace


class TargetState:
    """One target of one pool, as this daemon sees it.

    Attributes:
        name (str): The target's name.
        index (int): Position in the pool's target list.
        failure_domain (str): Empty while the VM list does not say.
        calls (dict of int to PlacedCall): This daemon's calls there.
        leaving (bool): Gets no new work.
        down_s (float): When it was said to be gone; infinite while it is not.
        report_s (float): When its last report was measured.
        reported_other_load (float): Other daemons' requests there at that time.
        report_capacity (int): Capacity that it reports, or 0.
        peer_calls (int): Requests there that peers have told of.
        concurrency (int): The document's concurrency.
        limit (LearnedLimit): Used while it reports no capacity.
        health (TargetHealth): Failures and latency.
        in_subset (bool): In this daemon's share of a large pool.
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
        """Start learning the limit from the document's concurrency."""
        self.concurrency = concurrency
        self.limit = AdaptiveLimit(concurrency)

    @property
    def capacity(self):
        """Requests that the target runs at once."""
        return self.report_capacity or self.limit.value

    def is_down(self, now, retry_s):
        """Return whether the target was said to be gone within `retry_s`."""
        return self.down_s <= now < self.down_s + retry_s

    def record_end(self, placed, now):
        """Forget a call, but remember when it ran for reports measured earlier."""
        self.calls.pop(placed.call.call_id, None)
        self._ended.append((placed.started_s, now))
        while self._ended and self._ended[0][1] < now - MAX_REPORT_AGE_S:
            self._ended.popleft()

    def count_own(self, at_s):
        """Return this daemon's calls in flight there at an earlier time."""
        running = sum(placed.started_s <= at_s for placed in self.calls.values())
        ended = sum(start <= at_s < end for start, end in self._ended)
        return running + ended

    def record_report(self, report):
        """Take in a `TargetReported`; one measured earlier than known is ignored."""
        if report.measured_s < self.report_s:
            return
        self.report_s = report.measured_s
        self.report_capacity = report.capacity
        total = report.running + report.queued
        self.reported_other_load = max(0.0, total - self.count_own(report.measured_s))
        if report.measured_s > self.down_s:
            self.down_s = float("inf")
