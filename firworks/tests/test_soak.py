"""The soak's own checks, and one short run of it with real processes."""

import asyncio
import re
from random import Random
from types import SimpleNamespace

import pytest

from bench.soak.__main__ import list_seeds, soak
from bench.soak.callers import KINDS, STREAMS, Attempt
from bench.soak.faults import FaultPlan
from bench.soak.gateways import (
    KILLED,
    PAUSED,
    RESUMED,
    STARTED,
    TERMINATED,
    GatewayProcess,
)
from bench.soak.limits import check_limits
from bench.soak.notices import check_ends, check_notices
from bench.soak.promises import (
    check_allowed,
    check_answer,
    check_asked,
    check_leaving,
    check_loss,
    check_runs,
    check_time,
    check_version,
)
from bench.soak.proxies import CUT_DOWN, RESET, SILENT, LoopbackProxy, reset
from bench.soak.site import OTHER_KEY
from firworks.standins.platform_targets import STAMP, Run
from firworks.standins.web import LOOPBACK
from firworks.tests.gateway_testbed import KEY

KIND = {kind.name: kind for kind in KINDS}
SHORT_SEED = 1
SHORT_LENGTH_S = 5.0


def make_attempt(name="book", **changes):
    """Return an attempt that got its whole answer."""
    attempt = Attempt("c1-1", KIND[name], KEY, "gateway-1", 100.0)
    attempt.ended_s = 100.5
    attempt.status = 200
    attempt.whole = True
    attempt.echoed = ("c1-1", STAMP)
    attempt.answer = attempt.kind.make_answers(attempt.line)[0]
    for field, value in changes.items():
        setattr(attempt, field, value)
    return attempt


def make_run(attempt, time_s=100.1, account="club"):
    """Return the run of an attempt."""
    headers = {"x-request-id": attempt.request_id, "x-tenant": account}
    line = f"{attempt.line} HTTP/1.1"
    return Run(time_s, "loans-1", line, headers, attempt.body)


def make_gateway(tmp_path, events=()):
    """Return a gateway process that was never started."""
    gateway = GatewayProcess({"name": "gateway-1"}, tmp_path, lambda: 0.0)
    gateway.events += events
    return gateway


def make_plan(spans=()):
    """Return the record of some faults."""
    plan = FaultPlan(None, Random(1))
    plan.spans += spans
    return plan


