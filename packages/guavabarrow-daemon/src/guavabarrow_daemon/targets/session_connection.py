"""One connection to a target; replies are matched to statements by their order."""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone as CONNECTION_DONE

from guavabarrow_core.session_messages import (
    Completed,
    MalformedMessage,
    OpenSession,
    Reply,
    Row,
    SessionReady,
    StatementFailed,
    TransactionState,
)
from guavabarrow_core.session_values import ConnectionValues
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.targets.interface import (
    TargetConnection,
    TargetConnectionBroken,
    TargetRefused,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from guavabarrow_daemon.session_codec import TargetCodec

UNACKED_TIMEOUT_MS = 700
"""A connection is closed when sent bytes stay unacknowledged for this long. Two packets
lost in a row are retransmitted sooner, and a statement still has time to be sent to
another target."""


@dataclass(slots=True)
class PendingReply:
    """A statement that awaits its reply.

    Parameters
    ----------
    result : Deferred or None
        Fires with the reply; None for a setup statement, whose reply is only checked
        for failure.
    sent_at : float
        Local time at which it was sent, in s.
    """

    result: Deferred[Reply] | None
    sent_at: float


class SessionConnection(TargetConnection, Protocol):
    """Client side of one session with a target.

    Parameters
    ----------
    codec : TargetCodec
        Encodes and decodes messages.
    open_message : OpenSession
        Service, team and expected target.

    Attributes
    ----------
    opened : Deferred
        Fires with the connection once the target has accepted the session.
    values : ConnectionValues
        Session values and prepared statements left by earlier sessions.
    """

    def __init__(self, codec: TargetCodec, open_message: OpenSession) -> None:
        self._codec = codec
        self.open_message = open_message
        self.team = open_message.principal
        self.opened: Deferred[SessionConnection] = Deferred(lambda _: self.abort())
        self.values = ConnectionValues()
        self.state = TransactionState.IDLE
        self.idle_since = 0.0
        self._is_open = False
        self._on_lost: Callable[[], None] | None = None
        self._pending: deque[PendingReply] = deque()
        self._rows: list[str] = []
        self._outcome: Completed | StatementFailed | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send the message that opens the session."""
        self._is_open = True
        configure_socket(self.transport, UNACKED_TIMEOUT_MS)
        self.transport.write(self._codec.encode_open(self.open_message))

    def send(self, data: bytes, setup_count: int, now: float) -> Deferred[Reply]:
        """Send setup statements and the main statement in one write.

        Parameters
        ----------
        data : bytes
            All statements, encoded.
        setup_count : int
            Number of setup statements before the main statement.
        now : float
            Local time, in s.

        Returns
        -------
        Deferred of Reply
            Reply to the main statement. Fails with :class:`TargetConnectionBroken`;
            cancelling it aborts the connection.
        """
        result: Deferred[Reply] = Deferred(lambda _: self.abort())
        if not self._is_open:
            result.errback(TargetConnectionBroken("The connection is closed."))
            return result
        for _ in range(setup_count):
            self._pending.append(PendingReply(None, now))
        self._pending.append(PendingReply(result, now))
        self.transport.write(data)
        return result

    @property
    def is_open(self) -> bool:
        """Whether statements can be sent."""
        return self._is_open

    def set_on_lost(self, callback: Callable[[], None]) -> None:
        """Set the callback for the loss of the connection."""
        self._on_lost = callback

    @property
    def has_pending(self) -> bool:
        """Whether replies are outstanding."""
        return bool(self._pending)

    def abort(self) -> None:
        """Close at once; the target rolls back an open transaction."""
        if self._is_open:
            self._is_open = False
            self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle session in an orderly way."""
        if self._is_open:
            self._is_open = False
            self.transport.write(self._codec.encode_close())
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process messages from the target."""
        for message in self._codec.feed(data):
            if not self._is_open:
                return
            match message:
                case Row(content):
                    self._rows.append(content)
                case Completed() | StatementFailed():
                    self._outcome = message
                    if isinstance(message, StatementFailed) and not self.opened.called:
                        self._is_open = False
                        self.opened.errback(TargetRefused(message.code.value))
                        self.transport.loseConnection()
                case SessionReady():
                    self._on_ready(message)
                case MalformedMessage():
                    self.abort()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Fail all outstanding statements."""
        self._is_open = False
        if not self.opened.called:
            self.opened.errback(TargetConnectionBroken("The session was not opened."))
        pending, self._pending = self._pending, deque()
        for reply in pending:
            if reply.result is not None and not reply.result.called:
                reply.result.errback(TargetConnectionBroken("The connection was lost."))
        if self._on_lost is not None:
            self._on_lost()

    def _on_ready(self, ready: SessionReady) -> None:
        if not self.opened.called:
            self.opened.callback(self)
            return
        if not self._pending or self._outcome is None:
            self.abort()
            return
        pending = self._pending.popleft()
        reply = Reply(tuple(self._rows), self._outcome, ready)
        self._rows, self._outcome = [], None
        self.state = ready.state
        if pending.result is None:
            if reply.failure is not None:
                self.abort()
            return
        if not pending.result.called:
            pending.result.callback(reply)


def configure_socket(transport: Any, unacked_timeout_ms: int) -> None:
    """Disable Nagle's algorithm and set the timeouts for a dead peer.

    Parameters
    ----------
    transport : ITCPTransport
        Connected socket.
    unacked_timeout_ms : int
        Time after which unacknowledged bytes close the connection, in ms.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_timeout_ms)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def idle_s(connection: SessionConnection) -> float:
    """Return how long a connection has been idle, in s."""
    return now_s() - connection.idle_since
