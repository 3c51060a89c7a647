"""Accepts callers' connections, and drains them when the VM stops."""

from __future__ import annotations

from collections import deque
from math import ceil
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.protocol import connectionDone as CONNECTION_DONE
from twisted.internet.task import deferLater

from guavabarrow_core.drain_schedule import DrainSchedule
from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.memory_budget import (
    MemoryAccount,
    MemoryBudget,
    MemoryExceeded,
)
from guavabarrow_core.session_messages import (
    CloseSession,
    FailureCode,
    MalformedMessage,
    OpenSession,
    SessionReady,
    StatementFailed,
    StatementRequest,
    TransactionState,
)
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.front.caller_session import CallerSession, SessionTerminated
from guavabarrow_daemon.front.hosted_runner import HostedRunner
from guavabarrow_daemon.front.interface import CallerFront
from guavabarrow_daemon.front.session_admission import SessionAdmission
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.session_settings import SessionVmSettings, split_address
from guavabarrow_daemon.targets.session_connection import configure_socket

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.task import LoopingCall
    from twisted.python.failure import Failure

    from guavabarrow_daemon.kernel import Kernel
    from guavabarrow_daemon.session_codec import Answer, CallerMessage, FrontCodec

UNACKED_TIMEOUT_MS = 10000
"""Bytes unacknowledged for this long end a caller's connection. Callers may be behind
slow links, so this is longer than any statement's timeout."""

STARTUP_TIMEOUT_S = 5.0
"""Time within which a caller must send its first message."""

MAX_PIPELINED = 32
"""Messages that a caller may send ahead of their answers."""

BYTES_PER_MB = 1024 * 1024
CALLERS_MEMORY_SHARE = 0.25
"""Part of the VM's memory for what callers make it hold. The process itself takes about
a sixth, and messages are copied while they are read and passed on."""

BACKLOG = 512
EXPIRE_INTERVAL_S = 0.25
DRAIN_POLL_S = 0.05
FLUSH_TIMEOUT_S = 0.3
"""Time in which the last answers are sent before the process ends."""


