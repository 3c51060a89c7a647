"""Open-loop load: arrivals do not wait for answers."""

from __future__ import annotations

import time
from collections import deque
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater

from guavabarrow_cli.balancer import Balancer
from guavabarrow_cli.caller_client import CallerSession, CallResult
from guavabarrow_cli.load_result import LoadResult, TeamResult
from guavabarrow_core.request_id import create_request_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_cli.load_plan import LoadPlan, TeamLoad

TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS load_entry (session TEXT PRIMARY KEY, n INTEGER)"
)
WRITE_SQL = (
    "INSERT INTO load_entry VALUES (?, 1) ON CONFLICT (session) DO UPDATE SET n = n + 1"
)
READ_SQL = "SELECT n FROM load_entry WHERE session = ?"
TICK_S = 0.002


class LoadSession:
    """One session of a team; it runs its arrivals one after the other."""

    def __init__(
        self,
        name: str,
        load: TeamLoad,
        session: CallerSession,
        result: TeamResult,
        *,
        reactor: Any,
        random: Random,
        balancer: Balancer,
    ) -> None:
        self._balancer = balancer
        self.name = name
        self.idle: Deferred[None] | None = None
        self._load = load
        self._session = session
        self._result = result
        self._reactor = reactor
        self._random = random
        self._due: deque[float] = deque()
        self._running = False

    @property
    def backlog(self) -> int:
        """Arrivals that wait for this session."""
        return len(self._due) + self._running

    def arrive(self, due_at: float) -> None:
        """Take an arrival that was due at a time of the reactor's clock."""
        self._result.sent += 1
        self._due.append(due_at)
        if not self._running:
            self._running = True
            Deferred.fromCoroutine(self._run())

    def close(self) -> None:
        """Close the connections."""
        self._session.close()

    async def _run(self) -> None:
        while self._due:
            due_at = self._due.popleft()
            await self._request(due_at)
        self._running = False
        if self.idle is not None:
            self.idle.callback(None)

    async def _request(self, due_at: float) -> None:
        if self._random.random() < self._load.roaming:
            self._session.roam()
        self._session.avoid(self._balancer)
        service = self._random.choice(self._load.services)
        sent_at = self._reactor.seconds()
        if self._random.random() < self._load.reads:
            result = await self._read(service)
        elif self._random.random() < self._load.transactions:
            result = await self._transaction(service)
        else:
            result = await self._write(service)
        now = self._reactor.seconds()
        self._result.record(result.code, due_at=due_at, answered_at=now)
        if result.code not in ("rate_exceeded", "connection_broken"):
            self._result.admitted.append((sent_at, now))

    async def _read(self, service: str) -> CallResult:
        is_aged = self._random.random() < self._load.aged_reads
        max_age_ms = self._load.max_age_ms if is_aged else None
        result = await self._session.read(
            service, READ_SQL, [self.name], max_age_ms=max_age_ms
        )
        if result.is_ok:
            source = result.body["source"]
            counts = self._result.count_by_source
            counts[source] = counts.get(source, 0) + 1
        return result

    async def _write(self, service: str) -> CallResult:
        request_id = create_request_id(time.time())
        result = await self._session.write(
            service, WRITE_SQL, [self.name], request_id=request_id
        )
        if result.is_ok:
            self._result.answered_writes.append((self._reactor.seconds(), service))
        if self._random.random() < self._load.repeats:
            await self._session.write(
                service, WRITE_SQL, [self.name], request_id=request_id
            )
        return result

    async def _transaction(self, service: str) -> CallResult:
        begun = await self._session.post(f"/v1/services/{service}/transactions", {})
        if not begun.is_ok:
            return begun
        path = f"/v1/transactions/{begun.body['transaction_id']}"
        statement = {"sql": WRITE_SQL, "params": [self.name]}
        result = await self._session.post(f"{path}/statements", statement)
        if not result.is_ok:
            return result
        result = await self._session.post(f"{path}/commit", {})
        if result.is_ok:
            self._result.answered_writes.append((self._reactor.seconds(), service))
        return result


class LoadRunner:
    """Runs a plan.

    Parameters
    ----------
    plan : LoadPlan
        What to do.
    reactor : object
        Reactor that owns the sockets.
    on_progress : callable, optional
        Called with the share that is done.
    """

    def __init__(
        self,
        plan: LoadPlan,
        reactor: Any,
        *,
        on_progress: Callable[[float], None] | None = None,
    ) -> None:
        self._plan = plan
        self._reactor = reactor
        self._on_progress = on_progress or (lambda share: None)
        self._random = Random(plan.seed)
        self._sessions: list[LoadSession] = []
        self._balancer = Balancer(reactor, _parse_addresses(plan.addresses))
        self.started: Deferred[None] = Deferred()

    async def run(self) -> LoadResult:
        """Run the plan to its end and wait for the last answers."""
        await self._create_tables()
        results = {load.team: TeamResult(load.team) for load in self._plan.teams}
        self._balancer.start()
        started_at = self._reactor.seconds()
        self.started.callback(None)
        arrivals = [
            Deferred.fromCoroutine(self._arrive(load, results[load.team], started_at))
            for load in self._plan.teams
        ]
        await DeferredList(arrivals, fireOnOneErrback=True)
        await self._finish()
        self._balancer.stop()
        duration_s = self._reactor.seconds() - started_at
        return LoadResult(started_at, duration_s, results)

    async def _create_tables(self) -> None:
        for load in self._plan.teams:
            session = self._session(load)
            for service in load.services:
                await session.write(service, TABLE_SQL)
            session.close()

    async def _arrive(
        self, load: TeamLoad, result: TeamResult, started_at: float
    ) -> None:
        random = Random(f"{self._plan.seed}/{load.team}")
        sessions = [
            LoadSession(
                f"{load.team}-{number}",
                load,
                self._session(load),
                result,
                reactor=self._reactor,
                random=random,
                balancer=self._balancer,
            )
            for number in range(load.sessions)
        ]
        self._sessions += sessions
        due_at = started_at + random.expovariate(load.rate_per_s)
        end_at = started_at + self._plan.duration_s
        while due_at < end_at:
            now = self._reactor.seconds()
            self._on_progress((now - started_at) / self._plan.duration_s)
            if due_at > now:
                await deferLater(self._reactor, max(TICK_S, due_at - now), lambda: None)
                continue
            min(sessions, key=lambda session: session.backlog).arrive(due_at)
            due_at += random.expovariate(load.rate_at(due_at - started_at))

    async def _finish(self) -> None:
        for session in self._sessions:
            if session.backlog:
                session.idle = Deferred()
                await session.idle
            session.close()

    def _session(self, load: TeamLoad) -> CallerSession:
        addresses = _parse_addresses(self._plan.addresses)
        self._random.shuffle(addresses)
        return CallerSession(
            self._reactor,
            addresses,
            key=load.key,
            deadline_s=self._plan.deadline_ms / 1000,
        )


def _parse_addresses(texts: list[str]) -> list[tuple[str, int]]:
    addresses = []
    for text in texts:
        host, _, port = text.rpartition(":")
        addresses.append((host, int(port)))
    return addresses
