"""Connections in memory under virtual time, with cuts, silence and suspended hosts.

Each host has a reactor of its own, so that it can be suspended alone. Bytes that a cut
holds back arrive when it heals in time; otherwise both ends lose the connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

LATENCY_S = 0.002
RETRANSMIT_S = 0.1
SILENCE_LIMIT_S = 1.5
"""Bytes that are held back for this long end a connection."""


class SimNetwork:
    """All hosts and what separates them.

    Attributes
    ----------
    is_blocked : callable
        Tells whether nothing passes from one host to another.
    resets_connections : bool
        Whether a cut refuses connections instead of leaving them unanswered.
    bytes_per_s_by_host : dict of str to float
        What the link of a host carries in each direction; unlimited if missing.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.is_blocked: Callable[[str, str], bool] = lambda one, other: False
        self.resets_connections = False
        self.reactor_by_host: dict[str, SimReactor] = {}
        self.suspended: set[str] = set()
        self.factory_by_address: dict[tuple[str, int], Any] = {}
        self.transports: set[SimTransport] = set()
        self.bytes_per_s_by_host: dict[str, float] = {}
        self._busy_until: dict[tuple[str, str], float] = {}

    def reactor(self, host: str) -> SimReactor:
        """Return the reactor of a new host, or of one that starts again."""
        reactor = SimReactor(self, host)
        reactor.advance(self.now)
        self.reactor_by_host[host] = reactor
        return reactor

    def advance(self, duration_s: float) -> None:
        """Let time pass on all hosts that are not suspended."""
        self.now += duration_s
        for host, reactor in list(self.reactor_by_host.items()):
            if host not in self.suspended:
                reactor.advance(self.now - reactor.seconds())

    def crossing_s(self, host: str, peer_host: str, size: int) -> float:
        """Return how long bytes need through the queues of both links."""
        done_at = self.now
        for link in ((host, "out"), (peer_host, "in")):
            rate = self.bytes_per_s_by_host.get(link[0])
            if rate is not None:
                done_at = max(done_at, self._busy_until.get(link, 0.0)) + size / rate
                self._busy_until[link] = done_at
        return done_at - self.now

    def kill(self, host: str) -> None:
        """End a host's process: its connections are reset, nothing listens."""
        self.reactor_by_host.pop(host, None)
        for address in list(self.factory_by_address):
            if address[0] == host:
                del self.factory_by_address[address]
        for transport in list(self.transports):
            if transport.host == host:
                transport.lose(ConnectionLost(), tells_own=False)

    def blackhole_connections(self, host: str) -> None:
        """Let a host's present connections go silent for good."""
        for transport in self.transports:
            if host in (transport.host, transport.peer_host):
                transport.is_silent = True


class SimReactor(Clock):
    """Timers and sockets of one host."""

    def __init__(self, network: SimNetwork, host: str) -> None:
        super().__init__()
        self.network = network
        self.host = host

    @property
    def is_gone(self) -> bool:
        """Whether the host's process was ended."""
        return self.network.reactor_by_host.get(self.host) is not self

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        """Take connections."""
        self.network.factory_by_address[self.host, port] = factory
        return SimPort(self, port)

    def connectTCP(  # noqa: N802
        self,
        host,
        port,
        factory,
        timeout=30,
        bindAddress=None,  # noqa: N803
    ):
        """Open a connection."""
        connector = SimConnector(self, host, port, factory, timeout)
        factory.doStart()
        factory.startedConnecting(connector)
        connector.connect()
        return connector