class CallerConnection(Protocol):
    """One caller's connection, whose statements run in order."""

    def __init__(self, front: SessionFront) -> None:
        self._front = front
        self._codec = front.create_codec()
        self._queue: deque[CallerMessage] = deque()
        self._running: StatementRequest | None = None
        self._is_open = False
        self._opened_at = now_s()
        self._session_memory = MemoryAccount(front.memory)
        self._message_memory = MemoryAccount(front.memory)
        self._is_write_paused = False
        self.session: CallerSession | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection, or refuse it if there are too many."""
        self._is_open = True
        configure_socket(self.transport, UNACKED_TIMEOUT_MS)
        self.transport.registerProducer(self, True)
        if not self._front.add(self):
            self._write_and_close(
                [StatementFailed(FailureCode.TOO_MANY_CONNECTIONS, "too many sessions")]
            )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue received messages and process them."""
        if not self._is_open:
            return
        self._queue.extend(self._codec.feed(data))
        if len(self._queue) > MAX_PIPELINED:
            self._write_and_close(
                [StatementFailed(FailureCode.MALFORMED, "too many messages sent ahead")]
            )
            return
        try:
            self._account_messages()
        except MemoryExceeded as error:
            is_own_size = error.is_own_size
            code = FailureCode.TOO_LARGE if is_own_size else FailureCode.OVERLOADED
            self._write_and_close([StatementFailed(code, str(error))])
            return
        self._process_queue()

    def _account_messages(self) -> None:
        queued = sum(
            len(message.statement.text)
            for message in self._queue
            if isinstance(message, StatementRequest)
        )
        self._message_memory.resize(self._codec.buffered_bytes + queued)

    def pauseProducing(self) -> None:  # noqa: N802
        """Run no further statement while the caller doesn't read its answers."""
        self._is_write_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on once the caller has read its answers."""
        self._is_write_paused = False
        self._process_queue()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the loss of the connection is handled there."""

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:  # noqa: N802
        """Roll back the open transaction."""
        self._is_open = False
        self._queue.clear()
        self._message_memory.resize(0)
        self._session_memory.resize(0)
        self._front.remove(self)
        if self.session is not None and not self.is_running:
            self.session.abandon("caller left")

    @property
    def is_running(self) -> bool:
        """Whether a statement is running."""
        return self._running is not None

    @property
    def is_idle(self) -> bool:
        """Whether no statement is running or queued and no transaction is open."""
        if self.is_running or self._queue:
            return False
        return self.session is None or self.session.state is TransactionState.IDLE

    def expire(self, idle_transaction_s: float) -> None:
        """End an idle transaction, or a connection without a session, on timeout."""
        if self.is_running:
            return
        if self.session is not None:
            self.session.expire(idle_transaction_s)
        elif now_s() - self._opened_at > STARTUP_TIMEOUT_S:
            self._write_and_close(
                [StatementFailed(FailureCode.MALFORMED, "no session opened in time")]
            )

    def close_idle(self) -> None:
        """Close the connection if it is idle."""
        if self._is_open and self.is_idle:
            self._close()

    def finish(self) -> None:
        """Answer all statements without waiting for results, and close the connection.

        A caller whose transaction is open but idle is told that it was rolled back.
        """
        if not self._is_open:
            return
        answers: list[Answer] = []
        if self.session is not None:
            if self._running is not None:
                answers += self.session.give_up(self._running)
            elif self.session.state is TransactionState.OPEN:
                answers += self.session.give_up_transaction()
            for message in self._queue:
                if isinstance(message, StatementRequest):
                    answers += self.session.refuse(message)
        self._queue.clear()
        self._write_and_close(answers)

    def _may_process(self) -> bool:
        return self._is_open and not self.is_running and not self._is_write_paused

    def _process_queue(self) -> None:
        while self._queue and self._may_process():
            message = self._queue.popleft()
            match message:
                case OpenSession() if self.session is None:
                    if not self._front.admission.has_confirmed_orders():
                        self._queue.appendleft(message)
                        self._front.run_when_confirmed(self._process_queue)
                        return
                    self._open_session(message)
                case StatementRequest() if self.session is not None:
                    self._running = message
                    Deferred.fromCoroutine(self._run(self.session, message)).addErrback(
                        self._on_internal_error, message
                    )
                case CloseSession():
                    self._write_and_close([])
                case MalformedMessage(detail):
                    code = (
                        FailureCode.TOO_LARGE
                        if "large" in detail
                        else FailureCode.MALFORMED
                    )
                    self._write_and_close([StatementFailed(code, detail)])
                case _:
                    failed = StatementFailed(
                        FailureCode.MALFORMED, "message out of order"
                    )
                    self._write_and_close([failed])

    def _open_session(self, message: OpenSession) -> None:
        admission = self._front.admission
        try:
            admission.look_up(message.database, message.principal)
        except SessionError as error:
            configuration = admission.configuration
            log_decision(
                "session_refused",
                database=message.database,
                code=error.code.value,
                detail=error.detail,
                configuration=configuration.version if configuration else 0,
            )
            self._write_and_close([StatementFailed(error.code, error.detail)])
            return
        self.session = CallerSession(
            admission,
            self._front.runner,
            message.database,
            message.principal,
            self._session_memory,
        )
        self._write([SessionReady(TransactionState.IDLE)])

    async def _run(self, session: CallerSession, request: StatementRequest) -> None:
        try:
            answers = await session.handle(request)
        except SessionTerminated as terminated:
            self._running = None
            session.abandon("session over")
            self._write_and_close(terminated.answers)
            return
        self._running = None
        if not self._is_open:
            session.abandon("caller left")
            return
        self._write(answers)
        self._front.after_answer(self)
        self._process_queue()

    def _on_internal_error(self, failure: Failure, request: StatementRequest) -> None:
        self._running = None
        log_decision(
            "statement_failed_internally",
            request=request.request_id,
            error=failure.getTraceback(),
        )
        if self.session is not None:
            self.session.abandon("internal error")
        self._write_and_close(
            [StatementFailed(FailureCode.OUTCOME_UNKNOWN, "internal error")]
        )

    def _write(self, answers: list[Answer]) -> None:
        if self._is_open:
            self.transport.write(self._codec.encode(answers))

    def _write_and_close(self, answers: list[Answer]) -> None:
        self._write(answers)
        self._close()

    def _close(self) -> None:
        self._is_open = False
        # A transport whose producer is paused would wait for it instead of closing.
        self.transport.unregisterProducer()
        self.transport.loseConnection()


