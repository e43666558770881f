"""A gateway: its parts, listeners and followers of the store."""

import asyncio
import time
import uuid
from random import Random

from firworks.events import LogEvent, log_event
from firworks.gateway.availability import TargetAvailability
from firworks.gateway.callers import CallersServer
from firworks.gateway.connections import TargetConnections
from firworks.gateway.crashes import CrashTracker
from firworks.gateway.drains import GracefulShutdown
from firworks.gateway.followers import TopicFollower
from firworks.gateway.limits import TargetLimits
from firworks.gateway.members import MembersListener
from firworks.gateway.metrics import GatewayMetrics
from firworks.gateway.peers import PeerConnections
from firworks.gateway.pools import Pools
from firworks.gateway.readers import StoreReplicator
from firworks.gateway.readiness import MetricsServer, ReadinessServer
from firworks.gateway.relays import Relay
from firworks.gateway.settings_file import SettingsFile, apply_reloadable
from firworks.gateway.state import ConfigurationListener, TargetsListener
from firworks.gateway.state_exchange import StateExchange
from firworks.gateway.stream_versions import StreamVersions
from firworks.kernel.forwarding.balancer import Balancer
from firworks.kernel.forwarding.news import AskNews, News
from firworks.kernel.forwarding.process_pause import ProcessPauseDetector
from firworks.kernel.forwarding.readers import FollowStore, StoreFacts
from firworks.kernel.forwarding.retry_budget import RetryBudget
from firworks.kernel.forwarding.suspension import SuspensionDetector
from firworks.kernel.forwarding.suspicions import SUSPICION_RECORDS, LeavingTold
from firworks.kernel.pools.messages import MemberEntry, MemberLeaving
from firworks.kernel.pools.roster import Roster
from firworks.kernel.target_limits.messages import LIMIT_RECORDS
from firworks.kernel.versions.messages import VERSION_RECORDS
from firworks.platform.stages import get_handle_address
from firworks.platform.store import (
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    TARGETS_TOPIC,
    StoreClient,
)
from firworks.tasks import start_task

TICK_S = 0.1
# A scheduler that saturates a core with jobs of about 1 kB, and the answers to them,
# sends about this much.
LINK_MBPS_PER_CORE = 100.0
# If the store's answer is lost and its connection is dead, the read times out after
# this plus READ_MARGIN_S. That is less than the 3 s from the end of an outage until the
# store counts as stable again.
CONFIGURATION_LONG_POLL_S = 1.8
# A stale list of members only costs efficiency.
MEMBERS_LONG_POLL_S = 25.0
# Batches the registrations of gateways that start together into few reads.
MEMBERS_READ_INTERVAL_S = 1.5
# Each heartbeat of a target rewrites its entry, so entries are read in batches, at this
# share of the time within which a leaving target must get no more work.
TARGETS_READ_INTERVAL_SHARE = 0.3


# After a process pause, requests check this often whether the state from the store has
# been refreshed.
CATCH_UP_POLL_S = 0.005