class TestPromises:
    def test_a_whole_answer_keeps_all(self, tmp_path):
        attempt = make_attempt()
        run, gateway = make_run(attempt), make_gateway(tmp_path)
        assert not check_answer(attempt) and not check_runs(attempt, [run])
        assert not check_time(attempt, gateway) and not check_asked(run, attempt)

    @pytest.mark.parametrize(
        "changes",
        [
            {"answer": b"answer to another"},
            {"answer": b""},
            {"echoed": ("c1-2", STAMP)},
            {"echoed": ("c1-1", None)},
        ],
    )
    def test_an_answer_that_is_not_the_requests_is_found(self, changes):
        assert check_answer(make_attempt(**changes))

    def test_a_stream_that_lacks_an_event_is_found(self):
        assert not check_answer(make_attempt("rules"))
        lacking = re.sub(rb"id: 3.*?\n\n", b"", STREAMS[0], flags=re.S)
        assert check_answer(make_attempt("rules", answer=lacking))

    def test_a_stream_of_several_versions_is_found(self):
        events = [stream.split(b"\n\n") for stream in STREAMS]
        for whole in (True, False):
            joined = b"\n\n".join([*events[0][:2], *events[1][2 : 6 if whole else 4]])
            broken = make_attempt("rules", answer=joined, whole=whole)
            assert check_version(broken)
            begun = b"\n\n".join(events[1][:3])
            assert not check_version(make_attempt("rules", answer=begun, whole=whole))

    def test_a_second_run_is_found(self):
        attempt = make_attempt()
        runs = [make_run(attempt), make_run(attempt)]
        assert check_runs(attempt, runs)
        assert not check_runs(make_attempt("stock"), runs)

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_an_untrue_refusal_is_found(self, status):
        attempt = make_attempt(status=status, echoed=("c1-1", None))
        assert check_runs(attempt, [make_run(attempt)])
        assert not check_runs(attempt, [])

    def test_a_late_end_is_found_unless_its_gateway_stood_still(self, tmp_path):
        attempt = make_attempt(ended_s=106.0)
        assert check_time(attempt, make_gateway(tmp_path))
        paused = [(1.0, STARTED), (99.0, PAUSED), (104.0, RESUMED)]
        assert not check_time(attempt, make_gateway(tmp_path, paused))
        paused[2] = (99.2, RESUMED)
        assert not check_time(attempt, make_gateway(tmp_path, paused))
        early = [(1.0, STARTED), (2.0, PAUSED), (3.0, RESUMED)]
        assert check_time(attempt, make_gateway(tmp_path, early))

    def test_a_loss_in_a_drain_is_found_and_one_in_a_kill_is_not(self, tmp_path):
        attempt = make_attempt(status=None, whole=False, error="closed")
        runs, plan = [make_run(attempt)], make_plan()
        drained = make_gateway(tmp_path, [(1.0, STARTED), (99.0, TERMINATED)])
        assert check_loss(attempt, runs, drained, plan)
        assert not check_loss(attempt, [], drained, plan)
        killed = make_gateway(tmp_path, [(1.0, STARTED), (100.2, KILLED)])
        assert not check_loss(attempt, runs, killed, plan)
        harmed = make_plan([(99.0, 100.2, "target", "loans-1 reset")])
        assert not check_loss(attempt, runs, drained, harmed)

    @pytest.mark.parametrize(
        "changes", [{"line": "POST /book/x HTTP/1.1"}, {"body": b"z"}, {"account": "o"}]
    )
    def test_a_request_that_was_changed_is_found(self, changes):
        attempt = make_attempt()
        run = make_run(attempt)
        for field, value in changes.items():
            setattr(run, field, value)
        assert check_asked(run, attempt)
        assert check_asked(run, None)

    def test_a_run_at_another_service_is_found(self):
        attempt = make_attempt()
        run = make_run(attempt)
        run.target_id = "repair-2"
        assert check_asked(run, attempt)

    def test_work_for_a_target_that_left_is_found(self):
        run = make_run(make_attempt(), time_s=105.0)
        assert check_leaving(run, {"loans-1": 101.0}, make_plan())
        assert not check_leaving(run, {"loans-1": 103.0}, make_plan())
        away = make_plan([(100.0, 102.0, "store", "down")])
        assert not check_leaving(run, {"loans-1": 101.0}, away)

    def check_allowed(self, tmp_path, name, changes, status=200, spans=()):
        attempt = make_attempt(name, key=OTHER_KEY, status=status)
        runs = [make_run(attempt)] if status == 200 else []
        gateway, plan = make_gateway(tmp_path), make_plan(spans)
        return check_allowed(attempt, runs, gateway, plan, changes)

    def test_a_run_with_a_key_that_was_taken_away_is_found(self, tmp_path):
        changes = [(1.0, True, True), (95.0, True, False)]
        assert self.check_allowed(tmp_path, "book", changes)
        assert not self.check_allowed(tmp_path, "book", [*changes, (99.0, True, True)])
        late = [(1.0, True, True), (98.0, True, False)]
        assert not self.check_allowed(tmp_path, "book", late)
        away = [(96.0, 97.0, "store", "down")]
        assert not self.check_allowed(tmp_path, "book", changes, spans=away)

    def test_a_run_on_a_route_that_is_gone_is_found(self, tmp_path):
        changes = [(1.0, True, True), (95.0, False, True)]
        assert self.check_allowed(tmp_path, "open", changes)
        assert not self.check_allowed(tmp_path, "book", changes)

    @pytest.mark.parametrize("status", [401, 404])
    def test_a_denial_of_what_is_allowed_is_found(self, tmp_path, status):
        changes = [(1.0, True, True)]
        assert self.check_allowed(tmp_path, "book", changes, status)
        assert not self.check_allowed(
            tmp_path, "book", [*changes, (99.0, False, False)], status
        )


