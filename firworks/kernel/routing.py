"""Load-balancing policies: choose a target for a call among the usable ones."""

from firworks.kernel.routing_adaptive import AdaptiveRouting


def has_capacity(target):
    """Return whether this daemon's own calls leave capacity at a target."""
    return len(target.calls) < target.capacity


class RandomRouting:
    """A random target with free capacity.

    Args:
        random (random.Random): Source of choices.
    """

    SUBSETTING = False

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
        free = [target for target in candidates if has_capacity(target)]
        return self._random.choice(free) if free else None


class RoundRobinRouting:
    """Targets with free capacity, in round-robin order.

    Args:
        random (random.Random): Chooses the first target.
    """

    SUBSETTING = False

    def __init__(self, random):
        self._next = random.randrange(1 << 16)

    def choose(self, pool, call, candidates, now):
        """Return the target for a call; see `RandomRouting.choose`."""
        for _ in range(len(candidates)):
            target = candidates[self._next % len(candidates)]
            self._next += 1
            if has_capacity(target):
                return target
        return None


class LeastInFlightRouting:
    """The target with the fewest of this daemon's calls; ties are broken at random.

    Args:
        random (random.Random): Breaks ties.
    """

    SUBSETTING = False

    def __init__(self, random):
        self._random = random

    def choose(self, pool, call, candidates, now):
        """Return the target for a call; see `RandomRouting.choose`."""
        fewest = min(len(target.calls) for target in candidates)
        tied = [target for target in candidates if len(target.calls) == fewest]
        target = self._random.choice(tied)
        return target if has_capacity(target) else None


class TwoChoicesRouting:
    """Power of two choices: of two random targets, the one with fewer own calls.

    Args:
        random (random.Random): Source of draws.
    """

    SUBSETTING = False

    def __init__(self, random):
        self._random = random

    def choose(self, pool, call, candidates, now):
        """Return the target for a call; see `RandomRouting.choose`."""
        free = [target for target in candidates if has_capacity(target)]
        if not free:
            return None
        drawn = self._random.sample(free, min(2, len(free)))
        return min(drawn, key=lambda target: len(target.calls))


def register(registry):
    """Register the routing policies."""
    registry.add("routing", "random", RandomRouting)
    registry.add("routing", "round-robin", RoundRobinRouting)
    registry.add("routing", "least-in-flight", LeastInFlightRouting)
    registry.add("routing", "two-choices", TwoChoicesRouting)
    registry.add("routing", "adaptive", AdaptiveRouting)
