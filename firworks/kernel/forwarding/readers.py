"""Which daemons read the platform's store for the others.

Load pattern: each call of the store is priced, its rate is limited, and it tells every
daemon the same. A daemon therefore asks another one, chosen by rendezvous hash among a
few, to tell it what is new, and does not read as long as that one's word is fresh. The
other may be killed, frozen, cut off or turned away by the store at any moment: it only
speaks after the store has answered it, and a daemon that has heard nothing for
``FRESH_SHARE`` of the time granted to a leaving target reads for itself.
"""

from xxhash import xxh64_intdigest

from firworks.kernel.codec import register_record
from firworks.kernel.forwarding.evacuations import Evacuated
from firworks.kernel.forwarding.news import TargetEntry
from firworks.kernel.messages import Record
from firworks.kernel.pools.messages import MemberEntry

# Ranks the members as readers, like the name of a pool does as schedulers.
RANKING_KEY = "store"
# A reader sends each follower about two messages a second; 32 of them take it under
# one percent of a core.
FOLLOWERS_PER_READER = 32
# A follower asks again this often, and is told until it has not asked for so long.
FOLLOW_PERIOD_S = 2.0
SUBSCRIPTION_TTL_S = 5.0
# A configuration is told to the followers if that takes the reader's link no longer.
MAX_FORWARDING_S = 0.25
# All members are asked for this often at most, while others than here are known there:
# they change all the time while many daemons start.
MEMBERS_PERIOD_S = 3.0
# Shares of the time within which a leaving target must get no more work. A reader
# speaks after 0.3 of it; its word is fresh for so long, which leaves time for a read of
# the own, and after the second share another reader is chosen.
FRESH_SHARE = 0.55
SILENCE_SHARE = 0.75
# It is asked again after this time, doubled by each further failure.
FIRST_PAUSE_S = 5.0
LONGEST_PAUSE_S = 80.0


@register_record
class FollowStore(Record):
    """Asks a daemon to tell the sender (MemberEntry) what the store tells."""

    __slots__ = ("entry",)
    TYPES = (MemberEntry,)


@register_record
class StoreFacts(Record):
    """What a daemon knows after the store has just answered it.

    Attributes:
        version (int): Of its configuration; -1 without one.
        offset (int): The targets' topic has been read up to here.
        digest (bytes): Of its targets.
        changed (tuple of TargetEntry): Targets that changed since its last word.
        gone (tuple of str): Ids of those that are gone since.
        configuration (bytes): Its record when it is new; empty otherwise, and when it
            is too large to be told.
        members (bytes): Digest of its members.
        joined (tuple of MemberEntry): Members that are new since its last word.
        left (tuple of str): Names of those that have left since.
        evacuated (Evacuated): Failure domains that get no work.
    """

    __slots__ = (
        "version",
        "offset",
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
    """Decides whether this daemon reads the store, and whom it follows otherwise.

    Args:
        roster (Roster): The members.
        leave_limit_s (float): Within this a leaving target must get no more work.

    Attributes:
        leave_limit_s (float): As given; may be set anew.
    """

    def __init__(self, roster, leave_limit_s):
        self.leave_limit_s = leave_limit_s
        self._roster = roster
        self._reader = None
        self._chosen_s = 0.0
        self._asked_s = 0.0
        self._fresh_s = float("-inf")
        self._failures = {}
        self._followers = {}
        self._members_asked_s = float("-inf")

    @property
    def reader(self):
        """Name of the daemon that is followed, or None."""
        return self._reader

    def must_read(self, now):
        """Return whether this daemon is to read the store."""
        unheard = self._reader is None or not self._is_fresh(now)
        return unheard or bool(self.list_followers(now))

    def list_followers(self, now):
        """Return the names of the daemons that are to be told."""
        for name, asked_s in list(self._followers.items()):
            if now - asked_s > SUBSCRIPTION_TTL_S:
                del self._followers[name]
        return list(self._followers)

    def add_follower(self, name, now):
        """Take in that a daemon wants to be told."""
        self._followers[name] = now

    def record_facts(self, name, now):
        """Take in a daemon's word that is not older than what is known here."""
        if name == self._reader:
            self._fresh_s = now
            self._failures.pop(name, None)

    def must_ask_members(self, digest, now):
        """Return whether to ask the reader for all members now.

        Args:
            digest (bytes): Of the members that it knows.
            now (float): Monotonic seconds.
        """
        if digest == self._roster.digest:
            return False
        if now - self._members_asked_s < MEMBERS_PERIOD_S:
            return False
        self._members_asked_s = now
        return True

    def tick(self, now):
        """Return the name of the daemon to ask now, or None."""
        heard_s = max(self._chosen_s, self._fresh_s)
        if self._reader is not None and now - heard_s > self._silence_s:
            self._note_failure(self._reader, now)
        reader = self._choose(now)
        if reader != self._reader:
            self._reader, self._chosen_s = reader, now
            self._fresh_s = float("-inf")
        elif now - self._asked_s < FOLLOW_PERIOD_S:
            return None
        self._asked_s = now
        return reader

    @property
    def _silence_s(self):
        return SILENCE_SHARE * self.leave_limit_s

    def _is_fresh(self, now):
        return now - self._fresh_s <= FRESH_SHARE * self.leave_limit_s

    def _note_failure(self, name, now):
        count = self._failures.get(name, (0, 0.0))[0]
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**count)
        self._failures[name] = (count + 1, now + pause_s)

    def _choose(self, now):
        """Return the daemon to follow, or None when this one reads for itself."""
        ranked = self._roster.rank(RANKING_KEY)
        own = self._roster.own.name
        count = -(-len(ranked) // FOLLOWERS_PER_READER)
        if own in ranked[:count]:
            return None
        first = sorted(
            ranked[:count], key=lambda name: xxh64_intdigest(f"{own}/{name}".encode())
        )
        for name in [*first, *ranked[count:]]:
            if name == own:
                return None
            paused = self._failures.get(name, (0, 0.0))[1] > now
            if not paused and not self._roster.is_suspected(name):
                return name
        return None


def fits_link(size_bytes, followers, link_mbps):
    """Return whether a configuration is told to the followers.

    Load pattern: each new configuration is read from the store by every daemon, some
    hundred priced calls at once, and a storm of them multiplies that. A small one goes
    to the followers by message; one of over a thousand routes would fill the link of
    the reader, and each reads that for itself.

    Args:
        size_bytes (int): Of its record.
        followers (int): How many are told.
        link_mbps (float): Of the reader.
    """
    return 8 * size_bytes * followers <= MAX_FORWARDING_S * link_mbps * 1_000_000
