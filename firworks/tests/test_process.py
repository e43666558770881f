"""Tests of the daemon as a process: signals, kills and freezes."""

import asyncio
import json
import random
import signal
import sys
from contextlib import asynccontextmanager

import aiohttp

from firworks.codes import Code
from firworks.publication import publish
from firworks.standins.caller import Caller, make_key
from firworks.standins.site import Site, find_free_port
from firworks.standins.web import LOOPBACK, TargetFaults
from firworks.tests.kit import TOKEN, make_document, make_document_bytes

TIMEOUT_S = 90.0
TOKENS = 20
POLL_S = 0.05


class Process:
    """A daemon that runs as a process of its own."""

    def __init__(self, name, callers, admin):
        self.name = name
        self.callers = callers
        self.admin = admin
        self.child = None

    async def is_ready(self):
        """Return whether its readiness check answers with yes."""
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(f"http://{self.admin}/ready") as answer:
                    return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_ready(self):
        while not await self.is_ready():
            await asyncio.sleep(POLL_S)

    def open_caller(self):
        return Caller(self.callers, TOKEN)

    async def end(self):
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()


class ProcessSite(Site):
    """A site whose daemons are processes."""

    def __init__(self, folder, interval_s):
        super().__init__(make_document(), tokens=TOKENS, interval_s=interval_s)
        self.folder = folder
        self.processes = []

    async def start_process(self, name, **changes):
        callers = f"{LOOPBACK}:{find_free_port()}"
        admin = f"{LOOPBACK}:{find_free_port()}"
        table = self.make_settings(name, callers=callers, admin=admin, **changes)
        self.vms.put(
            {
                "name": name,
                "address": table["peers"],
                "role": "entry",
                "region": "region-1",
                "failure_domain": table["failure_domain"],
            }
        )
        path = self.folder / f"{name}.toml"
        lines = [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        path.write_text("\n".join(lines))
        process = Process(name, callers, admin)
        process.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "firworks.daemon",
            str(path),
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

    async def stop(self):
        for process in self.processes:
            await process.end()
        await super().stop()


def run(folder, body, daemons=1, interval_s=0.0, **settings):
    @asynccontextmanager
    async def open_site():
        site = ProcessSite(folder, interval_s)
        await site.start()
        try:
            await publish(site.open_log(), "production", make_document_bytes())
            for number in range(1, daemons + 1):
                await site.start_process(f"d{number}", **settings)
            for process in site.processes:
                await process.wait_ready()
            yield site
        finally:
            await site.stop()

    async def bounded():
        async with asyncio.timeout(TIMEOUT_S):
            async with open_site() as site:
                await body(site)

    asyncio.run(bounded())


async def wait_running(site, pool, count):
    targets = [site.targets[name] for name in site.document.pools[pool].targets]
    while sum(target.running for target in targets) < count:
        await asyncio.sleep(0.01)


def count_runs(site, pool):
    targets = [site.targets[name] for name in site.document.pools[pool].targets]
    return sum(len(target.runs) for target in targets)


async def begin_streams(site, process, count):
    async def ask(number):
        async with process.open_caller() as caller:
            return await caller.stream("ask", {"q": number})

    tasks = [asyncio.create_task(ask(number)) for number in range(count)]
    await wait_running(site, "engines", count)
    return tasks


class TestTermination:
    def test_streams_in_progress_end_whole_and_the_exit_code_is_0(self, tmp_path):
        async def body(site):
            process = site.processes[0]
            tasks = await begin_streams(site, process, 6)
            process.child.send_signal(signal.SIGTERM)
            replies = await asyncio.gather(*tasks)
            assert all(reply.code == Code.OK and reply.whole for reply in replies)
            assert await process.child.wait() == 0

        run(tmp_path, body, interval_s=0.1)

    def test_readiness_falls_while_requests_are_in_progress(self, tmp_path):
        async def body(site):
            process = site.processes[0]
            (task,) = await begin_streams(site, process, 1)
            process.child.send_signal(signal.SIGTERM)
            while await process.is_ready():
                await asyncio.sleep(0.01)
            assert not task.done()
            async with process.open_caller() as caller:
                refused = await caller.send("look", {})
            assert refused.code == Code.DRAINING and refused.table["ran"] == "no"
            assert (await task).whole

        run(tmp_path, body, interval_s=0.2)

    def test_second_signal_ends_it_with_honest_codes(self, tmp_path):
        async def body(site):
            process = site.processes[0]
            (task,) = await begin_streams(site, process, 1)
            process.child.send_signal(signal.SIGTERM)
            while await process.is_ready():
                await asyncio.sleep(0.01)
            process.child.send_signal(signal.SIGTERM)
            reply = await task
            assert reply.code == Code.SHUT_DOWN and reply.table["ran"] == "unknown"
            assert await process.child.wait() == 1

        run(tmp_path, body, interval_s=0.5)

    def test_limit_from_settings_ends_a_loan_as_unknown(self, tmp_path):
        async def body(site):
            for name in site.document.pools["loans"].targets:
                site.targets[name].faults = TargetFaults(stall=9)
            process = site.processes[0]
            key = make_key(random.Random(1))
            async with process.open_caller() as caller:
                loan = asyncio.create_task(
                    caller.send("lend", {"n": 1}, Idempotency_Key=key)
                )
                await wait_running(site, "loans", 1)
                process.child.send_signal(signal.SIGTERM)
                reply = await loan
            assert reply.code == Code.OUTCOME_UNKNOWN
            assert reply.table["ran"] == "unknown"
            assert await process.child.wait() == 1

        run(tmp_path, body, drain_timeout_s=0.5)


class TestKill:
    def test_loan_of_a_killed_daemon_never_runs_again(self, tmp_path):
        async def body(site):
            first, second = site.processes
            for name in site.document.pools["loans"].targets:
                site.targets[name].faults = TargetFaults(stall=9)
            key = make_key(random.Random(2))
            async with first.open_caller() as caller:
                loan = asyncio.create_task(
                    caller.send("lend", {"n": 1}, Idempotency_Key=key)
                )
                await wait_running(site, "loans", 1)
                first.child.kill()
                await asyncio.gather(loan, return_exceptions=True)
            assert isinstance(loan.exception(), aiohttp.ClientError)
            async with second.open_caller() as caller:
                for _ in range(2):
                    reply = await caller.send("lend", {"n": 1}, Idempotency_Key=key)
                    assert reply.table["ran"] == "unknown"
            assert count_runs(site, "loans") == 1

        run(tmp_path, body, daemons=2)

    def test_frozen_daemon_resumes_without_a_second_run(self, tmp_path):
        async def body(site):
            first, second = site.processes
            for name in site.document.pools["loans"].targets:
                site.targets[name].faults = TargetFaults(delay_s=0.5)
            key = make_key(random.Random(3))

            async def lend(process):
                async with process.open_caller() as caller:
                    return await caller.send("lend", {"n": 1}, Idempotency_Key=key)

            loan = asyncio.create_task(lend(first))
            await wait_running(site, "loans", 1)
            first.child.send_signal(signal.SIGSTOP)
            other = await lend(second)
            assert other.table["ran"] == "unknown"
            first.child.send_signal(signal.SIGCONT)
            await loan
            while (reply := await lend(second)).code != Code.REPLAYED:
                assert reply.table["ran"] == "unknown"
            assert count_runs(site, "loans") == 1

        run(tmp_path, body, daemons=2)
