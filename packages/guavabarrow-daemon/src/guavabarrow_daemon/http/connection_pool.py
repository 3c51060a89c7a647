"""Pool of HTTP client connections to one address."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavabarrow_daemon.http.client_connection import open_connection

if TYPE_CHECKING:
    from guavabarrow_daemon.http.client_connection import HttpClientConnection


class HttpConnectionPool:
    """Reuses idle connections to one address.

    Parameters
    ----------
    host, port : str, int
        Address of the server.
    reactor : object
        Reactor that owns the sockets.
    connect_timeout_s : float
        Time after which an attempt to connect fails, in s.
    max_idle : int
        Maximum number of idle connections to keep.
    """

    def __init__(
        self,
        host: str,
        port: int,
        reactor: Any,
        *,
        connect_timeout_s: float,
        max_idle: int,
    ) -> None:
        self._address = (host, port)
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: list[HttpClientConnection] = []

    async def acquire(self) -> HttpClientConnection:
        """Return an open connection for exclusive use.

        Raises
        ------
        ConnectionBroken
            If no connection could be opened.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        host, port = self._address
        return await open_connection(
            self._reactor, host, port, timeout_s=self._connect_timeout_s
        )

    def release(self, connection: HttpClientConnection) -> None:
        """Keep a connection whose response is complete, up to the idle limit."""
        if connection.is_open and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.abort()

    def close(self) -> None:
        """Abort all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()
