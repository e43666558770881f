"""Slopes that docs/CAPACITY.md extrapolates: documents, VM lists, log reads.

Run ``python -m bench.capacity``.
"""

import asyncio
import json
import time
import tracemalloc
import zlib
from hashlib import sha256
from multiprocessing import Pipe, Process

from firworks.document import parse_document
from firworks.plugins.http_log import HttpLog
from firworks.plugins.http_vms import parse_vms
from firworks.standins.log import LogStandin

DOCUMENT_SIZES = ((5, 17, 3), (100, 100, 6), (400, 300, 12), (1_300, 650, 12))
VM_COUNTS = (30, 250, 980)
LOG_READS = 400


def make_document_text(accounts, targets, pipelines):
    """Return a document of some size as TOML bytes."""
    lines = ["format = 1"]
    pools = max(1, targets // 50)
    for pool in range(pools):
        names = [f"target-{n:04d}" for n in range(pool, targets, pools)]
        lines += [f"[pools.pool-{pool}]", 'kind = "service"']
        lines.append(f"targets = {json.dumps(names)}")
    for pipeline in range(pipelines):
        lines += [f"[pipelines.pipeline-{pipeline}]", "deadline_ms = 8000"]
        for stage in range(5):
            lines.append(f"[[pipelines.pipeline-{pipeline}.stages]]")
            lines.append(f'name = "stage-{stage}"\noperation = "run"')
            lines.append(f'pool = "pool-{stage % pools}"')
    for account in range(accounts):
        digest = sha256(str(account).encode()).hexdigest()
        lines += [f"[accounts.account-{account:04d}]", f'token_sha256 = ["{digest}"]']
        lines += ["rate_per_s = 20.0", "concurrency = 40"]
    return "\n".join(lines).encode()


def measure_documents():
    """Print bytes, time to parse and memory by the document's size."""
    print("accounts  targets  bytes  compressed  parse ms  memory KB")
    for accounts, targets, pipelines in DOCUMENT_SIZES:
        data = make_document_text(accounts, targets, pipelines)
        started_s = time.process_time()
        parse_document(data)
        parse_ms = 1000 * (time.process_time() - started_s)
        tracemalloc.start()
        document = parse_document(data)
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del document
        packed = len(zlib.compress(data))
        print(
            f"{accounts:8d}  {targets:7d}  {len(data):6d}  {packed:10d}"
            f"  {parse_ms:8.1f}  {memory / 1024:9.0f}"
        )


def measure_vm_lists():
    """Print bytes and time to parse by the length of the VM list."""
    print("VMs  bytes  compressed  parse ms")
    for count in VM_COUNTS:
        vms = [
            {
                "name": f"vm-{index:04d}",
                "address": f"10.1.{index // 250}.{index % 250}:8082",
                "role": "entry" if index % 3 == 0 else "target",
                "region": f"region-{index % 2}",
                "failure_domain": f"fd-{index % 4}",
                "leaving": False,
            }
            for index in range(count)
        ]
        data = json.dumps({"vms": vms}).encode()
        started_s = time.process_time()
        parse_vms(json.loads(data))
        parse_ms = 1000 * (time.process_time() - started_s)
        print(f"{count:3d}  {len(data):6d}  {len(zlib.compress(data)):10d}", end="")
        print(f"  {parse_ms:8.2f}")


def _serve_log(pipe):
    async def serve():
        standin = LogStandin()
        pipe.send(await standin.start())
        while not pipe.poll():
            await asyncio.sleep(0.05)
        await standin.stop()

    asyncio.run(serve())


async def _read_log(url):
    log = HttpLog(url)
    await log.read("config", 0)
    started_s = time.process_time()
    for _ in range(LOG_READS):
        await log.read("config", 0)
    spent_s = time.process_time() - started_s
    await log.close()
    return 1e6 * spent_s / LOG_READS


def measure_log_reads():
    """Print the processor time of one read of a log stream without news."""
    ours, theirs = Pipe()
    process = Process(target=_serve_log, args=(theirs,))
    process.start()
    spent_us = asyncio.run(_read_log(ours.recv()))
    ours.send(None)
    process.join()
    print(f"one empty read of a log stream: {spent_us:.0f} us of processor time")


if __name__ == "__main__":
    measure_documents()
    measure_vm_lists()
    measure_log_reads()
