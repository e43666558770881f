"""Time for a publication to be in force in real daemons, each a process.

Run ``python -m bench.configuration_processes``. Times include the publication
itself and are read off every daemon's status page to within a poll.
"""

import asyncio
import json
import random
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

import aiohttp
import fire

from firworks.publication import publish
from firworks.standins.site import Site, find_free_port
from firworks.standins.web import LOOPBACK
from firworks.tests.kit import make_document, make_document_bytes

POLL_S = 0.05
START_TIMEOUT_S = 120.0
IN_FORCE_TIMEOUT_S = 60.0


class Fleet:
    """Daemons in processes of their own, and their status pages.

    Args:
        site (Site): Their platform.
        directory (Path): Where their settings are written.
        session (aiohttp.ClientSession): For their status pages.
    """

    def __init__(self, site, directory, session):
        self._site = site
        self._directory = directory
        self._session = session
        self._admins = []
        self._children = []

    async def start(self, number):
        """Start one daemon."""
        name = f"vm-{number:02d}"
        admin = f"{LOOPBACK}:{find_free_port()}"
        callers = f"{LOOPBACK}:{find_free_port()}"
        domain = f"fd-{number % 3}"
        places = {"admin": admin, "callers": callers, "failure_domain": domain}
        table = self._site.make_settings(name, **places)
        vm = {"name": name, "address": table["peers"], "role": "entry"}
        vm |= {"region": "region-1", "failure_domain": domain}
        self._site.vms.put(vm)
        path = self._directory / f"{name}.toml"
        lines = [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        path.write_text("\n".join(lines))
        child = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "firworks.daemon", str(path)),
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._admins.append(admin)
        self._children.append(child)

    async def wait(self, version):
        """Wait until every daemon has a version in force."""
        await asyncio.gather(*(self._wait_one(a, version) for a in self._admins))

    async def _wait_one(self, admin, version):
        while await self._read_version(admin) != version:
            await asyncio.sleep(POLL_S)

    async def _read_version(self, admin):
        try:
            async with self._session.get(f"http://{admin}/status") as response:
                status = await response.json()
                return status["version"] if status["ready"] else None
        except aiohttp.ClientError:
            return None

    async def stop(self):
        """End the daemons."""
        for child in self._children:
            child.kill()
        await asyncio.gather(*(child.wait() for child in self._children))


async def measure(size, publications, seed):
    """Return the times (list of seconds) from publishing to in force everywhere."""
    rng = random.Random(seed)
    site = Site(make_document())
    await site.start()
    times = []
    with tempfile.TemporaryDirectory() as directory:
        async with aiohttp.ClientSession() as session:
            fleet = Fleet(site, Path(directory), session)
            try:
                log = site.open_log()
                first = await publish(log, "production", make_document_bytes())
                for number in range(size):
                    await fleet.start(number)
                async with asyncio.timeout(START_TIMEOUT_S):
                    await fleet.wait(first.offset)
                for number in range(publications):
                    await asyncio.sleep(rng.uniform(1.0, 4.0))
                    data = make_document_bytes() + f"# change {number}\n".encode()
                    begun_s = time.monotonic()
                    decision = await publish(log, "production", data)
                    async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                        await fleet.wait(decision.offset)
                    times.append(time.monotonic() - begun_s)
            finally:
                await fleet.stop()
                await site.stop()
    return times


def main(size=18, publications=20, seed=1):
    """Print how long publications took.

    Args:
        size (int): Daemons.
        publications (int): How many to time.
        seed (int): Of the pauses between them.
    """
    times = asyncio.run(measure(size, publications, seed))
    print("daemons  publications   p50 s   max s")
    print(f"{size:7d}  {len(times):12d}  {median(times):6.2f}  {max(times):6.2f}")


if __name__ == "__main__":
    fire.Fire(main)
