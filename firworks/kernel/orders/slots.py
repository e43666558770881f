"""Slots of the weight store: how many loads the whole fleet runs at once."""

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
    """A slot that this daemon asked for: its `state` and when it was `sent_s`."""

    __slots__ = ("state", "sent_s")


class Release(Struct):
    """A release first sent at `first_sent_s`, and `next_send_s` to be sent again."""

    __slots__ = ("first_sent_s", "next_send_s")


class Slots:
    """Counts the requests in the log; a request is granted below the limit.

    Every request that was written within ``SLOT_TTL_S`` and is not released counts,
    granted or not, so that the decision on a request depends only on entries of
    that time.
    """

    def __init__(self):
        self._counted = {}
        self._released = {}
        self._read_from_s = None
        self._own = {}
        self._requests = []
        self._releases = {}

    def request(self, slot_id, now):
        """Ask for a slot."""
        self._own[slot_id] = Slot(SLOT_REQUESTED, now)
        self._requests.append(SlotRequest(slot_id))

    def find(self, slot_id):
        """Return this daemon's `Slot`, or None."""
        return self._own.get(slot_id)

    def release(self, slot_id, now):
        """Give back a slot under which nothing runs any more."""
        self._own.pop(slot_id, None)
        self._releases[slot_id] = Release(now, now)

    def abandon(self, slot_id):
        """Let a slot lapse under which a load may still run."""
        self._own.pop(slot_id, None)

    def pop_records(self, now):
        """Return the records (list) to append now; releases until they are read."""
        records, self._requests = self._requests, []
        for slot_id, release in list(self._releases.items()):
            if now > release.first_sent_s + SLOT_TTL_S:
                del self._releases[slot_id]
            elif now >= release.next_send_s:
                release.next_send_s = now + RELEASE_RESEND_INTERVAL_S
                records.append(SlotRelease(slot_id))
        return records

    def may_load(self, slot_id, now):
        """Return whether a load begun now ends before the slot can lapse."""
        slot = self._own.get(slot_id)
        if slot is None or slot.state != SLOT_GRANTED:
            return False
        return now + LOAD_TIMEOUT_S <= slot.sent_s + SLOT_TTL_S

    def apply_entry(self, entry, complete, limit):
        """Take in an entry of the control stream.

        Args:
            entry (LogEntry): The entry; entries come in order.
            complete (bool): Nothing that the log retains was left out before it.
            limit (int): How many loads may run at once.
        """
        if self._read_from_s is None:
            self._read_from_s = float("-inf") if complete else entry.written_s
        for kept in (self._counted, self._released):
            lapsed = [i for i, s in kept.items() if s <= entry.written_s - SLOT_TTL_S]
            for slot_id in lapsed:
                del kept[slot_id]
        for record in entry.records:
            self._apply(record, entry.written_s, limit)

    @singledispatchmethod
    def _apply(self, record, written_s, limit):
        """Leave other records alone."""

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
