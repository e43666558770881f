"""Tests that endless data from a target neither fills memory nor blocks callers."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firworks.bodies import HeldBody
from firworks.gateway.connections import (
    MAX_OVERHEAD_BYTES,
    MAX_SURPLUS_BYTES,
    TargetConnection,
)
from firworks.kernel.buffers import (
    ASSURED_BYTES,
    MAX_RESPONSE_BYTES,
    MAX_SHARED_BYTES,
    ResponseBuffers,
)
from firworks.kernel.forwarding.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)
from firworks.platform import store
from firworks.standins.platform_targets import ENDLESS
from firworks.tests.fake_transport import FakeTransport
from firworks.tests.gateway_testbed import PROMPT, play
from firworks.tests.test_gateway import list_requests, set_fault

CHUNK_BYTES = 65_536
# Upper bound of the kernel's buffers at both ends of a loopback connection and of what
# the simulated target writes at once.
SOCKET_BUFFER_BYTES = 12_000_000
ENDLESS_NON_RESPONSES = sorted(
    set(ENDLESS) - {"endless event", "endless body", "endless surplus"}
)


async def open_connection():
    """Return a connection that waits for a response."""
    connection = TargetConnection(asyncio.get_running_loop())
    connection.connection_made(FakeTransport())
    connection.send(b"GET / HTTP/1.1\r\n\r\n", b"", False)
    return connection


def feed_until_stopped(connection, first_chunk, filler):
    """Feed chunks without end; return the bytes accepted before reading stops."""
    transport = connection.transport
    data, fed = first_chunk, 0
    while not (transport.closed or transport.paused):
        connection.data_received(data)
        fed += len(data)
        assert fed < 64 * CHUNK_BYTES, "the connection reads without a limit"
        data = filler * (CHUNK_BYTES // len(filler))
    return fed


class TestConnections:
    @pytest.mark.parametrize("name", ENDLESS_NON_RESPONSES)
    def test_bytes_without_a_response_are_read_up_to_a_limit(self, name):
        async def scenario():
            connection = await open_connection()
            fed = feed_until_stopped(connection, *ENDLESS[name])
            assert fed <= 2 * MAX_OVERHEAD_BYTES + 8 * CHUNK_BYTES

        asyncio.run(scenario())

    def test_bytes_after_a_response_are_read_up_to_a_limit(self):
        async def scenario():
            connection = await open_connection()
            transport = connection.transport
            fed = feed_until_stopped(connection, *ENDLESS["endless surplus"])
            assert fed <= MAX_SURPLUS_BYTES + 2 * CHUNK_BYTES
            assert transport.paused and not connection.reusable

        asyncio.run(scenario())

    def test_body_is_read_with_backpressure(self):
        async def scenario():
            connection = await open_connection()
            transport = connection.transport
            feed_until_stopped(connection, *ENDLESS["endless body"])
            assert transport.paused and not transport.closed
            _, payload = await connection.read()
            while await payload.readany() and transport.paused:
                pass
            assert not transport.paused

        asyncio.run(scenario())

    def test_informational_responses_are_skipped(self):
        async def scenario():
            connection = await open_connection()
            connection.data_received(
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            )
            message, payload = await connection.read()
            assert (message.code, await payload.read()) == (200, b"ok")
            assert connection.reusable

        asyncio.run(scenario())

    def test_long_response_in_small_chunks_is_accepted(self):
        async def scenario():
            connection = await open_connection()
            connection.data_received(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            _, payload = await connection.read()
            for _ in range(MAX_OVERHEAD_BYTES):
                connection.data_received(b"1;a=b\r\nx\r\n")
                assert await payload.readany() == b"x"

        asyncio.run(scenario())


class TestResponseBuffers:
    def test_many_endless_responses_share_a_limit(self):
        buffers = ResponseBuffers()
        bodies = [HeldBody(buffers) for _ in range(200)]
        part = bytes(ASSURED_BYTES // 4)
        growing = list(bodies)
        while growing:
            growing = [body for body in growing if body.add(part)]
        held = sum(body.size for body in bodies)
        assert held <= MAX_SHARED_BYTES + 200 * (ASSURED_BYTES + 2 * len(part))
        for body in bodies:
            with body:
                while body.pop():
                    pass
        assert (buffers.shared_bytes, HeldBody(buffers).add(part)) == (0, True)

    def test_small_responses_are_held_while_large_ones_use_up_the_limit(self):
        buffers = ResponseBuffers()
        large = HeldBody(buffers)
        while large.add(bytes(ASSURED_BYTES)):
            pass
        assert large.size == MAX_RESPONSE_BYTES + ASSURED_BYTES
        others = [HeldBody(buffers) for _ in range(64)]
        for other in others:
            other.add(bytes(MAX_RESPONSE_BYTES))
        assert not HeldBody(buffers).add(bytes(2 * ASSURED_BYTES))
        assert HeldBody(buffers).add(bytes(ASSURED_BYTES))

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2**20))))
    def test_nothing_stays_counted_once_all_bodies_are_let_go(self, steps):
        buffers = ResponseBuffers()
        bodies = [HeldBody(buffers) for _ in range(4)]
        for number, size in steps:
            bodies[number].add(bytes(size))
            if size % 3 == 0:
                bodies[number].pop()
        for body in bodies:
            with body:
                pass
        assert buffers.shared_bytes == 0 and not any(body.size for body in bodies)


class TestStore:
    def test_store_response_is_read_up_to_a_limit(self, monkeypatch):
        async def scenario(world):
            (gateway,) = world.gateways
            monkeypatch.setattr(gateway.store._buffers, "max_response_bytes", 100)
            with pytest.raises(store.StoreError, match="exceeds 100 bytes"):
                await gateway.store.list_newest(store.CONFIGURATION_TOPIC)

        play(scenario)


class TestEvents:
    def test_endless_event_is_buffered_up_to_a_limit(self):
        splitter = EventSplitter()
        with pytest.raises(EventTooLongError):
            for _ in range(2 * MAX_EVENT_BYTES // 1024):
                splitter.feed(b"data: 0\n" * 128)

    def test_event_boundary_may_be_split(self):
        splitter = EventSplitter()
        fed = [splitter.feed(part) for part in (b"id: 7\r", b"\n\r", b"\nid", b": 8\n")]
        assert fed == [b"", b"", b"id: 7\r\n\r\n", b""]
        assert splitter.feed(b"\n") == b"id: 8\n\n"


class TestGateway:
    @pytest.mark.parametrize("fault", ENDLESS_NON_RESPONSES)
    def test_request_is_retried_elsewhere_and_others_succeed(self, fault):
        async def scenario(world):
            set_fault(world, "loans", fault, count=1)
            answers = await asyncio.gather(
                *(world.send_request(f"/stock/{number}") for number in range(6))
            )
            assert [answer[0] for answer in answers] == [200] * 6
            assert world.targets["loans-1"].endless_bytes < SOCKET_BUFFER_BYTES

        play(scenario)

    @pytest.mark.parametrize("fault", ENDLESS_NON_RESPONSES)
    def test_non_repeatable_request_is_not_reported_as_not_run(self, fault):
        async def scenario(world):
            set_fault(world, "loans", fault)
            status, _, _ = await world.send_request("/book/a", "POST", body=b"loan")
            assert status == 502
            assert len(list_requests(world, "loans")) == 1

        play(scenario)

    def test_stream_resumes_on_another_target(self):
        async def scenario(world):
            set_fault(world, "engines", "endless event", count=1)
            for number in range(4):
                prompt = {**PROMPT, "X-Prefix-Hash": f"a{number}:40"}
                status, _, _ = await world.send_request("/rules/a", "POST", **prompt)
                assert status == 200

        play(scenario)

    def test_endless_surplus_loses_no_response(self):
        async def scenario(world):
            set_fault(world, "loans", "endless surplus")
            for number in range(4):
                status, _, body = await world.send_request(
                    f"/book/{number}", "POST", body=b"l"
                )
                assert (status, body) == (200, b"body")

        play(scenario)

    def test_stage_call_is_retried_on_another_target(self):
        async def scenario(world):
            set_fault(world, "repair", "endless body", count=1)
            headers = {**PROMPT, "X-Pieces": "2,3", "X-Piece-Key": "k"}
            status, _, _ = await world.send_request("/advice/a", "POST", **headers)
            assert status == 200
            assert world.targets["repair-1"].endless_bytes < (
                SOCKET_BUFFER_BYTES + MAX_RESPONSE_BYTES
            )

        play(scenario)

    def test_endless_body_is_forwarded_with_backpressure(self):
        async def scenario(world):
            set_fault(world, "loans", "endless body")
            port = world.gateways[0].callers.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{name}: {value}" for name, value in world.make_headers().items()]
            head = "\r\n".join(["GET /stock/a HTTP/1.1", *lines]) + "\r\n\r\n"
            writer.write(head.encode())
            # The caller reads no more than the head.
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
            sent = [-1, 0]
            targets = world.targets.values()
            while sent[-1] != sent[-2]:
                await asyncio.sleep(0.2)
                sent.append(sum(target.endless_bytes for target in targets))
            assert sent[-1] < SOCKET_BUFFER_BYTES
            assert (await world.send_request("/rules/a", "POST", **PROMPT))[0] == 200
            writer.transport.abort()

        play(scenario)