class TestLoopbackProxy:
    async def echo(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def open(self):
        server = await asyncio.start_server(self.echo, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        proxy = LoopbackProxy(f"{LOOPBACK}:{port}")
        await proxy.start()
        return server, proxy

    async def ask(self, proxy, data):
        host, port = proxy.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        return reader, writer

    def test_it_passes_and_harms(self):
        async def scenario():
            server, proxy = await self.open()
            reader, writer = await self.ask(proxy, b"one")
            assert await reader.readexactly(3) == b"one"
            proxy.set_fault(SILENT)
            proxy.set_fault("")
            # The old connection stays silent, a new one works.
            writer.write(b"lost")
            other, _ = await self.ask(proxy, b"two")
            assert await other.readexactly(3) == b"two"
            assert not reader._buffer
            proxy.set_fault(CUT_DOWN)
            cut, cut_writer = await self.ask(proxy, b"three")
            cut_writer.write_eof()
            proxy.set_fault(RESET)
            with pytest.raises(ConnectionError):
                await other.readexactly(1)
            assert not cut._buffer
            await proxy.stop()
            server.close()

        asyncio.run(scenario())

    def test_a_reset_of_the_server_reaches_the_client(self):
        """A client may take an orderly close for the end of a response."""

        async def scenario():
            async def serve(reader, writer):
                writer.write(b"part")
                await writer.drain()
                await asyncio.sleep(0.05)
                reset(writer)

            server = await asyncio.start_server(serve, LOOPBACK, 0)
            port = server.sockets[0].getsockname()[1]
            proxy = LoopbackProxy(f"{LOOPBACK}:{port}")
            await proxy.start()
            host, port = proxy.address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            assert await reader.readexactly(4) == b"part"
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()
            await proxy.stop()
            server.close()

        asyncio.run(scenario())


class TestSoak:
    def test_a_short_run_breaks_no_promise(self, tmp_path):
        violations, counts = asyncio.run(soak(tmp_path, SHORT_SEED, SHORT_LENGTH_S, 2))
        assert not violations
        assert counts["200"] > 0

    def test_seeds_that_failed_name_their_cause(self):
        assert all(case["cause"] for case in list_seeds())


class TestEnds:
    """Requests that end targets, as the soak's targets see them."""

    def check(self, tmp_path, reached, events=(), spans=()):
        gateway = make_gateway(tmp_path, events)
        site = SimpleNamespace(targets={"a": SimpleNamespace(reached=reached)})
        plan = FaultPlan(site, Random(1))
        plan.spans = list(spans)
        sent = {name: (gateway.name, time_s) for time_s, name in reached}
        return check_ends(sent, site, plan, {gateway.name: gateway})

    def make_reached(self, late):
        """Return three ends and some requests that come later."""
        times = [100.0, 100.1, 100.2, *(110.0 + number for number in range(late))]
        return [(time_s, f"deadly-{number}") for number, time_s in enumerate(times)]

    def test_three_more_are_allowed(self, tmp_path):
        assert self.check(tmp_path, self.make_reached(3)) == []
        assert len(self.check(tmp_path, self.make_reached(4))) == 1

    def test_a_pause_that_began_before_and_ended_within_the_time_is_excused(
        self, tmp_path
    ):
        reached = self.make_reached(4)
        events = [(106.9, PAUSED), (109.9, RESUMED)]
        assert self.check(tmp_path, reached, events) == []
        events = [(103.0, PAUSED), (106.9, RESUMED)]
        assert len(self.check(tmp_path, reached, events)) == 1

    def test_a_gateway_that_was_disturbed_is_excused(self, tmp_path):
        reached = self.make_reached(4)
        assert self.check(tmp_path, reached, [(109.0, KILLED)]) == []
        span = (108.0, 109.0, "way to store", "gateway-1")
        assert self.check(tmp_path, reached, spans=[span]) == []


class TestNotices:
    """What targets said of themselves, and what arrived afterwards."""

    def check(self, tmp_path, header, value, arrivals, events=()):
        gateway = make_gateway(tmp_path, events)
        told = [(100.0, "first", header, value)]
        arrivals = [(99.9, "first"), *arrivals]
        site = SimpleNamespace(list_announced=lambda: [("loans-1", arrivals, told)])
        sent = {name: (gateway.name, time_s) for time_s, name in arrivals}
        gateways = {gateway.name: gateway}
        return check_notices(sent, site, FaultPlan(site, Random(1)), gateways)

    @pytest.mark.parametrize(("time_s", "broken"), [(101.9, 0), (102.1, 1)])
    def test_one_that_leaves_gets_nothing_after_the_limit(
        self, tmp_path, time_s, broken
    ):
        found = self.check(tmp_path, "Server-Leaving", "1", [(time_s, "late")])
        assert len(found) == broken

    @pytest.mark.parametrize(("count", "broken"), [(2, 0), (3, 1)])
    def test_one_at_rest_gets_two_at_the_most(self, tmp_path, count, broken):
        arrivals = [(101.0 + number / 10, f"r{number}") for number in range(count)]
        assert len(self.check(tmp_path, "Retry-After", "4", arrivals)) == broken

    def test_what_comes_at_once_or_after_the_rest_is_allowed(self, tmp_path):
        arrivals = [(100.4, "a"), (100.45, "b"), (100.49, "c"), (104.1, "d")]
        assert self.check(tmp_path, "Retry-After", "4", arrivals) == []

    @pytest.mark.parametrize("event", [PAUSED, STARTED])
    def test_a_gateway_that_paused_or_restarted_is_excused(self, tmp_path, event):
        arrivals, events = [(103.0, "late")], [(101.0, event)]
        assert self.check(tmp_path, "Server-Leaving", "1", arrivals, events) == []

    def test_a_limit_is_not_taken_for_leaving(self, tmp_path):
        assert self.check(tmp_path, "Server-Limit", "1", [(104.0, "late")]) == []


class TestLimits:
    """What targets with a limit got from gateways that had heard of it."""

    def check(self, tmp_path, count, events=(), spans=(), known=True, limit="1"):
        gateway = make_gateway(tmp_path, events)
        told = [
            (100.0 + number, f"told-{number}", "Server-Limit", limit)
            for number in range(12)
        ]
        arrivals = [(time_s - 0.1, name) for time_s, name, _, _ in told[:1]]
        arrivals += [(105.0 + number / 100, f"r{number}") for number in range(count)]
        site = SimpleNamespace(list_announced=lambda: [("loans-1", arrivals, told)])
        plan = FaultPlan(site, Random(1))
        plan.spans = list(spans)
        names = [name for _, name, _, _ in told]
        names += [name for _, name in arrivals] if known else []
        sent = {name: (gateway.name, 100.0) for name in names}
        return check_limits(sent, site, plan, {gateway.name: gateway})

    @pytest.mark.parametrize(("count", "broken"), [(11, 0), (12, 1)])
    @pytest.mark.parametrize("known", [True, False])
    def test_more_than_the_limit_allows_is_found(self, tmp_path, count, broken, known):
        assert len(self.check(tmp_path, count, known=known)) == broken

    def test_a_higher_limit_allows_more(self, tmp_path):
        assert self.check(tmp_path, 35, limit="5") == []
        assert len(self.check(tmp_path, 36, limit="5")) == 1

    @pytest.mark.parametrize("known", [True, False])
    @pytest.mark.parametrize("event", [PAUSED, STARTED, KILLED, TERMINATED])
    def test_a_disturbed_gateway_is_excused(self, tmp_path, event, known):
        events = [(101.0, event)]
        assert self.check(tmp_path, 20, events, known=known) == []

    def test_a_target_whose_way_was_harmed_is_excused(self, tmp_path):
        span = (104.0, 105.0, "way to target", "loans-1 silent")
        assert self.check(tmp_path, 20, spans=[span]) == []
