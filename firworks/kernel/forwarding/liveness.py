"""Tells whether a target's run has ended, from what is seen after it broke off work.

Load pattern: one request in thousands ends each target that runs it. Such ends differ:
connections are reset, go silent or break an answer off, and the address is in use again
at once or after seconds. Connections alone are reset far more often. A run that was
heard on another connection just now, and still is connected there, lives. Else the one
that answers at the address is asked who it is. Where none answers, or a run that was
merely silent does not say when it was started, the store's entry of it tells, once it
changes.
"""

from firworks.kernel.messages import Struct

ENDED = "ended"
ALIVE = "lives"
UNKNOWN = "unknown"

# A target that sent something this long ago counts as heard.
RECENTLY_HEARD_S = 0.5
# The other connections of a run that has ended are lost within this time.
SETTLE_S = 0.03
# An entry of a run that ended is replaced at its next start, or goes after three
# heartbeats of some 1.2 s; daemons hear of it within a second.
RESOLVE_TIMEOUT_S = 6.0


class Identity(Struct):
    """What the one that answers at an address says of itself.

    Attributes:
        target_id (str or None): Its id.
        born_ms (int or None): Unix time of its start in milliseconds.
        misdirected (bool): It states that it is not the target that was asked for.
    """

    __slots__ = ("target_id", "born_ms", "misdirected")


def classify_identity(target, identity, silent):
    """Return what an answer from a target's address says of the target's run.

    A run that lost all its connections and does not say when it was started counts as
    ended: a request that is merely beside a reset is answered at its next try.

    Args:
        target (Target): The run.
        identity (Identity): Of the one that answered.
        silent (bool): The run was silent; its connections were not lost.
    """
    if identity.misdirected or identity.target_id not in (None, target.target_id):
        return ENDED
    if identity.born_ms is None or not target.born_ms:
        return UNKNOWN if silent else ENDED
    return ALIVE if identity.born_ms == target.born_ms else ENDED


class UnresolvedIncarnations:
    """Runs of which it is not known whether they have ended, with what they ran."""

    def __init__(self):
        self._cases = {}

    def add(self, target, fingerprints, now):
        """Wait for the store's word on a target's run.

        Args:
            target (Target): The run.
            fingerprints (iterable of bytes): Requests that it broke off.
            now (float): Monotonic seconds.
        """
        known, _ = self._cases.get(target.incarnation, (set(), 0.0))
        self._cases[target.incarnation] = ({*known, *fingerprints}, now + RESOLVE_TIMEOUT_S)

    def pop_ended(self, find, now):
        """Return the runs that have ended.

        Args:
            find (callable): ``find(target_id)`` returns the `Target` that the store
                lists, a leaving one included, or None.
            now (float): Monotonic seconds.

        Returns:
            list of (tuple, set of bytes): Runs, with the requests that they broke off.
        """
        ended = []
        for run, (fingerprints, until_s) in list(self._cases.items()):
            listed = find(run[0])
            left = listed is not None and listed.incarnation == run and listed.leaving
            if left or now >= until_s:
                del self._cases[run]
            elif listed is None or listed.incarnation != run:
                del self._cases[run]
                ended.append((run, fingerprints))
        return ended
