"""What the adapters to engines and services have in common."""

import asyncio

import aiohttp

from firworks.adapter import Adapter
from firworks.events import LogEvent, log_event
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


class CallRefusedError(Exception):
    """The target answered that it did not begin the work."""


class InvalidResponseError(Exception):
    """The target's answer is not whole or not well-formed."""


class TargetSessions:
    """HTTP connections to targets, pooled for each target.

    Args:
        idle_timeout_s (float): A connection on which an answer is awaited and that
            stays silent for longer is given up.
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

    def open_fresh(self):
        """Return a session whose connections are new and used once."""
        return self._open(True)

    def retire(self, address):
        """Use new connections from now on; calls on the old ones go on.

        A connection that went silent tells that others of its age may have too.
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

    def _open(self, fresh):
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=fresh,
            keepalive_timeout=None if fresh else KEEPALIVE_S,
        )
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=None if fresh else self._idle_timeout_s,
        )
        return aiohttp.ClientSession(connector=connector, timeout=timeout)

    def _close_retired(self, session):
        if session in self._retired:
            self._retired.discard(session)
            asyncio.ensure_future(session.close())


class TargetAdapter(Adapter):
    """Runs each call as a task and reports every ending but a cancelled one.

    Subclasses define ``run_call``.
    """

    def __init__(self, context):
        super().__init__(context)
        self.sessions = TargetSessions(context.settings.idle_timeout_s)
        self._tasks = {}
        self._polls = {}
        self._readers = {}

    async def run_call(self, action, session, address):
        """Carry out a call and feed its parts and answer.

        Args:
            action (StartCall): The call.
            session (aiohttp.ClientSession): Connections to use.
            address (str): "ip:port" of the target.

        Raises:
            CallRefusedError: When the target did not begin the work.
            InvalidResponseError: When the answer is not whole.
        """
        raise NotImplementedError

    async def stop(self):
        """Cancel all calls and close the connections."""
        for task in [*self._tasks.values(), *self._polls.values()]:
            task.cancel()
        await self.sessions.close()

    def start_call(self, action):
        """Begin a call (StartCall)."""
        task = asyncio.ensure_future(self._guard_call(action))
        self._tasks[action.call_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(action.call_id, None))

    def cancel_call(self, call_id):
        """Cancel a call, if it is one of this adapter's, and close its connection."""
        task = self._tasks.pop(call_id, None)
        if task is not None:
            task.cancel()

    def poll_load(self, action):
        """Begin to ask a target for its load (PollTarget)."""
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
                    table = await response.json()
            event = reader.read(table, self.context.clock())
        except (InvalidResponseError, CallRefusedError, ValueError, OSError) as error:
            log_event(LogEvent.LOAD_UNREADABLE, target=target, error=repr(error))
            return
        except (aiohttp.ClientError, TimeoutError):
            self.sessions.retire(address)
            return
        self.context.feed(event)

    async def _guard_call(self, action):
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
            await self._report_broken(action, address, error)
        except Exception as error:  # whatever else goes wrong, the call must end
            self._fail(action, RESULT_FAILED, True, repr(error))

    async def _run_in_session(self, action, address):
        if action.repeatable:
            await self.run_call(action, self.sessions.get(address), address)
            return
        # A pooled connection may have gone silent; a new one is known to work.
        async with self.sessions.open_fresh() as session:
            await self.run_call(action, session, address)

    async def _report_broken(self, action, address, error):
        alive = await self._probe(address)
        result = RESULT_FAILED if alive else RESULT_CRASHED
        self._fail(action, result, True, repr(error))

    async def _probe(self, address):
        """Return whether a target still accepts connections."""
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
    """Raise unless a target answered with status 200.

    Raises:
        CallRefusedError: For 429, by which a target states that it began nothing.
        InvalidResponseError: For any other status.
    """
    if response.status == TOO_MANY_REQUESTS:
        raise CallRefusedError("the target is busy")
    if response.status != 200:
        raise InvalidResponseError(f"status {response.status}")
