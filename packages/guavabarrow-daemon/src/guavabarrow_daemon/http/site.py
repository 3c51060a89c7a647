"""HTTP/1.1 server on ``twisted.web`` that reports when a client disconnects."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.protocol import connectionDone as CONNECTION_DONE
from twisted.web.http import HTTPChannel
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

MAX_BODY_BYTES = 1024 * 1024
IDLE_TIMEOUT_S = 600


class TrackedChannel(HTTPChannel):
    """Server side of one connection; runs callbacks when it is lost."""

    def __init__(self) -> None:
        super().__init__()
        self.on_lost: list[Callable[[], None]] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm."""
        super().connectionMade()
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Notify pending requests, then run the callbacks."""
        super().connectionLost(reason)
        callbacks, self.on_lost = self.on_lost, []
        for callback in callbacks:
            callback()


class MemoryRequest(Request):
    """Request that keeps its body in memory, up to a limit, and never on disk.

    Attributes
    ----------
    is_too_large : bool
        Whether the body exceeded ``max_body_bytes`` and was discarded.
    """

    max_body_bytes = MAX_BODY_BYTES
    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Allocate the body buffer and check the announced length."""
        self.content = BytesIO()
        self.is_too_large = length is not None and length > self.max_body_bytes

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a part of the body unless the body is too large."""
        if self.content.tell() + len(data) > self.max_body_bytes:
            self.is_too_large = True
        if not self.is_too_large:
            self.content.write(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Process the request without parsing forms and cookies, which are unused."""
        self.content.seek(0)
        self.method = command
        self.uri = path
        self.path = path.partition(b"?")[0]
        self.clientproto = version
        self.client = self.channel.getPeer()
        self.host = self.channel.getHost()
        self.process()


class TrackedSite(Site):
    """Site that keeps the set of its open :class:`TrackedChannel` connections.

    Parameters
    ----------
    resource : Resource
        Resource that handles all requests.
    max_body_bytes : int
        Largest accepted request body, in bytes.
    """

    def __init__(
        self, resource: Resource, *, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        attributes = {"max_body_bytes": max_body_bytes}
        request_type = type("BoundedRequest", (MemoryRequest,), attributes)
        super().__init__(resource, timeout=IDLE_TIMEOUT_S, requestFactory=request_type)
        self.displayTracebacks = False
        self.channels: set[TrackedChannel] = set()

    def buildProtocol(self, addr: IAddress) -> TrackedChannel:  # noqa: N802
        """Create the channel of a new connection."""
        channel = TrackedChannel()
        channel.factory = self
        channel.site = self
        channel.requestFactory = self.requestFactory
        channel.timeOut = self.timeOut
        self.channels.add(channel)
        channel.on_lost.append(lambda: self.channels.discard(channel))
        return channel

    def log(self, request: Request) -> None:
        """Write no access log; requests are counted in metrics instead."""


class Routes(Resource):
    """Resource that dispatches ``METHOD /path`` to coroutines.

    Parameters
    ----------
    fallback : callable, optional
        Handles requests that no route matches.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self, fallback: Callable[[Request], Awaitable[None]] | None = None
    ) -> None:
        super().__init__()
        self._by_route: dict[tuple[bytes, bytes], Callable] = {}
        self._fallback = fallback or _not_found

    def add(
        self, method: str, path: str, handler: Callable[[Request], Awaitable[None]]
    ) -> None:
        """Register a coroutine for a method and an exact path."""
        self._by_route[(method.encode(), path.encode())] = handler

    def render(self, request: Request) -> int:
        """Start the coroutine of the matching route."""
        path = request.path
        handler = self._by_route.get((request.method, path), self._fallback)
        deferred = Deferred.fromCoroutine(handler(request))
        deferred.addErrback(_answer_internal_error, request)
        return NOT_DONE_YET


def answer(
    request: Request,
    status: int,
    body: bytes,
    content_type: bytes = b"application/json",
) -> None:
    """Send a complete response unless the client has disconnected.

    Parameters
    ----------
    request : Request
        Request to answer.
    status : int
        HTTP status code.
    body : bytes
        Complete body.
    content_type : bytes
        Media type.
    """
    if request.finished or getattr(request, "_disconnected", False):
        return
    request.setResponseCode(status)
    request.responseHeaders.setRawHeaders(b"content-type", [content_type])
    request.responseHeaders.setRawHeaders(b"content-length", [b"%d" % len(body)])
    request.write(body)
    request.finish()


def answer_json(request: Request, status: int, value: object) -> None:
    """Send a response whose body is the value as JSON."""
    answer(request, status, msgspec.json.encode(value))


async def _not_found(request: Request) -> None:
    answer_json(request, 404, {"code": "unknown_route"})


def _answer_internal_error(failure: Failure, request: Request) -> None:
    logger.error("request_failed error={}", failure.getTraceback())
    answer_json(request, 500, {"code": "internal", "ran": "outcome_unknown"})
