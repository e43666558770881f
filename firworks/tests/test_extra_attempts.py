"""Tests of extra attempts of slow requests, by gateways on loopback."""

import asyncio

import pytest

from firworks.gateway.extra_attempts import CANCELLED, FAILED, NOT_SENT, WON
from firworks.kernel.attempts.conditions import SUSPECTED
from firworks.kernel.attempts.latencies import MIN_SAMPLES
from firworks.kernel.attempts.policy import BUSY, MAX_ATTEMPTS, NO_TARGET, SHARE
from firworks.kernel.forwarding.features import make_fingerprint
from firworks.standins.platform_targets import EVENTS, PlatformEngine, PlatformTarget
from firworks.tests.gateway_testbed import (
    PROMPT,
    make_configuration,
    make_route,
    play,
    run_testbed,
    wait_until,
)
from firworks.tests.gateway_testbed import run as run_test

USUAL_S = 0.05
# Several checks of an extra attempt pass before this deadline.
SHORT_DEADLINE = {"X-Deadline-Ms": "600"}
# One is kept to resume a stream.
STREAM_ATTEMPTS = 3
# Kinds of the requests to the testbed's routes.
STOCK = ("loans", "stock", 0)
BOOK = ("loans", "book", 0)
RULES = ("engines", "rules", 3)
ONCE = ("engines", "once", 3)


def play_extra(scenario, share=1.0):
    """Run ``scenario(testbed, gateway)`` with a gateway that makes extra attempts."""

    async def played():
        async with run_testbed(gateways=0) as testbed:
            testbed.store.put_configuration(make_stream_configuration(1))
            gateway = await testbed.add_gateway("gateway-1", extra_attempts_share=share)
            for kind in (STOCK, BOOK, RULES, ONCE):
                prime(gateway, kind)
            await scenario(testbed, gateway)

    run_test(played)


def make_stream_configuration(version):
    """Return the testbed's configuration with extra attempts for resumable streams."""
    table = make_configuration(version)
    (route,) = [one for one in table["routes"] if one["name"] == "rules"]
    route["max-attempts"] = STREAM_ATTEMPTS
    return table


def prime(gateway, kind):
    """Let a gateway have seen requests of a kind that took ``USUAL_S``."""
    policy, now = gateway.extra_attempts, gateway.clock()
    for _ in range(MIN_SAMPLES):
        policy.record_request(kind[0])
        attempt = policy.begin(kind[0], kind, now - USUAL_S)
        policy.end(attempt, True, now)


def list_targets(testbed, service):
    """Return the targets (list) of a service."""
    targets = testbed.targets.values()
    return [target for target in targets if target.service == service]


def close_gates(testbed, service="loans"):
    """Give each target of a service a gate of its own that holds its responses."""
    for target in list_targets(testbed, service):
        target.gate = asyncio.Event()


def start_request(testbed, path="/stock/a", method="GET", **headers):
    """Start to send a request; return its task."""
    return asyncio.ensure_future(testbed.send_request(path, method, **headers))


def list_runs(testbed, service="loans"):
    """Return the targets (list) that run, or ran, a request, in order."""
    runs = [run for one in list_targets(testbed, service) for run in one.runs]
    runs.sort(key=lambda run: run.time_s)
    return [testbed.targets[run.target_id] for run in runs]


async def wait_for_runs(testbed, count, service="loans"):
    """Wait until targets have begun some requests; return these targets."""
    await wait_until(lambda: len(list_runs(testbed, service)) >= count)
    return list_runs(testbed, service)


def count_extra(gateway, outcome, service="loans"):
    """Return the number of extra attempts with an outcome."""
    return read(gateway, "extra_attempts_total", service, outcome=outcome)


def count_refused(gateway, reason, service="loans"):
    """Return how often an extra attempt was refused for a reason."""
    return read(gateway, "extra_attempts_refused_total", service, reason=reason)


def read(gateway, name, service, **labels):
    """Return the value of a metric of a service."""
    labels = {"service": service, **labels}
    value = gateway.metrics.registry.get_sample_value(f"firworks_{name}", labels)
    return value or 0


async def check_returned(testbed, gateway, service="loans"):
    """Wait until nothing of the requests so far is counted as in progress."""
    await wait_until(lambda: not gateway.callers.in_progress)
    for target in list_targets(testbed, service):
        known = gateway.directory.find_known(target.target_id)
        assert known is None or gateway.balancer._get(known).in_flight == 0
    assert gateway.connections.buffers.shared_bytes == 0
    load = gateway.extra_attempts._loads[service]
    assert load._in_progress == 0


