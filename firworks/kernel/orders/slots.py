"""Slots of the weight store: how many loads the whole fleet runs at once."""

from functools import singledispatchmethod

from firworks.kernel.messages import Struct
from firworks.kernel.orders.records import SlotRelease, SlotRequest

SLOT_TTL_S = 600.0
LOAD_TIMEOUT_S = 300.0
REQUEST_TIMEOUT_S = 10.0
RETRY_S = 15.0
RESEND_S = 5.0

# Values of `Slot.state`.
SLOT_ASKED = "asked"
SLOT_GRANTED = "granted"
SLOT_REFUSED = "refused"


class Slot(Struct):
    """A slot that this daemon asked for: its `state` and when it was `sent_s`."""

    __slots__ = ("state", "sent_s")


class Release(Struct):
    """A release first sent at `first_s`, and `due_s` to be sent again."""

    __slots__ = ("first_s", "due_s")


class Slots:
    """Counts the requests in the log; a request is granted below the limit.

    Every request that was written within ``SLOT_TTL_S`` and is not released counts,
    granted or not, so that the decision on a request depends only on entries of
    that time.
    """

    def __init__(self):
        self._counted = {}
        self._released = {}
        self._first_s = None
        self._mine = {}
        self._requests = []
        self._releases = {}

    def ask(self, slot_id, now):
        """Ask for a slot."""
        self._mine[slot_id] = Slot(SLOT_ASKED, now)
        self._requests.append(SlotRequest(slot_id))

    def find(self, slot_id):
        """Return this daemon's `Slot`, or None."""
        return self._mine.get(slot_id)

    def release(self, slot_id, now):
        """Give back a slot under which nothing runs any more."""
        self._mine.pop(slot_id, None)
        self._releases[slot_id] = Release(now, now)

    def abandon(self, slot_id):
        """Let a slot lapse under which a load may still run."""
        self._mine.pop(slot_id, None)

    def pop_records(self, now):
        """Return the records (list) to append now; releases until they are read."""
        records, self._requests = self._requests, []
        for slot_id, release in list(self._releases.items()):
            if now > release.first_s + SLOT_TTL_S:
                del self._releases[slot_id]
            elif now >= release.due_s:
                release.due_s = now + RESEND_S
                records.append(SlotRelease(slot_id))
        return records

    def may_load(self, slot_id, now):
        """Return whether a load begun now ends before the slot can lapse."""
        slot = self._mine.get(slot_id)
        if slot is None or slot.state != SLOT_GRANTED:
            return False
        return now + LOAD_TIMEOUT_S <= slot.sent_s + SLOT_TTL_S

    def apply_entry(self, entry, whole, limit):
        """Take in an entry of the control stream.

        Args:
            entry (LogEntry): The entry; entries come in order.
            whole (bool): Nothing that the log retains was left out before it.
            limit (int): How many loads may run at once.
        """
        if self._first_s is None:
            self._first_s = float("-inf") if whole else entry.written_s
        for kept in (self._counted, self._released):
            lapsed = [i for i, s in kept.items() if s <= entry.written_s - SLOT_TTL_S]
            for slot_id in lapsed:
                del kept[slot_id]
        for record in entry.records:
            self._take(record, entry.written_s, limit)

    @singledispatchmethod
    def _take(self, record, written_s, limit):
        """Leave other records alone."""

    @_take.register
    def _take_release(self, record: SlotRelease, written_s, limit):
        self._counted.pop(record.slot_id, None)
        self._releases.pop(record.slot_id, None)
        self._released[record.slot_id] = written_s

    @_take.register
    def _take_request(self, record: SlotRequest, written_s, limit):
        if record.slot_id in self._counted or record.slot_id in self._released:
            return
        decidable = self._first_s <= written_s - SLOT_TTL_S
        granted = decidable and len(self._counted) < limit
        self._counted[record.slot_id] = written_s
        slot = self._mine.get(record.slot_id)
        if slot is not None and slot.state == SLOT_ASKED:
            slot.state = SLOT_GRANTED if granted else SLOT_REFUSED
