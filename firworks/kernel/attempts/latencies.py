"""Quantiles of the recent latencies of attempts, by kind of request."""

from collections import OrderedDict

from hdrh.histogram import HdrHistogram

# Unit of the recorded values.
RESOLUTION_S = 0.0001
# Longer latencies are recorded as this one; it is above all time-outs of routes.
MAX_LATENCY_S = 120.0
SIGNIFICANT_DIGITS = 2
# A quantile of 0.95 of fewer samples is one of the two largest.
MIN_SAMPLES = 20
# Samples are kept for one to two of these periods, so that quantiles follow the load.
# Where requests are rare, a period lasts until it has ``MIN_SAMPLES``.
PERIOD_S = 15.0
# Samples from before this time are dropped, however few there are.
MAX_AGE_S = 300.0
# A quantile is computed again after this time; it takes some 70 us.
REFRESH_S = 0.5


class SlidingHistogram:
    """Latencies of the current period and of the one before."""

    __slots__ = ("_current", "_previous", "_period_start_s", "_cached")

    def __init__(self, now):
        self._current, self._previous = _make_histogram(), None
        self._period_start_s = now
        self._cached = {}

    def record(self, latency_s, now):
        """Add a latency in seconds."""
        self._rotate(now)
        value = round(min(latency_s, MAX_LATENCY_S) / RESOLUTION_S)
        self._current.record_value(max(1, value))

    def get_quantile_s(self, quantile, now):
        """Return a quantile (0 to 1) in seconds, or None with too few samples."""
        computed_s, value_s = self._cached.get(quantile, (float("-inf"), None))
        if now - computed_s < REFRESH_S and value_s is not None:
            return value_s
        self._rotate(now)
        value_s = self._compute(quantile)
        self._cached[quantile] = (now, value_s)
        return value_s

    def _compute(self, quantile):
        merged = self._current
        if self._previous is not None:
            merged = _make_histogram()
            merged.add(self._current)
            merged.add(self._previous)
        if merged.get_total_count() < MIN_SAMPLES:
            return None
        return merged.get_value_at_percentile(100.0 * quantile) * RESOLUTION_S

    def _rotate(self, now):
        age_s = now - self._period_start_s
        if age_s >= MAX_AGE_S:
            self._previous = None
            self._begin_period(now)
        elif age_s >= PERIOD_S and self._current.get_total_count() >= MIN_SAMPLES:
            self._previous = self._current
            self._begin_period(now)

    def _begin_period(self, now):
        self._current = _make_histogram()
        self._period_start_s = now
        self._cached.clear()


class RecentLatencies:
    """Recent latencies of attempts by kind; the least recently used are dropped.

    Args:
        max_kinds (int): Most kinds that are kept; each takes up to 31 KB.
    """

    def __init__(self, max_kinds=256):
        self._max_kinds = max_kinds
        self._histograms = OrderedDict()

    def record(self, kind, latency_s, now):
        """Add the latency in seconds of an attempt of a kind (hashable)."""
        histogram = self._histograms.get(kind)
        if histogram is None:
            histogram = self._histograms[kind] = SlidingHistogram(now)
        self._histograms.move_to_end(kind)
        histogram.record(latency_s, now)
        if len(self._histograms) > self._max_kinds:
            self._histograms.popitem(last=False)

    def get_quantile_s(self, kind, quantile, now):
        """Return a quantile of a kind in seconds, or None with too few samples."""
        histogram = self._histograms.get(kind)
        return None if histogram is None else histogram.get_quantile_s(quantile, now)


def _make_histogram():
    highest = round(MAX_LATENCY_S / RESOLUTION_S)
    return HdrHistogram(1, highest, SIGNIFICANT_DIGITS)
