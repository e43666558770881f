"""Plays a request that ends each target which runs it, and the same ends without one.

Run ``python -m bench.crash_series [--length 11]``. One request is sent again every
0.25 s through three gateways in turn. Printed are how many targets ended, and how many
requests reached targets later than ``STABLE_S`` after the third end: at most three may.
Then all targets of a service end at one moment while many callers ask for one thing:
printed is how many of them are served from two seconds after the targets' return on.

A second table is of a prompt part that crashes engines: requests with it, no two
alike, beside sound ones of the same caller. Printed are the crashes, the requests with
the part that reached engines later than ``STABLE_S`` after the fifth crash (at most
three may), and which share of the sound requests was served before, during, and from
``SETTLED_S`` on.
"""

import asyncio
import logging

import fire
from loguru import logger

from firworks.events import TEXT_FORMAT
from firworks.standins.crashing_targets import (
    CLOSE,
    EVENT,
    FAIL,
    HEAD,
    RESET,
    SILENT,
    CrashingEngine,
    CrashingStage,
    CrashingTarget,
)
from firworks.tests.crash_testbed import make_path, run_crash_testbed
from firworks.tests.prompt_traffic import DEADLY_PROMPTS, PromptTraffic

PERIOD_S = 0.25
# Allowance of the platform's rules between the third end and the sends that count.
STABLE_S = 3.0
HOT = "hot request after the end of its service"
HOT_PER_S = 30
WORK_S = 0.2
BEFORE_S = 2.0
DOWN_S = 1.0
RETURN_S = 2.0
AFTER_S = 4.0
SERIES = (
    ("closes, back after 1 s", CrashingTarget, {"manner": CLOSE}),
    (
        "closes, same entry each time",
        CrashingTarget,
        {"manner": CLOSE, "keeps_entry": True},
    ),
    ("reset, back at once", CrashingTarget, {"manner": RESET, "back_s": 0.0}),
    (
        "reset, back at once, same entry",
        CrashingTarget,
        {"manner": RESET, "back_s": 0.0, "keeps_entry": True},
    ),
    ("some runs fail", CrashingTarget, {"manner": FAIL, "back_s": 0.0}),
    ("head, then reset", CrashingTarget, {"manner": HEAD, "back_s": 0.0}),
    ("silent for 1 s", CrashingTarget, {"manner": SILENT}),
    ("stream breaks off", CrashingEngine, {"manner": EVENT, "back_s": 0.0}),
    ("a piece ends stage targets", CrashingStage, {"manner": CLOSE}),
)


SOUND_PER_S = 12
PARTS_LENGTH_S = 21.0
SETTLED_S = 6.0
FREE_CRASHES = 5
# Name, requests with the part per second, traits of engines, whether the store is
# silent, and where the part is.
PART_SERIES = (
    ("3 a second", 3, {}, False, "middle"),
    ("12 a second", 12, {}, False, "middle"),
    ("3 a second, same entry each time", 3, {"keeps_entry": True}, False, "middle"),
    ("3 a second, store silent", 3, {}, True, "middle"),
    ("3 a second, sound ones take 0.3 s", 3, {"work_s": 0.3}, False, "middle"),
    ("3 a second, beside a rare part", 3, {}, False, "beside a rare part"),
)


async def play_series(cls, traits, length_s):
    """Return (ends, requests that reached targets late) of one series."""
    path, headers = make_path(cls)
    async with run_crash_testbed(cls, **traits) as world:
        count = int(length_s / PERIOD_S)
        await world.repeat(path, PERIOD_S, count, **headers)
        ended_s = world.ended_s
        if len(ended_s) < 3:
            return len(ended_s), 0
        late = [time_s for time_s in world.reached_s if time_s > ended_s[2] + STABLE_S]
        return len(ended_s), len(late)


async def play_parts(deadly_per_s, traits, silent_store, parts):
    """Return (crashes, late sends, shares of sound requests served) of one series."""
    traits = {"manner": CLOSE, "back_s": 1.5, "prefill_s": 0.1, **traits}
    async with run_crash_testbed(CrashingEngine, 4, 6, **traits) as world:
        before = PromptTraffic(world, SOUND_PER_S, 0)
        await before.run(BEFORE_S)
        world.store.silent = silent_store
        traffic = PromptTraffic(world, SOUND_PER_S, deadly_per_s, DEADLY_PROMPTS[parts])
        begun_s = asyncio.get_running_loop().time()
        await traffic.run(PARTS_LENGTH_S)
        ended_s, late = world.ended_s, 0
        if len(ended_s) >= FREE_CRASHES:
            limit_s = ended_s[FREE_CRASHES - 1] + STABLE_S
            late = sum(time_s > limit_s for time_s in world.reached_s)
        served = (
            before.measure_served(0),
            traffic.measure_served(begun_s),
            traffic.measure_served(begun_s + SETTLED_S),
        )
        return len(ended_s), late, served


async def play_hot():
    """Return (served, sent) of one hot request after its whole service has ended."""
    async with run_crash_testbed(targets=3, manner=CLOSE, work_s=WORK_S) as world:
        count = int((BEFORE_S + DOWN_S + RETURN_S + AFTER_S) * HOT_PER_S)
        asking = asyncio.ensure_future(world.repeat("/stock/hot", 1 / HOT_PER_S, count))
        await asyncio.sleep(BEFORE_S)
        for target in world.crashing:
            target.end(DOWN_S)
        await asyncio.sleep(DOWN_S + RETURN_S)
        first = len(world.statuses)
        await asking
        statuses = world.statuses[first:]
        return statuses.count(200), len(statuses)


def main(length=11.0, only="", log=""):
    """Print the table.

    Args:
        length (float): Seconds of each series.
        only (str): Plays the series whose names contain this.
        log (str): File for the gateways' log; none without it.
    """
    logger.remove()
    if log:
        logger.add(log, format=TEXT_FORMAT)
    # Answers that are cut off on purpose are not faults of the listener.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    print("| How targets end | ended | reached late |\n|---|---|---|")
    for name, cls, traits in SERIES:
        if only not in name:
            continue
        ended, late = asyncio.run(play_series(cls, traits, length))
        print(f"| {name} | {ended} | {late} |", flush=True)
    if only in HOT:
        served, sent = asyncio.run(play_hot())
        print(f"{HOT}: {served} of {sent} served")
    print("| A part crashes engines | crashes | reached late | sound served |")
    print("|---|---|---|---|")
    for name, *series in PART_SERIES:
        if only in name:
            crashes, late, served = asyncio.run(play_parts(*series))
            shares = ", ".join(f"{share:.2f}" for share in served)
            print(f"| {name} | {crashes} | {late} | {shares} |", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
