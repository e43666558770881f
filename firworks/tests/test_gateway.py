"""Tests of gateways on loopback: what callers and targets see under each fault."""

import asyncio
import json

import pytest

from firworks.gateway import followers
from firworks.gateway.process import CONFIGURATION_LONG_POLL_S
from firworks.kernel.forwarding import admission, drains, readers
from firworks.kernel.forwarding.evacuations import NO_EVACUATIONS
from firworks.kernel.forwarding.news import AskNews, TargetEntry
from firworks.kernel.forwarding.positions import ORIGIN
from firworks.kernel.forwarding.readers import StoreFacts
from firworks.kernel.pools import clients, stages
from firworks.kernel.pools.messages import PiecesMade, RequestPlaced
from firworks.platform.store import (
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    READ_TIMEOUT_MARGIN_S,
    TARGETS_TOPIC,
)
from firworks.standins.platform_targets import EVENTS, STAMP
from firworks.tests.gateway_testbed import (
    KEY,
    PROMPT,
    make_configuration,
    make_route,
    play,
    wait_until,
)


def list_requests(testbed, service):
    """Return the requests that targets of a service received: (line, headers, body)."""
    return [
        received
        for target in testbed.targets.values()
        if target.service == service
        for received in target.received
    ]


def is_scheduler(gateway, pool):
    """Return whether a gateway considers itself a pool's scheduler."""
    return gateway.roster.choose(pool) == gateway.settings.name


async def find_scheduler_and_peer(testbed, pool):
    """Wait until two gateways know each other; return a pool's scheduler, the other."""
    await wait_until(lambda: all(g.roster.count == 2 for g in testbed.gateways))
    one, other = testbed.gateways
    return (one, other) if is_scheduler(one, pool) else (other, one)


def set_fault(testbed, service, fault, count=2):
    """Inject a fault (str) into the first targets of a service; "" removes it."""
    for target in list(testbed.targets.values()):
        if target.service == service and count:
            target.fault = fault
            count -= 1


class TestForwarding:
    def test_a_request_reaches_its_service_unchanged(self):
        async def scenario(testbed):
            body = b"x" * 50_000
            status, headers, answer = await testbed.send_request(
                "/stock/a%2fb?c=%20d", "POST", body=body
            )
            assert (status, headers["X-Server-Stamp"]) == (200, STAMP)
            ((line, sent, read),) = list_requests(testbed, "loans")
            assert line == "POST /stock/a%2fb?c=%20d HTTP/1.1"
            assert (read, sent["host"], sent["x-tenant"]) == (
                body,
                "desk.example",
                "club",
            )
            assert "authorization" not in sent
            assert answer == b"answer to " + line.encode()
            assert 0 < int(sent["x-deadline-ms"]) <= 4_000

        play(scenario)

    def test_system_headers_of_callers_are_removed(self):
        async def scenario(testbed):
            headers = {
                "X-Tenant": "bank",
                "X-Kv-Hold": "h",
                "X-Pin-Ms": "1",
                "X-Kv-Backup": "1.2.3.4:5",
                "Kv-From": "a",
                "Kv-Fetch": "b",
                "X-Priority-Class": "0",
                "X-Expect-Instance": "other",
                "X-Inputs": "i",
                "Connection": "X-Secret",
                "X-Secret": "s",
                "X-Kept": "yes",
            }
            assert (await testbed.send_request("/stock/a", **headers))[0] == 200
            ((_, sent, _),) = list_requests(testbed, "loans")
            assert sent["x-tenant"] == "club" and sent["x-kept"] == "yes"
            assert sent["x-expect-instance"] in testbed.targets
            dropped = set(map(str.lower, headers)) - {"x-tenant", "x-kept"}
            dropped -= {"x-expect-instance"}
            assert not dropped & set(sent)

        play(scenario)

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [
            ("/unknown/a", KEY, 404),
            ("/stock/a", "bad", 401),
            ("/stock/a", None, 401),
            ("/open/a", None, 200),
            ("/stock/", KEY, 200),
        ],
    )
    def test_routes_and_keys(self, path, key, status):
        async def scenario(testbed):
            assert (await testbed.send_request(path, key=key))[0] == status

        play(scenario)

    def test_a_body_over_the_limit_is_refused(self):
        async def scenario(testbed):
            answer = await testbed.send_request("/stock/a", "POST", body=b"x" * 100_001)
            assert answer[0] == 413
            assert not list_requests(testbed, "loans")

        play(scenario)

    def test_a_response_without_a_length_ends_at_a_clean_close(self):
        async def scenario(testbed):
            set_fault(testbed, "loans", "unframed")
            status, _, body = await testbed.send_request("/stock/a")
            assert (status, body) == (200, b"answer to GET /stock/a HTTP/1.1")

        play(scenario)


