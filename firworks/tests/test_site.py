"""Tests over real sockets: a site of stand-ins and daemons in one loop."""

import asyncio
import json
import random
import socket
from contextlib import asynccontextmanager

import pytest

from firworks.codes import Code
from firworks.publication import publish
from firworks.standins.caller import Caller, make_key
from firworks.standins.engine import make_token
from firworks.standins.link import Link
from firworks.standins.service import StandinService
from firworks.standins.site import Site, find_free_port
from firworks.standins.web import LOOPBACK, TargetFaults
from firworks.tests.kit import OTHER_TOKEN, TOKEN, make_document, make_document_bytes

TIMEOUT_S = 60.0
# Linux uses these and higher ones for outgoing connections.
FIRST_OUTGOING_PORT = 32_768
TOKENS = 12


@asynccontextmanager
async def open_site(daemons=1, interval_s=0.0, **settings):
    site = Site(make_document(), tokens=TOKENS, interval_s=interval_s)
    await site.start()
    try:
        decision = await publish(site.open_log(), "production", make_document_bytes())
        for number in range(1, daemons + 1):
            await site.start_daemon(f"d{number}", **settings)
        await site.wait_ready(decision.digest)
        yield site
    finally:
        await site.stop()


def run(body, **options):
    async def bounded():
        async with asyncio.timeout(TIMEOUT_S):
            async with open_site(**options) as site:
                await body(site)

    asyncio.run(bounded())


def open_caller(site, index=0):
    return Caller(f"127.0.0.1:{site.daemons[index].caller_port}", TOKEN)


def set_faults(site, pool, **faults):
    """Give the faults to each target of a pool and return the targets."""
    names = site.document.pools[pool].targets
    targets = [site.targets[name] for name in names]
    for target in targets:
        target.faults = TargetFaults(**faults)
    return targets


def make_whole(prompt):
    return [make_token(prompt, offset) for offset in range(TOKENS)]


async def ask_whole(site, body):
    """Send a streamed request and check that its answer is its own and whole."""
    async with open_caller(site) as caller:
        reply = await caller.stream("ask", body)
    assert reply.code == Code.OK and reply.whole
    prompts = [
        start
        for start in find_prompts(site, body)
        if make_whole(start) == list(reply.tokens)
    ]
    assert prompts, "the tokens answer another prompt"
    return reply


def find_prompts(site, body):
    """Return the prompts that the first stage's answers to a body lead to."""
    opening = json.dumps(body, sort_keys=True, separators=(",", ":"))
    prompts = []
    for name in site.document.pools["encoders"].targets:
        for run_number in range(1, len(site.targets[name].runs) + 1):
            answer = {
                "operation": "encode",
                "target": name,
                "request": body,
                "previous": None,
                "run": run_number,
            }
            encoded = json.dumps(answer, sort_keys=True, separators=(",", ":"))
            prompts.append(f"{opening}\n{encoded}")
    return prompts


class TestConcurrentCallers:
    def test_each_gets_its_own_whole_answer(self):
        async def body(site):
            set_faults(site, "encoders", delay_s=0.02)
            bodies = [{"q": number} for number in range(40)]
            await asyncio.gather(*(ask_whole(site, one) for one in bodies))

        run(body, daemons=2)

    def test_late_and_swapped_answers_stay_apart(self):
        async def body(site):
            slow = site.targets["encoder-1"]
            slow.faults = TargetFaults(delay_s=0.3)
            async with open_caller(site) as caller:
                replies = await asyncio.gather(
                    *(caller.send("look", {"q": n}) for n in range(20))
                )
            assert [r.table["answer"]["request"]["q"] for r in replies] == list(
                range(20)
            )

        run(body)


