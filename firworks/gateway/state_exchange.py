"""Exchanges state with other gateways while the store does not answer."""

from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.directory import Target
from firworks.kernel.forwarding.news import (
    AskNews,
    News,
    PeerQueryPolicy,
    TargetEntry,
)
from firworks.plugins.peer_handshake import ANY_PEER


class StateExchange:
    """Queries peers for newer state, answers their queries, and applies their answers.

    Args:
        settings (GatewaySettings): Lists the seeds.
        roster (Roster): The members.
        members (MembersListener): Applies the entries of members.
        configurations (ConfigurationListener): Applies configurations and evacuations.
        targets (TargetsListener): Applies targets.
        rng (random.Random): Selects the peers to query.
        is_current (callable): ``is_current()`` returns whether the store has confirmed
            this gateway's state recently enough to pass it on.

    Attributes:
        peers (PeerConnections or None): Set before the first tick.
        targets_follower (TopicFollower or None): Set before the first tick.
        query_policy (PeerQueryPolicy): Decides when to query which peers.
    """

    def __init__(
        self, settings, roster, members, configurations, targets, rng, is_current
    ):
        self.peers = None
        self.targets_follower = None
        self._roster = roster
        self._members = members
        self._is_current = is_current
        self._configurations = configurations
        self._targets = targets
        self.query_policy = PeerQueryPolicy(roster, get_seed_names(settings), rng)

    def apply_settings(self, settings):
        """Apply reloaded settings (GatewaySettings)."""
        self.query_policy.set_seeds(get_seed_names(settings))

    def tick(self, now):
        """Query peers if a query is due."""
        for name in self.query_policy.choose_peers(now):
            self.query_peer(name)

    def query_peer(self, name):
        """Ask a peer for what this gateway does not know yet."""
        version = self._configurations.holder.version
        digests = (self._targets.digest, self._roster.digest)
        position = self._configurations.evacuations.current.position
        self.peers.send(name, AskNews(self._roster.own, version, *digests, position))

    def answer_query(self, record):
        """Send the author of a query (AskNews) what it does not know.

        Sends nothing while the store does not answer this gateway, or before all
        topics are listed: its own state may be stale or incomplete.
        """
        self._roster.put(record.entry)
        listed = self._targets.listed and self._members.listed
        if self.query_policy.store_unavailable or not (listed and self._is_current()):
            return
        raw = self._configurations.get_record_after(record.version)
        known = self._targets.directory.list_all()
        differs = self._targets.digest != record.digest
        evacuated = self._configurations.evacuations.current
        same = self._roster.digest == record.members
        is_newer = record.evacuated < evacuated.position
        if same and not (raw or differs or is_newer):
            return
        entries = tuple(TargetEntry(*target.values()) for target in known)
        members = tuple(self._roster.entries.values())
        self.peers.send(
            record.entry.name,
            News(
                raw,
                differs,
                self.targets_follower.position,
                entries if differs else (),
                members,
                evacuated,
            ),
        )

    def apply_state(self, peer, record, followed):
        """Apply a peer's answer to a query.

        While the store answers this gateway, only members and a newer configuration are
        applied, unless the peer is the one that reads the store on its behalf.

        Args:
            peer (str): Name of the peer.
            record (News): The answer.
            followed (bool): Whether the peer reads the store for this gateway.
        """
        listed = {entry.name for entry in record.members}
        left = [name for name in self._roster.names if name not in listed]
        self._members.apply_peer_report(record.members, left if followed else ())
        if record.configuration:
            self._configurations.apply_record(record.configuration, peer)
        if not self.query_policy.store_unavailable and not followed:
            return
        self._configurations.apply_evacuated(record.evacuated, peer)
        known = self.targets_follower.position
        if record.listed and record.position >= known:
            self.targets_follower.advance(record.position)
            targets = [Target(*entry.values()) for entry in record.targets]
            self._targets.apply_peer_report(targets)
            log_event(LogEvent.NEWS_TAKEN, peer=peer, targets=len(targets))


def get_seed_names(settings):
    """Return the names (list of str) that `PeerConnections` resolves to the seeds."""
    return [ANY_PEER + address for address in settings.seeds]
