"""A bounded table of the newest fact of each topic, key and origin."""

from xxhash import xxh64_intdigest

from firworks.kernel.codec import encode_record
from firworks.kernel.topics import find_priority, is_shared

TABLE_LIMIT = 4_096
TTL_LIMIT_S = 86_400.0
ENCODING_MAX_AGE_S = 1.0


class FactEntry:
    """A stored fact.

    Attributes:
        fact (Fact): The newest of its identity.
        data (bytes): It as it travels, with the lifetime left at `encoded_s`; empty
            until it is sent.
        encoded_s (float): When `data` was made or received.
        stored_s (float): When it was stored.
        expires_s (float): When it is forgotten.
        mark (int): Its part of the table's hash; 0 when it is not fleet-wide.
    """

    __slots__ = ("fact", "data", "encoded_s", "stored_s", "expires_s", "mark")

    def __init__(self, fact, now, data):
        self.fact = fact
        self.data = data
        self.encoded_s = now if data else float("-inf")
        self.stored_s = now
        self.expires_s = now + min(fact.ttl_s, TTL_LIMIT_S)
        self.mark = _hash_fact(fact) if is_shared(fact.topic) else 0

    def encode(self, now):
        """Return the fact's bytes with the lifetime that is left."""
        if now - self.encoded_s > ENCODING_MAX_AGE_S:
            ttl_s = round(self.expires_s - now, 1)
            self.data = encode_record(self.fact.replace(ttl_s=ttl_s))
            self.encoded_s = now
        return self.data


class FactTable:
    """Newest fact by identity; the least urgent give way when it is full.

    Args:
        limit (int): Entries that it holds at most.
    """

    def __init__(self, limit=TABLE_LIMIT):
        self.digest = 0
        self.evictions = 0
        self._limit = limit
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def find(self, identity):
        """Return the `FactEntry` of an identity, or None."""
        return self._entries.get(identity)

    def store(self, fact, now, data=b""):
        """Store a fact if it is newer; returns its entry, or None when it is not.

        Args:
            fact (Fact): The fact.
            now (float): Monotonic time in seconds.
            data (bytes): Its encoding, when that is at hand.
        """
        old = self._entries.get(fact.identity)
        if not fact.ttl_s > 0:  # also refuses a NaN
            return None
        if old is not None and old.fact.version >= fact.version:
            return None
        if old is None and len(self._entries) >= self._limit and not self._evict(fact):
            return None
        entry = FactEntry(fact, now, data)
        self._entries[fact.identity] = entry
        self.digest ^= entry.mark ^ (old.mark if old else 0)
        return entry

    def expire(self, now):
        """Forget the entries whose time is over."""
        over = [key for key, e in self._entries.items() if e.expires_s <= now]
        for identity in over:
            self._remove(identity)

    def list_entries(self):
        """Return all entries."""
        return list(self._entries.values())

    def list_shared(self):
        """Return the entries of fleet-wide facts."""
        return [e for e in self._entries.values() if is_shared(e.fact.topic)]

    def _evict(self, fact):
        """Make room for a fact; returns False when all others matter more."""
        order = find_priority(fact.topic)
        worst = max(self._entries.values(), key=_rate_entry)
        if find_priority(worst.fact.topic) < order:
            return False
        self._remove(worst.fact.identity)
        self.evictions += 1
        return True

    def _remove(self, identity):
        self.digest ^= self._entries.pop(identity).mark


def _rate_entry(entry):
    """Order entries by how well the table can do without them."""
    return (find_priority(entry.fact.topic), -entry.expires_s, entry.fact.identity)


def _hash_fact(fact):
    parts = (*fact.identity, *(str(number) for number in fact.version))
    return xxh64_intdigest("\0".join(parts).encode())
