"""Estimates the remaining critical path of a request and delays stages off it.

Load pattern: in a burst, jobs served in deadline order all reach the next stage with no
time left to queue there, and all are late. The estimate for a downstream stage
therefore includes the time spent queueing for a call.

Load pattern: large results that only the engine needs are produced at once, while a
chain of other stages of the same request is still queued. They fill the memory of their
targets, which then cannot run further calls, and expire before they are used. Such a
stage starts only when the chain has just its last stage left.
"""

# Expected queueing time at a downstream stage, in units of the fixed time of a call:
# the remainder of the calls in progress and one full call.
EXPECTED_WAIT_CALLS = 2.0


def compute_downstream_s(
    stages, counts, get_spec, last_s, get_wait_s=lambda service: None
):
    """Return the expected time from the end of each stage to the answer.

    Args:
        stages (tuple of StageSpec): Stages of a route in topological order.
        counts (tuple of int): Pieces of each stage.
        get_spec (callable): ``get_spec(service)`` returns the `StagePoolSpec` of a
            pool, or None.
        last_s (float): Time that the target of the request itself needs.
        get_wait_s (callable): ``get_wait_s(service)`` returns the seconds that a job is
            expected to queue at a pool, or None if that is not known.

    Returns:
        list of float: Seconds by stage.
    """
    downstream_s = [last_s] * len(stages)
    for number in range(len(stages) - 1, -1, -1):
        pieces = counts[number] if number < len(counts) else 0
        service = stages[number].service
        own_s = _estimate_stage_s(get_spec(service), pieces, get_wait_s(service))
        for dependency in stages[number].after:
            downstream_s[dependency] = max(
                downstream_s[dependency], own_s + downstream_s[number]
            )
    return downstream_s


def find_gate(stages, counts, number):
    """Return the stage that a stage off the critical path waits for, or None.

    Args:
        stages (tuple of StageSpec): Stages of a route.
        counts (tuple of int): Pieces of each stage.
        number (int): Index of the stage that may have to wait. Stages with dependencies
            or dependents never wait.

    Returns:
        int or None: Index of the last but one stage of the longest chain.
    """
    required = {dependency for stage in stages for dependency in stage.after}
    if number in required or stages[number].after:
        return None
    sinks = [
        sink
        for sink, stage in enumerate(stages)
        if sink not in required and stage.after and sink < len(counts) and counts[sink]
    ]
    if not sinks:
        return None
    farthest = max(sinks, key=lambda sink: _compute_depth(stages, sink))
    return stages[farthest].after[-1]


def _compute_depth(stages, number):
    """Return the length of the longest chain of dependencies of a stage."""
    dependencies = stages[number].after
    return 1 + max(
        (_compute_depth(stages, dependency) for dependency in dependencies), default=-1
    )


def _estimate_stage_s(spec, pieces, wait_s):
    if spec is None or pieces <= 0:
        return 0.0
    if wait_s is None:
        wait_s = EXPECTED_WAIT_CALLS * spec.call_s
    return wait_s + spec.call_s + pieces * spec.piece_s
