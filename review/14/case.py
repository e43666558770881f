"""A few spoiled answers of one server make gateways hang.

One of three servers spoils one answer in 50 for some seconds: where its head names a
limit, it has digits that end in a letter.
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
    Reply,
    main,
    make_configuration,
    make_route,
    make_service,
    read_reply,
)

# The spoiled answers: one in so many, for so long, and the bytes of a spoiled value.
ONE_IN = 50
SPOILED_S = 5.5
VALUE = "1" * 16_000 + "x"
# Ordinary callers, and the timeout of their route.
CALLERS = 16
TIMEOUT_S = 4.0
ORDINARY_S = 30.0
# The rule asks for an answer this long after the timeout.
GRACE_S = 0.5
# It counts if so many requests, and more than half of the late ones, have none.
LEAST = 8


class SpoilingServer(PlainServer):
    """A server that spoils some of its answers for a while."""

    spoils = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.answers = self.spoiled = 0

    def list_notices(self):
        """Return further headers of its next answer (list of (str, str))."""
        if not self.spoils:
            return []
        self.answers += 1
        if self.answers % ONE_IN:
            return []
        self.spoiled += 1
        self.lab.record.note(f"{self.server_id} spoils an answer")
        return [("Server-Limit", VALUE), ("Server-Limit", VALUE)]


class Desk:
    """Ordinary callers, who book again and again on kept channels.

    Args:
        lab (Lab): The deployment.
    """

    def __init__(self, lab):
        self.lab = lab
        self.answered, self.late, self.unanswered = 0, 0, []
        self._rng = Random(14)
        self.answered_s, self.gaps_s = {}, {}

    async def book(self, gateway, until_s):
        """Send bookings on a channel, and on a new one after each that ended."""
        while time.monotonic() < until_s:
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", gateway.ports[0]
                    )
            except (OSError, TimeoutError):
                continue
            try:
                while time.monotonic() < until_s:
                    await self._book_once(reader, writer, gateway)
                    await asyncio.sleep(0.1)
            except TimeoutError:
                # The caller gave up, and comes back some time later.
                await asyncio.sleep(self._rng.uniform(0.0, TIMEOUT_S))
            except (OSError, asyncio.IncompleteReadError):
                pass  # the channel has ended
            finally:
                writer.transport.abort()

    async def _book_once(self, reader, writer, gateway):
        request_id, reply = self.lab.make_id(), Reply()
        deadline_ms = int(TIMEOUT_S * 1000)
        head = self.lab.make_head("POST", "/book/1", request_id, deadline_ms, 2)
        sent_s = time.monotonic()
        writer.write(head + b"{}")
        try:
            async with asyncio.timeout(TIMEOUT_S + GRACE_S):
                await read_reply(reader, reply)
        finally:
            took_s = time.monotonic() - sent_s
            if reply.complete:
                self.answered += 1
                self.late += took_s > TIMEOUT_S
                self._note_answer(gateway.name)
            elif took_s >= TIMEOUT_S + GRACE_S:
                self.unanswered.append(request_id)
            self.lab.record.note(
                f"{request_id} at {gateway.name}: {reply.status} after {took_s:.2f} s"
            )

    def _note_answer(self, name):
        """Measure for how long a gateway has answered nobody."""
        now = time.monotonic()
        gap_s = now - self.answered_s.get(name, now)
        self.gaps_s[name] = max(gap_s, self.gaps_s.get(name, 0.0))
        self.answered_s[name] = now


async def watch_readiness(lab, gateway, missed):
    """Ask once a second whether a gateway is ready, as the platform does."""
    while True:
        asked_s = time.monotonic()
        if await lab.ask_ready(gateway) != 200:
            missed.append(gateway.name)
            lab.record.note(f"{gateway.name} does not say that it is ready")
        await asyncio.sleep(max(0.0, asked_s + 1.0 - time.monotonic()))


async def spoil(server):
    """Let a server spoil some of its answers for a while."""
    server.spoils = True
    await asyncio.sleep(SPOILED_S)
    server.spoils = False


async def run(path):
    """Run the case; return its exit code."""
    async with Lab(path, gateways=2) as lab:
        routes = [make_route("book", "orders", "non_idempotent", **{"max-attempts": 1})]
        services = [make_service("orders")]
        lab.store.put_configuration(make_configuration(1, routes, services))
        servers = [
            await lab.add_server(SpoilingServer(lab, f"i-desk-{number}", "orders"))
            for number in range(3)
        ]
        await lab.start_gateways()
        ordinary, missed = Desk(lab), []
        watches = [
            asyncio.ensure_future(watch_readiness(lab, gateway, missed))
            for gateway in lab.gateways
        ]
        until_s = time.monotonic() + ORDINARY_S
        tasks = [
            asyncio.ensure_future(ordinary.book(lab.gateways[number % 2], until_s))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(3.0)
        if TROUBLE:
            await spoil(servers[0])
        await asyncio.gather(*tasks)
        for watch in watches:
            watch.cancel()
        ran = {request_id for _, _, request_id in lab.runs}
        unanswered = len(ordinary.unanswered)
        began = len([one for one in ordinary.unanswered if one in ran])
        lab.record.say(
            f"{servers[0].spoiled} answers spoiled; {ordinary.answered} bookings "
            f"answered, {ordinary.late} of them after {TIMEOUT_S} s; {unanswered} "
            f"without an answer {GRACE_S} s later, {began} of which a server ran; "
            f"readiness missed {len(missed)} times"
        )
        for name, gap_s in sorted(ordinary.gaps_s.items()):
            lab.record.say(f"{name} answered nobody for {gap_s:.1f} s")
        broken = unanswered >= LEAST and unanswered > ordinary.late
        return BROKEN if broken else HELD


main(run, sys.argv[1])
