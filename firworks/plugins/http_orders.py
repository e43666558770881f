"""Adapter that inspects model engines and sends them orders over HTTP."""

import asyncio

import aiohttp

from firworks.adapter import Adapter
from firworks.bodies import read_json
from firworks.client_connections import make_connector
from firworks.events import LogEvent, log_event
from firworks.kernel.buffers import ResponseBuffers
from firworks.kernel.orders.records import (
    ORDER_ACCEPTED,
    ORDER_EXPIRED,
    ORDER_FAILED,
    ORDER_STALE,
    EngineInspected,
    EngineState,
    InspectEngine,
    OrderCompleted,
    OrderEngine,
)
from firworks.plugins.target_calls import MAX_TARGET_RESPONSE_BYTES

INSPECT_TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_CONFLICT = 409

_FAILURES = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class HttpOrders(Adapter):
    """Sends each inspection and each order on a separate connection."""

    ACTIONS = (InspectEngine, OrderEngine)

    def __init__(self, context):
        super().__init__(context)
        self._tasks = set()
        self._buffers = ResponseBuffers(MAX_TARGET_RESPONSE_BYTES)

    async def stop(self):
        """Cancel the inspections and orders in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def carry_out(self, action):
        """Start an inspection or an order without waiting for its result."""
        address = self.context.addresses.find(action.target)
        if isinstance(action, InspectEngine):
            work = self._inspect(action, address)
        else:
            work = self._order(action, address)
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inspect(self, action, address):
        if address is None:
            return
        try:
            async with _open(INSPECT_TIMEOUT_S) as session:
                async with session.get(f"http://{address}/state") as response:
                    response.raise_for_status()
                    body = await read_json(response, self._buffers)
            event = _read_state(action.target, body)
        except _FAILURES as error:
            log_event(
                LogEvent.STATE_UNREADABLE, target=action.target, error=repr(error)
            )
            return
        self.context.feed(event)

    async def _order(self, action, address):
        result = await self._send(action, address)
        self.context.feed(OrderCompleted(action.order_id, action.target, result))

    async def _send(self, action, address):
        if address is None or self.context.clock() > action.send_before_s:
            return ORDER_EXPIRED
        try:
            async with _open(action.timeout_s) as session:
                url = f"http://{address}/order"
                async with session.post(url, json=_make_body(action)) as response:
                    status = response.status
        except _FAILURES:
            return ORDER_FAILED
        if status == HTTP_CONFLICT:
            return ORDER_STALE
        return ORDER_ACCEPTED if status == HTTP_OK else ORDER_FAILED


def _open(timeout_s):
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    connector = make_connector(force_close=True)
    return aiohttp.ClientSession(timeout=timeout, connector=connector)


def _make_body(action):
    desired = action.desired
    return {
        "order": action.order_id,
        "fencing": action.fencing,
        "models": list(desired.models),
        "adapters": list(desired.adapters),
        "role": desired.role,
    }


def _read_state(target, body):
    """Return the `EngineInspected` parsed from the JSON body of an engine.

    Raises:
        ValueError: When the body is not a valid engine state.
    """
    if not isinstance(body, dict):
        raise ValueError("engine state must be a JSON object")
    models = _read_names(body, "models")
    adapters = _read_names(body, "adapters")
    role = body.get("role", "")
    if not isinstance(role, str):
        raise ValueError("role must be a string")
    state = EngineState(models, adapters, role)
    return EngineInspected(target, state, body.get("loading") is True)


def _read_names(body, name):
    names = body.get(name, [])
    if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
        raise ValueError(f"{name} must be an array of strings")
    return tuple(sorted(names))


def register(registry):
    """Register the adapter as ``http`` for ``orders``."""
    registry.add("orders", "http", HttpOrders)
