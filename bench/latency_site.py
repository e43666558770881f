"""Process that holds stand-ins of `bench.latency`: the platform, or some engines.

``python -m bench.latency_site DOCUMENT platform`` serves the log, the VM list and the
document's services; ``... engines FIRST STEP`` serves every STEPth engine. Prints one
JSON line with its addresses, then takes one command a line on standard input:
``tokens N`` sets the length of the engines' answers, ``vm NAME ADDRESS ROLE`` puts a
VM on the VM list.
"""

import asyncio
import json
import sys
from pathlib import Path

from firworks.document import Document, parse_document
from firworks.standins.engine import StandinEngine
from firworks.standins.site import Site

INTERVAL_S = 0.01


class Platform:
    """The log service, the VM list and the services."""

    def __init__(self, document):
        pools = {n: pool for n, pool in document.pools.items() if pool.kind != "engine"}
        self._site = Site(Document(document.digest, {}, pools, {}))

    async def start(self):
        """Start and return the addresses, by name."""
        await self._site.start()
        addresses = {n: target.address for n, target in self._site.targets.items()}
        return {"log": self._site.log_url, "vms": self._site.vms_url, **addresses}

    def obey(self, words):
        """Put a VM on the VM list."""
        entry = dict(zip(("name", "address", "role"), words[1:], strict=True))
        domain = {"region": "region-1", "failure_domain": "fd-1"}
        self._site.vms.put({**entry, **domain})


class Engines:
    """Some of the document's engines."""

    def __init__(self, document, first, step):
        pools = [pool for pool in document.pools.values() if pool.kind == "engine"]
        names = [name for pool in pools for name in pool.targets][first::step]
        self._engines = [
            StandinEngine(name, tokens=1, interval_s=INTERVAL_S) for name in names
        ]

    async def start(self):
        """Start and return the addresses, by name."""
        for engine in self._engines:
            await engine.start()
        return {engine.name: engine.address for engine in self._engines}

    def obey(self, words):
        """Set the length of the answers."""
        for engine in self._engines:
            engine.tokens = int(words[1])


async def run(standins):
    """Run stand-ins until standard input ends."""
    print(json.dumps(await standins.start()), flush=True)
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    while line := (await reader.readline()).decode().split():
        standins.obey(line)


def main():
    """Serve what the command line names."""
    path, role, *numbers = sys.argv[1:]
    document = parse_document(Path(path).read_bytes(), path)
    if role == "platform":
        standins = Platform(document)
    else:
        standins = Engines(document, *map(int, numbers))
    asyncio.run(run(standins))


if __name__ == "__main__":
    main()
