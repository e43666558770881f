"""Counts memory of a target as free while the target is being told to free it.

Load pattern: near the capacity of a pool, results that wait for the next stage or for
the engine fill the memory of its targets, and calls are half full while work waits.
Gateways collect results for 50 ms before they free them. A call takes at least four
times as long, and its own results need memory when it ends: what is freed when a call
is sent may be used by it.

A target may reserve memory as soon as a call begins, or its connection for freeing may
be slow. This shows as pieces without room: memory then counts only once it is free, for
as long as results are retained.
"""


class FreeingMemory:
    """Memory of a pool's targets that is being freed.

    Args:
        enabled (bool): Whether it counts as free.
    """

    __slots__ = ("enabled", "_distrusted_until_s")

    def __init__(self, enabled=False):
        self.enabled = enabled
        self._distrusted_until_s = float("-inf")

    def get_bytes(self, worker, now):
        """Return the bytes (int) that a call sent now may use in addition.

        Args:
            worker (StageWorker): The target.
            now (float): Monotonic seconds.
        """
        if not self.enabled or now < self._distrusted_until_s:
            return 0
        return worker.freeing_bytes

    def note_memory_full(self, spec, now):
        """Record that a target had no memory for a result.

        Args:
            spec (StagePoolSpec): Capacity of each target.
            now (float): Monotonic seconds.
        """
        self._distrusted_until_s = now + spec.result_ttl_s
