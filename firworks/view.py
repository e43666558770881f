"""A daemon as its admin listener sees it."""

import asyncio
import itertools
import json

from firworks.admin import (
    RESOLUTION_RAN,
    AdminView,
    DaemonStatus,
    KeyStatus,
    MemberStatus,
)
from firworks.codes import Code
from firworks.errors import RequestError
from firworks.kernel.answers import CompleteResponse, encode_response
from firworks.kernel.ledger.claims import CLAIM_UNAVAILABLE, CLAIM_UNKNOWN
from firworks.kernel.ledger.records import LookupRequested, ResolutionRequested


class DaemonView(AdminView):
    """Answers the admin listener from the state of a daemon.

    Args:
        daemon (Daemon): The daemon.
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self._numbers = itertools.count(1)
        self._waiting = {}

    @property
    def _connected(self):
        return self._daemon.connected_peers

    @property
    def burn(self):
        """Burn counts of the daemon."""
        return self._daemon.burn

    @property
    def metrics(self):
        """Metrics of the daemon."""
        return self._daemon.metrics

    def is_ready(self):
        """Return whether callers' requests are taken."""
        return self._daemon.ready

    def status(self):
        """Return the daemon's `DaemonStatus`."""
        daemon = self._daemon
        settings = daemon.settings
        requests = daemon.parts.requests
        document = requests.document
        return DaemonStatus(
            name=settings.name,
            incarnation=daemon.incarnation,
            environment=settings.environment,
            region=settings.region,
            failure_domain=settings.failure_domain,
            ready=daemon.ready,
            draining=requests.draining,
            version=requests.version,
            digest=document.digest if document else "",
            in_progress=len(requests.requests),
            members=self._list_members(),
        )

    def _list_members(self):
        membership = self._daemon.parts.membership
        alive = membership.list_alive()
        names = [name for name in alive if name != self._daemon.settings.name]
        return tuple(
            MemberStatus(name, membership.find_status(name), name in self._connected)
            for name in names
        )

    async def look_up_key(self, key):
        """Return what the ledger holds on a key; see `AdminView`."""
        return await self._ask(LookupRequested, key)

    async def resolve_key(self, key, resolution, answer):
        """Settle a key whose outcome is unknown; see `AdminView`."""
        status = await self.look_up_key(key)
        if status.state != CLAIM_UNKNOWN:
            detail = f"the key is {status.state}, not unknown"
            raise RequestError(Code.USAGE, detail)
        ran = resolution == RESOLUTION_RAN
        kept = _encode_answer(answer) if ran else b""
        return await self._ask(ResolutionRequested, key, ran, kept)

    def start_drain(self):
        """Begin a graceful shutdown."""
        self._daemon.draining.set()

    def complete_lookup(self, action):
        """Take the kernel's answer (AnswerOperator) to an open question."""
        future = self._waiting.pop(action.lookup_id, None)
        if future is not None and not future.done():
            future.set_result(action)

    async def _ask(self, kind, *values):
        lookup_id = f"{self._daemon.incarnation}/lookup/{next(self._numbers)}"
        future = asyncio.get_running_loop().create_future()
        self._waiting[lookup_id] = future
        try:
            self._daemon.feed(kind(lookup_id, *values))
            return _describe(await future)
        finally:
            self._waiting.pop(lookup_id, None)


def _encode_answer(text):
    """Return an operator's JSON text in the form of answers that the ledger keeps."""
    try:
        body = json.loads(text)
    except ValueError as error:
        detail = f"the answer must be JSON: {error}"
        raise RequestError(Code.USAGE, detail) from error
    return encode_response(CompleteResponse(body=body))


def _describe(action):
    if action.state == CLAIM_UNAVAILABLE:
        raise RequestError(Code.LOG_UNAVAILABLE, "the ledger cannot be read now")
    answer = action.response.decode(errors="replace")
    return KeyStatus(action.state, answer=answer)
