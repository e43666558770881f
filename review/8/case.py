"""A part that crashes servers, in the middle of a prompt of many parts."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent.parent), str(FOLDER.parent)]

from site2 import (  # noqa: E402
    STABILITY_S,
    Engine,
    ask,
    make_configuration,
    now,
    run_case,
)

GATEWAYS = 3
SOUND_PER_S, DEADLY_PER_S = 6.0, 1.5
# Deadly requests come from the first to the second of these times, in seconds.
DEADLY_FROM_S, DEADLY_UNTIL_S, LENGTH_S = 6.0, 44.0, 45.0
DEADLINE_S = 6.0
SERVER_DOWN_S = 2.0
# Parts of each prompt besides the last one; PARTS=20 isn't a part of the case.
PARTS = int(os.environ.get("PARTS", "80"))
PART_TOKENS = 50
DEADLY = "dead"
# BUDGET: more than three requests later than `stability-ms` after the fifth crash.
CRASHES, ALLOWED = 5, 3


class FragileEngine(Engine):
    """An engine that a prompt part crashes as it begins to write an answer on it.

    Attributes:
        crashes_s (list of float): When it crashed.
        reached (list of (float, str)): When requests with that part came, and ids.
        write_entry (callable): Writes its entry, without arguments.
    """

    events = 10
    pause_s = 0.1
    work_s = 0.15

    def __init__(self, *names):
        super().__init__(*names)
        self.crashes_s = []
        self.reached = []
        self.write_entry = lambda: None
        self._down = False
        self._restart = None

    async def serve(self, writer, line, headers, body):
        """Crash on the part; else send a stream."""
        parts = headers.get("x-prefix-hash", "").split(",")
        if DEADLY not in [part.partition(":")[0] for part in parts]:
            await super().serve(writer, line, headers, body)
            return
        self.reached.append((now(), headers.get("x-request-id", "")))
        await asyncio.sleep(self.work_s)
        if not self._down and not writer.is_closing():
            self._down = True
            self.crashes_s.append(now())
            self._restart = asyncio.ensure_future(self._come_back())

    async def _come_back(self):
        await self.crash(SERVER_DOWN_S)
        self._down = False
        self.write_entry()


def make_headers(number, deadly):
    """Return the headers that describe a prompt (tuple of str).

    All prompts share all parts but the last one, and the deadly one in the middle.
    """
    parts = [f"{index:x}a:{PART_TOKENS}" for index in range(PARTS)]
    if deadly:
        parts[PARTS // 2] = f"{DEADLY}:{PART_TOKENS}"
    parts.append(f"b{number:x}:{PART_TOKENS}")
    tokens = PART_TOKENS * len(parts)
    prefix = ",".join(parts)
    return (
        "X-Model: m",
        f"X-Token-Counts: {tokens},40",
        f"X-Prefix-Hash: {prefix}",
    )


async def check_budget(site, troubled):
    """Return whether few requests with the part reach servers in the end."""
    rng = random.Random(1)
    engines = [FragileEngine(f"i-{n}", "fleet", f"fd-{n}") for n in (1, 2, 3)]
    for engine in engines:
        engine.write_entry = lambda one=engine: site.store.put_target(
            one.target_id, one.make_entry()
        )
    await site.start(make_configuration(), engines, GATEWAYS)
    await asyncio.sleep(1.0)
    start_s, tasks, sound = now(), [], []

    async def send(name, number):
        gateway = rng.choice(site.gateways)
        request_id = f"{name}{number}"
        headers = make_headers(number, name == "deadly-")
        path = f"/client-chat/{request_id}"
        sent_s = now()
        site.note(f"sent {request_id} to {gateway.name}")
        answer = await ask(
            gateway.callers, "POST", path, request_id, DEADLINE_S, headers
        )
        site.note(f"answered {request_id} {answer.status} {answer.whole}")
        if name == "sound-":
            sound.append((sent_s, bool(answer.events)))

    async def send_all(name, per_s, from_s, until_s):
        number = 0
        await asyncio.sleep(start_s + from_s - now())
        while now() < start_s + until_s:
            number += 1
            tasks.append(asyncio.ensure_future(send(name, number)))
            await asyncio.sleep(1 / per_s)

    senders = [send_all("sound-", SOUND_PER_S, 0.0, LENGTH_S)]
    if troubled:
        times_s = (DEADLY_FROM_S, DEADLY_UNTIL_S)
        senders.append(send_all("deadly-", DEADLY_PER_S, *times_s))
    await asyncio.gather(*senders)
    await asyncio.gather(*tasks)
    crashes_s = sorted(one for engine in engines for one in engine.crashes_s)
    for engine in engines:
        for reached_s, request_id in engine.reached:
            at_s = reached_s - start_s
            site.note(f"run {request_id} at {engine.target_id} {at_s:.3f}")
    texts = " ".join(f"{one - start_s:.2f}" for one in crashes_s)
    site.note(f"{len(crashes_s)} crashes: {texts}")
    calm = [begun for sent_s, begun in sound if sent_s < start_s + DEADLY_FROM_S - 1]
    site.note(f"{sum(calm)} of {len(calm)} sound requests began before")
    if len(crashes_s) < CRASHES:
        return True
    fifth_s = crashes_s[CRASHES - 1]
    beside = [
        begun
        for sent_s, begun in sound
        if fifth_s + 2 * STABILITY_S <= sent_s < start_s + DEADLY_UNTIL_S
    ]
    site.note(f"{sum(beside)} of {len(beside)} began beside the deadly ones (LOST)")
    late = [
        request_id
        for engine in engines
        for reached_s, request_id in engine.reached
        if reached_s > fifth_s + STABILITY_S
    ]
    site.note(f"{len(late)} with the part reached servers, {ALLOWED} allowed: {late}")
    return len(late) <= ALLOWED


run_case(check_budget, FOLDER)
