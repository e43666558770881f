"""Keeps a daemon's configuration at the newest accepted version."""

from functools import singledispatchmethod

from firworks.events import LogEvent
from firworks.kernel.configuration.snapshots import SnapshotSchedule
from firworks.kernel.configuration.configuration import CHECKS
from firworks.kernel.configuration.reader import ConfigurationReader
from firworks.kernel.configuration.records import (
    NO_VERSION,
    ConfigurationFact,
    ConfigurationSent,
    ConfigurationWanted,
    name_stream,
)
from firworks.kernel.fleet.events import (
    TOPIC_CONFIGURATION,
    ConfigurationAccepted,
    FactChanged,
    FactLearned,
    MemberChanged,
)
from firworks.kernel.fleet.live import LiveMembers
from firworks.kernel.messages import (
    AppendFailed,
    AppendRecords,
    WriteLogEvent,
    LogRead,
    LogReadFailed,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    ReadLog,
    RecordsAppended,
    SendPeer,
    Tick,
    VmsListed,
)
from firworks.kernel.node import Part

FOLLOWERS_PER_DOMAIN = 2
FAST_POLL_INTERVAL_S = 1.0
SLOW_POLL_INTERVAL_S = 30.0
READ_TIMEOUT_S = 5.0
PULL_RETRY_INTERVAL_S = 0.5
PULLS_BEFORE_READ = 4
PEERS_ASKED_PER_DOMAIN = 1
PEER_RESPONSE_TIMEOUT_S = 1.0
FACT_TTL_S = 30.0
MAX_WAITING_PEERS = 64


