"""Finds out which targets went down with a request, and tells the other gateways."""

import asyncio

from firworks.events import LogEvent, log_event
from firworks.gateway.connections import ConnectError
from firworks.kernel.forwarding.suspects import Suspects
from firworks.kernel.pools.messages import SuspectCleared, TargetCrashed


class CrashDesk:
    """Keeps the suspicion of requests that crash targets.

    Args:
        connections (TargetConnections): Where connections come from.
        clock (callable): Returns monotonic seconds.
        tell (callable): ``tell(record)`` sends a record to the other gateways.
    """

    def __init__(self, connections, clock, tell):
        self._suspects = Suspects()
        self._connections = connections
        self._clock = clock
        self._tell = tell
        self._checks = set()

    def is_refused(self, fingerprint):
        """Return whether a request must not be sent to a target."""
        return self._suspects.is_refused(fingerprint, self._clock())

    def check(self, fingerprint, target):
        """Find out whether a target that broke off a request has gone down."""
        task = asyncio.ensure_future(self._check(fingerprint, target))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def clear(self, fingerprint):
        """Take in that a request was answered here."""
        if self._suspects.clear(fingerprint):
            self._tell(SuspectCleared(fingerprint))

    def take_crash(self, fingerprint, run):
        """Take in that a target's run went down with a request."""
        if self._suspects.note_crash(fingerprint, run, self._clock()):
            log_event(
                LogEvent.REQUEST_SUSPECTED, fingerprint=fingerprint.hex(), target=run
            )

    def take_cleared(self, fingerprint):
        """Take in that another gateway has had a request answered."""
        self._suspects.clear(fingerprint)

    async def _check(self, fingerprint, target):
        verdict = "answers"
        try:
            connection = await self._connections.open(
                target.address, self._clock, fresh=True
            )
        except ConnectError:
            verdict = "down"
            run = f"{target.target_id}/{target.born_ms}"
            self.take_crash(fingerprint, run)
            self._tell(TargetCrashed(fingerprint, run))
        else:
            connection.abort()
        log_event(
            LogEvent.TARGET_CHECKED,
            fingerprint=fingerprint.hex(),
            target=target.target_id,
            verdict=verdict,
        )
