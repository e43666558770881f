"""Tests of the WebSocket peers, the VM list adapter and their stand-in."""

import asyncio
import logging
from pathlib import Path

import pytest
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from firworks.adapter import AdapterContext
from firworks.addresses import AddressBook
from firworks.kernel.ledger.claims import WorkKey
from firworks.kernel.messages import (
    ConnectPeer,
    DisconnectPeer,
    PeerConnected,
    PeerDisconnected,
    PeerReceived,
    SendPeer,
    VmsListed,
)
from firworks.plugins.http_vms import HttpVms, parse_vms
from firworks.plugins.peer_connections import HANDSHAKE_MESSAGE_BYTES, BoundedLog
from firworks.plugins.peer_handshake import PROTOCOL, accept_handshake, dial_handshake
from firworks.plugins.peer_links import PeerLink
from firworks.plugins.websocket_peers import WebsocketPeers, make_client_tls
from firworks.settings import make_settings
from firworks.standins.vms import VmsStandin

MESSAGE = WorkKey("a", "s", "k")


DATA = Path(__file__).parent / "data"


def make_tls(name):
    """Settings of a self-signed certificate that is its own authority."""
    certificate = str(DATA / f"{name}-certificate.pem")
    return {
        "tls_certificate": certificate,
        "tls_key": str(DATA / f"{name}-key.pem"),
        "tls_authority": certificate,
    }


def make_peers(name, secret="right", tls=None):
    inbox = asyncio.Queue()
    table = {
        "name": name,
        "log_url": "http://127.0.0.1:1",
        "vms_url": "http://127.0.0.1:1",
        "peers": "127.0.0.1:0",
        "peer_secret": secret,
        **(tls or {}),
    }
    return WebsocketPeers(make_context(table, inbox)), inbox


def make_context(table, inbox):
    clock = asyncio.get_running_loop().time
    addresses = AddressBook({})
    feed = inbox.put_nowait
    return AdapterContext(make_settings(table), "i", feed, clock, addresses)


async def run_pair(body, secrets=("right", "right"), tls=(None, None)):
    one, one_inbox = make_peers("one", secrets[0], tls[0])
    two, two_inbox = make_peers("two", secrets[1], tls[1])
    await one.start()
    await two.start()
    try:
        async with asyncio.timeout(20):
            await body(one, one_inbox, two, two_inbox)
    finally:
        await one.stop()
        await two.stop()


def make_address(peers):
    return f"127.0.0.1:{peers.port}"


class TestBoundedConnections:
    def test_unknown_connections_make_room_and_known_ones_stay(self):
        async def body(one, one_inbox, two, two_inbox):
            one.carry_out(ConnectPeer("two", f"127.0.0.1:{two.port}"))
            one.carry_out(SendPeer("two", MESSAGE))
            while not isinstance(await two_inbox.get(), PeerReceived):
                pass
            two._listener._ingress.limits.max_peer_connections = 5
            silent = [
                await asyncio.open_connection("127.0.0.1", two.port) for _ in range(12)
            ]
            assert await silent[0][0].read() == b""
            assert len(two._listener._open) <= 5
            one.carry_out(SendPeer("two", MESSAGE))
            while not isinstance(await two_inbox.get(), PeerReceived):
                pass
            for _, writer in silent:
                writer.transport.abort()
            while len(two._listener._open) > 1:
                await asyncio.sleep(0.01)

        asyncio.run(run_pair(body))

    def test_a_large_message_before_authentication_ends_the_connection(self):
        async def body(one, one_inbox, two, two_inbox):
            async with connect(f"ws://127.0.0.1:{two.port}") as connection:
                await connection.send(bytes(HANDSHAKE_MESSAGE_BYTES + 1))
                with pytest.raises(ConnectionClosed):
                    await connection.recv()

        asyncio.run(run_pair(body))

    def test_lines_of_the_librarys_log_are_bounded(self):
        log = BoundedLog()
        record = logging.LogRecord("x", logging.ERROR, "", 0, "failed", (), None)
        assert [log.filter(record) for _ in range(5)] == [True] + [False] * 4
        log._due_s = 0.0
        assert log.filter(record)
        assert record.msg == "failed (4 lines left out)"


