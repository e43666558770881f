"""A small deployment on loopback: gateways as processes, stand-ins for the rest.

The store is the project's own stand-in. Servers and clients are written here; they do
what the users' pages say of sound ones, unless a case makes them differ.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from firworks.standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "desk.example"
HEARTBEAT_S = 1.2
KEEP_ALIVE_S = 15
READY_TIMEOUT_S = 30.0
HEAD_END = b"\r\n\r\n"
# Bounds of the users' sites.
GRACE_S = 8
DRAIN_MS = 2000
CONFIG_APPLY_S = 2.0
# Exit codes, which run.sh translates; an exception of Python exits with 1.
HELD, NOT_RUN, BROKEN = 0, 2, 3
PORTS_PER_SCRIPT, SCRIPTS = 100, 120
_first_port = 20_000 + os.getpid() % SCRIPTS * PORTS_PER_SCRIPT
_ports = iter(range(_first_port, _first_port + PORTS_PER_SCRIPT))


class LabError(Exception):
    """The deployment could not be started."""


class Record:
    """Writes what was sent, answered and run to a file, with times.

    Args:
        path (Path): The file.
    """

    def __init__(self, path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, text):
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


def read_head(data):
    """Return the first line (str) and the headers (dict by lower-case name)."""
    line, *rows = data[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_body(reader, headers):
    """Return a body (bytes) that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Request:
    """A request as a server has read it.

    Attributes:
        method (str): Its method.
        path (str): Its path and query.
        headers (dict): By lower-case name.
        body (bytes): Complete body.
    """

    __slots__ = ("method", "path", "headers", "body")

    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        """Id that the client gave it (str); empty without one."""
        return self.headers.get("x-request-id", "")


