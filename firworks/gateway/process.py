"""The gateway process: one loop, its listeners and what it follows."""

import asyncio
import gc
import signal
import sys
import time
import uuid
from random import Random

from firworks.errors import FirworksError
from firworks.events import LogEvent, configure_logs, log_event
from firworks.gateway.answers import SERVER_NAME
from firworks.gateway.callers import CallersServer
from firworks.gateway.connections import TargetConnections
from firworks.gateway.crashes import CrashTracker
from firworks.gateway.drains import drain
from firworks.gateway.followers import TopicFollower
from firworks.gateway.members import MembersListener
from firworks.gateway.metrics import GatewayMetrics
from firworks.gateway.state_exchange import StateExchange
from firworks.gateway.peers import PeerConnections
from firworks.gateway.pools import Pools
from firworks.gateway.readers import StoreReplicator
from firworks.gateway.readiness import MetricsServer, ReadinessServer
from firworks.gateway.relays import Relay
from firworks.gateway.settings import find_settings_path, load_gateway_settings
from firworks.gateway.settings_file import SettingsFile, apply_reloadable, read_mtime_ns
from firworks.gateway.availability import TargetAvailability
from firworks.gateway.state import ConfigurationListener, TargetsListener
from firworks.kernel.forwarding.balancer import Balancer
from firworks.kernel.forwarding.news import AskNews, News
from firworks.kernel.forwarding.readers import FollowStore, StoreFacts
from firworks.kernel.forwarding.retry_budget import RetryBudget
from firworks.kernel.forwarding.process_pause import ProcessPauseDetector
from firworks.kernel.forwarding.suspension import SuspensionDetector
from firworks.kernel.forwarding.suspicions import SUSPICION_RECORDS, LeavingTold
from firworks.kernel.pools.messages import (
    MemberEntry,
    MemberLeaving,
)
from firworks.kernel.pools.roster import Roster
from firworks.log_output import BoundedOutput
from firworks.platform.stages import get_handle_address
from firworks.platform.store import (
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    TARGETS_TOPIC,
    StoreClient,
)

TICK_S = 0.1
# A scheduler that fills a core with jobs of a kilobyte or so, and the answers to them,
# sends about this much.
LINK_MBPS_PER_CORE = 100.0
# A read of the configuration waits this long. An answer of the store may be lost, and
# its connection then carries nothing: with READ_MARGIN_S, the loss is noticed before
# the store counts as stable again, 3 s after its trouble.
CONFIGURATION_WAIT_S = 1.8
# A stale list of members costs efficiency only.
MEMBERS_WAIT_S = 25.0
# Many daemons that start together are read in few calls.
MEMBERS_PAUSE_S = 1.5
# Entries of targets change with each heartbeat; they are read in bundles, one in this
# share of the time within which a leaving target must get no more work.
TARGETS_PAUSE_SHARE = 0.3


# Requests that came while the process stood still look this often whether its view of
# the store has been renewed.
CATCH_UP_POLL_S = 0.005


