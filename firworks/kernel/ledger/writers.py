"""Which daemon usually writes a stream: rendezvous hash over live members."""

from xxhash import xxh64_intdigest

from firworks.kernel.fleet.events import MEMBER_DEAD, MEMBER_LEAVING

PEERS_BEFORE_DIRECT = 3
AVOID_S = 2.0
INCARNATION_LIMIT = 2_000


def rank_members(stream, members):
    """Return member names, highest rendezvous weight first."""
    return sorted(
        members, key=lambda name: -xxh64_intdigest(f"{stream}/{name}".encode())
    )


class WriterSelector:
    """Chooses where this daemon submits the records of each stream.

    Views of membership may differ between daemons; that costs appends, not safety.

    Args:
        name (str): This daemon's name.
        relay (bool): Whether peers other than the usual writer may be asked.
    """

    def __init__(self, name, relay=True):
        self.name = name
        self._relay = relay
        self._members = {name: True}
        self._avoided_s = {}
        self._ranks = {}
        self._alive = {}
        self._names = {}

    @property
    def members(self):
        """Names of the live daemons, in a fixed order."""
        return sorted(self._members)

    def apply_member_change(self, event):
        """Take a `MemberChanged`."""
        if event.member == self.name:
            return
        if event.status in (MEMBER_DEAD, MEMBER_LEAVING):
            self._members.pop(event.member, None)
        else:
            self._members[event.member] = True
        self._ranks.clear()
        self._note_incarnation(event)

    def _note_incarnation(self, event):
        """Remember the last incarnations of each member, and which one lives."""
        if event.status == MEMBER_DEAD:
            self._alive.pop(event.member, None)
        elif event.incarnation:
            self._alive[event.member] = event.incarnation
        if event.incarnation:
            self._names[event.incarnation] = event.member
        while len(self._names) > INCARNATION_LIMIT:
            self._names.pop(next(iter(self._names)))

    def has_ended(self, incarnation):
        """Whether an incarnation is known to have ended."""
        name = self._names.get(incarnation)
        return name is not None and self._alive.get(name) != incarnation

    def avoid(self, member, stream, now):
        """Leave out a member for a while that is silent or cut off from the log."""
        self._avoided_s[member, stream] = now + AVOID_S

    def stop_avoiding(self, member, stream):
        """Consider a member again that has answered."""
        self._avoided_s.pop((member, stream), None)

    def get_writer(self, stream):
        """Return the usual writer of a stream."""
        return self._rank(stream)[0]

    def get_writers(self, stream, count):
        """Return the usual writer and those next in line, `count` in all."""
        return self._rank(stream)[:count]

    def choose(self, stream, now):
        """Return where to submit now, or None when all were tried just now."""
        for member in self._candidates(stream):
            if now >= self._avoided_s.get((member, stream), 0.0):
                return member
        return None

    def _rank(self, stream):
        if stream not in self._ranks:
            self._ranks[stream] = rank_members(stream, self._members)
        return self._ranks[stream]

    def _candidates(self, stream):
        ranked = self._rank(stream)
        if not self._relay:
            return ranked[:1] + [self.name]
        first = ranked[:PEERS_BEFORE_DIRECT]
        return first + [self.name] + ranked[PEERS_BEFORE_DIRECT:]
