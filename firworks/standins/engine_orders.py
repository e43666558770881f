"""Orders of the stand-in engine, which load models and adapters."""

import asyncio

from aiohttp.web import get, json_response, post


class EngineOrders:
    """Models, adapters and role of an engine, which orders change.

    Attributes:
        checks_fencing (bool): Orders with a stale fencing number are rejected.
        load_s (float): Duration of a change.
        state (dict): State as reported.
        orders (list of dict): Bodies of the accepted orders.
    """

    def __init__(self):
        self.checks_fencing = False
        self.load_s = 0.0
        self.state = {"models": [], "adapters": [], "role": "", "loading": False}
        self.orders = []
        self._fencing = -1
        self._task = None

    def make_routes(self):
        """Return the routes."""
        return [get("/state", self._get_state), post("/order", self._post_order)]

    async def _get_state(self, request):
        return json_response(self.state)

    async def _post_order(self, request):
        body = await request.json()
        if self.checks_fencing and body["fencing"] < self._fencing:
            return json_response({"fencing": self._fencing}, status=409)
        self._fencing = max(self._fencing, body["fencing"])
        self.orders.append(body)
        self._task = asyncio.ensure_future(self._converge(body))
        return json_response({})

    async def _converge(self, body):
        self.state["loading"] = True
        await asyncio.sleep(self.load_s)
        wanted = {name: body[name] for name in ("models", "adapters", "role")}
        self.state = {**wanted, "loading": False}
