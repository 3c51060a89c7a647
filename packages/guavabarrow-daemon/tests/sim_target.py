"""A target with few slots and the pools of its hosts under virtual time."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from guavabarrow_core.connection_budget import divide_connections
from guavabarrow_core.service_host import HostPlan
from guavabarrow_core.session_messages import FailureCode
from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_daemon.targets import pool_serving, session_connection, session_pool
from guavabarrow_daemon.targets.interface import TargetRefused
from guavabarrow_daemon.targets.session_pool import SessionPool

ENTRY = TargetEntry("t1", "orders", "north", "10.0.0.1", 80, False, True)
HANDSHAKE_S = 0.012
CROSSING_S = 0.0005
LOST_POWER_S = 3.0
TRIM_INTERVAL_S = 0.25


@dataclass(eq=False)
class SimConnection:
    """Open connection of one team."""

    target: SimTarget
    team: str
    is_open: bool = True
    has_pending: bool = False
    idle_since: float = 0.0

    def set_on_lost(self, callback) -> None:
        self.on_lost = callback

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.target.clock.callLater(CROSSING_S, self._lost)

    abort = close

    def _lost(self) -> None:
        self.target.counted -= 1
        self.on_lost()


@dataclass
class SimTarget:
    """Target that serves statements and handshakes in order of arrival."""

    slots: int = 5
    max_connections: int = 56
    clock: Clock = field(default_factory=Clock)
    counted: int = 0
    refused: int = 0
    opened: int = 0
    most_opening: int = 0
    _opening: int = 0
    _busy: int = 0
    _jobs: deque = field(default_factory=deque)

    def run(self, work_s: float) -> Deferred:
        done: Deferred = Deferred()
        self._jobs.append((work_s, done))
        self._start_jobs()
        return done

    async def connect(self, host, port, message) -> SimConnection:
        self._opening += 1
        self.most_opening = max(self.most_opening, self._opening)
        await self.run(HANDSHAKE_S + 2 * CROSSING_S)
        self._opening -= 1
        if self.counted >= self.max_connections:
            self.refused += 1
            raise TargetRefused(FailureCode.TOO_MANY_CONNECTIONS.value)
        self.counted += 1
        self.opened += 1
        return SimConnection(self, message.principal)

    def run_until(self, end_s: float) -> None:
        """Process all events up to a time, each at its own."""
        while self.clock.calls and self.clock.calls[0].getTime() <= end_s:
            delay_s = self.clock.calls[0].getTime() - self.clock.seconds()
            self.clock.advance(max(0.0, delay_s))
        self.clock.advance(max(0.0, end_s - self.clock.seconds()))

    def _start_jobs(self) -> None:
        while self._jobs and self._busy < self.slots:
            work_s, done = self._jobs.popleft()
            self._busy += 1
            self.clock.callLater(work_s, self._finish, done)

    def _finish(self, done: Deferred) -> None:
        self._busy -= 1
        done.callback(None)
        self._start_jobs()


@dataclass(frozen=True)
class RouteLoad:
    """Load of one route."""

    rate: float
    work_s: float
    priority: int
    objective_s: float
    timeout_s: float
    teams: tuple[str, ...] = tuple(f"team-{number}" for number in range(71))
    zipf: float = 1.2


@dataclass
class Result:
    """An operation that was answered or refused."""

    route: RouteLoad
    team: str
    began_at: float
    latency_s: float | None = None
    retry_after_s: float | None = None

    @property
    def is_on_time(self) -> bool:
        return self.latency_s is not None and self.latency_s <= self.route.objective_s


class SimHosts:
    """Pools of the hosts of a service, all for the same target."""

    def __init__(self, monkeypatch, target: SimTarget, *, hosts: int = 3, seed=1):
        self.target = target
        self.clock = target.clock
        for module in (session_pool, pool_serving, session_connection):
            monkeypatch.setattr(module, "now_s", self.clock.seconds)
        self.random = random.Random(seed)
        self.results: list[Result] = []
        self.pools = [self.create_pool(hosts) for _ in range(hosts)]
        self._trim()

    def create_pool(self, hosts: int) -> SessionPool:
        pool = SessionPool(
            ENTRY,
            self.target,
            self.clock,
            on_evidence=lambda target_id, evidence: None,
            count_handshake=lambda result: None,
        )
        plan = HostPlan(is_hosted=True, is_host=True, host_count=hosts)
        pool.set_limits(divide_connections(self.target.max_connections, 58, plan))
        return pool

    def load(self, route: RouteLoad, begin_s: float, end_s: float) -> None:
        """Schedule the operations of a route."""
        weights = [(rank + 1) ** -route.zipf for rank in range(len(route.teams))]

        def arrive() -> None:
            if self.clock.seconds() >= end_s:
                return
            (team,) = self.random.choices(route.teams, weights)
            self.clock.callLater(self.random.expovariate(route.rate), arrive)
            self.operate(route, team)

        self.clock.callLater(begin_s - self.clock.seconds(), arrive)

    def operate(self, route: RouteLoad, team: str) -> None:
        pool = self.random.choice(self.pools)
        now = self.clock.seconds()
        result = Result(route, team, now)
        self.results.append(result)
        acquired = pool.acquire(
            team,
            priority=route.priority,
            deadline=now + 0.4 * route.timeout_s,
            objective_s=route.objective_s,
        )
        acquired.addCallbacks(self._run, self._refused, (pool, result), None, (result,))

    def _run(self, connection, pool: SessionPool, result: Result) -> None:
        sent_at = self.clock.seconds()
        pool.begin_statement()
        work_s = self.random.expovariate(1.0 / result.route.work_s)
        done = self.target.run(work_s + 2 * CROSSING_S)
        done.addCallback(self._answered, connection, pool, result, sent_at)

    def _answered(self, _, connection, pool, result, sent_at) -> None:
        now = self.clock.seconds()
        result.latency_s = now - result.began_at
        pool.window.on_answer(now - sent_at)
        pool.load.record(now - sent_at, now)
        pool.end_statement()
        pool.release(connection)

    @staticmethod
    def _refused(failure, result: Result) -> None:
        result.retry_after_s = failure.value.retry_after_s

    def _trim(self) -> None:
        for pool in self.pools:
            pool.trim()
        self.clock.callLater(TRIM_INTERVAL_S, self._trim)

    def of(self, route: RouteLoad, begin_s=0.0, end_s=1e9) -> list[Result]:
        """Return the results of a route's operations of some time."""
        return [
            r
            for r in self.results
            if r.route == route and begin_s <= r.began_at < end_s
        ]


def on_time(results: list[Result]) -> float:
    """Return the fraction of operations that met their objective."""
    return sum(result.is_on_time for result in results) / len(results)
