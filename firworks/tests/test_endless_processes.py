"""Tests that endless bytes for many requests at once do not fill a process's memory."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from firworks.tests.gateway_process import Caller, GatewayProcess
from firworks.tests.gateway_testbed import play

# Memory of the smallest VM for which gateways are designed.
VM_MEMORY_BYTES = 200_000_000
REQUESTS = 150
STILL_S = 0.3
PROMPT = {"X-Model": "m", "X-Token-Counts": "40,20", "X-Prefix-Hash": "a1:30,b2:10"}
STAGED = {**PROMPT, "X-Pieces": "2,3", "X-Piece-Key": "k"}


async def wait_until_still(targets):
    """Wait until targets send no more, as nobody reads what they have sent."""
    sent = [-1, 0]
    while not sent[-1] or sent[-1] != sent[-2]:
        await asyncio.sleep(STILL_S)
        sent.append(sum(target.endless_bytes for target in targets))


class TestGatewayMemory:
    @pytest.mark.parametrize(
        ("service", "fault", "path", "headers"),
        [
            ("loans", "endless body", "/stock/a", {}),
            ("loans", "endless failure", "/book/a", {}),
            ("engines", "endless event", "/once/a", PROMPT),
            ("repair", "endless body", "/advice/a", STAGED),
        ],
        ids=["body", "failure", "stream", "stage"],
    )
    def test_many_endless_responses_leave_others_served(
        self, tmp_path, service, fault, path, headers
    ):
        # Callers that read nothing: the gateway kept over 2 MB of each response.
        async def scenario(testbed):
            process = GatewayProcess(tmp_path, testbed.store.address)
            faulty = [one for one in testbed.targets.values() if one.service == service]
            sound = ("/rules/b", PROMPT) if service == "loans" else ("/stock/b", {})
            try:
                await process.start()
                for target in faulty:
                    target.fault = fault
                async with AsyncExitStack() as stack:
                    for _ in range(REQUESTS):
                        caller = await stack.enter_async_context(Caller(process.port))
                        caller.send(path, **headers)
                    await wait_until_still(faulty)
                    async with Caller(process.port) as other:
                        other.send(sound[0], **sound[1])
                        assert (await other.read())[0] == 200
                    assert process.read_peak_bytes() < VM_MEMORY_BYTES
                    assert process.child.returncode is None
            finally:
                await process.stop()

        play(scenario, gateways=0)
