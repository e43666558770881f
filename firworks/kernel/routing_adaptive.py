"""The adaptive routing policy: load, latency and prefix affinity."""

from firworks.kernel.prefixes import rank_target

CONTENTION = 1.0
JITTER = 0.1
MAX_QUEUE_S = 1.0
UNREPORTED_MAX_QUEUE_S = 1.5  # for targets that do not report their capacity
SLOWNESS_TOLERANCE = 1.5
AFFINITY_STRENGTH = 8.0
DEFAULT_WEIGHT = 0.5
AFFINITY_BOUND = 1.25
AFFINITY_SLACK = 1.0
UNKNOWN_HOLDER_SHARE = 0.5
MAX_CANDIDATES = 48
SAMPLED_CANDIDATES = 24
PROBE_SHARE = 0.1


class AdaptiveRouting:
    """Chooses the lowest expected latency among targets that are not overloaded.

    A target is overloaded when its queue holds `MAX_QUEUE_S` of work and at least as
    many requests as it runs concurrently, or when this daemon's own calls fill it; it
    then gets no calls. The expected latency is jittered, so that daemons that act on
    the same delayed report do not all choose the same target.

    Args:
        random (random.Random): Source of jitter and of samples of large pools.

    Attributes:
        SUBSETTING (bool): In large pools the candidates are this daemon's subset
            first, and the entire pool only if none of the subset was chosen.
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
        if len(candidates) > MAX_CANDIDATES:
            candidates = self._random.sample(candidates, SAMPLED_CANDIDATES)
        candidates = self._filter_ejected(call, candidates)
        return self._choose_among(pool, call, candidates, now)

    def _filter_ejected(self, call, candidates):
        """Return the healthy candidates or, with `PROBE_SHARE`, the ejected ones.

        Only first attempts of repeatable calls probe an ejected target.
        """
        to_probe = [target for target in candidates if target.health.ejected]
        if not to_probe or len(to_probe) == len(candidates):
            return candidates
        if call.repeatable and call.identity.attempt == 1:
            if self._random.random() < PROBE_SHARE:
                return to_probe
        return [target for target in candidates if not target.health.ejected]

    def _choose_among(self, pool, call, targets, now):
        typical = pool.estimate_latency(call)
        loads = {target.name: pool.load(target, now) for target in targets}
        eligible = [t for t in targets if _accepts_calls(t, loads[t.name], typical)]
        if not eligible:
            return None
        savings = self._find_savings(pool, call, eligible, loads, now)
        share = 1.0 / (1.0 + len(pool.peer_loads))
        best = None
        best_score = float("inf")
        for target in eligible:
            score = self._score(target, loads[target.name], share, typical, now)
            score -= savings.get(target.name, 0.0)
            if score < best_score:
                best, best_score = target, score
        return best

    def _score(self, target, load, share, typical, now):
        """Return the expected latency in seconds, jittered.

        The load from other daemons counts only with this daemon's share: all daemons
        react to much the same delayed reports, and together they would overshoot.
        """
        own = len(target.calls)
        effective_load = own + share * (load - own)
        slowness = max(1.0, target.health.slowness / SLOWNESS_TOLERANCE)
        expected = (
            typical * slowness * (1 + CONTENTION * effective_load / target.capacity)
        )
        jitter = 1 + JITTER * self._random.random()
        return expected * jitter / target.health.weight(now)

    def _find_savings(self, pool, call, targets, loads, now):
        """Return the seconds that cached prefixes would save, by target name.

        Only targets whose load is within a bound of the mean are considered, so that
        a popular prefix does not overload one target. The higher the weight of cost
        against attainment, the more the saving counts and the wider the bound. Without
        a known holder, the target that rendezvous hashing selects, the same for all
        daemons, gets `UNKNOWN_HOLDER_SHARE` of the saving.
        """
        if not call.prefix:
            return {}
        cost_weight = 1.0 - pool.weights.get(call.pipeline, DEFAULT_WEIGHT)
        strength = AFFINITY_STRENGTH * cost_weight
        prefill = strength * pool.estimate_first_token(call)
        if not prefill:
            return {}
        mean = sum(loads.values()) / len(loads)
        bound = (AFFINITY_BOUND + cost_weight) * mean + AFFINITY_SLACK
        near = [target.name for target in targets if loads[target.name] <= bound]
        matches = pool.prefixes.find_matches(call.prefix, now)
        savings = {n: matches[n] * prefill for n in near if n in matches}
        if not savings and near:
            preferred = max(near, key=lambda name: rank_target(call.prefix[0], name))
            savings[preferred] = UNKNOWN_HOLDER_SHARE * prefill
        return savings


def _accepts_calls(target, load, typical_s):
    """Return whether own calls and total load at a target allow another call."""
    if len(target.calls) >= target.capacity:
        return False
    queue_s = MAX_QUEUE_S if target.report_capacity else UNREPORTED_MAX_QUEUE_S
    return load < (1 + max(1.0, queue_s / typical_s)) * target.capacity