def is_closed(gateway, target):
    """Return whether a gateway has no connection to a target."""
    return not gateway.connections.list_open(target.address)


class TestAnswers:
    @pytest.mark.parametrize("winner", [0, 1])
    def test_the_first_answer_wins_whichever_attempt_gives_it(self, winner):
        """The loser would go on for nobody, or its answer reach another caller."""

        async def scenario(testbed, gateway):
            close_gates(testbed)
            task = start_request(testbed)
            runs = await wait_for_runs(testbed, 2)
            assert runs[0] is not runs[1]
            runs[winner].gate.set()
            status, _, body = await task
            assert (status, body) == (200, b"answer to GET /stock/a HTTP/1.1")
            loser = runs[1 - winner]
            await wait_until(lambda: is_closed(gateway, loser))
            outcome = WON if winner else CANCELLED
            assert count_extra(gateway, "begun") == count_extra(gateway, outcome) == 1
            assert read(gateway, "extra_attempts_wasted_seconds_total", "loans") > 0
            await check_returned(testbed, gateway)
            loser.gate.set()
            for number in range(4):
                _, _, body = await testbed.send_request(f"/stock/{number}")
                assert body == f"answer to GET /stock/{number} HTTP/1.1".encode()

        play_extra(scenario)

    @pytest.mark.parametrize("failed", [0, 1])
    def test_a_failure_leaves_the_other_attempt_running(self, failed):
        async def scenario(testbed, gateway):
            close_gates(testbed)
            task = start_request(testbed)
            runs = await wait_for_runs(testbed, 2)
            runs[failed].fault = "cut"
            runs[failed].gate.set()
            failures = ("attempts_failed_total", "loans")
            await wait_until(lambda: is_closed(gateway, runs[failed]))
            runs[1 - failed].gate.set()
            assert (await task)[0] == 200
            assert read(gateway, *failures, kind="broken") == 1
            assert count_extra(gateway, FAILED) == failed
            assert len(list_runs(testbed)) == 2
            await check_returned(testbed, gateway)

        play_extra(scenario)

    def test_both_fail(self):
        """More targets than max-attempts would get the request."""

        async def scenario(testbed, gateway):
            await testbed.add_target(PlatformTarget, "loans-3", "loans")
            known = gateway.directory.find_known
            await wait_until(lambda: known("loans-3") is not None)
            close_gates(testbed)
            task = start_request(testbed)
            runs = await wait_for_runs(testbed, 2)
            for target in runs:
                target.fault = "cut"
                target.gate.set()
            assert (await task)[0] == 502
            assert len(list_runs(testbed)) == 2
            failures = read(gateway, "attempts_failed_total", "loans", kind="broken")
            assert failures == 2
            await check_returned(testbed, gateway)

        play_extra(scenario)

    def test_an_error_response_is_no_answer_while_another_may_come(self):
        async def scenario(testbed, gateway):
            close_gates(testbed)
            task = start_request(testbed)
            first = (await wait_for_runs(testbed, 1))[0]
            for target in list_targets(testbed, "loans"):
                target.fault = "" if target is first else "fail"
            await wait_until(lambda: count_extra(gateway, FAILED) == 1)
            first.gate.set()
            assert (await task)[0] == 200
            await check_returned(testbed, gateway)

        play_extra(scenario)

    def test_another_failure_domain_is_preferred(self):
        async def scenario(testbed, gateway):
            far = await testbed.add_target(PlatformTarget, "loans-3", "loans", "fd-2")
            known = gateway.directory.find_known
            await wait_until(lambda: known("loans-3") is not None)
            close_gates(testbed)
            for _ in range(3):
                before = len(list_runs(testbed))
                task = start_request(testbed)
                runs = (await wait_for_runs(testbed, before + 2))[before:]
                assert (runs[0].failure_domain, runs[1]) == ("fd-1", far)
                runs[0].gate.set()
                assert (await task)[0] == 200
                runs[0].gate.clear()

        play_extra(scenario)