class TestFailures:
    @pytest.mark.parametrize("fault", ["reset", "cut", "foreign", "fail", "busy"])
    def test_idempotent_requests_are_retried_on_another_target(self, fault):
        async def scenario(testbed):
            set_fault(testbed, "loans", fault, count=1)
            answers = [await testbed.send_request("/stock/a") for _ in range(4)]
            assert [answer[0] for answer in answers] == [200] * 4

        play(scenario)

    @pytest.mark.parametrize(
        ("fault", "status"),
        [("reset", 502), ("cut", 502), ("foreign", 502), ("busy", 503)],
    )
    def test_non_idempotent_requests_are_sent_once(self, fault, status):
        async def scenario(testbed):
            set_fault(testbed, "loans", fault)
            found, headers, _ = await testbed.send_request(
                "/book/a", "POST", body=b"loan"
            )
            assert found == status and "X-Server-Stamp" not in headers
            assert ("Retry-After" in headers) == (status == 503)
            assert len(list_requests(testbed, "loans")) == 1

        play(scenario)

    def test_an_error_response_of_a_target_is_forwarded(self):
        async def scenario(testbed):
            set_fault(testbed, "loans", "fail")
            status, headers, body = await testbed.send_request(
                "/book/a", "POST", body=b"loan"
            )
            assert (status, body) == (500, b"failed")
            assert headers["X-Server-Stamp"] == STAMP

        play(scenario)

    def test_an_unsolicited_response_is_discarded(self):
        async def scenario(testbed):
            set_fault(testbed, "loans", "surplus")
            for number in range(6):
                path = f"/stock/{number}"
                status, _, body = await testbed.send_request(path)
                assert (status, body) == (
                    200,
                    f"answer to GET {path} HTTP/1.1".encode(),
                )

        play(scenario)

    @pytest.mark.parametrize("fault", ["joined", "stray"])
    def test_a_response_next_to_stray_bytes_is_not_lost(self, fault):
        async def scenario(testbed):
            set_fault(testbed, "loans", fault)
            for number in range(4):
                path = f"/book/{number}"
                status, _, body = await testbed.send_request(path, "POST", body=b"loan")
                expected = f"answer to POST {path} HTTP/1.1".encode()
                assert (status, body) == (200, expected)
            assert len(list_requests(testbed, "loans")) == 4

        play(scenario)

    def test_an_early_response_leaves_no_bytes_for_the_next_request(self):
        async def scenario(testbed):
            set_fault(testbed, "loans", "early")
            assert (await testbed.send_request("/book/a", "POST", body=b"y" * 90_000))[
                0
            ] == 503
            set_fault(testbed, "loans", "")
            for _ in range(4):
                assert (await testbed.send_request("/stock/b"))[0] == 200
            lines = {line for line, _, _ in list_requests(testbed, "loans")}
            assert lines == {"GET /stock/b HTTP/1.1"}

        play(scenario)

    def test_a_request_still_unanswered_at_its_deadline_gets_504(self):
        async def scenario(testbed):
            set_fault(testbed, "loans", "hang")
            status, _, _ = await testbed.send_request(
                "/book/a", "POST", **{"X-Deadline-Ms": "200"}
            )
            assert status == 504

        play(scenario)

    def test_a_request_is_cancelled_when_its_caller_disconnects(self):
        async def scenario(testbed):
            set_fault(testbed, "loans", "hang")
            task = asyncio.ensure_future(testbed.send_request("/stock/a"))
            targets = testbed.targets.values()
            await wait_until(lambda: any(target.open_requests for target in targets))
            task.cancel()
            await wait_until(lambda: not testbed.gateways[0].callers.in_progress)

        play(scenario)

    def test_a_request_that_crashes_targets_is_quarantined_by_all_gateways(self):
        async def scenario(testbed):
            statuses = []
            for number in range(8):
                for name in ("loans-1", "loans-2"):
                    target = testbed.targets[name]
                    port = int(target.address.rpartition(":")[2])
                    target.fault = "reset"
                    target.target_id = f"{name}-{number}"
                    if target._server is None or not target._server.is_serving():
                        await target.start(port)
                    target._server.close()
                    for writer in list(target._writers):
                        writer.transport.abort()
                gateway = testbed.gateways[number % 2]
                statuses.append(
                    (await testbed.send_request("/book/poison", "POST", gateway))[0]
                )
            assert statuses[-1] == 503
            assert len(list_requests(testbed, "loans")) <= 6

        play(scenario, gateways=2)


