"""Adapter for services and stage pools that are called over HTTP."""

from firworks.bodies import read_json
from firworks.kernel.calls import CallCompleted
from firworks.plugins.target_calls import (
    IDENTITY_HEADER,
    TargetAdapter,
    check_status,
)


class ServiceCalls(TargetAdapter):
    """Sends each call as a POST with a JSON body; the response body is JSON."""

    async def run_call(self, action, session, address):
        """Carry out a call; see `TargetAdapter.run_call`."""
        identity = action.identity.encode()
        request = session.post(
            f"http://{address}/{action.operation}",
            json=action.body,
            headers={IDENTITY_HEADER: identity},
        )
        async with request as response:
            check_status(response)
            body = await read_json(response, self.buffers)
            echoed = response.headers.get(IDENTITY_HEADER, identity)
        self.context.feed(CallCompleted(action.call_id, echoed, body))


def register(registry):
    """Add the adapter to the registry."""
    registry.add("targets", "service", ServiceCalls)
