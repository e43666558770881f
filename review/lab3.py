"""A small deployment on loopback for the cases 11 to 14 of the third review.

The gateways are processes of their own, started with the command of the deploy file and
with settings rendered from its template. The store is the project's stand-in; targets
and callers are small ones that follow the users' pages.
"""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from itertools import count
from pathlib import Path
from random import Random

from firworks.standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "club"
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_S = 1.2
RESTART_S = 0.6
MEMORY_MB = 222
# Ports below those that outgoing connections get.
PORTS = (15_000, 31_000)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def find_ports(number):
    """Return some free ports (list of int)."""
    rng, ports = Random(), []
    while len(ports) < number:
        port = rng.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """The record of a case: what was sent, answered and run.

    Args:
        path (Path): Of the file.
    """

    def __init__(self, path):
        self._began_s = time.monotonic()
        self._file = path.open("w")

    def note(self, text):
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text):
        """Write a line that also goes to the standard output."""
        self.note(text)
        print(text, flush=True)


def render(template, table):
    """Return the settings file that the platform makes from a template.

    Args:
        template (str): The template of the deploy file.
        table (dict): The fields of the settings of a process.
    """

    def find(path):
        value = table
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def expand(match):
        entries = find(match[1])
        rows = [match[2].replace("{{.}}", str(entry)) for entry in entries]
        commas = [*(["," * (len(rows) > 0)] * (len(rows) - 1)), ""]
        joined = zip(rows, commas, strict=True)
        return "".join(row.replace("{{,}}", comma) for row, comma in joined)

    def fill(match):
        path, _, form = match[1].partition("|")
        value = find(path)
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", expand, template)
    return re.sub(r"\{\{([^}#/]+)\}\}", fill, text)


