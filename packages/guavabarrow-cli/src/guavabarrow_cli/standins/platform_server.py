"""Stand-in for the platform: table service, object store, VM list, fault injection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from twisted.internet.task import deferLater

from guavabarrow_daemon.http.site import Routes, TrackedSite, answer, answer_json
from guavabarrow_daemon.store.messages import (
    Read,
    ReadAnswer,
    Row,
    Transact,
    TransactAnswer,
    VmList,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

Message = TypeVar("Message")


class PlatformFaults(msgspec.Struct):
    """Injected faults and delays, adjustable through the route ``/faults``.

    Parameters
    ----------
    down : bool
        Respond with status 503 without executing the request.
    silent : bool
        Neither execute requests nor respond to them.
    slow_ms : float
        Delay before a request is executed, in ms.
    lost_answers : int
        Number of subsequent transactions that take effect but whose response is
        dropped.
    vm_lag_s : float
        Delay before a change of the VM list becomes visible, in s.
    """

    down: bool = False
    silent: bool = False
    slow_ms: float = 0.0
    lost_answers: int = 0
    vm_lag_s: float = 0.0


class TableEngine:
    """In-memory table of rows with revisions.

    Examples
    --------
    >>> from guavabarrow_daemon.store.messages import Condition, Put
    >>> table = TableEngine()
    >>> first = Transact(conditions=[Condition("a", 0)], puts=[Put("a", "1")])
    >>> table.transact(first).applied, table.transact(first).applied
    (True, False)
    """

    def __init__(self) -> None:
        self._row_by_key: dict[str, Row] = {}
        self._revision = 0

    def transact(self, message: Transact) -> TransactAnswer:
        """Apply a transaction if all its conditions hold."""
        for condition in message.conditions:
            row = self._row_by_key.get(condition.key)
            if condition.revision != (row.revision if row else 0):
                return TransactAnswer(applied=False)
        self._revision += 1
        for put in message.puts:
            self._row_by_key[put.key] = Row(put.key, put.value, self._revision)
        for key in message.deletes:
            self._row_by_key.pop(key, None)
        revisions = {put.key: self._revision for put in message.puts}
        return TransactAnswer(applied=True, revisions=revisions)

    def read(self, message: Read) -> ReadAnswer:
        """Return the existing rows among the requested keys and prefix."""
        rows = [
            self._row_by_key[key] for key in message.keys if key in self._row_by_key
        ]
        if message.prefix:
            keys = sorted(
                key
                for key in self._row_by_key
                if key.startswith(message.prefix) and key > message.after
            )
            rows += [self._row_by_key[key] for key in keys[: message.limit]]
        return ReadAnswer(rows)


class PlatformServer:
    """HTTP interface of the stand-in platform.

    Parameters
    ----------
    reactor : object
        Reactor that owns the sockets.
    credential : str
        Credential required from VMs.
    """

    def __init__(self, reactor: Any, *, credential: str) -> None:
        self.faults = PlatformFaults()
        self.table = TableEngine()
        self.request_count_by_path: dict[str, int] = {}
        self._objects: dict[str, bytes] = {}
        self._vms = VmList()
        self._reactor = reactor
        self._credential = f"Bearer {credential}"
        self._port: Any = None
        routes = Routes(self._handle_object)
        routes.add(
            "POST", "/table/transact", self._with_auth_and_faults(self._transact)
        )
        routes.add("POST", "/table/read", self._with_auth_and_faults(self._read))
        routes.add("GET", "/vms", self._with_auth_and_faults(self._list_vms))
        routes.add("PUT", "/vms", self._set_vms)
        routes.add("POST", "/faults", self._set_faults)
        routes.add("GET", "/operations", self._get_operations)
        self.site = TrackedSite(routes)

    def listen(self, host: str, port: int) -> int:
        """Start listening; returns the port."""
        self._port = self._reactor.listenTCP(port, self.site, interface=host)
        return self._port.getHost().port

    async def stop(self) -> None:
        """Close the listening port and all connections."""
        stopped = self._port.stopListening()
        for channel in list(self.site.channels):
            channel.transport.abortConnection()
        await stopped

    def _with_auth_and_faults(self, handler: Callable) -> Callable:
        async def handle(request: Request) -> None:
            name = request.path.decode()
            self.request_count_by_path[name] = (
                self.request_count_by_path.get(name, 0) + 1
            )
            if request.getHeader("authorization") != self._credential:
                answer_json(request, 401, {"code": "unauthenticated"})
                return
            if self.faults.slow_ms:
                await self._sleep(self.faults.slow_ms / 1000)
            if self.faults.silent:
                return
            if self.faults.down:
                answer_json(request, 503, {"code": "unavailable"})
                return
            await handler(request)

        return handle

    async def _transact(self, request: Request) -> None:
        message = _decode(request, Transact)
        if message is None:
            return
        result = self.table.transact(message)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            if request.channel is not None:
                request.channel.transport.abortConnection()
            return
        answer_json(request, 200, result)

    async def _read(self, request: Request) -> None:
        message = _decode(request, Read)
        if message is not None:
            answer_json(request, 200, self.table.read(message))

    async def _list_vms(self, request: Request) -> None:
        answer_json(request, 200, self._vms)

    async def _set_vms(self, request: Request) -> None:
        vms = _decode(request, VmList)
        if vms is None:
            return
        answer_json(request, 200, {})
        await self._sleep(self.faults.vm_lag_s)
        self._vms = vms

    async def _handle_object(self, request: Request) -> None:
        name = request.path.decode()
        if not name.startswith("/objects/"):
            answer_json(request, 404, {"code": "unknown_route"})
            return
        handler = self._put_object if request.method == b"PUT" else self._get_object
        await self._with_auth_and_faults(handler)(request)

    async def _put_object(self, request: Request) -> None:
        self._objects[request.path.decode()] = request.content.read()
        answer_json(request, 200, {})

    async def _get_object(self, request: Request) -> None:
        content = self._objects.get(request.path.decode())
        if content is None:
            answer_json(request, 404, {"code": "no_such_object"})
            return
        answer(request, 200, content, b"application/octet-stream")

    async def _set_faults(self, request: Request) -> None:
        changes = msgspec.json.decode(request.content.read(), type=dict[str, Any])
        for name, value in changes.items():
            setattr(self.faults, name, value)
        answer_json(request, 200, self.faults)

    async def _get_operations(self, request: Request) -> None:
        answer_json(request, 200, self.request_count_by_path)

    def _sleep(self, duration_s: float) -> Deferred[None]:
        return deferLater(self._reactor, duration_s, lambda: None)


def _decode(request: Request, message_type: type[Message]) -> Message | None:
    try:
        return msgspec.json.decode(request.content.read(), type=message_type)
    except msgspec.MsgspecError as error:
        answer_json(request, 400, {"code": "bad_request", "detail": str(error)})
        return None