class TestTargetFaults:
    @pytest.mark.parametrize(
        "faults",
        [
            {"repeat": True},
            {"cut_after": 4},
            {"gap_at": 5},
            {"mismatch": 1},
            {"reset": 1},
            {"refuse": 1},
            {"stall": 1},
        ],
        ids=lambda faults: next(iter(faults)),
    )
    def test_answer_is_whole_in_spite_of_one_engine_fault(self, faults):
        async def body(site):
            set_faults(site, "engines", **faults)
            await ask_whole(site, {"q": 1})

        run(body, idle_timeout_s=0.4)

    @pytest.mark.parametrize("fault", ["mismatch", "reset", "refuse", "stall"])
    def test_repeatable_call_gets_an_answer_in_spite_of_one_fault(self, fault):
        async def body(site):
            site.targets["encoder-1"].faults = TargetFaults(**{fault: 1})
            site.targets["encoder-2"].faults = TargetFaults(**{fault: 1})
            async with open_caller(site) as caller:
                reply = await caller.send("look", {"q": 1})
            assert reply.code == Code.OK

        run(body, idle_timeout_s=0.4)

    @pytest.mark.parametrize("fault", ["mismatch", "reset"])
    def test_work_that_may_not_repeat_runs_once_and_is_unknown(self, fault):
        async def body(site):
            targets = set_faults(site, "loans", **{fault: 1})
            key = make_key(random.Random(1))
            async with open_caller(site) as caller:
                reply = await caller.send("lend", {"n": 1}, Idempotency_Key=key)
                again = await caller.send("lend", {"n": 1}, Idempotency_Key=key)
            for one in (reply, again):
                assert one.code == Code.OUTCOME_UNKNOWN
                assert one.table["ran"] == "unknown"
            assert sum(len(target.runs) for target in targets) == 1

        run(body)


class TestLoan:
    def test_resends_through_all_daemons_run_once(self):
        async def body(site):
            key = make_key(random.Random(2))
            targets = set_faults(site, "loans", delay_s=0.2)

            async def lend(index):
                async with open_caller(site, index % 3) as caller:
                    return await caller.send("lend", {"n": 1}, Idempotency_Key=key)

            replies = await asyncio.gather(*(lend(index) for index in range(9)))
            answers = [reply.table["answer"] for reply in replies]
            assert all(answer == answers[0] for answer in answers)
            assert {reply.code for reply in replies} <= {Code.OK, Code.REPLAYED}
            assert sum(len(target.runs) for target in targets) == 1

        run(body, daemons=3)

    def test_other_content_under_the_same_key_is_refused(self):
        async def body(site):
            key = make_key(random.Random(3))
            async with open_caller(site) as caller:
                await caller.send("lend", {"n": 1}, Idempotency_Key=key)
                reply = await caller.send("lend", {"n": 2}, Idempotency_Key=key)
            assert reply.code == Code.IDEMPOTENCY_KEY_REUSED

        run(body)

    def test_log_outage_stops_loans_but_not_questions(self):
        async def body(site):
            site.log.faults.down = True
            headers = {
                "Idempotency_Key": make_key(random.Random(4)),
                "Firworks_First_Send": "1",
                "Firworks_Deadline_Ms": "700",
            }
            async with open_caller(site) as caller:
                loan = caller.send("lend", {"n": 1}, **headers)
                reply, _ = await asyncio.gather(loan, ask_whole(site, {"q": 1}))
            assert reply.code == Code.LEDGER_UNAVAILABLE
            assert reply.table["ran"] == "no"
            site.log.faults.down = False
            await asyncio.sleep(0.5)
            targets = set_faults(site, "loans")
            assert sum(len(target.runs) for target in targets) == 0

        run(body)


class TestSilentConnection:
    def test_call_moves_to_a_new_connection(self):
        async def body(site):
            links = await open_links(site, "encoders")
            async with open_caller(site) as caller:
                for number in range(4):
                    await caller.send("look", {"q": number})
                for link in links:
                    link.silence()
                reply = await caller.send("look", {"q": "after"})
            assert reply.code == Code.OK
            assert reply.table["answer"]["request"] == {"q": "after"}
            for link in links:
                await link.stop()

        run(body, idle_timeout_s=0.3)


