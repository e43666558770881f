"""What a daemon without requests spends, as real processes over real sockets.

Run ``python -m bench.fleet_processes``.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from statistics import mean

import fire

from firworks.publication import publish
from firworks.standins.site import Site
from firworks.tests.kit import make_document, make_document_bytes

SIZES = (1, 6, 12, 18)
SETTLE_S = 15
MEASURED_S = 30


class Members:
    """Daemons in processes of their own.

    Args:
        site (Site): Their platform.
        directory (Path): Where their settings are written.
    """

    def __init__(self, site, directory):
        self._site = site
        self._directory = directory
        self._processes = []

    async def start(self, size):
        """Start daemons."""
        for number in range(size):
            table = self._site.make_settings(f"d{number:02d}")
            table["failure_domain"] = f"fd-{number % 3}"
            path = self._directory / f"{table['name']}.toml"
            lines = [f"{key} = {json.dumps(value)}" for key, value in table.items()]
            path.write_text("\n".join(lines))
            self._site.vms.put(
                {
                    "name": table["name"],
                    "address": table["peers"],
                    "role": "entry",
                    "region": "region-1",
                    "failure_domain": table["failure_domain"],
                }
            )
            self._processes.append(await _spawn(path))

    async def ask(self):
        """Return each daemon's report."""
        for process in self._processes:
            process.stdin.write(b"\n")
        lines = [await process.stdout.readline() for process in self._processes]
        return [json.loads(line) for line in lines]

    async def stop(self):
        """End the daemons."""
        for process in self._processes:
            process.stdin.close()
        await asyncio.gather(*(process.wait() for process in self._processes))


async def _spawn(path):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.fleet_member",
        str(path),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )


async def measure(size):
    """Return the mean figures of `size` daemons as a dict."""
    site = Site(make_document())
    await site.start()
    with tempfile.TemporaryDirectory() as directory:
        members = Members(site, Path(directory))
        try:
            await publish(site.open_log(), "production", make_document_bytes())
            await members.start(size)
            await asyncio.sleep(SETTLE_S)
            before = await members.ask()
            await asyncio.sleep(MEASURED_S)
            after = await members.ask()
        finally:
            await members.stop()
            await site.stop()
    return _summarize(before, after)


def _summarize(before, after):
    pairs = list(zip(before, after, strict=True))

    def rate(name):
        return mean((b[name] - a[name]) / (b["at_s"] - a["at_s"]) for a, b in pairs)

    return {
        "messages": rate("messages"),
        "payload": rate("payload_bytes"),
        "wire": rate("wire_bytes"),
        "core": 100 * rate("core_s"),
        "memory": mean(b["memory_bytes"] for b in after) / 2**20,
        "alive": min(b["alive"] for b in after),
        "ready": all(b["ready"] for b in after),
    }


def main(sizes=SIZES):
    """Print one row for each size.

    Args:
        sizes (tuple of int): Numbers of daemons.
    """
    print("daemons  messages/s  payload B/s  wire B/s  core %  memory MB  alive  ready")
    for size in sizes:
        row = asyncio.run(measure(size))
        print(
            f"{size:7d}  {row['messages']:10.1f}  {row['payload']:11.0f}"
            f"  {row['wire']:8.0f}  {row['core']:6.2f}  {row['memory']:9.1f}"
            f"  {row['alive']:5d}  {row['ready']}",
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(main)
