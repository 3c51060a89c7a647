"""Calls of a platform's store over HTTP/1.1, whatever its messages are."""

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

LONGEST_CALL_S = 10.0
"""Limit of a call whose answer still arrives; 6 MB over 5 Mbit/s."""

NOTHING_DONE = (429, 503)
"""Answers of a server that turned the call away."""


class HttpStoreCaller:
    """Makes calls on a few kept connections.

    Parameters
    ----------
    host, port : str, int
        Address of the store.
    reactor : object
        Reactor that owns the sockets.
    connect_timeout_s : float
        Limit of an attempt to connect, in s.
    call_timeout_s : float
        Longest silence of the store during a call, in s. A large answer that still
        arrives over a slow link is worth waiting for.
    max_idle : int
        Idle connections that are kept.
    on_call : callable
        Called with the name and the result of each call.
    headers : dict of str to str, optional
        Sent with each call.
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
            Name under which it is counted.
        wait_s : float
            How long the store may wait before it answers, in s.

        Raises
        ------
        StoreUnavailable
            If there was no answer, or one that says that nothing was done.
        """
        try:
            connection = await self._connections.take()
        except ConnectionBroken as error:
            self._on_call(name, "unreachable")
            raise StoreUnavailable(str(error), is_undone=True) from error
        pending = connection.request(method, path, body, self._headers)
        silence = self._reactor.callLater(self._call_timeout_s + wait_s, pending.cancel)
        limit = self._reactor.callLater(LONGEST_CALL_S + wait_s, pending.cancel)
        connection.on_progress = partial(self._extend, silence)
        try:
            response = await pending
        except (ConnectionBroken, CancelledError) as error:
            self._on_call(name, "unanswered")
            connection.abort()
            raise StoreUnavailable(f"No answer: {error}", is_undone=False) from error
        finally:
            connection.on_progress = None
            for timer in (silence, limit):
                if timer.active():
                    timer.cancel()
        self._connections.give_back(connection)
        self._on_call(name, str(response.status))
        if response.status in NOTHING_DONE:
            raise StoreUnavailable(f"Answer {response.status}.", is_undone=True)
        return response

    def _extend(self, silence: Any) -> None:
        if silence.active():
            silence.reset(self._call_timeout_s)

    def close(self) -> None:
        """Close idle connections."""
        self._connections.close()
