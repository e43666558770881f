"""Converges one engine to its desired state: when to inspect, load and order."""

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
    """Issues orders to one engine while this daemon holds its pool's term.

    Args:
        target (str): The engine.
        desired (EngineState): The engine's desired state.
        slots (Slots): The weight-store slots of the fleet.
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
        """Return the list of actions due now."""
        if now < self._next_inspection_s:
            return []
        self._next_inspection_s = now + INSPECT_INTERVAL_S
        return [InspectEngine(self.target)]

    def complete_order(self, order_id, now):
        """End an order; the engine is inspected again after a short delay."""
        if order_id == self._order_id:
            self._order_id = None
            self._next_inspection_s = now + REINSPECT_DELAY_S

    def apply_state(self, state, loading, fencing, now):
        """Apply a reported state; return an order when it isn't the desired one.

        Args:
            state (EngineState): What the engine holds.
            loading (bool): Whether it is converging to an order.
            fencing (int): Fencing number of this daemon's term, or None without one.
            now (float): Kernel time in seconds.

        Returns:
            list of Action: One order, or none.
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
        """Release the slot, or let it expire if a load may still run under it."""
        slot_id, self._slot_id = self._slot_id, None
        started, self._load_started = self._load_started, False
        if slot_id is None:
            return
        if started and not finished:
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
