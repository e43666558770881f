"""Slots of the weight store: limit the concurrent loads of the whole fleet."""

from functools import singledispatchmethod

from firworks.kernel.messages import Struct
from firworks.kernel.orders.records import SlotRelease, SlotRequest

SLOT_TTL_S = 600.0
LOAD_TIMEOUT_S = 300.0
REQUEST_TIMEOUT_S = 10.0
SLOT_RETRY_DELAY_S = 15.0
RELEASE_RESEND_INTERVAL_S = 5.0

# Values of `Slot.state`.
SLOT_REQUESTED = "asked"
SLOT_GRANTED = "granted"
SLOT_REFUSED = "refused"


class Slot(Struct):
    """A slot requested by this daemon: its `state`, requested at `sent_s`."""

    __slots__ = ("state", "sent_s")


class Release(Struct):
    """A release, sent first at `first_sent_s` and again at `next_send_s`."""

    __slots__ = ("first_sent_s", "next_send_s")


class Slots:
    """Grants slot requests by their order in the log, up to a limit.

    Every request that was written within ``SLOT_TTL_S`` and has not been released
    counts, granted or not, so that the decision on a request depends only on the
    entries of that period. A daemon that has not read the whole period treats its
    requests as refused.
    """

    def __init__(self):
        self._counted = {}
        self._released = {}
        self._read_from_s = None
        self._own = {}
        self._requests = []
        self._releases = {}

    def request(self, slot_id, now):
        """Request a slot; the record is sent with the next `pop_records`."""
        self._own[slot_id] = Slot(SLOT_REQUESTED, now)
        self._requests.append(SlotRequest(slot_id))

    def find(self, slot_id):
        """Return the `Slot` that this daemon requested, or None."""
        return self._own.get(slot_id)

    def release(self, slot_id, now):
        """Release a slot under which no load runs any more."""
        self._own.pop(slot_id, None)
        self._releases[slot_id] = Release(now, now)

    def abandon(self, slot_id):
        """Let a slot expire under which a load may still run."""
        self._own.pop(slot_id, None)

    def pop_records(self, now):
        """Return the records (list) to append; releases repeat until read back."""
        records, self._requests = self._requests, []
        for slot_id, release in list(self._releases.items()):
            if now > release.first_sent_s + SLOT_TTL_S:
                del self._releases[slot_id]
            elif now >= release.next_send_s:
                release.next_send_s = now + RELEASE_RESEND_INTERVAL_S
                records.append(SlotRelease(slot_id))
        return records

    def may_load(self, slot_id, now):
        """Return whether a load started now ends before the slot can expire."""
        slot = self._own.get(slot_id)
        if slot is None or slot.state != SLOT_GRANTED:
            return False
        return now + LOAD_TIMEOUT_S <= slot.sent_s + SLOT_TTL_S

    def apply_entry(self, entry, complete, limit):
        """Apply an entry of the control stream.

        Args:
            entry (LogEntry): The entry; entries come in offset order.
            complete (bool): Whether all earlier entries that the log retains were
                read.
            limit (int): Maximum number of concurrent loads.
        """
        if self._read_from_s is None:
            self._read_from_s = float("-inf") if complete else entry.written_s
        for kept in (self._counted, self._released):
            expired = [i for i, s in kept.items() if s <= entry.written_s - SLOT_TTL_S]
            for slot_id in expired:
                del kept[slot_id]
        for record in entry.records:
            self._apply(record, entry.written_s, limit)

    @singledispatchmethod
    def _apply(self, record, written_s, limit):
        """Apply one record; other types change nothing."""

    @_apply.register
    def _apply_release(self, record: SlotRelease, written_s, limit):
        self._counted.pop(record.slot_id, None)
        self._releases.pop(record.slot_id, None)
        self._released[record.slot_id] = written_s

    @_apply.register
    def _apply_request(self, record: SlotRequest, written_s, limit):
        if record.slot_id in self._counted or record.slot_id in self._released:
            return
        decidable = self._read_from_s <= written_s - SLOT_TTL_S
        granted = decidable and len(self._counted) < limit
        self._counted[record.slot_id] = written_s
        slot = self._own.get(record.slot_id)
        if slot is not None and slot.state == SLOT_REQUESTED:
            slot.state = SLOT_GRANTED if granted else SLOT_REFUSED
