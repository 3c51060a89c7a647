"""Connections to other VMs: one for each pair of VMs, used in both directions.

The VM whose name sorts first opens the connection; the other one does if there is none
for ``REVERSE_CONNECT_DELAY_S``, because a VM that starts while the store is unavailable
knows no addresses. A connection without traffic is closed and opened anew, so that a
dead connection is not mistaken for a dead VM.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory
from twisted.internet.protocol import connectionDone as CONNECTION_DONE
from twisted.protocols.basic import Int32StringReceiver

from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.fleet.fleet_messages import (
    DECODER,
    ENCODER,
    FleetMessage,
    Hello,
)
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.session_connection import configure_socket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from prometheus_client import Counter
    from twisted.python.failure import Failure

    from guavabarrow_core.fleet_state import MemberRow
    from guavabarrow_daemon.session_settings import SessionVmSettings

CONNECT_TIMEOUT_S = 0.5
RECONNECT_DELAY_S = 0.4
"""Pause between attempts to connect to a VM."""

REVERSE_CONNECT_DELAY_S = 0.6
"""Time without a connection after which either VM opens one; longer than the pause
between the attempts of the VM whose part it is."""

TCP_USER_TIMEOUT_MS = 1500
LIVENESS_TIMEOUT_S = 1.8
"""A VM is live if a message arrived within two heartbeat intervals and a margin."""

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class PeerLink(Int32StringReceiver):
    """One connection between two VMs."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, links: PeerLinks, expected_vm: str = "") -> None:
        self._links = links
        self.vm = expected_vm
        self.is_opener = bool(expected_vm)
        self.incarnation = ""
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Identify this VM to the other end."""
        self.is_open = True
        configure_socket(self.transport, TCP_USER_TIMEOUT_MS)
        self.send_encoded(ENCODER.encode(self._links.hello))

    def send_encoded(self, data: bytes) -> None:
        """Send an encoded message."""
        if self.is_open:
            self.sendString(data)

    def stringReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode and handle a message."""
        try:
            message = decode_value(DECODER, data)
        except UndecodableValue as error:
            log_decision("peer_message_unreadable", peer=self.vm, detail=str(error))
            self.transport.abortConnection()
            return
        if isinstance(message, Hello):
            self.vm = message.vm
            self.incarnation = message.incarnation
            self._links.on_hello(self)
            return
        if self.incarnation:
            self._links.on_message(self, message, len(data))

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Report the loss of the connection."""
        self.is_open = False
        self._links.on_lost(self)

    def close(self) -> None:
        """Close the connection after all messages were sent."""
        if self.is_open:
            self.is_open = False
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()


class PeerLinks(Service):
    """Connections to the VMs that are peers of this one.

    Attributes
    ----------
    on_peer_message : list of callable
        Called with the name of the VM and the message.
    on_peer_up : list of callable
        Called with the name of a VM that has connected.
    on_peer_lost : list of callable
        Called with the name of a VM whose link has ended or was replaced; messages that
        were under way on it may be lost.
    link_users : list of callable
        Called with the name of a VM, return whether the link to it is in use; such a
        link is kept although the VM is no peer.
    """

    name = "peer_links"

    def __init__(
        self,
        kernel: Kernel,
        settings: SessionVmSettings,
        reactor: Any,
        *,
        incarnation: str,
    ) -> None:
        super().__init__(kernel)
        self.hello = Hello(settings.vm, incarnation)
        self.on_peer_message: list[Callable[[str, FleetMessage], None]] = []
        self.on_peer_up: list[Callable[[str], None]] = []
        self.on_peer_lost: list[Callable[[str], None]] = []
        self.link_users: list[Callable[[str], bool]] = []
        self._settings = settings
        self._reactor = reactor
        self._link_by_vm: dict[str, PeerLink] = {}
        self._last_message_at: dict[str, float] = {}
        self._incarnation_by_vm: dict[str, str] = {}
        self._peers: dict[str, MemberRow] = {}
        self._unneeded: set[str] = set()
        self._connecting: set[str] = set()
        self._unlinked_since: dict[str, float] = {}
        self._metrics = kernel.find(SessionMetrics)
        self._counters_by_kind: dict[tuple[str, type], tuple[Counter, Counter]] = {}
        self._listening_port: Any = None
        self._is_stopped = False
        self.port = settings.peer_port

    async def start(self) -> None:
        """Listen for connections from other VMs."""
        factory = Factory.forProtocol(lambda: PeerLink(self))
        self._listening_port = self._reactor.listenTCP(
            self._settings.peer_port, factory, interface=self._settings.host
        )
        self.port = self._listening_port.getHost().port

    async def stop(self) -> None:
        """Close all links."""
        self._is_stopped = True
        if self._listening_port is not None:
            self._listening_port.stopListening()
        for link in list(self._link_by_vm.values()):
            link.close()

    def set_peers(self, members: dict[str, MemberRow]) -> None:
        """Replace the set of peers, and connect to those that lack a connection.

        A connection that another VM opened is left to that VM, which may need it even
        if this one does not.
        """
        self._peers = members
        self._unneeded = {
            vm
            for vm, link in self._link_by_vm.items()
            if vm not in members and link.is_opener
        }
        self.connect_missing_peers()

    def is_peer(self, vm: str) -> bool:
        """Return whether another VM is a peer of this one."""
        return vm in self._peers

    def connect_missing_peers(self) -> None:
        """Connect to peers that lack a connection, and close those without traffic."""
        now = now_s()
        self._close_unneeded()
        for vm, link in list(self._link_by_vm.items()):
            if now - self._last_message_at.get(vm, now) > LIVENESS_TIMEOUT_S:
                link.abort()
        for vm in set(self._unlinked_since) - self._peers.keys():
            del self._unlinked_since[vm]
        for vm, member in self._peers.items():
            if vm in self._link_by_vm:
                self._unlinked_since.pop(vm, None)
                continue
            since = self._unlinked_since.setdefault(vm, now)
            if self.hello.vm < vm or now - since > REVERSE_CONNECT_DELAY_S:
                self._start_connecting(member)

    def _close_unneeded(self) -> None:
        """Close links to VMs that are no peers any more, once they are not in use."""
        for vm in list(self._unneeded):
            if any(is_user(vm) for is_user in self.link_users):
                continue
            self._unneeded.discard(vm)
            link = self._link_by_vm.pop(vm, None)
            if link is not None:
                link.abort()

    def live_peers(self) -> frozenset[str]:
        """Return the peers from which a message arrived recently."""
        cutoff = now_s() - LIVENESS_TIMEOUT_S
        return frozenset(
            vm
            for vm, link in self._link_by_vm.items()
            if link.is_open and self._last_message_at.get(vm, cutoff) > cutoff
        )

    def incarnation_of(self, vm: str) -> str:
        """Return the incarnation of a VM's last connection, empty if it had none."""
        return self._incarnation_by_vm.get(vm, "")

    def is_linked(self, vm: str) -> bool:
        """Return whether a connection to a VM is open."""
        link = self._link_by_vm.get(vm)
        return link is not None and link.is_open

    def send(self, vm: str, message: FleetMessage) -> None:
        """Send a message to one VM, if it is connected."""
        self.send_to((vm,), message)

    def broadcast(self, message: FleetMessage) -> None:
        """Send a message to all connected VMs."""
        self.send_to(self.connected_vms(), message)

    def send_to(self, vms: Iterable[str], message: FleetMessage) -> None:
        """Send a message to several VMs, as far as they are connected."""
        links = [link for vm in vms if (link := self._link_by_vm.get(vm)) is not None]
        if not links:
            return
        data = ENCODER.encode(message)
        for link in links:
            link.send_encoded(data)
        self._count("sent", message, len(links), len(data))

    def connected_vms(self) -> list[str]:
        """Return the names of all connected VMs."""
        return list(self._link_by_vm)

    def on_hello(self, link: PeerLink) -> None:
        """Register a connection whose VM is identified; it replaces an older one."""
        previous = self._link_by_vm.get(link.vm)
        self._link_by_vm[link.vm] = link
        self._last_message_at[link.vm] = now_s()
        self._incarnation_by_vm[link.vm] = link.incarnation
        if previous is not None and previous is not link:
            previous.abort()
            self._notify_lost(link.vm)
        log_decision("peer_linked", peer=link.vm, incarnation=link.incarnation)
        for callback in self.on_peer_up:
            callback(link.vm)

    def on_message(self, link: PeerLink, message: FleetMessage, size: int) -> None:
        """Deliver a message of ``size`` bytes."""
        self._count("received", message, 1, size)
        self._last_message_at[link.vm] = now_s()
        for callback in self.on_peer_message:
            callback(link.vm, message)

    def _count(
        self, direction: str, message: FleetMessage, messages: int, size: int
    ) -> None:
        key = (direction, type(message))
        counters = self._counters_by_kind.get(key)
        if counters is None:
            kind = type(message).__struct_config__.tag
            counters = self._counters_by_kind[key] = (
                self._metrics.fleet_messages.labels(direction, kind),
                self._metrics.fleet_bytes.labels(direction, kind),
            )
        counters[0].inc(messages)
        counters[1].inc(messages * size)

    def on_lost(self, link: PeerLink) -> None:
        """Remove a connection that was lost."""
        if self._link_by_vm.get(link.vm) is link:
            del self._link_by_vm[link.vm]
            log_decision("peer_lost", peer=link.vm)
            self._notify_lost(link.vm)

    def _notify_lost(self, vm: str) -> None:
        for callback in self.on_peer_lost:
            callback(vm)

    def _start_connecting(self, member: MemberRow) -> None:
        if member.vm in self._connecting:
            return
        self._connecting.add(member.vm)
        self.kernel.tasks.start("peer_connect", self._connect(member))

    async def _connect(self, member: MemberRow) -> None:
        endpoint = TCP4ClientEndpoint(
            self._reactor, member.host, member.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            await connectProtocol(endpoint, PeerLink(self, member.vm))
        except Exception as error:
            log_decision("peer_unreachable", peer=member.vm, detail=str(error))
        self._reactor.callLater(RECONNECT_DELAY_S, self._allow_reconnect, member.vm)

    def _allow_reconnect(self, vm: str) -> None:
        self._connecting.discard(vm)
        if not self._is_stopped:
            self.connect_missing_peers()
