"""The adaptive routing policy: load, latency, prefix affinity and spill."""

from firworks.kernel.prefixes import rank_target

CONTENTION = 1.0
JITTER = 0.1
QUEUE_S = 1.0
UNREPORTED_QUEUE_S = 1.5
SLOWNESS_TOLERANCE = 1.5
AFFINITY_STRENGTH = 8.0
DEFAULT_WEIGHT = 0.5
AFFINITY_BOUND = 1.25
AFFINITY_SLACK = 1.0
UNKNOWN_HOLDER_SHARE = 0.5
MOST_CANDIDATES = 48
SPILL_SIZE = 24
PROBE_SHARE = 0.1


class AdaptiveRouting:
    """Lowest expected latency among the targets that are not hot.

    A target is hot when its own queue would hold more than `QUEUE_S` of work, or
    as much again as it runs at once; hot ones get nothing. The expected latency is
    jittered, so that daemons which act on the same late report do not all choose
    the same target.

    Args:
        random (random.Random): Source of jitter and spill samples.

    Attributes:
        SUBSETTING (bool): In large pools it gets this daemon's subset first, and
            the whole pool only when it chose none of those.
    """

    SUBSETTING = True

    def __init__(self, random):
        self._random = random

    def choose(self, pool, call, candidates, now):
        """Return the target for a call, or None to let it wait.

        Args:
            pool (PoolState): The pool.
            call (CallRequested): The call.
            candidates (list of TargetState): Targets that may get it; not empty.
            now (float): Kernel time.
        """
        if len(candidates) > MOST_CANDIDATES:
            candidates = self._random.sample(candidates, SPILL_SIZE)
        candidates = self._split_probation(call, candidates)
        return self._choose_among(pool, call, candidates, now)

    def _split_probation(self, call, candidates):
        """Return the sound candidates, or now and then those to be probed.

        Only first attempts that may repeat probe an ejected target.
        """
        probation = [target for target in candidates if target.health.ejected]
        if not probation or len(probation) == len(candidates):
            return candidates
        if call.repeatable and call.identity.attempt == 1:
            if self._random.random() < PROBE_SHARE:
                return probation
        return [target for target in candidates if not target.health.ejected]

    def _choose_among(self, pool, call, targets, now):
        typical = pool.estimate_latency(call)
        loads = {target.name: pool.load(target, now) for target in targets}
        cold = [t for t in targets if _is_open(t, loads[t.name], typical)]
        if not cold:
            return None
        savings = self._find_savings(pool, call, cold, loads, now)
        share = 1.0 / (1.0 + len(pool.peer_loads))
        best = None
        best_score = float("inf")
        for target in cold:
            score = self._score(target, loads[target.name], share, typical, now)
            score -= savings.get(target.name, 0.0)
            if score < best_score:
                best, best_score = target, score
        return best

    def _score(self, target, load, share, typical, now):
        """Return the expected latency in seconds, jittered.

        Every daemon makes only its share of the correction for the others' load:
        all act on much the same late figures, and together they would overshoot.
        """
        own = len(target.calls)
        crowd = own + share * (load - own)
        slowness = max(1.0, target.health.slowness / SLOWNESS_TOLERANCE)
        expected = typical * slowness * (1 + CONTENTION * crowd / target.capacity)
        jitter = 1 + JITTER * self._random.random()
        return expected * jitter / target.health.weight(now)

    def _find_savings(self, pool, call, targets, loads, now):
        """Return the seconds that cached prefixes would save, by target name.

        Only targets within a bound of the mean load count, so that a popular prefix
        does not fill one target. Where cost weighs more than attainment, the saving
        counts for more and the bound is wider. Without a known holder, a target that
        all daemons agree on by hashing gets a part of the saving.
        """
        if not call.prefix:
            return {}
        frugality = 1.0 - pool.weights.get(call.pipeline, DEFAULT_WEIGHT)
        strength = AFFINITY_STRENGTH * frugality
        prefill = strength * pool.estimate_first_token(call)
        if not prefill:
            return {}
        mean = sum(loads.values()) / len(loads)
        bound = (AFFINITY_BOUND + frugality) * mean + AFFINITY_SLACK
        near = [target.name for target in targets if loads[target.name] <= bound]
        matches = pool.prefixes.find_matches(call.prefix, now)
        savings = {n: matches[n] * prefill for n in near if n in matches}
        if not savings and near:
            home = max(near, key=lambda name: rank_target(call.prefix[0], name))
            savings[home] = UNKNOWN_HOLDER_SHARE * prefill
        return savings


def _is_open(target, load, typical_s):
    """Return whether a target may get a call: its own share and the total allow."""
    if len(target.calls) >= target.capacity:
        return False
    queue_s = QUEUE_S if target.report_capacity else UNREPORTED_QUEUE_S
    return load < (1 + max(1.0, queue_s / typical_s)) * target.capacity