class TestStreams:
    def test_events_arrive_whole_and_in_order(self):
        async def scenario(testbed):
            status, _, body = await testbed.send_request(
                "/rules/a", "POST", body=b"p", **PROMPT
            )
            assert status == 200 and body.count(b"\n\n") == EVENTS
            ((_, sent, _),) = list_requests(testbed, "engines")
            assert (sent["x-priority-class"], sent["x-token-counts"]) == ("1", "40,20")

        play(scenario)

    def test_a_broken_stream_resumes_on_another_engine(self):
        async def scenario(testbed):
            set_fault(testbed, "engines", "torn", count=1)
            # Prompts with different prefixes are routed to different engines.
            for number in range(8):
                prompt = {**PROMPT, "X-Prefix-Hash": f"a{number}:40"}
                status, _, body = await testbed.send_request(
                    "/rules/a", "POST", **prompt
                )
                ids = [line for line in body.splitlines() if line.startswith(b"id:")]
                assert status == 200
                assert ids == [f"id: {n}".encode() for n in range(1, EVENTS + 1)]
            resumed = [
                headers["last-event-id"]
                for _, headers, _ in list_requests(testbed, "engines")
                if "last-event-id" in headers
            ]
            assert resumed and set(resumed) == {"2"}

        play(scenario)

    def test_a_broken_stream_that_cannot_resume_does_not_look_complete(self):
        async def scenario(testbed):
            set_fault(testbed, "engines", "torn")
            with pytest.raises(Exception, match="ayload|isconnected|losed"):
                await testbed.send_request("/once/a", "POST", **PROMPT)
            assert len(list_requests(testbed, "engines")) == 1

        play(scenario)

    def test_a_stalled_stream_resumes_on_another_engine(self, monkeypatch):
        monkeypatch.setattr(admission, "STREAM_TIMEOUT_S", 0.5)
        monkeypatch.setattr(admission, "STREAM_TIMEOUT_GOALS", 0.0)

        async def scenario(testbed):
            set_fault(testbed, "engines", "stalled", count=1)
            for number in range(8):
                prompt = {**PROMPT, "X-Prefix-Hash": f"a{number}:40"}
                status, _, body = await testbed.send_request(
                    "/rules/a", "POST", **prompt
                )
                ids = [line for line in body.splitlines() if line.startswith(b"id:")]
                assert status == 200
                assert ids == [f"id: {n}".encode() for n in range(1, EVENTS + 1)]
            resumed = [
                headers
                for _, headers, _ in list_requests(testbed, "engines")
                if headers.get("last-event-id") == "2"
            ]
            assert resumed

        play(scenario)

    def test_a_stalled_stream_that_cannot_resume_is_aborted(self, monkeypatch):
        monkeypatch.setattr(admission, "STREAM_TIMEOUT_S", 0.3)
        monkeypatch.setattr(admission, "STREAM_TIMEOUT_GOALS", 0.0)

        async def scenario(testbed):
            set_fault(testbed, "engines", "stalled")
            with pytest.raises(Exception, match="ayload|isconnected|losed"):
                await testbed.send_request("/once/a", "POST", **PROMPT)
            targets = testbed.targets.values()
            await wait_until(lambda: not any(t.open_requests for t in targets))

        play(scenario)

    def test_a_slow_stream_is_not_cut(self, monkeypatch):
        monkeypatch.setattr(admission, "STREAM_TIMEOUT_S", 0.4)
        monkeypatch.setattr(admission, "STREAM_TIMEOUT_GOALS", 0.0)

        async def scenario(testbed):
            for target in testbed.targets.values():
                target.pause_s = 0.15
            status, _, body = await testbed.send_request("/rules/a", "POST", **PROMPT)
            assert (status, body.count(b"\n\n")) == (200, EVENTS)
            assert len(list_requests(testbed, "engines")) == 1

        play(scenario)

    def test_an_engine_that_is_down_is_not_tried_again_at_once(self):
        async def scenario(testbed):
            await testbed.targets["engine-1"].stop()
            answers = [
                await testbed.send_request("/rules/a", "POST", **PROMPT)
                for _ in range(8)
            ]
            assert {answer[0] for answer in answers} == {200}
            # One that failed, and one to the other engine that is kept open.
            assert testbed.gateways[0].connections.opened <= 3

        play(scenario)

    def test_a_caller_may_resume(self):
        async def scenario(testbed):
            answer = await testbed.send_request(
                "/rules/a", "POST", **PROMPT, **{"Last-Event-Id": "3"}
            )
            assert answer[2].startswith(b"id: 4\n")

        play(scenario)


