"""Tests that no caller, however it behaves, ends a gateway or exhausts its memory.

Only what does not depend on the machine's speed is checked: the process lives, its
memory and descriptors stay under a bound, and an ordinary request is answered.
"""

import asyncio
from contextlib import AsyncExitStack

import pytest
from websockets.asyncio.client import connect

from firworks.plugins.peer_handshake import dial_handshake
from firworks.plugins.peer_links import MESSAGE_LIMIT_BYTES
from firworks.standins import platform_targets
from firworks.tests import misbehaving_callers as behaviors
from firworks.tests.gateway_process import Caller, GatewayProcess, read_peak_bytes
from firworks.tests.gateway_testbed import make_configuration, play
from firworks.tests.misbehaving_callers import (
    BODY_LIMIT_BYTES,
    count_descriptors,
    misbehave,
)
from firworks.tests.test_process import run as run_site

# Memory of the smallest VM of the deployments.
VM_MEMORY_MB = 152
CALLERS = 40
# Enough for the calls above and what the process needs itself.
MAX_DESCRIPTORS = 200
IDLE_CALLERS = 250
LARGE_ANSWER_BYTES = 1_000_000
SETTINGS = {"memory_mb": VM_MEMORY_MB, "max_descriptors": 400}

BODIES = [
    behaviors.send_body_in_one_piece,
    behaviors.send_body_in_pieces,
    behaviors.send_body_in_chunks,
    behaviors.send_body_over_limit,
    behaviors.send_endless_chunks,
    behaviors.send_small_chunks,
    behaviors.send_trailers,
]
HEADS = [
    behaviors.send_request_line,
    behaviors.send_garbage,
    behaviors.send_fields,
    behaviors.send_endless_head,
    behaviors.send_pipelined,
    behaviors.send_slowly,
    behaviors.send_body_slowly,
    behaviors.send_upgrade,
]


def name_behavior(behavior):
    """Return the name of a behavior as the id of a test."""
    return behavior.__name__.removeprefix("send_")


def play_misbehavior(folder, behavior, path="/stock/a", callers=CALLERS, ports=None):
    """Let callers misbehave at a gateway process; check that it goes on.

    Args:
        folder (Path): For the settings of the process.
        behavior (callable): What each caller sends.
        path (str): Path of their requests.
        callers (int): Their number.
        ports (tuple of str or None): Listeners by their settings; None for callers.
    """

    async def scenario(testbed):
        limits = {**make_configuration()["limits"], "max-body-bytes": BODY_LIMIT_BYTES}
        testbed.store.put_configuration(make_configuration(2, limits=limits))
        process = GatewayProcess(folder, testbed.store.address, **SETTINGS)
        numbers = [process.find_port(name) for name in ports or ("callers",)]
        try:
            await process.start()
            async with misbehave(numbers, path, behavior, callers):
                await check_process(process)
            await check_process(process)
        finally:
            await process.stop()

    play(scenario, gateways=0)


async def check_process(process):
    """Check that a process serves a request and holds little."""
    await send_until_answered(process)
    check_size(process)


def check_size(process):
    """Check that a process lives, and that its memory and descriptors are few."""
    assert process.child.returncode is None
    assert count_descriptors(process.child) < MAX_DESCRIPTORS
    peak_mb = read_peak_bytes(process.child) / 1e6
    assert peak_mb < VM_MEMORY_MB, f"{peak_mb:.0f} MB"


async def send_until_answered(process):
    """Send an ordinary request, as often as it is refused, until it is served."""
    status = 503
    while status == 503:
        async with Caller(process.port) as caller:
            caller.send("/stock/b")
            status, _, _ = await caller.read()
    assert status == 200


class TestCallersListener:
    @pytest.mark.parametrize("behavior", [*BODIES, *HEADS], ids=name_behavior)
    def test_misbehavior_at_a_route_leaves_others_served(self, tmp_path, behavior):
        play_misbehavior(tmp_path, behavior)

    @pytest.mark.parametrize(
        "behavior",
        [
            behaviors.send_body_in_one_piece,
            behaviors.send_small_chunks,
            behaviors.send_pipelined,
        ],
        ids=name_behavior,
    )
    def test_misbehavior_without_a_route_leaves_others_served(self, tmp_path, behavior):
        play_misbehavior(tmp_path, behavior, "/nowhere/a")

    def test_many_silent_connections_leave_others_served(self, tmp_path):
        play_misbehavior(tmp_path, behaviors.send_nothing, callers=IDLE_CALLERS)

    def test_a_largest_legal_request_is_served_on_the_smallest_vm(self, tmp_path):
        async def scenario(testbed):
            limits = make_configuration()["limits"]
            limits = {**limits, "max-body-bytes": BODY_LIMIT_BYTES}
            testbed.store.put_configuration(make_configuration(2, limits=limits))
            process = GatewayProcess(tmp_path, testbed.store.address, **SETTINGS)
            try:
                await process.start()
                async with Caller(process.port) as caller:
                    for _ in range(3):
                        caller.send("/book/a", body=bytes(BODY_LIMIT_BYTES))
                        assert (await caller.read())[0] == 200
                await check_process(process)
            finally:
                await process.stop()
            bodies = [run.body for one in testbed.targets.values() for run in one.runs]
            assert bodies.count(bytes(BODY_LIMIT_BYTES)) == 3

        play(scenario, gateways=0)

    def test_many_large_answers_that_are_not_read_leave_others_served(
        self, tmp_path, monkeypatch
    ):
        # Each answer is held, as it is under the limit of one response.
        monkeypatch.setattr(platform_targets, "LARGE_BODY_BYTES", LARGE_ANSWER_BYTES)

        async def scenario(testbed):
            process = GatewayProcess(tmp_path, testbed.store.address, **SETTINGS)
            try:
                await process.start()
                for name in ("loans-1", "loans-2"):
                    testbed.targets[name].fault = "large"
                behavior = behaviors.send_pipelined
                async with misbehave([process.port], "/stock/a", behavior, 60):
                    await asyncio.sleep(1.0)
                    for name in ("loans-1", "loans-2"):
                        testbed.targets[name].fault = ""
                    await check_process(process)
            finally:
                await process.stop()

        play(scenario, gateways=0)


