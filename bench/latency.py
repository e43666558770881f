"""Measures what one daemon adds to a request, and what it spends.

Run ``python -m bench.latency [SECONDS [grow]]`` from the root of the repository;
with ``grow`` the answers of one token come before the long ones. Five
processes: the stand-ins (`bench.latency_site`), one daemon, and this one, which sends
four-stage streamed requests at a daemon's share of the design size, in turns through
the daemon and straight to the stand-ins.
"""

import asyncio
import itertools
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

from firworks.document import parse_document
from firworks.plugins.http_log import HttpLog
from firworks.publication import publish
from firworks.standins.site import find_free_port

DOCUMENT = Path("firworks/examples/zwolle.toml")
PIPELINE = "answer-question"
TOKENS = ("zwolle-club-secretaries", "zwolle-counter-clerks")
RATE_PER_S = 13
TOKENS_PER_S = 4_900
LONG_TOKENS = TOKENS_PER_S // RATE_PER_S
TURN_S = 15.0
# Streams of a turn's first seconds fill the daemon; costs count from then on.
WARM_UP_S = 5.0
IDLE_S = 5.0
ENGINE_PROCESSES = 2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MEBIBYTE = 1 << 20


class Sample:
    """One request: when it began, had its first token, and ended."""

    __slots__ = ("began_s", "first_s", "ended_s", "tokens")

    def __init__(self, began_s):
        self.began_s = began_s
        self.first_s = 0.0
        self.ended_s = 0.0
        self.tokens = 0


class StraightClient:
    """Calls the stand-ins of each stage itself, as an application would.

    Args:
        document (Document): Names the stages.
        addresses (dict of str to str): Address of each target.
    """

    def __init__(self, document, addresses):
        self._document = document
        self._addresses = addresses
        self._turn = 0

    async def __aenter__(self):
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *error):
        await self._session.close()

    async def send(self, body):
        """Run all stages of one request and return its `Sample`."""
        sample = Sample(time.perf_counter())
        previous = None
        self._turn += 1
        for stage in self._document.pipelines[PIPELINE].stages:
            pool = self._document.pools[stage.pool]
            name = pool.targets[self._turn % len(pool.targets)]
            address = self._addresses[name]
            if pool.kind == "engine":
                await self._stream(address, stage.model, body, previous, sample)
            else:
                previous = await self._call(address, stage.operation, body, previous)
        sample.ended_s = time.perf_counter()
        return sample

    async def _call(self, address, operation, body, previous):
        table = {"request": body, "previous": previous}
        url = f"http://{address}/{operation}"
        async with self._session.post(url, json=table) as response:
            return await response.json()

    async def _stream(self, address, model, body, previous, sample):
        prompt = f"{body['prompt']}\n{json.dumps(previous)}"
        table = {"model": model, "prompt": prompt}
        url = f"http://{address}/v1/generate"
        async with self._session.post(url, json=table) as response:
            async for line in response.content:
                if b'"tokens"' in line:
                    note_token(sample, 1)


class DaemonClient:
    """Sends requests to the daemon's callers' listener.

    Attributes:
        tokens (int): Tokens received so far.
        requests (int): Whole answers received so far.
        failed (Counter): Other answers, by their code's name or status and detail.
    """

    def __init__(self, address):
        self._url = f"http://{address}/v1/pipelines/{PIPELINE}"
        self._bearers = itertools.cycle(TOKENS)
        self.tokens = 0
        self.requests = 0
        self.failed = Counter()

    async def __aenter__(self):
        self._session = aiohttp.ClientSession(headers={"Accept": "text/event-stream"})
        return self

    async def __aexit__(self, *error):
        await self._session.close()

    async def send(self, body):
        """Send one request; return its `Sample`, or None without a whole answer."""
        sample = Sample(time.perf_counter())
        ending = {}
        headers = {"Authorization": f"Bearer {next(self._bearers)}"}
        async with self._session.post(
            self._url, json=body, headers=headers
        ) as response:
            async for line in response.content:
                if not line.startswith(b"data:"):
                    continue
                event = json.loads(line[5:])
                if "code" in event:
                    ending = event
                else:
                    note_token(sample, len(event["tokens"]))
                    self.tokens += len(event["tokens"])
        sample.ended_s = time.perf_counter()
        self.requests += 1
        if ending.get("code") != 1000 or ending["count"] != sample.tokens:
            problem = ending.get("name", response.status), ending.get("detail")
            self.failed[problem] += 1
            return None
        return sample


