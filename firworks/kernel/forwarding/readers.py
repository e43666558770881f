"""Selects the daemons that read the platform's store on behalf of the others.

Load pattern: calls of the store are priced and rate-limited, and every daemon gets the
same data. A daemon therefore subscribes to a reader, chosen by rendezvous hashing among
a few members, and does not read the store itself while the reader's updates are fresh.
The reader may crash, freeze, be partitioned or be rejected by the store at any moment:
it only sends updates after the store has answered it, and a follower that has received
none for ``FRESH_SHARE`` of the leave limit reads the store itself.
"""

from xxhash import xxh64_intdigest

from firworks.kernel.codec import register_record
from firworks.kernel.forwarding.evacuations import Evacuated
from firworks.kernel.forwarding.news import TargetEntry
from firworks.kernel.messages import Record
from firworks.kernel.pools.messages import MemberEntry

# Key for ranking members as readers; the name of a pool ranks its schedulers likewise.
RANKING_KEY = "store"
# A reader sends each follower about two messages per second; for 32 followers this
# takes less than one percent of a core.
FOLLOWERS_PER_READER = 32
# How often a follower renews its subscription, and when it expires without renewal.
FOLLOW_PERIOD_S = 2.0
SUBSCRIPTION_TTL_S = 5.0
# A configuration is forwarded if sending it to all followers takes the reader's link no
# longer than this.
MAX_FORWARDING_S = 0.25
# Minimum time between queries for all members while those of the reader differ: they
# change all the time while many daemons start.
MEMBERS_PERIOD_S = 3.0
# Shares of the leave limit, within which a leaving target must stop getting work. A
# reader sends updates after 0.3 of it. An update counts as fresh for the first share,
# which leaves time for a read of the store; after the second one without an update
# another reader is chosen.
FRESH_SHARE = 0.55
SILENCE_SHARE = 0.75
# A failed reader is tried again after this time, doubled with each further failure.
INITIAL_BACKOFF_S = 5.0
LONGEST_BACKOFF_S = 80.0


@register_record
class FollowStore(Record):
    """Subscribes the sender (MemberEntry) to a reader's updates."""

    __slots__ = ("entry",)
    TYPES = (MemberEntry,)


@register_record
class StoreFacts(Record):
    """Update that a reader sends after the store has answered it.

    Attributes:
        version (int): Version of its configuration; -1 without one.
        position (int): Position up to which the targets' topic has been read.
        digest (bytes): Digest of its targets.
        changed (tuple of TargetEntry): Targets changed since its last update.
        gone (tuple of str): Ids of targets removed since.
        configuration (bytes): Record of a new configuration; empty if it is not new or
            too large to forward.
        members (bytes): Digest of its members.
        joined (tuple of MemberEntry): Members added or changed since its last update.
        left (tuple of str): Names of members that have left since.
        evacuated (Evacuated): Failure domains that get no work.
    """

    __slots__ = (
        "version",
        "position",
        "digest",
        "changed",
        "gone",
        "configuration",
        "members",
        "joined",
        "left",
        "evacuated",
    )
    TYPES = (
        int,
        int,
        bytes,
        (TargetEntry,),
        (str,),
        bytes,
        bytes,
        (MemberEntry,),
        (str,),
        Evacuated,
    )


class ReaderSelector:
    """Decides whether this daemon reads the store or follows a reader, and which one.

    Args:
        roster (Roster): The members.
        leave_limit_s (float): Time within which a leaving target must stop getting
            work.

    Attributes:
        leave_limit_s (float): See above; may be changed.
    """

    def __init__(self, roster, leave_limit_s):
        self.leave_limit_s = leave_limit_s
        self._roster = roster
        self._reader = None
        self._selected_s = 0.0
        self._subscribed_s = 0.0
        self._updated_s = float("-inf")
        self._failures = {}
        self._followers = {}
        self._members_queried_s = float("-inf")

    @property
    def reader(self):
        """Name of the daemon that this one follows, or None."""
        return self._reader

    def must_read(self, now):
        """Return whether this daemon is to read the store itself."""
        is_stale = self._reader is None or not self._is_fresh(now)
        return is_stale or bool(self.list_followers(now))

    def list_followers(self, now):
        """Return the names of the followers; removes expired subscriptions."""
        for name, renewed_s in list(self._followers.items()):
            if now - renewed_s > SUBSCRIPTION_TTL_S:
                del self._followers[name]
        return list(self._followers)

    def add_follower(self, name, now):
        """Add a follower or renew its subscription."""
        self._followers[name] = now

    def record_facts(self, name, now):
        """Record an update from a daemon that is at least as new as the local state."""
        if name == self._reader:
            self._updated_s = now
            self._failures.pop(name, None)

    def must_ask_members(self, digest, now):
        """Return whether to query the reader for all members now.

        Args:
            digest (bytes): Digest of the reader's members.
            now (float): Monotonic seconds.
        """
        if digest == self._roster.digest:
            return False
        if now - self._members_queried_s < MEMBERS_PERIOD_S:
            return False
        self._members_queried_s = now
        return True

    def tick(self, now):
        """Return the name of the daemon to send `FollowStore` now, or None.

        Replaces a reader without an update for ``SILENCE_SHARE`` of the leave limit.
        """
        updated_s = max(self._selected_s, self._updated_s)
        if self._reader is not None and now - updated_s > self._silence_limit_s:
            self._record_failure(self._reader, now)
        reader = self._choose(now)
        if reader != self._reader:
            self._reader, self._selected_s = reader, now
            self._updated_s = float("-inf")
        elif now - self._subscribed_s < FOLLOW_PERIOD_S:
            return None
        self._subscribed_s = now
        return reader

    @property
    def _silence_limit_s(self):
        return SILENCE_SHARE * self.leave_limit_s

    def _is_fresh(self, now):
        return now - self._updated_s <= FRESH_SHARE * self.leave_limit_s

    def _record_failure(self, name, now):
        count = self._failures.get(name, (0, 0.0))[0]
        backoff_s = min(LONGEST_BACKOFF_S, INITIAL_BACKOFF_S * 2**count)
        self._failures[name] = (count + 1, now + backoff_s)

    def _choose(self, now):
        """Return the name of the daemon to follow, or None to read the store."""
        ranked = self._roster.rank(RANKING_KEY)
        own = self._roster.own.name
        count = -(-len(ranked) // FOLLOWERS_PER_READER)
        if own in ranked[:count]:
            return None
        preferred = sorted(
            ranked[:count], key=lambda name: xxh64_intdigest(f"{own}/{name}".encode())
        )
        for name in [*preferred, *ranked[count:]]:
            if name == own:
                return None
            backing_off = self._failures.get(name, (0, 0.0))[1] > now
            if not backing_off and not self._roster.is_suspected(name):
                return name
        return None


def fits_link(size_bytes, followers, link_mbps):
    """Return whether a configuration is small enough to forward to the followers.

    Load pattern: each new configuration is read from the store by every daemon, about a
    hundred priced calls at once, and a burst of configurations multiplies that. A small
    one is forwarded to the followers; one of over a thousand routes would saturate the
    link of the reader, so each follower reads it from the store.

    Args:
        size_bytes (int): Size of its record.
        followers (int): Number of followers.
        link_mbps (float): Bandwidth of the reader's link in Mbit/s.
    """
    return 8 * size_bytes * followers <= MAX_FORWARDING_S * link_mbps * 1_000_000
