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
    """Resolves the names of members and seeds to addresses.

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
    """Sends records to other gateways and receives theirs.

    Each gateway sends on the connections that it opened itself (outbound) and receives
    on those that its peers opened (inbound).

    Args:
        settings (GatewaySettings): Settings of this process.
        roster (Roster): The members.
        receive (callable): ``receive(peer, record)``, called for each record received.
        on_inbound_lost (callable): ``on_inbound_lost(peer)``, called after the last
            inbound connection of a member closed.
        on_reconnected (callable): ``on_reconnected(peer)``, called after a lost
            outbound connection was opened again.
        on_connected (callable): ``on_connected(peer)``, called after any outbound
            connection was opened.
        clock (callable): Returns monotonic seconds.
        ingress (Ingress): Limits the connections that others open.
    """

    def __init__(
        self,
        settings,
        roster,
        receive,
        on_inbound_lost,
        on_reconnected,
        on_connected,
        clock,
        ingress,
    ):
        self._roster = roster
        self._receive = receive
        self._on_inbound_lost = on_inbound_lost
        self._on_reconnected = on_reconnected
        self._on_connected = on_connected
        self._disconnected = set()
        addresses = RosterAddresses(roster)
        context = AdapterContext(
            settings,
            roster.own.incarnation,
            self._handle_event,
            clock,
            addresses,
            ingress,
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
        """The port on which this gateway listens for others (int)."""
        return self._adapter.port

    def connect(self, peer):
        """Open a connection to a member and keep it open; ignore unknown names."""
        entry = self._roster.find(peer)
        if entry is not None:
            self._adapter.carry_out(ConnectPeer(peer, entry.address))

    def reconnect(self, peer):
        """Close the connection to a member and open a new one."""
        self._adapter.carry_out(DisconnectPeer(peer))
        self.connect(peer)

    def send(self, peer, record):
        """Send a record to a member or a seed."""
        self._adapter.carry_out(SendPeer(peer, record))

    def get_protocol(self, peer):
        """Return the protocol version (int) of a connected gateway, or None."""
        return self._adapter.get_protocol(peer)

    def _handle_event(self, event):
        if isinstance(event, PeerReceived):
            self._receive(event.peer, event.message)
        elif isinstance(event, PeerInboundLost):
            self._on_inbound_lost(event.peer)
        elif isinstance(event, PeerDisconnected):
            self._disconnected.add(event.peer)
        elif isinstance(event, PeerConnected):
            self._on_connected(event.peer)
            if event.peer in self._disconnected:
                self._disconnected.discard(event.peer)
                self._on_reconnected(event.peer)
