"""The daemon: one asyncio loop that drives the kernel and its adapters."""

import asyncio
import signal
import sys
import time
import uuid

from firworks.adapter import AdapterContext
from firworks.addresses import AddressBook
from firworks.assembly import BUILTIN_PLUGINS, build_kernel
from firworks.burn import BurnRecorder
from firworks.errors import FirworksError
from firworks.events import LogEvent, configure_logs, log_event, log_exception
from firworks.ingress import Ingress
from firworks.kernel.calls import CancelCall, StartCall
from firworks.kernel.fleet.events import DrainExpired, DrainFinished, DrainStarted
from firworks.kernel.messages import (
    PeerConnected,
    PeerDisconnected,
    RequestFinished,
    Tick,
    WriteLogEvent,
)
from firworks.kernel.operators import SendLookupResult
from firworks.kernel.registry import Registry, load_plugins
from firworks.kernel.reports import PollTarget
from firworks.metrics import Metrics
from firworks.plugins.admin import HttpAdmin
from firworks.settings import load_settings
from firworks.tasks import start_task
from firworks.view import DaemonView

TICK_INTERVAL_S = 0.1
DRAIN_POLL_S = 0.02
DEPARTURE_FLUSH_S = 0.2  # for the departure announcement to reach the peers
ADAPTER_KINDS = ("log", "vms", "peers", "targets", "orders", "callers")