class TestEnds:
    def test_the_caller_leaves(self):
        async def scenario(testbed, gateway):
            close_gates(testbed)
            task = start_request(testbed)
            runs = await wait_for_runs(testbed, 2)
            task.cancel()
            await wait_until(lambda: all(is_closed(gateway, one) for one in runs))
            await check_returned(testbed, gateway)
            assert count_extra(gateway, CANCELLED) == 1

        play_extra(scenario)

    def test_the_deadline_passes(self):
        async def scenario(testbed, gateway):
            close_gates(testbed)
            task = start_request(testbed, **SHORT_DEADLINE)
            runs = await wait_for_runs(testbed, 2)
            assert (await task)[0] == 504
            await wait_until(lambda: all(is_closed(gateway, one) for one in runs))
            await check_returned(testbed, gateway)

        play_extra(scenario)

    def test_a_drain_ends_both(self):
        async def scenario(testbed, gateway):
            close_gates(testbed)
            task = start_request(testbed)
            runs = await wait_for_runs(testbed, 2)
            gateway.shutdown.deadlines.bring_forward(0.0)
            assert (await task)[0] == 504
            await wait_until(lambda: all(is_closed(gateway, one) for one in runs))
            await check_returned(testbed, gateway)

        play_extra(scenario)


class TestExclusions:
    @pytest.mark.parametrize(
        ("path", "service"), [("/book/a", "loans"), ("/once/a", "engines")]
    )
    def test_requests_that_may_not_be_repeated_are_sent_once(self, path, service):
        async def scenario(testbed, gateway):
            for target in testbed.targets.values():
                target.fault = "hang"
            headers = {**PROMPT, **SHORT_DEADLINE}
            status, _, _ = await testbed.send_request(path, "POST", **headers)
            assert status == 504
            assert len(list_runs(testbed, service)) == 1
            assert count_extra(gateway, "begun", service) == 0

        play_extra(scenario)

    async def check_refused(self, testbed, gateway, reason):
        """Check that a slow request is sent once and the reason is counted."""
        close_gates(testbed)
        assert (await testbed.send_request("/stock/a", **SHORT_DEADLINE))[0] == 504
        assert len(list_runs(testbed)) == 1
        assert count_refused(gateway, reason) >= 1
        assert count_extra(gateway, "begun") == 0
        await check_returned(testbed, gateway)

    def test_a_request_suspected_of_crashing_targets(self):
        async def scenario(testbed, gateway):
            feature = make_fingerprint("/stock/a", "club", None)
            gateway.crashes.record_ended(("loans-9", 1), [feature])
            await self.check_refused(testbed, gateway, SUSPECTED)

        play_extra(scenario)

    def test_a_service_whose_targets_refuse_work(self):
        async def scenario(testbed, gateway):
            gateway.extra_attempts.record_refusal("loans", gateway.clock())
            await self.check_refused(testbed, gateway, BUSY)

        play_extra(scenario)

    def test_max_attempts_of_the_route(self):
        async def scenario(testbed, gateway):
            table = make_configuration(2)
            table["routes"][0] = make_route("stock", "loans", **{"max-attempts": 1})
            testbed.store.put_configuration(table)
            await wait_until(lambda: gateway.configuration.version == 2)
            await self.check_refused(testbed, gateway, MAX_ATTEMPTS)

        play_extra(scenario)

    def test_a_service_with_a_single_target(self):
        async def scenario(testbed, gateway):
            gateway.directory.drop("loans-2")
            await self.check_refused(testbed, gateway, NO_TARGET)

        play_extra(scenario)

    def test_the_share_of_the_operator(self):
        async def scenario(testbed, gateway):
            await self.check_refused(testbed, gateway, SHARE)

        play_extra(scenario, share=0.01)

    def test_off_by_default(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            prime(gateway, STOCK)
            close_gates(testbed)
            status, _, _ = await testbed.send_request("/stock/a", **SHORT_DEADLINE)
            assert status == 504
            assert len(list_runs(testbed)) == 1
            text = [
                one.name for one in gateway.metrics.registry.collect() if one.samples
            ]
            assert not [name for name in text if "extra_attempts" in name]

        play(scenario)


class TestStreams:
    def test_a_stream_takes_over_before_the_first_event(self):
        async def scenario(testbed, gateway):
            for target in list_targets(testbed, "engines"):
                target.pause_s = 60.0
            task = start_request(testbed, "/rules/a", "POST", **PROMPT)
            first = (await wait_for_runs(testbed, 1, "engines"))[0]
            for target in list_targets(testbed, "engines"):
                if target is not first:
                    target.pause_s = 0.0
            status, _, body = await task
            assert (status, body.count(b"\n\n")) == (200, EVENTS)
            assert count_extra(gateway, WON, "engines") == 1
            await wait_until(lambda: is_closed(gateway, first))
            scheduler = gateway.pools._engines["engines"].scheduler
            await wait_until(lambda: not scheduler._by_job)

        play_extra(scenario)

    def test_a_stream_that_has_begun_goes_on_alone(self):
        async def scenario(testbed, gateway):
            close_gates(testbed, "engines")
            task = start_request(testbed, "/rules/a", "POST", **PROMPT)
            (target,) = await wait_for_runs(testbed, 1, "engines")
            await wait_until(lambda: gateway.callers.in_progress)
            await asyncio.sleep(10 * USUAL_S)
            target.gate.set()
            status, _, body = await task
            assert (status, body.count(b"\n\n")) == (200, EVENTS)
            assert len(list_runs(testbed, "engines")) == 1

        play_extra(scenario)

    def test_none_waits_for_an_engine(self):
        """It would queue ahead of first attempts while the engines are busy."""

        async def scenario(testbed, gateway):
            table = make_stream_configuration(2)
            engines = table["services"][1]
            table["services"][1] = {
                **engines,
                "engine": {**engines["engine"], "slots": 1},
            }
            testbed.store.put_configuration(table)
            await wait_until(lambda: gateway.configuration.version == 2)
            for target in list_targets(testbed, "engines"):
                target.fault = "hang"
            headers = {**PROMPT, **SHORT_DEADLINE}
            other = start_request(testbed, "/once/a", "POST", **headers)
            await wait_for_runs(testbed, 1, "engines")
            status, _, _ = await testbed.send_request("/rules/a", "POST", **headers)
            assert (status, (await other)[0]) == (504, 504)
            assert len(list_runs(testbed, "engines")) == 2
            assert count_extra(gateway, NOT_SENT, "engines") == 1

        play_extra(scenario)

    def test_the_last_attempt_is_kept_for_a_resumption(self):
        async def scenario(testbed, gateway):
            testbed.store.put_configuration(make_configuration(2))
            await wait_until(lambda: gateway.configuration.version == 2)
            for target in list_targets(testbed, "engines"):
                target.fault = "hang"
            headers = {**PROMPT, **SHORT_DEADLINE}
            status, _, _ = await testbed.send_request("/rules/a", "POST", **headers)
            assert status == 504
            assert len(list_runs(testbed, "engines")) == 1
            assert count_refused(gateway, MAX_ATTEMPTS, "engines") >= 1

        play_extra(scenario)

    def test_a_broken_stream_resumes_after_an_extra_attempt(self):
        async def scenario(testbed, gateway):
            await testbed.add_target(PlatformEngine, "engine-3", "engines")
            known = gateway.directory.find_known
            await wait_until(lambda: known("engine-3") is not None)
            close_gates(testbed, "engines")
            for target in list_targets(testbed, "engines"):
                target.pause_s = 60.0
            task = start_request(testbed, "/rules/a", "POST", **PROMPT)
            first = (await wait_for_runs(testbed, 1, "engines"))[0]
            others = [
                one for one in list_targets(testbed, "engines") if one is not first
            ]
            for target in others:
                target.pause_s = 0.0
            extra = (await wait_for_runs(testbed, 2, "engines"))[1]
            (third,) = [one for one in others if one is not extra]
            await wait_until(lambda: count_extra(gateway, WON, "engines"))
            extra.fault = "torn"
            for target in others:
                target.gate.set()
            status, _, body = await task
            ids = [line for line in body.splitlines() if line.startswith(b"id:")]
            assert status == 200
            assert ids == [f"id: {n}".encode() for n in range(1, EVENTS + 1)]
            assert [len(one.runs) for one in (first, extra, third)] == [1, 1, 1]

        play_extra(scenario)

    def test_a_broken_stream_still_resumes(self):
        async def scenario(testbed, gateway):
            first, other = list_targets(testbed, "engines")
            first.fault = "torn"
            for number in range(8):
                prompt = {**PROMPT, "X-Prefix-Hash": f"a{number}:40"}
                status, _, body = await testbed.send_request(
                    "/rules/a", "POST", **prompt
                )
                ids = [line for line in body.splitlines() if line.startswith(b"id:")]
                assert status == 200
                assert ids == [f"id: {n}".encode() for n in range(1, EVENTS + 1)]
            sent = [headers for _, headers, _ in other.received]
            assert any(headers.get("last-event-id") == "2" for headers in sent)

        play_extra(scenario)
