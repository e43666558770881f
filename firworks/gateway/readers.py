"""Replicates the store's contents from a reader gateway to its followers."""

from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.news import TargetEntry
from firworks.kernel.forwarding.positions import get_era
from firworks.kernel.forwarding.readers import (
    FollowStore,
    ReaderSelector,
    StoreFacts,
    fits_link,
)


class StoreReplicator:
    """Follows the gateway that reads the store, or reads it and serves followers.

    The reader sends its followers what it read, so that they need not read the store.

    Args:
        settings (GatewaySettings): Settings of this process.
        roster (Roster): Gateways in the cluster.
        members (MembersListener): Applies the entries of members.
        configurations (ConfigurationListener): Holds the configuration.
        targets (TargetsListener): Holds the targets.
        clock (callable): Returns monotonic seconds.
        ask_news (callable): ``ask_news(name)`` requests the full state of a gateway.
        mark_confirmed (callable): ``mark_confirmed(now)``, called on facts of a reader.
        note_era (callable): ``note_era(era)``, called with the store's era of facts.

    Attributes:
        peers (Peers or None): Set before the first tick.
        targets_follower (TopicFollower or None): Reads the targets; set likewise.
        configuration_follower (TopicFollower or None): Reads the configuration.
        members_follower (TopicFollower or None): Reads the members.
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
        note_era,
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
        self._mark_confirmed = mark_confirmed
        self._note_era = note_era
        self._selector = ReaderSelector(roster, settings.leave_limit_ms / 1000)
        self._published_targets = None
        self._published_members = {}
        self._published_version = None
        self._logged_state = None

    @property
    def reader(self):
        """Name (str) of the gateway that is followed, or None."""
        return self._selector.reader

    def apply_settings(self, settings):
        """Apply reloaded settings."""
        self._selector.leave_limit_s = settings.leave_limit_ms / 1000

    def tick(self, now):
        """Choose and subscribe to a reader; read the store here if there is none."""
        reader_to_ask = self._selector.tick(now)
        if reader_to_ask is not None:
            self.peers.send(reader_to_ask, FollowStore(self._roster.own))
        reads = self._selector.must_read(now)
        self.targets_follower.set_delegated(not reads)
        self.configuration_follower.set_delegated(not reads)
        # Until the members are listed, there is no basis for the choice of a reader.
        self.members_follower.set_delegated(not reads and self._members.listed)
        if (self.reader, reads) != self._logged_state:
            self._logged_state = (self.reader, reads)
            log_event(LogEvent.READER_CHANGED, reader=self.reader, reads=reads)

    def add_follower(self, record):
        """Add or renew the subscription of a follower (FollowStore)."""
        self._roster.put(record.entry)
        self._selector.add_follower(record.entry.name, self._clock())

    def apply_facts(self, peer, record):
        """Apply the facts (StoreFacts) that the peer has just read from the store."""
        self._note_era(get_era(record.position))
        if record.position < self.targets_follower.position:
            return
        self._selector.record_facts(peer, self._clock())
        self._mark_confirmed(self._clock())
        changed = [Target(*entry.values()) for entry in record.changed]
        self._targets.apply_changes(changed, record.gone)
        self.targets_follower.advance(record.position)
        self._members.apply_peer_report(record.joined, record.left)
        self._configurations.apply_evacuated(record.evacuated, peer)
        if record.configuration:
            self._configurations.apply_record(record.configuration, peer)
        differs = self._targets.digest != record.digest
        if differs or self._selector.must_ask_members(record.members, self._clock()):
            self._ask_news(peer)
        if record.version > self._configurations.holder.version:
            self.configuration_follower.refresh()
            # The store may have come back without it.
            self._ask_news(peer)

    def publish_facts(self):
        """Send the state to the followers; called after the store has responded."""
        followers = self._selector.list_followers(self._clock())
        listed = self._targets.listed and self._members.listed
        if not followers or not listed:
            self._published_targets = None
            return
        facts = StoreFacts(
            self._configurations.holder.version,
            self.targets_follower.position,
            self._targets.digest,
            *self._list_target_changes(),
            self._choose_configuration(len(followers)),
            self._roster.digest,
            *self._list_member_changes(),
            self._configurations.evacuations.current,
        )
        for name in followers:
            self.peers.send(name, facts)

    def _list_target_changes(self):
        """Return the changed and the removed targets since the last publication."""
        known = {one.target_id: one for one in self._targets.directory.list_all()}
        published, self._published_targets = self._published_targets, known
        if published is None:
            return (), ()
        changed = tuple(
            TargetEntry(*target.values())
            for name, target in known.items()
            if published.get(name) != target
        )
        return changed, tuple(name for name in published if name not in known)

    def _list_member_changes(self):
        """Return the joined and the departed members since the last publication."""
        known = self._roster.entries
        published, self._published_members = self._published_members, known
        joined = tuple(
            entry for name, entry in known.items() if published.get(name) != entry
        )
        return joined, tuple(name for name in published if name not in known)

    def _choose_configuration(self, followers):
        """Return the new configuration record (bytes); empty if none or too large."""
        version = self._configurations.holder.version
        published, self._published_version = self._published_version, version
        raw = (
            b""
            if published is None
            else self._configurations.get_record_after(published)
        )
        return raw if fits_link(len(raw), followers, self._link_mbps) else b""
