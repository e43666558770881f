"""A failing server answers 503 after it has run a booking; its caller books again.

The server doesn't say that it has not run the request (no ``X-Not-Run``). Callers take
a 503 as the promise that the request has not run and never will, and send it again.
"""

import asyncio
import sys
import time
from random import Random

from lab3 import (
    BROKEN,
    HELD,
    TROUBLE,
    Lab,
    PlainServer,
    main,
    make_configuration,
    make_route,
    make_service,
)

CALLERS = 32
LENGTH_S = 9.0
# One server of eight fails so many of its requests, for so long; on the site `srv_grey`
# has a share of 0.14.
SERVERS = 8
FAILED_SHARE = 0.45
GREY_FROM_S, GREY_S = 1.0, 6.5
# These statuses promise that a request has not run.
PROMISES = (408, 421, 429, 503)


class GreyServer(PlainServer):
    """Fails part of its requests once they have run; its health check is good."""

    rng = Random(1)
    grey = False

    async def run(self, writer, line, headers, body):
        """Run a request, and perhaps fail afterwards."""
        request_id = headers.get("x-request-id", "")
        self.lab.note_run(self, request_id, line)
        self.lab.bookings.append(body)
        await asyncio.sleep(self.work_s)
        if self.grey and self.rng.random() < FAILED_SHARE:
            self.lab.record.note(f"{self.server_id} answers {request_id} 503")
            self.answer(writer, headers, 503, b"{}")
        else:
            self.answer(writer, headers, 200, f"done {request_id}".encode())


async def book(lab, caller, until_s, broken):
    """Book again and again; repeat a booking once, after a promise only."""
    number = 0
    while time.monotonic() < until_s:
        number += 1
        body = f'{{"booking": "{caller}-{number}"}}'.encode()
        for _ in range(2):
            gateway = lab.gateways[(caller + number) % 2]
            request_id, reply = await lab.send(gateway, "/book/1", body=body)
            ran = request_id in {each for _, _, each in lab.runs}
            if reply.status in PROMISES and ran:
                broken.append(request_id)
                lab.record.note(f"{request_id} was answered {reply.status} and has run")
            if reply.status not in PROMISES:
                break
            await asyncio.sleep(float(reply.headers.get("retry-after", 0.1)))
        await asyncio.sleep(0.1)


async def turn_grey(server):
    """Let a server fail part of its requests for a while."""
    await asyncio.sleep(GREY_FROM_S)
    server.grey = TROUBLE
    await asyncio.sleep(GREY_S)
    server.grey = False


async def run(path):
    """Run the case; return its exit code."""
    async with Lab(path, gateways=2) as lab:
        lab.bookings = []
        routes = [make_route("book", "orders", "non_idempotent")]
        services = [make_service("orders")]
        lab.store.put_configuration(make_configuration(1, routes, services))
        servers = [
            await lab.add_server(GreyServer(lab, f"i-desk-{number}", "orders"))
            for number in range(SERVERS)
        ]
        await lab.start_gateways()
        until_s, broken = time.monotonic() + LENGTH_S, []
        await asyncio.gather(
            turn_grey(servers[0]),
            *(book(lab, caller, until_s, broken) for caller in range(CALLERS)),
        )
        twice = len(lab.bookings) - len(set(lab.bookings))
        lab.record.say(
            f"{len(set(lab.bookings))} bookings; {len(broken)} requests answered as "
            f"not run though they had; {twice} bookings done twice"
        )
        return BROKEN if broken else HELD


main(run, sys.argv[1])