class TestStages:
    HEADERS = {**PROMPT, "X-Pieces": "2,3", "X-Piece-Key": "k"}

    async def start_hanging_request(self, testbed):
        """Send a request whose stage calls hang; it enters at the other gateway.

        Returns:
            tuple: The scheduler, the other gateway and the task of the request.
        """
        set_fault(testbed, "repair", "hang")
        scheduler, client = await find_scheduler_and_peer(testbed, "repair")
        request = asyncio.ensure_future(
            testbed.send_request("/advice/a", "POST", client, b"", **self.HEADERS)
        )
        await wait_until(lambda: scheduler.pools.busy)
        return scheduler, client, request

    def test_a_broken_stream_resumes_with_results_of_its_own(self):
        async def scenario(testbed):
            table = make_configuration(2)
            for route in table["routes"]:
                route["resumable"] = route["name"] == "advice"
            testbed.store.put_configuration(table)
            gateway = testbed.gateways[0]
            await wait_until(lambda: gateway.configuration.version == 2)
            set_fault(testbed, "engines", "torn", count=1)
            for number in range(8):
                prompt = {**self.HEADERS, "X-Prefix-Hash": f"a{number}:40"}
                status, _, body = await testbed.send_request(
                    "/advice/a", "POST", **prompt
                )
                assert status == 200 and body.count(b"id:") == EVENTS
            handles = {}
            for _, headers, _ in list_requests(testbed, "engines"):
                if "x-inputs" in headers:
                    inputs = set(headers["x-inputs"].split(","))
                    handles.setdefault(headers["x-request-id"], []).append(inputs)
            resumed = [sent for sent in handles.values() if len(sent) == 2]
            assert resumed
            assert not any(first & second for first, second in resumed)

        play(scenario)

    def test_results_reach_the_engine_and_are_freed(self):
        async def scenario(testbed):
            status, _, _ = await testbed.send_request(
                "/advice/a", "POST", **self.HEADERS
            )
            assert status == 200
            ((_, sent, _),) = list_requests(testbed, "engines")
            handles = sent["x-inputs"].split(",")
            assert len(handles) == 3
            calls = [
                item
                for line, _, body in list_requests(testbed, "repair")
                if line.startswith("POST /stage-run")
                for item in json.loads(body)["items"]
            ]
            first = [item for item in calls if item["stage"] == 0]
            second = [item for item in calls if item["stage"] == 1]
            assert [item["key"] for item in first] == ["k", "k"]
            assert all(len(item["inputs"]) == 2 for item in second)
            made = {handle for item in second for handle in item["inputs"]}
            stages = [t for t in testbed.targets.values() if t.service == "repair"]
            await wait_until(
                lambda: made | set(handles) <= {h for t in stages for h in t.freed}
            )

        play(scenario)

    @pytest.mark.parametrize("lost", [PiecesMade, RequestPlaced])
    def test_a_result_lost_on_a_reset_connection_is_sent_again(self, lost):
        async def scenario(testbed):
            pool = "repair" if lost is PiecesMade else "engines"
            scheduler, client = await find_scheduler_and_peer(testbed, pool)
            peers = scheduler.pools.peers
            send, dropped = peers.send, []

            def lose_first(peer, record):
                if isinstance(record, lost) and not dropped:
                    dropped.append(record)
                    link = peers._adapter._links[peer]
                    link._connection.transport.abort()
                else:
                    send(peer, record)

            peers.send = lose_first
            status, _, _ = await testbed.send_request(
                "/advice/a", "POST", client, **self.HEADERS
            )
            assert status == 200 and dropped

        play(scenario, gateways=2)

    def test_jobs_of_a_gateway_that_died_are_dropped(self):
        async def scenario(testbed):
            scheduler, client, request = await self.start_hanging_request(testbed)
            # The client crashes: it sends nothing more, and its connections close.
            client.pools.peers.send = lambda peer, record: None
            await client.pools.peers.stop()
            await wait_until(lambda: not scheduler.pools.busy)
            request.cancel()

        play(scenario, gateways=2)

    def test_jobs_outlive_a_reset_of_the_connection_to_their_gateway(self):
        async def scenario(testbed):
            scheduler, client, request = await self.start_hanging_request(testbed)
            scheduler.pools.sync_jobs(client.settings.name)
            assert not scheduler.pools._owners.pop_orphaned_jobs(
                scheduler.clock() + 10.0
            )
            request.cancel()

        play(scenario, gateways=2)

    def test_a_live_gateway_resubmits_dropped_jobs(self):
        async def scenario(testbed):
            scheduler, client, request = await self.start_hanging_request(testbed)
            set_fault(testbed, "repair", "")
            # A peer reports the entry of an earlier incarnation late.
            name = client.settings.name
            scheduler.roster.note_incarnation(name, f"{name}.earlier")
            scheduler.pools.note_member(name)
            assert (await request)[0] == 200

        play(scenario, gateways=2)

    def test_batches_form_across_gateways(self, monkeypatch):
        # Disables the timeouts: a stall of the machine would look like a failure of a
        # scheduler or target, and pieces would run twice.
        monkeypatch.setattr(clients, "ACK_TIMEOUT_S", 3600.0)
        monkeypatch.setattr(clients, "PING_TIMEOUT_S", 3600.0)
        monkeypatch.setattr(stages, "OVERDUE_MARGIN_S", 3600.0)

        async def scenario(testbed):
            await wait_until(lambda: all(g.roster.count == 3 for g in testbed.gateways))
            requests = [
                testbed.send_request(
                    "/advice/a", "POST", testbed.gateways[i % 3], **self.HEADERS
                )
                for i in range(12)
            ]
            answers = await asyncio.gather(*requests)
            assert {answer[0] for answer in answers} == {200}
            stages = [t for t in testbed.targets.values() if t.service == "repair"]
            batches = [size for target in stages for size in target.batches]
            assert sum(batches) == 12 * 5
            assert len(batches) < 24

        play(scenario, gateways=3)

    def test_lost_inputs_end_the_request_as_not_run(self):
        async def scenario(testbed):
            set_fault(testbed, "repair", "gone")
            status, headers, _ = await testbed.send_request(
                "/advice/a", "POST", **self.HEADERS
            )
            assert status == 503 and "Retry-After" in headers
            assert not list_requests(testbed, "engines")

        play(scenario)

    def test_a_scheduler_crash_fails_no_request(self):
        async def scenario(testbed):
            await wait_until(lambda: all(g.roster.count == 3 for g in testbed.gateways))
            name = testbed.gateways[0].roster.choose("repair")
            dead = next(g for g in testbed.gateways if g.settings.name == name)
            rest = [g for g in testbed.gateways if g is not dead]
            requests = [
                asyncio.ensure_future(
                    testbed.send_request(
                        "/advice/a", "POST", rest[i % 2], **self.HEADERS
                    )
                )
                for i in range(6)
            ]
            await dead.stop()
            testbed.gateways.remove(dead)
            assert {(await request)[0] for request in requests} == {200}

        play(scenario, gateways=3)


