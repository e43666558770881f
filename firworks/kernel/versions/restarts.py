"""Finds streams that may have begun at a newer version than an entry stated.

Load pattern: a target restarts under its id with newer software. Until its new entry is
read, streams that begin there are recorded at the version of the entry before.
"""

from collections import deque

# Streams kept for each target, and time for which they are kept. An entry is read
# within seconds, but for outages of the store.
MAX_STREAMS = 512
MAX_AGE_S = 30.0
# Start times are compared across clocks of different VMs.
CLOCK_SKEW_S = 2.0


class RestartDetector:
    """Remembers which target each stream began at, and compares later entries."""

    def __init__(self):
        self._targets = {}
        self._begun = {}

    def record(self, target, digest, unix_s):
        """Record that a stream (bytes, its digest) began at a `Target`."""
        begun = self._begun.setdefault(target.target_id, deque(maxlen=MAX_STREAMS))
        begun.append((unix_s, target.version, digest))

    def observe(self, targets, unix_s):
        """Compare the listed targets with those listed before.

        Args:
            targets (iterable of Target): All that are listed.
            unix_s (float): Current Unix time in seconds.

        Returns:
            list of (Target, str, list of bytes): Restarted targets with another
            version, the version before, and the streams that may have begun since.
        """
        restarted = []
        by_id = {target.target_id: target for target in targets}
        for target_id, target in by_id.items():
            known = self._targets.get(target_id, target)
            if known.born_ms < target.born_ms and known.version != target.version:
                since_s = target.born_ms / 1000 - CLOCK_SKEW_S
                begun = self._begun.pop(target_id, ())
                streams = [
                    digest
                    for time_s, version, digest in begun
                    if time_s >= since_s and version == known.version
                ]
                restarted.append((target, known.version, streams))
        self._targets = by_id
        self._begun = {
            target_id: begun
            for target_id, begun in self._begun.items()
            if begun[-1][0] > unix_s - MAX_AGE_S
        }
        return [one for one in restarted if one[2]]
