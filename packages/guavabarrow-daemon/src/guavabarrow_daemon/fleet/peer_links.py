"""Links to other VMs: one dialled connection to each, used in both directions.

The VM whose name sorts first dials. Silence ends a link, and a fresh one is tried, so
that a connection that went silent for good is not taken for a dead VM.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory
from twisted.internet.protocol import connectionDone as CONNECTION_DONE
from twisted.protocols.basic import Int32StringReceiver

from guavabarrow_daemon.fleet.fleet_messages import (
    DECODER,
    ENCODER,
    FleetMessage,
    Hello,
)
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.targets.session_connection import set_socket_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from guavabarrow_core.fleet_state import MemberRow
    from guavabarrow_daemon.session_settings import SessionVmSettings

DIAL_TIMEOUT_S = 0.5
REDIAL_S = 0.4
"""Pause between attempts to reach a VM."""

SILENCE_LIMIT_MS = 1500
CONTACT_S = 1.8
"""A VM is in contact if it was heard within two pulses and a margin."""

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class PeerLink(Int32StringReceiver):
    """One connection between two VMs."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def __init__(self, links: PeerLinks, expected_vm: str = "") -> None:
        self._links = links
        self.vm = expected_vm
        self.incarnation = ""
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Say who speaks."""
        self.is_open = True
        set_socket_limits(self.transport, SILENCE_LIMIT_MS)
        self.send(self._links.hello)

    def send(self, message: FleetMessage) -> None:
        """Send a message."""
        self.send_encoded(ENCODER.encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Send a message that was encoded before."""
        if self.is_open:
            self.sendString(data)

    def stringReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a message."""
        try:
            message = DECODER.decode(data)
        except msgspec.MsgspecError as error:
            log_decision("peer_message_unreadable", peer=self.vm, detail=str(error))
            self.transport.abortConnection()
            return
        if isinstance(message, Hello):
            self.vm = message.vm
            self.incarnation = message.incarnation
            self._links.on_hello(self)
            return
        if self.incarnation:
            self._links.on_message(self, message)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Forget the link."""
        self.is_open = False
        self._links.on_lost(self)

    def abort(self) -> None:
        """Close at once."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()


class PeerLinks(Service):
    """Links to those VMs that this one should be linked to.

    Attributes
    ----------
    on_peer_message : list of callable
        Called with the name of the VM and the message.
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
        self._settings = settings
        self._reactor = reactor
        self._link_by_vm: dict[str, PeerLink] = {}
        self._heard_at: dict[str, float] = {}
        self._incarnation_by_vm: dict[str, str] = {}
        self._wanted: dict[str, MemberRow] = {}
        self._dialling: set[str] = set()
        self._port: Any = None
        self._is_stopped = False
        self.port = settings.peer_port

    async def start(self) -> None:
        """Listen for other VMs."""
        factory = Factory.forProtocol(lambda: PeerLink(self))
        self._port = self._reactor.listenTCP(
            self._settings.peer_port, factory, interface=self._settings.host
        )
        self.port = self._port.getHost().port

    async def stop(self) -> None:
        """Close all links."""
        self._is_stopped = True
        if self._port is not None:
            self._port.stopListening()
        for link in list(self._link_by_vm.values()):
            link.abort()

    def set_peers(self, members: dict[str, MemberRow]) -> None:
        """Take the VMs to be linked to, and dial those whose link is missing."""
        self._wanted = members
        for vm in list(self._link_by_vm):
            if vm not in members:
                self._link_by_vm.pop(vm).abort()
        self.dial_missing()

    def is_peer(self, vm: str) -> bool:
        """Tell whether this VM should be linked to another one."""
        return vm in self._wanted

    def dial_missing(self) -> None:
        """Dial VMs whose link is missing, and drop links that fell silent."""
        now = now_s()
        for vm, link in list(self._link_by_vm.items()):
            if now - self._heard_at.get(vm, now) > CONTACT_S:
                link.abort()
        for vm, member in self._wanted.items():
            if self.hello.vm < vm and vm not in self._link_by_vm:
                self._dial(member)

    def live_peers(self) -> frozenset[str]:
        """Return the VMs that were heard lately."""
        horizon = now_s() - CONTACT_S
        return frozenset(
            vm
            for vm, link in self._link_by_vm.items()
            if link.is_open and self._heard_at.get(vm, horizon) > horizon
        )

    def incarnation_of(self, vm: str) -> str:
        """Return the last seen lifetime of a VM, empty if it was never linked."""
        return self._incarnation_by_vm.get(vm, "")

    def is_linked(self, vm: str) -> bool:
        """Tell whether a link to a VM is open."""
        link = self._link_by_vm.get(vm)
        return link is not None and link.is_open

    def send(self, vm: str, message: FleetMessage) -> None:
        """Send a message to one VM, if it is linked."""
        link = self._link_by_vm.get(vm)
        if link is not None:
            link.send(message)

    def broadcast(self, message: FleetMessage) -> None:
        """Send a message to all linked VMs."""
        data = ENCODER.encode(message)
        for link in list(self._link_by_vm.values()):
            link.send_encoded(data)

    def broadcast_by_domain(
        self, domain: str, *, inside: FleetMessage, outside: FleetMessage
    ) -> None:
        """Send one message to linked VMs of a failure domain, another to the others."""
        data_inside, data_outside = ENCODER.encode(inside), ENCODER.encode(outside)
        for vm, link in list(self._link_by_vm.items()):
            member = self._wanted.get(vm)
            is_inside = member is not None and member.domain == domain
            link.send_encoded(data_inside if is_inside else data_outside)

    def on_hello(self, link: PeerLink) -> None:
        """Handle a VM saying who it is; a newer link replaces the older one."""
        known = self._link_by_vm.get(link.vm)
        self._link_by_vm[link.vm] = link
        self._heard_at[link.vm] = now_s()
        self._incarnation_by_vm[link.vm] = link.incarnation
        if known is not None and known is not link:
            known.abort()
        log_decision("peer_linked", peer=link.vm, incarnation=link.incarnation)
        for callback in self.on_peer_up:
            callback(link.vm)

    def on_message(self, link: PeerLink, message: FleetMessage) -> None:
        """Deliver a message."""
        self._heard_at[link.vm] = now_s()
        for callback in self.on_peer_message:
            callback(link.vm, message)

    def on_lost(self, link: PeerLink) -> None:
        """Handle the end of a link."""
        if self._link_by_vm.get(link.vm) is link:
            del self._link_by_vm[link.vm]
            log_decision("peer_lost", peer=link.vm)

    def _dial(self, member: MemberRow) -> None:
        if member.vm in self._dialling:
            return
        self._dialling.add(member.vm)
        Deferred.fromCoroutine(self._connect(member))

    async def _connect(self, member: MemberRow) -> None:
        endpoint = TCP4ClientEndpoint(
            self._reactor, member.host, member.port, timeout=DIAL_TIMEOUT_S
        )
        try:
            await connectProtocol(endpoint, PeerLink(self, member.vm))
        except Exception as error:
            log_decision("peer_unreachable", peer=member.vm, detail=str(error))
        self._reactor.callLater(REDIAL_S, self._end_pause, member.vm)

    def _end_pause(self, vm: str) -> None:
        self._dialling.discard(vm)
        if not self._is_stopped:
            self.dial_missing()
