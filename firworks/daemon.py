"""The daemon: one asyncio loop that drives the kernel and its adapters."""

import asyncio
import signal
import sys
import time
import uuid

from firworks.adapter import AdapterContext
from firworks.assembly import BUILTIN_PLUGINS, build_kernel
from firworks.errors import FirworksError
from firworks.events import LogEvent, configure_logs, log_event
from firworks.kernel.fleet import DrainExpired, DrainStarted
from firworks.kernel.messages import LogCatalogued, RequestFinished, Tick
from firworks.kernel.registry import KINDS, Registry, load_plugins
from firworks.settings import load_settings

TICK_INTERVAL_S = 0.05
DRAIN_POLL_S = 0.02


class Daemon:
    """One daemon; several may share a loop in tests and the demonstration.

    Args:
        settings (Settings): Settings of this daemon.
    """

    def __init__(self, settings):
        self.settings = settings
        self.incarnation = f"{settings.name}.{uuid.uuid4().hex[:12]}"
        self.registry = Registry()
        load_plugins(self.registry, BUILTIN_PLUGINS)
        self.parts = build_kernel(settings, self.incarnation, self.registry)
        self.kernel = self.parts.kernel
        self.adapters = []
        self._carriers = {}
        self._tick_task = None
        self._stopped = asyncio.Event()

    async def start(self):
        """Start the adapters and the kernel's clock.

        Raises:
            OSError: When a listener's address cannot be bound.
        """
        log_event(LogEvent.DAEMON_STARTED, name=self.settings.name)
        self._build_adapters()
        for adapter in self.adapters:
            await adapter.start()
        self._tick_task = asyncio.create_task(self._tick())

    def feed(self, event):
        """Hand an event to the kernel and carry out what follows."""
        for action in self.kernel.handle(event, self.clock()):
            self._carry_out(action)

    def clock(self):
        """Return the kernel's monotonic time, in seconds."""
        return time.monotonic()

    @property
    def ready(self):
        """Whether a configuration is in force and the daemon is not draining."""
        return self.parts.requests.ready

    async def drain(self):
        """Refuse new requests, let those in progress end, then stop.

        Returns:
            bool: False when the limit from settings ended requests in progress.
        """
        log_event(LogEvent.DAEMON_DRAINING, name=self.settings.name)
        self.feed(DrainStarted())
        limit = self.clock() + self.settings.drain_timeout_s
        while not self.parts.idle:
            if self.clock() >= limit or self._stopped.is_set():
                log_event(LogEvent.DAEMON_DRAIN_TIMEOUT, name=self.settings.name)
                self.feed(DrainExpired())
                await self.stop()
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        await self.stop()
        return True

    def interrupt(self):
        """End a drain in progress at once."""
        self._stopped.set()

    async def stop(self):
        """Stop the clock and close the adapters."""
        if self._tick_task is not None:
            self._tick_task.cancel()
            self._tick_task = None
        for adapter in reversed(self.adapters):
            await adapter.stop()
        log_event(LogEvent.DAEMON_STOPPED, name=self.settings.name)

    def find_adapter(self, kind, name):
        """Return a running adapter by its kind and registered name."""
        return self._by_name[kind, name]

    def _build_adapters(self):
        context = AdapterContext(
            self.settings, self.incarnation, self.feed, self.clock, self.registry
        )
        self._by_name = {}
        for kind in KINDS:
            if kind == "routing":
                continue
            for name in self.registry.names(kind):
                adapter = self.registry.get(kind, name)(context)
                self._by_name[kind, name] = adapter
                self.adapters.append(adapter)
                for action_type in adapter.ACTIONS:
                    self._carriers[action_type] = adapter

    def _carry_out(self, action):
        if isinstance(action, LogCatalogued):
            log_event(action.event, **action.fields)
            return
        if isinstance(action, RequestFinished):
            return
        self._carriers[type(action)].carry_out(action)

    async def _tick(self):
        while True:
            self.feed(Tick(time.time()))
            await asyncio.sleep(TICK_INTERVAL_S)


async def run_daemon(settings):
    """Run a daemon until SIGTERM or SIGINT has drained it.

    Returns:
        int: Exit code; 0 after a drain that interrupted nothing.
    """
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    told = asyncio.Event()

    def stop_once_or_now():
        if told.is_set():
            daemon.interrupt()
        told.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_once_or_now)
    await daemon.start()
    await told.wait()
    return 0 if await daemon.drain() else 1


def main():
    """Entry point of ``firworksd SETTINGS``."""
    if len(sys.argv) != 2 or sys.argv[1] in ("-h", "--help"):
        print("usage: firworksd SETTINGS.toml", file=sys.stderr)
        sys.exit(0 if "-h" in sys.argv[1:] or "--help" in sys.argv[1:] else 2)
    try:
        settings = load_settings(sys.argv[1])
    except FirworksError as error:
        print(f"{int(error.code)} {error.code.name}: {error}", file=sys.stderr)
        sys.exit(2)
    configure_logs(settings.log_format)
    sys.exit(asyncio.run(run_daemon(settings)))


if __name__ == "__main__":
    main()
