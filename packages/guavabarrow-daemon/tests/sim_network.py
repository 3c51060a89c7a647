"""In-memory network in virtual time, with partitions, black holes and suspended hosts.

Each host has a separate reactor, so that it can be suspended alone. Bytes that a
partition holds back arrive if it heals in time; otherwise both ends lose the
connection.
"""

from __future__ import annotations

from collections import deque
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
UNACKED_TIMEOUT_S = 1.5
"""Bytes that are held back for longer than this end a connection."""


class SimNetwork:
    """All hosts, and the faults of the network between them.

    Attributes
    ----------
    is_blocked : callable
        Called with two hosts, returns whether nothing passes from the first to the
        second.
    resets_connections : bool
        Whether a partition refuses and resets connections instead of dropping packets.
    bytes_per_s_by_host : dict of str to float
        Bandwidth of a host's link in each direction; unlimited if missing.
    latency_s_by_link : dict of tuple to float
        Additional latency, in s, from the first to the second of two hosts.
    connect_delay_s : callable
        Called with two hosts, returns the additional duration, in s, of an attempt of
        the first to connect to the second.
    read_delay_s : callable
        Called with a sender and a suspended host, returns how late, in s, the host
        reads what the sender sent meanwhile, compared to its own timers.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.is_blocked: Callable[[str, str], bool] = lambda source, destination: False
        self.resets_connections = False
        self.reactor_by_host: dict[str, SimReactor] = {}
        self.suspended: set[str] = set()
        self.factory_by_address: dict[tuple[str, int], Any] = {}
        self.transports: dict[SimTransport, None] = {}
        self.bytes_per_s_by_host: dict[str, float] = {}
        self.latency_s_by_link: dict[tuple[str, str], float] = {}
        self.connect_delay_s: Callable[[str, str], float] = lambda host, peer: 0.0
        self.read_delay_s: Callable[[str, str], float] = lambda sender, host: 0.0
        self._busy_until: dict[tuple[str, str], float] = {}

    def reactor(self, host: str) -> SimReactor:
        """Return the reactor of a new or restarted host."""
        reactor = SimReactor(self, host)
        reactor.advance(self.now)
        self.reactor_by_host[host] = reactor
        return reactor

    def advance(self, duration_s: float) -> None:
        """Advance the time of all hosts that are not suspended."""
        self.now += duration_s
        for host, reactor in list(self.reactor_by_host.items()):
            if host not in self.suspended:
                reactor.advance(self.now - reactor.seconds())

    def transfer_s(self, host: str, peer_host: str, size: int) -> float:
        """Return how long a message takes through the queues of both links, in s."""
        done_at = self.now
        for link in ((host, "out"), (peer_host, "in")):
            rate = self.bytes_per_s_by_host.get(link[0])
            if rate is not None:
                done_at = max(done_at, self._busy_until.get(link, 0.0)) + size / rate
                self._busy_until[link] = done_at
        return done_at - self.now

    def arrival_delay_s(self, sender: str, host: str) -> float:
        """Return how long after its transfer a host reads a message, in s."""
        delay_s = self.latency_s_by_link.get((sender, host), 0.0)
        if host in self.suspended:
            delay_s += self.read_delay_s(sender, host)
        return delay_s

    def kill(self, host: str) -> None:
        """End a host's process: its connections are reset and its ports closed."""
        self.reactor_by_host.pop(host, None)
        for address in list(self.factory_by_address):
            if address[0] == host:
                del self.factory_by_address[address]
        for transport in list(self.transports):
            if transport.host == host:
                transport.close_both_ends(ConnectionLost(), notify_own=False)

    def blackhole_connections(self, host: str) -> None:
        """Drop all further bytes on the current connections of a host, for good."""
        for transport in self.transports:
            if host in (transport.host, transport.peer_host):
                transport.is_blackholed = True


class SimReactor(Clock):
    """Timers and sockets of one host."""

    def __init__(self, network: SimNetwork, host: str) -> None:
        super().__init__()
        self.network = network
        self.host = host

    @property
    def has_ended(self) -> bool:
        """Whether the host's process has ended."""
        return self.network.reactor_by_host.get(self.host) is not self

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        """Listen on a port."""
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
        """Stop listening."""
        self._reactor.network.factory_by_address.pop(
            (self._reactor.host, self._port), None
        )


