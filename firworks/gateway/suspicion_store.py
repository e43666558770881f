"""Persists quarantined requests in the store, so that they outlive a fleet restart."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.forwarding.suspicions import Suspicion
from firworks.platform.store import MEMBERS_TOPIC, StoreError

# Suspicions share the members topic, as every gateway lists it when it starts.
SUSPICION_KEY_PREFIX = "suspect/"
# Records written or removed per update.
MAX_WRITES_PER_UPDATE = 4


class SuspicionStore:
    """Writes the records of quarantined requests and removes outdated ones.

    Args:
        store (StoreClient): The store.
    """

    def __init__(self, store):
        self._store = store
        self._stored = {}
        self._write_task = None

    def decode(self, value):
        """Return the `Suspicion` stored in a value, and note that it is stored.

        Args:
            value (KeyedValue): A value whose key starts with ``SUSPICION_KEY_PREFIX``.

        Returns:
            Suspicion or None: None for a removed record, and for an invalid one, which
                is logged.
        """
        if not value.value:
            return None
        try:
            suspicion = decode_record(value.value)
            if not isinstance(suspicion, Suspicion) or make_key(suspicion) != value.key:
                raise CodecError(f"record is not the suspicion of key {value.key!r}")
        except CodecError as error:
            log_event(
                LogEvent.STORE_RECORD_SKIPPED, topic=MEMBERS_TOPIC, error=str(error)
            )
            return None
        self._stored[value.key] = get_counts(suspicion)
        return suspicion

    def update(self, suspicions):
        """Start writing the differences to the store, unless a write is in progress.

        Args:
            suspicions (list of Suspicion): One for each quarantined request.
        """
        if self._write_task is not None and not self._write_task.done():
            return
        wanted = {make_key(suspicion): suspicion for suspicion in suspicions}
        changes = [
            (key, suspicion)
            for key, suspicion in wanted.items()
            if self._stored.get(key) != get_counts(suspicion)
        ]
        changes += [(key, None) for key in self._stored if key not in wanted]
        if changes:
            self._write_task = asyncio.ensure_future(
                self._write(changes[:MAX_WRITES_PER_UPDATE])
            )

    def forget(self):
        """Write all records again, as the store may have lost them."""
        self._stored.clear()

    def close(self):
        """Stop writing."""
        if self._write_task is not None:
            self._write_task.cancel()

    async def _write(self, changes):
        for key, suspicion in changes:
            value = b"" if suspicion is None else encode_record(suspicion)
            try:
                await self._store.put_value(MEMBERS_TOPIC, key, value)
            except StoreError as error:
                # The next update retries.
                log_event(LogEvent.STORE_LOST, topic=MEMBERS_TOPIC, error=str(error))
                return
            if suspicion is None:
                del self._stored[key]
            else:
                self._stored[key] = get_counts(suspicion)


def make_key(suspicion):
    """Return the store key (str) of a suspicion."""
    return SUSPICION_KEY_PREFIX + suspicion.fingerprint.hex()


def get_counts(suspicion):
    """Return the counts whose change warrants a new record.

    Returns:
        tuple: Number of crashes (int), number of trials (int), and whether a trial was
            returned (bool).
    """
    return (
        len(suspicion.incarnations),
        len(suspicion.trial_ages_s),
        suspicion.trial_returned,
    )
