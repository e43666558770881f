"""Tests that no long-lived task of a process ends by an exception."""

import asyncio

import pytest

from firworks.publication import publish
from firworks.standins.site import Site
from firworks.tasks import start_task
from firworks.tests.gateway_testbed import (
    KEY,
    make_configuration,
    play,
    run,
    wait_until,
)
from firworks.tests.kit import make_document, make_document_bytes


class UnexpectedError(Exception):
    """An exception that nothing expects."""


def fail_once(owner, name):
    """Let the next call of a method raise an error; return the list of its calls."""
    method, calls = getattr(owner, name), []

    def call(*args, **kwargs):
        calls.append(args)
        if len(calls) == 1:
            raise UnexpectedError
        return method(*args, **kwargs)

    setattr(owner, name, call)
    return calls


class TestTask:
    def test_it_is_started_again_with_its_state_repaired(self):
        events = []

        async def run():
            events.append("run")
            if len(events) < 4:
                raise UnexpectedError

        async def play_task():
            await start_task("t", run, lambda: events.append("recover"))

        asyncio.run(play_task())
        assert events == ["run", "recover", "run", "recover", "run"]

    def test_it_can_be_cancelled(self):
        async def play_task():
            task = start_task("t", asyncio.Event().wait)
            await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

        asyncio.run(play_task())


class TestGateway:
    """After an exception, a gateway went on with an old configuration (review/4)."""

    @pytest.mark.parametrize(
        ("part", "method"),
        [
            ("pools", "tick"),
            ("_replicator", "tick"),
            ("stream_versions", "tick"),
            ("_configurations", "apply_value"),
            ("_configurations", "record_store_status"),
            ("pools", "configure"),
        ],
    )
    def test_configuration_is_followed(self, part, method):
        async def scenario(testbed):
            for gateway in testbed.gateways:
                calls = fail_once(getattr(gateway, part), method)
                table = make_configuration(gateway.configuration.version + 1)
                testbed.store.put_configuration(table)
                # What is called in each tick is called again.
                wanted = 3 if method == "tick" else 1
                await wait_until(lambda made=calls, n=wanted: len(made) >= n)
                table["version"] += 1
                testbed.store.put_configuration(table)
                version = table["version"]
                await wait_until(
                    lambda one=gateway, wanted=version: (
                        one.configuration.version == wanted
                    )
                )

        play(scenario, gateways=2)

    @pytest.mark.parametrize(
        ("part", "method"),
        [
            ("_targets", "apply_value"),
            ("availability", "refresh"),
            ("stream_versions", "observe_targets"),
        ],
    )
    def test_targets_are_followed(self, part, method):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            calls = fail_once(getattr(gateway, part), method)
            # Both entries may be read at once, so that the second one is left out.
            for name in ("loans-1", "loans-2"):
                entry = testbed.targets[name].make_entry("draining")
                testbed.store.put_target(name, entry)
            await wait_until(lambda: calls)
            await wait_until(lambda: not gateway.directory.get_usable("loans"))
            assert (await testbed.send_request("/stock/a", key=KEY))[0] == 503

        play(scenario)

    def test_members_are_followed(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            calls = fail_once(gateway._members, "_put")
            await testbed.add_gateway("gateway-2")
            await wait_until(lambda: calls)
            await testbed.add_gateway("gateway-3")
            await wait_until(lambda: gateway.roster.count == 3)

        play(scenario)


class TestDaemon:
    def test_tick_and_vm_list_go_on(self):
        async def scenario():
            site = Site(make_document())
            await site.start()
            try:
                await publish(site.open_log(), "production", make_document_bytes())
                daemon = await site.start_daemon("d1")
                await wait_until(lambda: daemon.ready)
                for owner, method in (
                    (daemon, "_update_state"),
                    (daemon.adapters["vms", "http"], "_read"),
                ):
                    calls = fail_once(owner, method)
                    await wait_until(lambda made=calls: len(made) > 2)
            finally:
                await site.stop()

        run(scenario)
