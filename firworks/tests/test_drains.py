"""Tests of planned stops: no request is taken that the stop would cut off."""

import asyncio
import json
import signal

import pytest

from firworks.codes import Code
from firworks.kernel.buffers import MAX_RESPONSE_BYTES
from firworks.kernel.fleet.events import DrainStarted
from firworks.kernel.forwarding import drains
from firworks.kernel.forwarding.drains import (
    DURATION_MARGIN,
    DURATIONS_PER_ROUTE,
    DrainPlan,
    ResponseDurations,
)
from firworks.publication import publish
from firworks.standins.platform_targets import EVENTS, make_event
from firworks.standins.site import Site
from firworks.tests.gateway_process import LONG_DEADLINE_MS, Caller, GatewayProcess
from firworks.tests.gateway_testbed import (
    PROMPT,
    make_configuration,
    play,
    run,
    wait_until,
)
from firworks.tests.kit import TOKEN, make_document, make_document_bytes

GRACE_S = 8.0
STREAM_S, STREAM_TIMEOUT_S = 4.7, 15.0
STREAM = b"".join(map(make_event, range(1, EVENTS + 1)))


class TestDrainPlan:
    def make_plan(self, durations=(), grace_s=GRACE_S):
        recorded = ResponseDurations()
        for duration_s in durations:
            recorded.record("chat", duration_s)
        return DrainPlan(0.0, grace_s, recorded)

    def test_no_stream_is_taken_that_outlasts_the_drain(self):
        # Streams of 4.7 s with a deadline of 15 s are sent all the while, as by callers
        # that send the next one at once on the kept connection.
        plan = self.make_plan([STREAM_S] * 20)
        sent_s = [step / 100 for step in range(800)]
        taken = [
            now for now in sent_s if plan.accepts("chat", now + STREAM_TIMEOUT_S, now)
        ]
        assert taken and max(taken) + STREAM_S <= plan.limit_s
        assert max(taken) + DURATION_MARGIN * STREAM_S <= plan.limit_s
        assert taken == [now for now in sent_s if now <= max(taken)]

    def test_the_deadline_makes_a_request_certain_to_end(self):
        plan = self.make_plan()
        sent_s = [step / 100 for step in range(800)]
        taken = [now for now in sent_s if plan.accepts("book", now + 4.0, now)]
        assert taken == [now for now in sent_s if now + 4.0 <= plan.limit_s]

    def test_only_certain_requests_are_taken_once_callers_are_sent_elsewhere(self):
        plan = self.make_plan([0.1])
        assert plan.accepts("chat", STREAM_TIMEOUT_S, plan.closing_s - 0.01)
        assert not plan.accepts("chat", STREAM_TIMEOUT_S, plan.closing_s)
        assert plan.accepts("chat", plan.limit_s, plan.closing_s)

    def test_a_route_without_responses_so_far_is_not_guessed(self):
        assert not self.make_plan().accepts("chat", STREAM_TIMEOUT_S, 0.0)

    def test_one_long_response_among_short_ones_counts(self):
        plan = self.make_plan([7.0] + [0.1] * (DURATIONS_PER_ROUTE - 1))
        assert not plan.accepts("chat", STREAM_TIMEOUT_S, 0.0)
        plan = self.make_plan([7.0] + [0.1] * DURATIONS_PER_ROUTE)
        assert plan.accepts("chat", STREAM_TIMEOUT_S, 0.0)

    def test_routes_that_are_gone_are_forgotten(self):
        durations = ResponseDurations()
        durations.record("chat", 1.0)
        durations.record("old", 1.0)
        durations.keep({"chat", "new"})
        plan = DrainPlan(0.0, GRACE_S, durations)
        assert plan.accepts("chat", STREAM_TIMEOUT_S, 0.0)
        assert not plan.accepts("old", STREAM_TIMEOUT_S, 0.0)

    @pytest.mark.parametrize("grace_s", [0.0, 0.2, 1.0, 8.0, 60.0])
    def test_the_times_are_in_order_and_within_the_grace_period(self, grace_s):
        plan = self.make_plan(grace_s=grace_s)
        assert 0.0 <= plan.listening_until_s <= plan.closing_s
        assert plan.limit_s <= plan.end_s <= grace_s

    def test_a_used_connection_stays_for_the_next_request_of_its_caller(self):
        plan = self.make_plan()
        assert plan.compute_close_s(0.1) == plan.closing_s
        assert plan.compute_close_s(4.0) > 4.0


def list_runs(testbed, service):
    """Return the ids of the requests that targets of a service have begun."""
    return [
        run.request_id
        for target in testbed.targets.values()
        if target.service == service
        for run in target.runs
    ]


def close_gates(testbed):
    """Let responses of all targets wait; return the event that they wait for."""
    gate = asyncio.Event()
    for target in testbed.targets.values():
        target.gate = gate
    return gate