class Daemon:
    """One daemon; several may share a loop in tests and the demonstration.

    Args:
        settings (Settings): Settings of this daemon.

    Attributes:
        incarnation (str): Unique identifier of this start of the daemon.
        parts (KernelParts): The kernel and its parts.
        burn (BurnRecorder): Error-budget counts for the service-level report.
        metrics (Metrics): Counters for the metrics endpoint.
        ingress (Ingress): Limits what callers occupy.
        connected_peers (set of str): Peers with an open connection.
        draining (asyncio.Event): Set when a graceful shutdown is requested.
    """

    def __init__(self, settings):
        self.settings = settings
        self.incarnation = f"{settings.name}.{uuid.uuid4().hex[:12]}"
        self.burn = BurnRecorder(settings.name, self.incarnation, time.time())
        self.metrics = Metrics()
        self.ingress = Ingress(settings, self.metrics.record_limited_caller)
        self.draining = asyncio.Event()
        self.adapters = {}
        self.connected_peers = set()
        self._registry = Registry()
        load_plugins(self._registry, BUILTIN_PLUGINS)
        self.parts = build_kernel(settings, self.incarnation, self._registry)
        self.view = DaemonView(self)
        self._admin = HttpAdmin(settings, self.view, self.ingress)
        self._addresses = AddressBook(settings.addresses)
        self._action_handlers = {
            WriteLogEvent: self._write_log,
            RequestFinished: self._count_request,
            SendLookupResult: self.view.complete_lookup,
            StartCall: self._start_call,
            PollTarget: self._poll_target,
            CancelCall: self._cancel_call,
        }
        self._drain_interrupted = asyncio.Event()
        self._tick_task = None
        self._was_ready = False
        self._version = None

    async def start(self):
        """Start the adapters, the admin listener and the kernel's periodic tick.

        Raises:
            OSError: When a listener's address cannot be bound.
        """
        log_event(LogEvent.DAEMON_STARTED, name=self.settings.name)
        self._build_adapters()
        for adapter in self.adapters.values():
            await adapter.start()
        await self._admin.start()
        self._tick_task = start_task("tick", self._tick)

    def clock(self):
        """Return the kernel's monotonic time, in seconds.

        The clock includes time in which the VM is suspended: a resumed daemon must
        see its deadlines and leases expire on time.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def feed(self, event):
        """Pass an event to the kernel and execute the resulting actions.

        An exception in a part or an adapter is logged and affects only this event or
        action: the daemon must continue to serve its other requests.
        """
        self.metrics.observe(event)
        if isinstance(event, PeerConnected):
            self.connected_peers.add(event.peer)
        elif isinstance(event, PeerDisconnected):
            self.connected_peers.discard(event.peer)
        try:
            actions = self.parts.kernel.handle(event, self.clock())
        except Exception as error:
            log_exception(type(event).__name__, error)
            return
        for action in actions:
            self._execute(action)

    def _execute(self, action):
        self.metrics.observe(action)
        try:
            self._action_handlers[type(action)](action)
        except Exception as error:
            log_exception(type(action).__name__, error)

    @property
    def ready(self):
        """Whether a configuration is in force and the daemon is not draining."""
        return self.parts.requests.ready

    @property
    def caller_port(self):
        """The bound port of the callers' listener."""
        return self.adapters["callers", "http"].port

    @property
    def admin_port(self):
        """The bound port of the admin listener."""
        return self._admin.port

    async def drain(self):
        """Reject new requests, wait for those in progress, then stop.

        Returns:
            bool: False when the timeout from settings, or an interrupt, aborted
            requests in progress.
        """
        self.draining.set()
        log_event(LogEvent.DAEMON_DRAINING, name=self.settings.name)
        self.feed(DrainStarted())
        deadline_s = self.clock() + self.settings.drain_timeout_s
        while not self.parts.idle:
            if self.clock() >= deadline_s or self._drain_interrupted.is_set():
                log_event(LogEvent.DAEMON_DRAIN_TIMEOUT, name=self.settings.name)
                self.feed(DrainExpired())
                await self.stop()
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        self.feed(DrainFinished())
        await asyncio.sleep(DEPARTURE_FLUSH_S)
        await self.stop()
        return True

    def interrupt(self):
        """Abort a drain in progress."""
        self._drain_interrupted.set()

    async def stop(self):
        """Stop the tick and the adapters in reverse order of start, callers first."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        for adapter in reversed(self.adapters.values()):
            await adapter.stop()
        await self._admin.stop()
        self.ingress.stop()
        log_event(LogEvent.DAEMON_STOPPED, name=self.settings.name)

    def _build_adapters(self):
        context = AdapterContext(
            self.settings,
            self.incarnation,
            self.feed,
            self.clock,
            self._addresses,
            self.ingress,
        )
        for kind in ADAPTER_KINDS:
            for name in self._registry.names(kind):
                adapter = self._registry.get(kind, name)(context)
                self.adapters[kind, name] = adapter
                for action_type in adapter.ACTIONS:
                    self._action_handlers[action_type] = adapter.carry_out

    def _write_log(self, action):
        log_event(action.event, **action.fields)

    def _count_request(self, action):
        self.burn.record(action, time.time())

    def _start_call(self, action):
        self.adapters["targets", action.kind].start_call(action)

    def _poll_target(self, action):
        self.adapters["targets", action.kind].poll_load(action)

    def _cancel_call(self, action):
        for (kind, _), adapter in self.adapters.items():
            if kind == "targets":
                adapter.cancel_call(action.call_id)

    async def _tick(self):
        while True:
            self.feed(Tick(time.time()))
            self._update_state()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _update_state(self):
        requests = self.parts.requests
        if requests.version != self._version and requests.document is not None:
            self._version = requests.version
            self.burn.set_document(requests.version, requests.document)
        if self.ready and not self._was_ready:
            log_event(LogEvent.DAEMON_READY, name=self.settings.name)
        self._was_ready = self.ready


async def run_daemon(settings):
    """Run a daemon until a signal or an operator drains it.

    A second signal aborts the drain.

    Returns:
        int: Exit code; 0 after a drain that aborted no request.
    """
    daemon = Daemon(settings)

    def drain_or_interrupt():
        if daemon.draining.is_set():
            daemon.interrupt()
        daemon.draining.set()

    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, drain_or_interrupt)
    await daemon.start()
    await daemon.draining.wait()
    return 0 if await daemon.drain() else 1


def main():
    """Run the command ``firworksd SETTINGS.toml`` and exit."""
    arguments = sys.argv[1:]
    if len(arguments) != 1 or arguments[0] in ("-h", "--help"):
        print("usage: firworksd SETTINGS.toml", file=sys.stderr)
        sys.exit(0 if arguments and arguments[0] in ("-h", "--help") else 2)
    try:
        settings = load_settings(arguments[0])
    except FirworksError as error:
        print(f"{int(error.code)} {error.code.name}: {error}", file=sys.stderr)
        sys.exit(2)
    configure_logs(settings.log_format)
    sys.exit(asyncio.run(run_daemon(settings)))


if __name__ == "__main__":
    main()