class SessionFront(CallerFront):
    """Frontend that accepts callers' connections."""

    name = "session_front"

    def __init__(
        self,
        kernel: Kernel,
        settings: SessionVmSettings,
        create_codec: Callable[[], FrontCodec],
        reactor: Any,
    ) -> None:
        super().__init__(kernel)
        self.create_codec = create_codec
        self.memory = MemoryBudget(
            int(settings.memory_mb * BYTES_PER_MB * CALLERS_MEMORY_SHARE)
        )
        self.admission = kernel.find(SessionAdmission)
        self.runner = kernel.find(HostedRunner)
        self.is_draining = False
        self._fleet = kernel.find(FleetService)
        self._settings = settings
        self._reactor = reactor
        self._connections: set[CallerConnection] = set()
        self._closing_from = float("inf")
        self._published_refusals = 0
        self._port: Any = None
        self.address = settings.front_address
        self._expiry: LoopingCall | None = None

    async def start(self) -> None:
        """Start listening, and checking for timeouts."""
        host, port = split_address(self._settings.front_address)
        factory = Factory.forProtocol(lambda: CallerConnection(self))
        self._port = self._reactor.listenTCP(
            port, factory, backlog=BACKLOG, interface=host
        )
        self.address = f"{host}:{self._port.getHost().port}"
        self._expiry = self.kernel.tasks.create_periodic(
            "session_expiry", self._expire, self._reactor
        )
        self._expiry.start(EXPIRE_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Close the remaining connections once their answers are sent."""
        if self._expiry is not None and self._expiry.running:
            self._expiry.stop()
        for connection in list(self._connections):
            connection.finish()
        until = now_s() + FLUSH_TIMEOUT_S
        while self._connections and now_s() < until:
            await deferLater(self._reactor, DRAIN_POLL_S, lambda: None)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new callers to this VM.

        Not while one of its loops fails: what the VM knows then grows old.
        """
        return (
            not self.is_draining
            and self._fleet.configuration is not None
            and not self.kernel.tasks.failing_loops()
        )

    @property
    def open_work(self) -> int:
        """Number of connections with a running statement or an open transaction."""
        return sum(not connection.is_idle for connection in self._connections)

    def run_when_confirmed(self, function: Callable[[], None]) -> None:
        """Call a function once the orders of operators are confirmed."""
        confirmed = self._fleet.orders.when_confirmed()
        confirmed.addCallback(lambda _: function())

    def add(self, connection: CallerConnection) -> bool:
        """Register a connection and return whether it is within ``max_sessions``."""
        self._connections.add(connection)
        self.kernel.find(SessionMetrics).sessions.set(len(self._connections))
        return len(self._connections) <= self._settings.max_sessions

    def remove(self, connection: CallerConnection) -> None:
        """Unregister a connection."""
        self._connections.discard(connection)
        self.kernel.find(SessionMetrics).sessions.set(len(self._connections))

    def after_answer(self, connection: CallerConnection) -> None:
        """Close a connection that is idle if the drain closes idle ones already."""
        if now_s() >= self._closing_from:
            connection.close_idle()

    async def drain(self) -> None:
        """Close all sessions without losing the answer to a statement.

        New sessions are accepted until the load balancer has stopped sending them. Then
        idle sessions are closed in small groups, others as soon as an answer leaves
        them idle. Open transactions run statements as long as these can be expected to
        end in time; from ``finish_by`` on, idle ones are rolled back and running
        statements are awaited, until ``answer_by`` at most.
        """
        self.is_draining = True
        schedule = self.admission.drain or DrainSchedule(
            now_s(), self._settings.grace_s
        )
        self.admission.drain = schedule
        log_decision("drain_begun", sessions=len(self._connections))
        await self._wait_until(schedule.close_idle_from)
        self._closing_from = now_s()
        idle = deque(c for c in self._connections if c.is_idle)
        step = ceil(len(idle) * DRAIN_POLL_S / schedule.close_spread_s)
        while idle:
            for _ in range(min(step, len(idle))):
                idle.popleft().close_idle()
            await deferLater(self._reactor, DRAIN_POLL_S, lambda: None)
        while self._connections and now_s() < schedule.finish_by:
            for connection in list(self._connections):
                connection.close_idle()
            await deferLater(self._reactor, DRAIN_POLL_S, lambda: None)
        while self._connections and now_s() < schedule.answer_by:
            for connection in list(self._connections):
                if not connection.is_running:
                    connection.finish()
            await deferLater(self._reactor, DRAIN_POLL_S, lambda: None)
        given_up = sum(connection.is_running for connection in self._connections)
        for connection in list(self._connections):
            connection.finish()
        if self._port is not None:
            self._port.stopListening()
        log_decision(
            "drain_ended",
            sessions=len(self._connections),
            given_up=given_up,
            duration_s=round(now_s() - schedule.began_at, 2),
        )

    async def _wait_until(self, at: float) -> None:
        await deferLater(self._reactor, max(0.0, at - now_s()), lambda: None)

    def _publish_memory(self) -> None:
        metrics = self.kernel.find(SessionMetrics)
        metrics.session_memory.set(self.memory.held_bytes)
        refused = self.memory.refusals - self._published_refusals
        if not refused:
            return
        self._published_refusals += refused
        metrics.memory_refusals.inc(refused)
        log_decision(
            "memory_refused",
            count=refused,
            held_bytes=self.memory.held_bytes,
            large_bytes=self.memory.large_bytes,
            limit_bytes=self.memory.limit_bytes,
        )

    def _expire(self) -> None:
        self._publish_memory()
        configuration = self._fleet.configuration
        limit_s = configuration.idle_transaction_s if configuration else 3.0
        for connection in list(self._connections):
            connection.expire(limit_s)
