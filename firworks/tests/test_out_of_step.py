"""Tests of a gateway that is out of step while targets of a new version join.

Streams that began at the new version through other gateways break, and their callers
take them up there. It must not go on with them at a target of another version.
"""

import asyncio
import signal

import pytest

from firworks.kernel.versions import served
from firworks.kernel.versions.resumption import infer_origin
from firworks.kernel.versions.served import MIN_LIFE_S, ServedVersion, ServedVersions
from firworks.standins.platform_targets import PlatformEngine, make_event
from firworks.tests.gateway_process import Caller, GatewayProcess
from firworks.tests.gateway_testbed import run, run_testbed, run_together, wait_until
from firworks.tests.test_stream_versions import (
    list_stored_versions,
    run_versions,
    set_version,
)
from firworks.tests.test_versions import SERVICE, make_target

STREAMS = 8
UNNAMED = 4
# The versions are reviewed twice.
REVIEWS_S = 2.5
NEW_ENGINES = ("engine-3", "engine-4")
# Long enough for a pause of the process to be noticed.
OUT_OF_STEP_S = 2.0
FROZEN, NO_PEERS, NO_STORE, ALONE = "frozen", "no peers", "no store", "alone"
UNCACHED = {"X-Model": "m", "X-Token-Counts": "40,20"}
EVENT = make_event(1, "v2")
REST = b"".join(make_event(number, "v2") for number in range(2, 6))


def make_prompt(number):
    """Return the headers of a prompt that engines have not cached."""
    return {**UNCACHED, "X-Prefix-Hash": f"a{number}:30"}


class Release:
    """A release of engines while one gateway is out of step.

    Args:
        testbed (GatewayTestbed): With one gateway, through which streams begin.
        process (GatewayProcess): Another one, which gets out of step.
        way (str): How.
    """

    def __init__(self, testbed, process, way):
        self._testbed = testbed
        self._process = process
        self._way = way

    async def play(self):
        """Return what callers get that take up streams of the new version.

        Returns:
            list of (int, bytes): Status and body.
        """
        await self._meet()
        self._leave_step()
        for target_id in NEW_ENGINES:
            await self._testbed.add_target(PlatformEngine, target_id, "engines")
            set_version(self._testbed, target_id, "v2")
        begun = await self._begin_streams()
        await asyncio.sleep(OUT_OF_STEP_S)
        begun += [None] * UNNAMED
        answers = [asyncio.ensure_future(self._take_up(each)) for each in begun]
        # What was sent meanwhile is the first thing that the process reads.
        await asyncio.sleep(0.1)
        if self._way == FROZEN:
            self._process.child.send_signal(signal.SIGCONT)
        return await asyncio.gather(*answers)

    async def _meet(self):
        (gateway,) = self._testbed.gateways
        await wait_until(lambda: gateway.roster.count == 2)
        peer = next(name for name in gateway.roster.names)
        await wait_until(lambda: gateway.pools.peers.get_protocol(peer) is not None)

    def _leave_step(self):
        (gateway,) = self._testbed.gateways
        if self._way == FROZEN:
            self._process.child.send_signal(signal.SIGSTOP)
        if self._way in (NO_STORE, ALONE):
            self._testbed.store.turned_away.add(self._process.name)
        if self._way in (NO_PEERS, ALONE):
            # Connections stay open, as when packets are lost.
            gateway.pools.peers.send = lambda peer, record: None
            gateway.pools.peers._receive = lambda peer, record: None

    async def _begin_streams(self):
        """Begin streams at the new version, which break off after an event."""
        (gateway,) = self._testbed.gateways
        for target in self._testbed.targets.values():
            target.gate = asyncio.Event()
        begun, number = [], 0
        while len(begun) < STREAMS:
            number += 1
            async with Caller(gateway.callers.port) as caller:
                request_id = caller.send("/rules/a", **make_prompt(number))
                status, _ = await caller.read_head()
                if status != 200:
                    await asyncio.sleep(0.05)
                elif EVENT in await caller.read_until(b"\n\n\r\n"):
                    begun.append(request_id)
        for target in self._testbed.targets.values():
            target.gate.set()
        return begun

    async def _take_up(self, begun_as):
        async with Caller(self._process.port) as caller:
            # A caller that names no attempt leaves nothing but the store's versions.
            named = {} if begun_as is None else {"Resumes": begun_as}
            caller.send("/rules/a", **UNCACHED, **named, **{"Last-Event-Id": 1})
            status, _, body = await caller.read()
            return status, body


class TestRelease:
    @pytest.mark.parametrize("way", [FROZEN, NO_PEERS, NO_STORE, ALONE])
    def test_streams_go_on_at_their_version_or_not_at_all(self, tmp_path, way):
        # Several names, as the name decides which gateway keeps a service's records.
        async def play(name):
            async with run_testbed(1) as testbed:
                folder = tmp_path / name
                folder.mkdir()
                process = GatewayProcess(folder, testbed.store.address, name=name)
                try:
                    await process.start()
                    answers = await Release(testbed, process, way).play()
                finally:
                    await process.stop()
                assert len(answers) == STREAMS + UNNAMED
                for status, body in answers:
                    assert (status, body) == (200, REST) or status == 503, body

        run(lambda: run_together(play, ["gateway-a", "gateway-b", "gateway-c"]))


class TestVersionThatReturns:
    """A version comes back, as when a release is rolled back and tried again."""

    def test_version_in_the_store_counts_however_long_ago_it_was_listed(self):
        # A process that stood still inferred that the other version is the only one.
        versions = ServedVersions()
        versions.observe([make_target("e1"), make_target("e2", "v2")], {SERVICE}, 0.0)
        versions.observe([make_target("e1")], {SERVICE}, 1.0)
        now = 2.0 + MIN_LIFE_S
        stored = [ServedVersion(SERVICE, "v1"), ServedVersion(SERVICE, "v2")]
        versions.replace_stored(stored, now)
        assert versions.list_versions(SERVICE, now) == {"v1", "v2"}
        known = {SERVICE: versions.list_versions(SERVICE, now)}
        assert infer_origin(known) is None

    def test_version_is_not_removed_by_a_gateway_with_an_old_view(self, monkeypatch):
        # The keeper had stood still and removed a version that others used again.
        monkeypatch.setattr(served, "MIN_LIFE_S", 0.2)
        monkeypatch.setattr(served, "LIFE_TIMEOUTS", 0.01)

        async def test():
            async with run_versions() as testbed:
                (gateway,) = testbed.gateways
                both = {ServedVersion("engines", one) for one in ("v1", "v2")}
                await wait_until(lambda: set(list_stored_versions(testbed)) == both)
                detector = gateway._process_pause
                detector.is_current = lambda now, limit_s: False
                testbed.store.put_target("engine-2", None)
                await wait_until(lambda: gateway.directory.find("engine-2") is None)
                await asyncio.sleep(REVIEWS_S)
                assert set(list_stored_versions(testbed)) == both
                del detector.is_current
                await wait_until(lambda: len(list_stored_versions(testbed)) == 1)

        run(test)
