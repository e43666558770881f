"""Measures what targets that name a limit get from several gateways.

Run ``python -m bench.limit_series``. Six gateways on loopback get 24 requests a second,
in turn. Printed for each limited target are the most requests in any window of the
platform's rule, how many the rule allows, and all requests of the measured time; then
how many requests ended with which status.
"""

import asyncio
from collections import Counter

import aiohttp
import fire
from loguru import logger

from firworks.standins.platform_targets import (
    PlatformEngine,
    PlatformStage,
    PlatformTarget,
)
from firworks.tests.gateway_testbed import run_testbed, wait_until
from firworks.tests.limit_rule import STABLE_S, compute_allowed, count_most
from firworks.tests.test_availability import SERVICE_CASES

GATEWAYS = 6
RATE_PER_S = 24
LENGTH_S = 14.0
REPLACED_GATEWAYS = 3
REPLACE_INTERVAL_S = 3.0
REQUESTS = {service: (path, headers) for service, path, headers in SERVICE_CASES}
TARGETS = {
    "loans": ("loans", PlatformTarget),
    "engines": ("engine", PlatformEngine),
    "repair": ("repair", PlatformStage),
}


async def silence_store(testbed):
    """Let the store fall silent."""
    testbed.store.silent = True


async def replace_gateways(testbed):
    """Replace some gateways, one after the other."""
    for number in range(REPLACED_GATEWAYS):
        await asyncio.sleep(REPLACE_INTERVAL_S)
        await testbed.gateways.pop(0).stop()
        await testbed.add_gateway(f"gateway-new-{number}", ready=False)


# Title, service, limits of its targets, fault of the first one, disturbance.
SERIES = (
    ("one of three", "loans", ("1", None, None), "", None),
    ("one of three", "loans", ("0.5", None, None), "", None),
    ("all three", "loans", ("2", "2", "2"), "", None),
    ("the only one", "loans", ("4",), "", None),
    ("the only one, busy", "loans", ("1",), "busy", None),
    ("the only one, failing", "loans", ("1",), "fail", None),
    ("the only one, breaking off", "loans", ("1",), "cut", None),
    ("one of three", "engines", ("1", None, None), "", None),
    ("the only one", "engines", ("3",), "", None),
    ("one of three", "repair", ("1", None, None), "", None),
    ("the only one", "repair", ("3",), "", None),
    ("the store silent", "loans", ("2",), "", silence_store),
    ("gateways replaced", "loans", ("2",), "", replace_gateways),
)


async def play(title, service, limits, fault, disturb):
    """Play one row of ``SERIES`` and print its result."""
    prefix, cls = TARGETS[service]
    async with run_testbed(GATEWAYS) as testbed:
        for number in range(3, len(limits) + 1):
            await testbed.add_target(cls, f"{prefix}-{number}", service)
        for number in range(len(limits) + 1, 3):
            await testbed.targets[f"{prefix}-{number}"].stop()
            testbed.store.put_target(f"{prefix}-{number}", None)
        names = [f"{prefix}-{number + 1}" for number in range(len(limits))]
        targets = [testbed.targets[name] for name in names]
        await wait_until(
            lambda: all(one.roster.count == GATEWAYS for one in testbed.gateways)
        )
        for target, limit in zip(targets, limits, strict=True):
            target.limit = limit
        targets[0].fault = fault
        begin_s = asyncio.get_running_loop().time() + STABLE_S
        disturbing = asyncio.ensure_future(disturb(testbed)) if disturb else None
        statuses = await send_requests(testbed, *REQUESTS[service])
        if disturbing is not None:
            await disturbing
        rows = []
        for target, limit in zip(targets, limits, strict=True):
            times_s = [time_s for time_s, _ in target.arrivals if time_s > begin_s]
            allowed = "any" if limit is None else compute_allowed(float(limit))
            rows.append(f"{count_most(times_s)} of {allowed} ({len(times_s)})")
        ended = " ".join(f"{status}:{n}" for status, n in sorted(statuses.items()))
        named = "/".join(limit or "-" for limit in limits)
        print(
            f"{service:8} {title:27} {named:8} {'; '.join(rows)}; {ended}", flush=True
        )


async def send_requests(testbed, path, headers):
    """Send requests for ``LENGTH_S``; return how many ended with which status."""
    loop = asyncio.get_running_loop()
    begin_s, tasks = loop.time(), []
    for number in range(int(LENGTH_S * RATE_PER_S)):
        gateway = testbed.gateways[number % len(testbed.gateways)]
        request = send_request(testbed, gateway, f"{path}{number}", headers)
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(begin_s + number / RATE_PER_S - loop.time())
    return Counter(await asyncio.gather(*tasks))


async def send_request(testbed, gateway, path, headers):
    """Send one request and return its status (str)."""
    try:
        return str((await testbed.send_request(path, "POST", gateway, **headers))[0])
    except aiohttp.ClientError:
        return "no response"


def main():
    """Play all rows of ``SERIES``, one after the other."""
    logger.remove()

    async def run():
        for row in SERIES:
            await play(*row)

    asyncio.run(run())


if __name__ == "__main__":
    fire.Fire(main)