class Server:
    """A sound server of one service; `run` decides what it answers.

    Args:
        lab (Lab): The deployment.
        server_id (str): Id of its entry.
        service (str): Its service.
        zone (str): Its zone.

    Attributes:
        runs (list of (float, Request)): Requests that it began, with their times.
    """

    def __init__(self, lab, server_id, service, zone):
        self.lab = lab
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.address = ""
        self.runs = []
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._listener = None

    async def start(self):
        """Listen, and write the entry."""
        self._listener = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"
        self.beat()

    def beat(self):
        """Write the entry."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        self.lab.store.put_target(self.server_id, entry)

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = read_head(await reader.readuntil(HEAD_END))
                body = await read_body(reader, headers)
                await self._handle(writer, Request(line, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer has closed the channel, or the case ends
        finally:
            writer.close()

    async def _handle(self, writer, request):
        own = {"X-Instance-Id": self.server_id}
        if request.headers.get("x-expect-instance", self.server_id) != self.server_id:
            self.answer(writer, request, 421, b"", own)
        elif request.path == "/healthz":
            self.answer(writer, request, 200, b"", own)
        elif request.path == "/report":
            report = {"busy": False, "queued": 0, "running": 0, "born": self._born_ms}
            self.answer(writer, request, 200, json.dumps(report).encode(), own)
        else:
            self.runs.append((self.lab.record.now(), request))
            await self.run(writer, request)

    async def run(self, writer, request):
        """Run a request and answer it."""
        self.lab.record.write(f"{self.server_id} runs {request.request_id}")
        self.answer(writer, request, 200, b"done by " + self.server_id.encode())

    def make_head(self, request, status, more):
        """Return the head (bytes) of an answer."""
        names = {
            "X-Request-Id": request.request_id,
            "X-Server-Stamp": f"stamp-{self.server_id}",
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
            **more,
        }
        if not request.request_id:
            del names["X-Request-Id"]
        rows = [f"{name}: {value}" for name, value in names.items()]
        return "\r\n".join([f"HTTP/1.1 {status} Status", *rows]).encode() + HEAD_END

    def answer(self, writer, request, status, body, more=None):
        """Write a complete answer with a length."""
        more = {**(more or {}), "Content-Length": str(len(body))}
        writer.write(self.make_head(request, status, more) + body)

    async def stop(self):
        """Stop listening."""
        self._listener.close()


class Gateway:
    """One gateway process, started with the command of the deploy file.

    Args:
        lab (Lab): The deployment.
        number (int): Counted from 0.
    """

    def __init__(self, lab, number):
        self.name = f"front-{number + 1}"
        self._lab = lab
        self._process = None
        names = ("callers", "readiness", "peers", "metrics")
        self.addresses = {name: f"{LOOPBACK}:{find_free_port()}" for name in names}
        self.zone = ZONES[number % len(ZONES)]

    def start(self, seeds):
        """Write the settings and start the process."""
        settings = {
            "name": self.name,
            "region": "region",
            "failure_domain": self.zone,
            **self.addresses,
            "seeds": seeds,
            "store": self._lab.store.address,
            "drain_limit_s": GRACE_S,
            "leave_limit_ms": DRAIN_MS,
            "retry_ratio": 0.2,
            "retry_slack": 104,
            "retry_window_s": 10,
            "cpu_share": 0.731,
            "link_mbps": 350.0,
        }
        path = self._lab.folder / f"{self.name}.toml"
        rows = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
        path.write_text("\n".join(rows) + "\n")
        keep = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in keep if key in os.environ}
        environment["FIRWORKS_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._lab.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "firworks.gateway"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._lab.record.write(f"{self.name} starts")

    def send_signal(self, number):
        """Send a signal to the process."""
        self._lab.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self._process.send_signal(number)

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    async def ask_ready(self):
        """Return whether the process says that it is ready."""
        try:
            channel = Channel(self.addresses["readiness"])
            await channel.open()
            answer = await channel.exchange("GET", "/readyz", {"Host": "ready"})
            channel.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def stop(self):
        """End the process."""
        if self.running:
            self._process.kill()
            self._process.wait()


class Answer:
    """What a client got.

    Attributes:
        status (int): 0 if the channel ended before the head.
        headers (dict): By lower-case name.
        body (bytes): As far as received.
        complete (bool): The answer has ended as its framing says.
    """

    __slots__ = ("status", "headers", "body", "complete")

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


class Channel:
    """A client's channel, kept open for many requests.

    Args:
        address (str): "ip:port" of a gateway.
    """

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None

    @property
    def is_open(self):
        """Whether neither side has closed the channel."""
        closed = self._writer is None or self._writer.is_closing()
        return not closed and not self._reader.at_eof()

    async def open(self):
        """Open the channel."""
        host, port = self._address.rsplit(":", 1)
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def exchange(self, method, path, headers, body=None):
        """Send a request and read its answer; return the `Answer`."""
        rows = [f"{method} {path} HTTP/1.1"]
        rows += [f"{name}: {value}" for name, value in headers.items()]
        if body is not None:
            rows.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(rows).encode() + HEAD_END + (body or b""))
        answer = Answer()
        try:
            line, answer.headers = read_head(await self._reader.readuntil(HEAD_END))
            answer.status = int(line.split()[1])
            answer.body = await read_body(self._reader, answer.headers)
            answer.complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self):
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()


class Lab:
    """The deployment of one case.

    Args:
        record_path (Path): The file that tells what was sent, answered and run.

    Attributes:
        trouble (bool): Whether the disruption is played; not with TROUBLE=0.
    """

    def __init__(self, record_path):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(record_path)
        self.store = PlatformStore()
        self.servers = []
        self.gateways = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._numbers = 0
        self._beating = None

    async def start(self, configuration, servers, gateways):
        """Start all parts, and wait until all gateways are ready.

        Args:
            configuration (dict): The first one.
            servers (list of (type, str)): Class and service of each server.
            gateways (int): How many.
        """
        await self.store.start()
        self.store.put_configuration(configuration)
        for number, (cls, service) in enumerate(servers):
            zone = ZONES[number % len(ZONES)]
            server = cls(self, f"i-{service}-{number}", service, zone)
            await server.start()
            self.servers.append(server)
        self._beating = asyncio.ensure_future(self._beat())
        for number in range(gateways):
            gateway = Gateway(self, number)
            seeds = [one.addresses["peers"] for one in self.gateways[:3]]
            gateway.start(seeds)
            self.gateways.append(gateway)
        await self._wait_until_ready()

    async def _wait_until_ready(self):
        deadline_s = self.record.now() + READY_TIMEOUT_S
        for gateway in self.gateways:
            while not await gateway.ask_ready():
                if self.record.now() > deadline_s or not gateway.running:
                    raise LabError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        # They find each other meanwhile.
        await asyncio.sleep(4.0)
        self.record.write("all gateways are ready")

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                server.beat()

    def make_id(self):
        """Return a new request id (str)."""
        self._numbers += 1
        return f"{self._numbers:016x}"

    async def stop(self):
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            gateway.stop()
        if self._beating is not None:
            self._beating.cancel()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def make_service(name, **more):
    """Return a service in the operator's format."""
    return {"name": name, "health-path": "/healthz", "max-conns": 540, **more}


def make_route(name, service, kind, **more):
    """Return a route in the operator's format."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4000,
        "goal-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "stages": [],
        "public": False,
        **more,
    }


def make_configuration(version, routes, services, tenants):
    """Return a configuration in the operator's format."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": tenants,
    }


def find_free_port():
    """Return a port that nothing listens on, from a range of this script's own.

    The ports lie below those that outgoing connections are given. A gateway that is
    down would lose its port to one of them, or to a gateway of another script.
    """
    for port in _ports:
        with socket.socket() as one:
            try:
                one.bind((LOOPBACK, port))
            except OSError:
                continue  # something listens there
        return port
    raise LabError("no port is free")


def run_case(play):
    """Run a case and exit with ``HELD``, ``BROKEN`` or ``NOT_RUN``.

    The first argument of the command is the path of the record.

    Args:
        play (callable): Coroutine function; gets the `Lab`, returns the breaks (list of
            str), or None if what the case needs did not come about.
    """
    sys.exit(asyncio.run(_run_case(Path(sys.argv[1]), play)))


async def _run_case(record_path, play):
    lab = Lab(record_path)
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        breaks = await play(lab)
    except (LabError, OSError, asyncio.CancelledError) as error:
        lab.record.write(f"cannot run: {error!r}")
        return NOT_RUN
    finally:
        await lab.stop()
    if breaks is None:
        lab.record.write("cannot run: nothing to judge")
        code = NOT_RUN
    else:
        for text in breaks:
            lab.record.write(f"BROKEN {text}")
        code = BROKEN if breaks else HELD
        lab.record.write(f"{len(breaks)} breaks of the rule")
    lab.record.close()
    return code
