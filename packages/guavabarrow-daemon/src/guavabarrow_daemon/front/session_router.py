"""Runs the statements of connected sessions on targets.

Reads go to the target that is expected to answer first among those that are provably
fresh enough; writes and plain transactions go to the primary. What may have run is
never repeated unless it only reads.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError
from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import SessionFailure
from guavabarrow_core.session_configuration import Consistency, Route
from guavabarrow_core.session_messages import (
    FailureCode,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.lead_service import LeadService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.target_connection import TargetConnectionLost

if TYPE_CHECKING:
    from guavabarrow_core.log_position import LogPosition
    from guavabarrow_core.session_values import PreparedShape, SessionValues
    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.targets.target_connection import TargetConnection
    from guavabarrow_daemon.targets.target_pool import TargetPool

BUSY_PAUSE_S = 0.02
"""Pause before a target that had no slot is asked again; half a statement."""

MAX_HOLD_PART = 0.4
"""Part of the time limit that a statement may wait for a connection; the rest is for
the target, and for the caller to try another VM."""

MAX_READ_ATTEMPTS = 5
BEHIND_PAUSE_S = 0.08
"""A replica that lacked a position is not asked for it again this soon."""

RETRY_ADVICE_S = 0.5

MIN_WAIT_S = 0.005
HANDSHAKE_S = 0.03
"""Cost of a new connection: its slot at the target, a round trip, and the connection
of another team that it may displace."""


@dataclass(slots=True)
class Work:
    """One statement or transaction under way.

    Parameters
    ----------
    route : Route
        Route in force when it began.
    team : str
        Team that it runs for.
    request_id : str
        Id of its current statement.
    began_at : float
        Local time of its first byte, in s.
    deadline : float
        Local time after which its statement is given up, in s.
    values : SessionValues
        Values of the session.
    session_position : LogPosition or None
        Last commit of the session.
    trail : list of str
        What earlier attempts led to.
    has_reached_target : bool
        Whether a statement of the caller was sent to a target.
    """

    route: Route
    team: str
    request_id: str
    began_at: float
    deadline: float
    values: SessionValues
    session_position: LogPosition | None = None
    trail: list[str] = field(default_factory=list)
    has_reached_target: bool = False

    @property
    def hold_until(self) -> float:
        """Local time until which it may wait for a connection."""
        return self.deadline - (1.0 - MAX_HOLD_PART) * self.route.timeout_s

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, in s."""
        return self.deadline - now_s()


@dataclass(slots=True)
class OpenTransaction:
    """A transaction that holds a connection."""

    connection: TargetConnection
    pool: TargetPool
    service: str
    at_primary: bool
    has_left: bool = False