class SimConnector:
    """One connection attempt."""

    def __init__(self, reactor, host, port, factory, timeout) -> None:
        self._reactor = reactor
        self._address = (host, port)
        self._factory = factory
        self._deadline = reactor.seconds() + timeout
        self._is_done = False

    def getDestination(self) -> IPv4Address:  # noqa: N802
        """Return the address of the attempt."""
        return IPv4Address("TCP", *self._address)

    def stopConnecting(self) -> None:  # noqa: N802
        """Abandon the attempt."""
        self._is_done = True

    def connect(self) -> None:
        """Make the first attempt after one network latency."""
        host = self._address[0]
        delay_s = self._reactor.network.connect_delay_s(self._reactor.host, host)
        self._reactor.callLater(LATENCY_S + delay_s, self._try)

    def _try(self) -> None:
        if self._is_done or self._reactor.has_ended:
            return
        network = self._reactor.network
        host = self._address[0]
        own_host = self._reactor.host
        is_blocked = network.is_blocked(own_host, host) or network.is_blocked(
            host, own_host
        )
        if (is_blocked and not network.resets_connections) or host in network.suspended:
            if self._reactor.seconds() >= self._deadline:
                self._fail(TimeoutError())
            else:
                self._reactor.callLater(RETRANSMIT_S, self._try)
            return
        factory = network.factory_by_address.get(self._address)
        if is_blocked or factory is None:
            self._fail(ConnectionRefusedError())
            return
        self._is_done = True
        client_end = SimTransport(self._reactor, host)
        server_end = SimTransport(network.reactor_by_host[host], own_host)
        client_end.peer, server_end.peer = server_end, client_end
        client = self._factory.buildProtocol(self.getDestination())
        server = factory.buildProtocol(IPv4Address("TCP", own_host, 1))
        client_end.attach(client)
        server_end.attach(server)

    def _fail(self, error: Exception) -> None:
        self._is_done = True
        self._factory.clientConnectionFailed(self, Failure(error))


class SimTransport:
    """One end of a connection."""

    def __init__(self, reactor: SimReactor, peer_host: str) -> None:
        self.host = reactor.host
        self.peer_host = peer_host
        self.peer: SimTransport
        self.is_blackholed = False
        self.is_open = True
        self.disconnecting = False
        self._reactor = reactor
        self._protocol: Any = None
        self._blocked_since: float | None = None
        self._outgoing: list[bytes] = []
        self._incoming: deque[bytes] = deque()

    def attach(self, protocol: Any) -> None:
        """Connect the transport to its protocol."""
        self._protocol = protocol
        self._reactor.network.transports[self] = None
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
        """Close after all written bytes were sent."""
        self._reactor.callLater(2 * LATENCY_S, self.close_both_ends, ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Close immediately."""
        self.close_both_ends(ConnectionLost())

    def close_both_ends(self, error: Exception, *, notify_own: bool = True) -> None:
        """Close both ends, the peer's after a timeout if packets are dropped."""
        if not self.is_open:
            return
        network = self._reactor.network
        self._close(error, notify=notify_own)
        is_blocked = network.is_blocked(self.host, self.peer_host) or self.is_blackholed
        delay = (
            UNACKED_TIMEOUT_S
            if is_blocked and not network.resets_connections
            else LATENCY_S
        )
        peer = self.peer
        peer._reactor.callLater(delay, peer._close, ConnectionLost())

    def setTcpNoDelay(self, enabled) -> None:  # noqa: N802
        """Do nothing."""

    def setTcpKeepAlive(self, enabled) -> None:  # noqa: N802
        """Do nothing."""

    def getHandle(self):  # noqa: N802
        """Return an object that accepts socket options."""
        return self

    def setsockopt(self, *options) -> None:
        """Do nothing."""

    def getPeer(self) -> IPv4Address:  # noqa: N802
        """Return the address of the other end."""
        return IPv4Address("TCP", self.peer_host, 1)

    def _deliver(self) -> None:
        if not self.is_open or not self._outgoing or self._reactor.has_ended:
            return
        network = self._reactor.network
        if network.is_blocked(self.host, self.peer_host) or self.is_blackholed:
            now = network.now
            if self._blocked_since is None:
                self._blocked_since = now
            if (
                network.resets_connections
                or now - self._blocked_since > UNACKED_TIMEOUT_S
            ):
                self.close_both_ends(ConnectionLost())
                return
            self._reactor.callLater(RETRANSMIT_S, self._deliver)
            return
        self._blocked_since = None
        data, self._outgoing = b"".join(self._outgoing), []
        # A suspended peer receives it when it resumes.
        delay_s = network.transfer_s(self.host, self.peer_host, len(data))
        delay_s += network.arrival_delay_s(self.host, self.peer_host)
        self.peer._incoming.append(data)
        self.peer._reactor.callLater(delay_s, self.peer._receive)

    def _receive(self) -> None:
        # Bytes of one connection stay in order if the latency decreases.
        data = self._incoming.popleft()
        if self.is_open and not self._reactor.has_ended:
            self._protocol.dataReceived(data)

    def _close(self, error: Exception, *, notify: bool = True) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self._reactor.network.transports.pop(self, None)
        if notify and self._protocol is not None and not self._reactor.has_ended:
            self._protocol.connectionLost(Failure(error))
