"""How long the rest of a request's stages takes, and when a stage should begin.

Load pattern: under a burst, jobs taken in the order of their deadlines all reach the
next stage with no time left to wait there, and all are late. What is reckoned for a
later stage therefore includes a wait for a place in a call.

Load pattern: large results that only the engine needs are made at once, while a chain
of other stages of the same request waits in its queues. They fill the room of their
targets, so that these make nothing more, and expire before they are used. Such a
stage begins when the chain has only its last stage to go.
"""

# Wait for a place in a call of a later stage, in units of the call's fixed time: the
# rest of the calls in progress and one full call.
EXPECTED_WAIT_CALLS = 2.0


def compute_downstream_s(stages, counts, get_spec, last_s):
    """Return, for each stage, the time that what follows it is expected to need.

    Args:
        stages (tuple of StageSpec): Stages of a route; each comes after those it needs.
        counts (tuple of int): Pieces of each stage.
        get_spec (callable): ``get_spec(service)`` returns the `StagePoolSpec` of a
            pool, or None.
        last_s (float): Time that the target of the request itself needs.
    """
    later = [last_s] * len(stages)
    for number in range(len(stages) - 1, -1, -1):
        pieces = counts[number] if number < len(counts) else 0
        own_s = _expect_s(get_spec(stages[number].service), pieces)
        for before in stages[number].after:
            later[before] = max(later[before], own_s + later[number])
    return later


def find_gate(stages, counts, number):
    """Return the stage (int) that must be done before a stage begins, or None.

    Args:
        stages (tuple of StageSpec): Stages of a route.
        counts (tuple of int): Pieces of each stage.
        number (int): The stage that may have to wait, beside what it comes after.
    """
    followed = {before for stage in stages for before in stage.after}
    if number in followed or stages[number].after:
        return None
    ends = [
        end
        for end, stage in enumerate(stages)
        if end not in followed and stage.after and end < len(counts) and counts[end]
    ]
    if not ends:
        return None
    last = max(ends, key=lambda end: _count_before(stages, end))
    return stages[last].after[-1]


def _count_before(stages, number):
    """Return how many stages must follow one another before a stage."""
    befores = stages[number].after
    return 1 + max((_count_before(stages, one) for one in befores), default=-1)


def _expect_s(spec, pieces):
    if spec is None or pieces <= 0:
        return 0.0
    return spec.call_s * (1.0 + EXPECTED_WAIT_CALLS) + pieces * spec.piece_s
