"""Determines whether a target has crashed after it broke off requests.

Load pattern: one request in thousands crashes every target that runs it. The symptoms
vary: connections are reset, go silent or end in the middle of a response, and the
address is in use again at once or after seconds. Resets of single connections are far
more common. An incarnation that sent data on another connection just now, and is still
connected there, is alive. Otherwise the process at the address is asked for its
identity. If there is no answer, or a target that was merely silent does not report its
start time, its entry in the store decides once it changes.
"""

from firworks.kernel.messages import Struct

ENDED = "ended"
ALIVE = "lives"
UNKNOWN = "unknown"

# A target that sent data within this time counts as recently heard.
RECENTLY_HEARD_S = 0.5
# All connections of a crashed incarnation are lost within this time.
SETTLE_S = 0.03
# The entry of a crashed incarnation is replaced when the target restarts, or expires
# after three heartbeats of about 1.2 s; daemons learn of that within a second.
RESOLVE_TIMEOUT_S = 6.0


class Identity(Struct):
    """Identity reported by the process at an address.

    Attributes:
        target_id (str or None): Id of the target; None if not reported.
        born_ms (int or None): Unix time of its start in milliseconds; None if not
            reported.
        misdirected (bool): It reports that it is not the target that was addressed.
    """

    __slots__ = ("target_id", "born_ms", "misdirected")


def classify_identity(target, identity, silent):
    """Return ``ENDED``, ``ALIVE`` or ``UNKNOWN`` for an incarnation of a target.

    An incarnation that lost all its connections counts as ended if the process at
    its address does not report a start time. A request that is wrongly suspected after
    mere connection resets is cleared when its next attempt is answered.

    Args:
        target (Target): The incarnation in question.
        identity (Identity): Reported by the process at its address.
        silent (bool): The target was silent; its connections were not lost.
    """
    if identity.misdirected or identity.target_id not in (None, target.target_id):
        return ENDED
    if identity.born_ms is None or not target.born_ms:
        return UNKNOWN if silent else ENDED
    return ALIVE if identity.born_ms == target.born_ms else ENDED


class UnresolvedIncarnations:
    """Incarnations of unknown state, with the requests that they broke off."""

    def __init__(self):
        self._pending = {}

    def add(self, target, fingerprints, now):
        """Watch the store's entry of an incarnation for ``RESOLVE_TIMEOUT_S``.

        Args:
            target (Target): The incarnation.
            fingerprints (iterable of bytes): Requests that it broke off.
            now (float): Monotonic seconds.
        """
        known, _ = self._pending.get(target.incarnation, (set(), 0.0))
        self._pending[target.incarnation] = (
            {*known, *fingerprints},
            now + RESOLVE_TIMEOUT_S,
        )

    def pop_ended(self, find, now):
        """Remove and return the incarnations that have ended.

        Args:
            find (callable): ``find(target_id)`` returns the `Target` that the store
                lists, a leaving one included, or None.
            now (float): Monotonic seconds.

        Returns:
            list of (tuple, set of bytes): Incarnations, each with the requests that it
            broke off.
        """
        ended = []
        for incarnation, (fingerprints, until_s) in list(self._pending.items()):
            listed = find(incarnation[0])
            is_leaving = (
                listed is not None
                and listed.incarnation == incarnation
                and listed.leaving
            )
            if is_leaving or now >= until_s:
                del self._pending[incarnation]
            elif listed is None or listed.incarnation != incarnation:
                del self._pending[incarnation]
                ended.append((incarnation, fingerprints))
        return ended
