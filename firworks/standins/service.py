"""Stand-in for a target of a plain service or of a stage pool."""

import asyncio

from aiohttp.web import get, json_response, post

from firworks.standins.web import TargetFaults, WebStandin, wait_for_ever

IDENTITY_HEADER = "Firworks-Call"


class StandinService(WebStandin):
    """Accepts any operation and records each run.

    Args:
        name (str): Included in every response.
        port (int): Port to listen on; 0 for any free port.

    Attributes:
        faults (TargetFaults): Faults to inject.
        runs (list of (str, object)): Operation and JSON body of each run.
        calls (list of str): Identity of each call that was run.
    """

    def __init__(self, name, port=0):
        super().__init__(port)
        self.name = name
        self.faults = TargetFaults()
        self.runs = []
        self.calls = []
        self.running = 0

    def make_routes(self):
        """Return the routes."""
        return [
            get("/load", self._get_load),
            post("/{operation}", self._post_operation),
        ]

    async def _get_load(self, request):
        return json_response({"running": self.running, "queued": 0})

    async def _post_operation(self, request):
        if self.faults.take("refuse"):
            return json_response({"error": "busy"}, status=429)
        body = await request.json()
        self.running += 1
        try:
            return await self._run(request, request.match_info["operation"], body)
        finally:
            self.running -= 1

    async def _run(self, request, operation, body):
        identity = request.headers.get(IDENTITY_HEADER, "")
        self.runs.append((operation, body))
        self.calls.append(identity)
        if self.faults.take("stall"):
            await wait_for_ever()
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.take("reset"):
            request.transport.abort()
        if self.faults.take("mismatch"):
            identity = "another/call/0/1"
        answer = {
            "operation": operation,
            "target": self.name,
            "request": body.get("request"),
            "previous": body.get("previous"),
            "run": len(self.runs),
        }
        return json_response(answer, headers={IDENTITY_HEADER: identity})