class TestConfiguration:
    def test_an_older_version_changes_nothing(self):
        async def scenario(testbed):
            gateway = testbed.gateways[0]
            routes = [make_route("stock", "loans")]
            testbed.store.put_configuration(make_configuration(5, routes=routes))
            await wait_until(lambda: gateway.configuration.version == 5)
            testbed.store.put_configuration(make_configuration(4))
            testbed.store.put_configuration(make_configuration(6, tenants=[]))
            await wait_until(lambda: gateway.configuration.version == 6)
            assert (await testbed.send_request("/stock/a", key=None))[0] == 200

        play(scenario)

    def test_an_unreadable_configuration_leaves_the_last_one_in_force(self):
        async def scenario(testbed):
            gateway = testbed.gateways[0]
            for value in (b"", b"{", b"[]", b'{"version":9,"routes":[{}]}'):
                testbed.store.put("keyed.op", "config", value)
            testbed.store.put_configuration(make_configuration(10))
            await wait_until(lambda: gateway.configuration.version == 10)
            assert (await testbed.send_request("/stock/a"))[0] == 200

        play(scenario)

    def test_a_lost_response_of_the_store_is_detected_in_time(self):
        # The platform expects a gateway to be in touch 3 s after a store outage.
        assert CONFIGURATION_LONG_POLL_S + READ_TIMEOUT_MARGIN_S < 3.0

        async def scenario(testbed):
            gateway = testbed.gateways[0]
            testbed.store.lost.add(CONFIGURATION_TOPIC)
            testbed.store.put_configuration(make_configuration(3))
            await wait_until(lambda: not testbed.store.lost)
            reads = testbed.store.calls.count("/log-read")
            await wait_until(lambda: gateway.configuration.version == 3)
            # Within the allowed time, all topics together are read only a few times.
            assert testbed.store.calls.count("/log-read") - reads < 20

        play(scenario)

    def test_a_gateway_without_a_configuration_is_not_ready(self):
        async def scenario(testbed):
            testbed.store.down = True
            late = await testbed.add_gateway("late", ready=False)
            await wait_until(lambda: "/log-newest" in testbed.store.calls[-3:])
            assert not late.ready
            assert (await testbed.send_request("/stock/a", gateway=late))[0] == 503
            testbed.store.down = False
            await wait_until(lambda: late.ready)
            assert (await testbed.send_request("/stock/a", gateway=late))[0] == 200

        play(scenario)


class TestStateExchange:
    def test_a_gateway_rejected_by_the_store_learns_from_peers(self):
        async def scenario(testbed):
            # It reads the store for both. The other one, if it follows by then, makes
            # no calls, and the test waited for its failed calls in vain.
            rejected = testbed.gateways[1]
            testbed.store.turned_away.add(rejected.settings.name)
            await wait_until(
                lambda: rejected._state_exchange.query_policy.store_unavailable
            )
            testbed.store.put_configuration(make_configuration(7, tenants=[]))
            leaving = testbed.targets["loans-1"]
            testbed.store.put_target("loans-1", leaving.make_entry("draining"))
            testbed.store.put_target("loans-2", None)
            await wait_until(lambda: rejected.configuration.version == 7)
            await wait_until(lambda: not rejected.directory.get_usable("loans"))

        play(scenario, gateways=2)

    def test_a_gateway_rejected_at_its_start_queries_the_seeds(self):
        async def scenario(testbed):
            seed = testbed.gateways[0].roster.own.address
            testbed.store.turned_away.add("late")
            late = await testbed.add_gateway("late", seeds=[seed])
            assert (await testbed.send_request("/stock/a", gateway=late))[0] == 200

        play(scenario)


