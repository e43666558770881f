"""What the scheduler knows of a pool."""

from xxhash import xxh64_intdigest

from firworks.kernel.admission import PoolQueue
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
WHOLE_POOL_SIZE = 48
DEFAULT_TYPICAL_S = 0.2
FEWEST_SAMPLES = 5
REPORT_HALF_LIFE_S = 1.0
REPORT_CHECK_S = 0.5
UNREPORTED_PROBE_S = 30.0


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
        self.paces = {}
        self.in_flight = 0
        self.newest_report_s = float("-inf")
        self.report_interval_s = 0.0
        self._check_s = 0.0
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
        self.paces = old.paces
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
        known.peer_calls = 0
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
        """Eject targets that stopped reporting while others of the pool report.

        Only those count that this daemon watches, and that do not answer calls.
        """
        if not self.report_interval_s or now < self._check_s:
            return
        self._check_s = now + REPORT_CHECK_S
        silence = REPORT_TIMEOUT_INTERVALS * self.report_interval_s
        earliest = self.newest_report_s - max(REPORT_TIMEOUT_S, silence)
        for target in self.subset:
            if target.report_s == float("-inf") or target.report_s >= earliest:
                continue
            if target.health.last_progress_s < earliest and not self._is_overdue(
                target, now
            ):
                self.health.keep_ejected(target.health, now)

    def has_reported_since_ejection(self, target, now):
        """Return whether an ejected target shows a sign of life by a report.

        True also where reports do not tell: it never reported, is not watched, has
        been out for long, or the whole pool is silent.
        """
        if target.report_s == float("-inf") or not target.in_subset:
            return True
        if now - self.newest_report_s > MAX_REPORT_AGE_S or self._is_overdue(target, now):
            return True
        return target.report_s > target.health.ejected_s

    def _is_overdue(self, target, now):
        """Return whether a target is to be probed even though it does not report."""
        health = target.health
        return health.ejected and now - health.ejected_s > UNREPORTED_PROBE_S

    def has_spare_capacity(self, share, now):
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

    def estimate_first_token(self, call, quantile=0.5):
        """Return a quantile of the time to first token in seconds; 0 when unknown."""
        return self._quantile(self.first_tokens, call, quantile)

    def estimate_pace(self, call):
        """Return the median seconds per token of the call's stage; 0 when unknown."""
        return self._quantile(self.paces, call, 0.5)

    def observe_pace(self, call, pace):
        """Count a stream's seconds per token."""
        key = (call.pipeline, call.stage)
        self.paces.setdefault(key, LatencyHistogram()).add(pace)

    def has_samples(self, call):
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
            self.targets[index].peer_calls += count
        self.peer_loads[origin] = (now, pairs)
        for index in load.ejected:
            if 0 <= index < len(self.targets):
                self.health.record_vote(self.targets[index].health, origin, now)

    def forget_peer_load(self, origin):
        """Drop what a peer told of its calls in flight."""
        for index, count in self.peer_loads.pop(origin, (0.0, ()))[1]:
            self.targets[index].peer_calls -= count

    def expire_peer_loads(self, now):
        """Drop what peers told too long ago."""
        times = {origin: at for origin, (at, _) in self.peer_loads.items()}
        for origin in [o for o, at in times.items() if now - at > PEER_LOAD_TTL_S]:
            self.forget_peer_load(origin)

    def record_report(self, target, report):
        """Take in a target's report and the pool's usual interval between reports."""
        interval = report.measured_s - target.report_s
        target.record_report(report)
        if 0 < interval < MAX_REPORT_AGE_S:
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
        if age <= MAX_REPORT_AGE_S:
            weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
            others = target.reported_other_load
            return own + weight * others + (1 - weight) * target.peer_calls
        return own + target.peer_calls
