"""Which daemon schedules a pool.

Load pattern: daemons come, go, freeze and are cut off at any time. Each daemon ranks
the members by itself; the first that is not suspected schedules the pool. Daemons that
disagree cost efficiency only: two schedulers then form smaller batches.

Load pattern: most members of a large fleet are small. A burst fills the core or the
link of a small scheduler, the others suspect it by turns, and a pool has several
schedulers that send calls on top of each other's. Members with much less room than the
largest therefore rank behind all others.

Load pattern: with few large members, hashes put several pools on one of them and leave
others idle. In the order of their names, each pool takes a member that no earlier one
has taken, as long as there is one.
"""

from hashlib import blake2b
from math import log

from xxhash import xxh64_intdigest

# Hashes are mapped to numbers between 0 and 1.
_HASH_RANGE = float(2**64)
DIGEST_BYTES = 8
# Members with less than this share of the room of the largest rank behind the others.
MIN_WEIGHT_SHARE = 0.5


class Roster:
    """Members and whom this daemon suspects.

    Args:
        own (MemberEntry): This daemon; it is never suspected.
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
        """Hash of the members and their runs (bytes)."""
        if self._digest is None:
            digest = blake2b(digest_size=DIGEST_BYTES)
            for entry in sorted(self._members.values(), key=lambda one: one.name):
                digest.update(f"{entry.name} {entry.incarnation}\n".encode())
            self._digest = digest.digest()
        return self._digest

    @property
    def entries(self):
        """Entries of all members, this daemon's included (dict by name)."""
        return dict(self._members)

    @property
    def count(self):
        """How many members are known."""
        return len(self._members)

    @property
    def names(self):
        """Names of the other members."""
        return [name for name in self._members if name != self.own.name]

    def find(self, name):
        """Return the `MemberEntry` of a daemon, or None."""
        return self._members.get(name)

    def find_incarnation(self, name):
        """Return the incarnation (str) of a member, or None."""
        entry = self._members.get(name)
        return None if entry is None else entry.incarnation

    def set_own_address(self, address):
        """Take in the "ip:port" at which this daemon listens for others."""
        self.own = self.own.replace(address=address)
        self._members[self.own.name] = self.own
        self._note_change()

    def put(self, entry):
        """Take in a member; return whether it is new or has started anew."""
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
        """Take in which run of a member has answered; return whether it is new."""
        known = self._members.get(name)
        if known is None:
            return False
        return self.put(known.replace(incarnation=incarnation))

    def remove(self, name):
        """Take in that a member has left; return whether it was known."""
        if name == self.own.name or name not in self._members:
            return False
        del self._members[name]
        self._suspected.discard(name)
        self._note_change()
        return True

    def note_leaving(self, name, incarnation):
        """Take in that a run of a member stops; return whether it was a member.

        Its entry may still be told for a while and does not make it one again.
        """
        known = self._members.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        self._left[name] = incarnation
        return self.remove(name)

    def suspect(self, name):
        """Take in that a member does not answer; return whether that is new."""
        if name == self.own.name or name in self._suspected:
            return False
        self._suspected.add(name)
        return True

    def clear(self, name):
        """Take in that a member answers; return whether it was suspected."""
        known = name in self._suspected
        self._suspected.discard(name)
        return known

    def is_suspected(self, name):
        """Return whether a member is taken for unreachable."""
        return name in self._suspected

    def set_pools(self, pools):
        """Take in the names of the pools that share the members."""
        pools = tuple(sorted(pools))
        if pools != self._pools:
            self._pools = pools
            self._ranks.clear()

    def rank(self, pool):
        """Return the names of all members, the pool's first scheduler first."""
        if pool not in self._ranks and pool in self._pools:
            taken = set()
            for name in self._pools:
                self._ranks[name] = self._sort(name, taken)
                taken.add(self._ranks[name][0])
        elif pool not in self._ranks:
            self._ranks[pool] = self._sort(pool, set())
        return self._ranks[pool]

    def _sort(self, pool, taken):
        """Return the names of all members, those that other pools took behind."""
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
