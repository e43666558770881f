"""Soaks gateways: ``python -m bench.soak --seed 1 --length 20 --gateways 4``."""

import asyncio
import collections
import signal
import sys
import tempfile
import tomllib
from pathlib import Path
from random import Random

import aiohttp
import fire

from bench.soak.callers import KINDS, Caller, DeadlyCaller, make_deadly_prompt
from bench.soak.faults import FaultPlan
from bench.soak.limits import LimitPlan, check_limits
from bench.soak.misbehaving import MisbehavingCallers
from bench.soak.notices import PART_ENDS, check_ends, check_notices
from bench.soak.promises import check_promises
from bench.soak.site import run_site

CALLERS_PER_GATEWAY = 6
# Until all gateways have started and know the site.
SETTLE_S = 4.0
# Within this time after the last fault, all gateways serve all kinds again.
RECOVER_S = 20.0
STAGE_CALLS = ("POST /stage-run", "POST /stage-free")
SEEDS_PATH = Path(__file__).with_name("seeds.toml")


async def soak(folder, seed, length_s, gateways):
    """Run one seed; return the violations and a table of how requests ended.

    Args:
        folder (Path): For settings and logs.
        seed (int): Decides faults and load.
        length_s (float): How long faults are injected.
        gateways (int): How many processes.

    Returns:
        tuple: Violations (list of str), and counts (collections.Counter) by status.
    """
    rng = Random(seed)
    attempts = []
    async with run_site(folder, gateways, rng.random()) as site:
        await asyncio.sleep(SETTLE_S)
        callers = [
            asyncio.ensure_future(
                Caller(number, site, Random(rng.random()), attempts).run()
            )
            for number in range(gateways * CALLERS_PER_GATEWAY)
        ]
        deadly = DeadlyCaller(site, Random(rng.random()))
        plan = FaultPlan(site, Random(rng.random()))
        limits = asyncio.ensure_future(LimitPlan(site, Random(rng.random())).run())
        tainted = DeadlyCaller(site, Random(rng.random()), "part", make_deadly_prompt)
        misbehaving = MisbehavingCallers(site, Random(rng.random()))
        ending = asyncio.gather(deadly.run(), tainted.run(), misbehaving.run())
        await plan.run(length_s)
        limits.cancel()
        ending.cancel()
        await asyncio.gather(ending, return_exceptions=True)
        violations = await check_recovery(site, attempts)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        runs = [
            run
            for target in site.targets.values()
            for run in target.runs
            if not run.line.startswith(STAGE_CALLS)
        ]
        known = {attempt.request_id for attempt in attempts}
        # Attempts that were cancelled with their callers ended unseen.
        runs = [run for run in runs if run.request_id in known or not run.request_id]
        violations += misbehaving.violations
        by_name = {gateway.name: gateway for gateway in site.gateways}
        violations += check_promises(attempts, runs, plan, by_name, site)
        violations += check_ends(deadly.sent, site, plan, by_name)
        violations += check_ends(tainted.sent, site, plan, by_name, PART_ENDS)
        sent = {one.request_id: (one.gateway, one.sent_s) for one in attempts}
        violations += check_notices(sent, site, plan, by_name)
        violations += check_limits(sent, site, plan, by_name)
        counts = collections.Counter(str(a.status or "no answer") for a in attempts)
        return violations, counts


async def check_recovery(site, attempts):
    """Return the kinds that gateways do not serve again in time, as texts."""
    end_s = site.clock() + RECOVER_S
    missing = [(gateway, kind) for gateway in site.gateways for kind in KINDS]
    number = 0
    while missing and site.clock() < end_s:
        number += 1
        async with aiohttp.ClientSession() as session:
            session._retry_connection = False
            caller = Caller(f"r{number}", site, Random(number), attempts)
            asked = [
                await caller.ask(session, gateway, kind) for gateway, kind in missing
            ]
        missing = [
            one
            for one, attempt in zip(missing, asked, strict=True)
            if attempt.status != 200
        ]
    return [f"{gateway.name} does not serve {kind.name}" for gateway, kind in missing]


def list_seeds():
    """Return the cases (list of dict) that failed once."""
    return tomllib.loads(SEEDS_PATH.read_text()).get("case", [])


def main(seed=None, count=1, length=20.0, gateways=4, keep="", failed=False):
    """Soak some seeds and report.

    Args:
        seed (int): The first seed; drawn if left out.
        count (int): How many seeds, one after the other.
        length (float): Seconds of faults for each.
        gateways (int): Processes.
        keep (str): Folder for logs; else they are deleted.
        failed (bool): Run the seeds that failed once instead.
    """
    # Gateways must not outlive a soak that is stopped.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    seed = Random().randrange(10**9) if seed is None else seed
    cases = [(seed + step, length, gateways) for step in range(count)]
    if failed:
        cases = [(c["seed"], c["length_s"], c["gateways"]) for c in list_seeds()]
    red = 0
    for number, length_s, size in cases:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(keep) / str(number) if keep else Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            violations, counts = asyncio.run(soak(folder, number, length_s, size))
        ended = " ".join(f"{name}:{n}" for name, n in sorted(counts.items()))
        print(f"seed {number} {length_s} s, {size} gateways: {ended}", flush=True)
        for text in violations:
            print(f"  BROKEN {text}", flush=True)
        red += bool(violations)
    print(f"{len(cases)} seeds, {red} with a broken promise")
    sys.exit(1 if red else 0)


if __name__ == "__main__":
    fire.Fire(main)
