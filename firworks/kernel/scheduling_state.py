"""What the scheduler knows of pools, targets and placed calls."""

from collections import deque

from xxhash import xxh64_intdigest

from firworks.kernel.admission import LearnedLimit, PoolQueue
from firworks.kernel.budgets import LatencyHistogram
from firworks.kernel.codec import register_record
from firworks.kernel.health import (
    REPORT_SILENCE_INTERVALS,
    REPORT_SILENCE_S,
    PoolHealth,
    TargetHealth,
)
from firworks.kernel.messages import Record
from firworks.kernel.prefixes import PrefixIndex, rank_target

HISTORY_S = 10.0
PACE_PERIOD_S = 0.5
PEER_LOAD_TTL_S = 3.0
SUBSET_SIZE = 24
WHOLE_POOL_SIZE = 48
DEFAULT_TYPICAL_S = 0.2
FEWEST_SAMPLES = 5
REPORT_HALF_LIFE_S = 1.0


@register_record
class PoolLoad(Record):
    """One daemon's calls in flight in one pool.

    Attributes:
        layout (int): Hash of the pool's target list that the indexes refer to.
        indexes (tuple of int): Targets with calls in flight.
        counts (tuple of int): Calls in flight there.
        ejected (tuple of int): Targets that the daemon has ejected.
    """

    __slots__ = ("layout", "indexes", "counts", "ejected")
    TYPES = (int, (int,), (int,), (int,))


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
        self.hedged = False

    def record_part(self, tokens, now):
        """Count a part of the answer.

        Args:
            tokens (int): Tokens in it.
            now (float): Kernel time.

        Returns:
            float: Seconds per token since the last measurement; 0 when it is too
                early for another.
        """
        self.progress_s = now
        self.target.health.answered_s = now
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
        report_others (float): Other daemons' requests there at that time.
        report_capacity (int): Capacity that it reports, or 0.
        peer_count (int): Requests there that peers have told of.
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
        "report_others",
        "report_capacity",
        "peer_count",
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
        self.report_others = 0.0
        self.report_capacity = 0
        self.peer_count = 0
        self.set_concurrency(concurrency)
        self.health = TargetHealth()
        self.in_subset = False
        self._ended = deque()

    def set_concurrency(self, concurrency):
        """Start learning the limit from the document's concurrency."""
        self.concurrency = concurrency
        self.limit = LearnedLimit(concurrency)

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
        while self._ended and self._ended[0][1] < now - HISTORY_S:
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
        self.report_others = max(0.0, total - self.count_own(report.measured_s))
        if report.measured_s > self.down_s:
            self.down_s = float("inf")


