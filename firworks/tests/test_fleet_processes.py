"""Tests of daemons in processes of their own that are killed and paused."""

import asyncio
import json
import signal
import sys

from firworks.kernel.fleet.events import MEMBER_ALIVE, MEMBER_DEAD
from firworks.publication import publish
from firworks.standins.site import Site
from firworks.tests.kit import make_document, make_document_bytes

TIMEOUT_S = 120.0
POLL_S = 0.1


async def spawn_daemon(site, name, directory):
    """Start a daemon as a process and put its VM on the list."""
    table = site.make_settings(name)
    path = directory / f"{name}.toml"
    lines = (f"{key} = {json.dumps(value)}\n" for key, value in table.items())
    path.write_text("".join(lines))
    vm = {"name": name, "address": table["peers"], "role": "entry"}
    site.vms.put({**vm, "region": "region-1", "failure_domain": "fd-1"})
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "firworks.daemon",
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        # The kernel hangs up a group with stopped processes when its shell ends.
        start_new_session=True,
    )


async def wait_for(membership, name, status):
    while membership.find_status(name) != status or not membership.find_incarnation(
        name
    ):
        await asyncio.sleep(POLL_S)


async def watch_deaths(directory):
    """Kill one daemon and pause another, as a third sees it."""
    site = Site(make_document())
    await site.start()
    processes = []
    try:
        await publish(site.open_log(), "production", make_document_bytes())
        for name in ("killed", "paused"):
            processes.append(await spawn_daemon(site, name, directory))
        watcher = await site.start_daemon("watcher")
        membership = watcher.parts.membership
        await wait_for(membership, "killed", MEMBER_ALIVE)
        await wait_for(membership, "paused", MEMBER_ALIVE)
        incarnation = membership.find_incarnation("paused")
        processes[0].kill()
        processes[1].send_signal(signal.SIGSTOP)
        await wait_for(membership, "killed", MEMBER_DEAD)
        await wait_for(membership, "paused", MEMBER_DEAD)
        processes[1].send_signal(signal.SIGCONT)
        await wait_for(membership, "paused", MEMBER_ALIVE)
        assert membership.find_incarnation("paused") == incarnation
        assert membership.find_status("killed") == MEMBER_DEAD
        processes[1].terminate()
        await wait_for(membership, "paused", MEMBER_DEAD)
        assert await processes[1].wait() == 0
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await site.stop()


class TestProcesses:
    def test_killed_and_paused_daemons_are_detected(self, tmp_path):
        asyncio.run(asyncio.wait_for(watch_deaths(tmp_path), TIMEOUT_S))
