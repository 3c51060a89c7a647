"""Driver for databases that use HTTP/1.1 and JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from twisted.internet.defer import CancelledError

from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.http.client_connection import (
    ConnectionBroken,
    HttpClientConnection,
    open_connection,
)
from guavabarrow_daemon.targets.http_messages import (
    Begin,
    Commit,
    Connect,
    Execute,
    Fence,
    FenceAnswer,
    Promote,
    Resolve,
    Resolved,
    Result,
    Status,
    TargetProblem,
    Watch,
)
from guavabarrow_daemon.targets.interface import (
    SqlConnection,
    SqlDriver,
    TargetConnectionBroken,
    TargetControl,
    TargetRefused,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_core.session_messages import OpenSession

CONNECT_TIMEOUT_S = 1.0

Answer = TypeVar("Answer")

PROBLEM_DECODER = msgspec.json.Decoder(TargetProblem)


class Empty(msgspec.Struct, frozen=True):
    """Request or answer without content."""


class Accepted(msgspec.Struct, frozen=True):
    """Answer to a promotion request."""

    accepted: bool


class HttpTargetConnection(SqlConnection):
    """Client connection to a database over one TCP connection."""

    def __init__(self, connection: HttpClientConnection, reactor: Any) -> None:
        self._connection = connection
        self._reactor = reactor

    @property
    def is_open(self) -> bool:
        """Whether the connection can take a request."""
        return self._connection.is_open

    def set_on_lost(self, callback: Callable[[], None]) -> None:
        """Set the callback for the loss of the connection."""
        self._connection.on_lost = callback

    async def execute(self, message: Execute, *, timeout_s: float) -> Result:
        """Run a statement."""
        return await self._send("/execute", message, Result, timeout_s)

    async def begin(self, term: int, *, timeout_s: float) -> None:
        """Open a transaction."""
        await self._send("/begin", Begin(term), Empty, timeout_s)

    async def commit(self, message: Commit, *, timeout_s: float) -> Result:
        """Commit the open transaction."""
        return await self._send("/commit", message, Result, timeout_s)

    async def reset(self, *, timeout_s: float) -> None:
        """Roll back and clear the state of the connection."""
        await self._send("/reset", Empty(), Empty, timeout_s)

    async def resolve(self, message: Resolve, *, timeout_s: float) -> Resolved:
        """Look up the outcome of a request, or rule it out."""
        return await self._send("/resolve", message, Resolved, timeout_s)

    async def connect(self, credential: str) -> None:
        """Authenticate this VM to the database."""
        await self._send("/connect", Connect(credential), Empty, CONNECT_TIMEOUT_S)

    def abort(self) -> None:
        """Close at once."""
        self._connection.abort()

    async def _send(
        self, path: str, message: object, answer_type: type[Answer], timeout_s: float
    ) -> Answer:
        return await send_request(
            self._connection, path, message, answer_type, timeout_s, self._reactor
        )


class HttpTargetControl(TargetControl):
    """Control client with separate connections for watches, probes and commands."""

    def __init__(self, host: str, port: int, reactor: Any) -> None:
        self._address = (host, port)
        self._reactor = reactor
        self._connection_by_use: dict[str, HttpClientConnection] = {}

    async def watch(self, message: Watch, *, timeout_s: float) -> Status:
        """Return the status once it changes or the hold time ends."""
        return await self._send("watch", "/status", message, Status, timeout_s)

    async def status(self, *, timeout_s: float) -> Status:
        """Return the status at once."""
        return await self._send("probe", "/status", Watch(), Status, timeout_s)

    async def fence(self, term: int, owner: str, *, timeout_s: float) -> FenceAnswer:
        """Request a promise of ``term`` to ``owner``."""
        message = Fence(term, owner)
        return await self._send("command", "/fence", message, FenceAnswer, timeout_s)

    async def promote(self, term: int, owner: str, *, timeout_s: float) -> bool:
        """Request that the database becomes primary; return whether it accepted."""
        message = Promote(term, owner)
        answer = await self._send("command", "/promote", message, Accepted, timeout_s)
        return answer.accepted

    def close(self) -> None:
        """Close the control connections."""
        for connection in self._connection_by_use.values():
            connection.abort()
        self._connection_by_use.clear()

    async def _send(
        self,
        use: str,
        path: str,
        message: object,
        answer_type: type[Answer],
        timeout_s: float,
    ) -> Answer:
        connection = self._connection_by_use.get(use)
        if connection is None or not connection.is_open:
            host, port = self._address
            try:
                connection = await open_connection(
                    self._reactor, host, port, timeout_s=timeout_s
                )
            except ConnectionBroken as error:
                raise TargetConnectionBroken(str(error)) from error
            self._connection_by_use[use] = connection
        return await send_request(
            connection, path, message, answer_type, timeout_s, self._reactor
        )


class HttpTargetDriver(SqlDriver):
    """Driver for databases that use HTTP/1.1 and JSON.

    Parameters
    ----------
    reactor : object
        Reactor that owns the sockets.
    credential : str
        Credential of this VM; the keys of callers are never sent.
    """

    def __init__(self, reactor: Any, *, credential: str) -> None:
        self._reactor = reactor
        self._credential = credential

    async def connect(
        self, host: str, port: int, open_message: OpenSession | None = None
    ) -> HttpTargetConnection:
        """Open a client connection, which all teams share."""
        try:
            raw = await open_connection(
                self._reactor, host, port, timeout_s=CONNECT_TIMEOUT_S
            )
        except ConnectionBroken as error:
            raise TargetConnectionBroken(str(error)) from error
        connection = HttpTargetConnection(raw, self._reactor)
        try:
            await connection.connect(self._credential)
        except TargetRefused:
            connection.abort()
            raise
        return connection

    def control(self, host: str, port: int) -> HttpTargetControl:
        """Return a control client."""
        return HttpTargetControl(host, port, self._reactor)


async def send_request(
    connection: HttpClientConnection,
    path: str,
    message: object,
    answer_type: type[Answer],
    timeout_s: float,
    reactor: Any,
) -> Answer:
    """Send one request and decode the answer.

    Raises
    ------
    TargetRefused
        If the database refused the request, which had no effect.
    TargetConnectionBroken
        If there was no valid answer. The connection is aborted, so that a late answer
        cannot be mistaken for the answer to another request.
    """
    pending = connection.request("POST", path, msgspec.json.encode(message))
    timer = reactor.callLater(max(0.0, timeout_s), pending.cancel)
    try:
        response = await pending
    except (ConnectionBroken, CancelledError) as error:
        raise TargetConnectionBroken(f"{path}: {error or 'timed out'}") from error
    finally:
        if timer.active():
            timer.cancel()
    try:
        if response.status == 200:
            return decode_value(msgspec.json.Decoder(answer_type), response.body)
        problem = decode_value(PROBLEM_DECODER, response.body)
    except UndecodableValue as error:
        connection.abort()
        raise TargetConnectionBroken(f"{path}: malformed answer: {error}") from error
    raise TargetRefused(problem.code, problem.detail)
