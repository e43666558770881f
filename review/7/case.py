"""Streams of a split route that are taken up after a gateway was killed."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent.parent), str(FOLDER.parent)]

from site2 import Engine, ask, make_configuration, now, run_case  # noqa: E402

GATEWAYS = 3
STREAMS_PER_S = 20.0
DEADLINE_S = 8.0
KILLED_S = 8.0
LENGTH_S = 12.0
# A caller takes a stream up this long after its channel broke.
PAUSE_S = 0.2
# LOST: of 12 or more streams that are taken up, under half of the share of new ones.
LEAST_TAKEN_UP = 12
SHARE = 0.5
PROMPT = ("X-Model: m", "X-Token-Counts: 543,93")
SERVICES = ("fleet", "fleet-b")
# SPLIT=0 does the same with one service for the route; not a part of the case.
SPLIT = os.environ.get("SPLIT", "1") != "0"


class Counts:
    """What became of the streams.

    Attributes:
        new (list of bool): Whether streams began, at gateways that were not killed.
        taken_up (list of bool): Whether streams went on there.
    """

    def __init__(self):
        self.new = []
        self.taken_up = []


def make_split_configuration():
    """Return the configuration (dict): one route, two services of model servers."""
    table = make_configuration()
    service = next(one for one in table["services"] if one["name"] == "fleet")
    table["services"].append({**service, "name": "fleet-b"})
    if SPLIT:
        route = next(one for one in table["routes"] if one["name"] == "client-chat")
        del route["service"]
        route["traffic-split"] = [{"service": name, "weight": 50} for name in SERVICES]
    return table


async def follow_stream(site, rng, number, killed, counts):
    """Ask for a stream, and take it up once if it breaks off."""
    end_s, first_id, events = now() + DEADLINE_S, f"s{number}", []
    first = rng.choice([one for one in site.gateways if one.alive])
    others = [one for one in site.gateways if one is not killed]
    prefix = f"X-Prefix-Hash: a{number % 40:x}:400,b{number:x}:143"
    path = f"/client-chat/{number}"
    site.note(f"sent {first_id} to {first.name}")
    answer = await ask(
        first.callers, "POST", path, first_id, DEADLINE_S, (*PROMPT, prefix)
    )
    events += answer.events
    site.note(f"answered {first_id} {answer.status} {len(events)} {answer.whole}")
    if first is not killed:
        counts.new.append(answer.status == 200)
    if answer.whole or not events:
        return
    await asyncio.sleep(PAUSE_S)
    second = rng.choice(others)
    request_id = f"{first_id}-1"
    headers = (
        *PROMPT,
        prefix,
        f"Last-Event-Id: {events[-1][0]}",
        f"Resumes: {first_id}",
    )
    site.note(f"sent {request_id} to {second.name}, after event {events[-1][0]}")
    answer = await ask(second.callers, "POST", path, request_id, end_s - now(), headers)
    counts.taken_up.append(answer.status == 200)
    site.note(
        f"answered {request_id} {answer.status} {len(answer.events)} {answer.whole} "
        f"{answer.body[:120] if answer.status != 200 else b''}"
    )


async def check_taken_up(site, troubled):
    """Return whether streams that are taken up go on as new ones begin."""
    rng = random.Random(1)
    engines = [
        Engine(f"i-{service}-{n}", service, f"fd-{n}")
        for service in SERVICES
        for n in (1, 2, 3)
    ]
    await site.start(make_split_configuration(), engines, GATEWAYS)
    await asyncio.sleep(1.0)
    killed, counts = site.gateways[0], Counts()
    start_s, tasks, number = now(), [], 0
    while now() < start_s + LENGTH_S:
        if troubled and killed.alive and now() >= start_s + KILLED_S:
            site.note(f"{killed.name} is killed")
            killed.signal(signal.SIGKILL)
            killed.process.wait()
        number += 1
        stream = follow_stream(site, rng, number, killed, counts)
        tasks.append(asyncio.ensure_future(stream))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks)
    for engine in engines:
        for arrived_s, request_id in engine.arrivals_s:
            at_s = arrived_s - start_s
            site.note(f"run {request_id} at {engine.target_id} {at_s:.3f}")
    new = sum(counts.new) / len(counts.new)
    site.note(f"{len(counts.new)} new streams, {new:.3f} began")
    if len(counts.taken_up) < LEAST_TAKEN_UP:
        site.note(f"{len(counts.taken_up)} streams were taken up, too few to judge")
        return True
    taken_up = sum(counts.taken_up) / len(counts.taken_up)
    site.note(f"{len(counts.taken_up)} taken up, {taken_up:.3f} went on")
    return taken_up >= SHARE * new


run_case(check_taken_up, FOLDER)
