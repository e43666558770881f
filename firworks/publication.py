"""Publishing, promoting and listing configuration versions, for operators' tools.

The `log` of each function is an object with two coroutines, ``append(stream,
records)``, which returns an offset, and ``read(stream, offset)``, which returns a
`LogRead`. Both raise `LogUnavailableError`.
"""

import asyncio
import hashlib
from uuid import uuid4

from firworks.codes import Code
from firworks.document import FORMAT, parse_document
from firworks.errors import (
    BaseSupersededError,
    LogUnavailableError,
    NotConfiguredError,
    NotPromotableError,
    SettingsError,
)
from firworks.kernel.configuration.reader import ConfigurationReader
from firworks.kernel.configuration.records import (
    NO_VERSION,
    Publish,
    Restore,
    name_stream,
    pack_document,
    unpack_document,
)

MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.5


async def publish(log, environment, data, base=None, publication_id=None):
    """Publish a document and learn what became of it.

    Args:
        log (object): The log service; see the module.
        environment (str): "trial" or "production".
        data (bytes): The TOML document.
        base (int): The version that it replaces; by default the current one.
        publication_id (str): Given to resume a publication whose fate is unknown;
            `base` must then be given as well.

    Returns:
        Decision: The accepting decision; its offset is the new version.

    Raises:
        SettingsError: When the document is not valid; nothing was published.
        BaseSupersededError: When another publication won; this one never will.
        NotConfiguredError: When the current version cannot be told.
        LogUnavailableError: When the fate is unknown; the text says how to resume.
        ValueError: When `publication_id` is given without `base`.
    """
    parse_document(data, environment)
    if publication_id is not None and base is None:
        raise ValueError("a publication is resumed with its base")
    session = _Session(log, environment, whole=publication_id is not None)
    await session.read()
    earlier = session.find_decision(publication_id)
    if earlier is not None:
        return session.require_accepted(earlier, base)
    state = session.current()
    if base is None:
        base = state.version
    if base != state.version:
        raise BaseSupersededError(base, state.version, state.digest)
    digest = hashlib.sha256(data).hexdigest()
    publication_id = publication_id or uuid4().hex
    record = Publish(publication_id, base, FORMAT, digest, pack_document(data))
    return session.require_accepted(
        await session.append_until_decided(record, base), base
    )


async def promote(log, digest=None, base=None):
    """Publish in production the document that is accepted in trial, byte for byte.

    Args:
        log (object): The log service; see the module.
        digest (str): The digest expected in trial; by default whatever is there.
        base (int): The version of production that it replaces.

    Returns:
        Decision: The accepting decision in production.

    Raises:
        NotPromotableError: When trial has no version, or one of another digest.
        FirworksError: As `publish` does.
    """
    session = _Session(log, "trial")
    await session.read()
    state = session.current()
    if state.version == NO_VERSION:
        raise NotPromotableError("no document is accepted in trial")
    if digest not in (None, state.digest):
        raise NotPromotableError(f"trial has accepted {state.digest}, not {digest}")
    return await publish(log, "production", unpack_document(state.packed), base)


async def restore(log, environment, data):
    """Publish a document in an environment of which the log retains no version.

    Returns:
        Decision: The accepting decision.

    Raises:
        BaseSupersededError: When there is a version; publish against it instead.
        FirworksError: As `publish` does.
    """
    parse_document(data, environment)
    session = _Session(log, environment)
    await session.read()
    if session.history.known:
        state = session.history.state
        raise BaseSupersededError(NO_VERSION, state.version, state.digest)
    digest = hashlib.sha256(data).hexdigest()
    position = session.history.cursor
    packed = pack_document(data)
    record = Restore(uuid4().hex, position, FORMAT, digest, packed)
    decision = await session.append_until_decided(record, NO_VERSION)
    return session.require_accepted(decision, NO_VERSION)


async def history(log, environment):
    """Return the list of `Decision` that the retained log still tells of.

    Raises:
        LogUnavailableError: When the log cannot be read.
    """
    session = _Session(log, environment, whole=True)
    await session.read()
    return list(session.decisions)


async def read_current(log, environment):
    """Return the `ConfigurationState` of an environment.

    Raises:
        NotConfiguredError: When the current version cannot be told.
        LogUnavailableError: When the log cannot be read.
    """
    session = _Session(log, environment)
    await session.read()
    return session.current()


class _Session:
    """One tool's view of an environment's stream."""

    def __init__(self, log, environment, whole=False):
        self.decisions = []
        self._log = log
        self._environment = environment
        self._stream = name_stream(environment)
        self._reader = ConfigurationReader(whole)

    @property
    def history(self):
        return self._reader.history

    async def read(self):
        """Read up to the head, retrying for a while."""
        for attempt in range(MAX_ATTEMPTS):
            try:
                return await self._read_to_head()
            except LogUnavailableError:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_to_head(self):
        while True:
            asked = self._reader.offset
            read = await self._log.read(self._stream, asked)
            self.decisions += self._reader.take(read)
            if self._reader.at_head:
                return
            if self._reader.offset == asked:
                raise LogUnavailableError(f"{self._stream} gives nothing at {asked}")

    def current(self):
        """Return the state after the newest entry."""
        if not self.history.known:
            raise NotConfiguredError(
                f"the log does not tell the current version of {self._environment}"
            )
        return self.history.state

    def find_decision(self, publication_id):
        """Return the decision on a publication; an acceptance goes first."""
        found = [d for d in self.decisions if d.publication_id == publication_id]
        accepted = [d for d in found if d.accepted]
        return (accepted or found or [None])[0]

    async def append_until_decided(self, record, base):
        """Append a record until its decision can be read.

        A copy that lands late is refused, because its base is no longer current.
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._log.append(self._stream, (record,))
            except LogUnavailableError:
                await asyncio.sleep(RETRY_DELAY_S)
            decision = await self._read_decision(record)
            if decision is not None:
                return decision
        raise LogUnavailableError(
            f"fate unknown; resume with publication id {record.publication_id}"
            f" and base {base}"
        )

    async def _read_decision(self, record):
        try:
            await self._read_to_head()
        except LogUnavailableError:
            return None
        return self.find_decision(record.publication_id)

    def require_accepted(self, decision, base):
        """Return an accepting decision, or raise what refused it."""
        if decision.accepted:
            return decision
        if decision.code is Code.DOCUMENT_INVALID:
            raise SettingsError(self._environment, "(file)", "refused by its checks")
        digests = {d.offset: d.digest for d in self.decisions if d.accepted}
        digest = digests.get(decision.current, "digest unknown")
        raise BaseSupersededError(base, decision.current, digest)