class Gateway:
    """One gateway; several may share a loop in tests.

    Args:
        settings (GatewaySettings): Settings of the process.
        output (BoundedOutput or None): Where the log goes, for its metric.
        path (str or None): The settings file, to be read again when it changes.
        stamp (int or None): Its time stamp from before it was read.

    Attributes:
        incarnation (str): Unique name of this run.
        relay (Relay): Carries requests to their answers.
        pools (Pools): Schedulers of engines and stage pools.
        balancer (Balancer): Chooses targets of other services.
        retry_budget (RetryBudget): Bounds resends.
    """

    def __init__(self, settings, output=None, path=None, stamp=None):
        self.settings = settings
        self._file = SettingsFile(path, stamp)
        self.metrics = GatewayMetrics()
        self._output = output
        self.incarnation = f"{settings.name}.{uuid.uuid4().hex[:8]}"
        self.rng = Random(f"{settings.seed}/{self.incarnation}")
        self.store = StoreClient(settings.store, settings.name)
        self.connections = TargetConnections()
        self._standstill = ProcessPauseDetector()
        self.balancer = Balancer(settings.failure_domain, self.rng)
        self.retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._configurations = ConfigurationListener(
            self._apply_configuration,
            self._apply_evacuated,
            self._note_configurations,
        )
        self._targets = TargetsListener(
            self.clock, self._apply_targets, self._note_targets
        )
        self.roster = Roster(self._make_entry())
        self.availability = TargetAvailability(self)
        self.crashes = CrashTracker(self)
        self.pools = Pools(
            self.directory,
            self.connections,
            self.clock,
            self.roster,
            self.metrics,
            self.crashes,
            self.availability,
        )
        self.pools.peers = PeerConnections(
            settings,
            self.roster,
            self._receive,
            self.pools.note_link_lost,
            self.pools.sync_jobs,
            self._brief,
            self.clock,
        )
        self._members = MembersListener(
            self.roster, self.store, self._welcome_member, self.crashes.apply_stored_suspicion
        )
        self._state_exchange, self._readers = self._make_desks()
        self.relay = Relay(self)
        self.callers = CallersServer(self)
        self._readiness = ReadinessServer(self)
        self._metrics_server = MetricsServer(self)
        self.draining = asyncio.Event()
        self._tasks = []
        self._followers = []
        self._targets_follower = None
        self._was_ready = False
        self._suspension = SuspensionDetector()

    def _make_desks(self):
        """Return what learns from other gateways: `StateExchange` and `StoreReplicator`."""
        news = StateExchange(
            self.settings,
            self.roster,
            self._members,
            self._configurations,
            self._targets,
            self.rng,
            self._is_current,
        )
        readers = StoreReplicator(
            self.settings,
            self.roster,
            self._members,
            self._configurations,
            self._targets,
            self.clock,
            news.ask,
            self._standstill.mark_confirmed,
        )
        news.peers = readers.peers = self.pools.peers
        return news, readers

    def clock(self):
        """Return monotonic seconds that go on while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    @property
    def configuration(self):
        """The `Configuration` in force, or None."""
        return self._configurations.holder.current

    @property
    def directory(self):
        """The `TargetDirectory`."""
        return self._targets.directory

    @property
    def ready(self):
        """Whether callers may be sent here."""
        known = self.configuration is not None and self._targets.listed
        return known and not self.draining.is_set()

    def prepare_response(self, http, response):
        """Set what every answer to a caller carries."""
        response.headers.setdefault("Server", SERVER_NAME)
        if self.draining.is_set():
            response.force_close()

    def locate_result(self, handle):
        """Return the failure domain (str) of a stage result, or None."""
        target = self.directory.find_address(get_handle_address(handle))
        return None if target is None else target.failure_domain

    def reload(self):
        """Read the settings file again; one that is not valid changes nothing."""
        settings = self._file.read()
        if settings is None:
            return
        changed = apply_reloadable(self.settings, settings)
        self.retry_budget.configure(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._state_exchange.apply_settings(settings)
        self._readers.apply_settings(settings)
        if self._targets_follower is not None:
            self._targets_follower.set_read_interval(self._get_targets_pause_s())
        log_event(LogEvent.SETTINGS_RELOADED, changed=changed)

    def _check_settings(self):
        if self._file.has_changed(self.clock()):
            self.reload()

    def update_metrics(self):
        """Set the gauges of the gateway's state."""
        metrics = self.metrics
        metrics.store_calls.set(self.store.calls)
        metrics.store_bytes.set(self.store.read_bytes)
        metrics.connections.set(self.connections.opened)
        metrics.members.set(self.roster.count)
        metrics.in_progress.set(self.callers.in_progress)
        metrics.suspended.set(self.crashes.quarantined_count)
        metrics.queued.set(self.pools.queued_pieces)
        metrics.ready.set(int(self.ready))
        metrics.version.set(self._configurations.holder.version)
        dropped = 0 if self._output is None else self._output.dropped
        metrics.log_lines_dropped.set(dropped)

    def _note_leaving(self, record):
        """Take in that another gateway stops (MemberLeaving)."""
        if self.roster.note_leaving(record.name, record.incarnation):
            log_event(
                LogEvent.MEMBER_CHANGED,
                member=record.name,
                incarnation=record.incarnation,
                status="leaving",
            )

    def _receive(self, peer, record):
        """Take a record from another gateway."""
        if isinstance(record, SUSPICION_RECORDS):
            self.crashes.receive(record, peer)
        elif isinstance(record, LeavingTold):
            self.availability.apply_peer_report(record)
        elif isinstance(record, MemberLeaving):
            self._note_leaving(record)
        elif isinstance(record, AskNews):
            self._state_exchange.answer(record)
        elif isinstance(record, News):
            self._state_exchange.take(peer, record, peer == self._readers.reader)
        elif isinstance(record, FollowStore):
            self._readers.add_follower(record)
        elif isinstance(record, StoreFacts):
            self._readers.apply_facts(peer, record)
        else:
            self.pools.receive(peer, record)

    def broadcast(self, record):
        """Send a record to all other gateways."""
        for name in self.roster.names:
            self.pools.peers.send(name, record)

    async def start(self):
        """Open the listeners and begin to follow the store.

        Raises:
            OSError: When an address cannot be bound.
        """
        log_event(
            LogEvent.DAEMON_STARTED,
            name=self.settings.name,
            incarnation=self.incarnation,
        )
        await self.pools.peers.start()
        host = self.settings.peers.rsplit(":", 1)[0]
        self.roster.set_own_address(f"{host}:{self.pools.peers.port}")
        await self.store.start()
        self._readers.configuration_follower = self._follow(
            CONFIGURATION_TOPIC, self._configurations, CONFIGURATION_WAIT_S, 0
        )
        self._configurations.follower = self._readers.configuration_follower
        self._targets_follower = self._follow(
            TARGETS_TOPIC, self._targets, 0, self._get_targets_pause_s()
        )
        self._readers.targets_follower = self._targets_follower
        self._state_exchange.targets_follower = self._targets_follower
        self._readers.members_follower = self._follow(
            MEMBERS_TOPIC, self._members, MEMBERS_WAIT_S, MEMBERS_PAUSE_S
        )
        self._tasks.append(asyncio.ensure_future(self._tick()))
        await self.callers.start(self.settings.callers)
        await self._readiness.start(self.settings.readiness)
        await self._metrics_server.start(self.settings.metrics)

    async def drain(self):
        """Leave the rotation, let requests in progress end, then stop."""
        await drain(self)

    async def leave(self):
        """Take this daemon's own entry out of the store."""
        await self._members.leave()

    async def stop(self):
        """Close everything."""
        await self.callers.stop()
        for task in self._tasks:
            task.cancel()
        self.pools.close()
        self.crashes.close()
        await self.pools.peers.stop()
        await self._readiness.stop()
        await self._metrics_server.stop()
        self.connections.close()
        await self.store.close()
        log_event(LogEvent.DAEMON_STOPPED, name=self.settings.name)

    def _follow(self, topic, listener, wait_s, pause_s):
        follower = TopicFollower(self.store, topic, listener, wait_s, pause_s)
        self._followers.append(follower)
        self._tasks.append(asyncio.ensure_future(follower.run()))
        return follower

    def _get_targets_pause_s(self):
        return TARGETS_PAUSE_SHARE * self.settings.leave_limit_ms / 1000

    def _apply_configuration(self, configuration):
        self.pools.configure(configuration.services)
        if not self._state_exchange.seeker.store_unavailable:
            self._readers.publish_facts()

    def _apply_evacuated(self, domains):
        self.directory.set_evacuated(domains)
        self.pools.refresh()
        if not self._state_exchange.seeker.store_unavailable:
            self._readers.publish_facts()

    def _note_configurations(self, answers):
        self._state_exchange.seeker.record_store_status(CONFIGURATION_TOPIC, answers)

    def _note_targets(self, answers):
        """Hold the long reads while the frequent one finds the store silent.

        Their connections may carry nothing, so that they begin anew afterwards.
        """
        if answers and not self._targets_follower.rests:
            self._standstill.mark_confirmed(self.clock())
        for follower in self._followers:
            if follower is not self._targets_follower:
                follower.set_paused(not answers)
        if answers:
            self._readers.publish_facts()
        self._state_exchange.seeker.record_store_status(TARGETS_TOPIC, answers)

    def _brief(self, peer):
        """Tell another gateway what only gateways know, on a new connection."""
        self.availability.send_leaving_targets(peer)
        self.crashes.send_suspicions(peer)

    def _interrupt_followers(self):
        for follower in self._followers:
            follower.interrupt()

    async def catch_up(self):
        """Wait until the view of the store is renewed, if this process stood still."""
        self._check_standstill()
        while self._standstill.must_catch_up(self.clock()):
            followers = (self._targets_follower, self._readers.configuration_follower)
            if not any(follower.refreshing for follower in followers):
                self._standstill.mark_caught_up()
                return
            await asyncio.sleep(CATCH_UP_POLL_S)

    def _check_standstill(self):
        stood_s = self._standstill.record_tick(self.clock())
        if stood_s:
            log_event(LogEvent.PROCESS_STOOD_STILL, stood_s=round(stood_s, 3))
            self._targets_follower.refresh()
            self._readers.configuration_follower.refresh()

    def _is_current(self):
        """Return whether what is known here may be told to others."""
        limit_s = self.settings.leave_limit_ms / 1000
        return self._standstill.is_current(self.clock(), limit_s)

    def _check_suspension(self):
        """Read the store anew after the VM stood still."""
        suspended_s = self._suspension.measure(time.monotonic(), self.clock())
        if suspended_s:
            log_event(LogEvent.VM_SUSPENDED, suspended_s=round(suspended_s, 3))
            self.pools.note_suspended(suspended_s)
            self._interrupt_followers()

    def _apply_targets(self):
        self.availability.refresh()
        self.pools.refresh()

    def _make_entry(self):
        settings = self.settings
        return MemberEntry(
            settings.name,
            self.incarnation,
            settings.peers,
            settings.failure_domain,
            min(settings.cpu_share, settings.link_mbps / LINK_MBPS_PER_CORE),
        )

    def _welcome_member(self, name):
        self.retry_budget.set_members(self.roster.count)
        self.pools.peers.connect(name)
        self.pools.note_member(name)

    async def _tick(self):
        while True:
            self._check_standstill()
            self._check_suspension()
            self._targets.expire()
            self._check_settings()
            self.pools.tick()
            self.crashes.tick()
            self._state_exchange.tick(self.clock())
            self._readers.tick(self.clock())
            if self.ready and not self._was_ready:
                log_event(LogEvent.DAEMON_READY, name=self.settings.name)
            self._was_ready = self.ready
            await asyncio.sleep(TICK_S)


async def run_gateway(settings, output=None, path=None, stamp=None):
    """Run a gateway until a signal has drained it.

    Args:
        settings (GatewaySettings): Of the process.
        output (BoundedOutput or None): Where the log goes, for its metric.
        path (str or None): The settings file.
        stamp (int or None): Its time stamp from before it was read.
    """
    gateway = Gateway(settings, output, path, stamp)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start()
    # What exists by now lives as long as the process.
    gc.freeze()
    gc.enable()
    await stopping.wait()
    await gateway.drain()


def main():
    """Entry point of ``python -m firworks.gateway [SETTINGS.toml]``."""
    try:
        path = find_settings_path(sys.argv[1:])
        stamp = read_mtime_ns(path)
        settings = load_gateway_settings(path)
    except FirworksError as error:
        print(f"firworks: {error}", file=sys.stderr)
        sys.exit(2)
    output = BoundedOutput(sys.stdout.fileno(), time.monotonic)
    configure_logs(settings.log_format, output)
    asyncio.run(run_gateway(settings, output, path, stamp))
