"""Tests that a stream goes on only at the software version that began it."""

import asyncio
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest

from firworks.kernel.codec import decode_record
from firworks.platform.store import STREAMS_TOPIC, VERSIONS_TOPIC
from firworks.plugins import peer_handshake
from firworks.standins.platform_targets import EVENTS, PlatformEngine
from firworks.tests.gateway_testbed import (
    KEY,
    make_configuration,
    run,
    run_testbed,
    wait_until,
)

# The caller's connection breaks after this event.
BROKEN_AFTER = 2
SLOW_S = 0.1
# Services of the route that is split.
SPLIT = ("engines", "engines-b", "engines-c")
STREAMS = 8


def set_version(testbed, target_id, version, state="ready"):
    """Write a target's entry with another software version."""
    target = testbed.targets[target_id]
    target.version = version
    testbed.store.put_target(target_id, target.make_entry(state))


@asynccontextmanager
async def run_versions(gateways=1, versions=("v1", "v2")):
    """Run a testbed whose engines have the given software versions."""
    async with run_testbed(0) as testbed:
        for number, version in enumerate(versions, 1):
            target_id = f"engine-{number}"
            if target_id not in testbed.targets:
                await testbed.add_target(PlatformEngine, target_id, "engines")
            set_version(testbed, target_id, version)
        for number in range(gateways):
            await testbed.add_gateway(f"gateway-{number + 1}")
        yield testbed


def make_split(version, weights):
    """Return a configuration (dict) that splits the route of streams.

    Args:
        version (int): Version of the configuration.
        weights (dict of str to float): Weight of each service; the route has no others.
    """
    table = make_configuration(version)
    route = next(one for one in table["routes"] if one["name"] == "rules")
    (engines,) = [one for one in table["services"] if one["name"] == "engines"]
    table["services"] += [{**engines, "name": name} for name in SPLIT[1:]]
    del route["service"]
    route["traffic-split"] = [
        {"service": name, "weight": weight} for name, weight in weights.items()
    ]
    return table


@asynccontextmanager
async def run_split(gateways, versions, weights=None):
    """Run a testbed whose route of streams is split between services.

    Args:
        gateways (int): Number of gateways.
        versions (tuple of str): Software version of the two engines of each service.
        weights (dict of str to float): Weight of each service; equal by default.
    """
    async with run_testbed(0) as testbed:
        for service, version in zip(SPLIT, versions, strict=False):
            for number in (1, 2):
                target_id = "engine-" if service == "engines" else f"{service}-"
                target_id += str(number)
                if target_id not in testbed.targets:
                    await testbed.add_target(PlatformEngine, target_id, service)
                set_version(testbed, target_id, version)
        weights = weights or dict.fromkeys(SPLIT[: len(versions)], 50)
        testbed.store.put_configuration(make_split(2, weights))
        for number in range(gateways):
            await testbed.add_gateway(f"gateway-{number + 1}")
        yield testbed


async def change_split(testbed, version, weights):
    """Send another split of the route, and wait until it is in force."""
    testbed.store.put_configuration(make_split(version, weights))
    for gateway in testbed.gateways:
        await wait_until(
            lambda gateway=gateway: gateway.configuration.version == version
        )


async def begin_streams(testbed, gateway, count):
    """Begin streams at a gateway; return the targets (dict of str to str) by id."""
    return {
        f"b{number}": await begin_stream(testbed, f"b{number}", gateway)
        for number in range(count)
    }


async def take_all_up(testbed, begun, gateway):
    """Take streams up at a gateway.

    Args:
        testbed (GatewayTestbed): Has the targets.
        begun (dict of str to str): Targets by the id of the attempt that began.
        gateway (Gateway): Receives the requests.

    Returns:
        dict of str to str: Targets at which they went on, by the same ids.
    """
    went_on = {}
    for request_id in begun:
        status, _, targets = await take_up(
            testbed, request_id, f"t-{request_id}", gateway
        )
        if status == 200:
            (went_on[request_id],) = targets
    return went_on