class TestOtherListeners:
    PORTS = ("readiness", "metrics", "peers")

    @pytest.mark.parametrize("behavior", [*BODIES, *HEADS], ids=name_behavior)
    def test_misbehavior_at_the_other_ports_leaves_callers_served(
        self, tmp_path, behavior
    ):
        play_misbehavior(tmp_path, behavior, "/metrics", ports=self.PORTS)

    @pytest.mark.parametrize("port", PORTS)
    def test_many_silent_connections_leave_callers_served(self, tmp_path, port):
        play_misbehavior(
            tmp_path, behaviors.send_nothing, callers=IDLE_CALLERS, ports=(port,)
        )


class TestDaemon:
    """The same for `firworksd`."""

    def play_misbehavior(self, folder, behavior, listener, path, callers=CALLERS):
        """Let callers misbehave at a daemon's process; check that it goes on.

        Args:
            folder (Path): For the settings of the process.
            behavior (callable): What each caller sends.
            listener (str): "callers", "admin" or "peers".
            path (str): Path of their requests.
            callers (int): Their number.
        """

        async def body(site):
            (process,) = site.processes
            port = self.find_port(site, process, listener)
            async with misbehave([port], path, behavior, callers):
                await self.check_process(process)
            await self.check_process(process)

        run_site(folder, body, body_limit_bytes=BODY_LIMIT_BYTES, **SETTINGS)

    def find_port(self, site, process, listener):
        """Return the port (int) of a listener of a process."""
        address = {"callers": process.callers, "admin": process.admin}.get(listener)
        if address is None:
            text = (site.folder / f"{process.name}.toml").read_text()
            row = next(row for row in text.splitlines() if row.startswith("peers = "))
            address = row.split('"')[1]
        return int(address.rsplit(":", 1)[1])

    async def check_process(self, process):
        """Check that a process serves a request and holds little."""
        async with process.open_caller() as caller:
            while (answer := await caller.send("look", {"q": 1})).status >= 500:
                pass
            assert answer.status == 200
        check_size(process)

    @pytest.mark.parametrize("behavior", [*BODIES, *HEADS], ids=name_behavior)
    def test_misbehavior_at_a_pipeline_leaves_others_served(self, tmp_path, behavior):
        path = "/v1/pipelines/look"
        self.play_misbehavior(tmp_path, behavior, "callers", path)

    @pytest.mark.parametrize(
        "behavior",
        [
            behaviors.send_body_in_one_piece,
            behaviors.send_small_chunks,
            behaviors.send_trailers,
            behaviors.send_request_line,
            behaviors.send_pipelined,
        ],
        ids=name_behavior,
    )
    def test_misbehavior_at_the_operators_port_leaves_callers_served(
        self, tmp_path, behavior
    ):
        self.play_misbehavior(tmp_path, behavior, "admin", "/ledger/resolve")

    @pytest.mark.parametrize("listener", ["callers", "admin", "peers"])
    def test_many_silent_connections_leave_others_served(self, tmp_path, listener):
        behavior = behaviors.send_nothing
        self.play_misbehavior(tmp_path, behavior, listener, "", IDLE_CALLERS)


class TestPeers:
    def test_open_messages_of_many_peers_leave_callers_served(self, tmp_path):
        # Without a secret, anyone may connect as a peer: 40 messages of 4 MiB that
        # lack their last byte.
        async def scenario(testbed):
            process = GatewayProcess(tmp_path, testbed.store.address, **SETTINGS)
            frame = b"\x82\xff" + MESSAGE_LIMIT_BYTES.to_bytes(8, "big") + bytes(4)
            try:
                await process.start()
                async with AsyncExitStack() as stack:
                    for number in range(CALLERS):
                        client = connect(f"ws://{process.peers}", compression=None)
                        peer = await stack.enter_async_context(client)
                        await dial_handshake(peer, f"p{number}", process.name, "")
                        stack.callback(peer.transport.abort)
                        body = bytes(MESSAGE_LIMIT_BYTES - 1)
                        peer.transport.write(frame + body)
                    await asyncio.sleep(1.0)
                    await check_process(process)
                await check_process(process)
            finally:
                await process.stop()

        play(scenario, gateways=0)
