"""Driver for targets that use the line protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import (
    ConnectError,
    ConnectionRefusedError,
    DNSLookupError,
)

from guavabarrow_daemon.targets.interface import (
    TargetConnectionBroken,
    TargetDriver,
    TargetUnreachable,
)
from guavabarrow_daemon.targets.session_connection import SessionConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.session_messages import OpenSession
    from guavabarrow_daemon.session_codec import TargetCodec

CONNECT_TIMEOUT_S = 0.35
"""A few one-way network delays; a lost SYN packet is retransmitted only after 1 s."""


class SessionDriver(TargetDriver[SessionConnection]):
    """Driver for targets whose connections are sessions of one team.

    Parameters
    ----------
    create_codec : callable
        Creates the codec of a connection.
    reactor : object
        Reactor that owns the sockets.
    open_timeout_s : float
        Time within which a connected target must accept the session, in s.
    """

    def __init__(
        self,
        create_codec: Callable[[], TargetCodec],
        reactor: Any,
        *,
        open_timeout_s: float,
    ) -> None:
        self._create_codec = create_codec
        self._reactor = reactor
        self._opening_limit_s = open_timeout_s

    async def connect(
        self, host: str, port: int, open_message: OpenSession | None = None
    ) -> SessionConnection:
        """Open a session.

        Raises
        ------
        ValueError
            If ``open_message`` is missing.
        TargetRefused
            If the target refuses the session.
        TargetConnectionBroken
            If the target was reached but did not accept the session in time.
        TargetUnreachable
            If no connection to the target could be opened.
        """
        if open_message is None:
            raise ValueError("open_message is required to open a session")
        connection = SessionConnection(self._create_codec(), open_message)
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            await connectProtocol(endpoint, connection)
        except ConnectionRefusedError as error:
            raise TargetUnreachable("connection refused", is_refused=True) from error
        except (ConnectError, DNSLookupError, OverflowError) as error:
            raise TargetUnreachable(f"{type(error).__name__}: {error}") from error
        connection.opened.addTimeout(self._opening_limit_s, self._reactor)
        try:
            return await connection.opened
        except (TimeoutError, CancelledError) as error:
            raise TargetConnectionBroken(
                "The target did not accept the session in time."
            ) from error