class GatewayProcess:
    """One gateway, started as the deploy file says and again after each end.

    Args:
        lab (Lab): The deployment.
        number (int): From 0.
        ports (list of int): For callers, readiness, peers and metrics.
    """

    def __init__(self, lab, number, ports):
        self.name = f"front-{lab.zone}-{number + 1}"
        self.ports = ports
        self.process = None
        self.memory_mb = 0.0
        self.ends = []
        self._lab = lab
        self._path = lab.folder / f"{self.name}.toml"
        self._keeper = None
        self._running = False

    def write_settings(self, seeds):
        """Write the settings file."""
        callers, readiness, peers, metrics = self.ports
        table = {
            "node": self.name,
            "region": "region-1",
            "zone": self._lab.zone,
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{callers}",
                "ready": f"127.0.0.1:{readiness}",
                "control": f"127.0.0.1:{peers}",
            },
            "seeds": seeds,
            "port-range": [metrics, metrics + 15],
            "platform": {"address": self._lab.store.address},
            "bounds": {
                "grace-s": 8,
                "drain-ms": 2000,
                "budget-ratio": 0.2,
                "budget-slack": 126,
                "budget-window-s": 10,
            },
            "limits": {
                "cpu-share": 0.731,
                "link-mbps": 350.0,
                "memory-mb": MEMORY_MB,
                "max-fds": 1535,
            },
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["gateway"]["run"].split()
        template = (ROOT / deploy["roles"]["gateway"]["template"]).read_text()
        self._path.write_text(render(template, table))

    def start(self):
        """Run it until `stop`."""
        self._running = True
        self._keeper = asyncio.ensure_future(self._keep())

    @property
    def is_running(self):
        """Whether the process runs (bool)."""
        return self.process is not None and self.process.poll() is None

    async def _keep(self):
        while self._running:
            self._launch()
            while (code := self.process.poll()) is None:
                self.memory_mb = max(self.memory_mb, self.read_memory_mb())
                await asyncio.sleep(0.02)
            self.ends.append(code)
            self._lab.record.note(f"{self.name} ended with {code}")
            await asyncio.sleep(RESTART_S)

    def _launch(self):
        paths = [str(ROOT / "target/deps"), str(ROOT)]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = os.pathsep.join(paths)
        environment["FIRWORKS_NODE_FILE"] = str(self._path)
        command = [sys.executable, *self._command[1:]]
        with (self._lab.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._lab.record.note(f"{self.name} started")

    def read_memory_mb(self):
        """Return the resident memory of the process in MB (float)."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

    def signal(self, number):
        """Send it a signal."""
        self._lab.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        """End it for good."""
        self._running = False
        if self._keeper is not None:
            self._keeper.cancel()
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Server:
    """A server that follows the users' pages; subclasses say how it works.

    Args:
        lab (Lab): The deployment.
        server_id (str): Its id.
        service (str): Its service.
        slots (int): As its entry states.
        version (str): Of its software.
    """

    def __init__(self, lab, server_id, service, slots=6, version="v1"):
        self.server_id = server_id
        self.service = service
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.port = 0
        self.registered = True
        self.lab = lab
        self._sequence = 0
        self._server = None
        self._writers = set()
        self._beats = None

    @property
    def address(self):
        """Its "ip:port" (str)."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port=0):
        """Listen, and write its entry again and again."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beats = asyncio.ensure_future(self._beat())

    async def stop(self):
        """End as a process that is killed."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def write_entry(self):
        """Write its entry to the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.lab.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
            "born": self.born_ms,
            **self.list_entry_fields(),
        }
        self.lab.store.put_target(self.server_id, entry)

    def list_entry_fields(self):
        """Return what its entry states beside the usual (dict)."""
        return {}

    def remove_entry(self):
        """Let the platform remove its entry."""
        self.lab.store.put_target(self.server_id, None)

    async def _beat(self):
        while True:
            if self.registered:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, headers = parse_head(head)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._respond(writer, line, headers, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer has closed the connection, or the server ends
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, writer, line, headers, body):
        path = line.split(" ")[1]
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.server_id):
            self.answer(writer, headers, 421, b"", [("X-Instance-Id", self.server_id)])
        elif path == "/healthz":
            self.answer(writer, headers, 200, b"", [("X-Instance-Id", self.server_id)])
        elif path == "/report":
            self.answer(writer, headers, 200, json.dumps(self.report()).encode())
        else:
            await self.run(writer, line, headers, body)

    def report(self):
        """Return its report (dict)."""
        return {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 632_000,
            "handles": 0,
            "born": self.born_ms,
        }

    def list_notices(self):
        """Return further headers of all its answers (list of (str, str))."""
        return []

    def answer(self, writer, headers, status, body, more=()):
        """Write a complete answer."""
        rows = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        if "x-request-id" in headers:
            rows.append(f"X-Request-Id: {headers['x-request-id']}")
        if status == 200:
            rows.append(f"X-Server-Stamp: {STAMP}")
        rows += [f"{name}: {value}" for name, value in (*self.list_notices(), *more)]
        writer.write("\r\n".join(rows).encode() + b"\r\n\r\n" + body)

    async def run(self, writer, line, headers, body):
        """Run a request."""
        raise NotImplementedError


class PlainServer(Server):
    """Answers each request after some work."""

    work_s = 0.06

    async def run(self, writer, line, headers, body):
        """Run a request."""
        request_id = headers.get("x-request-id", "")
        self.lab.note_run(self, request_id, line)
        await asyncio.sleep(self.work_s)
        self.answer(writer, headers, 200, f"done {request_id}".encode())


class Engine(Server):
    """Streams events with ids from 1, and goes on after Last-Event-Id."""

    events = 6
    first_s = 0.05
    pause_s = 0.02

    async def run(self, writer, line, headers, body):
        """Run a request."""
        request_id = headers.get("x-request-id", "")
        self.lab.note_run(self, request_id, line)
        await asyncio.sleep(self.first_s)
        rows = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            f"X-Server-Stamp: {STAMP}",
            "X-Weight-Versions: 1",
            "Transfer-Encoding: chunked",
            *(f"{name}: {value}" for name, value in self.list_notices()),
        ]
        writer.write("\r\n".join(rows).encode() + b"\r\n\r\n")
        begin = int(headers.get("last-event-id", 0)) + 1
        for number in range(begin, self.events + 1):
            event = f"id: {number}\ndata: {self.version} token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")


def parse_head(head):
    """Return the first line (str) and the headers (dict) of a request or answer."""
    line, *rows = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


class Reply:
    """What a caller got: a status (0 without an answer), headers, a body."""

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


class Lab:
    """A store, some servers and some gateways.

    Args:
        path (Path): Of the record.
        gateways (int): Number of gateways.
    """

    zone = "lima-north"

    def __init__(self, path, gateways=2):
        self.record = Record(path)
        self.store = PlatformStore()
        self.servers = {}
        self.runs = []
        self.gateways = []
        self._count = gateways
        self._numbers = count(1)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            gateway.stop()
        for server in self.servers.values():
            await server.stop()
        await self.store.stop()
        if os.environ.get("KEEP"):
            for path in self.folder.glob("*.log"):
                (Path(os.environ["KEEP"]) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()

    def note_run(self, server, request_id, line):
        """Record that a server began to run a request."""
        self.runs.append((time.monotonic(), server, request_id))
        self.record.note(f"{server.server_id} runs {request_id} ({line})")

    async def add_server(self, server, port=0):
        """Start a server and return it."""
        await server.start(port)
        self.servers[server.server_id] = server
        return server

    async def start_gateways(self):
        """Start the gateways, and wait until all are ready."""
        ports = find_ports(4 * self._count)
        for number in range(self._count):
            own = ports[4 * number : 4 * number + 4]
            self.gateways.append(GatewayProcess(self, number, own))
        seeds = [f"127.0.0.1:{gateway.ports[2]}" for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            gateway.start()
        async with asyncio.timeout(20):
            for gateway in self.gateways:
                await self.wait_ready(gateway)
        # The gateways find each other within some seconds.
        await asyncio.sleep(4.0)

    async def wait_ready(self, gateway):
        """Wait until a gateway says that it is ready."""
        while await self.ask_ready(gateway) != 200:
            await asyncio.sleep(0.05)

    async def ask_ready(self, gateway):
        """Return the status (int) of a gateway's readiness; 0 without an answer."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", gateway.ports[1]
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                return int(head.split(b" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    def make_id(self):
        """Return a new request id (str)."""
        return f"{next(self._numbers):016x}"

    def make_head(self, method, path, request_id, deadline_ms, length=None, **more):
        """Return the head (bytes) of a request."""
        rows = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
        ]
        if length is not None:
            rows.append(f"Content-Length: {length}")
        rows += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
        return "\r\n".join(rows).encode() + b"\r\n\r\n"

    async def send(
        self, gateway, path, method="POST", body=b"", deadline_ms=4000, **more
    ):
        """Send a request on a new connection; return (request id, `Reply`)."""
        request_id = more.pop("request_id", None) or self.make_id()
        length = None if method == "GET" else len(body)
        head = self.make_head(method, path, request_id, deadline_ms, length, **more)
        reply = Reply()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", gateway.ports[0]
                )
                try:
                    writer.write(head + body)
                    await read_reply(reader, reply)
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.record.note(
            f"{request_id} {method} {path} at {gateway.name}: {reply.status}, "
            f"{'complete' if reply.complete else 'cut'}, {len(reply.body)} bytes"
        )
        return request_id, reply


async def read_reply(reader, reply):
    """Read an answer into a `Reply`."""
    line, reply.headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    reply.status = int(line.split(" ")[1])
    if reply.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            reply.body += part[:-2]
    else:
        length = int(reply.headers.get("content-length", 0))
        reply.body = await reader.readexactly(length)
    reply.complete = True


def make_configuration(version, routes, services):
    """Return a configuration (dict) in the operator's format."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }


def make_route(name, service, kind, **more):
    """Return a route (dict) in the operator's format."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4_000,
        "goal-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "stages": [],
        "public": False,
        **more,
    }


def make_service(name, **more):
    """Return a service (dict) in the operator's format."""
    return {"name": name, "health-path": "/healthz", "max-conns": 540, **more}


ENGINE = {"slots": 64, "kv-capacity": 632_000, "kv-token-bytes": 18_432}


def main(run, path):
    """Run ``run(path)``, a coroutine that writes a record, and exit with its result."""
    try:
        code = asyncio.run(run(Path(path)))
    except Exception as error:
        print(f"could not run: {error!r}", flush=True)
        raise SystemExit(NOT_RUN) from error
    raise SystemExit(code)
