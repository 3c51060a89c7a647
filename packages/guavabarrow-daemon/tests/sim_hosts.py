"""Simulated fleet whose VMs run callers' statements by way of service hosts."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

from sim_fleet import SimFleet, SimVm
from sim_platform import SERVICE
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.log_position import LogPosition
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
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.service_hosts import ServiceHosts
from guavabarrow_daemon.front.caller_session import CallerSession, SessionTerminated
from guavabarrow_daemon.front.host_exchange import HostExchange
from guavabarrow_daemon.front.hosted_runner import HostedRunner
from guavabarrow_daemon.front.service_host_service import ServiceHostService
from guavabarrow_daemon.front.session_router import SessionRouter
from guavabarrow_daemon.front.statement_context import OpenTransaction
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

if TYPE_CHECKING:
    from guavabarrow_daemon.targets.session_pool import SessionPool

TIMEOUT_S = 2.0
KIND_BY_WORD = {
    "BEGIN": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
    "SET": StatementKind.SET,
    "PREPARE": StatementKind.PREPARE,
    "EXECUTE": StatementKind.EXECUTE,
}


class FakeRouter(SessionRouter):
    """Runs statements after a delay without targets, and records them.

    Attributes
    ----------
    ran : list of str
        Text of each statement that was run.
    rolled_back, committed : int
        Transactions that ended so.
    contexts : list of StatementContext
        Context of each statement.
    delay_s : float
        Time that each statement takes.
    refusal : Exception or None
        Raised instead of running statements.
    pool : SessionPool or None
        Pool that statements and transactions wait for a connection of.
    waits : bool
        Whether statements wait for a connection until their deadlines and are refused.
    row : str
        Row of each result.
    """

    def __init__(self, kernel, reactor) -> None:
        self.kernel = kernel
        self._reactor = reactor
        self.ran: list[str] = []
        self.contexts: list = []
        self.shapes: list = []
        self.open_count = self.rolled_back = self.committed = 0
        self.delay_s = 0.01
        self.refusal: Exception | None = None
        self.waits = False
        self.pool: SessionPool | None = None
        self.row = "row"

    async def run_read(self, context, statement, shape):
        await self._acquire(context)
        try:
            await self._run(context, statement, shape)
        finally:
            self._release()
        return self._completed(TransactionState.IDLE)

    run_write = run_read

    async def begin(self, context, *, is_read_only):
        await self._acquire(context)
        await deferLater(self._reactor, self.delay_s, lambda: None)
        self.open_count += 1
        pool = SimpleNamespace(entry=SimpleNamespace(target_id="t"))
        return OpenTransaction(None, pool, SERVICE, at_primary=not is_read_only)

    async def run_in_transaction(self, context, transaction, statement, shape):
        assert not transaction.has_ended
        await self._run(context, statement, shape)
        if transaction.has_ended:
            raise SessionError(FailureCode.ABORTED, "the connection was aborted")
        if "bad" in statement.text:
            failed = StatementFailed(FailureCode.ABORTED, "bad")
            return Reply((), failed, SessionReady(TransactionState.FAILED))
        if statement.kind is StatementKind.COMMIT:
            self.committed += 1
            self.end(transaction)
            return self._completed(TransactionState.IDLE)
        return self._completed(TransactionState.OPEN)

    async def roll_back(self, transaction) -> None:
        if not transaction.has_ended:
            self.rolled_back += 1
            self.end(transaction)

    def end(self, transaction) -> None:
        if not transaction.has_ended:
            transaction.has_ended = True
            self.open_count -= 1
            self._release()

    async def _acquire(self, context) -> None:
        if self.pool is not None:
            await context.acquire(self.pool)

    def _release(self) -> None:
        if self.pool is not None:
            self.pool.release(None)

    async def _run(self, context, statement, shape) -> None:
        if self.refusal is not None:
            raise self.refusal
        if self.waits:
            await deferLater(self._reactor, context.remaining_s, lambda: None)
            raise SessionError(FailureCode.OVERLOADED, "no connection became free")
        context.was_sent_to_target = True
        self.ran.append(statement.text)
        self.contexts.append(context)
        self.shapes.append(shape)
        await deferLater(self._reactor, self.delay_s, lambda: None)

    def _completed(self, state: TransactionState) -> Reply:
        ready = SessionReady(state, LogPosition(1, 7))
        return Reply((self.row,), Completed("signed"), ready)


class FakeAdmission:
    """Admits everything and counts the tokens.

    Attributes
    ----------
    configuration : SessionConfiguration
        Configuration in force.
    route : Route or None
        The only route, None once it was withdrawn.
    """

    def __init__(self) -> None:
        self.route: Route | None = Route(
            "db", SERVICE, Consistency.READ_YOUR_WRITES, timeout_s=TIMEOUT_S
        )
        self.rates = self
        self.tokens = 0
        self.drain = None
        self.configuration = SessionConfiguration(1)

    def change(self, route: Route | None) -> None:
        """Put a configuration with another route in force."""
        self.route = route
        self.configuration = SessionConfiguration(self.configuration.version + 1)

    def has_confirmed_orders(self):
        return True

    async def wait_for_orders(self):
        pass

    async def admit(self, team, *, objective_s):
        self.tokens += 1

    def return_token(self, team):
        self.tokens -= 1

    def look_up(self, database, key):
        if self.route is None:
            raise SessionError(FailureCode.UNKNOWN_DATABASE, "unknown database")
        return self.route, "team"

    def is_in_force(self, database, key, route, team):
        return self.route is not None and self.route.runs_like(route)

    def is_withdrawn(self, key, database):
        return False

    def team_of(self, key):
        return "team"

    def record_answer(self, *arguments):
        pass


class Caller:
    """A caller's session at one VM."""

    def __init__(self, vm: SimVm) -> None:
        self.admission = FakeAdmission()
        runner = vm.kernel.find(HostedRunner)
        self.session = CallerSession(self.admission, runner, "db", "key")
        self.answered_at: list[float] = []

    def send(self, text: str) -> list:
        """Send a statement and return the list that its answers will be added to."""
        word, _, rest = text.partition(" ")
        name, _, argument = rest.partition(" ")
        statement = Statement(
            KIND_BY_WORD[word], text, name, argument, writes=word == "WRITE"
        )
        answers: list = []

        def on_answer(result):
            answers.extend(result)
            self.answered_at.append(now_s())

        def on_terminated(failure):
            failure.trap(SessionTerminated)
            on_answer(failure.value.answers)

        running = self.session.handle(StatementRequest("id", statement))
        Deferred.fromCoroutine(running).addCallbacks(on_answer, on_terminated)
        return answers