class TestProcessPause:
    def simulate_pause(self, gateway):
        """Make it seem as if the process had not run for 10 s."""
        gateway._process_pause._last_tick_s -= 10.0

    def test_a_key_revoked_during_a_pause_is_rejected(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            testbed.store.lost.add(CONFIGURATION_TOPIC)
            other = {"name": "school", "api-keys": ["other"]}
            testbed.store.put_configuration(make_configuration(9, tenants=[other]))
            self.simulate_pause(gateway)
            assert (await testbed.send_request("/stock/a"))[0] == 401

        play(scenario)

    def test_a_target_that_left_during_a_pause_gets_no_requests(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            for name in ("loans-1", "loans-2"):
                entry = testbed.targets[name].make_entry("draining")
                testbed.store.put_target(name, entry)
            self.simulate_pause(gateway)
            assert (await testbed.send_request("/stock/a"))[0] == 503
            assert not list_requests(testbed, "loans")

        play(scenario)

    def test_requests_are_served_from_known_state_while_the_store_is_down(self):
        async def scenario(testbed):
            testbed.store.silent = True
            self.simulate_pause(testbed.gateways[0])
            assert (await testbed.send_request("/stock/a"))[0] == 200

        play(scenario)

    def test_stale_state_is_not_sent_to_peers(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            sent = []

            class Recorder:
                def send(self, peer, record):
                    sent.append(record)

            gateway._state_exchange.peers = Recorder()
            entry = gateway.roster.own.replace(name="restarted")
            query = AskNews(entry, -1, b"", b"", ORIGIN)
            gateway._process_pause._confirmed_s = float("-inf")
            gateway._state_exchange.answer_query(query)
            assert not sent
            gateway._process_pause.mark_confirmed(gateway.clock())
            gateway._state_exchange.answer_query(query)
            assert len(sent) == 1

        play(scenario)


class TestStoreReplication:
    async def wait_for_single_reader(self, testbed):
        """Wait until one gateway reads for all; return it and its followers (list)."""

        def list_followers():
            replicators = [(one, one._replicator) for one in testbed.gateways]
            return [
                one
                for one, replicator in replicators
                if replicator.targets_follower.is_delegated
                and not replicator.configuration_follower.is_reading
            ]

        await wait_until(lambda: len(list_followers()) == len(testbed.gateways) - 1)
        followers = list_followers()
        (reader,) = (one for one in testbed.gateways if one not in followers)
        return reader, followers

    def drain_target(self, testbed, name="loans-1"):
        entry = testbed.targets[name].make_entry("draining")
        testbed.store.put_target(name, entry)

    async def wait_drained(self, gateways, name="loans-1"):
        await wait_until(lambda: all(g.directory.find(name) is None for g in gateways))

    def test_one_gateway_reads_the_targets_for_all(self):
        async def scenario(testbed):
            _, followers = await self.wait_for_single_reader(testbed)
            calls = [one.store.calls for one in followers]
            self.drain_target(testbed)
            testbed.store.put_target("loans-2", None)
            await self.wait_drained(followers)
            await self.wait_drained(followers, "loans-2")
            assert [one.store.calls for one in followers] == calls

        play(scenario, gateways=3)

    @pytest.mark.parametrize(("limit_s", "calls"), [(0.25, 0), (0.0, 1)])
    def test_a_small_configuration_is_forwarded_and_a_large_one_read(
        self, limit_s, calls, monkeypatch
    ):
        monkeypatch.setattr(readers, "MAX_FORWARDING_S", limit_s)

        async def scenario(testbed):
            _, followers = await self.wait_for_single_reader(testbed)
            before = [one.store.calls for one in followers]
            for version in (9, 10):
                testbed.store.put_configuration(make_configuration(version))
                for one in followers:
                    await wait_until(
                        lambda one=one, version=version: (
                            one.configuration.version == version
                        )
                    )
            after = [one.store.calls for one in followers]
            assert after == [n + 2 * calls for n in before]

        play(scenario, gateways=3)

    def test_one_gateway_reads_the_members_for_all(self):
        async def scenario(testbed):
            reader, followers = await self.wait_for_single_reader(testbed)
            before = [one.store.calls for one in followers]
            added = await testbed.add_gateway("gateway-4")
            known = [reader, *followers]
            name = added.settings.name
            await wait_until(lambda: all(g.roster.find(name) for g in known))
            await added.stop()
            testbed.gateways.remove(added)
            testbed.store.put(MEMBERS_TOPIC, name, b"")
            await wait_until(lambda: not any(g.roster.find(name) for g in known))
            assert [one.store.calls for one in followers] == before

        play(scenario, gateways=3)

    def test_a_follower_whose_entry_was_removed_registers_again(self):
        async def scenario(testbed):
            _, (follower, _) = await self.wait_for_single_reader(testbed)
            name = follower.settings.name
            testbed.store.put(MEMBERS_TOPIC, name, b"")
            await wait_until(lambda: name in testbed.store.get_values(MEMBERS_TOPIC))

        play(scenario, gateways=3)

    def test_a_gateway_that_starts_in_an_outage_keeps_retrying(self, monkeypatch):
        # If the backoff before the first listing had no limit of its own, these retries
        # would take minutes.
        monkeypatch.setattr(followers, "MAX_BACKOFF_S", 3600.0)

        async def scenario(testbed):
            testbed.store.down = True
            late = await testbed.add_gateway("late", ready=False)
            before = late.store.calls
            await wait_until(lambda: late.store.calls > before + 12)
            testbed.store.down = False
            await wait_until(lambda: late.ready)

        play(scenario)

    def test_a_reader_that_has_not_listed_the_members_sends_nothing(self):
        async def scenario(testbed):
            reader, (follower, _) = await self.wait_for_single_reader(testbed)
            sent = []

            class Recorder:
                def send(self, peer, record):
                    sent.append(record)

            reader._replicator.peers = reader._state_exchange.peers = Recorder()
            query = AskNews(follower.roster.own, -1, b"", b"", ORIGIN)
            reader._members.listed = False
            reader._replicator.publish_facts()
            reader._state_exchange.answer_query(query)
            assert not sent
            reader._members.listed = True
            reader._replicator.publish_facts()
            reader._state_exchange.answer_query(query)
            assert sent

        play(scenario, gateways=3)

    def test_only_one_topic_is_read_while_the_store_is_down(self):
        async def scenario(testbed):
            (gateway,) = testbed.gateways
            name = gateway.settings.name
            await wait_until(lambda: name in testbed.store.get_values(MEMBERS_TOPIC))
            testbed.store.down = True
            await wait_until(
                lambda: gateway._state_exchange.query_policy.store_unavailable
            )
            await asyncio.sleep(0.1)
            before = len(testbed.store.topics)
            await wait_until(lambda: len(testbed.store.topics) >= before + 3)
            assert set(testbed.store.topics[before:]) == {TARGETS_TOPIC}
            testbed.store.down = False
            testbed.store.put_configuration(make_configuration(9))
            await wait_until(lambda: gateway.configuration.version == 9)

        play(scenario)

    def test_a_reader_rejected_by_the_store_is_replaced(self):
        async def scenario(testbed):
            reader, followers = await self.wait_for_single_reader(testbed)
            testbed.store.turned_away.add(reader.settings.name)
            self.drain_target(testbed)
            await self.wait_drained(testbed.gateways)

        play(scenario, gateways=3)

    def test_a_stopped_reader_is_replaced(self):
        async def scenario(testbed):
            reader, followers = await self.wait_for_single_reader(testbed)
            await reader.stop()
            self.drain_target(testbed)
            await self.wait_drained(followers)
            testbed.gateways.remove(reader)

        play(scenario, gateways=3)

    def test_older_facts_change_nothing(self):
        async def scenario(testbed):
            reader, (follower, _) = await self.wait_for_single_reader(testbed)
            known = TargetEntry(*follower.directory.find("loans-1").values())
            position = follower._replicator.targets_follower.position
            self.drain_target(testbed)
            await self.wait_drained([follower])
            old = StoreFacts(
                1,
                position,
                b"",
                (known,),
                ("loans-2",),
                b"",
                b"",
                (),
                (),
                NO_EVACUATIONS,
            )
            follower._receive(reader.settings.name, old)
            assert follower.directory.find("loans-1") is None
            assert follower.directory.find("loans-2") is not None

        play(scenario, gateways=3)


class TestDiscovery:
    def test_a_target_that_leaves_gets_no_new_work(self):
        async def scenario(testbed):
            gateway = testbed.gateways[0]
            leaving = testbed.targets["loans-1"]
            testbed.store.put_target("loans-1", leaving.make_entry("draining"))
            await wait_until(lambda: gateway.directory.find("loans-1") is None)
            for _ in range(6):
                assert (await testbed.send_request("/stock/a"))[0] == 200
            assert not leaving.received

        play(scenario)

    def test_malformed_target_entries_are_ignored(self):
        async def scenario(testbed):
            gateway = testbed.gateways[0]
            good = testbed.targets["loans-1"].make_entry()
            strange = [
                {**good, "address": "nowhere"},
                {**good, "state": "odd"},
                {**good, "slots": "many"},
                {"service": "loans"},
                {**good, "born": 1.5},
            ]
            for number, entry in enumerate(strange):
                testbed.store.put_target(f"strange-{number}", entry)
            testbed.store.put(TARGETS_TOPIC, "bytes", b"\xff\x00")
            testbed.store.put_target("loans-9", good)
            await wait_until(lambda: gateway.directory.find("loans-9") is not None)
            usable = {t.target_id for t in gateway.directory.get_usable("loans")}
            assert usable == {"loans-1", "loans-2", "loans-9"}

        play(scenario)

    def test_a_trimmed_topic_is_listed_again(self):
        async def scenario(testbed):
            gateway = testbed.gateways[0]
            testbed.store.put_target("loans-2", None)
            testbed.store.trim(TARGETS_TOPIC)
            await wait_until(lambda: gateway.directory.find("loans-2") is None)
            assert gateway.directory.find("loans-1") is not None

        play(scenario)

    def test_a_target_that_took_over_an_address_runs_nothing(self):
        async def scenario(testbed):
            testbed.targets["loans-1"].target_id = "new-owner"
            for _ in range(4):
                assert (await testbed.send_request("/stock/a"))[0] == 200
            assert not [
                line
                for line, headers, _ in testbed.targets["loans-1"].received
                if headers["x-expect-instance"] == "new-owner"
            ]

        play(scenario)


class RefusingRunner:
    """A pool whose plan, when a job is dropped, refuses all others."""

    def __init__(self, pools, job_ids):
        self._pools = pools
        self._job_ids = job_ids

    def submit(self):
        for job_id in self._job_ids:
            self._pools._owners.put(job_id, "gone", self)

    def drop(self, job_id):
        for other in self._job_ids:
            self._pools._owners.pop(other)


class TestOrphanedJobs:
    JOBS = ("gone.1/1", "gone.1/2", "gone.1/3")

    @pytest.mark.parametrize("way", ["silent", "superseded"])
    def test_dropping_one_may_refuse_the_others(self, way):
        # The periodic task of the gateway, or that of its members, ended (review/4).
        async def scenario(testbed):
            pools = testbed.gateways[0].pools
            RefusingRunner(pools, self.JOBS).submit()
            if way == "silent":
                pools._owners.note_disconnected("gone", float("-inf"))
                pools.tick()
            else:
                pools.note_member("gone")
            assert pools._owners.list_jobs("gone") == []

        play(scenario)


class TestDrain:
    def test_requests_in_progress_are_answered(self):
        async def scenario(testbed):
            gateway = testbed.gateways[0]
            set_fault(testbed, "loans", "hang")
            request = asyncio.ensure_future(testbed.send_request("/stock/a"))
            await wait_until(lambda: gateway.callers.in_progress)
            drain = asyncio.ensure_future(gateway.drain())
            await wait_until(lambda: not gateway.ready)
            for target in testbed.targets.values():
                for writer in list(target._writers):
                    writer.transport.abort()
                target.fault = ""
            assert (await request)[0] == 200
            status, headers, _ = await testbed.send_request("/stock/b")
            assert status == 200 and headers["Connection"] == "close"
            await drain
            testbed.gateways.clear()

        play(scenario)

    def test_idle_connections_close_while_jobs_of_peers_continue(self, monkeypatch):
        monkeypatch.setattr(drains, "DEREGISTRATION_DELAY_S", 0.05)

        async def scenario(testbed):
            testbed.targets["repair-1"].fault = testbed.targets["repair-2"].fault = (
                "hang"
            )
            await wait_until(lambda: all(g.roster.count == 2 for g in testbed.gateways))
            scheduler = next(g for g in testbed.gateways if is_scheduler(g, "repair"))
            other = next(g for g in testbed.gateways if g is not scheduler)
            stopped = []
            stop = scheduler.stop
            scheduler.stop = lambda: stopped.append(True) or stop()
            request = asyncio.ensure_future(
                testbed.send_request(
                    "/advice/a", "POST", other, b"", **TestStages.HEADERS
                )
            )
            await wait_until(lambda: scheduler.pools.busy)
            port = scheduler.callers.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            drain = asyncio.ensure_future(scheduler.drain())
            assert await reader.read() == b""
            assert scheduler.pools.busy and not stopped
            writer.close()
            drain.cancel()
            request.cancel()
            await asyncio.gather(drain, request, return_exceptions=True)

        play(scenario, gateways=2)

    def test_a_leaving_scheduler_is_replaced_while_the_store_is_down(self):
        async def scenario(testbed):
            await wait_until(lambda: all(g.roster.count == 2 for g in testbed.gateways))
            scheduler = next(g for g in testbed.gateways if is_scheduler(g, "repair"))
            other = next(g for g in testbed.gateways if g is not scheduler)
            testbed.store.down = True
            drain = asyncio.ensure_future(scheduler.drain())
            await wait_until(lambda: is_scheduler(other, "repair"))
            assert not drain.done()
            # An entry of the leaving incarnation does not add it again.
            assert not other.roster.put(scheduler.roster.own)
            await drain
            testbed.gateways.remove(scheduler)

        play(scenario, gateways=2)

    def test_a_connection_with_a_received_request_is_not_idle(self):
        async def scenario(testbed):
            callers = testbed.gateways[0].callers
            reader, writer = await asyncio.open_connection("127.0.0.1", callers.port)
            await wait_until(lambda: callers._server.connections)
            (connection,) = callers._server.connections
            headers = testbed.make_headers()
            lines = [f"{name}: {value}" for name, value in headers.items()]
            request = "\r\n".join(["GET /stock/a HTTP/1.1", *lines, "", ""])
            connection.data_received(request.encode())
            callers.close_idle()
            assert callers.connected
            assert (await reader.readline()) == b"HTTP/1.1 200 Status\r\n"
            writer.close()

        play(scenario)

    def test_a_leaving_gateway_removes_its_entry(self):
        async def scenario(testbed):
            await wait_until(lambda: len(testbed.store.get_values(MEMBERS_TOPIC)) == 2)
            await testbed.gateways[1].drain()
            await wait_until(
                lambda: list(testbed.store.get_values(MEMBERS_TOPIC)) == ["gateway-1"]
            )
            await wait_until(lambda: testbed.gateways[0].roster.count == 1)
            testbed.gateways.pop()

        play(scenario, gateways=2)
