"""TCP relay with fault injection: it can block, freeze or delay a link."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.protocol import connectionDone as CONNECTION_DONE

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure


class RelayConnection(Protocol):
    """One of the two connections of a relayed stream."""

    def __init__(self, relay: FaultRelay) -> None:
        self._relay = relay
        self._peer: RelayConnection | None = None
        self._buffered: list[bytes] = []
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Mark the connection open and disable Nagle's algorithm."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def attach_peer(self, peer: RelayConnection) -> None:
        """Set the opposite connection and forward the data buffered so far."""
        self._peer = peer
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self.dataReceived(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data after the delay; discard it while the link is frozen."""
        if self._peer is None:
            self._buffered.append(data)
            return
        if self._relay.frozen:
            return
        if self._relay.delay_s:
            self._relay.reactor.callLater(self._relay.delay_s, self._peer.send, data)
        else:
            self._peer.send(data)

    def send(self, data: bytes) -> None:
        """Write to this connection if it is open."""
        if self.is_open:
            self.transport.write(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Close the opposite connection."""
        self.is_open = False
        self._relay.connections.discard(self)
        if self._peer is not None and self._peer.is_open:
            self._peer.transport.loseConnection()


class FaultRelay(Factory):
    """Relays connections of a local port to a target address.

    Parameters
    ----------
    reactor : object
        Reactor that owns the sockets.
    host, port : str, int
        Target address.
    """

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self.reactor = reactor
        self.connections: set[RelayConnection] = set()
        self.cut = False
        self.frozen = False
        self.delay_s = 0.0
        self._target_address = (host, port)

    def buildProtocol(self, addr: IAddress) -> RelayConnection | None:  # noqa: N802
        """Accept a connection unless the link is blocked."""
        if self.cut:
            return None
        inbound = RelayConnection(self)
        self.connections.add(inbound)
        host, port = self._target_address
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, timeout=2)
        outbound = RelayConnection(self)
        self.connections.add(outbound)
        connected = connectProtocol(endpoint, outbound)
        connected.addCallbacks(
            lambda _: self._attach(inbound, outbound),
            lambda _: self._abort(inbound, outbound),
        )
        return inbound

    def set_cut(self, cut: bool) -> None:
        """Abort all connections and reject new ones, or unblock the link."""
        self.cut = cut
        if not cut:
            return
        for connection in list(self.connections):
            if connection.is_open:
                connection.transport.abortConnection()

    def _attach(self, inbound: RelayConnection, outbound: RelayConnection) -> None:
        inbound.attach_peer(outbound)
        outbound.attach_peer(inbound)
        if not inbound.is_open and outbound.is_open:
            outbound.transport.loseConnection()

    def _abort(self, inbound: RelayConnection, outbound: RelayConnection) -> None:
        self.connections.discard(outbound)
        if inbound.is_open:
            inbound.transport.abortConnection()
