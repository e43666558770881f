"""The adaptive routing policy: load, latency, prefix affinity and spill."""

from firworks.kernel.prefixes import rank_target

QUEUE_FACTOR = 2.0
CONTENTION = 1.0
JITTER = 0.1
AFFINITY_BOUND = 1.25
AFFINITY_SLACK = 1.0
UNKNOWN_HOLDER_SHARE = 0.5
SPILL_SIZE = 24


class AdaptiveRouting:
    """Lowest expected latency among the targets that are not hot.

    A target is cold below its capacity, warm up to `QUEUE_FACTOR` times it, and hot
    above. The expected latency is jittered, so that daemons which act on the same
    late report do not all choose the same target.

    Args:
        random (random.Random): Source of jitter and spill samples.
    """

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
        nearby = self._narrow(pool, candidates)
        target = self._choose_among(pool, call, nearby, now)
        if target is None and len(nearby) < len(candidates):
            spill = self._random.sample(candidates, min(SPILL_SIZE, len(candidates)))
            target = self._choose_among(pool, call, spill, now)
        return target

    def _narrow(self, pool, candidates):
        if len(pool.subset) == len(pool.targets):
            return candidates
        inside = [target for target in candidates if target.in_subset]
        return inside or candidates

    def _choose_among(self, pool, call, targets, now):
        loads = {target.name: pool.load(target, now) for target in targets}
        open_targets = [
            target for target in targets if _is_open(target, loads[target.name])
        ]
        if not open_targets:
            return None
        savings = self._find_savings(pool, call, open_targets, loads, now)
        typical = pool.typical(call)
        best = None
        best_score = float("inf")
        for target in open_targets:
            score = self._score(target, loads[target.name], typical, now)
            score -= savings.get(target.name, 0.0)
            if score < best_score:
                best, best_score = target, score
        return best

    def _score(self, target, load, typical, now):
        capacity = target.capacity
        contention = CONTENTION * min(load, capacity) / capacity
        queued = max(0.0, load + 1 - capacity)
        service = typical * target.health.slowness * (1 + contention)
        wait = typical * target.health.slowness * queued / capacity
        jitter = 1 + JITTER * self._random.random()
        return (service + wait) * jitter / target.health.weight(now)

    def _find_savings(self, pool, call, targets, loads, now):
        """Return the seconds that cached prefixes would save, by target name.

        Only targets within a bound of the mean load count, so that a popular prefix
        does not fill one target. Without a known holder, a target that all daemons
        agree on by hashing gets a part of the saving.
        """
        if not call.prefix:
            return {}
        prefill = pool.typical_first_token(call)
        if not prefill:
            return {}
        mean = sum(loads.values()) / len(loads)
        bound = AFFINITY_BOUND * mean + AFFINITY_SLACK
        near = [target.name for target in targets if loads[target.name] <= bound]
        matches = pool.prefixes.find_matches(call.prefix, now)
        savings = {n: matches[n] * prefill for n in near if n in matches}
        if not savings and near:
            home = max(near, key=lambda name: rank_target(call.prefix[0], name))
            savings[home] = UNKNOWN_HOLDER_SHARE * prefill
        return savings


def _is_open(target, load):
    """Return whether a target may get a call: its own share and the total allow."""
    if len(target.calls) >= target.capacity:
        return False
    return load < QUEUE_FACTOR * target.capacity
