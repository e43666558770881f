"""Chooses the daemon that schedules a pool, by weighted rendezvous hashing.

Load pattern: daemons join, leave, freeze and are partitioned at any time. Each daemon
ranks the members independently; the first one that is not suspected schedules the pool.
Disagreement only costs efficiency: two schedulers then form smaller batches.

Load pattern: most members of a large fleet are small. A burst saturates the core or the
link of a small scheduler, the others suspect it intermittently, and several schedulers
of one pool overload its targets. Members with a much smaller weight than the largest
therefore rank behind all others.

Load pattern: with few large members, hashing assigns several pools to one of them and
leaves others idle. Pools are therefore assigned in the order of their names, each to a
member that no earlier pool was assigned to, as long as there is one.
"""

from hashlib import blake2b
from math import log

from xxhash import xxh64_intdigest

# Divisor that maps 64-bit hashes to numbers between 0 and 1.
_HASH_RANGE = float(2**64)
DIGEST_BYTES = 8
# Members with less than this share of the largest weight rank behind the others.
MIN_WEIGHT_SHARE = 0.5


class Roster:
    """The members, and which of them this daemon suspects to have failed.

    Args:
        own (MemberEntry): This daemon; it never suspects itself.
    """

    def __init__(self, own):
        self.own = own
        self._members = {own.name: own}
        self._suspected = set()
        self._pools = ()
        self._ranks = {}
        self._digest = None
        self._left = {}

    @property
    def digest(self):
        """Hash of the names and incarnations of all members (bytes)."""
        if self._digest is None:
            digest = blake2b(digest_size=DIGEST_BYTES)
            for entry in sorted(self._members.values(), key=lambda one: one.name):
                digest.update(f"{entry.name} {entry.incarnation}\n".encode())
            self._digest = digest.digest()
        return self._digest

    @property
    def entries(self):
        """Entries of all members by name, this daemon included (dict)."""
        return dict(self._members)

    @property
    def count(self):
        """Number of members, this daemon included."""
        return len(self._members)

    @property
    def names(self):
        """Names of the other members (list of str)."""
        return [name for name in self._members if name != self.own.name]

    def find(self, name):
        """Return the `MemberEntry` of a daemon, or None."""
        return self._members.get(name)

    def find_incarnation(self, name):
        """Return the incarnation (str) of a member, or None."""
        entry = self._members.get(name)
        return None if entry is None else entry.incarnation

    def set_own_address(self, address):
        """Set the "ip:port" at which this daemon listens for others."""
        self.own = self.own.replace(address=address)
        self._members[self.own.name] = self.own
        self._note_change()

    def put(self, entry):
        """Add or update a member; return whether its entry changed.

        The entry of an incarnation that has left is ignored.
        """
        known = self._members.get(entry.name)
        if entry.name == self.own.name or known == entry:
            return False
        if self._left.get(entry.name) == entry.incarnation:
            return False
        self._members[entry.name] = entry
        self._suspected.discard(entry.name)
        self._note_change()
        return True

    def note_incarnation(self, name, incarnation):
        """Update the incarnation of a member; return whether it changed."""
        known = self._members.get(name)
        if known is None:
            return False
        return self.put(known.replace(incarnation=incarnation))

    def remove(self, name):
        """Remove a member; return whether it was known."""
        if name == self.own.name or name not in self._members:
            return False
        del self._members[name]
        self._suspected.discard(name)
        self._note_change()
        return True

    def note_leaving(self, name, incarnation):
        """Remove a member that announced its shutdown; return whether it was known.

        Other daemons may still announce its entry for a while; `put` ignores that.
        """
        known = self._members.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        self._left[name] = incarnation
        return self.remove(name)

    def suspect(self, name):
        """Mark a member as suspected; return whether it was not."""
        if name == self.own.name or name in self._suspected:
            return False
        self._suspected.add(name)
        return True

    def clear(self, name):
        """Clear the suspicion of a member; return whether it was suspected."""
        was_suspected = name in self._suspected
        self._suspected.discard(name)
        return was_suspected

    def is_suspected(self, name):
        """Return whether a member is suspected to have failed."""
        return name in self._suspected

    def set_pools(self, pools):
        """Set the names of the pools that are assigned to the members."""
        pools = tuple(sorted(pools))
        if pools != self._pools:
            self._pools = pools
            self._ranks.clear()

    def rank(self, pool):
        """Return the names of all members, the preferred scheduler of a pool first."""
        if pool not in self._ranks and pool in self._pools:
            taken = set()
            for name in self._pools:
                self._ranks[name] = self._sort(name, taken)
                taken.add(self._ranks[name][0])
        elif pool not in self._ranks:
            self._ranks[pool] = self._sort(pool, set())
        return self._ranks[pool]

    def _sort(self, pool, taken):
        """Return the ranking of a pool, with the members in `taken` ranked lower."""
        members = self._members.values()
        least = MIN_WEIGHT_SHARE * max(entry.weight for entry in members)
        ranked = sorted(
            members,
            key=lambda entry: (
                entry.weight < least,
                entry.name in taken,
                -_score(pool, entry),
                entry.name,
            ),
        )
        return [entry.name for entry in ranked]

    def choose(self, pool):
        """Return the name of the daemon that schedules a pool."""
        for name in self.rank(pool):
            if name not in self._suspected:
                return name
        return self.own.name

    def _note_change(self):
        self._ranks.clear()
        self._digest = None


def _score(pool, entry):
    """Return the weighted rendezvous score of a member for a pool."""
    digest = xxh64_intdigest(f"{pool}/{entry.name}".encode())
    return -entry.weight / log((digest + 0.5) / _HASH_RANGE)