async def lengthen_routes(testbed):
    """Let requests last longer than a drain, as streams do."""
    table = make_configuration(2)
    for route in table["routes"]:
        route |= {"timeout-ms": LONG_DEADLINE_MS, "goal-ms": LONG_DEADLINE_MS}
    testbed.store.put_configuration(table)
    for gateway in testbed.gateways:
        await wait_until(lambda one=gateway: one.configuration.version == 2)


async def begin_drain(gateway):
    """Start to drain a gateway and wait until it closes idle connections."""
    drain = asyncio.ensure_future(gateway.drain())
    await wait_until(lambda: gateway.shutdown.begun)
    await wait_until(lambda: gateway.clock() > gateway.shutdown.plan.closing_s)
    return drain


def play_drain(scenario):
    """Run ``scenario(testbed, gateway, gate)``, which returns the drain that it starts.

    Requests last long, and responses of targets wait for the gate.
    """

    async def drained(testbed):
        (gateway,) = testbed.gateways
        await lengthen_routes(testbed)
        await (await scenario(testbed, gateway, close_gates(testbed)))
        testbed.gateways.clear()

    play(drained)


async def check_refused(caller):
    """Read the refusal of a draining gateway, the last response of a connection."""
    status, headers, body = await caller.read()
    assert (status, json.loads(body)["code"]) == (503, Code.DRAINING)
    assert (headers["connection"], float(headers["retry-after"])) == ("close", 0.0)
    assert await caller.read_end() == b""


@pytest.fixture
def fast_balancer(monkeypatch):
    """Let drains wait less for the load balancer."""
    monkeypatch.setattr(drains, "DEREGISTRATION_DELAY_S", 0.1)


@pytest.mark.usefixtures("fast_balancer")
class TestKeptConnections:
    @pytest.mark.parametrize(
        "headers",
        [{}, {"Last-Event-Id": "2"}],
        ids=["stream", "resumed stream"],
    )
    def test_stream_after_one_that_began_before_the_drain_is_refused(self, headers):
        # review/3: it was taken, and cut off at the limit of the drain.
        async def scenario(testbed, gateway, gate):
            async with Caller(gateway.callers.port) as caller:
                caller.send("/rules/a", **PROMPT, **headers)
                status, answered = await caller.read_head()
                assert status == 200 and "connection" not in answered
                drain = await begin_drain(gateway)
                gate.set()
                body = await caller.read_body(answered)
                assert STREAM.endswith(body) and body
                runs = list_runs(testbed, "engines")
                caller.send("/once/b", **PROMPT)
                await check_refused(caller)
                assert list_runs(testbed, "engines") == runs
            return drain

        play_drain(scenario)

    def test_request_after_a_large_response_is_served_if_it_ends_in_time(self):
        async def scenario(testbed, gateway, gate):
            for name in ("loans-1", "loans-2"):
                testbed.targets[name].fault = "large"
            async with Caller(gateway.callers.port) as caller:
                caller.send("/stock/a")
                status, answered = await caller.read_head()
                assert status == 200 and "connection" not in answered
                drain = await begin_drain(gateway)
                gate.set()
                body = await caller.read_body(answered)
                assert len(body) > MAX_RESPONSE_BYTES
                for target in testbed.targets.values():
                    target.fault = ""
                caller.send("/book/b", **{"X-Deadline-Ms": 1_000})
                status, headers, _ = await caller.read()
                assert (status, headers["connection"]) == (200, "close")
                assert await caller.read_end() == b""
            return drain

        play_drain(scenario)

    def test_connection_that_is_not_used_again_is_closed(self):
        async def scenario(testbed, gateway, gate):
            async with Caller(gateway.callers.port) as caller:
                async with Caller(gateway.callers.port) as idle:
                    caller.send("/rules/a", **PROMPT)
                    _, answered = await caller.read_head()
                    drain = await begin_drain(gateway)
                    assert await idle.read_end() == b""
                gate.set()
                await caller.read_body(answered)
                assert await caller.read_end() == b""
                assert not gateway.callers.connected
            return drain

        play_drain(scenario)

    def test_all_requests_of_a_caller_that_pipelines_are_answered(self):
        async def scenario(testbed, gateway, gate):
            async with Caller(gateway.callers.port) as caller:
                caller.send("/stock/a", **{"X-Deadline-Ms": 1_000})
                await wait_until(lambda: gateway.callers.in_progress)
                drain = asyncio.ensure_future(gateway.drain())
                await wait_until(lambda: gateway.shutdown.begun)
                caller.send("/stock/b", **{"X-Deadline-Ms": 1_000})
                caller.send("/once/c", **PROMPT)
                (connection,) = gateway.callers._server.connections
                await wait_until(lambda: len(connection._messages) == 2)
                gate.set()
                for _ in range(2):
                    status, headers, _ = await caller.read()
                    assert status == 200 and "connection" not in headers
                await check_refused(caller)
            return drain

        play_drain(scenario)

    def test_request_without_a_response_is_answered_at_the_limit(self):
        # Its target stays silent. It was cut off without an answer.
        async def scenario(testbed, gateway, gate):
            for name in ("repair-1", "repair-2"):
                testbed.targets[name].fault = "hang"
            async with (
                Caller(gateway.callers.port) as sent,
                Caller(gateway.callers.port) as waiting,
                Caller(gateway.callers.port) as halfway,
            ):
                sent.send("/book/a")
                waiting.send("/advice/b", **PROMPT, **{"X-Pieces": "1,1"})
                halfway.send("/book/c", **{"Content-Length": 10})
                await wait_until(lambda: gateway.callers.in_progress == 3)
                await wait_until(lambda: list_runs(testbed, "loans"))
                gateway.settings.drain_limit_s = 1.5
                drain = asyncio.ensure_future(gateway.drain())
                answers = [await each.read() for each in (sent, waiting, halfway)]
                assert [status for status, _, _ in answers] == [504, 503, 408]
                assert all(each[1]["connection"] == "close" for each in answers)
                return drain

        play_drain(scenario)