class PoolState:
    """One pool of the document in force.

    Args:
        pool (Pool): From the document.
        routing (object): The routing policy's instance for this pool.
        daemon_name (str): Decides the subset of a large pool.
    """

    def __init__(self, pool, routing, daemon_name):
        self.pool = pool
        self.routing = routing
        self.targets = [
            TargetState(name, index, pool.concurrency)
            for index, name in enumerate(pool.targets)
        ]
        self.by_name = {target.name: target for target in self.targets}
        self.queue = PoolQueue(pool.queue == "fair")
        self.prefixes = PrefixIndex()
        self.weights = {}
        self.latencies = {}
        self.first_tokens = {}
        self.in_flight = 0
        self.newest_report_s = float("-inf")
        self.report_interval_s = 0.0
        self.layout = xxh64_intdigest("\n".join(pool.targets).encode()) >> 1
        self.subset = self._choose_subset(daemon_name.encode())
        for target in self.subset:
            target.in_subset = True
        self.peer_loads = {}
        self._set_health()

    def adopt(self, old):
        """Keep what was learned under the document that was in force before.

        Args:
            old (PoolState): The pool of the same name.
        """
        self.latencies = old.latencies
        self.first_tokens = old.first_tokens
        self.prefixes = old.prefixes
        self.in_flight = old.in_flight
        for index, target in enumerate(self.targets):
            known = old.by_name.get(target.name)
            if known is not None:
                self._adopt_target(index, known)
        self._set_health()

    def _adopt_target(self, index, known):
        known.index = index
        known.in_subset = self.targets[index].in_subset
        known.peer_count = 0
        if self.pool.concurrency != known.concurrency:
            known.set_concurrency(self.pool.concurrency)
        position = next(
            (i for i, t in enumerate(self.subset) if t.name == known.name), None
        )
        if position is not None:
            self.subset[position] = known
        self.targets[index] = known
        self.by_name[known.name] = known

    def _set_health(self):
        health = [target.health for target in self.targets]
        self.health = PoolHealth(health, self.pool.ejection_share)

    def check_reports(self, now):
        """Eject targets that stopped reporting while others of the pool report."""
        if not self.report_interval_s:
            return
        silence = max(
            REPORT_SILENCE_S, REPORT_SILENCE_INTERVALS * self.report_interval_s
        )
        for target in self.targets:
            if target.report_s == float("-inf"):
                continue
            if self.newest_report_s - target.report_s > silence:
                self.health.keep_out(target.health, now)

    def has_reported_since_ejection(self, target, now):
        """Return whether an ejected target shows a sign of life by a report.

        True also where reports do not tell: it never reported, or the whole pool
        is silent.
        """
        if target.report_s == float("-inf"):
            return True
        if now - self.newest_report_s > HISTORY_S:
            return True
        return target.report_s > target.health.ejected_s

    def has_spare(self, share, now):
        """Return whether less than `share` of the capacity is in use."""
        usable = [t for t in self.subset if not t.leaving and not t.health.ejected]
        load = sum(self.load(target, now) for target in usable)
        return load < share * sum(target.capacity for target in usable)

    def _choose_subset(self, key):
        if len(self.targets) <= WHOLE_POOL_SIZE:
            return list(self.targets)
        ranked = sorted(self.targets, key=lambda t: rank_target(key, t.name))
        return ranked[:SUBSET_SIZE]

    def typical(self, call, quantile=0.5):
        """Return a latency quantile in seconds of the call's stage in this pool."""
        return self._quantile(self.latencies, call, quantile) or DEFAULT_TYPICAL_S

    def typical_first_token(self, call, quantile=0.5):
        """Return a quantile of the time to first token in seconds; 0 when unknown."""
        return self._quantile(self.first_tokens, call, quantile)

    def knows(self, call):
        """Return whether enough latencies of the call's stage were measured."""
        histogram = self.latencies.get((call.pipeline, call.stage))
        return histogram is not None and histogram.total >= FEWEST_SAMPLES

    def observe(self, call, latency_s, first_token_s):
        """Count a whole answer's latency."""
        key = (call.pipeline, call.stage)
        self.latencies.setdefault(key, LatencyHistogram()).add(latency_s)
        if first_token_s > 0:
            self.first_tokens.setdefault(key, LatencyHistogram()).add(first_token_s)

    def _quantile(self, histograms, call, quantile):
        histogram = histograms.get((call.pipeline, call.stage))
        if histogram is None or histogram.total < FEWEST_SAMPLES:
            return 0.0
        return histogram.quantile(quantile)

    def record_peer_load(self, load, origin, now):
        """Replace what a peer told of its calls in flight.

        Args:
            load (PoolLoad): Its fact; one about another target list is ignored.
            origin (str): The peer's name.
            now (float): Kernel time.
        """
        if load.layout != self.layout:
            return
        self.forget_peer_load(origin)
        pairs = [
            (index, count)
            for index, count in zip(load.indexes, load.counts, strict=False)
            if 0 <= index < len(self.targets)
        ]
        for index, count in pairs:
            self.targets[index].peer_count += count
        self.peer_loads[origin] = (now, pairs)
        for index in load.ejected:
            if 0 <= index < len(self.targets):
                self.health.record_vote(self.targets[index].health, origin, now)

    def forget_peer_load(self, origin):
        """Drop what a peer told of its calls in flight."""
        for index, count in self.peer_loads.pop(origin, (0.0, ()))[1]:
            self.targets[index].peer_count -= count

    def expire_peer_loads(self, now):
        """Drop what peers told too long ago."""
        times = {origin: at for origin, (at, _) in self.peer_loads.items()}
        for origin in [o for o, at in times.items() if now - at > PEER_LOAD_TTL_S]:
            self.forget_peer_load(origin)

    def make_load(self):
        """Return this daemon's own `PoolLoad`."""
        busy = [target for target in self.targets if target.calls]
        return PoolLoad(
            self.layout,
            tuple(target.index for target in busy),
            tuple(len(target.calls) for target in busy),
            tuple(t.index for t in self.targets if t.health.first_hand),
        )

    def record_report(self, target, report):
        """Take in a target's report and the pool's usual interval between reports."""
        interval = report.measured_s - target.report_s
        target.record_report(report)
        if 0 < interval < HISTORY_S:
            step = 0.2 * (interval - self.report_interval_s)
            self.report_interval_s += step if self.report_interval_s else interval
        self.newest_report_s = max(self.newest_report_s, report.measured_s)

    def load(self, target, now):
        """Return the estimated requests in progress at a target, of all daemons.

        A report is corrected by this daemon's calls since it was measured. Where
        peers' own counts are newer than the report, they replace it.
        """
        own = len(target.calls)
        age = now - target.report_s
        if age <= HISTORY_S:
            weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
            others = target.report_others
            return own + weight * others + (1 - weight) * target.peer_count
        return own + target.peer_count