def select_ids(testbed, begun, version):
    """Return the ids (set of str) of the streams that began at a version."""
    return {
        request_id
        for request_id, target_id in begun.items()
        if get_version(testbed, target_id) == version
    }


async def wait_until_recorded(testbed, versions):
    """Wait until the store has all streams, if services have several versions."""
    if len(set(versions)) > 1:
        await wait_until(lambda: len(list_stored_streams(testbed)) >= STREAMS)


def get_service(testbed, target_id):
    """Return the service of a target."""
    return testbed.targets[target_id].service


def find_runs(testbed, request_id):
    """Return the ids of the targets that ran a request, in order."""
    runs = [run for target in testbed.targets.values() for run in target.runs]
    runs.sort(key=lambda run: run.time_s)
    return [run.target_id for run in runs if run.request_id == request_id]


async def begin_stream(testbed, request_id, gateway=None, path="/rules/a"):
    """Read a stream up to ``BROKEN_AFTER`` and drop it; return its target.

    The engines pause before each event, so that the stream is in progress.
    """
    gateway = gateway or testbed.gateways[0]
    for target in testbed.targets.values():
        if isinstance(target, PlatformEngine):
            target.pause_s = SLOW_S
    headers = testbed.make_headers(**{"X-Request-Id": request_id})
    url = f"http://127.0.0.1:{gateway.callers.port}{path}"
    async with aiohttp.ClientSession() as session:
        async with session.get(url, headers=headers) as answer:
            assert answer.status == 200
            data = b""
            while data.count(b"\n\n") < BROKEN_AFTER:
                data += await answer.content.readany()
            # Leaving closes the connection in the middle of the response.
    for target in testbed.targets.values():
        if isinstance(target, PlatformEngine):
            target.pause_s = 0.0
    return find_runs(testbed, request_id)[-1]


async def take_up(testbed, begun_as, request_id, gateway=None, path="/rules/a"):
    """Take a stream up after ``BROKEN_AFTER``; return (status, body, targets)."""
    status, _, body = await testbed.send_request(
        path,
        gateway=gateway,
        **{
            "X-Request-Id": request_id,
            "Resumes": begun_as,
            "Last-Event-Id": str(BROKEN_AFTER),
        },
    )
    return status, body, find_runs(testbed, request_id)


def get_version(testbed, target_id):
    """Return the software version of a target."""
    return testbed.targets[target_id].version


def list_stored_versions(testbed):
    """Return the versions that the store holds (list of ServedVersion)."""
    values = testbed.store.get_values(VERSIONS_TOPIC).values()
    return [decode_record(value) for value in values]


def list_stored_streams(testbed):
    """Return the digests of the streams that the store holds (set of bytes)."""
    records = testbed.store.get_records(STREAMS_TOPIC)
    return {digest for data in records for digest in decode_record(data).digests}


async def kill(testbed, gateways):
    """End gateways without a drain."""
    for gateway in gateways:
        testbed.gateways.remove(gateway)
        await gateway.stop()