def outcome(answers: list) -> str:
    """Return ``completed`` or the failure code, empty while there is no answer."""
    for answer in answers:
        if isinstance(answer, Completed):
            return "completed"
        if isinstance(answer, StatementFailed):
            return answer.code.value
    return ""


class HostedFleet(SimFleet):
    """Fleet of four VMs per domain, so that the one service is hosted."""

    def __init__(self, monkeypatch, per_domain: int = 4) -> None:
        super().__init__(monkeypatch, per_domain)
        self.wait_until_serving()
        self.run(2.0)

    def start(self, name: str, host: str = "") -> None:
        super().start(name, host)
        vm = self.vm_by_name[name]
        kernel, reactor = vm.kernel, vm.reactor
        services = [FakeRouter(kernel, reactor)]
        for service in services:
            kernel.register(service)
        for create in (ServiceHosts, HostExchange):
            services.append(create(kernel, reactor))
            kernel.register(services[-1])
        services.append(HostedRunner(kernel))
        kernel.register(services[-1])
        services.append(ServiceHostService(kernel, reactor))
        kernel.register(services[-1])
        for service in services:
            Deferred.fromCoroutine(service.start())

    def find(self, name: str, service):
        """Return a service of a VM."""
        return self.vm_by_name[name].kernel.find(service)

    def router(self, name: str) -> FakeRouter:
        """Return the fake router of a VM."""
        return self.find(name, SessionRouter)

    def host(self, name: str = "east-3") -> str:
        """Return the host that a VM selects, itself included."""
        return self.find(name, ServiceHosts).host_of(SERVICE) or name

    def caller(self, name: str = "east-3") -> Caller:
        """Connect a caller to a VM."""
        return Caller(self.vm_by_name[name])

    def execute(self, caller: Caller, text: str) -> str:
        """Run a statement until it is answered and return its outcome."""
        answers = caller.send(text)
        self.run_until(lambda: bool(answers), TIMEOUT_S + 0.1)
        return outcome(answers)

    def counted(self, name: str, counter: str, **labels: str) -> float:
        """Return the value of a counter of a VM."""
        registry = self.find(name, SessionMetrics).registry
        return registry.get_sample_value(f"guavabarrow_{counter}_total", labels) or 0.0

    def cut_link(self, name: str, other: str) -> None:
        """Reset the connection between two VMs once."""
        self.find(name, PeerLinks)._link_by_vm[other].transport.abortConnection()
