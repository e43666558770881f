"""Brings one engine to its wanted state: when to inspect, load and order."""

from firworks.kernel.fleet.placement import matches
from firworks.kernel.orders.records import InspectEngine, OrderEngine
from firworks.kernel.orders.slots import (
    REQUEST_TIMEOUT_S,
    SLOT_REFUSED,
    SLOT_REQUESTED,
    SLOT_RETRY_DELAY_S,
)
from firworks.kernel.orders.terms import ORDER_TIMEOUT_S

INSPECT_INTERVAL_S = 10.0
REINSPECT_DELAY_S = 1.0


class EngineOrders:
    """Orders to one engine under a term of this daemon.

    Args:
        target (str): The engine.
        desired (EngineState): The state that it is to have.
        slots (Slots): The fleet's weight-store slots.
        make_id (callable): Returns a new unique id (str).
    """

    def __init__(self, target, desired, slots, make_id):
        self.target = target
        self.desired = desired
        self._slots = slots
        self._make_id = make_id
        self._next_inspection_s = 0.0
        self._order_id = None
        self._order_deadline_s = 0.0
        self._slot_id = None
        self._load_started = False
        self._next_request_s = 0.0

    def poll(self, now):
        """Return the list of actions to take now."""
        if now < self._next_inspection_s:
            return []
        self._next_inspection_s = now + INSPECT_INTERVAL_S
        return [InspectEngine(self.target)]

    def complete_order(self, order_id, now):
        """Note that an order is over; the engine is inspected again soon."""
        if order_id == self._order_id:
            self._order_id = None
            self._next_inspection_s = now + REINSPECT_DELAY_S

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
        if matches(state, self.desired):
            self.release_slot(now, finished=True)
            return []
        waiting = self._order_id is not None and now < self._order_deadline_s
        if loading or waiting or fencing is None:
            return []
        if not state.needs_load(self.desired):
            return [self._make_order(fencing, now)]
        return self._load(fencing, now)

    def release_slot(self, now, finished=False):
        """Release the slot; let it lapse when a load may still run under it."""
        slot_id, self._slot_id = self._slot_id, None
        begun, self._load_started = self._load_started, False
        if slot_id is None:
            return
        if begun and not finished:
            self._slots.abandon(slot_id)
        else:
            self._slots.release(slot_id, now)

    def _load(self, fencing, now):
        if self._slot_id is None:
            self._request_slot(now)
            return []
        if self._slots.may_load(self._slot_id, now):
            self._load_started = True
            return [self._make_order(fencing, now)]
        slot = self._slots.find(self._slot_id)
        if slot.state == SLOT_REQUESTED and now < slot.sent_s + REQUEST_TIMEOUT_S:
            self._next_inspection_s = now + REINSPECT_DELAY_S
            return []
        self._next_request_s = (
            now + SLOT_RETRY_DELAY_S if slot.state == SLOT_REFUSED else now
        )
        self.release_slot(now)
        return []

    def _request_slot(self, now):
        if now < self._next_request_s:
            return
        self._slot_id = self._make_id()
        self._next_inspection_s = now + REINSPECT_DELAY_S
        self._slots.request(self._slot_id, now)

    def _make_order(self, fencing, now):
        self._order_id = self._make_id()
        self._order_deadline_s = now + ORDER_TIMEOUT_S
        return OrderEngine(
            self._order_id,
            self.target,
            fencing,
            self.desired,
            now + ORDER_TIMEOUT_S / 2,
            ORDER_TIMEOUT_S / 2,
        )
