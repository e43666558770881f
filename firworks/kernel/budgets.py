"""Time budgets of pipeline stages, from quantiles of observed latencies."""

from math import log

MIN_LATENCY_S = 0.001
BUCKET_RATIO = 1.15
BUCKET_COUNT = 96
DECAY_SAMPLES = 1000.0
TYPICAL_QUANTILE = 0.5
SLOW_QUANTILE = 0.7
MIN_SAMPLES = 10
CACHE_SAMPLES = 8
REQUESTS_PER_PROBE = 10


class LatencyHistogram:
    """Latencies in logarithmic buckets; counts are halved at `DECAY_SAMPLES`."""

    __slots__ = ("counts", "total", "_cached", "_uncached")

    def __init__(self):
        self.counts = [0.0] * BUCKET_COUNT
        self.total = 0.0
        self._cached = {}
        self._uncached = 0

    def add(self, latency_s):
        """Add one latency in seconds."""
        ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
        index = min(int(log(ratio) / log(BUCKET_RATIO)), BUCKET_COUNT - 1)
        self.counts[index] += 1.0
        self.total += 1.0
        self._uncached += 1
        if self._uncached >= min(CACHE_SAMPLES, self.total / CACHE_SAMPLES):
            self._cached.clear()
            self._uncached = 0
        if self.total >= DECAY_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, share):
        """Return the quantile `share` of the latencies in seconds; 0 without samples.

        Quantiles are cached, so the result may omit up to `CACHE_SAMPLES` new samples.
        """
        known = self._cached.get(share)
        if known is None:
            known = self._cached[share] = self._compute_quantile(share)
        return known

    def _compute_quantile(self, share):
        if not self.total:
            return 0.0
        wanted = share * self.total
        seen = 0.0
        for index, count in enumerate(self.counts):
            seen += count
            if seen >= wanted:
                return MIN_LATENCY_S * BUCKET_RATIO ** (index + 0.5)
        return MIN_LATENCY_S * BUCKET_RATIO**BUCKET_COUNT


class StageBudgets:
    """Divides a request's remaining time among its remaining stages."""

    def __init__(self):
        self._histograms = {}
        self._refused = {}

    def observe(self, pipeline_name, stage_name, latency_s):
        """Record the latency of one stage, from request to complete response.

        Args:
            pipeline_name (str): The pipeline.
            stage_name (str): The stage.
            latency_s (float): Latency in seconds, including queueing.
        """
        key = (pipeline_name, stage_name)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = LatencyHistogram()
        histogram.add(latency_s)

    def can_meet(self, pipeline, remaining_s):
        """Return whether a request of the pipeline is expected to meet its deadline.

        One in `REQUESTS_PER_PROBE` of the others is admitted nevertheless: without
        responses the latency estimates would never decrease again.

        Args:
            pipeline (Pipeline): The pipeline.
            remaining_s (float): Seconds until the deadline.
        """
        needed = self._sum(pipeline, pipeline.stages, TYPICAL_QUANTILE)
        if remaining_s > needed:
            return True
        refused = self._refused.get(pipeline.name, 0) + 1
        self._refused[pipeline.name] = refused
        return remaining_s > 0 and refused % REQUESTS_PER_PROBE == 0

    def stage_budget(self, pipeline, stage_index, remaining_s):
        """Return the time budget of a stage in seconds.

        Later stages keep the time they usually need; if the remaining time does not
        suffice for all, each stage gets a proportional share.

        Args:
            pipeline (Pipeline): The pipeline.
            stage_index (int): Index of the stage that is about to run.
            remaining_s (float): Seconds until the deadline.
        """
        later = pipeline.stages[stage_index + 1 :]
        if not later or remaining_s <= 0:
            return max(remaining_s, 0.0)
        own = self._need(pipeline, pipeline.stages[stage_index], SLOW_QUANTILE)
        reserved = self._sum(pipeline, later, SLOW_QUANTILE)
        if own + reserved <= 0:
            return remaining_s / (len(later) + 1)
        proportional = remaining_s * own / (own + reserved)
        return max(remaining_s - reserved, proportional)

    def _sum(self, pipeline, stages, quantile):
        return sum(self._need(pipeline, stage, quantile) for stage in stages)

    def _need(self, pipeline, stage, quantile):
        histogram = self._histograms.get((pipeline.name, stage.name))
        if histogram is None or histogram.total < MIN_SAMPLES:
            return 0.0
        return histogram.quantile(quantile)