class SimPort:
    """A listening port."""

    def __init__(self, reactor: SimReactor, port: int) -> None:
        self._reactor = reactor
        self._port = port

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return the address."""
        return IPv4Address("TCP", self._reactor.host, self._port)

    def stopListening(self) -> None:  # noqa: N802
        """Take no more connections."""
        self._reactor.network.factory_by_address.pop(
            (self._reactor.host, self._port), None
        )


class SimConnector:
    """One attempt to connect."""

    def __init__(self, reactor, host, port, factory, timeout) -> None:
        self._reactor = reactor
        self._address = (host, port)
        self._factory = factory
        self._until = reactor.seconds() + timeout
        self._is_over = False

    def getDestination(self) -> IPv4Address:  # noqa: N802
        """Return where to."""
        return IPv4Address("TCP", *self._address)

    def stopConnecting(self) -> None:  # noqa: N802
        """Give up."""
        self._is_over = True

    def connect(self) -> None:
        """Try after one crossing."""
        self._reactor.callLater(LATENCY_S, self._try)

    def _try(self) -> None:
        if self._is_over or self._reactor.is_gone:
            return
        network = self._reactor.network
        host = self._address[0]
        own = self._reactor.host
        is_blocked = network.is_blocked(own, host) or network.is_blocked(host, own)
        if (is_blocked and not network.resets_connections) or host in network.suspended:
            if self._reactor.seconds() >= self._until:
                self._fail(TimeoutError())
            else:
                self._reactor.callLater(RETRANSMIT_S, self._try)
            return
        factory = network.factory_by_address.get(self._address)
        if is_blocked or factory is None:
            self._fail(ConnectionRefusedError())
            return
        self._is_over = True
        near = SimTransport(self._reactor, host)
        far = SimTransport(network.reactor_by_host[host], own)
        near.peer, far.peer = far, near
        client = self._factory.buildProtocol(self.getDestination())
        server = factory.buildProtocol(IPv4Address("TCP", own, 1))
        near.attach(client)
        far.attach(server)

    def _fail(self, error: Exception) -> None:
        self._is_over = True
        self._factory.clientConnectionFailed(self, Failure(error))


class SimTransport:
    """One end of a connection."""

    def __init__(self, reactor: SimReactor, peer_host: str) -> None:
        self.host = reactor.host
        self.peer_host = peer_host
        self.peer: SimTransport
        self.is_silent = False
        self.is_open = True
        self.disconnecting = False
        self._reactor = reactor
        self._protocol: Any = None
        self._held_since: float | None = None
        self._outgoing: list[bytes] = []

    def attach(self, protocol: Any) -> None:
        """Give the transport its protocol."""
        self._protocol = protocol
        self._reactor.network.transports.add(self)
        protocol.makeConnection(self)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if not self.is_open:
            return
        self._outgoing.append(data)
        if len(self._outgoing) == 1:
            self._reactor.callLater(LATENCY_S, self._deliver)

    def writeSequence(self, chunks) -> None:  # noqa: N802
        """Send bytes in pieces."""
        self.write(b"".join(chunks))

    def loseConnection(self) -> None:  # noqa: N802
        """Close after what was written."""
        self._reactor.callLater(2 * LATENCY_S, self.lose, ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Close at once."""
        self.lose(ConnectionLost())

    def lose(self, error: Exception, *, tells_own: bool = True) -> None:
        """End both ends; the other one hears of it unless it can't."""
        if not self.is_open:
            return
        network = self._reactor.network
        self._end(error, tells=tells_own)
        is_blocked = network.is_blocked(self.host, self.peer_host) or self.is_silent
        delay = (
            SILENCE_LIMIT_S
            if is_blocked and not network.resets_connections
            else LATENCY_S
        )
        peer = self.peer
        peer._reactor.callLater(delay, peer._end, ConnectionLost())

    def setTcpNoDelay(self, enabled) -> None:  # noqa: N802
        """Ignored."""

    def setTcpKeepAlive(self, enabled) -> None:  # noqa: N802
        """Ignored."""

    def getHandle(self):  # noqa: N802
        """Return an object that takes socket options."""
        return self

    def setsockopt(self, *options) -> None:
        """Ignored."""

    def getPeer(self) -> IPv4Address:  # noqa: N802
        """Return the other end's address."""
        return IPv4Address("TCP", self.peer_host, 1)

    def _deliver(self) -> None:
        if not self.is_open or not self._outgoing or self._reactor.is_gone:
            return
        network = self._reactor.network
        if network.is_blocked(self.host, self.peer_host) or self.is_silent:
            now = network.now
            if self._held_since is None:
                self._held_since = now
            if network.resets_connections or now - self._held_since > SILENCE_LIMIT_S:
                self.lose(ConnectionLost())
                return
            self._reactor.callLater(RETRANSMIT_S, self._deliver)
            return
        self._held_since = None
        data, self._outgoing = b"".join(self._outgoing), []
        # A suspended peer takes it when it wakes.
        delay_s = network.crossing_s(self.host, self.peer_host, len(data))
        self.peer._reactor.callLater(delay_s, self.peer._receive, data)

    def _receive(self, data: bytes) -> None:
        if self.is_open and not self._reactor.is_gone:
            self._protocol.dataReceived(data)

    def _end(self, error: Exception, *, tells: bool = True) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self._reactor.network.transports.discard(self)
        if tells and self._protocol is not None and not self._reactor.is_gone:
            self._protocol.connectionLost(Failure(error))
