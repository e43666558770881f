"""Records at which service and version streams began, with those of other gateways."""

import asyncio
import time
from functools import singledispatchmethod
from itertools import count

from firworks.events import LogEvent, log_event
from firworks.kernel.versions.messages import OriginAsked, OriginTold, StreamsBegun
from firworks.kernel.versions.origins import StreamOrigins, make_stream_digest
from firworks.kernel.versions.restarts import RestartDetector
from firworks.kernel.versions.resumption import OWN_RECORD, PEER_RECORD, Origin
from firworks.kernel.versions.served import MIN_LIFE_S

# Limits of the tables of this gateway's streams, and of those that it keeps for others.
MAX_OWN_STREAMS = 20_000
MAX_KEPT_STREAMS = 200_000
# Streams in one message or record.
MAX_DIGESTS = 2_000
# A keeper may have to read the store first.
ANSWER_TIMEOUT_S = 0.5


class StreamRecords:
    """Remembers the streams of this gateway, and keeps those of others.

    While streams without a record can't be resumed, or the store does not answer, those
    that begin are also recorded at the keeper of their service.

    Args:
        gateway (Gateway): Provides targets, peers and the state of the store.
        keepers (KeeperSelector): Selects the keeper of a service.
        admission (VersionAdmission): Knows which services need records.
    """

    def __init__(self, gateway, keepers, admission):
        self._gateway = gateway
        self._clock = gateway.clock
        self._own = StreamOrigins(MAX_OWN_STREAMS, MIN_LIFE_S)
        self._kept = StreamOrigins(MAX_KEPT_STREAMS, MIN_LIFE_S)
        self._restarts = RestartDetector()
        self._keepers = keepers
        self._admission = admission
        self._store = admission.store
        self._reported_to = {}
        self._numbers = count(1)
        self._questions = {}
        self._answering = set()

    def configure(self, life_s):
        """Set for how many seconds streams may be resumed."""
        self._own.life_s = self._kept.life_s = life_s

    def observe_targets(self, targets):
        """Take note of the listed targets (list of Target)."""
        for restarted in self._restarts.observe(targets, time.time()):
            self._mark_ambiguous(*restarted)

    def find_own(self, services, digest):
        """Return the `Origin` of a stream of this gateway, or None."""
        for service in services:
            version = self._own.find(service, digest, self._clock())
            if version is not None:
                return Origin(service, version, OWN_RECORD)
        return None

    async def find_kept(self, services, digest):
        """Return the `Origin` of a stream that a keeper knows, or None."""
        told = await asyncio.gather(
            *(self._ask_keeper(service, digest) for service in services)
        )
        for service, version in zip(services, told, strict=True):
            if version is not None:
                return Origin(service, version, PEER_RECORD)
        return None

    def record(self, context, request_id):
        """Record that the last target of a request began, or goes on with, a stream.

        Args:
            context (RequestContext): The request.
            request_id (str): Id by which its caller may name the stream.
        """
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

    def report_all(self, services):
        """Report all streams of services that begin to need it, or change their keeper.

        Args:
            services (iterable of str): Services that streams are forwarded to.
        """
        for service in services:
            if not self._must_report(service):
                self._reported_to.pop(service, None)
                continue
            keeper = self._keepers.choose(service, self._clock())
            if self._reported_to.get(service) == keeper:
                continue
            self._reported_to[service] = keeper
            for version, digests in self._own.list_streams(service).items():
                self._report(service, version, digests)

    def keep_stored(self, record):
        """Keep the streams of a `StreamsBegun` that was read from the store."""
        age_s = max(0.0, time.time() - record.unix_s)
        if age_s >= self._kept.life_s:
            return
        for digest in record.digests:
            self._kept.record(record.service, record.version, digest, self._clock())

    def expire(self):
        """Drop the streams that can no longer be resumed."""
        now = self._clock()
        self._own.expire(now)
        self._kept.expire(now)

    def close(self):
        """Cancel all tasks."""
        for task in self._answering:
            task.cancel()

    @singledispatchmethod
    def receive(self, record, peer):
        """Handle a record of another gateway about streams."""
        raise TypeError(f"not a record about streams: {record!r}")

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

    async def _ask_keeper(self, service, digest):
        """Return the version (str) of a stream that the keeper knows, or None."""
        for _ in range(2):
            keeper = self._keepers.choose(service, self._clock())
            if keeper == self._gateway.roster.own.name:
                return await self._find_here(service, digest)
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
        version = await self._find_here(record.service, record.digest)
        told = OriginTold(record.number, version is not None, version or "")
        self._gateway.pools.peers.send(peer, told)

    async def _find_here(self, service, digest):
        for read in (False, True):
            if read and not self._gateway.store_unavailable:
                await self._store.read_streams()
            for table in (self._own, self._kept):
                version = table.find(service, digest, self._clock())
                if version is not None:
                    return version
        return None

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
        return self._gateway.store_unavailable or self._admission.needs_records(service)

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
        for digest in record.digests:
            self._kept.record(record.service, record.version, digest, self._clock())
        if self._admission.needs_records(record.service):
            self._store.add_streams(record)
