"""Base class and connection pool of the adapters to engines and services."""

import asyncio

import aiohttp

from firworks.adapter import Adapter
from firworks.bodies import read_json
from firworks.client_connections import make_connector
from firworks.events import LogEvent, log_event
from firworks.kernel.buffers import ResponseBuffers
from firworks.kernel.calls import (
    RESULT_CRASHED,
    RESULT_FAILED,
    RESULT_REFUSED,
    RESULT_TIMEOUT,
    CallFailed,
)
from firworks.plugins.target_loads import LoadReader

IDENTITY_HEADER = "Firworks-Call"
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 10.0
PROBE_TIMEOUT_S = 0.5
POLL_TIMEOUT_S = 1.0
TOO_MANY_REQUESTS = 429
# Limit of one response; that of an engine lists the events of its cache.
MAX_TARGET_RESPONSE_BYTES = 8_388_608


class CallRefusedError(Exception):
    """The target rejected the call without starting the work."""


class InvalidResponseError(Exception):
    """The target's response is incomplete or malformed."""


class TargetSessions:
    """HTTP connections to targets, with one pool per target.

    Args:
        idle_timeout_s (float): Read timeout of pooled connections: longest silence
            while a response is awaited, in seconds.
    """

    def __init__(self, idle_timeout_s):
        self._idle_timeout_s = idle_timeout_s
        self._sessions = {}
        self._retired = set()

    def get(self, address):
        """Return the pooled session of a target's "ip:port"."""
        if address not in self._sessions:
            self._sessions[address] = self._open(False)
        return self._sessions[address]

    def open_single_use(self):
        """Return a new session that uses each connection only once."""
        return self._open(True)

    def retire(self, address):
        """Use new connections for new calls; close the old ones after ``KEEPALIVE_S``.

        When one pooled connection stops responding, others of the same age may be
        broken too. Calls in flight continue on the old connections until then.
        """
        session = self._sessions.pop(address, None)
        if session is not None:
            self._retired.add(session)
            loop = asyncio.get_running_loop()
            loop.call_later(KEEPALIVE_S, self._close_retired, session)

    async def close(self):
        """Close all connections."""
        for session in [*self._sessions.values(), *self._retired]:
            await session.close()
        self._sessions = {}
        self._retired = set()

    def _open(self, single_use):
        connector = make_connector(
            limit=0,
            force_close=single_use,
            keepalive_timeout=None if single_use else KEEPALIVE_S,
        )
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None if single_use else self._idle_timeout_s,
        )
        return aiohttp.ClientSession(connector=connector, timeout=timeout)

    def _close_retired(self, session):
        if session in self._retired:
            self._retired.discard(session)
            asyncio.ensure_future(session.close())


class TargetAdapter(Adapter):
    """Runs each call as a task and reports its outcome unless it is cancelled.

    Subclasses define ``run_call``.
    """

    def __init__(self, context):
        super().__init__(context)
        self.sessions = TargetSessions(context.settings.idle_timeout_s)
        self.buffers = ResponseBuffers(
            MAX_TARGET_RESPONSE_BYTES,
            None if context.ingress is None else context.ingress.budget,
        )
        self._tasks = {}
        self._polls = {}
        self._readers = {}

    async def run_call(self, action, session, address):
        """Run a call and feed the parts of its response and its result.

        Args:
            action (StartCall): The call to run.
            session (aiohttp.ClientSession): Session to send the call on.
            address (str): "ip:port" of the target.

        Raises:
            CallRefusedError: When the target did not start the work.
            InvalidResponseError: When the response is incomplete or malformed.
        """
        raise NotImplementedError

    async def stop(self):
        """Cancel all calls and load polls, and close the connections."""
        for task in [*self._tasks.values(), *self._polls.values()]:
            task.cancel()
        await self.sessions.close()

    def start_call(self, action):
        """Start the call of a `StartCall` without waiting for its result."""
        task = asyncio.ensure_future(self._run_and_report(action))
        self._tasks[action.call_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(action.call_id, None))

    def cancel_call(self, call_id):
        """Cancel a call and close its connection; ignore calls of other adapters."""
        task = self._tasks.pop(call_id, None)
        if task is not None:
            task.cancel()

    def poll_load(self, action):
        """Start the load poll of a `PollTarget`, unless one is in flight."""
        address = self.context.addresses.find(action.target)
        if address is None or action.target in self._polls:
            return
        task = asyncio.ensure_future(self._poll(action.target, address))
        self._polls[action.target] = task
        task.add_done_callback(lambda _: self._polls.pop(action.target, None))

    async def _poll(self, target, address):
        session = self.sessions.get(address)
        reader = self._readers.setdefault(target, LoadReader(target))
        url = f"http://{address}/load?since={reader.since}"
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                async with session.get(url) as response:
                    check_status(response)
                    body = await read_json(response, self.buffers)
            event = reader.read(body, self.context.clock())
        except (InvalidResponseError, CallRefusedError, ValueError, OSError) as error:
            log_event(LogEvent.LOAD_UNREADABLE, target=target, error=repr(error))
            return
        except (aiohttp.ClientError, TimeoutError):
            self.sessions.retire(address)
            return
        self.context.feed(event)

    async def _run_and_report(self, action):
        address = self.context.addresses.find(action.target)
        if address is None:
            self._fail(action, RESULT_FAILED, False, "no address is known")
            return
        try:
            async with asyncio.timeout(action.timeout_s):
                await self._run_in_session(action, address)
        except CallRefusedError as error:
            self._fail(action, RESULT_REFUSED, False, str(error))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._fail(action, RESULT_FAILED, False, str(error))
        except TimeoutError:
            self.sessions.retire(address)
            self._fail(action, RESULT_TIMEOUT, True, "the target did not answer")
        except (aiohttp.ClientError, OSError) as error:
            await self._report_connection_error(action, address, error)
        except Exception as error:  # every call must get a result
            self._fail(action, RESULT_FAILED, True, repr(error))

    async def _run_in_session(self, action, address):
        if action.repeatable:
            await self.run_call(action, self.sessions.get(address), address)
            return
        # A pooled connection may be broken unnoticed; a new one has just been set up.
        async with self.sessions.open_single_use() as session:
            await self.run_call(action, session, address)

    async def _report_connection_error(self, action, address, error):
        alive = await self._probe(address)
        result = RESULT_FAILED if alive else RESULT_CRASHED
        self._fail(action, result, True, repr(error))

    async def _probe(self, address):
        """Return whether a target accepts connections; a timeout counts as yes."""
        host, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except TimeoutError:
            return True
        except OSError:
            return False
        writer.close()
        return True

    def _fail(self, action, result, began, detail):
        self._tasks.pop(action.call_id, None)
        self.context.feed(CallFailed(action.call_id, result, began, detail))


def check_status(response):
    """Raise an error unless a target responded with status 200.

    Raises:
        CallRefusedError: For 429, which states that the target started no work.
        InvalidResponseError: For any other status.
    """
    if response.status == TOO_MANY_REQUESTS:
        raise CallRefusedError("target is busy (HTTP status 429)")
    if response.status != 200:
        raise InvalidResponseError(f"unexpected HTTP status {response.status}")
