"""Asynchronous client of the caller interface, which keeps a session's token."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import CancelledError, TimeoutError

from guavabarrow_core.request_id import create_request_id
from guavabarrow_daemon.http.client_connection import (
    ConnectionBroken,
    HttpClientConnection,
    HttpResponse,
    open_connection,
)

if TYPE_CHECKING:
    from guavabarrow_cli.balancer import Balancer

CLIENT_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """What a caller saw.

    Parameters
    ----------
    status : int
        HTTP status, 0 if the connection broke.
    body : dict
        Decoded body.
    """

    status: int
    body: dict[str, Any]

    @property
    def is_ok(self) -> bool:
        """Whether the request ran and returned its result."""
        return 200 <= self.status < 300

    @property
    def code(self) -> str:
        """Code of the refusal, ``ok`` for a result."""
        return "ok" if self.is_ok else self.body.get("code", "connection_broken")

    @property
    def ran(self) -> str:
        """Whether the request ran, as the caller was told."""
        return self.body.get("ran", "outcome_unknown")


class CallerSession:
    """A session that may roam between VMs.

    Parameters
    ----------
    reactor : object
        Reactor that owns the sockets.
    addresses : list of (str, int)
        VMs at which the session can call.
    key : str
        Key of the team.
    deadline_s : float
        Deadline of each request.
    """

    def __init__(
        self,
        reactor: Any,
        addresses: list[tuple[str, int]],
        *,
        key: str,
        deadline_s: float = 5.0,
    ) -> None:
        self.token: str | None = None
        self.address_index = 0
        self._reactor = reactor
        self._addresses = addresses
        self._key = key
        self._deadline_s = deadline_s
        self._connection_by_index: dict[int, HttpClientConnection] = {}

    def roam(self) -> None:
        """Move to the next VM."""
        self.address_index = (self.address_index + 1) % len(self._addresses)

    def avoid(self, balancer: Balancer) -> None:
        """Move on while the current VM is not ready."""
        for _ in self._addresses:
            if balancer.is_ready(self._addresses[self.address_index]):
                return
            self.roam()

    async def read(
        self,
        service: str,
        sql: str,
        params: list[Any] | None = None,
        *,
        max_age_ms: float | None = None,
    ) -> CallResult:
        """Send a read."""
        body = {"sql": sql, "params": params or [], "read": True}
        if max_age_ms is not None:
            body["max_age_ms"] = max_age_ms
        return await self.post(f"/v1/services/{service}/statements", body)

    async def write(
        self,
        service: str,
        sql: str,
        params: list[Any] | None = None,
        *,
        request_id: str | None = None,
    ) -> CallResult:
        """Send a write with a request id."""
        request_id = request_id or create_request_id(time.time())
        body = {"sql": sql, "params": params or []}
        return await self.post(
            f"/v1/services/{service}/statements", body, {"Request-Id": request_id}
        )

    async def post(
        self, path: str, body: Any, headers: dict[str, str] | None = None
    ) -> CallResult:
        """Send a request and keep the token of its answer."""
        sent = {
            "Authorization": f"Bearer {self._key}",
            "Deadline-Ms": f"{self._deadline_s * 1000:.0f}",
            **(headers or {}),
        }
        if self.token is not None:
            sent["Session-Token"] = self.token
        try:
            response = await self._send(path, msgspec.json.encode(body), sent)
        except (ConnectionBroken, TimeoutError, CancelledError) as error:
            return CallResult(0, {"code": "connection_broken", "detail": str(error)})
        token = response.headers.get(b"session-token")
        if token is not None:
            self.token = token.decode()
        return CallResult(response.status, msgspec.json.decode(response.body))

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connection_by_index.values():
            connection.abort()

    async def _send(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> HttpResponse:
        connection = self._connection_by_index.get(self.address_index)
        if connection is None or not connection.is_open:
            host, port = self._addresses[self.address_index]
            connection = await open_connection(self._reactor, host, port)
            self._connection_by_index[self.address_index] = connection
        pending = connection.request("POST", path, body, headers)
        limit_s = self._deadline_s + CLIENT_MARGIN_S
        return await pending.addTimeout(limit_s, self._reactor)
