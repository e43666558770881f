"""Keeps refused requests in the store, for a fleet that restarts as a whole."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.forwarding.suspicions import Suspicion
from firworks.platform.store import MEMBERS_TOPIC, StoreError

# Keys beside those of the members, whose topic every daemon lists at its start.
SUSPICION_KEY_PREFIX = "suspect/"
# Most records written or dropped in one go.
MOST_WRITES = 4


class SuspicionStore:
    """Writes records of refused requests, and drops those of others.

    Args:
        store (StoreClient): The store.
    """

    def __init__(self, store):
        self._store = store
        self._kept = {}
        self._writing = None

    def decode(self, value):
        """Return the `Suspicion` that a value of the store holds, or None.

        Args:
            value (KeyedValue): A value whose key begins with ``SUSPICION_KEY_PREFIX``.
        """
        if not value.value:
            return None
        try:
            suspicion = decode_record(value.value)
            if not isinstance(suspicion, Suspicion) or make_key(suspicion) != value.key:
                raise CodecError(f"not the suspicion of {value.key!r}")
        except CodecError as error:
            log_event(
                LogEvent.STORE_RECORD_SKIPPED, topic=MEMBERS_TOPIC, error=str(error)
            )
            return None
        self._kept[value.key] = count_all(suspicion)
        return suspicion

    def update(self, suspicions):
        """Begin to bring the store up to date.

        Args:
            suspicions (list of Suspicion): Of all requests that are refused.
        """
        if self._writing is not None and not self._writing.done():
            return
        wanted = {make_key(one): one for one in suspicions}
        changes = [
            (key, one)
            for key, one in wanted.items()
            if self._kept.get(key) != count_all(one)
        ]
        changes += [(key, None) for key in self._kept if key not in wanted]
        if changes:
            self._writing = asyncio.ensure_future(self._write(changes[:MOST_WRITES]))

    def close(self):
        """Stop writing."""
        if self._writing is not None:
            self._writing.cancel()

    async def _write(self, changes):
        for key, suspicion in changes:
            value = b"" if suspicion is None else encode_record(suspicion)
            try:
                await self._store.put_value(MEMBERS_TOPIC, key, value)
            except StoreError as error:
                # The next update tries again.
                log_event(LogEvent.STORE_LOST, topic=MEMBERS_TOPIC, error=str(error))
                return
            if suspicion is None:
                del self._kept[key]
            else:
                self._kept[key] = count_all(suspicion)


def make_key(suspicion):
    """Return the key (str) of a suspicion's record."""
    return SUSPICION_KEY_PREFIX + suspicion.fingerprint.hex()


def count_all(suspicion):
    """Return what a new record would be written for: (ends, trials, spared)."""
    return len(suspicion.incarnations), len(suspicion.trial_ages_s), suspicion.trial_returned
