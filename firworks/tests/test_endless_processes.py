"""Tests that endless bytes for many requests at once do not fill a process's memory."""

import asyncio
import random
from contextlib import AsyncExitStack

import pytest

from firworks.standins.caller import make_key
from firworks.standins.endless import EndlessServer
from firworks.tests.gateway_process import Caller, GatewayProcess, read_peak_bytes
from firworks.tests.gateway_testbed import (
    PROMPT,
    play,
    run,
    run_testbed,
    run_together,
    wait_until,
)
from firworks.tests.test_process import run as run_site

# Memory of the smallest VM for which gateways are designed.
VM_MEMORY_BYTES = 200_000_000
REQUESTS = 150
STILL_S = 0.3
# Several calls of a server of the platform are given up in this time.
PLATFORM_S = 4.0
# What such a server answers: the first bytes, and those that are repeated.
PLATFORM = {
    "head": (b"HTTP/1.1 200 OK\r\nA: b", b"\r\nX-Filler: 0123456789"),
    "status line": (b"HTTP/1.1 200 ", b"0123456789"),
    "blank lines": (b"", b"\r\n"),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunk size": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1",
        b";filler=0123456789",
    ),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"0123456789"),
}
STAGED = {**PROMPT, "X-Pieces": "2,3", "X-Piece-Key": "k"}


async def wait_until_still(targets):
    """Wait until targets send no more, as nobody reads what they have sent."""
    sent = [-1, 0]
    while not sent[-1] or sent[-1] != sent[-2]:
        await asyncio.sleep(STILL_S)
        sent.append(sum(target.endless_bytes for target in targets))


async def replace_server(address, stop, *response):
    """Answer endlessly at an "ip:port" where ``stop()`` ends a server.

    Args:
        address (str): "ip:port", also as an URL.
        stop (callable): Coroutine function that ends the server there.
        *response (bytes): Arguments of the `EndlessServer`; by default it sends JSON.
    """
    await stop()
    server = EndlessServer(*response)
    await server.start(int(address.rsplit(":", 1)[1]))
    return server


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

    def test_endless_responses_of_the_store_leave_others_served(self, tmp_path):
        async def replace(testbed):
            return testbed.store.address, testbed.store.stop

        self.play_platform(tmp_path, replace)

    def test_endless_responses_of_a_peer_leave_others_served(self, tmp_path):
        # In place of its answer to the handshake of the peers' protocol.
        async def replace(testbed):
            gateway = await testbed.add_gateway("gateway-1")
            await wait_until(lambda: gateway.roster.count == 2)
            testbed.gateways.clear()
            return gateway.roster.own.address, gateway.stop

        self.play_platform(tmp_path, replace)

    def play_platform(self, folder, find_server):
        """Let a server of the platform, or a peer, answer a gateway endlessly.

        Args:
            folder (Path): For the settings of the gateways.
            find_server (callable): ``find_server(testbed)`` returns the address of the
                server and a coroutine function that ends it.
        """

        async def run_case(name):
            async with run_testbed(0) as testbed:
                directory = folder / name.replace(" ", "-")
                directory.mkdir()
                process = GatewayProcess(directory, testbed.store.address)
                try:
                    await process.start()
                    address, stop = await find_server(testbed)
                    server = await replace_server(address, stop, *PLATFORM[name])
                    await wait_until(lambda: server.sent_bytes)
                    await asyncio.sleep(PLATFORM_S)
                    async with Caller(process.port) as caller:
                        caller.send("/stock/a")
                        assert (await caller.read())[0] == 200
                    assert process.child.returncode is None
                    assert read_peak_bytes(process.child) < VM_MEMORY_BYTES
                    await server.stop()
                finally:
                    await process.stop()

        run(lambda: run_together(run_case, sorted(PLATFORM)))


class TestDaemonMemory:
    """The same for `firworksd`, which reads complete bodies only."""

    REQUESTS = 20

    def test_endless_responses_of_services_leave_others_served(self, tmp_path):
        # It kept all bytes until the deadline of the request.
        async def body(site):
            (process,) = site.processes
            targets = [site.targets[name] for name in ("encoder-1", "encoder-2")]
            servers = [await replace_server(one.address, one.stop) for one in targets]
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

        run_site(tmp_path, body)

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
            server = await replace_server(url, stop)
            await wait_until(lambda: server.sent_bytes > VM_MEMORY_BYTES / 10)
            async with process.open_caller() as caller:
                assert (await caller.send("look", {"q": 1})).status == 200
            await asyncio.sleep(PLATFORM_S)
            assert read_peak_bytes(process.child) < VM_MEMORY_BYTES
            await server.stop()

        run_site(tmp_path, body)
