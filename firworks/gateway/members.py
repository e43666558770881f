"""How gateways find each other through the store."""

import asyncio

from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.gateway.suspicion_store import SUSPICION_KEY_PREFIX
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.pools.messages import MemberEntry
from firworks.platform.store import MEMBERS_TOPIC, StoreError

# Pause after a registration that was not confirmed, doubled by each further one: many
# daemons may start while the store is away.
FIRST_RETRY_S = 0.5
LONGEST_RETRY_S = 4.0


class MembersListener:
    """Keeps the roster and this daemon's own entry.

    Args:
        roster (Roster): The members.
        store (StoreClient): The store.
        on_member (callable): ``on_member(name)``, after a member appeared.
        on_suspicion (callable): ``on_suspicion(value)`` takes the values of refused
            requests.

    Attributes:
        listed (bool): All members have been listed once.
    """

    def __init__(self, roster, store, on_member, on_suspicion):
        self._roster = roster
        self._store = store
        self._on_member = on_member
        self._on_suspicion = on_suspicion
        self.listed = False
        self._registering = None
        self._leaving = False

    def apply_listing(self, values):
        """Take the newest values of the topic."""
        listed = set()
        for value in values:
            if value.value:
                listed.add(value.key)
                self.take_value(value)
        for name in self._roster.names:
            if name not in listed:
                self._remove(name)
        self.listed = True
        if self._roster.own.name not in listed:
            self.register()

    def take_value(self, value):
        """Take one entry, or that a member has left."""
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
                raise CodecError(f"not the entry of {value.key!r}")
        except CodecError as error:
            log_event(LogEvent.MEMBER_UNREADABLE, member=value.key, error=str(error))
            return
        self._put(entry)

    def apply_peer_report(self, entries, left):
        """Take in what another daemon knows of the members.

        Args:
            entries (iterable of MemberEntry): Members that are new or started anew.
            left (iterable of str): Names of those that have left.
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

    def note_store(self, ok):
        """Take in whether the store answered."""

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
        """Begin to write this daemon's own entry."""
        if self._leaving:
            return
        if self._registering is None or self._registering.done():
            self._registering = asyncio.ensure_future(self._register())

    async def leave(self):
        """Withdraw this daemon's own entry, if the store answers."""
        self._leaving = True
        if self._registering is not None:
            self._registering.cancel()
        try:
            await self._store.put_value(MEMBERS_TOPIC, self._roster.own.name, b"")
        except StoreError as error:
            log_event(LogEvent.STORE_LOST, topic=MEMBERS_TOPIC, error=str(error))

    async def _register(self):
        own = self._roster.own
        value = encode_record(own)
        pause_s = FIRST_RETRY_S
        while True:
            try:
                await self._store.put_value(MEMBERS_TOPIC, own.name, value)
                return
            except StoreError as error:
                log_event(LogEvent.STORE_LOST, topic=MEMBERS_TOPIC, error=str(error))
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_RETRY_S, 2 * pause_s)

    def _check_own(self, value):
        """Write the own entry again where that of another run has replaced it."""
        if value.value != encode_record(self._roster.own):
            self.register()

    def _remove(self, name):
        if self._roster.remove(name):
            log_event(
                LogEvent.MEMBER_CHANGED, member=name, incarnation="", status="left"
            )
