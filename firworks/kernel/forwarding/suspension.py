"""Notices that the VM was suspended.

Load pattern: a VM freezes for seconds and goes on with the facts of before, while
targets have left, keys were taken away and other daemons have moved its jobs. The
steady clock does not count that time and the clock since boot does.
"""

# Two reads of the clocks, one after the other, differ by far less.
SUSPENSION_THRESHOLD_S = 0.3


class SuspensionDetector:
    """Compares the clock since boot with the steady clock."""

    def __init__(self):
        self._gap_s = None

    def note(self, steady_s, boot_s):
        """Take in both clocks; return how long the VM was suspended, in seconds.

        Args:
            steady_s (float): Clock that stands still while the VM is suspended.
            boot_s (float): Clock that goes on.

        Returns:
            float: Time since the last call that the VM was suspended; 0.0 if it ran.
        """
        gap_s = boot_s - steady_s
        before_s, self._gap_s = self._gap_s, gap_s
        if before_s is None or gap_s - before_s < SUSPENSION_THRESHOLD_S:
            return 0.0
        return gap_s - before_s
