"""Calls to a store over HTTP/1.1, independent of the message format."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError

from guavabarrow_daemon.http.client_connection import ConnectionBroken
from guavabarrow_daemon.http.connection_pool import HttpConnectionPool
from guavabarrow_daemon.store.exceptions import StoreUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.http.client_connection import HttpResponse

MAX_CALL_S = 10.0
"""Total timeout of a call, for a response of 6 MB at 5 Mbit/s."""

REJECTED_STATUSES = (429, 503)
"""Status codes of calls that the server rejected without executing them."""


class HttpStoreCaller:
    """Makes calls over pooled connections.

    Parameters
    ----------
    host, port : str, int
        Address of the store.
    reactor : object
        Reactor that owns the sockets.
    connect_timeout_s : float
        Time after which an attempt to connect fails, in s.
    call_timeout_s : float
        Time without received data after which a call fails, in s. Received data
        restarts it, so that a large response can arrive over a slow link.
    max_idle : int
        Maximum number of idle connections to keep.
    on_call : callable
        Called with the name and the result of each call, for metrics.
    headers : dict of str to str, optional
        Headers of every request.
    """

    def __init__(
        self,
        host: str,
        port: int,
        reactor: Any,
        *,
        connect_timeout_s: float,
        call_timeout_s: float,
        max_idle: int,
        on_call: Callable[[str, str], None],
        headers: dict[str, str] | None = None,
    ) -> None:
        self._connections = HttpConnectionPool(
            host,
            port,
            reactor,
            connect_timeout_s=connect_timeout_s,
            max_idle=max_idle,
        )
        self._call_timeout_s = call_timeout_s
        self._reactor = reactor
        self._on_call = on_call
        self._headers = headers or {}

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        name: str,
        wait_s: float = 0.0,
    ) -> HttpResponse:
        """Make one call.

        Parameters
        ----------
        method, path, body : str, str, bytes
            The request.
        name : str
            Name of the call in metrics.
        wait_s : float
            Time for which the store may delay its response, in s.

        Raises
        ------
        StoreUnavailable
            If no response arrived, or the server rejected the call.
        """
        try:
            connection = await self._connections.acquire()
        except ConnectionBroken as error:
            self._on_call(name, "unreachable")
            raise StoreUnavailable(str(error), is_not_applied=True) from error
        pending = connection.request(method, path, body, self._headers)
        idle_timer = self._reactor.callLater(
            self._call_timeout_s + wait_s, pending.cancel
        )
        call_timer = self._reactor.callLater(MAX_CALL_S + wait_s, pending.cancel)
        connection.on_progress = partial(self._restart_idle_timer, idle_timer)
        try:
            response = await pending
        except (ConnectionBroken, CancelledError) as error:
            self._on_call(name, "unanswered")
            connection.abort()
            raise StoreUnavailable(
                f"No response from the store: {error}", is_not_applied=False
            ) from error
        finally:
            connection.on_progress = None
            for timer in (idle_timer, call_timer):
                if timer.active():
                    timer.cancel()
        self._connections.release(connection)
        self._on_call(name, str(response.status))
        if response.status in REJECTED_STATUSES:
            raise StoreUnavailable(
                f"The store rejected the call: status {response.status}.",
                is_not_applied=True,
            )
        return response

    def _restart_idle_timer(self, idle_timer: Any) -> None:
        if idle_timer.active():
            idle_timer.reset(self._call_timeout_s)

    def close(self) -> None:
        """Abort idle connections."""
        self._connections.close()