def note_token(sample, count):
    """Count tokens of a sample and the time of the first."""
    if not sample.tokens:
        sample.first_s = time.perf_counter()
    sample.tokens += count


async def send_steadily(client, seconds, rng):
    """Send requests at ``RATE_PER_S``, at random moments; return the samples."""
    tasks = []
    end_s = time.perf_counter() + seconds
    while time.perf_counter() < end_s:
        body = {"prompt": f"Question {rng.getrandbits(48)}: which clocks are free?"}
        tasks.append(asyncio.create_task(client.send(body)))
        await asyncio.sleep(rng.expovariate(RATE_PER_S))
    samples = await asyncio.gather(*tasks)
    return [sample for sample in samples if sample is not None]


class ProcessMeter:
    """Reads processor time and memory of a process from /proc."""

    def __init__(self, pid):
        self._path = Path(f"/proc/{pid}")

    def read_processor_s(self):
        """Return processor seconds, of user and system."""
        fields = (self._path / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def read_memory_bytes(self):
        """Return resident memory."""
        return int((self._path / "statm").read_text().split()[1]) * PAGE_BYTES


class Standins:
    """The processes of the platform and of the engines.

    Attributes:
        addresses (dict of str to str): Of the platform and all targets, by name.
    """

    def __init__(self):
        self.addresses = {}
        self._platform = self._start("platform")
        self._engines = [
            self._start("engines", first, ENGINE_PROCESSES)
            for first in range(ENGINE_PROCESSES)
        ]

    def _start(self, *args):
        words = [sys.executable, "-m", "bench.latency_site", str(DOCUMENT)]
        process = subprocess.Popen(
            [*words, *map(str, args)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addresses |= json.loads(process.stdout.readline())
        return process

    def list_vms(self, daemon, peers):
        """Put a daemon and all engines on the VM list."""
        self._command(self._platform, f"vm {daemon} {peers} entry")
        for name, address in self.addresses.items():
            if name.startswith("engine-"):
                self._command(self._platform, f"vm {name} {address} target")

    def set_tokens(self, count):
        """Set the length of the engines' answers."""
        for process in self._engines:
            self._command(process, f"tokens {count}")

    def stop(self):
        """End all processes."""
        for process in (*self._engines, self._platform):
            process.terminate()
            process.wait()

    def _command(self, process, text):
        process.stdin.write(text + "\n")
        process.stdin.flush()


def start_daemon(addresses, folder):
    """Start a daemon; return the process, its callers' and its peers' address."""
    callers, admin, peers = (f"127.0.0.1:{find_free_port()}" for _ in range(3))
    lines = {
        "name": "entry-1",
        "log_url": addresses["log"],
        "vms_url": addresses["vms"],
        "callers": callers,
        "admin": admin,
        "peers": peers,
        "peer_secret": "bench",
    }
    path = Path(folder) / "daemon.toml"
    path.write_text("".join(f'{key} = "{value}"\n' for key, value in lines.items()))
    log = open(Path(folder) / "daemon.log", "w")
    process = subprocess.Popen(
        [sys.executable, "-m", "firworks.daemon", str(path)], stderr=log
    )
    return process, callers, admin, peers


async def wait_ready(admin):
    """Wait until the daemon is ready."""
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f"http://{admin}/ready") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)


class Phase:
    """What one kind of load cost the daemon, and how long the requests took."""

    __slots__ = ("seconds", "processor_s", "tokens", "requests", "straight", "through")

    def __init__(self):
        self.seconds = 0.0
        self.processor_s = 0.0
        self.tokens = 0
        self.requests = 0
        self.straight = []
        self.through = []


async def meter_turn(phase, client, meter):
    """Add what the daemon spends from the warm-up to the end of a turn."""
    await asyncio.sleep(WARM_UP_S)
    began_s, spent_s = time.perf_counter(), meter.read_processor_s()
    tokens, requests = client.tokens, client.requests
    await asyncio.sleep(TURN_S - WARM_UP_S)
    phase.seconds += time.perf_counter() - began_s
    phase.processor_s += meter.read_processor_s() - spent_s
    phase.tokens += client.tokens - tokens
    phase.requests += client.requests - requests


async def run_phase(straight, through, meter, seconds, rng):
    """Alternate between the two ways and return the `Phase`."""
    phase = Phase()
    for _ in range(max(1, round(seconds / TURN_S))):
        phase.straight += await send_steadily(straight, TURN_S, rng)
        samples, _ = await asyncio.gather(
            send_steadily(through, TURN_S, rng), meter_turn(phase, through, meter)
        )
        phase.through += samples
    return phase


def quantile(values, share):
    """Return a quantile by nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_latency(name, phase, begin, end):
    """Print one line: straight, through, added, ratio at the median and at p95."""
    for share in (0.5, 0.95):
        straight, through = (
            1000 * quantile([getattr(s, end) - getattr(s, begin) for s in items], share)
            for items in (phase.straight, phase.through)
        )
        added, ratio = through - straight, through / straight
        print(
            f"{name:<28} p{round(100 * share):<3} {straight:>10.2f} {through:>10.2f}"
            f" {added:>9.2f} {ratio:>7.3f}"
        )


def print_costs(idle_share, short, long, memory):
    """Print processor time and memory."""
    per_request = short.processor_s - idle_share * short.seconds
    per_request /= short.requests
    rest = long.processor_s - idle_share * long.seconds
    rest -= per_request * long.requests
    load = long.processor_s / long.seconds
    print(f"requests a second              {long.requests / long.seconds:.1f}")
    print(f"tokens a second                {long.tokens / long.seconds:.0f}")
    print(f"idle, share of a core          {idle_share:.3f}")
    print(f"under load, share of a core    {load:.3f}")
    print(f"ms of processor per request    {1000 * per_request:.2f}")
    print(f"ms of processor per 1,000 tokens {1_000_000 * rest / long.tokens:.1f}")
    print(f"memory before load, MiB        {memory[0] / MEBIBYTE:.1f}")
    print(f"memory after load, MiB         {memory[1] / MEBIBYTE:.1f}")


async def measure(seconds, grow, folder):
    """Run all phases and print the tables."""
    standins = Standins()
    daemon = None
    log = HttpLog(standins.addresses["log"])
    try:
        await publish(log, "production", DOCUMENT.read_bytes())
        daemon, callers, admin, peers = start_daemon(standins.addresses, folder)
        standins.list_vms("entry-1", peers)
        await asyncio.wait_for(wait_ready(admin), 20)
        await measure_phases(seconds, grow, standins, daemon, callers)
    finally:
        await log.close()
        if daemon is not None:
            daemon.terminate()
            daemon.wait()
        standins.stop()


async def measure_phases(seconds, grow, standins, daemon, callers):
    """Measure idle, short and long answers, and print.

    Learned latencies carry over from phase to phase, so the order matters.
    """
    document = parse_document(DOCUMENT.read_bytes())
    rng = random.Random(1)
    meter = ProcessMeter(daemon.pid)
    async with (
        StraightClient(document, standins.addresses) as straight,
        DaemonClient(callers) as through,
    ):
        lengths = (1, LONG_TOKENS) if grow else (LONG_TOKENS, 1)
        standins.set_tokens(lengths[0])
        await run_phase(straight, through, meter, TURN_S, rng)
        before_s = meter.read_processor_s()
        await asyncio.sleep(IDLE_S)
        idle_share = (meter.read_processor_s() - before_s) / IDLE_S
        memory = [meter.read_memory_bytes()]
        phases = {}
        for tokens in lengths:
            standins.set_tokens(tokens)
            phase = await run_phase(straight, through, meter, seconds, rng)
            phases[tokens] = phase
            print(f"{tokens} tokens: not whole {dict(through.failed)}")
            through.failed.clear()
        memory.append(meter.read_memory_bytes())
    short, long = phases[1], phases[LONG_TOKENS]
    heads = ("straight", "through", "added", "ratio")
    print(" " * 33 + "{:>10} {:>10} {:>9} {:>7}".format(*heads))
    print_latency("1 token: whole answer, ms", short, "began_s", "ended_s")
    print_latency("long: first token, ms", long, "began_s", "first_s")
    print_latency("long: whole answer, ms", long, "began_s", "ended_s")
    print_costs(idle_share, short, long, memory)


def main():
    """Measure for the seconds given, or 30, in each phase."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(seconds, "grow" in sys.argv, folder))


if __name__ == "__main__":
    main()
