"""Connections to the other gateways."""

from firworks.adapter import AdapterContext
from firworks.kernel.messages import (
    ConnectPeer,
    DisconnectPeer,
    PeerConnected,
    PeerDisconnected,
    PeerInboundLost,
    PeerReceived,
    SendPeer,
)
from firworks.plugins.peer_handshake import ANY_PEER
from firworks.plugins.websocket_peers import WebsocketPeers


class RosterAddresses:
    """Addresses of the members of a roster.

    Args:
        roster (Roster): The members.
    """

    def __init__(self, roster):
        self._roster = roster

    def find(self, name):
        """Return the "ip:port" of a member or a seed, or None."""
        if name.startswith(ANY_PEER):
            return name.removeprefix(ANY_PEER)
        entry = self._roster.find(name)
        return None if entry is None else entry.address


class PeerConnections:
    """Sends records to other gateways and takes theirs.

    Args:
        settings (GatewaySettings): Of this process.
        roster (Roster): The members.
        receive (callable): ``receive(peer, record)`` takes what comes.
        on_lost (callable): ``on_lost(peer)``, after the connection on which a member
            sends was lost.
        on_renewed (callable): ``on_renewed(peer)``, after the own connection to a
            member was lost and opened anew.
        on_connected (callable): ``on_connected(peer)``, after any own connection was
            opened.
        clock (callable): Returns monotonic seconds.
    """

    def __init__(
        self, settings, roster, receive, on_lost, on_renewed, on_connected, clock
    ):
        self._roster = roster
        self._receive = receive
        self._on_lost = on_lost
        self._on_renewed = on_renewed
        self._on_connected = on_connected
        self._disconnected = set()
        addresses = RosterAddresses(roster)
        context = AdapterContext(
            settings, roster.own.incarnation, self._feed, clock, addresses
        )
        self._adapter = WebsocketPeers(context)

    async def start(self):
        """Listen for other gateways."""
        await self._adapter.start()

    async def stop(self):
        """Close all connections."""
        await self._adapter.stop()

    @property
    def port(self):
        """The bound port."""
        return self._adapter.port

    def connect(self, peer):
        """Keep a connection to a member."""
        entry = self._roster.find(peer)
        if entry is not None:
            self._adapter.carry_out(ConnectPeer(peer, entry.address))

    def reconnect(self, peer):
        """Replace the connection to a member."""
        self._adapter.carry_out(DisconnectPeer(peer))
        self.connect(peer)

    def send(self, peer, record):
        """Send a record to a member."""
        self._adapter.carry_out(SendPeer(peer, record))

    def _feed(self, event):
        if isinstance(event, PeerReceived):
            self._receive(event.peer, event.message)
        elif isinstance(event, PeerInboundLost):
            self._on_lost(event.peer)
        elif isinstance(event, PeerDisconnected):
            self._disconnected.add(event.peer)
        elif isinstance(event, PeerConnected):
            self._on_connected(event.peer)
            if event.peer in self._disconnected:
                self._disconnected.discard(event.peer)
                self._on_renewed(event.peer)
