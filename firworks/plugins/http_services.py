"""Adapter to plain services and stage pools over HTTP."""

from firworks.kernel.calls import CallCompleted
from firworks.plugins.target_calls import (
    IDENTITY_HEADER,
    TargetAdapter,
    check_status,
)


class ServiceCalls(TargetAdapter):
    """Sends a call as one POST with a JSON body; the answer is JSON."""

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
            body = await response.json()
            echoed = response.headers.get(IDENTITY_HEADER, identity)
        self.context.feed(CallCompleted(action.call_id, echoed, body))


def register(registry):
    """Put the adapter into the registry."""
    registry.add("targets", "service", ServiceCalls)
