"""Choice of the daemon that writes a stream, by rendezvous hashing of members."""

from xxhash import xxh64_intdigest

from firworks.kernel.fleet.events import MEMBER_DEAD, MEMBER_LEAVING

PEERS_BEFORE_DIRECT = 3  # peers tried before this daemon appends records itself
AVOID_PERIOD_S = 2.0
MAX_INCARNATIONS = 2_000


def rank_members(stream, members):
    """Return the list of member names, highest rendezvous weight first."""
    return sorted(
        members, key=lambda name: -xxh64_intdigest(f"{stream}/{name}".encode())
    )


class WriterSelector:
    """Selects the daemon to which this one submits the records of each stream.

    Membership views may differ between daemons. This causes additional appends but
    doesn't affect decisions, which follow from the order of the log.

    Args:
        name (str): This daemon's name.
        relay (bool): Whether records may be submitted to peers other than the
            usual writer.
    """

    def __init__(self, name, relay=True):
        self.name = name
        self._relay = relay
        self._members = {name: True}
        self._avoided_until_s = {}
        self._ranked = {}
        self._live_incarnations = {}
        self._members_by_incarnation = {}

    @property
    def members(self):
        """Sorted names of the live daemons, this one included."""
        return sorted(self._members)

    def apply_member_change(self, event):
        """Apply a `MemberChanged`."""
        if event.member == self.name:
            return
        if event.status in (MEMBER_DEAD, MEMBER_LEAVING):
            self._members.pop(event.member, None)
        else:
            self._members[event.member] = True
        self._ranked.clear()
        self._record_incarnation(event)

    def _record_incarnation(self, event):
        """Record the incarnations of a member and which one is alive."""
        if event.status == MEMBER_DEAD:
            self._live_incarnations.pop(event.member, None)
        elif event.incarnation:
            self._live_incarnations[event.member] = event.incarnation
        if event.incarnation:
            self._members_by_incarnation[event.incarnation] = event.member
        while len(self._members_by_incarnation) > MAX_INCARNATIONS:
            self._members_by_incarnation.pop(next(iter(self._members_by_incarnation)))

    def has_ended(self, incarnation):
        """Return whether an incarnation (str) is known to have ended."""
        name = self._members_by_incarnation.get(incarnation)
        return name is not None and self._live_incarnations.get(name) != incarnation

    def avoid(self, member, stream, now):
        """Skip a member that does not respond or cannot reach the log, for a while."""
        self._avoided_until_s[member, stream] = now + AVOID_PERIOD_S

    def stop_avoiding(self, member, stream):
        """Use a member again that has responded."""
        self._avoided_until_s.pop((member, stream), None)

    def get_writer(self, stream):
        """Return the usual writer of a stream."""
        return self._rank(stream)[0]

    def get_writers(self, stream, count):
        """Return the usual writer and the next in rank, `count` names in all."""
        return self._rank(stream)[:count]

    def choose(self, stream, now):
        """Return the daemon to submit to, or None while all are being avoided."""
        for member in self._candidates(stream):
            if now >= self._avoided_until_s.get((member, stream), 0.0):
                return member
        return None

    def _rank(self, stream):
        if stream not in self._ranked:
            self._ranked[stream] = rank_members(stream, self._members)
        return self._ranked[stream]

    def _candidates(self, stream):
        ranked = self._rank(stream)
        if not self._relay:
            return ranked[:1] + [self.name]
        first = ranked[:PEERS_BEFORE_DIRECT]
        return first + [self.name] + ranked[PEERS_BEFORE_DIRECT:]
