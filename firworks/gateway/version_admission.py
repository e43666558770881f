"""Writes software versions to the store before streams begin there."""

import asyncio

from firworks.events import LogEvent, log_event
from firworks.kernel.forwarding.outcomes import WRONG_VERSION, AttemptError
from firworks.kernel.versions.resumption import is_ambiguous
from firworks.kernel.versions.served import (
    MIN_LIFE_S,
    ServedVersion,
    ServedVersions,
    compute_stream_life_s,
)
from firworks.kernel.versions.services import StreamServices
from firworks.platform.store import StoreError

# The keeper of a service writes a new version to the store; others do so after this.
ADMISSION_DELAY_S = 0.15
# A version that the store has not confirmed within this time is used if there is no
# target of a confirmed one.
ADMISSION_TIMEOUT_S = 0.4
# Minimum time from one failed write of a version to the next.
ADMISSION_RETRY_S = 0.5


class VersionAdmission:
    """Knows which versions may have served each service, and which the store holds.

    Args:
        gateway (Gateway): Provides targets, peers and the state of the store.
        store (VersionStore): Reads and writes the versions.
        keepers (KeeperSelector): Selects the gateway that writes those of a service.

    Attributes:
        store (VersionStore): As given.
    """

    def __init__(self, gateway, store, keepers):
        self._gateway = gateway
        self._clock = gateway.clock
        self.store = store
        self._keepers = keepers
        self._served = ServedVersions()
        self._routes = StreamServices(MIN_LIFE_S)
        self._services = set()
        self._recorded = set()
        self._loaded = False
        self._load_task = None
        self._admissions = {}
        self._removals = set()
        self._admitted = asyncio.Event()

    @property
    def services(self):
        """Names of the services that streams were forwarded to lately (set of str)."""
        return self._services

    def configure(self, configuration):
        """Apply a new configuration."""
        life_s = compute_stream_life_s(configuration)
        self._served.life_s = self._routes.life_s = life_s
        self._routes.configure(configuration, self._clock())
        self._update_services()

    def observe(self, targets):
        """Take note of the listed targets (list of Target)."""
        self._served.observe(targets, self._services, self._clock())
        self._update_recorded()
        self._admit_listed()

    def needs_records(self, service):
        """Return whether streams of a service can't be resumed without a record."""
        return service in self._recorded

    async def list_candidates(self, host, path):
        """Return the services at which streams of a path may have begun.

        A gateway that started lately has not seen all configurations under which they
        began.

        Args:
            host (str): Value of the Host header.
            path (str): Path of the request, without its query.

        Returns:
            (list of str, list of str): Those that the path was or may have been
            forwarded to, and beside these all that may have a record of the stream.
        """
        services = self._routes.list_services(host, path, self._clock())
        if self._routes.knows_history(self._clock()):
            return services, services
        if not self._loaded and not self._gateway.store_unavailable:
            await self._load()
        stored = {served.service for served in self._served.list_stored()}
        probable = services + sorted(stored - self._services - set(services))
        recorded = probable + sorted(self._services - set(probable))
        return probable, recorded

    def load_again(self):
        """List the versions again, as the store may have lost some."""
        self._loaded = False

    def list_versions(self, service):
        """Return the versions (set of str) that may have served a service lately."""
        return self._served.list_versions(service, self._clock())

    def note_stored(self, served):
        """Record that the store holds a `ServedVersion`."""
        if self._served.store(served, self._clock()):
            log_event(
                LogEvent.VERSION_ADMITTED,
                service=served.service,
                software=served.version,
            )
            self._update_recorded()
            self._wake_waiting()

    def send_versions(self, peer):
        """Send a newly connected peer the versions that the store holds."""
        for served in self._served.list_stored():
            self._gateway.pools.peers.send(peer, served)

    def review(self):
        """Load the stored versions, write new ones and remove outdated ones.

        None is removed with an old view of the targets: others may list it again.
        """
        self._routes.expire(self._clock())
        self._update_services()
        if not self._loaded and (self._load_task is None or self._load_task.done()):
            self._load_task = asyncio.ensure_future(self._load())
        self._admit_listed()
        if not self._gateway.is_current():
            return
        for served in self._served.pop_outdated(self._clock()):
            self._remove(served)

    def close(self):
        """Cancel all tasks."""
        for task in (self._load_task, *self._admissions.values(), *self._removals):
            if task is not None:
                task.cancel()

    async def check(self, target):
        """Wait until the store holds a target's version, if it does so in time.

        Raises:
            AttemptError: When a target of a version that the store holds is usable.
        """
        served = ServedVersion(target.service, target.version)
        if self._served.is_stored(served):
            return
        until_s = self._clock() + ADMISSION_TIMEOUT_S
        while not self._served.is_stored(served):
            remaining_s = until_s - self._clock()
            if remaining_s <= 0.0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self._admitted.wait()
            except TimeoutError:
                break
        else:
            return
        usable = self._gateway.directory.get_usable(target.service)
        others = [ServedVersion(one.service, one.version) for one in usable]
        if any(map(self._served.is_stored, others)):
            detail = f"version {target.version!r} is not in the store"
            raise AttemptError(WRONG_VERSION, False, detail)
        log_event(
            LogEvent.VERSION_UNCONFIRMED,
            target=target.target_id,
            service=target.service,
            software=target.version,
        )

    async def list_stored(self, services):
        """Return the versions (dict of str to set) that may have served each service.

        They are empty if the store does not answer, or need not be asked.
        """
        if is_ambiguous(self._list_by_service(services)):
            return {}
        if self._gateway.store_unavailable:
            return {}
        stored = await self.store.list_versions()
        if stored is None:
            return {}
        self._apply_stored(stored)
        return self._list_by_service(services)

    async def _load(self):
        stored = await self.store.list_versions()
        if stored is not None:
            self._loaded = True
            self._apply_stored(stored)
            self._admit_listed()

    def _apply_stored(self, stored):
        self._served.replace_stored(stored, self._clock())
        self._update_recorded()
        self._wake_waiting()

    def _list_by_service(self, services):
        return {service: self.list_versions(service) for service in services}

    def _update_services(self):
        now = self._clock()
        self._services = self._routes.list_lately(now)
        self._update_recorded()

    def _update_recorded(self):
        """Find the services whose streams can't be resumed without a record."""
        groups = self._routes.list_groups(self._clock())
        groups += [[service] for service in self._services]
        self._recorded = {
            service
            for group in groups
            if is_ambiguous(self._list_by_service(group))
            for service in group
        }

    def _wake_waiting(self):
        self._admitted.set()
        self._admitted = asyncio.Event()

    def _admit_listed(self):
        """Write new versions to the store: at once as keeper, otherwise later."""
        if not self._loaded:
            return
        for served in self._served.list_unstored(self._services):
            if served not in self._admissions:
                task = asyncio.ensure_future(self._admit(served))
                self._admissions[served] = task

    async def _admit(self, served):
        try:
            keeper = self._keepers.choose(served.service, self._clock())
            if keeper != self._gateway.roster.own.name:
                await asyncio.sleep(ADMISSION_DELAY_S)
            if self._served.is_stored(served):
                return
            await self.store.add_version(served)
            self.note_stored(served)
            self._gateway.broadcast(served)
        except StoreError as error:
            log_event(LogEvent.STORE_LOST, topic=served.service, error=str(error))
            await asyncio.sleep(ADMISSION_RETRY_S)
        finally:
            self._admissions.pop(served, None)

    def _remove(self, served):
        """Remove an outdated version from the store, as its keeper."""
        keeper = self._keepers.choose(served.service, self._clock())
        if keeper != self._gateway.roster.own.name:
            self._served.remove_stored(served)
            return
        task = asyncio.ensure_future(self._remove_stored(served))
        self._removals.add(task)
        task.add_done_callback(self._removals.discard)

    async def _remove_stored(self, served):
        try:
            await self.store.remove_version(served)
        except StoreError as error:
            log_event(LogEvent.STORE_LOST, topic=served.service, error=str(error))
            # Reviewed again after another life of a stream.
            self._served.store(served, self._clock())
        else:
            self._served.remove_stored(served)
