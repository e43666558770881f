"""Limits what callers occupy, at all HTTP listeners of a process."""

import asyncio
import resource
import socket

from aiohttp.web import Server, SockSite

from firworks.events import LogEvent, log_event
from firworks.ingress_connections import IngressConnection
from firworks.kernel.ingress.budget import IngressBudget
from firworks.kernel.ingress.limits import make_limits
from firworks.tasks import start_task

# How often connections without progress are looked for.
CHECK_PERIOD_S = 0.25
# Callers reuse connections that have been idle for up to this share of the time that
# the configuration grants.
REUSE_SHARE = 0.8
# A connection is not unused before the event loop had time to read its first request.
FRESH_S = 1.0
# At most one log line for each listener and reason in this time.
LOG_PERIOD_S = 5.0
# Connections that wait to be accepted, and those accepted at once: each of the latter
# takes a descriptor before it can be refused.
BACKLOG = 1024
ACCEPTED_AT_ONCE = 64


class Ingress:
    """What the callers of a process occupy together.

    Args:
        settings (GatewaySettings or Settings): Hold the limits.
        record (callable or None): ``record(listener, reason)``, called for each
            connection or request that a limit ends.

    Attributes:
        limits (IngressLimits): The limits of the process.
        budget (IngressBudget): Counts the bytes held.
    """

    def __init__(self, settings, record=None):
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = settings.max_descriptors
        self.limits = make_limits(settings, descriptors)
        self.budget = IngressBudget(self.limits.budget_bytes)
        self._record = record
        self._servers = []
        self._task = None
        self._logged = {}

    @property
    def connections(self):
        """Number of open connections of callers (int)."""
        return sum(len(server.open) for server in self._servers)

    def start(self):
        """Start to look for connections without progress, unless this was done."""
        if self._task is None:
            self._task = start_task("ingress", self._check)

    def stop(self):
        """Stop looking for them."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def make_server(self, name, handler, make_refusal, limits, **options):
        """Return an `IngressServer`; see there."""
        server = IngressServer(self, name, handler, make_refusal, limits, **options)
        self._servers.append(server)
        return server

    def release(self):
        """Let connections go on that wait for memory, as far as there is room."""
        if not self.budget.has_waiting:
            return
        now = asyncio.get_running_loop().time()
        while (connection := self.budget.grant(now)) is not None:
            connection.resume()

    def record(self, listener, reason, caller):
        """Count a connection or request that a limit ended, and log some of them.

        Args:
            listener (str): Name of the listener.
            reason (str): Name of the limit.
            caller (tuple or None): Address of the caller.
        """
        if self._record is not None:
            self._record(listener, reason)
        now = asyncio.get_running_loop().time()
        due_s, count = self._logged.get((listener, reason), (now, 0))
        if now < due_s:
            self._logged[listener, reason] = (due_s, count + 1)
            return
        self._logged[listener, reason] = (now + LOG_PERIOD_S, 0)
        log_event(
            LogEvent.CALLER_LIMITED,
            listener=listener,
            reason=reason,
            caller=caller,
            unlogged=count,
            held_bytes=self.budget.held_bytes,
            connections=self.connections,
        )

    async def _check(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now = loop.time()
            for server in self._servers:
                server.refresh()
                for connection in list(server.open):
                    connection.check(now)
            for connection in self.budget.choose_victims(now):
                connection.end_for_memory()
            self.release()


async def start_site(runner, host, port):
    """Listen on an address; return the bound port (int).

    Args:
        runner (BaseRunner): It was set up, with an `IngressServer`.
        host (str): IP address.
        port (int): 0 for any.
    """
    sock = socket.create_server((host, port))
    await SockSite(runner, sock, backlog=ACCEPTED_AT_ONCE).start()
    sock.listen(BACKLOG)
    return sock.getsockname()[1]


class IngressServer(Server):
    """One HTTP listener whose connections are limited.

    Args:
        ingress (Ingress): What it shares with the other listeners.
        name (str): Its name, for the counter and the log.
        handler (callable): Coroutine function that returns the response to a request.
        make_refusal (callable): ``make_refusal(code, detail)`` returns a response.
        limits (callable): Returns the `CallerLimits` that hold now.
        max_connections (int): Limit of its connections.
        max_unused (int): Limit of those that have sent no admitted request.
        first_byte_s (float or None): How long a connection may send nothing at first.
        request_factory (callable or None): Of aiohttp's `Server`.
        **options: Of aiohttp's `RequestHandler`.

    Attributes:
        limits (CallerLimits): The operator's limits, as of the last check.
        open (dict of IngressConnection): All connections, the oldest first.
        unused (dict of IngressConnection): Those that have sent no admitted request.
    """

    def __init__(
        self,
        ingress,
        name,
        handler,
        make_refusal,
        limits,
        max_connections=None,
        max_unused=None,
        first_byte_s=None,
        request_factory=None,
        **options,
    ):
        super().__init__(
            self._run, handler_cancellation=True, request_factory=request_factory
        )
        self.ingress = ingress
        self.make_refusal = make_refusal
        self.open, self.unused = {}, {}
        self.first_byte_s = first_byte_s
        self._name = name
        self._handler = handler
        self._get_limits = limits
        self.limits = limits()
        self._max_connections = max_connections or ingress.limits.max_probe_connections
        self._max_unused = max_unused or self._max_connections
        self._options = {
            "access_log": None,
            "lingering_time": 0,
            "max_headers": ingress.limits.max_fields,
            **options,
        }

    def refresh(self):
        """Apply the operator's limits as they are now."""
        self.limits = self._get_limits()

    def __call__(self):
        """Return the protocol instance of a new connection."""
        return IngressConnection(self, loop=self._loop, **self._options)

    async def listen(self, host, port):
        """Listen on an address; return the `asyncio.Server`."""
        sock = socket.create_server((host, port))
        listener = await self._loop.create_server(
            self, sock=sock, backlog=ACCEPTED_AT_ONCE
        )
        # The event loop takes its backlog also as the number to accept at once.
        sock.listen(BACKLOG)
        return listener

    def admit(self, connection, now):
        """Count a new connection, and close one if there are too many.

        Args:
            connection (IngressConnection): The new one.
            now (float): Monotonic seconds.
        """
        self.open[connection] = self.unused[connection] = None
        if len(self.open) > self._max_connections:
            self._close(self._choose_closed(connection, now), "connections")
        elif len(self.unused) > self._max_unused:
            closed = self._find_unused(connection, now)
            if closed is not None:
                self._close(closed, "unused connections")

    def _choose_closed(self, new, now):
        """Return the connection to close as there are too many."""
        return (
            self._find_unused(new, now - FRESH_S)
            or self._find_idle(now)
            or self._find_unused(new, now - FRESH_S, busy=True)
            or self.ingress.budget.choose_victim(self.open, now)
            or self._find_unused(new, now)
            or new
        )

    def forget(self, connection):
        """Count a connection no longer."""
        self.open.pop(connection, None)
        self.unused.pop(connection, None)

    def record(self, connection, reason):
        """Count and log a connection that a limit ends."""
        self.ingress.record(self._name, reason, connection.peername)

    def _find_unused(self, new, opened_s, busy=False):
        """Return the oldest one without an admitted request, or None.

        Args:
            new (IngressConnection): It is not returned.
            opened_s (float): Only those opened up to then; monotonic seconds.
            busy (bool): Also one that has sent a request, which was not admitted.
        """
        for connection in self.unused:
            if connection.idle_since_s > opened_s:
                return None
            if connection is not new and (busy or not connection.busy):
                return connection
        return None

    def _find_idle(self, now):
        """Return a connection that its caller does not reuse any more, or None."""
        allowed_s = REUSE_SHARE * self.limits.idle_timeout_s
        for connection in self.open:
            if not connection.busy and now - connection.idle_since_s > allowed_s:
                return connection
        return None

    def _close(self, connection, reason):
        self.record(connection, reason)
        connection.abort()
        self.forget(connection)

    async def _run(self, http):
        connection = http.protocol
        try:
            return await self._handler(http)
        finally:
            connection.end_request(http)
