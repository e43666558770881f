"""Detects that the VM was suspended.

Load pattern: a VM freezes for seconds and resumes with stale state, while targets have
left, keys have been revoked and other daemons have taken over its jobs. The monotonic
clock stands still during a suspension and the boot-time clock does not.
"""

# Far above the difference that comes from reading the clocks one after the other.
SUSPENSION_THRESHOLD_S = 0.3


class SuspensionDetector:
    """Compares the boot-time clock with the monotonic clock."""

    def __init__(self):
        self._offset_s = None

    def measure(self, monotonic_s, boot_s):
        """Return how long the VM was suspended since the last call.

        Args:
            monotonic_s (float): Monotonic clock, which stops while the VM is suspended.
            boot_s (float): Boot-time clock, which continues.

        Returns:
            float: Seconds; 0.0 if it was not suspended.
        """
        offset_s = boot_s - monotonic_s
        previous_s, self._offset_s = self._offset_s, offset_s
        if previous_s is None or offset_s - previous_s < SUSPENSION_THRESHOLD_S:
            return 0.0
        return offset_s - previous_s
