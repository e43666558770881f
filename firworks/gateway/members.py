"""Discovery of the other gateways through the store's members topic."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.gateway.suspicion_store import SUSPICION_KEY_PREFIX
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.pools.messages import MemberEntry
from firworks.platform.store import MEMBERS_TOPIC, StoreError

# Delay after a registration that the store did not confirm, doubled after each further
# failure: many gateways may start during a store outage.
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 4.0
# After the store was restored, all gateways write their entries again within this time.
REGISTRATION_SPREAD_S = 1.0


class MembersListener:
    """Updates the roster from the store and keeps this gateway's own entry there.

    Args:
        roster (Roster): The members.
        store (StoreClient): The store.
        on_member (callable): ``on_member(name)``, called after a member was added or
            has restarted.
        on_suspicion (callable): ``on_suspicion(value)``, called with the stored record
            of a quarantined request (KeyedValue).

    Attributes:
        listed (bool): Whether all members have been listed once.
    """

    def __init__(self, roster, store, on_member, on_suspicion):
        self._roster = roster
        self._store = store
        self._on_member = on_member
        self._on_suspicion = on_suspicion
        self.listed = False
        self._registration = None
        self._leaving = False

    def apply_listing(self, values):
        """Replace the roster by the topic's newest values (list of KeyedValue)."""
        listed = set()
        for value in values:
            if value.value:
                listed.add(value.key)
                self.apply_value(value)
        for name in self._roster.names:
            if name not in listed:
                self._remove(name)
        self.listed = True
        if self._roster.own.name not in listed:
            self.register()

    def apply_restored(self, values):
        """Apply the copy of the topic from which the store was restored.

        Members that it lacks write their entries again, as this one does; see
        `register_again`. An entry of a known member may be of an older incarnation.

        Returns:
            bool: True, to remove those that are gone.
        """
        for value in values:
            if value.key.startswith(SUSPICION_KEY_PREFIX):
                self._on_suspicion(value)
            elif value.value and self._roster.find(value.key) is None:
                self.apply_value(value)
        return True

    async def register_again(self, rng):
        """Write this gateway's own entry again after a delay.

        Args:
            rng (random.Random): Chooses the delay.
        """
        await asyncio.sleep(rng.uniform(0.0, REGISTRATION_SPREAD_S))
        self.register()

    def apply_value(self, value):
        """Apply one record: a member's entry, its removal, or a suspicion."""
        if value.key.startswith(SUSPICION_KEY_PREFIX):
            self._on_suspicion(value)
            return
        if value.key == self._roster.own.name:
            self._check_own(value)
            return
        if not value.value:
            self._remove(value.key)
            return
        try:
            entry = decode_record(value.value)
            if not isinstance(entry, MemberEntry) or entry.name != value.key:
                raise CodecError(f"record is not the entry of member {value.key!r}")
        except CodecError as error:
            log_event(LogEvent.MEMBER_UNREADABLE, member=value.key, error=str(error))
            return
        self._put(entry)

    def apply_peer_report(self, entries, left):
        """Apply another gateway's knowledge of the members.

        Args:
            entries (iterable of MemberEntry): Members; known ones are ignored.
            left (iterable of str): Names of the members that have left.
        """
        own = self._roster.own
        for entry in entries:
            if entry.name == own.name and entry.incarnation != own.incarnation:
                self.register()
            self._put(entry)
        for name in left:
            if name == own.name:
                self.register()
            self._remove(name)

    def record_store_status(self, ok):
        """Ignore whether the store answered (bool); part of the listener interface."""

    def _put(self, entry):
        if self._roster.put(entry):
            log_event(
                LogEvent.MEMBER_CHANGED,
                member=entry.name,
                incarnation=entry.incarnation,
                status="listed",
            )
            self._on_member(entry.name)

    def register(self):
        """Start writing this gateway's own entry, retrying until the store confirms.

        Does nothing while a registration is in progress, or after `leave`.
        """
        if self._leaving:
            return
        if self._registration is None or self._registration.done():
            self._registration = asyncio.ensure_future(self._register())

    async def leave(self):
        """Remove this gateway's own entry from the store; a failure is only logged."""
        self._leaving = True
        if self._registration is not None:
            self._registration.cancel()
        try:
            await self._store.put_value(MEMBERS_TOPIC, self._roster.own.name, b"")
        except StoreError as error:
            log_event(LogEvent.STORE_LOST, topic=MEMBERS_TOPIC, error=str(error))

    async def _register(self):
        own = self._roster.own
        value = encode_record(own)
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                await self._store.put_value(MEMBERS_TOPIC, own.name, value)
                return
            except StoreError as error:
                log_event(LogEvent.STORE_LOST, topic=MEMBERS_TOPIC, error=str(error))
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)

    def _check_own(self, value):
        """Write the own entry again if it is gone or another incarnation wrote it."""
        if value.value != encode_record(self._roster.own):
            self.register()

    def _remove(self, name):
        if self._roster.remove(name):
            log_event(
                LogEvent.MEMBER_CHANGED, member=name, incarnation="", status="left"
            )
