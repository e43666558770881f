"""Tests that endless bytes for many requests at once do not fill a process's memory."""

import asyncio
import random
from contextlib import AsyncExitStack

import pytest

from firworks.standins.caller import make_key
from firworks.standins.endless import EndlessServer
from firworks.tests.gateway_process import Caller, GatewayProcess, read_peak_bytes
from firworks.tests.gateway_testbed import play, wait_until
from firworks.tests.test_process import run

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
                    assert read_peak_bytes(process.child) < VM_MEMORY_BYTES
                    assert process.child.returncode is None
            finally:
                await process.stop()

        play(scenario, gateways=0)


class TestDaemonMemory:
    """The same for `firworksd`, which reads complete bodies only."""

    REQUESTS = 20
    # Several calls of the log and reads of the VM list time out meanwhile.
    PLATFORM_S = 4.0

    async def replace(self, address, stop):
        """Answer endlessly at an "ip:port" where ``stop()`` has ended a server."""
        await stop()
        server = EndlessServer()
        await server.start(int(address.rsplit(":", 1)[1].strip("/")))
        return server

    def test_endless_responses_of_services_leave_others_served(self, tmp_path):
        # It kept all bytes until the deadline of the request.
        async def body(site):
            (process,) = site.processes
            targets = [site.targets[name] for name in ("encoder-1", "encoder-2")]
            servers = [await self.replace(one.address, one.stop) for one in targets]
            async with process.open_caller() as caller:
                requests = [
                    asyncio.ensure_future(caller.send("look", {"q": number}))
                    for number in range(self.REQUESTS)
                ]
                key = make_key(random.Random(1))
                lent = await caller.send("lend", {"n": 1}, Idempotency_Key=key)
                assert lent.status == 200
                assert {(await one).status for one in requests} <= {502, 503, 504}
            assert sum(server.sent_bytes for server in servers) > VM_MEMORY_BYTES / 10
            for server in servers:
                await server.stop()
            assert read_peak_bytes(process.child) < VM_MEMORY_BYTES

        run(tmp_path, body)

    @pytest.mark.parametrize("part", ["log", "vms"])
    def test_endless_responses_of_the_platform_leave_requests_served(
        self, tmp_path, part
    ):
        async def body(site):
            (process,) = site.processes
            url, stop = {
                "log": (site.log_url, site.log.stop),
                "vms": (site.vms_url, site._vms_runner.cleanup),
            }[part]
            server = await self.replace(url, stop)
            await wait_until(lambda: server.sent_bytes > VM_MEMORY_BYTES / 10)
            async with process.open_caller() as caller:
                assert (await caller.send("look", {"q": 1})).status == 200
            await asyncio.sleep(self.PLATFORM_S)
            assert read_peak_bytes(process.child) < VM_MEMORY_BYTES
            await server.stop()

        run(tmp_path, body)
