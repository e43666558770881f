"""A bounded table of the latest fact of each topic, key and origin."""

from xxhash import xxh64_intdigest

from firworks.kernel.codec import encode_record
from firworks.kernel.topics import find_priority, is_shared

TABLE_LIMIT = 4_096
TTL_LIMIT_S = 86_400.0
ENCODING_MAX_AGE_S = 1.0


class FactEntry:
    """A stored fact.

    Attributes:
        fact (Fact): The latest of its identity.
        data (bytes): Its encoding, with the TTL left at `encoded_s`; empty until it
            is first sent.
        encoded_s (float): When `data` was encoded or received.
        stored_s (float): When it was stored.
        expires_s (float): When it expires.
        version_hash (int): Hash of identity and version, part of the table's
            checksum; 0 when the fact is not fleet-wide.
    """

    __slots__ = ("fact", "data", "encoded_s", "stored_s", "expires_s", "version_hash")

    def __init__(self, fact, now, data):
        self.fact = fact
        self.data = data
        self.encoded_s = now if data else float("-inf")
        self.stored_s = now
        self.expires_s = now + min(fact.ttl_s, TTL_LIMIT_S)
        self.version_hash = _hash_fact(fact) if is_shared(fact.topic) else 0

    def encode(self, now):
        """Return the encoded fact; its TTL is up to ``ENCODING_MAX_AGE_S`` old."""
        if now - self.encoded_s > ENCODING_MAX_AGE_S:
            ttl_s = round(self.expires_s - now, 1)
            self.data = encode_record(self.fact.replace(ttl_s=ttl_s))
            self.encoded_s = now
        return self.data


class FactTable:
    """Latest fact by identity; evicts facts of the lowest priority when full.

    Args:
        limit (int): Maximum number of entries.

    Attributes:
        checksum (int): XOR of the version hashes of all fleet-wide facts.
        evictions (int): Entries evicted so far.
    """

    def __init__(self, limit=TABLE_LIMIT):
        self.checksum = 0
        self.evictions = 0
        self._limit = limit
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def find(self, identity):
        """Return the `FactEntry` of an identity, or None."""
        return self._entries.get(identity)

    def store(self, fact, now, data=b""):
        """Store a fact if it is newer than the known one of its identity.

        Args:
            fact (Fact): The fact.
            now (float): Monotonic time in seconds.
            data (bytes): Its encoding as received, or empty.

        Returns:
            FactEntry or None: None if it is not newer, has expired, or does not fit.
        """
        old = self._entries.get(fact.identity)
        if not fact.ttl_s > 0:  # also true for NaN
            return None
        if old is not None and old.fact.version >= fact.version:
            return None
        if old is None and len(self._entries) >= self._limit and not self._evict(fact):
            return None
        entry = FactEntry(fact, now, data)
        self._entries[fact.identity] = entry
        self.checksum ^= entry.version_hash ^ (old.version_hash if old else 0)
        return entry

    def expire(self, now):
        """Remove the entries whose TTL has passed."""
        expired = [key for key, e in self._entries.items() if e.expires_s <= now]
        for identity in expired:
            self._remove(identity)

    def list_entries(self):
        """Return all entries."""
        return list(self._entries.values())

    def list_shared(self):
        """Return the entries of fleet-wide facts."""
        return [e for e in self._entries.values() if is_shared(e.fact.topic)]

    def _evict(self, fact):
        """Evict an entry to store a fact; False if all have a higher priority."""
        order = find_priority(fact.topic)
        worst = max(self._entries.values(), key=_eviction_key)
        if find_priority(worst.fact.topic) < order:
            return False
        self._remove(worst.fact.identity)
        self.evictions += 1
        return True

    def _remove(self, identity):
        self.checksum ^= self._entries.pop(identity).version_hash


def _eviction_key(entry):
    """Return a sort key; the entry with the largest is evicted first."""
    return (find_priority(entry.fact.topic), -entry.expires_s, entry.fact.identity)


def _hash_fact(fact):
    parts = (*fact.identity, *(str(number) for number in fact.version))
    return xxh64_intdigest("\0".join(parts).encode())
