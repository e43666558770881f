"""Finds requests that crash the targets that run them.

Load pattern: one request in thousands crashes each target that begins to run it, and
its caller sends it again through any daemon. Each daemon tells the others which
requests were at a target that went down. A request that was at several runs of targets
that went down, and has never been answered since, is not sent to another one.
Requests that were merely beside it are soon answered elsewhere, which clears them.
"""

from collections import OrderedDict

# Runs of targets that went down with a request before it is refused.
CRASHES_TO_REFUSE = 3
# Suspicion ends after this time.
FORGET_AFTER_S = 120.0
# Most fingerprints kept; the oldest are forgotten first.
LIMIT = 4_096


class Suspects:
    """Runs of targets that went down, by fingerprint of the request there."""

    def __init__(self):
        self._crashes = OrderedDict()

    @property
    def count(self):
        """How many requests are under suspicion."""
        return len(self._crashes)

    def note_crash(self, fingerprint, run, now):
        """Take in that a target went down with a request.

        Args:
            fingerprint (bytes): Of the request.
            run (str): Name of the target's run.
            now (float): Monotonic seconds.

        Returns:
            bool: Whether this is new.
        """
        crashes = self._crashes.setdefault(fingerprint, {})
        new = run not in crashes
        crashes[run] = now
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > LIMIT:
            self._crashes.popitem(last=False)
        return new

    def clear(self, fingerprint):
        """Take in that a request was answered; return whether it was suspected."""
        return self._crashes.pop(fingerprint, None) is not None

    def is_refused(self, fingerprint, now):
        """Return whether a request must not be sent to a target."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return False
        recent = [
            noted_s for noted_s in crashes.values() if noted_s > now - FORGET_AFTER_S
        ]
        if not recent:
            del self._crashes[fingerprint]
        return len(recent) >= CRASHES_TO_REFUSE
