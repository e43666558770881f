"""Outgoing connection to another daemon, with a bounded send queue."""

import asyncio
from collections import deque
from contextlib import suppress

from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from firworks.events import LogEvent, log_event
from firworks.kernel.messages import PeerConnected, PeerDisconnected
from firworks.plugins.peer_handshake import PeerRefusedError, dial_handshake

MESSAGE_LIMIT_BYTES = 4_194_304
QUEUE_LIMIT_BYTES = 4_194_304
QUEUE_LIMIT_MESSAGES = 512
QUEUE_AGE_LIMIT_S = 5.0
DIAL_TIMEOUT_S = 3.0
RETRY_INITIAL_DELAY_S = 0.2
RETRY_MAX_DELAY_S = 5.0
IDLE_LIMIT_S = 60.0
FLUSH_TIMEOUT_S = 0.5
FLUSH_POLL_S = 0.005


class PeerLink:
    """Dials a daemon, sends queued messages and reconnects after a failure.

    Args:
        owner (WebsocketPeers): Receives the events and counts the messages.
        settings (Settings): Settings of this daemon.
        peer (str): Name of the daemon to dial.
        address (str): "ip:port".
        persistent (bool): Reconnect after a failure, and stay open when idle.
        tls (SSLContext or None): TLS context, or None for a plain connection.

    Attributes:
        protocol (int or None): Version of the protocol that the daemon understands;
            None while there is no connection.
    """

    def __init__(self, owner, settings, peer, address, persistent, tls=None):
        self.peer = peer
        self.address = address
        self.persistent = persistent
        self.protocol = None
        self._owner = owner
        self._settings = settings
        self._tls = tls
        self._queue = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()
        self._task = None
        self._connection = None

    def start(self):
        """Start dialing in a background task."""
        self._task = asyncio.create_task(self._run())

    def cancel(self):
        """Abort the connection; queued messages are dropped."""
        self._task.cancel()

    async def stop(self):
        """Flush an open connection for up to ``FLUSH_TIMEOUT_S``, then close it."""
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                while self._queue and self._connection is not None:
                    await asyncio.sleep(FLUSH_POLL_S)
        self.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def enqueue(self, data, protocol=0):
        """Queue an encoded message; return False when the queue is full.

        Args:
            data (bytes): The message.
            protocol (int): Least version of the protocol that the daemon must
                understand; otherwise the message is dropped.
        """
        full = self._queued_bytes + len(data) > QUEUE_LIMIT_BYTES
        if full or len(self._queue) >= QUEUE_LIMIT_MESSAGES:
            return False
        self._queue.append((asyncio.get_running_loop().time(), data, protocol))
        self._queued_bytes += len(data)
        self._wake.set()
        return True

    async def _run(self):
        delay_s = RETRY_INITIAL_DELAY_S
        try:
            while True:
                if await self.dial_once():
                    delay_s = RETRY_INITIAL_DELAY_S
                if not self.persistent:
                    return
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, RETRY_MAX_DELAY_S)
        finally:
            self._owner.dropped_messages += len(self._queue)
            self._owner.remove_link(self)

    async def dial_once(self):
        """Dial, send until the connection closes, and return whether it opened."""
        opened = False
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                self._connection = await self._dial()
            opened = True
            self._owner.feed(PeerConnected(self.peer))
            await self._send_all(self._connection)
        except PeerRefusedError as error:
            log_event(LogEvent.PEER_REFUSED, peer=self.peer, error=str(error))
        except (OSError, TimeoutError, WebSocketException):
            pass  # unreachable peer: a persistent link retries, others are removed
        finally:
            if self._connection is not None:
                self._connection.transport.abort()
                self._connection = self.protocol = None
            if opened:
                self._owner.feed(PeerDisconnected(self.peer))
        return opened

    async def _dial(self):
        scheme = "wss" if self._tls else "ws"
        connection = await connect(
            f"{scheme}://{self.address}/",
            ssl=self._tls,
            compression=None,
            ping_interval=None,
            max_size=MESSAGE_LIMIT_BYTES,
            user_agent_header=None,
            proxy=None,
        )
        try:
            name, secret = self._settings.name, self._settings.peer_secret
            self.protocol = await dial_handshake(connection, name, self.peer, secret)
        except BaseException:
            connection.transport.abort()
            raise
        return connection

    async def _send_all(self, connection):
        """Send until the connection closes or a non-persistent link times out."""
        watcher = asyncio.create_task(self._wake_on_close(connection))
        try:
            while not watcher.done():
                await self._send_queued(connection)
                timeout_s = None if self.persistent else IDLE_LIMIT_S
                async with asyncio.timeout(timeout_s):
                    await self._wake.wait()
        finally:
            watcher.cancel()

    async def _wake_on_close(self, connection):
        await connection.wait_closed()
        self._wake.set()

    async def _send_queued(self, connection):
        self._wake.clear()
        now = asyncio.get_running_loop().time()
        while self._queue:
            queued_s, data, protocol = self._queue.popleft()
            self._queued_bytes -= len(data)
            if now - queued_s > QUEUE_AGE_LIMIT_S or protocol > self.protocol:
                self._owner.dropped_messages += 1
                continue
            await connection.send(data)
            self._owner.sent_messages += 1
            self._owner.sent_bytes += len(data)
