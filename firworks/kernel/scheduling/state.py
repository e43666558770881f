"""The scheduler's state of one pool: targets, queue, latencies and load."""

from xxhash import xxh64_intdigest

from firworks.kernel.admission import PoolQueue
from firworks.kernel.attempts.conditions import has_spare_capacity
from firworks.kernel.budgets import LatencyHistogram
from firworks.kernel.health import (
    REPORT_TIMEOUT_INTERVALS,
    REPORT_TIMEOUT_S,
    PoolHealth,
)
from firworks.kernel.prefixes import PrefixIndex, rank_target
from firworks.kernel.scheduling.targets import MAX_REPORT_AGE_S, TargetState

PEER_LOAD_TTL_S = 3.0
SUBSET_SIZE = 24
SUBSETTING_THRESHOLD = 48
DEFAULT_LATENCY_S = 0.2
MIN_SAMPLES = 5
REPORT_HALF_LIFE_S = 1.0
REPORT_CHECK_PERIOD_S = 0.5
UNREPORTED_PROBE_DELAY_S = 30.0


class PoolState:
    """State of one pool of the current configuration.

    Args:
        pool (Pool): The pool's configuration.
        routing (object): Instance of the routing policy for this pool.
        daemon_name (str): Determines this daemon's subset of a large pool.
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
        self.paces = {}
        self.in_flight = 0
        self.newest_report_s = float("-inf")
        self.report_interval_s = 0.0
        self._next_report_check_s = 0.0
        self.target_list_hash = xxh64_intdigest("\n".join(pool.targets).encode()) >> 1
        self.subset = self._choose_subset(daemon_name.encode())
        for target in self.subset:
            target.in_subset = True
        self.peer_loads = {}
        self._set_health()

    def adopt(self, old):
        """Take over the state of the same pool under the previous configuration.

        Args:
            old (PoolState): State of the pool of the same name.
        """
        self.latencies = old.latencies
        self.first_tokens = old.first_tokens
        self.paces = old.paces
        self.prefixes = old.prefixes
        self.in_flight = old.in_flight
        for index, target in enumerate(self.targets):
            old_target = old.by_name.get(target.name)
            if old_target is not None:
                self._adopt_target(index, old_target)
        self._set_health()

    def _adopt_target(self, index, old_target):
        old_target.index = index
        old_target.in_subset = self.targets[index].in_subset
        old_target.peer_calls = 0
        if self.pool.concurrency != old_target.concurrency:
            old_target.set_concurrency(self.pool.concurrency)
        position = next(
            (i for i, t in enumerate(self.subset) if t.name == old_target.name), None
        )
        if position is not None:
            self.subset[position] = old_target
        self.targets[index] = old_target
        self.by_name[old_target.name] = old_target

    def _set_health(self):
        health = [target.health for target in self.targets]
        self.health = PoolHealth(health, self.pool.ejection_share)

    def check_reports(self, now):
        """Eject targets that stopped reporting while others of the pool report.

        Only targets of the subset are checked, as others are not polled. One that
        makes progress on calls is not ejected.
        """
        if not self.report_interval_s or now < self._next_report_check_s:
            return
        self._next_report_check_s = now + REPORT_CHECK_PERIOD_S
        timeout_s = REPORT_TIMEOUT_INTERVALS * self.report_interval_s
        oldest_s = self.newest_report_s - max(REPORT_TIMEOUT_S, timeout_s)
        for target in self.subset:
            if target.report_s == float("-inf") or target.report_s >= oldest_s:
                continue
            if target.health.last_progress_s < oldest_s and not self._is_probe_due(
                target, now
            ):
                self.health.keep_ejected(target.health, now)

    def has_reported_since_ejection(self, target, now):
        """Return whether an ejected target has sent a report since its ejection.

        Also true if reports are no evidence: the target has never reported, is not in
        the subset, was ejected long ago, or the whole pool has stopped reporting.
        """
        if target.report_s == float("-inf") or not target.in_subset:
            return True
        if now - self.newest_report_s > MAX_REPORT_AGE_S or self._is_probe_due(
            target, now
        ):
            return True
        return target.report_s > target.health.ejected_s

    def _is_probe_due(self, target, now):
        """Return whether to probe an ejected target even though it does not report."""
        health = target.health
        return health.ejected and now - health.ejected_s > UNREPORTED_PROBE_DELAY_S

    def has_spare_capacity(self, share, now):
        """Return whether the subset's load is below `share` of its capacity."""
        usable = [t for t in self.subset if not t.leaving and not t.health.ejected]
        load = sum(self.load(target, now) for target in usable)
        capacity = sum(target.capacity for target in usable)
        return has_spare_capacity(load, capacity, share)

    def _choose_subset(self, key):
        if len(self.targets) <= SUBSETTING_THRESHOLD:
            return list(self.targets)
        ranked = sorted(self.targets, key=lambda t: rank_target(key, t.name))
        return ranked[:SUBSET_SIZE]

    def estimate_latency(self, call, quantile=0.5):
        """Return a latency quantile of the call's stage in seconds, or a default."""
        return self._quantile(self.latencies, call, quantile) or DEFAULT_LATENCY_S

    def estimate_first_token(self, call, quantile=0.5):
        """Return a quantile of the time to first token in seconds; 0 if unknown."""
        return self._quantile(self.first_tokens, call, quantile)

    def estimate_pace(self, call):
        """Return the median seconds per token of the call's stage; 0 if unknown."""
        return self._quantile(self.paces, call, 0.5)

    def observe_pace(self, call, pace):
        """Record the pace of a stream in seconds per token."""
        key = (call.pipeline, call.stage)
        self.paces.setdefault(key, LatencyHistogram()).add(pace)

    def has_samples(self, call):
        """Return whether there are enough latency samples of the call's stage."""
        histogram = self.latencies.get((call.pipeline, call.stage))
        return histogram is not None and histogram.total >= MIN_SAMPLES

    def observe(self, call, latency_s, first_token_s):
        """Record the latency of a complete response, in seconds.

        A `first_token_s` of 0 means that there was no token.
        """
        key = (call.pipeline, call.stage)
        self.latencies.setdefault(key, LatencyHistogram()).add(latency_s)
        if first_token_s > 0:
            self.first_tokens.setdefault(key, LatencyHistogram()).add(first_token_s)

    def _quantile(self, histograms, call, quantile):
        histogram = histograms.get((call.pipeline, call.stage))
        if histogram is None or histogram.total < MIN_SAMPLES:
            return 0.0
        return histogram.quantile(quantile)

    def record_peer_load(self, load, origin, now):
        """Replace the calls in flight that a peer published; record its ejections.

        Args:
            load (PoolLoad): Ignored if it refers to another target list.
            origin (str): Name of the peer.
            now (float): Kernel time.
        """
        if load.target_list_hash != self.target_list_hash:
            return
        self.remove_peer_load(origin)
        pairs = [
            (index, count)
            for index, count in zip(load.indexes, load.counts, strict=False)
            if 0 <= index < len(self.targets)
        ]
        for index, count in pairs:
            self.targets[index].peer_calls += count
        self.peer_loads[origin] = (now, pairs)
        for index in load.ejected:
            if 0 <= index < len(self.targets):
                self.health.record_vote(self.targets[index].health, origin, now)

    def remove_peer_load(self, origin):
        """Remove the calls in flight that a peer published."""
        for index, count in self.peer_loads.pop(origin, (0.0, ()))[1]:
            self.targets[index].peer_calls -= count

    def expire_peer_loads(self, now):
        """Remove published loads older than `PEER_LOAD_TTL_S`."""
        times = {origin: at for origin, (at, _) in self.peer_loads.items()}
        for origin in [o for o, at in times.items() if now - at > PEER_LOAD_TTL_S]:
            self.remove_peer_load(origin)

    def record_report(self, target, report):
        """Apply a target's report and update the pool's smoothed report interval."""
        interval = report.measured_s - target.report_s
        target.record_report(report)
        if 0 < interval < MAX_REPORT_AGE_S:
            step = 0.2 * (interval - self.report_interval_s)
            self.report_interval_s += step if self.report_interval_s else interval
        self.newest_report_s = max(self.newest_report_s, report.measured_s)

    def load(self, target, now):
        """Return the estimated requests in flight at a target, of all daemons.

        This daemon's own calls are counted exactly. The load of the others moves from
        the target's last report to the counts that peers publish as the report ages.
        """
        own = len(target.calls)
        age = now - target.report_s
        if age <= MAX_REPORT_AGE_S:
            weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
            others = target.reported_other_load
            return own + weight * others + (1 - weight) * target.peer_calls
        return own + target.peer_calls
