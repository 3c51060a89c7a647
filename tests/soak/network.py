"""Loopback relays whose paths can be delayed, silenced one way, reset or cut."""

from __future__ import annotations

import re
import threading
import time
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import reactor as global_reactor
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.threads import blockingCallFromThread

reactor: Any = global_reactor
VM_NAME_PATTERN = re.compile(rb"vm-[0-9]+")
LENGTH_BYTES = 4
_reactor_lock = threading.Lock()


@dataclass(eq=False)
class Path:
    """Faults in one direction between two ends, and the streams that pass there."""

    delay_s: float = 0.0
    bytes_per_s: float = float("inf")
    is_silent: bool = False
    is_cut: bool = False
    streams: set[Stream] = field(default_factory=set)


class Stream:
    """Data on the way to one connection; it is held back while its path is silent."""

    def __init__(self, path: Path, receiver: RelayConnection) -> None:
        self.path = path
        self.receiver = receiver
        self._queue: deque[tuple[float, bytes | None]] = deque()
        self._due = 0.0
        path.streams.add(self)

    def put(self, data: bytes | None) -> None:
        """Forward data, or the end of the stream, after the path's delay."""
        now = time.monotonic()
        size = len(data) if data else 0
        due = now + self.path.delay_s + size / self.path.bytes_per_s
        self._due = max(self._due, due)
        self._queue.append((self._due, data))
        self.pump()

    def pump(self) -> None:
        """Forward what is due."""
        while self._queue and not self.path.is_silent:
            due, data = self._queue[0]
            remaining = due - time.monotonic()
            if remaining > 0:
                reactor.callLater(remaining, self.pump)
                return
            self._queue.popleft()
            if data is not None:
                self.receiver.transport.write(data)
            else:
                self.receiver.transport.loseConnection()
                self.path.streams.discard(self)


class RelayConnection(Protocol):
    """One of the two connections of a relayed stream."""

    def __init__(self, relay: Relay, opposite: RelayConnection | None = None) -> None:
        self._relay = relay
        self._is_inbound = opposite is None
        self._opposite = opposite
        self._unsent = b""
        self._is_closed = False
        self.outgoing: Stream | None = None

    def connectionMade(self) -> None:
        """Connect to the target, or join the two connections."""
        self.transport.setTcpNoDelay(True)
        if self._is_inbound:
            host, port = self._relay.target
            endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=2)
            self._opposite = RelayConnection(self._relay, self)
            connected = connectProtocol(endpoint, self._opposite)
            connected.addErrback(lambda _: self.transport.abortConnection())
        elif self._opposite._is_closed:
            self.transport.loseConnection()
        else:
            self._opposite.try_join()

    def try_join(self) -> None:
        """Start to relay once the source is known and the target is connected."""
        opposite = self._opposite
        if self.outgoing or opposite is None or not opposite.connected:
            return
        source = self._relay.source
        if not source:
            found = VM_NAME_PATTERN.search(self._unsent)
            if found is None:
                return
            source = found[0].decode()
        network, target = self._relay.network, self._relay.name
        if network.path(source, target).is_cut:
            self.transport.abortConnection()
            return
        self.outgoing = Stream(network.path(source, target), opposite)
        opposite.outgoing = Stream(network.path(target, source), self)
        self.dataReceived(b"")
        opposite.dataReceived(b"")

    def dataReceived(self, data: bytes) -> None:
        """Forward data; in streams between VMs whole messages, with their addresses."""
        self._unsent += data
        if self.outgoing is None:
            if self._is_inbound:
                self.try_join()
            return
        size = len(self._unsent)
        if self._relay.translation:
            size = 0
            while (end := size + LENGTH_BYTES) <= len(self._unsent):
                end += int.from_bytes(self._unsent[size:end], "big")
                if end > len(self._unsent):
                    break
                size = end
        data, self._unsent = self._unsent[:size], self._unsent[size:]
        if self._relay.translation:
            data = data.replace(*self._relay.translation)
        if data:
            self.outgoing.put(data)

    def connectionLost(self, reason: object = None) -> None:
        """Close the opposite connection, after what is on the way."""
        self._is_closed = True
        if self.outgoing is not None:
            self.outgoing.put(None)
        elif self._opposite is not None and self._opposite.transport is not None:
            self._opposite.transport.loseConnection()


class Relay(Factory):
    """Relay in front of one address.

    Parameters
    ----------
    network : Network
        Paths with their faults.
    source : str
        Name of the end that connects; empty if it names itself in its first message.
    name : str
        Name of the end that is connected to.
    target : (str, int)
        Address of that end.
    translation : (bytes, bytes) or None
        Prefix of addresses to replace in messages, and its replacement.
    """

    def __init__(
        self,
        network: Network,
        source: str,
        name: str,
        target: tuple[str, int],
        translation: tuple[bytes, bytes] | None = None,
    ) -> None:
        self.network = network
        self.source = source
        self.name = name
        self.target = target
        self.translation = translation

    def buildProtocol(self, addr: object) -> RelayConnection | None:
        """Accept a connection unless its path is known and cut."""
        if self.source and self.network.path(self.source, self.name).is_cut:
            return None
        return RelayConnection(self)


class Network:
    """All relays of a deployment, which run in the thread of the reactor."""

    def __init__(self) -> None:
        self._path_by_ends: defaultdict[tuple[str, str], Path] = defaultdict(Path)
        self._ports: list[Any] = []
        with _reactor_lock:
            if not reactor.running:
                started = threading.Event()
                reactor.callWhenRunning(started.set)
                threading.Thread(target=reactor.run, args=(False,), daemon=True).start()
                started.wait()

    def path(self, source: str, destination: str) -> Path:
        """Return the path from one end to another."""
        return self._path_by_ends[source, destination]

    def listen(self, relay: Relay, host: str, port: int) -> str:
        """Start a relay and return its address."""
        listening = blockingCallFromThread(
            reactor, reactor.listenTCP, port, relay, 200, host
        )
        self._ports.append(listening)
        return f"{host}:{listening.getHost().port}"

    def set_faults(self, source: str, destination: str, **faults: Any) -> None:
        """Replace the faults of one direction; without any it works as usual."""
        blockingCallFromThread(reactor, self._set, source, destination, faults)

    def reset(self, first: str, second: str) -> None:
        """Abort all connections between two ends."""
        blockingCallFromThread(reactor, self._reset, first, second)

    def close(self) -> None:
        """Stop all relays and abort their connections."""
        for port in self._ports:
            blockingCallFromThread(reactor, port.stopListening)
        for ends in list(self._path_by_ends):
            self.reset(*ends)

    def _set(self, source: str, destination: str, faults: dict[str, Any]) -> None:
        path = self.path(source, destination)
        for name, value in {**vars(Path()), **faults}.items():
            if name != "streams":
                setattr(path, name, value)
        for stream in list(path.streams):
            stream.pump()
        if path.is_cut:
            self._reset(source, destination)

    def _reset(self, first: str, second: str) -> None:
        for path in (self.path(first, second), self.path(second, first)):
            for stream in list(path.streams):
                stream.receiver.transport.abortConnection()
            path.streams.clear()