async def open_links(site, pool):
    """Put a link in front of each target of a pool, and list its address."""
    links = []
    for vm in site.vms.list():
        if vm["name"] in site.document.pools[pool].targets:
            link = Link(vm["address"])
            await link.start()
            site.vms.put({**vm, "address": link.address})
            links.append((vm["name"], link))
    book = site.daemons[0].adapters["targets", "service"].context.addresses
    while any(book.find(name) != link.address for name, link in links):
        await asyncio.sleep(0.05)
    return [link for _, link in links]


class TestDrain:
    def test_streams_in_progress_end_whole(self):
        async def body(site):
            daemon = site.daemons[0]
            asks = [ask_whole(site, {"q": number}) for number in range(5)]
            tasks = [asyncio.create_task(ask) for ask in asks]
            engines = [site.targets[n] for n in site.document.pools["engines"].targets]
            while sum(len(engine.runs) for engine in engines) < 5:
                await asyncio.sleep(0.01)
            drained = asyncio.create_task(daemon.drain())
            await asyncio.gather(*tasks)
            assert await drained
            assert not daemon.ready

        run(body, interval_s=0.05)


class TestUnknownTarget:
    def test_target_without_an_address_was_not_run(self):
        async def body(site):
            for name in site.document.pools["loans"].targets:
                await site.targets[name].stop()
            key = make_key(random.Random(5))
            headers = {"Firworks_Deadline_Ms": "1500"}
            async with open_caller(site) as caller:
                reply = await caller.send(
                    "lend", {"n": 1}, Idempotency_Key=key, **headers
                )
                assert reply.table["ran"] == "no"
                for name in site.document.pools["loans"].targets:
                    await restart_service(site, name)
                again = await caller.send("lend", {"n": 1}, Idempotency_Key=key)
            assert again.code in (Code.OK, Code.OVERLOADED, Code.NO_TARGET)

        run(body)


async def restart_service(site, name):
    port = int(site.targets[name].address.rsplit(":", 1)[1])
    site.targets[name] = StandinService(name, port)
    await site.targets[name].start()


class TestDeferral:
    def test_quote_is_accepted_and_its_result_read_at_another_daemon(self):
        async def body(site):
            key = make_key(random.Random(6))
            async with open_caller(site, 0) as caller:
                accepted = await caller.send("quote", {"n": 1}, Idempotency_Key=key)
                resent = await caller.send("quote", {"n": 1}, Idempotency_Key=key)
            assert accepted.code == Code.ACCEPTED
            name = accepted.table["answer"]["request_id"]
            assert resent.table["answer"]["request_id"] == name
            async with open_caller(site, 1) as caller:
                while (result := await caller.fetch(name)).code != Code.OK:
                    assert result.code == Code.IN_PROGRESS
                    await asyncio.sleep(0.05)
            assert result.table["answer"]["count"] == TOKENS

        run(body, daemons=2)

    def test_another_account_does_not_get_the_result(self):
        async def body(site):
            async with open_caller(site) as caller:
                accepted = await caller.send("quote", {"n": 1})
            name = accepted.table["answer"]["request_id"]
            address = f"127.0.0.1:{site.daemons[0].caller_port}"
            async with Caller(address, OTHER_TOKEN) as caller:
                result = await caller.fetch(name)
            assert result.code == Code.UNKNOWN_RESULT

        run(body)


class TestPorts:
    def test_ports_of_processes_are_not_those_of_outgoing_connections(self):
        # A gateway could not start, as a connection had the port that it was given.
        ports = [find_free_port() for _ in range(200)]
        assert len(set(ports)) == len(ports)
        assert max(ports) < FIRST_OUTGOING_PORT

    def test_a_port_in_use_is_left_out(self):
        port = find_free_port()
        with socket.create_server((LOOPBACK, port + 1)):
            assert find_free_port() not in (port, port + 1)
