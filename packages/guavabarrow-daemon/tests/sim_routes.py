"""One VM with two services, whose waiting statements a test holds and releases."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.freshness import Observation, PrimaryHistory
from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.service_host import NOT_HOSTED
from guavabarrow_core.session_configuration import (
    Consistency,
    Route,
    SessionConfiguration,
)
from guavabarrow_core.session_messages import (
    Completed,
    FailureCode,
    Reply,
    SessionReady,
    Statement,
    StatementFailed,
    StatementKind,
    StatementRequest,
    TransactionState,
)
from guavabarrow_core.target_directory import TargetDirectory, TargetEntry
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.rate_service import RateService
from guavabarrow_daemon.front.caller_session import CallerSession, SessionTerminated
from guavabarrow_daemon.front.session_admission import SessionAdmission
from guavabarrow_daemon.front.session_router import SessionRouter
from guavabarrow_daemon.front.target_chooser import TargetChooser
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.session_pool import SessionPool

DATABASE, KEY = "db", "key"
KIND_BY_WORD = {
    "BEGIN": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
}
TIMEOUT_S = 30.0
"""Longer than any test takes; time passes only for the clock of the reactor."""


class FakeFleet(FleetService):
    """Holds the configuration in force."""

    configuration: SessionConfiguration | None = None

    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.waiting: list[Deferred[None]] = []
        self.orders = SimpleNamespace(
            is_confirmed=lambda: True, when_confirmed=self._wait, configuration=object()
        )

    def _wait(self) -> Deferred[None]:
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def table_age_s(self) -> float:
        return 0.0


class FakeRates(RateService):
    """Grants tokens at once or when the test says so, and counts those in use."""

    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.is_held = False
        self.waiting: list[Deferred[None]] = []
        self.tokens_by_team: Counter[str] = Counter()

    async def admit(self, team: str, *, objective_s: float = 0.0) -> None:
        if self.is_held:
            self.waiting.append(Deferred())
            await self.waiting[-1]
        self.tokens_by_team[team] += 1

    def return_token(self, team: str) -> None:
        self.tokens_by_team[team] -= 1

    def refuse(self) -> None:
        """Refuse the waiting operations, as above the rate of their team."""
        self.is_held = False
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            waiter.errback(SessionError(FailureCode.OVERLOADED, "above its rate"))

    def release(self) -> None:
        self.is_held = False
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            waiter.callback(None)


class FakePrimaries(PrimaryService):
    """Primaries that the test replaces."""

    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.entry_by_service: dict[str, TargetEntry] = {}
        self.waiting: list[Deferred[None]] = []
        self.log = PrimaryHistory()
        self.log.record(Observation(now_s(), LogPosition(1, 5)))

    def primary(self, service: str) -> TargetEntry | None:
        return self.entry_by_service.get(service)

    def may_use(self, service: str, target_id: str) -> bool:
        entry = self.primary(service)
        return entry is not None and entry.target_id == target_id

    may_accept_answer = may_use

    def history(self, service: str) -> PrimaryHistory:
        return self.log

    def replacement_wait_s(self, service: str) -> float:
        return TIMEOUT_S

    def when_changed(self, service: str) -> Deferred[None]:
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def begin_work(self, service: str) -> None:
        pass

    def end_work(self, service: str) -> None:
        pass

    def settle(self, entry: TargetEntry) -> None:
        self.entry_by_service[entry.service] = entry
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            waiter.callback(None)


class FakeConnection:
    """Connection without a socket."""

    is_open, has_pending, state = True, False, TransactionState.IDLE

    def send(self, data: bytes, restore_count: int, at: float) -> Deferred[None]:
        return succeed(None)


class FakePool(SessionPool):
    """Pool whose connections are free at once or when the test says so."""

    def __init__(self, entry: TargetEntry) -> None:
        super().__init__(
            entry,
            lambda: None,
            Clock(),
            on_evidence=lambda target_id, evidence: None,
            count_handshake=lambda result: None,
        )
        self.is_held = False
        self.acquiring: list[Deferred[FakeConnection]] = []
        self.in_use = 0

    async def acquire(self, team: str, **options: object) -> FakeConnection:
        if self.is_held:
            self.acquiring.append(Deferred())
            await self.acquiring[-1]
        self.in_use += 1
        return FakeConnection()

    def release(self, connection: FakeConnection) -> None:
        self.in_use -= 1

    def serve(self) -> None:
        self.is_held = False
        acquiring, self.acquiring = self.acquiring, []
        for waiter in acquiring:
            waiter.callback(None)

    def serve_first(self) -> None:
        """Serve the first waiting statement; others go on waiting."""
        self.acquiring.pop(0).callback(None)

    def refuse(self) -> None:
        """Refuse the waiting statements, as at their deadline."""
        self.is_held = False
        acquiring, self.acquiring = self.acquiring, []
        for waiter in acquiring:
            waiter.errback(SessionError(FailureCode.OVERLOADED, "no connection"))


class FakeDirectory(DirectoryService):
    """Two services with a primary and a replica each."""

    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.domain = "d0"
        self.host_plan_of = lambda service: NOT_HOSTED
        self.directory = TargetDirectory()
        entries = [
            TargetEntry(
                f"{service}-{n}", service, f"d{n}", "10.0.0.1", n, False, n == 0, 5
            )
            for service in ("orders", "stock")
            for n in range(2)
        ]
        self.directory.apply_listing(entries, now_s())
        self.pool_by_id = {entry.target_id: FakePool(entry) for entry in entries}

    def create_codec(self):
        return SimpleNamespace(
            encode_statement=lambda request_id, statement, **options: (
                statement.text.encode()
            )
        )

    def is_usable(self, target_id: str) -> bool:
        return True

    def usable_targets(self, service: str) -> list[TargetEntry]:
        return self.directory.of_service(service)

    def evacuated_s(self, target_id: str) -> float:
        return 0.0


@dataclass(frozen=True)
class Sent:
    """A statement that was sent to a target."""

    service: str
    team: str
    text: str
    position: LogPosition | None = None


class FakeExchange(TargetExchange):
    """Records what is sent to targets, and answers at once unless a reply is held."""

    def __init__(self, kernel: Kernel) -> None:
        Service.__init__(self, kernel)
        self.sent: list[Sent] = []
        self.failures: list[FailureCode] = []
        self.holds_begin = False
        self.replies: list[Deferred[None]] = []

    def restore_session(self, context, connection, shape):
        return b"", 0

    async def run(
        self,
        context,
        connection,
        pool,
        data,
        restore_count,
        *,
        keep_connection=False,
        setup_only=False,
        **options,
    ) -> Reply:
        text = data.decode()
        sent = Sent(pool.entry.service, context.team, text, context.session_position)
        if not setup_only:
            context.was_sent_to_target = True
            self.sent.append(sent)
        if setup_only and self.holds_begin:
            self.holds_begin = False
            self.replies.append(Deferred())
            await self.replies[-1]
        if not keep_connection:
            pool.release(connection)
        is_open = keep_connection and text != "COMMIT"
        state = TransactionState.OPEN if is_open else TransactionState.IDLE
        ready = SessionReady(state, LogPosition(3, 7))
        if self.failures:
            failed = StatementFailed(self.failures.pop(0))
            return Reply((), failed, SessionReady(TransactionState.IDLE))
        return Reply((), Completed("signed"), ready)

    def release_connection(self, connection, pool) -> None:
        pool.release(connection)


def configuration(
    service: str = "orders",
    team: str = "a",
    consistency: Consistency = Consistency.PRIMARY,
    *,
    version: int = 2,
    timeout_s: float = TIMEOUT_S,
) -> SessionConfiguration:
    """Return a configuration with one route and one key; an empty name has neither."""
    route = Route(DATABASE, service, consistency, max_age_s=5.0, timeout_s=timeout_s)
    return SessionConfiguration(
        version,
        route_by_database={DATABASE: route} if service else {},
        team_by_key={KEY: team} if team else {},
    )


class RoutedVm:
    """One caller's session at one VM, with the services that its statements use."""

    def __init__(self, consistency: Consistency = Consistency.PRIMARY) -> None:
        kernel = Kernel()
        self.clock = Clock()
        self.fleet = FakeFleet(kernel)
        self.rates = FakeRates(kernel)
        self.directory = FakeDirectory(kernel)
        self.primaries = FakePrimaries(kernel)
        self.exchange = FakeExchange(kernel)
        for service in (
            self.fleet,
            self.rates,
            self.directory,
            self.primaries,
            self.exchange,
            SessionMetrics(kernel),
        ):
            kernel.register(service)
        kernel.register(TargetChooser(kernel, self.clock))
        kernel.register(SessionAdmission(kernel))
        kernel.register(SessionRouter(kernel, self.clock))
        for service in ("orders", "stock"):
            self.primaries.settle(self.entry(service))
        self.fleet.configuration = configuration(consistency=consistency, version=1)
        self.session = CallerSession(
            kernel.find(SessionAdmission), kernel.find(SessionRouter), DATABASE, KEY
        )

    def entry(self, service: str) -> TargetEntry:
        return self.directory.entry(f"{service}-0")

    def pool(self, target_id: str) -> FakePool:
        return self.directory.pool_by_id[target_id]

    def send(self, text: str) -> list:
        """Send a statement and return the list that its outcome will be added to."""
        word, _, rest = text.partition(" ")
        kind = KIND_BY_WORD[word]
        if text == "BEGIN READ":
            kind = StatementKind.BEGIN_READ_ONLY
        statement = Statement(kind, text, rest, writes=word == "WRITE")
        outcomes: list = []
        running = self.session.handle(StatementRequest("id", statement))

        def on_answers(answers: list) -> None:
            outcomes.append(_outcome(answers))

        def on_terminated(failure) -> None:
            failure.trap(SessionTerminated)
            outcomes.append(f"closed: {_outcome(failure.value.answers)}")

        Deferred.fromCoroutine(running).addCallbacks(on_answers, on_terminated)
        return outcomes

    def held_resources(self) -> tuple[int, dict[str, int]]:
        """Return the connections in use, and the tokens in use by team."""
        in_use = sum(pool.in_use for pool in self.directory.pool_by_id.values())
        return in_use, {team: n for team, n in self.rates.tokens_by_team.items() if n}


def _outcome(answers: list) -> str:
    failed = [a.code.value for a in answers if isinstance(a, StatementFailed)]
    return failed[0] if failed else "completed"
