"""Serves a :class:`DatabaseEngine` over HTTP and replicates its log to its peers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.internet.task import deferLater

from guavabarrow_cli.standins.database_engine import (
    DatabaseEngine,
    EngineError,
    OpenTransaction,
)
from guavabarrow_cli.standins.log_shipper import LogShipper
from guavabarrow_core.exceptions import GuavabarrowError
from guavabarrow_daemon.http.site import Routes, TrackedSite, answer_json
from guavabarrow_daemon.targets.http_messages import (
    CODE_NO_TRANSACTION,
    CODE_TOO_MANY_CONNECTIONS,
    CODE_UNAUTHENTICATED,
    Begin,
    Commit,
    Connect,
    Execute,
    Fence,
    FenceAnswer,
    Promote,
    Replicate,
    ReplicateAnswer,
    Resolve,
    Status,
    TargetProblem,
    Watch,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from twisted.internet.interfaces import IReactorTCP, IReactorTime
    from twisted.web.server import Request

MAX_REPORTED_TERMS = 16
TRANSACTION_IDLE_S = 10.0
MAX_RECORDED_REQUESTS = 10_000

Message = TypeVar("Message")


class Faults(msgspec.Struct):
    """Injected faults and delays, adjustable through the route ``/faults``.

    Parameters
    ----------
    lag_ms : float
        Delay before a committed entry is replicated, in ms.
    statement_ms : float
        Time for which each statement occupies a slot, in ms.
    connect_ms : float
        Time that it takes to open a connection, in ms.
    lost_answers : int
        Number of subsequent writes that take effect but whose response is dropped.
    replication : bool
        Whether log entries and heartbeats are sent to the peers.
    answer_delay_ms : float
        Delay of every response to a statement or commit, in ms.
    """

    lag_ms: float = 0.0
    statement_ms: float = 0.0
    connect_ms: float = 12.0
    lost_answers: int = 0
    replication: bool = True
    answer_delay_ms: float = 0.0


@dataclass(frozen=True)
class DatabaseSettings:
    """Settings of one stand-in database.

    Parameters
    ----------
    name : str
        Name of the database.
    path : Path
        SQLite file.
    peer_by_name : dict of str to (str, int)
        Addresses of the other databases of the group.
    credential : str
        Credential required from entry VMs.
    max_connections : int
        Maximum number of client connections.
    slots : int
        Maximum number of concurrent statements.
    faults : Faults
        Initial faults and delays.
    """

    name: str
    path: Path
    peer_by_name: dict[str, tuple[str, int]]
    credential: str
    max_connections: int = 20
    slots: int = 3
    faults: Faults = field(default_factory=Faults)


@dataclass(eq=False)
class ClientSession:
    """State of one client connection."""

    client: str
    is_open: bool = True
    transaction: OpenTransaction | None = None
    term: int = 0
    last_used_at: float = 0.0


class WriterLock:
    """FIFO lock that admits one writing session at a time."""

    def __init__(self) -> None:
        self.owner: ClientSession | None = None
        self._waiting: deque[tuple[ClientSession, Deferred[None]]] = deque()

    async def acquire(self, session: ClientSession) -> None:
        """Wait for the lock; raises SessionClosed if the connection is lost."""
        if self.owner is None:
            self.owner = session
            return
        acquired: Deferred[None] = Deferred()
        self._waiting.append((session, acquired))
        await acquired

    def release(self, session: ClientSession) -> None:
        """Pass the lock to the next waiting session with an open connection."""
        if self.owner is not session:
            return
        self.owner = None
        while self._waiting:
            next_session, acquired = self._waiting.popleft()
            if next_session.is_open:
                self.owner = next_session
                acquired.callback(None)
                return
            acquired.errback(
                SessionClosed(
                    "The connection was lost while waiting for the writer lock."
                )
            )


class SessionClosed(GuavabarrowError):
    """The connection was closed before a response could be sent."""


class DatabaseServer:
    """HTTP interface of a stand-in database.

    Parameters
    ----------
    settings : DatabaseSettings
        Settings of the database.
    reactor : IReactorTCP
        Reactor that owns the sockets.
    """

    def __init__(self, settings: DatabaseSettings, reactor: Any) -> None:
        self.settings = settings
        self.faults = settings.faults
        self.engine = DatabaseEngine(settings.path)
        self.recorded_requests: deque[bytes] = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.peak_session_count = 0
        self._reactor = reactor
        self._lock = WriterLock()
        self._slots = DeferredSemaphore(settings.slots)
        self._session_by_channel: dict[Any, ClientSession] = {}
        self._watchers: list[Deferred[None]] = []
        self._last_replicated_at: float | None = None
        self._replication_channel: Any = None
        self._shippers = [
            LogShipper(
                self.engine,
                reactor,
                name=settings.name,
                host=host,
                port=port,
                faults=self.faults,
            )
            for host, port in settings.peer_by_name.values()
        ]
        self.site = TrackedSite(self._routes())
        self._port: Any = None

    def listen(self, host: str, port: int) -> int:
        """Start to serve requests and to replicate.

        Returns
        -------
        int
            Port on which the server listens.
        """
        self._port = self._reactor.listenTCP(port, self.site, interface=host)
        for shipper in self._shippers:
            shipper.start()
        return self._port.getHost().port

    async def stop(self) -> None:
        """Abort all connections, as the exit of the process would."""
        for shipper in self._shippers:
            shipper.stop()
        stopped = self._port.stopListening()
        for channel in list(self.site.channels):
            channel.transport.abortConnection()
        await stopped
        self.engine.close()

    def _routes(self) -> Routes:
        routes = Routes()
        for path, message_type, handler in (
            ("/connect", Connect, self._connect),
            ("/execute", Execute, self._execute),
            ("/begin", Begin, self._begin),
            ("/commit", Commit, self._commit),
            ("/rollback", None, self._rollback),
            ("/reset", None, self._rollback),
            ("/resolve", Resolve, self._resolve),
            ("/status", Watch, self._status),
            ("/fence", Fence, self._fence),
            ("/promote", Promote, self._promote),
            ("/replicate", Replicate, self._replicate),
            ("/faults", None, self._set_faults),
            ("/recorded", None, self._get_recorded),
        ):
            routes.add("POST", path, self._handler(message_type, handler))
        return routes

    def _handler(
        self,
        message_type: type | None,
        handler: Callable[[Request, Any], Awaitable[Any]],
    ) -> Callable[[Request], Awaitable[None]]:
        async def handle(request: Request) -> None:
            body = request.content.read()
            try:
                message = body
                if message_type is not None:
                    message = msgspec.json.decode(body, type=message_type)
                reply = await handler(request, message)
            except EngineError as problem:
                answer_json(request, 409, TargetProblem(problem.code, problem.detail))
            except msgspec.MsgspecError as error:
                answer_json(request, 400, TargetProblem("bad_request", str(error)))
            except SessionClosed:
                return
            else:
                await self._reply(request, reply)

        return handle

    async def _reply(self, request: Request, reply: object) -> None:
        if self.faults.answer_delay_ms and request.path in (b"/execute", b"/commit"):
            await self._sleep(self.faults.answer_delay_ms)
        answer_json(request, 200, reply)

    def _record_request(self, request: Request, body: bytes) -> None:
        headers = repr(list(request.requestHeaders.getAllRawHeaders())).encode()
        self.recorded_requests.append(request.path + headers + body)

    async def _connect(self, request: Request, message: Connect) -> object:
        self._record_request(request, msgspec.json.encode(message))
        if message.credential != self.settings.credential:
            raise EngineError(CODE_UNAUTHENTICATED, "Invalid credential.")
        await self._sleep(self.faults.connect_ms)
        if len(self._session_by_channel) >= self.settings.max_connections:
            raise EngineError(
                CODE_TOO_MANY_CONNECTIONS, "The connection limit is reached."
            )
        channel = request.channel
        if channel is None:
            raise SessionClosed("The client disconnected.")
        session = ClientSession(message.client)
        self._session_by_channel[channel] = session
        peak = max(self.peak_session_count, len(self._session_by_channel))
        self.peak_session_count = peak
        channel.on_lost.append(lambda: self._close_session(channel))
        return {}

    def _close_session(self, channel: Any) -> None:
        session = self._session_by_channel.pop(channel, None)
        if session is None:
            return
        session.is_open = False
        self._end_transaction(session)

    def _require_session(self, request: Request) -> ClientSession:
        session = self._session_by_channel.get(request.channel)
        if session is None:
            raise EngineError(
                CODE_UNAUTHENTICATED,
                "The connection is not authenticated; call /connect first.",
            )
        session.last_used_at = self._reactor.seconds()
        return session

    async def _execute(self, request: Request, message: Execute) -> object:
        self._record_request(request, msgspec.json.encode(message))
        session = self._require_session(request)
        await self._simulate_execution()
        if session.transaction is not None:
            return self.engine.execute(session.transaction, message)
        if message.read:
            return self.engine.read(message)
        await self._lock.acquire(session)
        try:
            result = self.engine.write(message)
        finally:
            self._lock.release(session)
        self._notify_change()
        self._drop_response(request)
        return result

    async def _simulate_execution(self) -> None:
        if not self.faults.statement_ms:
            return
        await self._slots.acquire()
        try:
            await self._sleep(self.faults.statement_ms)
        finally:
            self._slots.release()

    async def _begin(self, request: Request, message: Begin) -> object:
        session = self._require_session(request)
        if session.transaction is not None:
            raise EngineError(CODE_NO_TRANSACTION, "A transaction is already open.")
        self.engine.check_writable(message.term)
        await self._lock.acquire(session)
        try:
            session.transaction = self.engine.begin(message.term)
        except EngineError:
            self._lock.release(session)
            raise
        session.term = message.term
        self._reactor.callLater(TRANSACTION_IDLE_S, self._expire_transaction, session)
        return {}

    def _expire_transaction(self, session: ClientSession) -> None:
        if session.transaction is None or not session.is_open:
            return
        idle_s = self._reactor.seconds() - session.last_used_at
        if idle_s >= TRANSACTION_IDLE_S:
            self._end_transaction(session)
            return
        self._reactor.callLater(
            TRANSACTION_IDLE_S - idle_s, self._expire_transaction, session
        )

    async def _commit(self, request: Request, message: Commit) -> object:
        self._record_request(request, msgspec.json.encode(message))
        session = self._require_session(request)
        transaction, session.transaction = session.transaction, None
        if transaction is None:
            raise EngineError(CODE_NO_TRANSACTION, "No transaction is open.")
        try:
            result = self.engine.commit(transaction, message, session.term)
        finally:
            self._lock.release(session)
        self._notify_change()
        self._drop_response(request)
        return result

    async def _rollback(self, request: Request, body: bytes) -> object:
        self._end_transaction(self._require_session(request))
        return {}

    def _end_transaction(self, session: ClientSession) -> None:
        if session.transaction is not None:
            session.transaction = None
            self.engine.rollback()
        self._lock.release(session)

    async def _resolve(self, request: Request, message: Resolve) -> object:
        session = self._require_session(request)
        await self._lock.acquire(session)
        try:
            resolved = self.engine.resolve(message)
        finally:
            self._lock.release(session)
        self._notify_change()
        return resolved

    async def _status(self, request: Request, message: Watch) -> object:
        if message.hold_ms and self._is_unchanged(message):
            changed: Deferred[None] = Deferred()
            self._watchers.append(changed)
            timer = self._reactor.callLater(
                message.hold_ms / 1000, self._expire_watch, changed
            )
            await changed
            if timer.active():
                timer.cancel()
        return self.status()

    def _is_unchanged(self, message: Watch) -> bool:
        last = self.engine.last
        return (
            message.known_term == last.term
            and message.known_index == last.index
            and message.known_promised == self.engine.promised_term
        )

    def _expire_watch(self, changed: Deferred[None]) -> None:
        if changed in self._watchers:
            self._watchers.remove(changed)
            changed.callback(None)

    def _notify_change(self) -> None:
        watchers, self._watchers = self._watchers, []
        for watcher in watchers:
            watcher.callback(None)
        if self.engine.is_primary:
            for shipper in self._shippers:
                shipper.notify_commit()

    def status(self) -> Status:
        """Return the state that is reported to probes."""
        lineage = self.engine.lineage
        starts = [(start.term, start.index) for start in lineage.starts]
        return Status(
            database=self.settings.name,
            role="primary" if self.engine.is_primary else "replica",
            promised_term=self.engine.promised_term,
            starts=starts[-MAX_REPORTED_TERMS:],
            last_index=lineage.last_index,
            link_age_ms=self._link_age_ms(),
            open_transactions=0 if self._lock.owner is None else 1,
        )

    def _link_age_ms(self) -> float | None:
        if self._last_replicated_at is None:
            return None
        return (self._reactor.seconds() - self._last_replicated_at) * 1000

    async def _fence(self, request: Request, message: Fence) -> object:
        granted = self.engine.fence(message.term, message.owner)
        if granted:
            self._rollback_all()
            self._last_replicated_at = None
            self._notify_change()
        last = self.engine.last
        return FenceAnswer(granted, self.engine.promised_term, last.term, last.index)

    def _rollback_all(self) -> None:
        for session in list(self._session_by_channel.values()):
            if session.transaction is not None:
                self._end_transaction(session)

    async def _promote(self, request: Request, message: Promote) -> object:
        accepted = self.engine.promote(message.term, message.owner)
        self._notify_change()
        return {"accepted": accepted}

    async def _replicate(self, request: Request, message: Replicate) -> object:
        was_primary = self.engine.is_primary
        if message.term >= self.engine.promised_term:
            if was_primary or message.term > self.engine.promised_term:
                self._rollback_all()
            self._last_replicated_at = self._reactor.seconds()
            self._track_replication_channel(request.channel)
        last_before = self.engine.last
        accepted = self.engine.append_entries(message)
        if self.engine.last != last_before or was_primary:
            self._notify_change()
        lineage = self.engine.lineage
        starts = [(start.term, start.index) for start in lineage.starts]
        return ReplicateAnswer(
            accepted, self.engine.promised_term, starts, lineage.last_index
        )

    def _track_replication_channel(self, channel: Any) -> None:
        if channel is None or channel is self._replication_channel:
            return
        self._replication_channel = channel
        channel.on_lost.append(lambda: self._handle_replication_lost(channel))

    def _handle_replication_lost(self, channel: Any) -> None:
        if self._replication_channel is channel:
            self._replication_channel = None
            self._last_replicated_at = None
            self._notify_change()

    async def _set_faults(self, request: Request, body: bytes) -> object:
        changes = msgspec.json.decode(body, type=dict[str, Any])
        for name, value in changes.items():
            setattr(self.faults, name, value)
        return self.faults

    async def _get_recorded(self, request: Request, body: bytes) -> object:
        return {
            "requests": [item.decode("latin-1") for item in self.recorded_requests],
            "max_sessions": self.peak_session_count,
        }

    def _drop_response(self, request: Request) -> None:
        if self.faults.lost_answers <= 0:
            return
        self.faults.lost_answers -= 1
        channel = request.channel
        if channel is not None:
            channel.transport.abortConnection()
        raise SessionClosed("The response was dropped by fault injection.")

    def _sleep(self, duration_ms: float) -> Deferred[None]:
        clock: IReactorTime = self._reactor
        return deferLater(clock, duration_ms / 1000, lambda: None)


def start_database(
    settings: DatabaseSettings, reactor: IReactorTCP, *, host: str, port: int
) -> DatabaseServer:
    """Create a database server and start listening."""
    server = DatabaseServer(settings, reactor)
    server.listen(host, port)
    return server
