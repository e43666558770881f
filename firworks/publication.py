"""Publication, promotion and listing of configuration versions, for operator tools.

The `log` argument of each function is an object with two coroutine methods:
``append(stream, records)`` returns an offset, and ``read(stream, offset)`` returns a
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
    """Publish a document and wait for the decision on it.

    Args:
        log (object): Client of the log service; see the module's doc comment.
        environment (str): "trial" or "production".
        data (bytes): The TOML document.
        base (int): Version that it replaces; the current one by default.
        publication_id (str): Resumes an earlier publication, whose outcome is unknown;
            requires `base`.

    Returns:
        Decision: The accepting decision; its offset is the new version.

    Raises:
        SettingsError: When the document is invalid; nothing is published then.
        BaseSupersededError: When another publication has replaced `base`; this one can
            no longer be accepted.
        NotConfiguredError: When the current version cannot be determined.
        LogUnavailableError: When the outcome is unknown; the message says how to
            resume.
        ValueError: When `publication_id` is given without `base`.
    """
    parse_document(data, environment)
    if publication_id is not None and base is None:
        raise ValueError("resuming a publication requires its base version")
    session = _Session(log, environment, from_oldest=publication_id is not None)
    await session.read()
    earlier_decision = session.find_decision(publication_id)
    if earlier_decision is not None:
        return session.require_accepted(earlier_decision, base)
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
    """Publish the document accepted in trial in production, byte for byte.

    Args:
        log (object): Client of the log service; see the module's doc comment.
        digest (str): Expected SHA-256 of the document in trial; any by default.
        base (int): Version in production that it replaces; the current one by default.

    Returns:
        Decision: The accepting decision in production.

    Raises:
        NotPromotableError: When trial has no version, or a document of another digest.
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
    """Publish a document in an environment whose log retains no version.

    Returns:
        Decision: The accepting decision.

    Raises:
        BaseSupersededError: When the log retains a version; publish with it as base
            instead.
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
    """Return the decisions in the retained log (list of Decision).

    Raises:
        LogUnavailableError: When the log cannot be read.
    """
    session = _Session(log, environment, from_oldest=True)
    await session.read()
    return list(session.decisions)


async def read_current(log, environment):
    """Return the `ConfigurationState` of an environment.

    Raises:
        NotConfiguredError: When the current version cannot be determined.
        LogUnavailableError: When the log cannot be read.
    """
    session = _Session(log, environment)
    await session.read()
    return session.current()


class _Session:
    """Reads and appends to the configuration stream of one environment."""

    def __init__(self, log, environment, from_oldest=False):
        self.decisions = []
        self._log = log
        self._environment = environment
        self._stream = name_stream(environment)
        self._reader = ConfigurationReader(from_oldest)

    @property
    def history(self):
        return self._reader.history

    async def read(self):
        """Read up to the head of the stream, retrying when the log is unavailable."""
        for attempt in range(MAX_ATTEMPTS):
            try:
                return await self._read_to_head()
            except LogUnavailableError:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_to_head(self):
        while True:
            offset = self._reader.offset
            read = await self._log.read(self._stream, offset)
            self.decisions += self._reader.take(read)
            if self._reader.at_head:
                return
            if self._reader.offset == offset:
                raise LogUnavailableError(
                    f"{self._stream} returned no entries at {offset}"
                )

    def current(self):
        """Return the `ConfigurationState` after the newest entry read."""
        if not self.history.known:
            raise NotConfiguredError(
                f"the log does not show the current version of {self._environment}"
            )
        return self.history.state

    def find_decision(self, publication_id):
        """Return the decision on a publication or None; prefer an acceptance."""
        matching = [d for d in self.decisions if d.publication_id == publication_id]
        accepted = [d for d in matching if d.accepted]
        return (accepted or matching or [None])[0]

    async def append_until_decided(self, record, base):
        """Append a record, repeatedly if need be, until its decision can be read.

        Duplicates in the log are refused, as their base is no longer current.
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
            f"outcome unknown; resume with publication id {record.publication_id}"
            f" and base {base}"
        )

    async def _read_decision(self, record):
        try:
            await self._read_to_head()
        except LogUnavailableError:
            return None
        return self.find_decision(record.publication_id)

    def require_accepted(self, decision, base):
        """Return an accepting decision, or raise the reason for its refusal."""
        if decision.accepted:
            return decision
        if decision.code is Code.DOCUMENT_INVALID:
            raise SettingsError(self._environment, "(file)", "failed validation")
        digests = {d.offset: d.digest for d in self.decisions if d.accepted}
        digest = digests.get(decision.current, "digest unknown")
        raise BaseSupersededError(base, decision.current, digest)
