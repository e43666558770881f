"""A small deployment on loopback for the cases of the second review.

The store, the targets and the callers are stand-ins in the process of the script; each
gateway is a process of its own, started with the command of the deploy file.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from firworks.sockets import reset_on_close
from firworks.standins.platform_store import PlatformStore
from firworks.standins.platform_targets import STAMP, PlatformTarget

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "club-key"
READY_TIMEOUT_S = 30.0
FIRST_PORT, LAST_PORT = 20_001, 31_999
POLL_S = 0.05
HELD, BROKEN, UNABLE = 0, 1, 2
# As the settings of the two small deployments state them.
BOUNDS = {
    "drain_limit_s": 8,
    "leave_limit_ms": 2000,
    "retry_ratio": 0.2,
    "retry_slack": 104,
    "retry_window_s": 10,
    "cpu_share": 0.731,
    "link_mbps": 350.0,
    "memory_mb": 222,
    "max_descriptors": 1535,
    "engine_placement": "time",
    "stage_answer_times": True,
    "stage_memory_reuse": True,
}
STABILITY_S = 3.0


HEAD_END = b"\r\n\r\n"


class UnableError(Exception):
    """The case could not run."""


class Gateway:
    """One gateway process.

    Args:
        settings (dict): Its settings.
        folder (Path): For its settings and its log.
    """

    def __init__(self, settings, folder):
        self.name = settings["name"]
        self.callers = settings["callers"]
        self.readiness = settings["readiness"]
        self.process = None
        self._path = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        self._path.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        kept["PYTHONPATH"] = str(ROOT / "target/deps")
        kept["FIRWORKS_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=kept, stdout=log, stderr=log
            )

    @property
    def alive(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def read_log(self):
        """Return the log's records (list of dict)."""
        records = []
        for line in self._log.read_text(errors="replace").splitlines():
            try:
                records.append(json.loads(line))
            except ValueError:
                records.append({"text": line})
        return records

    def signal(self, number):
        """Send a signal, if the process runs."""
        if self.alive:
            self.process.send_signal(number)

    def read_peak_bytes(self):
        """Return the most memory (int) that was resident so far."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise UnableError("no VmHWM")

    async def wait_ready(self):
        """Wait until it says that it is ready."""
        end_s = now() + READY_TIMEOUT_S
        while now() < end_s:
            if not self.alive:
                raise UnableError(f"{self.name} ended while it started")
            if await ask_status(self.readiness, "/readyz") == 200:
                return
            await asyncio.sleep(POLL_S)
        raise UnableError(f"{self.name} does not get ready")

    def end(self):
        """End the process."""
        if self.alive:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Server(PlatformTarget):
    """A target that states its start and answers after some work.

    Attributes:
        born_ms (int): Unix time of its start.
        work_s (float): Work before the head of an answer.
        arrivals_s (list of (float, str)): When requests of callers arrived, with ids.
    """

    work_s = 0.02

    def __init__(self, target_id, service, failure_domain="fd-1"):
        super().__init__(target_id, service, failure_domain)
        self.born_ms = int(time.time() * 1000)
        self.arrivals_s = []

    def make_entry(self, state="ready"):
        """Return its entry in the store (dict)."""
        return {**super().make_entry(state), "born": self.born_ms}

    def make_report(self):
        """Return its report (dict)."""
        return {**super().make_report(), "born": self.born_ms}

    async def crash(self, down_s, version=None):
        """Crash, and start again at the same address and under the same id.

        Args:
            down_s (float): Time until it is back.
            version (str or None): Of its software from then on; None for the same.
        """
        self._server.close()
        for writer in list(self._writers):
            reset_on_close(writer.transport)
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.born_ms = int(time.time() * 1000)
        self.version = version or self.version
        await self.start(int(self.address.rsplit(":", 1)[1]))

    async def serve(self, writer, line, headers, body):
        """Work, then answer."""
        self.arrivals_s.append((now(), headers.get("x-request-id", "")))
        await asyncio.sleep(self.work_s)
        await super().serve(writer, line, headers, body)


class Engine(Server):
    """Streams events that name the version of its software.

    Attributes:
        events (int): Events of a stream.
        pause_s (float): Between two events.
    """

    events = 20
    pause_s = 0.2

    async def serve(self, writer, line, headers, body):
        """Send a stream from the event after the one that the request names."""
        request_id = headers.get("x-request-id", "")
        self.arrivals_s.append((now(), request_id))
        version = self.version
        await asyncio.sleep(self.work_s)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            f"X-Server-Stamp: {STAMP}",
            "Transfer-Encoding: chunked",
        ]
        notices = self._list_notices(200, request_id)
        head += [f"{name}: {value}" for name, value in notices]
        writer.write("\r\n".join(head).encode() + HEAD_END)
        begin = int(headers.get("last-event-id", 0)) + 1
        for number in range(begin, self.events + 1):
            event = f"id: {number}\ndata: {number} {version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


class Answer:
    """What a caller got for one attempt.

    Attributes:
        request_id (str): Id of the attempt.
        status (int or None): None without a head.
        whole (bool): The answer came to its end.
        body (bytes): What was read of the body, without its chunks.
        headers (dict): By lower-case name.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.whole = False
        self.body = b""
        self.headers = {}

    @property
    def events(self):
        """The complete events as (id, text) pairs (list)."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            lines = dict(line.split(b": ", 1) for line in event.split(b"\n"))
            found.append((int(lines[b"id"]), lines[b"data"].decode()))
        return found


async def ask(address, method, path, request_id, deadline_s, headers=(), body=b""):
    """Send one request on a new channel and return its `Answer`."""
    answer, writer = Answer(request_id), None
    host, port = address.rsplit(":", 1)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {int(deadline_s * 1000)}",
        *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    try:
        async with asyncio.timeout(deadline_s + 0.5):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + HEAD_END + body)
            await read_answer(reader, answer)
    except (OSError, TimeoutError, EOFError):
        pass  # what was read until then stands in the answer
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


async def read_answer(reader, answer):
    """Read one answer (Answer) from a channel."""
    head = await reader.readuntil(HEAD_END)
    line, *rows = head[: -len(HEAD_END)].decode().split("\r\n")
    for row in rows:
        name, _, value = row.partition(":")
        answer.headers[name.lower()] = value.strip()
    answer.status = int(line.split()[1])
    if "chunked" not in answer.headers.get("transfer-encoding", ""):
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
        answer.whole = True
        return
    while size := int(await reader.readuntil(b"\n"), 16):
        answer.body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    answer.whole = True


class Site:
    """The store, the targets and the gateways.

    Args:
        folder (Path): For settings and logs.
        record (TextIO): Gets what was sent, answered and run.
        store (PlatformStore): The store.
    """

    def __init__(self, folder, record, store):
        self.store = store
        self.gateways = []
        self.targets = []
        self._folder = folder
        self._record = record
        self._started_s = now()

    def note(self, text):
        """Write one line to the record."""
        self._record.write(f"{now() - self._started_s:8.3f} {text}\n")

    async def start(self, configuration, targets, gateways, **settings):
        """Start all parts, and wait until all gateways are ready."""
        await self.store.start()
        self.store.put_configuration(configuration)
        for target in targets:
            await target.start()
            self.targets.append(target)
            self.store.put_target(target.target_id, target.make_entry())
        for number in range(gateways):
            self.add_gateway(number, **settings)
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def add_gateway(self, number, **settings):
        """Prepare a gateway; it is not started."""
        ports = find_free_ports(4)
        names = ("callers", "readiness", "peers", "metrics")
        addresses = {
            name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
        }
        seeds = [one.peers for one in self.gateways[:3]] or [addresses["peers"]]
        table = {
            "name": f"front-{number + 1}",
            "region": "lima-metro",
            "failure_domain": f"fd-{number % 3 + 1}",
            **addresses,
            "seeds": seeds,
            "store": self.store.address,
            **BOUNDS,
            **settings,
        }
        gateway = Gateway(table, self._folder)
        gateway.peers = addresses["peers"]
        self.gateways.append(gateway)
        return gateway

    async def stop(self):
        """End all parts."""
        for gateway in self.gateways:
            gateway.end()
        for target in self.targets:
            await target.stop()
        await self.store.stop()


def now():
    """Return monotonic seconds."""
    return asyncio.get_running_loop().time()


def find_free_ports(count):
    """Return free ports (list of int) of the loopback address.

    They are below those that outgoing connections get, and far from those of another
    script that runs at the same time.
    """
    ports, port = [], random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
    while len(ports) < count:
        port = port + 1 if port < LAST_PORT else FIRST_PORT
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
    return ports


def make_route(name, service, kind, **more):
    """Return a route (dict) of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 8_000,
        "goal-ms": 1_000,
        "priority": 1,
        "service": service,
        "max-attempts": 3,
        "stages": [],
        "public": False,
        **more,
    }


