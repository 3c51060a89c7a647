"""Opens sessions with targets that speak the line protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectError, ConnectionRefusedError

from guavabarrow_daemon.targets.interface import (
    TargetBroken,
    TargetDriver,
    TargetUnreachable,
)
from guavabarrow_daemon.targets.session_connection import SessionConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.session_messages import OpenSession
    from guavabarrow_daemon.session_codec import TargetCodec

CONNECT_TIMEOUT_S = 0.35
"""A few crossings; a lost opening packet is sent again only after a second."""


class SessionDriver(TargetDriver[SessionConnection]):
    """Driver for targets whose connections are sessions of one team.

    Parameters
    ----------
    create_codec : callable
        Creates the codec of a connection.
    reactor : object
        Reactor that owns the sockets.
    opening_limit_s : float
        Time that a reached target has to take the session, in s.
    """

    def __init__(
        self,
        create_codec: Callable[[], TargetCodec],
        reactor: Any,
        *,
        opening_limit_s: float,
    ) -> None:
        self._create_codec = create_codec
        self._reactor = reactor
        self._opening_limit_s = opening_limit_s

    async def connect(
        self, host: str, port: int, opening: OpenSession | None = None
    ) -> SessionConnection:
        """Open a session.

        Raises
        ------
        ValueError
            If it is not said whose session.
        TargetRefused
            If the target does not take it.
        TargetBroken
            If the target was reached and did not take it in time.
        TargetUnreachable
            If it was not reached.
        """
        if opening is None:
            raise ValueError("A session needs a service and a target.")
        connection = SessionConnection(self._create_codec(), opening)
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            await connectProtocol(endpoint, connection)
        except ConnectionRefusedError as error:
            raise TargetUnreachable("refused", is_refused=True) from error
        except ConnectError as error:
            raise TargetUnreachable(f"{type(error).__name__}: {error}") from error
        connection.opened.addTimeout(self._opening_limit_s, self._reactor)
        try:
            return await connection.opened
        except (TimeoutError, CancelledError) as error:
            raise TargetBroken("The target did not take the session.") from error