# A stream that began at one version of an engine went on at another version.
class TestJoinedVersions:
    def test_gateway_resumes_only_at_the_version_that_began(self):
        async def test():
            async with run_versions() as testbed:
                for target_id in ("engine-1", "engine-2"):
                    testbed.targets[target_id].fault = "torn"
                with pytest.raises(aiohttp.ClientPayloadError):
                    await testbed.send_request("/rules/a", **{"X-Request-Id": "s"})
                assert len(find_runs(testbed, "s")) == 1

        run(test)

    @pytest.mark.parametrize("fault", ["", "busy"])
    def test_caller_takes_up_at_another_gateway(self, fault):
        async def test():
            async with run_versions(gateways=2) as testbed:
                first, second = testbed.gateways
                begun = await begin_stream(testbed, "b", first)
                testbed.targets[begun].fault = fault
                status, _, targets = await take_up(testbed, "b", "t", second)
                expected = (503, []) if fault else (200, [begun])
                assert (status, targets) == expected

        run(test)

    def test_all_gateways_are_killed_at_once(self):
        async def test():
            async with run_versions(gateways=2) as testbed:
                begun = {}
                for number in range(8):
                    gateway = testbed.gateways[number % 2]
                    request_id = f"b{number}"
                    begun[request_id] = await begin_stream(testbed, request_id, gateway)
                await kill(testbed, list(testbed.gateways))
                for number in range(2):
                    await testbed.add_gateway(f"gateway-{number + 1}")
                for request_id, target_id in begun.items():
                    testbed.targets[target_id].fault = "busy"
                    taken = await take_up(testbed, request_id, f"t{request_id}")
                    testbed.targets[target_id].fault = ""
                    status, _, targets = taken
                    versions = {get_version(testbed, one) for one in targets}
                    assert versions <= {get_version(testbed, target_id)}
                    assert status in (200, 503)

        run(test)

    def test_no_target_of_the_version_is_left(self):
        async def test():
            async with run_versions(gateways=2) as testbed:
                begun = await begin_stream(testbed, "b")
                testbed.store.put_target(begun, None)
                for gateway in testbed.gateways:
                    await wait_until(
                        lambda gateway=gateway: (
                            gateway.directory.find_known(begun) is None
                        )
                    )
                    request_id = f"t-{gateway.settings.name}"
                    status, _, targets = await take_up(
                        testbed, "b", request_id, gateway
                    )
                    assert (status, targets) == (503, [])

        run(test)

    def test_target_restarted_under_its_id_with_newer_software(self):
        async def test():
            async with run_versions() as testbed:
                begun = await begin_stream(testbed, "b")
                target = testbed.targets[begun]
                entry = target.make_entry()
                testbed.store.put_target(begun, {**entry, "born": 1_000})
                directory = testbed.gateways[0].directory
                await wait_until(lambda: directory.find_known(begun).born_ms == 1_000)
                # The entry still names the incarnation before.
                target.make_report = lambda: {"queued": 0, "born": 2_000}
                status, _, targets = await take_up(testbed, "b", "t")
                assert (status, targets) == (503, [])

        run(test)

    def test_stream_begun_at_a_restarted_target_before_its_entry_was_read(self):
        async def test():
            async with run_versions(2, ("v1", "v1")) as testbed:
                first, second = testbed.gateways
                # The process behind the entry of v1 is already of v3.
                begun = await begin_stream(testbed, "b", first)
                entry = testbed.targets[begun].make_entry()
                born = int(time.time() * 1000) - 500
                entry = {**entry, "version": "v3", "born": born}
                testbed.store.put_target(begun, entry)
                for number, gateway in enumerate((first, second)):
                    await wait_until(
                        lambda gateway=gateway: (
                            gateway.directory.find(begun).version == "v3"
                        )
                    )
                    status, _, targets = await take_up(
                        testbed, "b", f"t{number}", gateway
                    )
                    assert (status, targets) == (503, [])

        run(test)