def make_configuration(version=1):
    """Return the configuration (dict) of a small deployment."""
    plain = {"health-path": "/healthz", "max-conns": 96}
    engine = {"slots": 64, "kv-capacity": 232_000}
    return {
        "version": version,
        "routes": [
            make_route("job-lookup", "orders", "idempotent"),
            make_route("deposit-once", "orders", "non_idempotent"),
            make_route("client-chat", "fleet", "streaming", resumable=True),
        ],
        "services": [
            {"name": "orders", **plain},
            {"name": "fleet", **plain, "max-conns": 540, "engine": engine},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "club", "api-keys": [KEY], "priority": 1}],
    }


async def ask_status(address, path, timeout_s=1.0, headers=()):
    """Return the status (int) of the answer to a GET; None without one."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"GET {path} HTTP/1.1", f"Host: {HOST}", *headers, "", ""]
            writer.write("\r\n".join(lines).encode())
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def run_case(case, folder, make_store=PlatformStore):
    """Run a case; exit with 0 if the rule held, 1 if it broke, 2 if it could not run.

    Args:
        case (callable): ``case(site, troubled)`` is a coroutine that returns whether
            the rule held.
        folder (Path): Of the case, for its record.
        make_store (callable): Returns the store (PlatformStore).
    """
    troubled = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        with (
            tempfile.TemporaryDirectory() as temporary,
            (folder / "record.txt").open("w") as record,
        ):
            site = Site(Path(temporary), record, make_store())
            try:
                async with asyncio.timeout(110):
                    held = await case(site, troubled)
                site.note("the rule held" if held else "the rule was broken")
                return HELD if held else BROKEN
            except Exception as error:  # an exit with 1 would mean a broken rule
                site.note(f"the case could not run: {error!r}")
                return UNABLE
            finally:
                await site.stop()
                kept = os.environ.get("KEEP_LOGS")
                if kept:
                    for path in Path(temporary).iterdir():
                        (Path(kept) / path.name).write_bytes(path.read_bytes())

    sys.exit(asyncio.run(run()))
