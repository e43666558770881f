"""Brings one engine to its wanted state: when to inspect, load and order."""

from firworks.kernel.fleet.placement import matches
from firworks.kernel.orders.records import InspectEngine, OrderEngine
from firworks.kernel.orders.slots import (
    REQUEST_TIMEOUT_S,
    RETRY_S,
    SLOT_ASKED,
    SLOT_REFUSED,
)
from firworks.kernel.orders.terms import ORDER_TIMEOUT_S

INSPECT_INTERVAL_S = 10.0
INSPECT_SOON_S = 1.0


class EngineOrders:
    """Orders to one engine under a term of this daemon.

    Args:
        target (str): The engine.
        wanted (EngineState): The state that it is to have.
        slots (Slots): The fleet's weight-store slots.
        make_id (callable): Returns a new unique id (str).
    """

    def __init__(self, target, wanted, slots, make_id):
        self.target = target
        self.wanted = wanted
        self._slots = slots
        self._make_id = make_id
        self._inspect_s = 0.0
        self._order_id = None
        self._order_until_s = 0.0
        self._slot_id = None
        self._begun = False
        self._retry_s = 0.0

    def poll(self, now):
        """Return the list of actions to take now."""
        if now < self._inspect_s:
            return []
        self._inspect_s = now + INSPECT_INTERVAL_S
        return [InspectEngine(self.target)]

    def note_answer(self, order_id, now):
        """Note that an order is over; the engine is inspected again soon."""
        if order_id == self._order_id:
            self._order_id = None
            self._inspect_s = now + INSPECT_SOON_S

    def apply_state(self, state, loading, fencing, now):
        """Take the shown state, and order the engine if it is not the wanted one.

        Args:
            state (EngineState): What the engine holds.
            loading (bool): It is converging to an order.
            fencing (int): Number of this daemon's term, or None without one.
            now (float): Kernel time.

        Returns:
            list of Action: An order, or nothing yet.
        """
        if matches(state, self.wanted):
            self.release_slot(now, finished=True)
            return []
        waiting = self._order_id is not None and now < self._order_until_s
        if loading or waiting or fencing is None:
            return []
        if not state.needs_load(self.wanted):
            return [self._make_order(fencing, now)]
        return self._load(fencing, now)

    def release_slot(self, now, finished=False):
        """Release the slot; let it lapse when a load may still run under it."""
        slot_id, self._slot_id = self._slot_id, None
        begun, self._begun = self._begun, False
        if slot_id is None:
            return
        if begun and not finished:
            self._slots.abandon(slot_id)
        else:
            self._slots.release(slot_id, now)

    def _load(self, fencing, now):
        if self._slot_id is None:
            self._ask_for_slot(now)
            return []
        if self._slots.may_load(self._slot_id, now):
            self._begun = True
            return [self._make_order(fencing, now)]
        slot = self._slots.find(self._slot_id)
        if slot.state == SLOT_ASKED and now < slot.sent_s + REQUEST_TIMEOUT_S:
            self._inspect_s = now + INSPECT_SOON_S
            return []
        self._retry_s = now + RETRY_S if slot.state == SLOT_REFUSED else now
        self.release_slot(now)
        return []

    def _ask_for_slot(self, now):
        if now < self._retry_s:
            return
        self._slot_id = self._make_id()
        self._inspect_s = now + INSPECT_SOON_S
        self._slots.ask(self._slot_id, now)

    def _make_order(self, fencing, now):
        self._order_id = self._make_id()
        self._order_until_s = now + ORDER_TIMEOUT_S
        return OrderEngine(
            self._order_id,
            self.target,
            fencing,
            self.wanted,
            now + ORDER_TIMEOUT_S / 2,
            ORDER_TIMEOUT_S / 2,
        )
