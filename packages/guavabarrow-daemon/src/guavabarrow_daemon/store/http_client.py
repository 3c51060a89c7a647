"""Client of the platform's services over HTTP/1.1 and JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from guavabarrow_daemon.decoding import UndecodableValue, decode_value
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.store.http_caller import HttpStoreCaller
from guavabarrow_daemon.store.interface import (
    ObjectStore,
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

    from guavabarrow_daemon.http.client_connection import HttpResponse

STORE_TIMEOUT_S = 0.4
MAX_IDLE_CONNECTIONS = 4

ResponseT = TypeVar("ResponseT")


class HttpPlatform(TableService, ObjectStore, VmDirectory):
    """Client of the table service, the object store and the VM list.

    Parameters
    ----------
    host, port : str, int
        Address of the platform.
    credential : str
        Bearer token of this VM.
    reactor : object
        Reactor that owns the sockets.
    on_operation : callable, optional
        Called with the first path segment of each call, for metrics.
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
        count = on_operation or (lambda name: None)
        self._caller = HttpStoreCaller(
            host,
            port,
            reactor,
            connect_timeout_s=STORE_TIMEOUT_S,
            call_timeout_s=STORE_TIMEOUT_S,
            max_idle=MAX_IDLE_CONNECTIONS,
            on_call=lambda name, result: count(name),
            headers={"Authorization": f"Bearer {credential}"},
        )

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
            raise StoreUnavailable(
                f"The object store returned status {response.status}."
            )

    async def get(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        response = await self._request("GET", f"/objects/{name}", b"")
        if response.status == 404:
            return None
        if response.status != 200:
            raise StoreUnavailable(
                f"The object store returned status {response.status}."
            )
        return response.body

    async def list_vms(self) -> VmList:
        """Return the platform's list of VMs."""
        return await self._call("/vms", None, VmList, method="GET")

    def close(self) -> None:
        """Abort idle connections."""
        self._caller.close()

    async def _call(
        self,
        path: str,
        message: object,
        response_type: type[ResponseT],
        *,
        method: str = "POST",
    ) -> ResponseT:
        body = b"" if message is None else msgspec.json.encode(message)
        response = await self._request(method, path, body)
        if response.status != 200:
            raise StoreUnavailable(f"The platform returned status {response.status}.")
        try:
            return decode_value(msgspec.json.Decoder(response_type), response.body)
        except UndecodableValue as error:
            raise StoreUnavailable(
                f"Malformed response of the platform: {error}"
            ) from error

    async def _request(self, method: str, path: str, body: bytes) -> HttpResponse:
        name = path.split("/", 2)[1]
        return await self._caller.call(method, path, body, name=name)