class ConfigurationFollower(Part):
    """Follows the log or the gossip, and puts each newer version in force.

    Args:
        settings (Settings): The daemon's settings.
        rng (random.Random): Spreads polls and carries over time.
        checks (dict of int to callable): See `ConfigurationHistory`.

    Attributes:
        accepted (ConfigurationAccepted): The version in force, or None.
    """

    def __init__(self, settings, rng, checks=CHECKS):
        self.accepted = None
        self._name = settings.name
        self._members = LiveMembers(settings.name, settings.failure_domain)
        self._stream = name_stream(settings.environment)
        self._rng = rng
        self._reader = ConfigurationReader(checks=checks)
        self._next_read_s = 0.0
        self._read_until_s = None
        self._log_failed = False
        self._peers = {}
        self._waiters = {}
        self._wanted = NO_VERSION
        self._next_pull_s = 0.0
        self._pulls = 0
        self._hold_until_s = None
        self._next_fact_s = 0.0
        self._carries = SnapshotSchedule(settings.log_retention_s, rng)
        self._appends = 0
        self._unknown_formats = 0

    @property
    def ready(self):
        """Whether a version is in force."""
        return self.accepted is not None

    @property
    def version(self):
        """The version in force, or ``NO_VERSION``."""
        return self.accepted.version if self.ready else NO_VERSION

    @property
    def history(self):
        """The `ConfigurationHistory` of this daemon."""
        return self._reader.history

    def follows_log(self):
        """Return whether this daemon follows the log for its failure domain."""
        return self._members.rank("configuration") < FOLLOWERS_PER_DOMAIN

    @singledispatchmethod
    def handle(self, event, now):
        """Take one event; see `Part.handle`."""
        return []

    @handle.register
    def _handle_tick(self, event: Tick, now):
        results = self._poll(now)
        results += self._pull(now)
        results += self._state_fact(now)
        results += self._append_carry(event.wall_s, now)
        if self._hold_until_s is not None and now >= self._hold_until_s:
            results += self._put_in_force(now)
        return results

    @handle.register
    def _handle_read(self, event: LogRead, now):
        if event.stream != self._stream:
            return []
        self._read_until_s = None
        self._log_failed = False
        before = self._reader.offset
        self._reader.take(event)
        if not self._reader.at_head and self._reader.offset != before:
            self._next_read_s = now
            return self._poll(now)
        wait_s = FAST_POLL_INTERVAL_S if self.follows_log() else SLOW_POLL_INTERVAL_S
        self._next_read_s = now + wait_s * self._rng.uniform(0.75, 1.0)
        return self._report_formats() + self._put_in_force(now)

    @handle.register
    def _handle_read_failed(self, event: LogReadFailed, now):
        if event.stream != self._stream:
            return []
        self._read_until_s = None
        self._next_read_s = now + FAST_POLL_INTERVAL_S * self._rng.uniform(0.75, 1.25)
        if self._log_failed:
            return []
        self._log_failed = True
        fields = {"stream": self._stream, "version": self.version}
        return [WriteLogEvent(LogEvent.CONFIGURATION_LOG_UNREADABLE, fields)]

    @handle.register
    def _handle_members(self, event: VmsListed | MemberChanged, now):
        self._members.apply_event(event)
        return []

    @handle.register
    def _handle_connected(self, event: PeerConnected, now):
        self._peers[event.peer] = self._members.find_domain(event.peer)
        domains = list(self._peers.values())
        consulted = domains.count(self._peers[event.peer]) > PEERS_ASKED_PER_DOMAIN
        if self.ready or consulted:
            return []
        return [SendPeer(event.peer, ConfigurationWanted(0))]

    @handle.register
    def _handle_disconnected(self, event: PeerDisconnected, now):
        self._peers.pop(event.peer, None)
        self._waiters.pop(event.peer, None)
        return []

    @handle.register
    def _handle_fact(self, event: FactLearned, now):
        if event.topic != TOPIC_CONFIGURATION:
            return []
        if event.value.version <= max(self._wanted, self._known_version()):
            return []
        self._wanted = event.value.version
        self._next_pull_s = now
        self._pulls = 0
        return self._pull(now)

    @handle.register
    def _handle_message(self, event: PeerReceived, now):
        return self._take_message(event.message, event.peer, now)

    @singledispatchmethod
    def _take_message(self, message, peer, now):
        return []

    @_take_message.register
    def _answer_wanted(self, message: ConfigurationWanted, peer, now):
        state = self.history.state
        if state is not None and state.version >= max(message.version, 0):
            return [self._send_state(peer, now)]
        if len(self._waiters) < MAX_WAITING_PEERS:
            self._waiters[peer] = message.version
        return []

    @_take_message.register
    def _take_sent(self, message: ConfigurationSent, peer, now):
        carried = (message.snapshot_position, message.carried_s)
        self.history.adopt(message.carry, *carried)
        if self.ready or self._reader.at_head:
            return self._report_formats() + self._put_in_force(now)
        if self._hold_until_s is None:
            self._hold_until_s = now + PEER_RESPONSE_TIMEOUT_S
        return []

    def _poll(self, now):
        if self._read_until_s is not None and now < self._read_until_s:
            return []
        if now < self._next_read_s:
            return []
        self._read_until_s = now + READ_TIMEOUT_S
        return [ReadLog(self._stream, self._reader.offset)]

    def _known_version(self):
        state = self.history.state
        return NO_VERSION if state is None else state.version

    def _pull(self, now):
        """Ask a connected peer for a version that this daemon lacks."""
        lacking = self._wanted > self._known_version() or not self.ready
        if not lacking or now < self._next_pull_s:
            return []
        self._next_pull_s = now + PULL_RETRY_INTERVAL_S
        self._pulls += 1
        if self._pulls % PULLS_BEFORE_READ == 0:
            self._next_read_s = min(self._next_read_s, now)
        if not self._peers:
            return []
        peer = self._rng.choice(list(self._peers))
        return [SendPeer(peer, ConfigurationWanted(max(self._wanted, 0)))]

    def _send_state(self, peer, now):
        state = self.history.state
        carry = state.make_snapshot(0.0)
        sent = ConfigurationSent(carry, state.snapshot_position, state.carried_s)
        return SendPeer(peer, sent)

    def _put_in_force(self, now):
        """Put the newest version in force; an older one never replaces a newer."""
        state = self.history.state
        if state is None or state.document is None or state.version <= self.version:
            return []
        self._hold_until_s = None
        self._next_fact_s = now
        self.accepted = ConfigurationAccepted(
            state.version, state.digest, state.document
        )
        fields = {"version": state.version, "digest": state.digest}
        results = [self.accepted]
        results.append(WriteLogEvent(LogEvent.CONFIGURATION_IN_FORCE, fields))
        results += self._answer_waiters(now)
        return results + self._state_fact(now)

    def _answer_waiters(self, now):
        served = [p for p, wanted in self._waiters.items() if wanted <= self.version]
        for peer in served:
            del self._waiters[peer]
        return [self._send_state(peer, now) for peer in served]

    def _state_fact(self, now):
        """Tell the fleet the version, if this daemon follows the log."""
        if not self.ready or now < self._next_fact_s:
            return []
        self._next_fact_s = now + FACT_TTL_S / 3
        if not self.follows_log():
            return []
        fact = ConfigurationFact(self.version, self.accepted.digest)
        return [FactChanged(TOPIC_CONFIGURATION, self._stream, fact, FACT_TTL_S)]

    def _report_formats(self):
        count = self.history.unknown_formats
        if count == self._unknown_formats:
            return []
        self._unknown_formats = count
        fields = {"version_kept": self.version}
        return [WriteLogEvent(LogEvent.CONFIGURATION_FORMAT_UNKNOWN, fields)]

    def _append_carry(self, wall_s, now):
        """Append a carry when one is due and no other daemon made it first."""
        history = self.history
        if not self._reader.at_head or not history.known:
            return []
        if not self._carries.choose(history.state, wall_s, self.follows_log, now):
            return []
        carry = history.state.make_snapshot(wall_s)
        self._appends += 1
        append_id = f"configuration-{self._name}-{self._appends}"
        return [AppendRecords(append_id, self._stream, (carry,))]

    @handle.register(RecordsAppended)
    @handle.register(AppendFailed)
    def _handle_append(self, event, now):
        if event.append_id.startswith(f"configuration-{self._name}-"):
            self._next_read_s = now
        return []
