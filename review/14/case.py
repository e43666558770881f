"""Streams join two software versions after a server came back as a newer one.

While the store is silent, a model server goes down and up by turns. It comes back under
its id, with newer software, and can't say so in its entry. Streams that begin there are
taken for ones of the version before, and go on at a server of that version.
"""

import asyncio
import re
import sys
import time

from lab3 import (
    BROKEN,
    ENGINE,
    HELD,
    TROUBLE,
    Engine,
    Lab,
    main,
    make_configuration,
    make_route,
    make_service,
)

# Seconds after the start of the traffic.
SILENT_S = (2.0, 6.5)
FIRST_DOWN_S, SECOND_DOWN_S, DOWN_S = 2.3, 6.0, 0.4
CROWD_FROM_S = 3.7
LENGTH_S = 10.0
EARLY_CALLERS, LATE_CALLERS = 2, 14
# The rule allows so many streams with events of two versions.
ALLOWED = 2


class FlappingEngine(Engine):
    """A server that may crash and come back under its id and at its address."""

    events = 60
    pause_s = 0.05

    async def come_back(self, version):
        """Crash, and start again some time later with other software."""
        port = self.port
        self.lab.record.note(f"{self.server_id} crashes")
        await self.stop()
        await asyncio.sleep(DOWN_S)
        self.version, self.born_ms = version, int(time.time() * 1000)
        await self.start(port)
        self.lab.record.note(f"{self.server_id} is back with {version}")

    def write_entry(self):
        """Write its entry, if the store answers."""
        if not self.lab.store.silent:
            super().write_entry()


async def ask(lab, caller, from_s, until_s, joined):
    """Ask for one stream after the other; note those of two versions."""
    await asyncio.sleep(max(0.0, from_s - time.monotonic()))
    number = 0
    while time.monotonic() < until_s:
        number += 1
        request_id, reply = await lab.send(
            lab.gateways[(caller + number) % 2],
            "/chat/1",
            body=b"{}",
            deadline_ms=8000,
            X_Model="m",
            X_Token_Counts="700,60",
            X_Prefix_Hash=f"a1:172,b{caller}:500,c{caller}-{number}:28",
        )
        tokens = re.findall(rb"data: (v\d) token (\d+)", reply.body)
        versions = sorted({version.decode() for version, _ in tokens})
        if len(versions) > 1:
            joined.append(request_id)
            changes = [
                f"{before[0].decode()} {before[1].decode()}, then {after[0].decode()}"
                for before, after in zip(tokens, tokens[1:], strict=False)
                if before[0] != after[0]
            ]
            lab.record.note(f"{request_id} holds events of {versions}: {changes}")
        if reply.status != 200:
            await asyncio.sleep(0.3)


async def disturb(lab, server, began_s):
    """Silence the store, and let a server go down and up twice meanwhile."""
    if not TROUBLE:
        return

    async def wait_for(time_s):
        await asyncio.sleep(max(0.0, began_s + time_s - time.monotonic()))

    await wait_for(SILENT_S[0])
    lab.store.silent = True
    lab.record.note("the store is silent")
    await wait_for(FIRST_DOWN_S)
    await server.come_back("v2")
    await wait_for(SECOND_DOWN_S)
    await server.come_back("v2")
    await wait_for(SILENT_S[1])
    lab.store.silent = False
    lab.record.note("the store answers")


async def run(folder):
    """Run the case; return its exit code."""
    async with Lab(folder, gateways=2) as lab:
        more = {"timeout-ms": 8000, "goal-ms": 910, "gap-aim-ms": 300}
        routes = [
            make_route("chat", "llm", "streaming", sticky=True, resumable=True, **more)
        ]
        services = [make_service("llm", engine=ENGINE)]
        lab.store.put_configuration(make_configuration(1, routes, services))
        servers = [
            await lab.add_server(FlappingEngine(lab, f"i-llm-{number}", "llm", 64))
            for number in range(2)
        ]
        await lab.start_gateways()
        began_s, joined = time.monotonic(), []
        until_s = began_s + LENGTH_S
        callers = [
            ask(
                lab,
                caller,
                began_s + (CROWD_FROM_S if caller >= EARLY_CALLERS else 0.0),
                until_s,
                joined,
            )
            for caller in range(EARLY_CALLERS + LATE_CALLERS)
        ]
        await asyncio.gather(disturb(lab, servers[0], began_s), *callers)
        lab.record.say(
            f"{len(lab.runs)} runs; {len(joined)} streams with events of two versions"
        )
        return BROKEN if len(joined) > ALLOWED else HELD


main(run, sys.argv[1])
