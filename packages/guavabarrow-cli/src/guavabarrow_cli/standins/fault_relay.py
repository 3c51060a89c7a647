"""TCP relay in front of a link, which can cut, freeze or delay it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.protocol import connectionDone as CONNECTION_DONE

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure


class RelaySide(Protocol):
    """One side of a relayed connection."""

    def __init__(self, relay: FaultRelay) -> None:
        self._relay = relay
        self._peer: RelaySide | None = None
        self._early: list[bytes] = []
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def join(self, peer: RelaySide) -> None:
        """Connect the two sides and pass on what came early."""
        self._peer = peer
        early, self._early = self._early, []
        for data in early:
            self.dataReceived(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data on after the delay; drop it while the link is frozen."""
        if self._peer is None:
            self._early.append(data)
            return
        if self._relay.frozen:
            return
        if self._relay.delay_s:
            self._relay.reactor.callLater(self._relay.delay_s, self._peer.send, data)
        else:
            self._peer.send(data)

    def send(self, data: bytes) -> None:
        """Write to this side if it is still open."""
        if self.is_open:
            self.transport.write(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Close the other side too."""
        self.is_open = False
        self._relay.sides.discard(self)
        if self._peer is not None and self._peer.is_open:
            self._peer.transport.loseConnection()


class FaultRelay(Factory):
    """Relay from a local port to a target address.

    Parameters
    ----------
    reactor : object
        Reactor that owns the sockets.
    host, port : str, int
        Address to relay to.
    """

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self.reactor = reactor
        self.sides: set[RelaySide] = set()
        self.cut = False
        self.frozen = False
        self.delay_s = 0.0
        self._target = (host, port)

    def buildProtocol(self, addr: IAddress) -> RelaySide | None:  # noqa: N802
        """Refuse the connection while the link is cut."""
        if self.cut:
            return None
        side = RelaySide(self)
        self.sides.add(side)
        host, port = self._target
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, timeout=2)
        far = RelaySide(self)
        self.sides.add(far)
        connected = connectProtocol(endpoint, far)
        connected.addCallbacks(
            lambda _: self._join(side, far), lambda _: self._drop(side, far)
        )
        return side

    def set_cut(self, cut: bool) -> None:
        """Break all connections and refuse new ones, or heal the link."""
        self.cut = cut
        if not cut:
            return
        for side in list(self.sides):
            if side.is_open:
                side.transport.abortConnection()

    def _join(self, side: RelaySide, far: RelaySide) -> None:
        side.join(far)
        far.join(side)
        if not side.is_open and far.is_open:
            far.transport.loseConnection()

    def _drop(self, side: RelaySide, far: RelaySide) -> None:
        self.sides.discard(far)
        if side.is_open:
            side.transport.abortConnection()