@pytest.mark.usefixtures("fast_balancer")
class TestOverlappingStops:
    def test_refused_requests_are_served_by_the_gateways_that_stay(self):
        # Gateways are stopped one after the other, with a hangup in between.
        async def scenario(testbed):
            answers = []

            async def stream(gateways):
                for gateway in gateways:
                    async with Caller(gateway.callers.port) as caller:
                        caller.send("/once/a", **PROMPT)
                        status, headers, body = await caller.read()
                    answers.append((status, body == STREAM))
                    if status == 200:
                        return
                    assert json.loads(body)["code"] == Code.DRAINING

            await lengthen_routes(testbed)
            first, second, third = testbed.gateways
            stops = []
            for gateway in (first, second):
                stops.append(asyncio.ensure_future(gateway.drain()))
                await wait_until(lambda one=gateway: one.shutdown.begun)
                second.reload()
                await stream([first, second, third])
            refused, served = (503, False), (200, True)
            # The second one has seen by then that such streams end in time.
            assert answers == [refused, served, refused, served]
            await asyncio.gather(*stops)
            testbed.gateways[:] = [third]

        play(scenario, gateways=3)


class TestDaemonConnections:
    """The same for `firworksd`, which refuses all requests once it drains."""

    def test_a_kept_connection_ends_with_the_first_refusal(self):
        # Callers went on with it, and were refused until the process ended.
        async def scenario():
            site = Site(make_document(), tokens=20, interval_s=0.02)
            await site.start()
            try:
                await publish(site.open_log(), "production", make_document_bytes())
                daemon = await site.start_daemon("d1")
                await wait_until(lambda: daemon.ready)
                async with Caller(daemon.caller_port) as caller:
                    headers = {"Authorization": f"Bearer {TOKEN}"}
                    stream = {"Accept": "text/event-stream", **headers}
                    caller.send("/v1/pipelines/ask", body=b'{"q": 1}', **stream)
                    status, answered = await caller.read_head()
                    assert status == 200 and "connection" not in answered
                    daemon.feed(DrainStarted())
                    assert await caller.read_body(answered)
                    caller.send("/v1/pipelines/look", **headers)
                    status, answered, body = await caller.read()
                    assert json.loads(body)["code"] == Code.DRAINING
                    assert (status, answered["connection"]) == (503, "close")
                    assert await caller.read_end() == b""
            finally:
                await site.stop()

        run(scenario)


class TestProcess:
    DRAIN_LIMIT_S = 3.0
    # Half of the limit, and the time in which late requests arrive.
    CLOSING_S = 1.8
    EVENT_S = 0.45
    CALLERS = 10

    def test_no_stream_sent_late_in_a_drain_is_cut_off(self, tmp_path):
        # review/3, with shorter times. What was sent early and is still in progress at
        # the limit may be cut off.
        async def scenario(testbed):
            process = GatewayProcess(
                tmp_path, testbed.store.address, drain_limit_s=self.DRAIN_LIMIT_S
            )
            for target in testbed.targets.values():
                target.pause_s = self.EVENT_S
            await lengthen_routes(testbed)
            loop = asyncio.get_running_loop()
            complete, cut_s = [], []

            async def send_streams(number):
                await asyncio.sleep(number * EVENTS * self.EVENT_S / self.CALLERS)
                async with Caller(process.port) as caller:
                    headers = {}
                    while headers.get("connection") != "close":
                        sent_s = loop.time()
                        caller.send("/once/a", **PROMPT)
                        try:
                            status, headers, body = await caller.read()
                        except (asyncio.IncompleteReadError, ConnectionError):
                            cut_s.append(sent_s)
                            return
                        assert (status, body == STREAM) in [(200, True), (503, False)]
                        complete.append(status)

            try:
                await process.start()
                tasks = [
                    asyncio.ensure_future(send_streams(number))
                    for number in range(self.CALLERS)
                ]
                await wait_until(lambda: len(complete) >= self.CALLERS)
                process.child.send_signal(signal.SIGTERM)
                stopped_s = loop.time()
                await asyncio.gather(*tasks)
                assert await process.child.wait() == 0
            finally:
                await process.stop()
            assert [at for at in cut_s if at > stopped_s + self.CLOSING_S] == []
            assert 503 in complete

        play(scenario)
