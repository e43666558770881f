"""Finds where streams may be resumed, by the software versions that began them."""

import asyncio

from firworks.events import LogEvent, log_event
from firworks.gateway.stream_records import StreamRecords
from firworks.gateway.version_admission import VersionAdmission
from firworks.gateway.version_store import VersionStore
from firworks.kernel.forwarding.outcomes import WRONG_VERSION, AttemptError
from firworks.kernel.versions.keepers import KeeperSelector
from firworks.kernel.versions.origins import make_stream_digest
from firworks.kernel.versions.resumption import (
    ORIGIN_UNKNOWN,
    VERSION_GONE,
    choose_service,
    infer_origin,
    is_compatible,
    list_incompatible,
)
from firworks.kernel.versions.served import ServedVersion, compute_stream_life_s

REVIEW_INTERVAL_S = 1.0


class ResumptionRefusedError(Exception):
    """A stream cannot be resumed.

    Attributes:
        reason (str): ``ORIGIN_UNKNOWN`` or ``VERSION_GONE``.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class StreamVersions:
    """Finds the version at which a stream may be resumed.

    Args:
        gateway (Gateway): Provides targets, members, peers and the store.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._store = VersionStore(gateway.store, gateway.clock, self._keep_stored)
        keepers = KeeperSelector(gateway.roster, self._get_protocol)
        self._admission = VersionAdmission(gateway, self._store, keepers)
        self._records = StreamRecords(gateway, keepers, self._admission)
        self._reviewed_s = float("-inf")

    def configure(self, configuration):
        """Apply a new configuration."""
        self._records.configure(compute_stream_life_s(configuration))
        self._admission.configure(configuration)
        self.observe_targets()

    def observe_targets(self):
        """Take note of the listed targets; called after each change."""
        targets = self._gateway.directory.list_all()
        self._admission.observe(targets)
        self._records.observe_targets(targets)

    def store_again(self):
        """Write versions again that the store may have lost when it was restored."""
        self._admission.load_again()

    async def find_origin(self, context):
        """Return the `Origin` of the stream that a request resumes.

        Args:
            context (RequestContext): The request.

        Raises:
            ResumptionRefusedError: When it is not known.
        """
        origin = await self._search_origin(context)
        if origin is None:
            raise ResumptionRefusedError(ORIGIN_UNKNOWN)
        log_event(
            LogEvent.STREAM_ORIGIN_FOUND,
            request=context.request_id,
            begun_as=context.admitted.request.begun_as,
            service=origin.service,
            software=origin.version,
            evidence=origin.evidence,
        )
        self._gateway.metrics.resumptions.labels(origin.evidence).inc()
        return origin

    def resume(self, context, origin):
        """Let a request go on with the stream of an `Origin`.

        Raises:
            ResumptionRefusedError: When no target of its version is usable.
        """
        context.stream_version = origin.version
        self._choose_service(context, origin.service)
        for request_id in self._list_stream_ids(context):
            self._records.record(context, request_id)

    def follow_version(self, context):
        """Move a stream to another service if its own has no target left to go on at.

        Raises:
            ResumptionRefusedError: When no service of its route has one.
        """
        if context.stream_version is not None:
            self._choose_service(context, context.service)

    def list_incompatible(self, context):
        """Return the usable targets (list) at which a stream cannot go on."""
        if context.stream_version is None:
            return []
        usable = self._gateway.directory.get_usable(context.service)
        versions = self._admission.list_versions(context.service)
        return list_incompatible(usable, context.stream_version, versions)

    async def check_target(self, context, target):
        """Check right before a send that a stream may begin, or go on, at a target.

        Raises:
            AttemptError: When it may not; nothing was sent.
        """
        if not context.admitted.route.streaming:
            return
        if context.stream_version is None:
            await self._admission.check(target)
            return
        versions = self._admission.list_versions(context.service)
        if not is_compatible(target, context.stream_version, versions):
            detail = f"{target.target_id} has version {target.version!r}"
            raise AttemptError(WRONG_VERSION, False, detail)
        is_engine = self._gateway.pools.has_engines(context.service)
        limited = self._gateway.limits.is_limited(target)
        if is_engine and target.born_ms and not limited:
            await self._gateway.crashes.checks.verify_incarnation(target)

    def record_event(self, context):
        """Record that a request has received an event from its last target."""
        if context.stream_version is not None:
            return
        context.stream_version = context.software
        for request_id in self._list_stream_ids(context):
            self._records.record(context, request_id)

    def tick(self):
        """Report streams to new keepers, write records, and review the versions."""
        if not self._gateway.store_unavailable:
            self._store.tick()
        self._records.report_all(self._admission.services)
        now = self._clock()
        if now - self._reviewed_s < REVIEW_INTERVAL_S:
            return
        self._reviewed_s = now
        self._records.expire()
        self._admission.review()

    def send_versions(self, peer):
        """Send a newly connected peer the versions that the store holds."""
        self._admission.send_versions(peer)

    def close(self):
        """Cancel all tasks."""
        self._store.close()
        self._admission.close()
        self._records.close()

    def receive(self, record, peer):
        """Handle a record of another gateway about versions of streams."""
        if isinstance(record, ServedVersion):
            self._admission.note_stored(record)
        else:
            self._records.receive(record, peer)

    async def _search_origin(self, context):
        request = context.admitted.request
        services, recorded = await self._admission.list_candidates(
            request.host, request.path
        )
        if not request.begun_as:
            return infer_origin(await self._admission.list_stored(services))
        digest = make_stream_digest(context.account_name, request.begun_as)
        own = self._records.find_own(recorded, digest)
        if own is not None:
            return own
        versions, kept = await asyncio.gather(
            self._admission.list_stored(services),
            self._records.find_kept(recorded, digest),
        )
        return kept or infer_origin(versions)

    def _choose_service(self, context, began):
        """Choose the service at which a stream goes on.

        Args:
            context (RequestContext): The request; its ``stream_version`` is known.
            began (str): The service that began the stream; empty if unknown.

        Raises:
            ResumptionRefusedError: When no service has a compatible target.
        """
        version = context.stream_version
        of_route = [name for name, _ in context.admitted.route.services]
        service = choose_service(
            began,
            [context.service, *of_route],
            version,
            {name: self._list_compatible(name, version) for name in of_route},
        )
        if service is None:
            raise ResumptionRefusedError(VERSION_GONE)
        context.service = service

    def _list_compatible(self, service, version):
        """Return the usable targets (list) of a service with a version of streams."""
        versions = self._admission.list_versions(service)
        return [
            target
            for target in self._gateway.directory.get_usable(service)
            if is_compatible(target, version, versions)
        ]

    def _list_stream_ids(self, context):
        """Return the ids (set of str) by which a caller may name a stream."""
        request = context.admitted.request
        return {request.request_id, request.resumed_id} - {None, ""}

    def _keep_stored(self, record):
        self._records.keep_stored(record)

    def _get_protocol(self, name):
        """Return the protocol version (int) of a gateway; 0 if it is unknown."""
        return self._gateway.pools.peers.get_protocol(name) or 0
