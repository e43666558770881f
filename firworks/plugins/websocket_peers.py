"""Exchanges CBOR records between daemons over WebSockets.

Each daemon sends on the connections that it dialed and receives on those that it
accepted, so only the sender has to replace a connection that stopped working.
"""

import asyncio
import ssl
from collections import Counter
from functools import singledispatchmethod

from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from firworks.adapter import Adapter
from firworks.errors import CodecError
from firworks.events import LogEvent, log_event
from firworks.ingress import Ingress
from firworks.kernel.codec import decode_record, encode_record
from firworks.kernel.messages import (
    ConnectPeer,
    DisconnectPeer,
    PeerInboundLost,
    PeerReceived,
    SendPeer,
)
from firworks.plugins.peer_connections import (
    OPEN_TIMEOUT_S,
    PeerListener,
    make_library_log,
)
from firworks.plugins.peer_handshake import PeerRefusedError, accept_handshake
from firworks.plugins.peer_links import MESSAGE_LIMIT_BYTES, PeerLink

RECEIVE_QUEUE_FRAMES = 16
CLOSE_TIMEOUT_S = 1.0
STATUS_POLICY_VIOLATION = 1008
STATUS_INVALID_DATA = 1007


class WebsocketPeers(Adapter):
    """Runs the kernel's peer actions and feeds peer events into the kernel.

    Args:
        context (AdapterContext): Its settings hold the name of the daemon, its peer
            address, the shared secret and the TLS files.
    """

    ACTIONS = (ConnectPeer, DisconnectPeer, SendPeer)

    def __init__(self, context):
        super().__init__(context)
        self.port = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.sent_messages = 0
        self.sent_bytes = 0
        self.dropped_messages = 0
        self._settings = context.settings
        self._links = {}
        # Number of open inbound connections by peer.
        self._inbound_counts = Counter()
        self._server = None
        self._ingress = context.ingress or Ingress(context.settings)
        self._listener = PeerListener(self._ingress)
        self._client_tls = make_client_tls(context.settings)

    async def start(self):
        """Listen for other daemons and set ``port`` to the bound port."""
        if not self._settings.peer_secret:
            log_event(LogEvent.PEER_SECRET_EMPTY, name=self._settings.name)
        host, port = self._settings.peers.rsplit(":", 1)
        self._server = await serve(
            self._accept,
            host,
            int(port),
            ssl=_make_server_tls(self._settings),
            compression=None,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            create_connection=self._listener.make_factory(),
            logger=make_library_log(),
            max_size=MESSAGE_LIMIT_BYTES,
            max_queue=RECEIVE_QUEUE_FRAMES,
            server_header=None,
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]
        self._ingress.start()

    async def stop(self):
        """Flush and close all connections, and stop listening."""
        await asyncio.gather(*(link.stop() for link in self._links.values()))
        self._links.clear()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        if self.context.ingress is None:
            self._ingress.stop()

    @singledispatchmethod
    def carry_out(self, action):
        """Carry out a `ConnectPeer`, `DisconnectPeer` or `SendPeer`.

        Raises:
            TypeError: For any other action.
        """
        raise TypeError(f"not a peer action: {action!r}")

    @carry_out.register
    def _connect(self, action: ConnectPeer):
        link = self._links.get(action.peer)
        if link is not None and link.address == action.address:
            link.persistent = True
            return
        if link is not None:
            link.cancel()
        self._open(action.peer, action.address, persistent=True)

    @carry_out.register
    def _disconnect(self, action: DisconnectPeer):
        link = self._links.pop(action.peer, None)
        if link is not None:
            link.cancel()

    @carry_out.register
    def _send(self, action: SendPeer):
        link = self._links.get(action.peer)
        if link is None:
            address = self.context.addresses.find(action.peer)
            if address is None:
                self.dropped_messages += 1
                return
            link = self._open(action.peer, address, persistent=False)
        message = action.message
        if not link.enqueue(encode_record(message), message.PROTOCOL):
            self.dropped_messages += 1

    def _open(self, peer, address, persistent):
        link = PeerLink(
            self, self._settings, peer, address, persistent, self._client_tls
        )
        self._links[peer] = link
        link.start()
        return link

    def get_protocol(self, peer):
        """Return the protocol version (int) of a connected daemon, or None."""
        link = self._links.get(peer)
        return None if link is None else link.protocol

    def feed(self, event):
        """Feed an event of a link into the kernel."""
        self.context.feed(event)

    def remove_link(self, link):
        """Remove a link whose task has ended, unless it was replaced."""
        if self._links.get(link.peer) is link:
            del self._links[link.peer]

    async def _accept(self, connection):
        try:
            name, secret = self._settings.name, self._settings.peer_secret
            peer = await accept_handshake(connection, name, secret)
        except PeerRefusedError as error:
            log_event(LogEvent.PEER_REFUSED, error=str(error))
            await connection.close(STATUS_POLICY_VIOLATION)
            return
        except ConnectionClosed:
            return
        self._listener.mark_known(connection)
        await self._receive_all(connection, peer)

    async def _receive_all(self, connection, peer):
        self._inbound_counts[peer] += 1
        try:
            async for data in connection:
                self.received_messages += 1
                self.received_bytes += len(data)
                self.context.feed(PeerReceived(peer, _decode(data)))
        except CodecError as error:
            log_event(LogEvent.PEER_MALFORMED, peer=peer, error=str(error))
            await connection.close(STATUS_INVALID_DATA)
        except ConnectionClosed as error:
            log_event(LogEvent.PEER_LOST, peer=peer, error=str(error))
        finally:
            self._inbound_counts[peer] -= 1
            if not self._inbound_counts[peer]:
                del self._inbound_counts[peer]
                self.context.feed(PeerInboundLost(peer))


def _decode(data):
    if not isinstance(data, bytes):
        raise CodecError("peer message must be binary")
    return decode_record(data)


def _make_server_tls(settings):
    if not settings.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    if settings.tls_authority:
        context.load_verify_locations(settings.tls_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_tls(settings):
    """Return the SSLContext for outgoing connections, or None without TLS."""
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(cafile=settings.tls_authority or None)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context


def register(registry):
    """Register the adapter as ``websocket`` for ``peers``."""
    registry.add("peers", "websocket", WebsocketPeers)
