"""The platform's services over HTTP/1.1 and JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from twisted.internet.defer import TimeoutError

from guavabarrow_daemon.http.client_connection import (
    ConnectionBroken,
    HttpResponse,
)
from guavabarrow_daemon.http.connection_pool import HttpConnectionPool
from guavabarrow_daemon.store.interface import (
    ObjectStore,
    PlatformUnavailable,
    TableService,
    VmDirectory,
)
from guavabarrow_daemon.store.messages import (
    Read,
    ReadAnswer,
    Transact,
    TransactAnswer,
    VmList,
)

if TYPE_CHECKING:
    from collections.abc import Callable

STORE_TIMEOUT_S = 0.4
MAX_IDLE_CONNECTIONS = 4

Answer = TypeVar("Answer")


class HttpPlatform(TableService, ObjectStore, VmDirectory):
    """Client of the platform.

    Parameters
    ----------
    host, port : str, int
        Address of the platform.
    credential : str
        Credential of this VM.
    reactor : object
        Reactor that owns the sockets.
    on_operation : callable, optional
        Called with the path of each operation, for counting.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        credential: str,
        reactor: Any,
        on_operation: Callable[[str], None] | None = None,
    ) -> None:
        self._connections = HttpConnectionPool(
            host,
            port,
            reactor,
            connect_timeout_s=STORE_TIMEOUT_S,
            max_idle=MAX_IDLE_CONNECTIONS,
        )
        self._headers = {"Authorization": f"Bearer {credential}"}
        self._reactor = reactor
        self._on_operation = on_operation or (lambda path: None)

    async def transact(self, message: Transact) -> TransactAnswer:
        """Apply a conditional transaction."""
        return await self._call("/table/transact", message, TransactAnswer)

    async def read(self, message: Read) -> ReadAnswer:
        """Read rows."""
        return await self._call("/table/read", message, ReadAnswer)

    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        response = await self._request("PUT", f"/objects/{name}", content)
        if response.status != 200:
            raise PlatformUnavailable(f"The object store answered {response.status}.")

    async def get(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        response = await self._request("GET", f"/objects/{name}", b"")
        if response.status == 404:
            return None
        if response.status != 200:
            raise PlatformUnavailable(f"The object store answered {response.status}.")
        return response.body

    async def list_vms(self) -> VmList:
        """Return the platform's list of VMs."""
        return await self._call("/vms", None, VmList, method="GET")

    def close(self) -> None:
        """Close idle connections."""
        self._connections.close()

    async def _call(
        self,
        path: str,
        message: object,
        answer_type: type[Answer],
        *,
        method: str = "POST",
    ) -> Answer:
        body = b"" if message is None else msgspec.json.encode(message)
        response = await self._request(method, path, body)
        if response.status != 200:
            raise PlatformUnavailable(f"The platform answered {response.status}.")
        try:
            return msgspec.json.decode(response.body, type=answer_type)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(f"Malformed answer: {error}") from error

    async def _request(self, method: str, path: str, body: bytes) -> HttpResponse:
        self._on_operation(path.split("/", 2)[1])
        try:
            connection = await self._connections.take()
            pending = connection.request(method, path, body, self._headers)
            pending.addTimeout(STORE_TIMEOUT_S, self._reactor)
            response = await pending
        except (ConnectionBroken, TimeoutError) as error:
            raise PlatformUnavailable(
                f"The platform gave no answer: {error}"
            ) from error
        self._connections.give_back(connection)
        return response
