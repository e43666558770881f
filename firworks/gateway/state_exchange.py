"""Exchanges news with other gateways while the store does not answer."""

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
    """Asks for news, answers others, and takes in what they tell.

    Args:
        settings (GatewaySettings): Names the seeds.
        roster (Roster): The members.
        members (MembersListener): Takes their entries.
        configurations (ConfigurationListener): Takes configurations.
        targets (TargetsListener): Takes targets.
        rng (random.Random): Chooses whom to ask.
        is_current (callable): ``is_current()`` returns whether what is known here was
            confirmed a moment ago.

    Attributes:
        peers (Peers or None): Set before the first tick.
        targets_follower (TopicFollower or None): Likewise.
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
        self.seeker = PeerQueryPolicy(roster, get_seed_names(settings), rng)

    def apply_settings(self, settings):
        """Take in settings that were read again."""
        self.seeker.set_seeds(get_seed_names(settings))

    def tick(self, now):
        """Ask for news if it is time."""
        for name in self.seeker.choose_peers(now):
            self.ask(name)

    def ask(self, name):
        """Ask a daemon for what is not known here."""
        version = self._configurations.holder.version
        digests = (self._targets.digest, self._roster.digest)
        offset = self._configurations.evacuations.current.offset
        self.peers.send(name, AskNews(self._roster.own, version, *digests, offset))

    def answer(self, record):
        """Tell a daemon (its `AskNews`) what it does not know."""
        self._roster.put(record.entry)
        listed = self._targets.listed and self._members.listed
        if self.seeker.store_unavailable or not (listed and self._is_current()):
            return
        raw = self._configurations.get_record_after(record.version)
        known = self._targets.directory.list_all()
        differs = self._targets.digest != record.digest
        evacuated = self._configurations.evacuations.current
        same = self._roster.digest == record.members
        if same and not (raw or differs or evacuated.offset > record.evacuated):
            return
        entries = tuple(TargetEntry(*target.values()) for target in known)
        members = tuple(self._roster.entries.values())
        self.peers.send(
            record.entry.name,
            News(
                raw,
                differs,
                self.targets_follower.offset,
                entries if differs else (),
                members,
                evacuated,
            ),
        )

    def take(self, peer, record, followed):
        """Take in what another daemon tells.

        Args:
            peer (str): The daemon.
            record (News): What it tells.
            followed (bool): It reads the store for this daemon.
        """
        listed = {entry.name for entry in record.members}
        left = [name for name in self._roster.names if name not in listed]
        self._members.apply_peer_report(record.members, left if followed else ())
        if not self.seeker.store_unavailable and not followed:
            return
        self._configurations.apply_evacuated(record.evacuated, peer)
        if record.configuration:
            self._configurations.apply_record(record.configuration, peer)
        if record.listed and record.offset >= self.targets_follower.offset:
            self.targets_follower.advance(record.offset)
            targets = [Target(*entry.values()) for entry in record.targets]
            self._targets.apply_peer_report(targets)
            log_event(LogEvent.NEWS_TAKEN, peer=peer, targets=len(targets))


def get_seed_names(settings):
    """Return the names (list of str) under which the seeds can be dialed."""
    return [ANY_PEER + address for address in settings.seeds]
