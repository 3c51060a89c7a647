"""HTTP/1.1 client connection: one request at a time, each sent in one write."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone as CONNECTION_DONE

from guavabarrow_core.exceptions import GuavabarrowError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTCP
    from twisted.python.failure import Failure

CONNECT_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class ConnectionBroken(GuavabarrowError):
    """The connection was lost, refused or aborted before the response was complete."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Complete body.
    headers : dict of bytes to bytes
        Header values by lower-case name; those of a repeated header are joined by
        commas.
    """

    status: int
    body: bytes
    headers: dict[bytes, bytes]


class HttpClientConnection(Protocol):
    """Client side of one connection.

    Cancelling a request aborts the connection, so that a late response can't be
    mistaken for the response to another request.

    Parameters
    ----------
    host : str
        Value of the Host header.
    """

    def __init__(self, host: str) -> None:
        self._host = host.encode("ascii")
        self._pending: Deferred[HttpResponse] | None = None
        self._parser: HttpResponseParser | None = None
        self._chunks: list[bytes] = []
        self._headers: dict[bytes, bytes] = {}
        self._size = 0
        self.is_open = False
        self.on_lost: Callable[[], None] | None = None
        self.on_progress: Callable[[], None] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm; each request is a single write."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Deferred[HttpResponse]:
        """Send a request.

        Parameters
        ----------
        method, path : str
            Method and path of the request line.
        body : bytes
            JSON body.
        headers : dict of str to str, optional
            Additional headers.

        Returns
        -------
        Deferred of HttpResponse
            Fails with :class:`ConnectionBroken`; cancelling aborts the connection.
        """
        result: Deferred[HttpResponse] = Deferred(lambda _: self.abort())
        if not self.is_open or self._pending is not None:
            result.errback(
                ConnectionBroken("The connection is closed or has a pending request.")
            )
            return result
        self._pending = result
        self._chunks = []
        self._headers = {}
        self._size = 0
        self._parser = HttpResponseParser(self)
        self.transport.write(self._encode_request(method, path, body, headers))
        return result

    def abort(self) -> None:
        """Abort the connection; a pending request fails."""
        if not self.is_open:
            return
        self.is_open = False
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser; data without a pending request aborts the connection."""
        if self._parser is None or self._pending is None:
            self.abort()
            return
        if self.on_progress is not None:
            self.on_progress()
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.abort()

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Fail the pending request."""
        self.is_open = False
        pending, self._pending = self._pending, None
        if pending is not None and not pending.called:
            clean = reason.check(ConnectionDone) is not None
            detail = "closed" if clean else "lost"
            pending.errback(
                ConnectionBroken(
                    f"The connection was {detail} before the response was complete."
                )
            )
        if self.on_lost is not None:
            self.on_lost()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        key = name.lower()
        known = self._headers.get(key)
        self._headers[key] = value if known is None else known + b", " + value

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        self._size += len(body)
        if self._size > MAX_RESPONSE_BYTES:
            self.abort()
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete the pending request; called by the parser."""
        parser, self._parser = self._parser, None
        pending, self._pending = self._pending, None
        if parser is None or pending is None:
            return
        if not parser.should_keep_alive():
            self.abort()
        status = parser.get_status_code()
        pending.callback(HttpResponse(status, b"".join(self._chunks), self._headers))

    def _encode_request(
        self, method: str, path: str, body: bytes, headers: dict[str, str] | None
    ) -> bytes:
        head = [
            f"{method} {path} HTTP/1.1\r\nContent-Type: application/json".encode(),
            b"Host: " + self._host,
            b"Content-Length: %d" % len(body),
        ]
        for name, value in (headers or {}).items():
            head.append(f"{name}: {value}".encode("latin-1"))
        return b"\r\n".join(head) + b"\r\n\r\n" + body


async def open_connection(
    reactor: IReactorTCP, host: str, port: int, *, timeout_s: float = CONNECT_TIMEOUT_S
) -> HttpClientConnection:
    """Open a connection.

    Parameters
    ----------
    reactor : IReactorTCP
        Reactor that owns the socket.
    host : str
        IPv4 address.
    port : int
        TCP port.
    timeout_s : float
        Time after which the attempt fails, in s.

    Returns
    -------
    HttpClientConnection
        Open connection.

    Raises
    ------
    ConnectionBroken
        If the connection is refused or times out.
    """
    endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=timeout_s)
    protocol = HttpClientConnection(f"{host}:{port}")
    try:
        await connectProtocol(endpoint, protocol)
    except Exception as error:
        message = f"Cannot connect to {host}:{port}: {error}"
        raise ConnectionBroken(message) from error
    return protocol