class TestResumptions:
    def test_streams_go_on_after_all_gateways_were_killed(self):
        async def test():
            async with run_versions(gateways=3) as testbed:
                begun = {}
                for number in range(12):
                    gateway = testbed.gateways[number % 3]
                    request_id = f"b{number}"
                    target_id = await begin_stream(testbed, request_id, gateway)
                    begun[request_id] = target_id
                await wait_until(lambda: len(list_stored_streams(testbed)) >= 12)
                await kill(testbed, list(testbed.gateways))
                for number in range(3):
                    await testbed.add_gateway(f"gateway-{number + 1}")
                for number, (request_id, target_id) in enumerate(begun.items()):
                    gateway = testbed.gateways[number % 3]
                    taken = await take_up(testbed, request_id, f"t{number}", gateway)
                    assert (taken[0], taken[2]) == (200, [target_id])

        run(test)

    def test_only_version_after_all_gateways_were_killed(self):
        async def test():
            async with run_versions(2, ("v1", "v1")) as testbed:
                await begin_stream(testbed, "b")
                await kill(testbed, list(testbed.gateways))
                await testbed.add_gateway("gateway-1")
                assert (await take_up(testbed, "b", "t"))[0] == 200
                assert not list_stored_streams(testbed)

        run(test)

    def test_version_that_left_while_no_gateway_ran_is_not_forgotten(self):
        async def test():
            async with run_versions(1, ("v1", "v1")) as testbed:
                await begin_stream(testbed, "b")
                await kill(testbed, list(testbed.gateways))
                for target_id in ("engine-1", "engine-2"):
                    set_version(testbed, target_id, "v2")
                await testbed.add_gateway("gateway-1")
                status, _, targets = await take_up(testbed, "b", "t")
                assert (status, targets) == (503, [])

        run(test)

    @pytest.mark.parametrize("begun_as", ["nobody", "", "x" * 5_000, "é"])
    def test_unknown_stream_is_refused_at_once(self, begun_as):
        async def test():
            async with run_versions(gateways=2) as testbed:
                status, body, targets = await take_up(testbed, begun_as, "t")
                assert (status, targets) == (503, [])
                assert b"origin unknown" in body

        run(test)

    def test_chain_of_resumptions(self):
        async def test():
            async with run_versions(gateways=3) as testbed:
                begun = await begin_stream(testbed, "b")
                for number, gateway in enumerate(testbed.gateways):
                    status, _, targets = await take_up(
                        testbed, "b", f"t{number}", gateway
                    )
                    assert (status, targets) == (200, [begun])

        run(test)

    def test_attempt_without_an_event_decides_nothing(self):
        async def test():
            async with run_versions() as testbed:
                for target_id in ("engine-1", "engine-2"):
                    testbed.targets[target_id].fault = "reset"
                status, _, _ = await testbed.send_request(
                    "/rules/a", **{"X-Request-Id": "b"}
                )
                assert status == 502
                for target_id in ("engine-1", "engine-2"):
                    testbed.targets[target_id].fault = ""
                assert (await take_up(testbed, "b", "t"))[0] == 503
                # Without events there is nothing to join.
                status, _, body = await testbed.send_request(
                    "/rules/a", **{"Resumes": "b"}
                )
                assert status == 200 and body.count(b"id:") == EVENTS

        run(test)

    def test_other_gateways_know_streams_while_the_store_is_silent(self):
        async def test():
            async with run_versions(gateways=2) as testbed:
                first, second = testbed.gateways
                testbed.store.silent = True
                await wait_until(lambda: first.store_unavailable)
                begun = await begin_stream(testbed, "b", first)
                status, _, targets = await take_up(testbed, "b", "t", second)
                assert (status, targets) == (200, [begun])

        run(test)

    def test_versions_are_written_again_after_a_restore(self):
        async def test():
            async with run_versions(gateways=2) as testbed:
                copy = testbed.store.take_copy()
                await wait_until(lambda: len(list_stored_versions(testbed)) == 2)
                testbed.store.restore({**copy, VERSIONS_TOPIC: []})
                await wait_until(lambda: len(list_stored_versions(testbed)) == 2)

        run(test)

    def test_other_account_is_refused(self):
        async def test():
            async with run_versions() as testbed:
                accounts = [
                    {"name": "club", "api-keys": [KEY]},
                    {"name": "other", "api-keys": ["other-key"]},
                ]
                testbed.store.put_configuration(make_configuration(2, tenants=accounts))
                gateway = testbed.gateways[0]
                await wait_until(lambda: gateway.configuration.version == 2)
                await begin_stream(testbed, "b")
                status, _, _ = await testbed.send_request(
                    "/rules/a",
                    **{
                        "key": "other-key",
                        "Resumes": "b",
                        "Last-Event-Id": "2",
                    },
                )
                assert status == 503
                assert (await take_up(testbed, "b", "t"))[0] == 200

        run(test)

    def test_new_version_is_not_used_before_the_store_holds_it(self):
        async def test():
            async with run_versions(1, ("v1", "v1")) as testbed:
                assert (await testbed.send_request("/rules/a"))[0] == 200
                gateway = testbed.gateways[0]
                await wait_until(lambda: list_stored_versions(testbed))
                testbed.store.read_only = True
                set_version(testbed, "engine-2", "v2")
                await wait_until(
                    lambda: gateway.directory.find("engine-2").version == "v2"
                )
                for number in range(4):
                    request_id = f"n{number}"
                    await testbed.send_request(
                        "/rules/a", **{"X-Request-Id": request_id}
                    )
                    assert find_runs(testbed, request_id) == ["engine-1"]

        run(test)


