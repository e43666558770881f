"""Determines whether targets that broke off requests have terminated."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.gateway.exchanges import Exchange
from firworks.kernel.forwarding.features import describe_features
from firworks.kernel.forwarding.liveness import (
    ALIVE,
    ENDED,
    RECENTLY_HEARD_S,
    SETTLE_S,
    UNKNOWN,
    UnresolvedIncarnations,
    classify_identity,
)
from firworks.kernel.forwarding.outcomes import NOT_RUN, WRONG_VERSION, AttemptError
from firworks.platform.headers import build_call_head
from firworks.platform.targets import REPORT_PATH, decode_identity

# Covers a busy target, which delays health checks; a healthy one replies within
# milliseconds.
PROBE_TIMEOUT_S = 0.5
# Longest wait of a request for the verdict on the target that broke it off.
VERDICT_TIMEOUT_S = 0.6
# Time from the end of a response without a length to the check of its target, and
# minimum time from one such check of a target to the next.
CONFIRM_DELAY_S = 0.05
CONFIRM_INTERVAL_S = 1.0
# Longest wait for a limited target to accept a probe.
PERMIT_TIMEOUT_S = 1.0


class LivenessChecker:
    """Finds out whether targets terminated while they handled requests.

    Checks apply to one incarnation of a target, given by its id and start time.

    Args:
        connections (TargetConnections): Connection pool.
        clock (callable): Returns monotonic seconds.
        find_target (callable): ``find_target(target_id)`` returns the `Target` that is
            listed in the store, or None.
        find_service (callable): ``find_service(name)`` returns the `Service`, or None.
        on_ended (callable): Called with (incarnation, fingerprints) when it ended.
        on_confirmed (callable): Called with fingerprints whose target still runs.
        metrics (GatewayMetrics): Counts the verdicts of checks.
        availability (TargetAvailability): Tells which targets may be probed.
        limits (TargetLimits): Grants permits for probes of limited targets.
    """

    def __init__(
        self,
        connections,
        clock,
        find_target,
        find_service,
        on_ended,
        on_confirmed,
        metrics,
        availability,
        limits,
    ):
        self._connections = connections
        self._clock = clock
        self._find_target = find_target
        self._find_service = find_service
        self._on_ended = on_ended
        self._on_confirmed = on_confirmed
        self._metrics = metrics
        self._availability = availability
        self._limits = limits
        self._unresolved = UnresolvedIncarnations()
        self._in_progress = {}
        self._unconfirmed = {}
        self._confirmed_s = {}
        self._tasks = {}

    def begin(self, target, fingerprints, silent=False):
        """Start a check of a target, or join the one in progress.

        Args:
            target (Target): The target that broke off the requests.
            fingerprints (iterable of bytes): Fingerprints of the requests' features.
            silent (bool): It sent nothing until the requests were abandoned.
        """
        if silent and self._list_recently_active(target):
            return
        if target.incarnation in self._in_progress:
            self._in_progress[target.incarnation].update(fingerprints)
            return
        self._in_progress[target.incarnation] = set(fingerprints)
        task = asyncio.ensure_future(self._check(target, silent))
        self._tasks[target.incarnation] = task
        task.add_done_callback(lambda _: self._tasks.pop(target.incarnation))

    def confirm(self, target, fingerprints):
        """Check whether a target still runs after a response without a length.

        Load pattern: the OS closes the connections of a process that crashes, which is
        how such a response ends as well.

        Args:
            target (Target): The target that sent the response.
            fingerprints (iterable of bytes): Fingerprints of the request's features.
        """
        pending = self._unconfirmed.get(target.incarnation)
        if pending is not None:
            pending.update(fingerprints)
            return
        self._unconfirmed[target.incarnation] = set(fingerprints)
        key = ("confirm", target.incarnation)
        task = self._tasks[key] = asyncio.ensure_future(self._confirm(target))
        task.add_done_callback(lambda _: self._tasks.pop(key))

    async def _confirm(self, target):
        now = self._clock()
        latest_s = self._confirmed_s.get(target.incarnation, float("-inf"))
        delay_s = max(CONFIRM_DELAY_S, latest_s + CONFIRM_INTERVAL_S - now)
        await asyncio.sleep(delay_s)
        fingerprints = self._unconfirmed.pop(target.incarnation)
        self._confirmed_s = {
            incarnation: time_s
            for incarnation, time_s in self._confirmed_s.items()
            if time_s > now - CONFIRM_INTERVAL_S
        }
        self._confirmed_s[target.incarnation] = self._clock()
        verdict, evidence = await self._probe(target, silent=False)
        if verdict == UNKNOWN:
            self._unresolved.add(target, fingerprints, self._clock())
        self._record_verdict(target.incarnation, fingerprints, verdict, evidence)
        if verdict == ALIVE:
            self._on_confirmed(fingerprints)

    async def wait(self, incarnation):
        """Wait until a check of an incarnation in progress has a verdict, if any."""
        task = self._tasks.get(incarnation)
        if task is not None:
            await asyncio.wait({task}, timeout=VERDICT_TIMEOUT_S)

    def poll_unresolved(self):
        """Resolve checks with an unknown verdict from the entries in the store."""
        now = self._clock()
        for incarnation, fingerprints in self._unresolved.pop_ended(
            self._find_target, now
        ):
            self._record_verdict(incarnation, fingerprints, ENDED, "entry")

    def close(self):
        """Cancel all checks in progress."""
        for task in self._tasks.values():
            task.cancel()

    def _list_recently_active(self, target):
        """Return the connections (list) that recently received data from a target."""
        since_s = self._clock() - RECENTLY_HEARD_S
        opened = self._connections.list_open(target.address)
        return [one for one in opened if one.last_received_s >= since_s]

    async def _check(self, target, silent):
        verdict, evidence = ALIVE, "connection"
        try:
            if silent or not await self._is_connection_alive(target):
                verdict, evidence = await self._probe(target, silent)
        finally:
            fingerprints = self._in_progress.pop(target.incarnation)
        if verdict == UNKNOWN:
            self._unresolved.add(target, fingerprints, self._clock())
        self._record_verdict(target.incarnation, fingerprints, verdict, evidence)

    async def _is_connection_alive(self, target):
        """Return whether a recently active connection to the target stays open."""
        active = self._list_recently_active(target)
        if not active:
            return False
        await asyncio.sleep(SETTLE_S)
        return any(connection.is_connected() for connection in active)

    async def _probe(self, target, silent):
        """Query the process at a target's address; return the verdict and evidence."""
        if not self._availability.may_send_control(target):
            return UNKNOWN, "target backs off or leaves"
        if not await self._limits.acquire_for_check(target, PERMIT_TIMEOUT_S):
            return UNKNOWN, "target accepts no more requests"
        exchange = Exchange(self._connections, target, self._clock)
        try:
            body = await self._query(target, exchange)
        except AttemptError as error:
            exchange.abort()
            if error.kind == NOT_RUN and not error.sent:
                return ENDED, "no connection"
            return UNKNOWN if silent else ENDED, "no response"
        except TimeoutError:
            exchange.abort()
            return UNKNOWN, "no response"
        try:
            identity = decode_identity(exchange.status, exchange.headers, body)
        except CodecError:
            # Some kinds of targets identify themselves by a response header only.
            identity = decode_identity(exchange.status, exchange.headers, b"{}")
        return classify_identity(target, identity, silent), "identity"

    async def probe(self, target):
        """Ask a target for a response, for what its headers say; ignore failures."""
        exchange = Exchange(self._connections, target, self._clock)
        try:
            await self._query(target, exchange)
        except (AttemptError, TimeoutError) as error:
            exchange.abort()
            log_check(target.incarnation, UNKNOWN, repr(error), ())

    async def verify_incarnation(self, target):
        """Check that the listed incarnation of a target is at the end of a connection.

        Load pattern: a target restarts under its id with newer software, and its entry
        is updated later. The next request to the target uses the same connection.

        Raises:
            AttemptError: When another incarnation responds, or none does.
        """
        exchange = Exchange(self._connections, target, self._clock)
        try:
            body = await self._query(target, exchange, fresh=False)
            identity = decode_identity(exchange.status, exchange.headers, body)
        except (AttemptError, CodecError, TimeoutError) as error:
            exchange.abort()
            raise AttemptError(NOT_RUN, False, f"no report: {error!r}") from error
        if identity.born_ms not in (None, target.born_ms) or identity.misdirected:
            log_check(target.incarnation, ENDED, "identity", ())
            detail = f"{target.target_id} has restarted"
            raise AttemptError(WRONG_VERSION, False, detail)

    async def _query(self, target, exchange, fresh=True):
        """Send a probe and return the body (bytes) of the response."""
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            head = self._build_probe_head(target)
            await exchange.send(head, method="GET", fresh=fresh)
            self._availability.record_response(target, exchange)
            body = await exchange.read_all()
        exchange.finish()
        return body

    def _build_probe_head(self, target):
        service = self._find_service(target.service)
        plain = service is None or not (service.engine or service.stage_pool)
        path = service.health_path if plain and service is not None else REPORT_PATH
        return build_call_head("GET", path, target.address, target_id=target.target_id)

    def _record_verdict(self, incarnation, fingerprints, verdict, evidence):
        self._metrics.target_checks.labels(verdict).inc()
        log_check(incarnation, verdict, evidence, fingerprints)
        if verdict == ENDED:
            self._on_ended(incarnation, fingerprints)


def log_check(incarnation, verdict, evidence, fingerprints):
    """Log the outcome of a check of an incarnation.

    Args:
        incarnation (tuple): Id and start time of the target.
        verdict (str): ``ENDED``, ``ALIVE`` or ``UNKNOWN``.
        evidence (str): What the verdict is based on.
        fingerprints (iterable of bytes): Features of the requests that the target
            broke off.
    """
    log_event(
        LogEvent.TARGET_CHECKED,
        target=incarnation[0],
        born_ms=incarnation[1],
        verdict=verdict,
        evidence=evidence,
        fingerprints=sorted(describe_features(fingerprints)),
    )