class SessionRouter(Service):
    """Runs statements on targets."""

    name = "session_router"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._reactor = reactor
        self._directory = kernel.find(DirectoryService)
        self._lead = kernel.find(LeadService)
        self._metrics = kernel.find(SessionMetrics)
        self._behind_until: dict[str, float] = {}
        self._codec = self._directory.create_codec()

    # Single statements

    async def run_read(
        self, work: Work, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a statement that only reads, on any target that is fresh enough.

        Raises
        ------
        SessionFailure
            If no target answered it.
        """
        failed: set[str] = set()
        failure = SessionFailure(FailureCode.OVERLOADED, "No target can be used.")
        for _ in range(MAX_READ_ATTEMPTS):
            entry, after = await self._choose(work, failed)
            pool = self._directory.pool(entry)
            try:
                return await self._read_once(work, statement, shape, pool, after)
            except SessionFailure as error:
                failure = error
                work.trail.append(f"{entry.target_id}:{error.code.value}")
            if work.remaining_s <= 0:
                break
            if failure.code is FailureCode.BEHIND:
                self._behind_until[entry.target_id] = now_s() + BEHIND_PAUSE_S
            else:
                failed.add(entry.target_id)
        raise failure

    async def _read_once(
        self,
        work: Work,
        statement: Statement,
        shape: PreparedShape | None,
        pool: TargetPool,
        after: LogPosition | None,
    ) -> Reply:
        at_primary = after is None
        pool.load.running += 1
        try:
            connection = await pool.acquire(
                work.team, priority=work.route.priority, deadline=work.hold_until
            )
            if at_primary and not self._lead.may_use(
                work.route.service, pool.entry.target_id
            ):
                pool.release(connection)
                raise SessionFailure(FailureCode.BEHIND, "The primary moved.")
            data, preparations = self._prepare(work, connection, shape)
            data += self._codec.encode_statement(
                work.request_id,
                statement,
                prepared_name=shape.shared_name if shape else "",
                after=after,
            )
            reply = await self._exchange(work, connection, pool, data, preparations)
        finally:
            pool.load.running -= 1
        if at_primary and not self._lead.may_use(
            work.route.service, pool.entry.target_id
        ):
            raise SessionFailure(FailureCode.BEHIND, "The primary moved meanwhile.")
        if reply.failure is not None:
            raise SessionFailure(reply.failure.code, reply.failure.detail)
        return reply

    async def run_write(
        self, work: Work, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a single write at the primary.

        Raises
        ------
        SessionFailure
            If it did not run, or may have run.
        """
        while True:
            pool, connection = await self._acquire_primary(work)
            service = work.route.service
            data, preparations = self._prepare(work, connection, shape)
            data += self._codec.encode_statement(
                work.request_id,
                statement,
                prepared_name=shape.shared_name if shape else "",
            )
            self._lead.enter(service)
            pool.load.running += 1
            try:
                reply = await self._exchange(
                    work, connection, pool, data, preparations, is_write=True
                )
                is_valid = self._lead.may_use(service, pool.entry.target_id)
            finally:
                self._lead.leave(service)
                pool.load.running -= 1
            failure = reply.failure
            if failure is None and not is_valid:
                raise SessionFailure(
                    FailureCode.OUTCOME_UNKNOWN,
                    "The primary was replaced while the write ran.",
                )
            if failure is None:
                return reply
            work.trail.append(f"{pool.entry.target_id}:{failure.code.value}")
            if failure.code is FailureCode.OVERLOADED and work.remaining_s > 0.1:
                await deferLater(self._reactor, BUSY_PAUSE_S, lambda: None)
                continue
            raise SessionFailure(failure.code, failure.detail)

    # Transactions

    async def begin(self, work: Work, *, is_read_only: bool) -> OpenTransaction:
        """Open a transaction on a target and keep its connection.

        Raises
        ------
        SessionFailure
            If none could be opened; nothing has run.
        """
        kind = StatementKind.BEGIN_READ_ONLY if is_read_only else StatementKind.BEGIN
        statement = Statement(kind, "BEGIN READ" if is_read_only else "BEGIN")
        failed: set[str] = set()
        failure = SessionFailure(FailureCode.OVERLOADED, "No target can be used.")
        for _ in range(MAX_READ_ATTEMPTS):
            after = None
            if is_read_only:
                entry, after = await self._choose(work, failed)
                pool = self._directory.pool(entry)
                connection = await pool.acquire(
                    work.team, priority=work.route.priority, deadline=work.hold_until
                )
            else:
                pool, connection = await self._acquire_primary(work)
            target_id = pool.entry.target_id
            service = work.route.service
            if after is None and not self._lead.may_use(service, target_id):
                pool.release(connection)
                continue
            data, preparations = self._prepare(work, connection, None)
            data += self._codec.encode_statement("", statement, after=after)
            try:
                reply = await self._exchange(
                    work,
                    connection,
                    pool,
                    data,
                    preparations,
                    keeps=True,
                    preparations_only=True,
                )
            except SessionFailure as error:
                failure = error
                failed.add(target_id)
                continue
            if reply.failure is None and reply.ready.state is TransactionState.OPEN:
                transaction = OpenTransaction(
                    connection, pool, service, at_primary=after is None
                )
                if transaction.at_primary:
                    self._lead.enter(service)
                return transaction
            if connection.is_open:
                self._give_back(connection, pool)
            code = reply.failure.code if reply.failure else FailureCode.FAILED
            work.trail.append(f"{target_id}:{code.value}")
            failure = SessionFailure(FailureCode.OVERLOADED, f"No transaction: {code}.")
            if code is FailureCode.BEHIND:
                self._behind_until[target_id] = now_s() + BEHIND_PAUSE_S
            elif code is FailureCode.OVERLOADED and work.remaining_s > 0.1:
                await deferLater(self._reactor, BUSY_PAUSE_S, lambda: None)
            else:
                failed.add(target_id)
                if not is_read_only:
                    raise failure
        raise failure

    async def run_in_transaction(
        self,
        work: Work,
        transaction: OpenTransaction,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> Reply:
        """Run a statement on the connection of its transaction.

        Raises
        ------
        SessionFailure
            If the transaction is over; it is rolled back.
        """
        connection = transaction.connection
        is_commit = statement.kind is StatementKind.COMMIT
        target_id = transaction.pool.entry.target_id
        if not connection.is_open or (
            transaction.at_primary and not self._lead_allows(transaction, statement)
        ):
            self.end(transaction)
            raise SessionFailure(
                FailureCode.ABORTED,
                "The connection of the transaction is gone; it is rolled back.",
                retry_after_s=RETRY_ADVICE_S,
            )
        data, preparations = self._prepare(work, connection, shape)
        data += self._codec.encode_statement(
            work.request_id,
            statement,
            prepared_name=shape.shared_name if shape else "",
        )
        try:
            reply = await self._exchange(
                work,
                connection,
                transaction.pool,
                data,
                preparations,
                is_write=is_commit,
                keeps=True,
            )
        except SessionFailure as error:
            self.end(transaction)
            if is_commit:
                raise
            raise SessionFailure(
                FailureCode.ABORTED,
                f"Rolled back: {error.detail}",
                retry_after_s=RETRY_ADVICE_S,
            ) from error
        still_leads = not transaction.at_primary or self._lead.may_use(
            transaction.service, target_id
        )
        if reply.failure is None and not still_leads and is_commit:
            self.end(transaction)
            raise SessionFailure(
                FailureCode.OUTCOME_UNKNOWN,
                "The primary was replaced while the commit ran.",
            )
        if is_commit or reply.ready.state is TransactionState.IDLE:
            self.end(transaction)
        return reply

    def _lead_allows(self, transaction: OpenTransaction, statement: Statement) -> bool:
        target_id = transaction.pool.entry.target_id
        if self._lead.may_use(transaction.service, target_id):
            return True
        # Statements of a running transaction may end it during a planned move.
        lead = self._lead.moving_planned(transaction.service)
        return lead == target_id and statement.kind is not StatementKind.COMMIT

    async def roll_back(self, transaction: OpenTransaction) -> None:
        """Roll a transaction back and free its connection."""
        connection = transaction.connection
        if transaction.has_left:
            return
        if not connection.is_open or connection.has_pending:
            connection.abort()
            self.end(transaction)
            return
        statement = Statement(StatementKind.ROLLBACK, "ROLLBACK")
        sent = connection.send(self._codec.encode_statement("", statement), 0, now_s())
        sent.addTimeout(1.0, self._reactor)
        try:
            await sent
        except (TargetConnectionLost, TimeoutError):
            connection.abort()
        self.end(transaction)

    def end(self, transaction: OpenTransaction) -> None:
        """Free the connection of a transaction that is over."""
        if transaction.has_left:
            return
        transaction.has_left = True
        if transaction.at_primary:
            self._lead.leave(transaction.service)
        self._give_back(transaction.connection, transaction.pool)

    # Parts

    def _give_back(self, connection: TargetConnection, pool: TargetPool) -> None:
        if connection.state is not TransactionState.IDLE:
            connection.abort()
        pool.release(connection)

    def _prepare(
        self,
        work: Work,
        connection: TargetConnection,
        shape: PreparedShape | None,
    ) -> tuple[bytes, int]:
        plan = connection.values.plan(work.values, shape)
        connection.values.apply(plan)
        return self._codec.encode_restore(plan)

    async def _exchange(
        self,
        work: Work,
        connection: TargetConnection,
        pool: TargetPool,
        data: bytes,
        preparations: int,
        *,
        is_write: bool = False,
        keeps: bool = False,
        preparations_only: bool = False,
    ) -> Reply:
        asked_at = now_s()
        pool.begin_statement()
        if not preparations_only:
            work.has_reached_target = True
        sent = connection.send(data, preparations, asked_at)
        sent.addBoth(_end_statement, pool)
        sent.addTimeout(max(0.01, work.deadline - asked_at), self._reactor)
        role = "primary" if is_write else "any"
        try:
            reply = await sent
        except (TargetConnectionLost, TimeoutError) as error:
            pool.load.record_failure(now_s())
            is_timeout = isinstance(error, TimeoutError)
            self._metrics.attempts.labels(
                role, "timeout" if is_timeout else "lost"
            ).inc()
            if not keeps:
                pool.release(connection)
            if is_write:
                code = FailureCode.OUTCOME_UNKNOWN
            else:
                code = FailureCode.TIMEOUT if is_timeout else FailureCode.FAILED
            detail = "no answer in time" if is_timeout else "the connection was lost"
            raise SessionFailure(code, f"{pool.entry.target_id}: {detail}") from error
        now = now_s()
        result = reply.failure.code.value if reply.failure else "completed"
        self._metrics.attempts.labels(role, result).inc()
        refusal = reply.failure.code if reply.failure else None
        if refusal is FailureCode.OVERLOADED:
            pool.window.on_refused()
        elif refusal is not FailureCode.BEHIND and not preparations_only:
            pool.window.on_answer(now - asked_at)
            pool.load.record(now - asked_at, now)
        if reply.ready.position is not None and reply.failure is None:
            self._lead.observe(
                work.route.service,
                pool.entry.target_id,
                asked_at,
                reply.ready.position,
            )
        if not keeps:
            self._give_back(connection, pool)
        return reply

    async def _acquire_primary(self, work: Work) -> tuple[TargetPool, TargetConnection]:
        service = work.route.service
        while True:
            entry = await self._await_primary(work)
            pool = self._directory.pool(entry)
            try:
                connection = await pool.acquire(
                    work.team, priority=work.route.priority, deadline=work.hold_until
                )
            except SessionFailure:
                if self._lead.may_use(service, entry.target_id):
                    raise
                continue
            if self._lead.may_use(service, entry.target_id):
                return pool, connection
            pool.release(connection)

    async def _await_primary(self, work: Work) -> TargetEntry:
        service = work.route.service
        while True:
            entry = self._lead.primary(service)
            if entry is not None:
                return entry
            remaining_s = min(work.remaining_s, self._lead.move_wait_s(service))
            if remaining_s <= MIN_WAIT_S:
                raise SessionFailure(
                    FailureCode.OVERLOADED,
                    "No primary can be used now.",
                    retry_after_s=RETRY_ADVICE_S,
                )
            changed = self._lead.changed(service)
            changed.addTimeout(remaining_s, self._reactor)
            try:
                await changed
            except TimeoutError:
                continue

    async def _choose(
        self, work: Work, failed: set[str]
    ) -> tuple[TargetEntry, LogPosition | None]:
        now = now_s()
        route = work.route
        primary = self._lead.primary(route.service)
        candidates: list[tuple[float, TargetEntry, LogPosition | None]] = []
        required = None
        if route.consistency is not Consistency.PRIMARY:
            required = self._lead.history(route.service).required_position(
                now=work.began_at, max_age_s=route.max_age_s
            )
        if required is not None:
            if work.session_position is not None:
                required = max(required, work.session_position)
            for entry in self._directory.usable(route.service):
                is_primary = primary is not None and entry == primary
                if is_primary or entry.target_id in failed:
                    continue
                if now < self._behind_until.get(entry.target_id, 0.0):
                    continue
                expected = self._expected_s(entry, work.team, now)
                candidates.append((expected, entry, required))
        if primary is not None and primary.target_id not in failed:
            expected = self._expected_s(primary, work.team, now)
            candidates.append((expected, primary, None))
        if candidates:
            _, entry, after = min(candidates, key=lambda candidate: candidate[0])
            return entry, after
        entry = await self._await_primary(work)
        if entry.target_id in failed:
            raise SessionFailure(FailureCode.OVERLOADED, "Every target failed.")
        return entry, None

    def _expected_s(self, entry: TargetEntry, team: str, now: float) -> float:
        pool = self._directory.pool(entry)
        is_local = entry.zone == self._directory.domain
        expected = pool.load.expected_s(now, is_local=is_local)
        expected += pool.wait_s
        return expected if pool.has_idle(team) else expected + HANDSHAKE_S


def _end_statement(result: Any, pool: TargetPool) -> Any:
    pool.end_statement()
    return result
