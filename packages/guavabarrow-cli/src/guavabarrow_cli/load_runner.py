"""Open-loop load: the arrival rate does not depend on the responses."""

from __future__ import annotations

import time
from collections import deque
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater

from guavabarrow_cli.caller_client import CallerSession, CallResult
from guavabarrow_cli.load_result import LoadResult, TeamResult
from guavabarrow_cli.readiness_poller import ReadinessPoller
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
MIN_DELAY_S = 0.002


class LoadSession:
    """One session of a team; queued requests run one at a time."""

    def __init__(
        self,
        name: str,
        load: TeamLoad,
        client: CallerSession,
        result: TeamResult,
        *,
        reactor: Any,
        random: Random,
        readiness: ReadinessPoller,
    ) -> None:
        self._readiness = readiness
        self.name = name
        self.idle: Deferred[None] | None = None
        self._load = load
        self._client = client
        self._result = result
        self._reactor = reactor
        self._random = random
        self._due_times: deque[float] = deque()
        self._is_running = False

    @property
    def backlog(self) -> int:
        """Requests that are queued or running."""
        return len(self._due_times) + self._is_running

    def enqueue(self, due_at: float) -> None:
        """Queue a request that is scheduled for ``due_at`` of the reactor's clock."""
        self._result.sent += 1
        self._due_times.append(due_at)
        if not self._is_running:
            self._is_running = True
            Deferred.fromCoroutine(self._run())

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _run(self) -> None:
        while self._due_times:
            due_at = self._due_times.popleft()
            await self._request(due_at)
        self._is_running = False
        if self.idle is not None:
            self.idle.callback(None)

    async def _request(self, due_at: float) -> None:
        if self._random.random() < self._load.roaming:
            self._client.roam()
        self._client.select_ready_vm(self._readiness)
        service = self._random.choice(self._load.services)
        sent_at = self._reactor.seconds()
        if self._random.random() < self._load.reads:
            result = await self._read(service)
        elif self._random.random() < self._load.transactions:
            result = await self._transaction(service)
        else:
            result = await self._write(service)
        now = self._reactor.seconds()
        self._result.record(result.code, due_at=due_at, responded_at=now)
        if result.code not in ("rate_exceeded", "connection_broken"):
            self._result.admitted.append((sent_at, now))

    async def _read(self, service: str) -> CallResult:
        is_aged = self._random.random() < self._load.aged_reads
        max_age_ms = self._load.max_age_ms if is_aged else None
        result = await self._client.read(
            service, READ_SQL, [self.name], max_age_ms=max_age_ms
        )
        if result.is_ok:
            source = result.body["source"]
            counts = self._result.count_by_source
            counts[source] = counts.get(source, 0) + 1
        return result

    async def _write(self, service: str) -> CallResult:
        request_id = create_request_id(time.time())
        result = await self._client.write(
            service, WRITE_SQL, [self.name], request_id=request_id
        )
        if result.is_ok:
            self._result.acknowledged_writes.append((self._reactor.seconds(), service))
        if self._random.random() < self._load.repeats:
            await self._client.write(
                service, WRITE_SQL, [self.name], request_id=request_id
            )
        return result

    async def _transaction(self, service: str) -> CallResult:
        transaction = await self._client.post(
            f"/v1/services/{service}/transactions", {}
        )
        if not transaction.is_ok:
            return transaction
        path = f"/v1/transactions/{transaction.body['transaction_id']}"
        statement = {"sql": WRITE_SQL, "params": [self.name]}
        result = await self._client.post(f"{path}/statements", statement)
        if not result.is_ok:
            return result
        result = await self._client.post(f"{path}/commit", {})
        if result.is_ok:
            self._result.acknowledged_writes.append((self._reactor.seconds(), service))
        return result


class LoadRunner:
    """Runs a load plan.

    Parameters
    ----------
    plan : LoadPlan
        Plan to run.
    reactor : object
        Reactor used for the connections.
    on_progress : callable, optional
        Called with the elapsed share of the duration.
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
        self._readiness = ReadinessPoller(reactor, _parse_host_ports(plan.addresses))
        self.started: Deferred[None] = Deferred()

    async def run(self) -> LoadResult:
        """Run the plan and wait for the outstanding responses."""
        await self._create_tables()
        results = {load.team: TeamResult(load.team) for load in self._plan.teams}
        self._readiness.start()
        started_at = self._reactor.seconds()
        self.started.callback(None)
        arrivals = [
            Deferred.fromCoroutine(
                self._generate_arrivals(load, results[load.team], started_at)
            )
            for load in self._plan.teams
        ]
        await DeferredList(arrivals, fireOnOneErrback=True)
        await self._drain_sessions()
        self._readiness.stop()
        duration_s = self._reactor.seconds() - started_at
        return LoadResult(started_at, duration_s, results)

    async def _create_tables(self) -> None:
        for load in self._plan.teams:
            session = self._create_session(load)
            for service in load.services:
                await session.write(service, TABLE_SQL)
            session.close()

    async def _generate_arrivals(
        self, load: TeamLoad, result: TeamResult, started_at: float
    ) -> None:
        random = Random(f"{self._plan.seed}/{load.team}")
        sessions = [
            LoadSession(
                f"{load.team}-{number}",
                load,
                self._create_session(load),
                result,
                reactor=self._reactor,
                random=random,
                readiness=self._readiness,
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
                await deferLater(
                    self._reactor, max(MIN_DELAY_S, due_at - now), lambda: None
                )
                continue
            min(sessions, key=lambda session: session.backlog).enqueue(due_at)
            due_at += random.expovariate(load.rate_at(due_at - started_at))

    async def _drain_sessions(self) -> None:
        for session in self._sessions:
            if session.backlog:
                session.idle = Deferred()
                await session.idle
            session.close()

    def _create_session(self, load: TeamLoad) -> CallerSession:
        addresses = _parse_host_ports(self._plan.addresses)
        self._random.shuffle(addresses)
        return CallerSession(
            self._reactor,
            addresses,
            key=load.key,
            deadline_s=self._plan.deadline_ms / 1000,
        )


def _parse_host_ports(texts: list[str]) -> list[tuple[str, int]]:
    addresses = []
    for text in texts:
        host, _, port = text.rpartition(":")
        addresses.append((host, int(port)))
    return addresses
