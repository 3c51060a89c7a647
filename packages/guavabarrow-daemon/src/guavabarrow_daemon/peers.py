"""Sends messages between VMs over ``pynng`` push and pull sockets.

Delivery is at most once: a message to a peer that cannot be reached is dropped and
counted. Each message carries a keyed hash and a sequence number.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import msgspec
import pynng
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.peer_messages import (
    SERVICE_BY_MESSAGE,
    Envelope,
    PeerMessage,
)

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from guavabarrow_daemon.settings import Settings

MAC_BYTES = 16
SEND_BUFFER_MESSAGES = 32
RECEIVE_BUFFER_MESSAGES = 512
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
MAX_MESSAGES_PER_WAKEUP = 256
MAX_OPEN_SOCKETS = 512


@implementer(IReadDescriptor)
class SocketReader:
    """Adapts the receive descriptor of a ``pynng`` socket for the reactor."""

    def __init__(self, socket: Any, on_readable: Any) -> None:
        self._descriptor = socket.recv_fd
        self._on_readable = on_readable

    def fileno(self) -> int:
        """Return the descriptor, which the socket owns."""
        return self._descriptor

    def doRead(self) -> None:  # noqa: N802
        """Call ``on_readable`` because messages have arrived."""
        self._on_readable()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Do nothing: the owner closes the socket."""

    def logPrefix(self) -> str:  # noqa: N802
        """Return the prefix of log lines."""
        return "peers"


class Peers(Service):
    """Sends and receives messages between VMs.

    Parameters
    ----------
    kernel : Kernel
        Delivers received messages to the services.
    settings : Settings
        Own name and address, and the peer secret.
    reactor : object
        Reactor that watches the socket.
    incarnation : int
        Identifies this run of the process; higher for each later start.
    """

    name = "peers"

    def __init__(
        self, kernel: Kernel, settings: Settings, reactor: Any, *, incarnation: int
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._incarnation = incarnation
        self._secret = settings.secrets.peer.get_secret_value().encode()
        self._metrics = kernel.find(Metrics)
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self._encoder = msgspec.msgpack.Encoder()
        self._sequence = 0
        self._last_sequence_by_sender: dict[str, tuple[int, int]] = {}
        self._socket_by_address: dict[str, Any] = {}
        self._listener: Any = None
        self._reader: SocketReader | None = None
        self.address = str(settings.peers)

    async def start(self) -> None:
        """Open the listening socket."""
        self._listener = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._listener.listen(f"tcp://{self._settings.peers}")
        if self._settings.peers.port == 0:
            self.address = str(self._listener.listeners[0].local_address)
        self._reader = SocketReader(self._listener, self._receive_all)
        self._reactor.addReader(self._reader)

    async def stop(self) -> None:
        """Close all sockets."""
        if self._reader is not None:
            self._reactor.removeReader(self._reader)
        if self._listener is not None:
            self._listener.close()
        for socket in self._socket_by_address.values():
            socket.close()
        self._socket_by_address.clear()

    def send(self, address: str, message: PeerMessage) -> bool:
        """Send a message to the VM that listens on ``address``.

        Parameters
        ----------
        address : str
            Announced ``ip:port``.
        message : PeerMessage
            Message to send.

        Returns
        -------
        bool
            False if it was dropped at once; True does not imply delivery.
        """
        self._sequence += 1
        envelope = Envelope(
            self._settings.vm, self.address, self._incarnation, self._sequence, message
        )
        body = self._encoder.encode(envelope)
        data = self._compute_mac(body) + body
        kind = type(message).__name__
        try:
            self._get_socket(address).send(data, block=False)
        except pynng.NNGException:
            self._metrics.peer_messages.labels("dropped", kind).inc()
            return False
        self._metrics.peer_messages.labels("sent", kind).inc()
        self._metrics.peer_bytes.labels("sent").inc(len(data))
        return True

    def _get_socket(self, address: str) -> Any:
        socket = self._socket_by_address.pop(address, None)
        if socket is None:
            socket = self._open_socket(address)
        self._socket_by_address[address] = socket
        if len(self._socket_by_address) > MAX_OPEN_SOCKETS:
            oldest = next(iter(self._socket_by_address))
            self._socket_by_address.pop(oldest).close()
        return socket

    def _open_socket(self, address: str) -> Any:
        host, _, port = address.rpartition(":")
        connect_host, connect_port = self._settings.resolve_address(host, int(port))
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f"tcp://{connect_host}:{connect_port}", block=False)
        return socket

    def _receive_all(self) -> None:
        for _ in range(MAX_MESSAGES_PER_WAKEUP):
            try:
                data = self._listener.recv(block=False)
            except pynng.NNGException:
                return
            self._receive_message(data)

    def _receive_message(self, data: bytes) -> None:
        body = data[MAC_BYTES:]
        if not hmac.compare_digest(data[:MAC_BYTES], self._compute_mac(body)):
            self._metrics.peer_messages.labels("forged", "unknown").inc()
            return
        try:
            envelope = decode_value(self._decoder, body)
        except UndecodableValue:
            self._metrics.peer_messages.labels("malformed", "unknown").inc()
            return
        number = (envelope.incarnation, envelope.sequence)
        if number <= self._last_sequence_by_sender.get(envelope.sender, (0, 0)):
            self._metrics.peer_messages.labels("repeated", "unknown").inc()
            return
        self._last_sequence_by_sender[envelope.sender] = number
        kind = type(envelope.message)
        self._metrics.peer_messages.labels("received", kind.__name__).inc()
        self._metrics.peer_bytes.labels("received").inc(len(data))
        self.kernel.deliver(
            SERVICE_BY_MESSAGE[kind], envelope.reply_to, envelope.message
        )

    def _compute_mac(self, body: bytes) -> bytes:
        return blake2b(body, key=self._secret, digest_size=MAC_BYTES).digest()
