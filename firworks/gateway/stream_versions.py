"""Tracks at which software versions streams began, for those that are resumed."""

import asyncio
import time
from functools import singledispatchmethod
from itertools import count

from firworks.events import LogEvent, log_event
from firworks.gateway.version_admission import VersionAdmission
from firworks.gateway.version_store import VersionStore
from firworks.kernel.forwarding.outcomes import WRONG_VERSION, AttemptError
from firworks.kernel.versions.keepers import KeeperSelector
from firworks.kernel.versions.messages import OriginAsked, OriginTold, StreamsBegun
from firworks.kernel.versions.origins import StreamOrigins, make_stream_digest
from firworks.kernel.versions.restarts import RestartDetector
from firworks.kernel.versions.resumption import (
    ORIGIN_UNKNOWN,
    OWN_RECORD,
    PEER_RECORD,
    VERSION_GONE,
    Origin,
    infer_origin,
    is_compatible,
    list_incompatible,
)
from firworks.kernel.versions.served import (
    MIN_LIFE_S,
    ServedVersion,
    compute_stream_life_s,
)

# Limits of the tables of this gateway's streams, and of those that it keeps for others.
MAX_OWN_STREAMS = 20_000
MAX_KEPT_STREAMS = 200_000
# Streams in one message or record.
MAX_DIGESTS = 2_000
# A keeper may have to read the store first.
ANSWER_TIMEOUT_S = 0.5
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
    """Finds the version at which a stream may be resumed, and records those that begin.

    While targets of several versions may have served a service, or the store does not
    answer, streams that begin are also recorded at the keeper of the service.

    Args:
        gateway (Gateway): Provides targets, members, peers and the store.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._own = StreamOrigins(MAX_OWN_STREAMS, MIN_LIFE_S)
        self._kept = StreamOrigins(MAX_KEPT_STREAMS, MIN_LIFE_S)
        self._store = VersionStore(gateway.store, gateway.clock, self._keep_stored)
        self._restarts = RestartDetector()
        self._keepers = KeeperSelector(gateway.roster, self._get_protocol)
        self._admission = VersionAdmission(gateway, self._store, self._keepers)
        self._reported_to = {}
        self._numbers = count(1)
        self._questions = {}
        self._answering = set()
        self._reviewed_s = float("-inf")

    def configure(self, configuration):
        """Apply a new configuration."""
        self._own.life_s = self._kept.life_s = compute_stream_life_s(configuration)
        self._admission.configure(configuration)
        self.observe_targets()

    def observe_targets(self):
        """Take note of the listed targets; called after each change."""
        targets = self._gateway.directory.list_all()
        self._admission.observe(targets)
        for restarted in self._restarts.observe(targets, time.time()):
            self._mark_ambiguous(*restarted)

    def store_again(self):
        """Write versions again that the store may have lost when it was restored."""
        self._admission.load_again()

    async def find_origin(self, context):
        """Return the `Origin` of the stream that a request resumes.

        Args:
            context (RequestContext): The request.

        Raises:
            ResumptionRefusedError: When it is not known, or no target of its version is
                usable.
        """
        services = [name for name, _ in context.admitted.route.services]
        origin = await self._search_origin(services, context)
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

    def check_usable(self, context):
        """Raise `ResumptionRefusedError` if a stream has no target to go on at."""
        if context.stream_version is None:
            return
        usable = self._gateway.directory.get_usable(context.service)
        if len(self.list_incompatible(context)) == len(usable):
            raise ResumptionRefusedError(VERSION_GONE)

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
            self._record(context, request_id)

    def record_resumption(self, context):
        """Record that a caller resumes a stream, which may break off once more."""
        for request_id in self._list_stream_ids(context):
            self._record(context, request_id)

    def tick(self):
        """Report streams to new keepers, write records, and review the versions."""
        if not self._gateway.store_unavailable:
            self._store.tick()
        for service in self._admission.services:
            self._report_all(service)
        now = self._clock()
        if now - self._reviewed_s < REVIEW_INTERVAL_S:
            return
        self._reviewed_s = now
        self._own.expire(now)
        self._kept.expire(now)
        self._admission.review()

    def send_versions(self, peer):
        """Send a newly connected peer the versions that the store holds."""
        self._admission.send_versions(peer)

    def close(self):
        """Cancel all tasks."""
        self._store.close()
        self._admission.close()
        for task in self._answering:
            task.cancel()

    @singledispatchmethod
    def receive(self, record, peer):
        """Handle a record of another gateway about versions of streams."""
        raise TypeError(f"not a record about versions: {record!r}")

    @receive.register
    def _(self, record: ServedVersion, peer):
        self._admission.note_stored(record)

    @receive.register
    def _(self, record: StreamsBegun, peer):
        self._keep(record)

    @receive.register
    def _(self, record: OriginAsked, peer):
        task = asyncio.ensure_future(self._answer(record, peer))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    @receive.register
    def _(self, record: OriginTold, peer):
        pending = self._questions.get(record.number)
        if pending is not None and not pending.done():
            pending.set_result(record.version if record.known else None)

    async def _search_origin(self, services, context):
        request = context.admitted.request
        if not request.begun_as:
            return infer_origin(await self._admission.list_stored(services))
        account = context.account_name
        digest = make_stream_digest(account, request.begun_as)
        for service in services:
            version = self._own.find(service, digest, self._clock())
            if version is not None:
                return Origin(service, version, OWN_RECORD)
        versions, *told = await asyncio.gather(
            self._admission.list_stored(services),
            *(self._ask_keeper(service, digest) for service in services),
        )
        for service, version in zip(services, told, strict=True):
            if version is not None:
                return Origin(service, version, PEER_RECORD)
        return infer_origin(versions)

    async def _ask_keeper(self, service, digest):
        """Return the version (str) of a stream that the keeper knows, or None."""
        for _ in range(2):
            keeper = self._keepers.choose(service, self._clock())
            if keeper == self._gateway.roster.own.name:
                return await self._find_kept(service, digest)
            number = next(self._numbers)
            pending = asyncio.get_running_loop().create_future()
            self._questions[number] = pending
            question = OriginAsked(number, service, digest)
            self._gateway.pools.peers.send(keeper, question)
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await pending
            except TimeoutError:
                self._keepers.mark_unresponsive(keeper, self._clock())
            finally:
                del self._questions[number]
        return None

    async def _answer(self, record, peer):
        version = await self._find_kept(record.service, record.digest)
        told = OriginTold(record.number, version is not None, version or "")
        self._gateway.pools.peers.send(peer, told)

    async def _find_kept(self, service, digest):
        for read in (False, True):
            if read and not self._gateway.store_unavailable:
                await self._store.read_streams()
            for table in (self._own, self._kept):
                version = table.find(service, digest, self._clock())
                if version is not None:
                    return version
        return None

    def _list_stream_ids(self, context):
        """Return the ids (set of str) by which a caller may name a stream."""
        request = context.admitted.request
        resumed = request.begun_as if request.last_event_id is not None else None
        return {request.request_id, resumed} - {None, ""}

    def _record(self, context, request_id):
        digest = make_stream_digest(context.account_name, request_id)
        service, version = context.service, context.stream_version
        target = self._gateway.directory.find_known(context.target_id)
        if target is not None and target.incarnation == context.incarnation:
            self._restarts.record(target, digest, time.time())
        if not self._own.record(service, version, digest, self._clock()):
            return
        if self._must_report(service):
            log_event(
                LogEvent.STREAM_BEGUN,
                request=context.request_id,
                begun_as=request_id,
                service=service,
                software=version,
            )
            self._report(service, version, (digest,))

    def _mark_ambiguous(self, target, previous_version, digests):
        """Record streams at both versions of a target that has restarted.

        They may have begun before or after the restart, so that no version is known.
        """
        log_event(
            LogEvent.STREAMS_AMBIGUOUS,
            target=target.target_id,
            software=target.version,
            streams=len(digests),
        )
        for version in (previous_version, target.version):
            for digest in digests:
                self._own.record(target.service, version, digest, self._clock())
            self._report(target.service, version, digests)

    def _must_report(self, service):
        """Return whether streams of a service are recorded at its keeper."""
        if self._gateway.store_unavailable:
            return True
        return len(self._admission.list_versions(service)) > 1

    def _report_all(self, service):
        """Report all streams of a service if that begins, or its keeper changes."""
        if not self._must_report(service):
            self._reported_to.pop(service, None)
            return
        keeper = self._keepers.choose(service, self._clock())
        if self._reported_to.get(service) == keeper:
            return
        self._reported_to[service] = keeper
        for version, digests in self._own.list_streams(service).items():
            self._report(service, version, digests)

    def _report(self, service, version, digests):
        keeper = self._keepers.choose(service, self._clock())
        for start in range(0, len(digests), MAX_DIGESTS):
            part = tuple(digests[start : start + MAX_DIGESTS])
            record = StreamsBegun(service, version, part, time.time())
            if keeper == self._gateway.roster.own.name:
                self._keep(record)
            else:
                self._gateway.pools.peers.send(keeper, record)

    def _keep(self, record):
        """Keep the streams that a gateway has reported."""
        now = self._clock()
        for digest in record.digests:
            self._kept.record(record.service, record.version, digest, now)
        if len(self._admission.list_versions(record.service)) > 1:
            self._store.add_streams(record)

    def _keep_stored(self, record):
        """Keep the streams of a record that was read from the store."""
        age_s = max(0.0, time.time() - record.unix_s)
        if age_s >= self._kept.life_s:
            return
        for digest in record.digests:
            self._kept.record(record.service, record.version, digest, self._clock())

    def _get_protocol(self, name):
        """Return the protocol version (int) of a gateway; 0 if it is unknown."""
        return self._gateway.pools.peers.get_protocol(name) or 0