class TestWebsocketPeers:
    def test_messages_arrive_in_order(self):
        async def body(one, one_inbox, two, two_inbox):
            one.carry_out(ConnectPeer("two", make_address(two)))
            assert await one_inbox.get() == PeerConnected("two")
            for key in "abc":
                one.carry_out(SendPeer("two", MESSAGE.replace(key=key)))
            for key in "abc":
                event = PeerReceived("one", MESSAGE.replace(key=key))
                assert await two_inbox.get() == event
            one.carry_out(DisconnectPeer("two"))
            assert await one_inbox.get() == PeerDisconnected("two")

        asyncio.run(run_pair(body))

    def test_what_is_queued_at_the_stop_is_sent(self):
        async def body(one, one_inbox, two, two_inbox):
            one.carry_out(ConnectPeer("two", make_address(two)))
            await one_inbox.get()
            for key in "abc":
                one.carry_out(SendPeer("two", MESSAGE.replace(key=key)))
            await one.stop()
            assert [(await two_inbox.get()).message.key for _ in "abc"] == list("abc")

        asyncio.run(run_pair(body))

    def test_a_send_without_a_link_connects_on_demand(self):
        async def body(one, one_inbox, two, two_inbox):
            one.carry_out(SendPeer("two", MESSAGE))
            assert one.dropped_messages == 1
            vms = VmsStandin()
            vms.put(make_vm("two", make_address(two)))
            one.context.addresses.update(parse_vms({"vms": vms.list()}))
            one.carry_out(SendPeer("two", MESSAGE))
            assert await two_inbox.get() == PeerReceived("one", MESSAGE)

        asyncio.run(run_pair(body))

    def test_a_wrong_secret_is_refused_on_both_sides(self):
        async def body(one, one_inbox, two, two_inbox):
            refused = asyncio.Event()
            loop = asyncio.get_running_loop()
            sink = logger.add(
                lambda text: loop.call_soon(refused.set),
                filter=lambda record: record["extra"].get("event") == 601,
            )
            one.carry_out(ConnectPeer("two", make_address(two)))
            one.carry_out(SendPeer("two", MESSAGE))
            await refused.wait()
            logger.remove(sink)
            assert one_inbox.empty()
            assert two_inbox.empty()

        asyncio.run(run_pair(body, secrets=("right", "wrong")))

    def test_tls_carries_messages(self):
        async def body(one, one_inbox, two, two_inbox):
            one.carry_out(ConnectPeer("two", make_address(two)))
            one.carry_out(SendPeer("two", MESSAGE))
            assert await two_inbox.get() == PeerReceived("one", MESSAGE)

        asyncio.run(run_pair(body, tls=(make_tls("peer"), make_tls("peer"))))

    @pytest.mark.parametrize("tls", [None, make_tls("other")])
    def test_a_dialer_without_the_authoritys_certificate_is_refused(self, tls):
        async def body(one, one_inbox, two, two_inbox):
            settings = one.context.settings
            context = make_client_tls(settings)
            link = PeerLink(one, settings, "two", make_address(two), False, context)
            assert await link.dial_once() is False
            assert one_inbox.empty() and two_inbox.empty()

        asyncio.run(run_pair(body, tls=(tls, make_tls("peer"))))

    def test_a_dialer_without_the_secret_is_closed(self):
        async def body(one, one_inbox, two, two_inbox):
            url = f"ws://{make_address(two)}/"
            async with connect(url, compression=None, proxy=None) as connection:
                await connection.send(b"\x00")
                with pytest.raises(ConnectionClosed):
                    await connection.recv()
            assert two_inbox.empty()

        asyncio.run(run_pair(body))

    def test_a_name_other_than_the_expected_is_refused(self):
        async def body(one, one_inbox, two, two_inbox):
            one.carry_out(ConnectPeer("three", make_address(two)))
            one.carry_out(SendPeer("three", MESSAGE))
            one.carry_out(ConnectPeer("two", make_address(two)))
            one.carry_out(SendPeer("two", MESSAGE.replace(key="last")))
            event = await two_inbox.get()
            assert event.message.key == "last"

        asyncio.run(run_pair(body))

    @settings(max_examples=20)
    @given(st.one_of(st.binary(max_size=64), st.text(max_size=16)))
    def test_malformed_messages_close_the_connection(self, data):
        async def body(one, one_inbox, two, two_inbox):
            url = f"ws://{make_address(two)}/"
            async with connect(url, compression=None, proxy=None) as connection:
                await dial_handshake(connection, "one", "two", "right")
                await connection.send(data)
                with pytest.raises(ConnectionClosed):
                    await connection.recv()
            assert two_inbox.empty()

        asyncio.run(run_pair(body))

    def test_a_peer_that_reads_nothing_fills_a_bounded_queue(self):
        async def body(one, one_inbox, two, two_inbox):
            one.carry_out(ConnectPeer("two", make_address(two)))
            message = MESSAGE.replace(key="x" * 1_000_000)
            for _ in range(20):
                one.carry_out(SendPeer("two", message))
            assert one.dropped_messages == 16

        asyncio.run(run_pair(body))