class TestOlderGateways:
    def test_new_records_are_not_sent_to_older_gateways(self, monkeypatch):
        # An older gateway does not tell the version of its protocol.
        monkeypatch.setattr(peer_handshake, "PROTOCOL", 0)

        async def test():
            async with run_versions(gateways=2) as testbed:
                first, second = testbed.gateways
                begun = await begin_stream(testbed, "b", first)
                # Each is its own keeper, and the store serves both.
                await wait_until(lambda: list_stored_streams(testbed))
                assert len(second.stream_versions._records._kept) == 0
                status, _, targets = await take_up(testbed, "b", "t", second)
                assert (status, targets) == (200, [begun])

        run(test)


# No stream of a route that is split between services could be resumed at another
# gateway, as a stream of unknown origin.
class TestSplitRoutes:
    @pytest.mark.parametrize(
        ("versions", "weights"),
        [
            (("v1", "v1"), None),
            (("v1", "v2"), None),
            (("v1", "v1"), {"engines": 95, "engines-b": 5}),
            (("v1", "v1", "v1"), None),
            (("v1", "v2", "v1"), None),
        ],
    )
    def test_streams_go_on_after_their_gateway_was_killed(self, versions, weights):
        async def test():
            async with run_split(3, versions, weights) as testbed:
                killed = testbed.gateways[0]
                begun = await begin_streams(testbed, killed, STREAMS)
                await wait_until_recorded(testbed, versions)
                await kill(testbed, [killed])
                went_on = await take_all_up(testbed, begun, testbed.gateways[-1])
                assert begun.keys() == went_on.keys()
                for request_id, target_id in went_on.items():
                    services = {
                        get_service(testbed, one)
                        for one in (target_id, begun[request_id])
                    }
                    assert len(services) == 1

        run(test)

    def test_streams_go_on_after_their_keeper_was_killed(self):
        async def test():
            async with run_split(3, ("v1", "v2")) as testbed:
                roster = testbed.gateways[0].roster
                await wait_until(lambda: roster.count == len(testbed.gateways))
                keeper = roster.rank("engines-b")[0]
                (killed,) = [
                    one for one in testbed.gateways if one.settings.name == keeper
                ]
                begun = await begin_streams(testbed, killed, STREAMS)
                await wait_until(lambda: len(list_stored_streams(testbed)) >= STREAMS)
                await kill(testbed, [killed])
                went_on = await take_all_up(testbed, begun, testbed.gateways[0])
                assert begun.keys() == went_on.keys()

        run(test)

    def test_broken_stream_goes_on_at_the_other_service(self):
        async def test():
            async with run_split(1, ("v1", "v1")) as testbed:
                (gateway,) = testbed.gateways
                for target in testbed.targets.values():
                    target.pause_s = 5 * SLOW_S
                answers = [
                    asyncio.ensure_future(
                        testbed.send_request("/rules/a", **{"X-Request-Id": f"r{n}"})
                    )
                    for n in range(STREAMS)
                ]
                await wait_until(
                    lambda: all(find_runs(testbed, f"r{n}") for n in range(STREAMS))
                )
                await asyncio.sleep(7 * SLOW_S)
                # Both engines of a service leave, and their connections break.
                for target_id in ("engine-1", "engine-2"):
                    testbed.store.put_target(target_id, None)
                await wait_until(lambda: not gateway.directory.get_usable("engines"))
                for target_id in ("engine-1", "engine-2"):
                    await testbed.targets[target_id].stop()
                for status, _, body in await asyncio.gather(*answers):
                    assert (status, body.count(b"id:")) == (200, EVENTS)

        run(test)

    @pytest.mark.parametrize("gateway", [0, 1])
    @pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v2")])
    def test_streams_go_on_after_the_split_was_changed(self, versions, gateway):
        async def test():
            async with run_split(2, versions) as testbed:
                begun = await begin_streams(testbed, testbed.gateways[0], STREAMS)
                await change_split(testbed, 3, {"engines": 5, "engines-b": 95})
                went_on = await take_all_up(testbed, begun, testbed.gateways[gateway])
                assert begun.keys() == went_on.keys()
                for request_id, target_id in went_on.items():
                    version = get_version(testbed, begun[request_id])
                    assert get_version(testbed, target_id) == version

        run(test)

    @pytest.mark.parametrize("all_killed", [False, True])
    @pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v2")])
    def test_all_traffic_was_moved_to_one_service(self, versions, all_killed):
        async def test():
            async with run_split(2, versions) as testbed:
                begun = await begin_streams(testbed, testbed.gateways[0], STREAMS)
                await wait_until_recorded(testbed, versions)
                await change_split(testbed, 3, {"engines-b": 100})
                if all_killed:
                    await kill(testbed, list(testbed.gateways))
                    await testbed.add_gateway("gateway-3")
                went_on = await take_all_up(testbed, begun, testbed.gateways[-1])
                # Those of another version have no target left on the route.
                assert went_on.keys() == select_ids(testbed, begun, versions[1])
                services = {get_service(testbed, one) for one in went_on.values()}
                assert services == {"engines-b"}

        run(test)

    @pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v2")])
    def test_service_without_a_target_left(self, versions):
        async def test():
            async with run_split(2, versions) as testbed:
                begun = await begin_streams(testbed, testbed.gateways[0], STREAMS)
                for number in (1, 2):
                    testbed.store.put_target(f"engine-{number}", None)
                    for gateway in testbed.gateways:
                        directory = gateway.directory
                        await wait_until(
                            lambda directory=directory, number=number: (
                                directory.find_known(f"engine-{number}") is None
                            )
                        )
                went_on = await take_all_up(testbed, begun, testbed.gateways[1])
                assert went_on.keys() == select_ids(testbed, begun, versions[1])

        run(test)

    @pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v2")])
    def test_streams_go_on_after_all_gateways_were_killed(self, versions):
        async def test():
            async with run_split(2, versions) as testbed:
                begun = await begin_streams(testbed, testbed.gateways[0], STREAMS)
                await wait_until_recorded(testbed, versions)
                await kill(testbed, list(testbed.gateways))
                await testbed.add_gateway("gateway-3")
                went_on = await take_all_up(testbed, begun, testbed.gateways[0])
                assert begun.keys() == went_on.keys()
                for request_id, target_id in went_on.items():
                    version = get_version(testbed, begun[request_id])
                    assert get_version(testbed, target_id) == version

        run(test)

    def test_other_gateways_know_streams_while_the_store_is_silent(self):
        async def test():
            async with run_split(2, ("v1", "v2")) as testbed:
                first, second = testbed.gateways
                testbed.store.silent = True
                await wait_until(lambda: first.store_unavailable)
                begun = await begin_streams(testbed, first, STREAMS)
                went_on = await take_all_up(testbed, begun, second)
                assert begun.keys() == went_on.keys()

        run(test)

    def test_unknown_stream_of_services_with_two_versions_is_refused(self):
        async def test():
            async with run_split(2, ("v1", "v2")) as testbed:
                status, body, targets = await take_up(testbed, "nobody", "t")
                assert (status, targets) == (503, [])
                assert b"origin unknown" in body

        run(test)

    def test_streams_of_one_version_need_no_records(self):
        async def test():
            async with run_split(2, ("v1", "v1")) as testbed:
                begun = await begin_streams(testbed, testbed.gateways[0], STREAMS)
                await take_all_up(testbed, begun, testbed.gateways[1])
                assert not list_stored_streams(testbed)

        run(test)
