"""One connection to a target: statements in order, answers matched to them."""

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
    TargetBroken,
    TargetConnection,
    TargetRefused,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from guavabarrow_daemon.session_codec import TargetCodec

SILENCE_LIMIT_MS = 700
"""Unacknowledged bytes for this long end a connection: two lost packets in a row are
repaired sooner, and a statement still has time to go elsewhere."""


@dataclass(slots=True)
class PendingReply:
    """A statement that was sent.

    Parameters
    ----------
    result : Deferred or None
        Gets the reply; None if only a failure matters.
    sent_at : float
        Local time, in s.
    """

    result: Deferred[Reply] | None
    sent_at: float


class SessionConnection(TargetConnection, Protocol):
    """Client side of one session with a target.

    Parameters
    ----------
    codec : TargetCodec
        Translates messages.
    opening : OpenSession
        Service, team and expected target.

    Attributes
    ----------
    opened : Deferred
        Fires with the connection once the target took the session.
    values : ConnectionValues
        What earlier sessions left on it.
    """

    def __init__(self, codec: TargetCodec, opening: OpenSession) -> None:
        self._codec = codec
        self.opening = opening
        self.team = opening.principal
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
        """Open the session."""
        self._is_open = True
        set_socket_limits(self.transport, SILENCE_LIMIT_MS)
        self.transport.write(self._codec.encode_open(self.opening))

    def send(self, data: bytes, preparations: int, now: float) -> Deferred[Reply]:
        """Send preparing statements and one whose reply matters, in one write.

        Parameters
        ----------
        data : bytes
            All statements.
        preparations : int
            How many of them come before the one whose reply matters.
        now : float
            Local time, in s.

        Returns
        -------
        Deferred of Reply
            Fails with :class:`TargetBroken`; cancelling aborts.
        """
        result: Deferred[Reply] = Deferred(lambda _: self.abort())
        if not self._is_open:
            result.errback(TargetBroken("The connection is closed."))
            return result
        for _ in range(preparations):
            self._pending.append(PendingReply(None, now))
        self._pending.append(PendingReply(result, now))
        self.transport.write(data)
        return result

    @property
    def is_open(self) -> bool:
        """Whether statements can be sent."""
        return self._is_open

    def set_on_lost(self, callback: Callable[[], None]) -> None:
        """Set what is called when the connection is lost."""
        self._on_lost = callback

    @property
    def has_pending(self) -> bool:
        """Whether answers are outstanding."""
        return bool(self._pending)

    def abort(self) -> None:
        """Close at once; the target rolls back what is open."""
        if self._is_open:
            self._is_open = False
            self.transport.abortConnection()

    def close(self) -> None:
        """End an idle session."""
        if self._is_open:
            self._is_open = False
            self.transport.write(self._codec.encode_close())
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take answers."""
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
        """Fail everything that is outstanding."""
        self._is_open = False
        if not self.opened.called:
            self.opened.errback(TargetBroken("The session was not opened."))
        pending, self._pending = self._pending, deque()
        for reply in pending:
            if reply.result is not None and not reply.result.called:
                reply.result.errback(TargetBroken("The connection was lost."))
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


def set_socket_limits(transport: Any, silence_ms: int) -> None:
    """Disable delays, and let silence end the connection.

    Parameters
    ----------
    transport : ITCPTransport
        Connected socket.
    silence_ms : int
        Time after which unacknowledged bytes end the connection.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def idle_s(connection: SessionConnection) -> float:
    """Return for how long a connection has not been used, in s."""
    return now_s() - connection.idle_since