class TestHandshake:
    @given(st.text(max_size=20), st.text(max_size=20))
    def test_only_equal_secrets_pass(self, one, two):
        assert asyncio.run(shake(one, two)) is (one == two)


async def shake(one, two):
    left, right = Pipe(), Pipe()
    left.other, right.other = right, left
    tasks = (
        asyncio.ensure_future(dial_handshake(left, "one", "two", one)),
        asyncio.ensure_future(accept_handshake(right, "two", two)),
    )
    _, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
    for task in pending:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    return results == [PROTOCOL, "one"]


class Pipe:
    """One end of a connection in memory."""

    def __init__(self):
        self.inbox = asyncio.Queue()
        self.other = None

    async def send(self, data):
        self.other.inbox.put_nowait(data)

    async def recv(self):
        return await self.inbox.get()


def make_vm(name, address="127.0.0.1:9", role="entry", leaving=False):
    return {
        "name": name,
        "address": address,
        "role": role,
        "region": "r",
        "failure_domain": "f",
        "leaving": leaving,
    }


class TestHttpVms:
    def test_lists_are_fed_and_failures_keep_the_last(self):
        async def run():
            standin = VmsStandin()
            standin.put(make_vm("one"))
            inbox = asyncio.Queue()
            async with TestServer(standin.make_app()) as server:
                table = {
                    "name": "one",
                    "log_url": "http://127.0.0.1:1",
                    "vms_url": str(server.make_url("")).rstrip("/"),
                }
                vms = HttpVms(make_context(table, inbox), 0.01)
                await vms.start()
                first = await inbox.get()
                assert first == VmsListed(parse_vms({"vms": [make_vm("one")]}))
                standin.failing = True
                while not vms.failures:
                    await asyncio.sleep(0.01)
                standin.failing = False
                standin.put(make_vm("two"))
                while len((await inbox.get()).vms) != 2:
                    pass
                await vms.stop()

        asyncio.run(run())

    @given(st.recursive(st.none() | st.text(), lambda c: st.lists(c)))
    def test_malformed_lists_raise_only_value_errors(self, body):
        for value in (body, {"vms": body}, {"vms": [body]}, {"vms": [{"name": body}]}):
            if value != {"vms": []}:
                with pytest.raises(ValueError):
                    parse_vms(value)

    def test_the_standin_lags(self):
        now = [100.0]
        standin = VmsStandin(lag_s=5.0, clock=lambda: now[0])
        standin.put(make_vm("one"))
        assert standin.list() == []
        now[0] = 105.0
        assert [vm["name"] for vm in standin.list()] == ["one"]
