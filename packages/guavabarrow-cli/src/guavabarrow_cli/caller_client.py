"""Asynchronous client of the caller API that keeps the session token."""

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
    from guavabarrow_cli.readiness_poller import ReadinessPoller

RESPONSE_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """Response to a caller's request.

    Parameters
    ----------
    status : int
        HTTP status, 0 if the connection failed.
    body : dict
        Decoded response body.
    """

    status: int
    body: dict[str, Any]

    @property
    def is_ok(self) -> bool:
        """Whether the request succeeded."""
        return 200 <= self.status < 300

    @property
    def code(self) -> str:
        """Problem code of the response, ``ok`` on success."""
        return "ok" if self.is_ok else self.body.get("code", "connection_broken")

    @property
    def ran(self) -> str:
        """Execution status that the VM reported."""
        return self.body.get("ran", "outcome_unknown")


class CallerSession:
    """A session that may roam between VMs.

    Parameters
    ----------
    reactor : object
        Reactor used for the connections.
    addresses : list of (str, int)
        Addresses of the VMs that the session can use.
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
        """Switch to the next VM."""
        self.address_index = (self.address_index + 1) % len(self._addresses)

    def select_ready_vm(self, readiness: ReadinessPoller) -> None:
        """Switch to the next ready VM; the current one is kept if none is ready."""
        for _ in self._addresses:
            if readiness.is_ready(self._addresses[self.address_index]):
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
        """Send a request and store the session token of the response."""
        request_headers = {
            "Authorization": f"Bearer {self._key}",
            "Deadline-Ms": f"{self._deadline_s * 1000:.0f}",
            **(headers or {}),
        }
        if self.token is not None:
            request_headers["Session-Token"] = self.token
        try:
            response = await self._send(
                path, msgspec.json.encode(body), request_headers
            )
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
        pending_response = connection.request("POST", path, body, headers)
        timeout_s = self._deadline_s + RESPONSE_MARGIN_S
        return await pending_response.addTimeout(timeout_s, self._reactor)
