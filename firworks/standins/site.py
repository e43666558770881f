"""A small site on loopback: platform, targets and daemons in one event loop."""

import asyncio
import os
import socket
from itertools import count

from aiohttp.web import AppRunner, TCPSite

from firworks.daemon import Daemon
from firworks.plugins.http_log import HttpLog
from firworks.settings import make_settings
from firworks.standins.engine import StandinEngine
from firworks.standins.log import LogStandin
from firworks.standins.service import StandinService
from firworks.standins.vms import VmsStandin
from firworks.standins.web import LOOPBACK

FAILURE_DOMAINS = ("fd-1", "fd-2", "fd-3")
READY_POLL_S = 0.02
# Linux gives ports from 32768 on to outgoing connections.
FIRST_PORT = 10_000
PORTS = 10_000
# Processes that run side by side begin at different ports.
_ports = (FIRST_PORT + (os.getpid() * 97 + number) % PORTS for number in count())


class Site:
    """Runs stand-ins for a document's targets, and daemons in front of them.

    Args:
        document (Document): Defines the pools and targets.
        tokens (int): Length of the engines' responses.
        interval_s (float): Interval between the engines' tokens.

    Attributes:
        log (LogStandin): The platform's log service.
        vms (VmsStandin): The platform's VM list.
        targets (dict of str to WebStandin): Stand-in targets by name.
        daemons (list of Daemon): In the order in which they were started.
    """

    def __init__(self, document, tokens=24, interval_s=0.0):
        self.document = document
        self.log = LogStandin()
        self.vms = VmsStandin()
        self.targets = {}
        self.daemons = []
        self.log_url = ""
        self.vms_url = ""
        self._tokens = tokens
        self._interval_s = interval_s
        self._vms_runner = None
        self._clients = []

    async def start(self):
        """Start the platform and the targets."""
        self.log_url = await self.log.start()
        self.vms_url = await self._start_vms()
        for pool in self.document.pools.values():
            for index, name in enumerate(pool.targets):
                await self._start_target(pool, name, index)

    async def stop(self):
        """Stop all daemons and stand-ins."""
        for daemon in self.daemons:
            await daemon.stop()
        for client in self._clients:
            await client.close()
        for target in self.targets.values():
            await target.stop()
        await self._vms_runner.cleanup()
        await self.log.stop()

    def open_log(self):
        """Return a client of the log service that is closed with the site."""
        client = HttpLog(self.log_url)
        self._clients.append(client)
        return client

    def make_settings(self, name, **changes):
        """Return the settings (dict) of a daemon of this site."""
        return {
            "name": name,
            "environment": "production",
            "log_url": self.log_url,
            "vms_url": self.vms_url,
            "callers": f"{LOOPBACK}:0",
            "admin": f"{LOOPBACK}:0",
            "peers": f"{LOOPBACK}:{find_free_port()}",
            "failure_domain": FAILURE_DOMAINS[len(self.daemons) % 3],
            "peer_secret": "demonstration",
            **changes,
        }

    async def start_daemon(self, name, **changes):
        """Start a daemon in this loop; return it, although it may not be ready."""
        settings = make_settings(self.make_settings(name, **changes))
        self.list_daemon(settings)
        daemon = Daemon(settings)
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    def list_daemon(self, settings):
        """Add a daemon's VM to the VM list."""
        self.vms.put(
            {
                "name": settings.name,
                "address": settings.peers,
                "role": "entry",
                "region": settings.region,
                "failure_domain": settings.failure_domain,
            }
        )

    async def wait_ready(self, digest=None):
        """Wait until all daemons are ready, with the document of a digest if given."""
        while not all(self._is_ready(daemon, digest) for daemon in self.daemons):
            await asyncio.sleep(READY_POLL_S)

    def _is_ready(self, daemon, digest):
        document = daemon.parts.requests.document
        return daemon.ready and (digest is None or document.digest == digest)

    async def _start_vms(self):
        self._vms_runner = AppRunner(self.vms.make_app(), access_log=None)
        await self._vms_runner.setup()
        await TCPSite(self._vms_runner, LOOPBACK, 0).start()
        return f"http://{LOOPBACK}:{self._vms_runner.addresses[0][1]}"

    async def _start_target(self, pool, name, index):
        if pool.kind == "engine":
            target = StandinEngine(
                name, tokens=self._tokens, interval_s=self._interval_s
            )
        else:
            target = StandinService(name)
        await target.start()
        self.targets[name] = target
        self.vms.put(
            {
                "name": name,
                "address": target.address,
                "role": "target",
                "region": "region-1",
                "failure_domain": FAILURE_DOMAINS[index % 3],
            }
        )


def find_free_port():
    """Return a loopback port that nothing uses, another one at each call.

    It lies below the ports of outgoing connections, one of which might take it before
    its listener is opened.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue  # something listens there
        return port