class Gateway:
    """One gateway; tests run several in one event loop.

    Args:
        settings (GatewaySettings): Settings of the process.
        output (BoundedOutput or None): The log output, whose dropped lines are counted.
        path (str or None): The settings file, read again when it changes.
        mtime_ns (int or None): The file's mtime from before it was read.

    Attributes:
        incarnation (str): Unique name of this run of the process.
        relay (Relay): Forwards requests to targets and returns their responses.
        pools (Pools): Schedulers of engine pools and stage pools.
        balancer (Balancer): Selects targets of services without a pool.
        retry_budget (RetryBudget): Limits retries.
        crashes (CrashTracker): Quarantines requests that crash targets.
        availability (TargetAvailability): Whether targets accept work now.
        limits (TargetLimits): Permits for targets that name a limit of requests.
        stream_versions (StreamVersions): Software versions at which streams began.
        shutdown (GracefulShutdown): The planned stop, in progress or not.
    """

    def __init__(self, settings, output=None, path=None, mtime_ns=None):
        self.settings = settings
        self._file = SettingsFile(path, mtime_ns)
        self.metrics = GatewayMetrics()
        self._output = output
        self.incarnation = f"{settings.name}.{uuid.uuid4().hex[:8]}"
        self.rng = Random(f"{settings.seed}/{self.incarnation}")
        self.store = StoreClient(settings.store, settings.name)
        self.connections = TargetConnections()
        self._process_pause = ProcessPauseDetector()
        self.balancer = Balancer(settings.failure_domain, self.rng)
        self.retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._configurations, self._targets = self._make_listeners()
        self.roster = Roster(self._make_entry())
        self.limits = TargetLimits(self)
        self.availability = TargetAvailability(self)
        self.stream_versions = StreamVersions(self)
        self.crashes = CrashTracker(self)
        self.pools = self._make_pools()
        self._members = MembersListener(
            self.roster,
            self.store,
            self._add_member,
            self.crashes.apply_stored_suspicion,
        )
        self._state_exchange, self._replicator = self._make_peer_sync()
        self.relay = Relay(self)
        self.callers = CallersServer(self)
        self._readiness = ReadinessServer(self)
        self._metrics_server = MetricsServer(self)
        self.shutdown = GracefulShutdown(self)
        self._tasks, self._followers = [], []
        self._targets_follower = None
        self._was_ready = False
        self._suspension = SuspensionDetector()

    def _make_listeners(self):
        """Return the `ConfigurationListener` and the `TargetsListener`."""
        configurations = ConfigurationListener(
            self._apply_configuration,
            self._apply_evacuated,
            self._on_configuration_store_status,
        )
        targets = TargetsListener(
            self.clock, self._apply_targets, self._on_targets_store_status
        )
        return configurations, targets

    def _make_pools(self):
        """Return the `Pools`, with their connections to the other gateways."""
        pools = Pools(
            self.directory,
            self.connections,
            self.clock,
            self.roster,
            self.metrics,
            self.crashes,
            self.availability,
            self.limits,
            self.settings.stage_memory_reuse,
            self.settings.result_locality == "home",
            self.settings.target_load_reports,
        )
        pools.peers = PeerConnections(
            self.settings,
            self.roster,
            self._receive,
            pools.note_link_lost,
            pools.sync_jobs,
            self._send_state_to_peer,
            self.clock,
        )
        return pools

    def _make_peer_sync(self):
        """Return the `StateExchange` and the `StoreReplicator`."""
        state_exchange = StateExchange(
            self.settings,
            self.roster,
            self._members,
            self._configurations,
            self._targets,
            self.rng,
            self.is_current,
        )
        replicator = StoreReplicator(
            self.settings,
            self.roster,
            self._members,
            self._configurations,
            self._targets,
            self.clock,
            state_exchange.query_peer,
            self._process_pause.mark_confirmed,
            self.store.note_era,
        )
        state_exchange.peers = replicator.peers = self.pools.peers
        return state_exchange, replicator

    def clock(self):
        """Return monotonic seconds that advance while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    @property
    def configuration(self):
        """The `Configuration` in force, or None before one was received."""
        return self._configurations.holder.current

    @property
    def directory(self):
        """The known targets (TargetDirectory)."""
        return self._targets.directory

    @property
    def store_unavailable(self):
        """Whether the store does not answer this gateway."""
        return self._state_exchange.query_policy.store_unavailable

    @property
    def ready(self):
        """Whether the balancer may send callers to this gateway."""
        known = self.configuration is not None and self._targets.listed
        return known and not self.shutdown.begun

    def locate_result(self, handle):
        """Return the failure domain (str) of a stage result, or None if unknown."""
        target = self.directory.find_address(get_handle_address(handle))
        return None if target is None else target.failure_domain

    def reload(self):
        """Read the settings file again and apply it; an invalid file is ignored."""
        settings = self._file.read()
        if settings is None:
            return
        changed = apply_reloadable(self.settings, settings)
        self.retry_budget.configure(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._state_exchange.apply_settings(settings)
        self._replicator.apply_settings(settings)
        if self._targets_follower is not None:
            self._targets_follower.set_read_interval(
                self._get_targets_read_interval_s()
            )
        log_event(LogEvent.SETTINGS_RELOADED, changed=changed)

    def _check_settings(self):
        if self._file.has_changed(self.clock()):
            self.reload()

    def update_metrics(self):
        """Set all gauges to the gateway's current state."""
        dropped = 0 if self._output is None else self._output.dropped
        self.metrics.update(self, self._configurations.holder.version, dropped)

    def _mark_member_leaving(self, record):
        """Apply a gateway's announcement that it is stopping (MemberLeaving)."""
        if self.roster.note_leaving(record.name, record.incarnation):
            log_event(
                LogEvent.MEMBER_CHANGED,
                member=record.name,
                incarnation=record.incarnation,
                status="leaving",
            )

    def _receive(self, peer, record):
        """Dispatch a record from another gateway."""
        if isinstance(record, SUSPICION_RECORDS):
            self.crashes.receive(record, peer)
        elif isinstance(record, LIMIT_RECORDS):
            self.limits.receive(peer, record)
        elif isinstance(record, VERSION_RECORDS):
            self.stream_versions.receive(record, peer)
        elif isinstance(record, LeavingTold):
            self.availability.apply_peer_report(record)
        elif isinstance(record, MemberLeaving):
            self._mark_member_leaving(record)
        elif isinstance(record, AskNews):
            self._state_exchange.answer_query(record)
        elif isinstance(record, News):
            self._state_exchange.apply_state(
                peer, record, peer == self._replicator.reader
            )
        elif isinstance(record, FollowStore):
            self._replicator.add_follower(record)
        elif isinstance(record, StoreFacts):
            self._replicator.apply_facts(peer, record)
        else:
            self.pools.receive(peer, record)

    def broadcast(self, record):
        """Send a record to all other gateways."""
        for name in self.roster.names:
            self.pools.peers.send(name, record)

    async def start(self):
        """Open the listeners and start following the store.

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
        self.store.on_restored = self._on_store_restored
        await self.store.start()
        self._replicator.configuration_follower = self._follow(
            CONFIGURATION_TOPIC, self._configurations, CONFIGURATION_LONG_POLL_S, 0
        )
        self._configurations.follower = self._replicator.configuration_follower
        self._targets_follower = self._follow(
            TARGETS_TOPIC, self._targets, 0, self._get_targets_read_interval_s()
        )
        self._replicator.targets_follower = self._targets_follower
        self._state_exchange.targets_follower = self._targets_follower
        self._replicator.members_follower = self._follow(
            MEMBERS_TOPIC, self._members, MEMBERS_LONG_POLL_S, MEMBERS_READ_INTERVAL_S
        )
        self._tasks.append(start_task("tick", self._tick))
        await self.callers.start(self.settings.callers)
        await self._readiness.start(self.settings.readiness)
        await self._metrics_server.start(self.settings.metrics)

    async def drain(self):
        """Leave the balancer's rotation, finish requests in progress, then stop."""
        await self.shutdown.run()

    async def leave(self):
        """Remove this gateway's own entry from the store."""
        await self._members.leave()

    async def stop(self):
        """Close all listeners and connections and cancel all tasks."""
        await self.callers.stop()
        for task in self._tasks:
            task.cancel()
        self.pools.close()
        self.crashes.close()
        self.limits.close()
        self.stream_versions.close()
        await self.pools.peers.stop()
        await self._readiness.stop()
        await self._metrics_server.stop()
        self.connections.close()
        await self.store.close()
        log_event(LogEvent.DAEMON_STOPPED, name=self.settings.name)

    def _follow(self, topic, listener, wait_s, read_interval_s):
        follower = TopicFollower(self.store, topic, listener, wait_s, read_interval_s)
        self._followers.append(follower)
        # Records of a batch may be left out, so that the topic is listed again.
        self._tasks.append(start_task(topic, follower.run, follower.refresh))
        return follower

    def _get_targets_read_interval_s(self):
        return TARGETS_READ_INTERVAL_SHARE * self.settings.leave_limit_ms / 1000

    def _apply_configuration(self, configuration):
        self.pools.configure(configuration.services)
        self.shutdown.durations.keep({route.name for route in configuration.routes})
        self.stream_versions.configure(configuration)
        if not self._state_exchange.query_policy.store_unavailable:
            self._replicator.publish_facts()

    def _apply_evacuated(self, domains):
        self.directory.set_evacuated(domains)
        self.pools.refresh()
        if not self._state_exchange.query_policy.store_unavailable:
            self._replicator.publish_facts()

    def _on_configuration_store_status(self, answers):
        self._state_exchange.query_policy.record_store_status(
            CONFIGURATION_TOPIC, answers
        )

    def _on_store_restored(self, era, previous):
        """List all topics anew, and write again what this gateway had written."""
        log_event(LogEvent.STORE_RESTORED, era=era, previous=previous)
        for follower in self._followers:
            follower.list_again()
        self.crashes.store_again()
        self.stream_versions.store_again()
        if self._members.listed:
            again = self._members.register_again(self.rng)
            self._tasks.append(asyncio.ensure_future(again))

    def _on_targets_store_status(self, answers):
        """Pause the long polls while reads of the targets find that the store is down.

        Their connections may be dead, so the long polls start again afterwards.
        """
        if answers and not self._targets_follower.is_delegated:
            self._process_pause.mark_confirmed(self.clock())
        for follower in self._followers:
            if follower is not self._targets_follower:
                follower.set_paused(not answers)
        if answers:
            self._replicator.publish_facts()
        self._state_exchange.query_policy.record_store_status(TARGETS_TOPIC, answers)

    def _send_state_to_peer(self, peer):
        """Send a newly connected peer the state that the store does not list."""
        self.availability.send_leaving_targets(peer)
        self.limits.send_limits(peer)
        self.crashes.send_suspicions(peer)
        self.stream_versions.send_versions(peer)

    def _interrupt_followers(self):
        for follower in self._followers:
            follower.interrupt()

    async def catch_up(self):
        """After a process pause, wait until the state from the store is refreshed.

        Returns at the latest when the limit of `ProcessPauseDetector` has passed.
        """
        self._check_process_pause()
        while self._process_pause.must_catch_up(self.clock()):
            followers = (
                self._targets_follower,
                self._replicator.configuration_follower,
            )
            if not any(follower.refresh_pending for follower in followers):
                self._process_pause.mark_caught_up()
                return
            await asyncio.sleep(CATCH_UP_POLL_S)

    def is_current(self):
        """Return whether the store has confirmed the view of it recently enough."""
        limit_s = self.settings.leave_limit_ms / 1000
        return self._process_pause.is_current(self.clock(), limit_s)

    def _check_process_pause(self):
        paused_s = self._process_pause.record_tick(self.clock())
        if paused_s:
            log_event(LogEvent.PROCESS_STOOD_STILL, stood_s=round(paused_s, 3))
            self._targets_follower.refresh()
            self._replicator.configuration_follower.refresh()

    def _check_suspension(self):
        """Restart all reads of the store after the VM was suspended."""
        suspended_s = self._suspension.measure(time.monotonic(), self.clock())
        if suspended_s:
            log_event(LogEvent.VM_SUSPENDED, suspended_s=round(suspended_s, 3))
            self.pools.note_suspended(suspended_s)
            self._interrupt_followers()

    def _apply_targets(self):
        self.availability.refresh()
        self.stream_versions.observe_targets()
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

    def _add_member(self, name):
        self.retry_budget.set_members(self.roster.count)
        self.pools.peers.connect(name)
        # Ahead of the jobs that a restarted scheduler gets on the same connection.
        self.limits.send_limits(name)
        self.pools.note_member(name)

    async def _tick(self):
        while True:
            self._check_process_pause()
            self._check_suspension()
            self._targets.expire()
            self._check_settings()
            self.pools.tick()
            self.crashes.tick()
            self.limits.tick()
            self.stream_versions.tick()
            self._state_exchange.tick(self.clock())
            self._replicator.tick(self.clock())
            if self.ready and not self._was_ready:
                log_event(LogEvent.DAEMON_READY, name=self.settings.name)
            self._was_ready = self.ready
            await asyncio.sleep(TICK_S)
