"""Learns the speed of each engine from the time to the first event.

Load pattern: engines differ in speed by failure domain (1.7 and 2.4 times were
measured) and over time. A request on a slow engine begins late although a fast engine
was idle, as tokens alone do not tell them apart.

The slowness of an engine is the ratio of observed to expected times of recent
placements, where the expected times are those of an engine of usual speed. Sums of both
decay with a half-life, so that long prompts count more than short ones, whose times are
mostly delays of the network. An engine with few recent samples is rated as its failure
domain, and a domain with few samples as the pool. A new scheduler therefore starts from
the usual speed, and a slow engine that got no requests is rated as usual again after
some half-lives, gets requests, and shows whether it has recovered.
"""

from heapq import nlargest
from math import log

from firworks.kernel.messages import Struct

# Speed at which engines read prompts, until a pool has shown its own.
USUAL_TOKENS_PER_S = 31_000
# Part of the time to the first event that does not depend on the prompt: messages
# between gateways, the connection to the engine, and a step of the engine.
USUAL_DELAY_S = 0.015
# Time after which a sample counts half. Speeds were seen to change within minutes.
HALF_LIFE_S = 15.0
# Expected time of samples, in seconds, that weighs as much as what is assumed without
# any: of an engine about one long prompt, of a domain and a pool those of more engines.
ENGINE_PRIOR_S = 0.2
DOMAIN_PRIOR_S = 1.0
POOL_PRIOR_S = 2.0
# A sample counts for at most this factor above or below the present estimate, so that
# a single outlier does not exclude an engine.
MAX_SAMPLE_FACTOR = 3.0
# Engines whose slowness differs by less than this factor are rated alike, as the noise
# of the samples would else send all requests to the one that looks fastest.
RATING_STEP = 1.15


def round_slowness(slowness):
    """Return a slowness (float) rounded to a power of `RATING_STEP`."""
    return RATING_STEP ** round(log(slowness) / log(RATING_STEP))


class EngineSpeed(Struct):
    """What is known of the speed of an engine.

    Attributes:
        target_id (str): The engine.
        slowness (float): Factor of its times over those of `USUAL_TOKENS_PER_S`.
        samples (int): Number of samples since it became known.
        age_s (float): Seconds since the last sample; infinite without one.
    """

    __slots__ = ("target_id", "slowness", "samples", "age_s")


def list_slowest(speeds, count, max_age_s):
    """Return the slowest engines, the slowest first.

    Args:
        speeds (iterable of EngineSpeed): All engines.
        count (int): Maximum number to return.
        max_age_s (float): Only engines whose last sample is at most this old.
    """
    recent = [speed for speed in speeds if speed.age_s <= max_age_s]
    return nlargest(count, recent, key=lambda speed: speed.slowness)


class _Sums:
    """Decaying sums of observed and expected times of placements."""

    __slots__ = ("observed_s", "expected_s", "samples", "updated_s")

    def __init__(self):
        self.observed_s = 0.0
        self.expected_s = 0.0
        self.samples = 0
        self.updated_s = float("-inf")

    def add(self, observed_s, expected_s, now):
        """Add a sample."""
        weight = self._compute_weight(now)
        self.observed_s = weight * self.observed_s + observed_s
        self.expected_s = weight * self.expected_s + expected_s
        self.samples += 1
        self.updated_s = max(now, self.updated_s)

    def estimate(self, assumed, prior_s, now):
        """Return the slowness, where `assumed` weighs as much as `prior_s` seconds."""
        weight = self._compute_weight(now)
        observed_s = weight * self.observed_s + prior_s * assumed
        return observed_s / (weight * self.expected_s + prior_s)

    def _compute_weight(self, now):
        return 0.5 ** (max(0.0, now - self.updated_s) / HALF_LIFE_S)


class EngineSpeeds:
    """Slowness of each engine of a pool, relative to `USUAL_TOKENS_PER_S`."""

    def __init__(self):
        self._pool = _Sums()
        self._domains = {}
        self._engines = {}

    def record(self, target, observed_s, expected_s, now):
        """Record the time from a placement to the first event.

        Args:
            target (Target): The engine.
            observed_s (float): Seconds that passed.
            expected_s (float): Seconds expected at the usual speed, from the tokens
                that were to be read before the first event.
            now (float): Monotonic seconds.
        """
        usual_s = expected_s * self.get_slowness(target, now)
        lowest_s, highest_s = usual_s / MAX_SAMPLE_FACTOR, usual_s * MAX_SAMPLE_FACTOR
        observed_s = min(highest_s, max(lowest_s, observed_s))
        domain = self._domains.setdefault(target.failure_domain, _Sums())
        engine = self._engines.setdefault(target.incarnation, _Sums())
        for sums in (self._pool, domain, engine):
            sums.add(observed_s, expected_s, now)

    def get_pool_slowness(self, now):
        """Return the slowness (float) of the pool as a whole."""
        return self._pool.estimate(1.0, POOL_PRIOR_S, now)

    def get_slowness(self, target, now):
        """Return the slowness (float) of an engine (Target)."""
        slowness = self.get_pool_slowness(now)
        domain = self._domains.get(target.failure_domain)
        if domain is not None:
            slowness = domain.estimate(slowness, DOMAIN_PRIOR_S, now)
        engine = self._engines.get(target.incarnation)
        if engine is not None:
            slowness = engine.estimate(slowness, ENGINE_PRIOR_S, now)
        return slowness

    def describe(self, target, now):
        """Return what is known of an engine (Target) as an `EngineSpeed`."""
        sums = self._engines.get(target.incarnation)
        slowness = self.get_slowness(target, now)
        if sums is None:
            return EngineSpeed(target.target_id, slowness, 0, float("inf"))
        age_s = max(0.0, now - sums.updated_s)
        return EngineSpeed(target.target_id, slowness, sums.samples, age_s)

    def keep(self, incarnations):
        """Forget all engines but some (container of tuple)."""
        for incarnation in [key for key in self._engines if key not in incarnations]:
            del self._engines[incarnation]
