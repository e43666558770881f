"""Follows a daemon that reads the store, and tells those that follow this one."""

from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.news import TargetEntry
from firworks.kernel.forwarding.readers import (
    FollowStore,
    ReaderSelector,
    StoreFacts,
    fits_link,
)


class StoreReplicator:
    """Keeps this daemon's targets and configuration as fresh as its reader's.

    Args:
        settings (GatewaySettings): Of this process.
        roster (Roster): The members.
        members (MembersListener): Takes the entries of members.
        configurations (ConfigurationListener): Holds the configuration.
        targets (TargetsListener): Holds the targets.
        clock (callable): Returns monotonic seconds.
        ask_news (callable): ``ask_news(name)`` asks a daemon for all that it knows.
        mark_confirmed (callable): ``mark_confirmed(now)``, after a reader's word.

    Attributes:
        peers (Peers or None): Set before the first tick.
        targets_follower (TopicFollower or None): Likewise.
        configuration_follower (TopicFollower or None): Likewise.
        members_follower (TopicFollower or None): Likewise.
    """

    def __init__(
        self,
        settings,
        roster,
        members,
        configurations,
        targets,
        clock,
        ask_news,
        mark_confirmed,
    ):
        self.peers = None
        self.targets_follower = None
        self.configuration_follower = None
        self.members_follower = None
        self._members = members
        self._link_mbps = settings.link_mbps
        self._roster = roster
        self._configurations = configurations
        self._targets = targets
        self._clock = clock
        self._ask_news = ask_news
        self._note_confirmed = mark_confirmed
        self._choice = ReaderSelector(roster, settings.leave_limit_ms / 1000)
        self._told = None
        self._told_members = {}
        self._told_version = None
        self._logged = None

    @property
    def reader(self):
        """Name of the daemon that is followed, or None."""
        return self._choice.reader

    def apply_settings(self, settings):
        """Take in settings that were read again."""
        self._choice.leave_limit_s = settings.leave_limit_ms / 1000

    def tick(self, now):
        """Ask for what is new, and read the store or leave it to another daemon."""
        asked = self._choice.tick(now)
        if asked is not None:
            self.peers.send(asked, FollowStore(self._roster.own))
        reads = self._choice.must_read(now)
        self.targets_follower.set_delegated(not reads)
        self.configuration_follower.set_delegated(not reads)
        # A daemon that has not listed the members yet does not know whom to follow.
        self.members_follower.set_delegated(not reads and self._members.listed)
        if (self.reader, reads) != self._logged:
            self._logged = (self.reader, reads)
            log_event(LogEvent.READER_CHANGED, reader=self.reader, reads=reads)

    def add_follower(self, record):
        """Take in that a daemon wants to be told (FollowStore)."""
        self._roster.put(record.entry)
        self._choice.add_follower(record.entry.name, self._clock())

    def apply_facts(self, peer, record):
        """Take in what a daemon has just read (StoreFacts)."""
        if record.offset < self.targets_follower.offset:
            return
        self._choice.record_facts(peer, self._clock())
        self._note_confirmed(self._clock())
        changed = [Target(*entry.values()) for entry in record.changed]
        self._targets.apply_changes(changed, record.gone)
        self.targets_follower.advance(record.offset)
        self._members.apply_peer_report(record.joined, record.left)
        self._configurations.apply_evacuated(record.evacuated, peer)
        if record.configuration:
            self._configurations.apply_record(record.configuration, peer)
        differs = self._targets.digest != record.digest
        if differs or self._choice.must_ask_members(record.members, self._clock()):
            self._ask_news(peer)
        if record.version > self._configurations.holder.version:
            self.configuration_follower.refresh()

    def tell(self):
        """Tell the followers; called after the store has answered."""
        followers = self._choice.list_followers(self._clock())
        listed = self._targets.listed and self._members.listed
        if not followers or not listed:
            self._told = None
            return
        facts = StoreFacts(
            self._configurations.holder.version,
            self.targets_follower.offset,
            self._targets.digest,
            *self._list_changes(),
            self._choose_configuration(len(followers)),
            self._roster.digest,
            *self._list_member_changes(),
            self._configurations.evacuations.current,
        )
        for name in followers:
            self.peers.send(name, facts)

    def _list_changes(self):
        """Return what has changed since the followers were told, and what is gone."""
        known = {one.target_id: one for one in self._targets.directory.list_all()}
        told, self._told = self._told, known
        if told is None:
            return (), ()
        changed = tuple(
            TargetEntry(*target.values())
            for name, target in known.items()
            if told.get(name) != target
        )
        return changed, tuple(name for name in told if name not in known)

    def _list_member_changes(self):
        """Return the entries that are new since the last word, and who has left."""
        known = self._roster.entries
        told, self._told_members = self._told_members, known
        joined = tuple(
            entry for name, entry in known.items() if told.get(name) != entry
        )
        return joined, tuple(name for name in told if name not in known)

    def _choose_configuration(self, followers):
        """Return the record (bytes) to tell; empty when it is told or too large."""
        version = self._configurations.holder.version
        told, self._told_version = self._told_version, version
        raw = b"" if told is None else self._configurations.get_record_after(told)
        return raw if fits_link(len(raw), followers, self._link_mbps) else b""
