"""Looks at targets that broke requests off: have their runs ended?"""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.gateway.exchanges import Exchange
from firworks.kernel.forwarding.liveness import (
    ENDED,
    RECENTLY_HEARD_S,
    ALIVE,
    SETTLE_S,
    UNKNOWN,
    UnresolvedIncarnations,
    classify_identity,
)
from firworks.kernel.forwarding.outcomes import NOT_RUN, AttemptError
from firworks.platform.headers import build_call_head
from firworks.platform.targets import REPORT_PATH, decode_identity

# Time for whoever answers at an address to say who it is; a sound target takes some
# milliseconds, a busy one makes a health check wait.
ANSWER_LIMIT_S = 0.5


class LivenessChecker:
    """Finds out which runs of targets have ended under requests that they broke off.

    Args:
        connections (TargetConnections): Where connections come from.
        clock (callable): Returns monotonic seconds.
        find_target (callable): ``find_target(target_id)`` returns the `Target` that the
            store lists, or None.
        find_service (callable): ``find_service(name)`` returns the `Service`, or None.
        on_ended (callable): ``on_ended(run, fingerprints)``, for a run that has ended.
        metrics (GatewayMetrics): Counts the verdicts.
        availability (Standings): Tells which targets may be asked.
    """

    def __init__(
        self,
        connections,
        clock,
        find_target,
        find_service,
        on_ended,
        metrics,
        availability,
    ):
        self._connections = connections
        self._clock = clock
        self._find_target = find_target
        self._find_service = find_service
        self._on_ended = on_ended
        self._metrics = metrics
        self._availability = availability
        self._watch = UnresolvedIncarnations()
        self._running = {}
        self._tasks = set()

    def begin(self, target, fingerprints, silent=False):
        """Look at a target; its requests share one look while it takes place.

        Args:
            target (Target): The run that broke requests off.
            fingerprints (iterable of bytes): The requests.
            silent (bool): It said nothing until the requests were given up.
        """
        if silent and self._list_heard(target):
            return
        if target.incarnation in self._running:
            self._running[target.incarnation].update(fingerprints)
            return
        self._running[target.incarnation] = set(fingerprints)
        task = asyncio.ensure_future(self._check(target, silent))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def review(self):
        """Look whether the store tells now what became of a run."""
        now = self._clock()
        for run, fingerprints in self._watch.pop_ended(self._find_target, now):
            self._note_verdict(run, fingerprints, ENDED, "entry")

    def close(self):
        """Give all looks up."""
        for task in self._tasks:
            task.cancel()

    def _list_heard(self, target):
        """Return the connections (list) on which a target was heard just now."""
        since_s = self._clock() - RECENTLY_HEARD_S
        opened = self._connections.list_open(target.address)
        return [one for one in opened if one.heard_s >= since_s]

    async def _check(self, target, silent):
        verdict, evidence = ALIVE, "connection"
        try:
            if silent or not await self._survives(target):
                verdict, evidence = await self._ask(target, silent)
        finally:
            fingerprints = self._running.pop(target.incarnation)
        if verdict == UNKNOWN:
            self._watch.add(target, fingerprints, self._clock())
        self._note_verdict(target.incarnation, fingerprints, verdict, evidence)

    async def _survives(self, target):
        """Return whether the run is heard on a connection that it has not lost."""
        heard = self._list_heard(target)
        if not heard:
            return False
        await asyncio.sleep(SETTLE_S)
        return any(connection.is_connected() for connection in heard)

    async def _ask(self, target, silent):
        """Ask at a target's address; return the verdict and what it rests on."""
        if not self._availability.may_send_control(target):
            return UNKNOWN, "it wants no work"
        exchange = Exchange(self._connections, target, self._clock)
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                head = self._build_question(target)
                await exchange.send(head, method="GET", fresh=True)
                body = await exchange.read_all()
            exchange.finish()
            self._availability.record_response(target, exchange)
        except AttemptError as error:
            exchange.abort()
            if error.kind == NOT_RUN and not error.sent:
                return ENDED, "no connection"
            return UNKNOWN if silent else ENDED, "no answer"
        except TimeoutError:
            exchange.abort()
            return UNKNOWN, "no answer"
        try:
            identity = decode_identity(exchange.status, exchange.headers, body)
        except CodecError:
            # Only some kinds of targets say more of themselves than a header does.
            identity = decode_identity(exchange.status, exchange.headers, b"{}")
        return classify_identity(target, identity, silent), "identity"

    def _build_question(self, target):
        service = self._find_service(target.service)
        plain = service is None or not (service.engine or service.stage_pool)
        path = service.health_path if plain and service is not None else REPORT_PATH
        return build_call_head("GET", path, target.address, target_id=target.target_id)

    def _note_verdict(self, run, fingerprints, verdict, evidence):
        self._metrics.target_checks.labels(verdict).inc()
        log_event(
            LogEvent.TARGET_CHECKED,
            target=run[0],
            born_ms=run[1],
            verdict=verdict,
            evidence=evidence,
            fingerprints=sorted(one.hex() for one in fingerprints),
        )
        if verdict == ENDED:
            self._on_ended(run, fingerprints)
