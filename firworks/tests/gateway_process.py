"""A gateway as a process of its own, and callers that write raw bytes."""

import asyncio
import json
import sys
from pathlib import Path

from firworks.standins.site import find_free_port
from firworks.standins.web import LOOPBACK
from firworks.tests.gateway_testbed import HOST, KEY

LONG_DEADLINE_MS = 60_000


def read_peak_bytes(child):
    """Return the most memory (int) that a process (Process) has had in use."""
    status = Path(f"/proc/{child.pid}/status").read_text()
    (peak,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(peak.split()[1]) * 1024


class Caller:
    """Sends requests on one kept connection, as raw bytes.

    Args:
        port (int): Port of a gateway.
    """

    numbers = iter(range(1, 1_000_000))

    def __init__(self, port):
        self._port = port
        self._reader = self._writer = None

    async def __aenter__(self):
        self._reader, self._writer = await asyncio.open_connection(LOOPBACK, self._port)
        return self

    async def __aexit__(self, *_):
        self._writer.transport.abort()

    def send(self, path, method="POST", body=b"{}", **more):
        """Send a request without waiting for its response; return its id (str)."""
        request_id = f"caller-{next(self.numbers)}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": LONG_DEADLINE_MS,
            "Authorization": f"Bearer {KEY}",
            "Content-Length": len(body),
            **more,
        }
        rows = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([f"{method} {path} HTTP/1.1", *rows, "", ""])
        self._writer.write(head.encode() + body)
        return request_id

    async def read_until(self, data):
        """Read up to some bytes, which are included."""
        return await self._reader.readuntil(data)

    async def read_head(self):
        """Return the status (int) and the headers (dict by lower-case name)."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        line, *rows = head.split("\r\n")[:-2]
        headers = dict(row.lower().split(": ", 1) for row in rows)
        return int(line.split()[1]), headers

    async def read_body(self, headers):
        """Return a complete body (bytes)."""
        if headers.get("transfer-encoding") != "chunked":
            return await self._reader.readexactly(int(headers["content-length"]))
        parts = []
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            parts.append(await self._reader.readexactly(size))
            await self._reader.readexactly(2)
        await self._reader.readexactly(2)
        return b"".join(parts)

    async def read(self):
        """Return status, headers and body of one response."""
        status, headers = await self.read_head()
        return status, headers, await self.read_body(headers)

    async def read_rest(self):
        """Return all bytes up to the end of a response, or of the connection."""
        data = b""
        try:
            while part := await self._reader.read(65_536):
                data += part
                if data.endswith(b"\r\n0\r\n\r\n"):
                    break
        except ConnectionError:
            pass  # a reset ends a broken response as well
        return data

    async def read_end(self):
        """Wait until the gateway closes the connection; return what came before."""
        return await self._reader.read()


class GatewayProcess:
    """A gateway as the platform starts it.

    Args:
        folder (Path): For its settings.
        store (str): "ip:port" of the store.
        **settings: Further settings.

    Attributes:
        name (str): Of the gateway.
        port (int): Port for callers.
        peers (str): "ip:port" for other gateways.
        child (Process): None before the start.
    """

    def __init__(self, folder, store, **settings):
        self.port = find_free_port()
        names = ("readiness", "peers", "metrics")
        table = {name: f"{LOOPBACK}:{find_free_port()}" for name in names}
        table |= {"name": "gateway-p", "region": "r", "failure_domain": "fd-1"}
        table |= {"callers": f"{LOOPBACK}:{self.port}", "store": store, **settings}
        self.name = table["name"]
        self.peers = table["peers"]
        self._table = table
        self._path = folder / "gateway-p.toml"
        rows = [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        self._path.write_text("\n".join(rows))
        self.child = None

    def find_port(self, listener):
        """Return the port (int) of a listener, named as its setting."""
        return int(self._table[listener].rsplit(":", 1)[1])

    async def start(self):
        """Start the process and wait until it serves requests."""
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "firworks.gateway", str(self._path)),
            stdout=asyncio.subprocess.DEVNULL,
            start_new_session=True,
        )
        while not await self._is_serving():
            await asyncio.sleep(0.05)

    async def _is_serving(self):
        try:
            async with Caller(self.port) as caller:
                caller.send("/stock/a")
                return (await caller.read())[0] == 200
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def stop(self):
        """End the process."""
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()
