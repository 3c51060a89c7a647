"""In-memory platform and targets in virtual time, with injected faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import numpy as np
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.operator_rows import TableRow
from guavabarrow_core.session_configuration import (
    Route,
    ServiceLimits,
    SessionConfiguration,
)
from guavabarrow_core.session_messages import TargetStatus
from guavabarrow_core.store_position import StorePosition
from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_daemon.decoding import UndecodableValue
from guavabarrow_daemon.store.exceptions import HistoryDropped, StoreUnavailable
from guavabarrow_daemon.store.watched_table import (
    DirectorySource,
    Evacuation,
    OperatorSource,
    PromotionAuthority,
    PromotionRefused,
    PromotionWithdrawn,
    TableReadResult,
    TableWriteResult,
    TargetListing,
    WatchedTable,
)
from guavabarrow_daemon.targets.interface import TargetUnreachable
from guavabarrow_daemon.targets.target_admin_client import StatusRound

if TYPE_CHECKING:
    from collections.abc import Callable

    from sim_network import SimNetwork, SimReactor

CALL_LATENCY_S = 0.004
BASE64_GROWTH = 4 / 3
CALL_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.02
PROMOTION_DELAY_S = 0.3
STORE_HOST = "store"
RENEWAL_INTERVAL_S = 1.2
ENTRY_TTL_S = 2.0
SERVICE = "orders"
CONFIGURATION_KEY = "configuration"
EVACUATION_PREFIX = "evacuate/"
UNREADABLE = b"\xff"
"""First byte of a configuration that can't be decoded."""


class SimStore:
    """A table of the platform's store.

    Attributes
    ----------
    unreachable_from : set of str
        Hosts whose calls are not answered.
    write_delay_s : float
        Delay after which writes take effect while their callers time out, 0 for none.
    drops_write_replies : bool
        Whether writes take effect but their answers are lost.
    extra_latency_s : float
        Additional duration of each call.
    compacted_version : int
        Changes up to this version are dropped from the history.
    refused_from : set of str
        Hosts whose calls are rejected immediately.
    silent_watches_from : set of str
        Hosts whose watches are not answered, while other calls are.
    watch_delay_s_by_host : dict of str to float
        Delay of the answers to a host's watches, in s.
    team_by_key : dict of str to str
        Teams of the configurations in this table.
    route_by_database : dict of str to Route
        Routes of the configurations in this table.
    sync_replicas : int
        Synchronous replicas of the service in the configurations in this table.
    era : int
        Number of returns from an older copy, and the era at the start.
    clock_offset_s : float
        What the store's clock is ahead of the simulation's.
    calls : int
        Calls so far.
    """

    def __init__(self, network: SimNetwork, era: int = 0) -> None:
        self.network = network
        self.row_by_key: dict[str, TableRow] = {}
        self.version = 1
        self.era = era
        self.clock_offset_s = 0.0
        self.calls = 0
        self.newest_configuration = 0
        self._history: list[tuple[float, TableRow]] = []
        self.unreachable_from: set[str] = set()
        self.write_delay_s = 0.0
        self.drops_write_replies = False
        self.extra_latency_s = 0.0
        self.compacted_version = 0
        self.refused_from: set[str] = set()
        self.silent_watches_from: set[str] = set()
        self.watch_delay_s_by_host: dict[str, float] = {}
        self.team_by_key: dict[str, str] = {}
        self.route_by_database: dict[str, Route] = {}
        self.sync_replicas = 0

    def is_reachable_from(self, host: str) -> bool:
        """Return whether calls of a host are answered."""
        is_blocked = self.network.is_blocked
        return not (
            host in self.unreachable_from
            or is_blocked(host, STORE_HOST)
            or is_blocked(STORE_HOST, host)
        )

    def apply(self, key: str, value: bytes | None, expected: int) -> TableWriteResult:
        """Write a row if its current version is the expected one."""
        row = self.row_by_key.get(key)
        current = row.version if row is not None and row.value is not None else 0
        is_applied = current == StorePosition(expected).version
        if is_applied:
            self.version += 1
            row = self.row_by_key[key] = TableRow(key, value, self.version)
            self._history.append((self.network.now, row))
        return TableWriteResult(is_applied, self.position, self.store_s)

    @property
    def position(self) -> StorePosition:
        """Newest position; versions alone in a store without eras."""
        return StorePosition.at(self.era, self.version)

    @property
    def store_s(self) -> float:
        """Time on the store's clock."""
        return self.network.now + self.clock_offset_s

    def return_older(self, age_s: float) -> None:
        """Return from a copy of some time ago; versions are given out again."""
        until = self.network.now - age_s
        self._history = [(at, row) for at, row in self._history if at <= until]
        self.row_by_key = {row.key: row for _, row in self._history}
        self.version = max((row.version for _, row in self._history), default=1)
        self.compacted_version = min(self.compacted_version, self.version)
        self.era += 1

    def drop_history(self) -> None:
        """Forget all changes so far, and which rows were deleted."""
        self.compacted_version = self.version
        for key, row in list(self.row_by_key.items()):
            if row.value is None:
                del self.row_by_key[key]

    def read_after(self, after: int, *, with_deleted: bool) -> TableReadResult:
        """Return the rows that changed after a version."""
        rows = [
            TableRow(row.key, row.value, StorePosition.at(self.era, row.version))
            for row in self.row_by_key.values()
            if row.version > after and (with_deleted or row.value is not None)
        ]
        return TableReadResult(rows, self.position, self.store_s)


class SimTable(WatchedTable):
    """A VM's client of a table."""

    def __init__(self, store: SimStore, reactor: SimReactor) -> None:
        self._store = store
        self._reactor = reactor

    async def read(self) -> TableReadResult:
        """Read all rows."""
        await self._send_request()
        return await self._receive_answer(self._store.read_after(0, with_deleted=False))

    async def watch(self, after: int, wait_s: float) -> TableReadResult:
        """Wait for changes; the store answers also while the VM is suspended."""
        host = self._reactor.host
        store = self._store
        after = StorePosition(after).version
        await self._send_request()
        clock = store.network.reactor_by_host[STORE_HOST]
        until = clock.seconds() + wait_s
        is_kept = after >= store.compacted_version
        while is_kept and store.version <= after and clock.seconds() < until:
            await deferLater(clock, POLL_INTERVAL_S, lambda: None)
        if host in store.silent_watches_from:
            await self._pause(until + CALL_TIMEOUT_S - clock.seconds())
            raise StoreUnavailable("no answer", is_not_applied=False)
        if not store.compacted_version <= after <= store.version:
            raise HistoryDropped
        reading = store.read_after(after, with_deleted=True)
        delay_s = store.watch_delay_s_by_host.get(host, 0.0)
        return await self._receive_answer(reading, delay_s)

    async def write(
        self, key: str, value: bytes | None, expected: int
    ) -> TableWriteResult:
        """Write a row."""
        store = self._store
        if store.write_delay_s > 0.0:
            clock = store.network.reactor_by_host[STORE_HOST]
            clock.callLater(store.write_delay_s, store.apply, key, value, expected)
            await self._pause(CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer", is_not_applied=False)
        await self._send_request()
        written = store.apply(key, value, expected)
        if store.drops_write_replies:
            await self._pause(CALL_TIMEOUT_S)
            raise StoreUnavailable("the answer was lost", is_not_applied=False)
        return await self._receive_answer(written)

    async def _send_request(self) -> None:
        self._store.calls += 1
        if not self._store.is_reachable_from(self._reactor.host):
            await self._pause(CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer", is_not_applied=True)
        await self._pause(CALL_LATENCY_S / 2 + self._store.extra_latency_s)
        if self._reactor.host in self._store.refused_from:
            raise StoreUnavailable("rejected", is_not_applied=True)

    async def _receive_answer(self, answer: Any, delay_s: float = 0.0) -> Any:
        rows = answer.rows if isinstance(answer, TableReadResult) else []
        size = 200 + sum(len(row.value or b"") for row in rows) * BASE64_GROWTH
        host = self._reactor.host
        network = self._store.network
        transfer_s = network.transfer_s(STORE_HOST, host, int(size))
        delay_s += CALL_LATENCY_S / 2 + transfer_s
        delay_s += network.arrival_delay_s(STORE_HOST, host)
        was_suspended = host in network.suspended
        await self._pause(delay_s)
        if not was_suspended and not self._store.is_reachable_from(host):
            raise StoreUnavailable("no answer", is_not_applied=False)
        return answer

    async def _pause(self, duration_s: float) -> None:
        await deferLater(self._reactor, duration_s, lambda: None)


class SimOrders(OperatorSource):
    """The operators' table: a configuration of a given size, and evacuations."""

    def __init__(self, store: SimStore, reactor: SimReactor) -> None:
        self._store = store
        self._table = SimTable(store, reactor)

    async def read(self) -> TableReadResult:
        """Read the whole table."""
        return await self._table.read()

    async def watch(self, after: int, wait_s: float) -> TableReadResult:
        """Wait for changes."""
        return await self._table.watch(after, wait_s)

    def decode(self, row: TableRow) -> SessionConfiguration | Evacuation | None:
        """Decode a row; a configuration begins with its version."""
        if row.key.startswith(EVACUATION_PREFIX):
            return Evacuation(row.key.removeprefix(EVACUATION_PREFIX))
        if row.value is None or row.value[:1] == UNREADABLE:
            raise UndecodableValue("not a configuration")
        limits = {SERVICE: ServiceLimits(sync_replicas=self._store.sync_replicas)}
        return SessionConfiguration(
            int(row.value.split(b"\n", 1)[0]),
            limits_by_service=limits,
            team_by_key=self._store.team_by_key,
            route_by_database=self._store.route_by_database,
        )


def publish_configuration(store: SimStore, size: int = 100) -> int:
    """Write the next configuration and return its version."""
    version = max(store.newest_configuration, store.version) + 1
    store.newest_configuration = version
    routes = (f"route-{number} to service-{number % 7}" for number in range(size // 20))
    _replace_row(store, CONFIGURATION_KEY, "\n".join([str(version), *routes]).encode())
    return version


def publish_unreadable_configuration(store: SimStore, size: int = 100) -> int:
    """Write a configuration that no VM can decode and return its row's version."""
    content = np.random.default_rng(0).bytes(size)
    return _replace_row(store, CONFIGURATION_KEY, UNREADABLE + content)


def evacuate(store: SimStore, domain: str) -> int:
    """Evacuate a failure domain and return the version of its row."""
    return _replace_row(store, EVACUATION_PREFIX + domain, b"{}")


def lift_evacuation(store: SimStore, domain: str) -> int:
    """Lift an evacuation and return the version of its deletion."""
    return _replace_row(store, EVACUATION_PREFIX + domain, None)


def _replace_row(store: SimStore, key: str, value: bytes | None) -> int:
    row = store.row_by_key.get(key)
    expected = row.version if row is not None and row.value is not None else 0
    return store.apply(key, value, expected).version.version


def write_again(store: SimStore, value_by_key: dict[str, bytes | None]) -> None:
    """Write rows again that the store has lost."""
    for key, value in value_by_key.items():
        _replace_row(store, key, value)


@dataclass
class SimTarget:
    """A target of the group."""

    target_id: str
    domain: str
    host: str
    is_primary: bool
    term: int = 1
    primary_term: int = 0
    is_alive: bool = True
    renewed_at: float = 0.0
    is_unregistered: bool = False
    is_draining: bool = False
    is_deaf: bool = False
    received: int = 1
    born_ms: int = 0

    @property
    def position(self) -> LogPosition | None:
        """End of its log, None if it holds nothing."""
        return LogPosition(1, self.received) if self.received else None

    @property
    def is_listed_as_primary(self) -> bool:
        """Role in the target's entry."""
        return self.is_primary


@dataclass
class SimGroup:
    """A service of three targets, and the promotions that were requested.

    Attributes
    ----------
    connect_s : float
        Time that connecting to the service that promotes takes.
    acknowledged : int
        End of the commits that a replica has received as well.
    lost : list of str
        Ids of targets that were promoted without all acknowledged commits.
    status_rounds : int
        Times that VMs have asked targets for their status.
    """

    network: SimNetwork
    store: SimStore
    targets: list[SimTarget]
    promotion_calls: list[tuple[str, int]] = field(default_factory=list)
    connect_s: float = 0.0
    acknowledged: int = 1
    lost: list[str] = field(default_factory=list)
    status_rounds: int = 0

    def commit(self) -> None:
        """Commit at the leader; replicas that are alive and not deaf receive it."""
        leader = self.leader
        if not (leader.is_alive and leader.is_primary):
            return
        leader.received += 1
        for target in self.targets:
            if target is not leader and target.is_alive and not target.is_deaf:
                target.received = leader.received
                self.acknowledged = leader.received

    @property
    def leader(self) -> SimTarget:
        """Target that most recently became the primary, by its term."""
        return max(
            (t for t in self.targets if t.primary_term), key=lambda t: t.primary_term
        )

    def running_at(self, host: str) -> SimTarget | None:
        """Return the target whose process runs on a host, None if there is none."""
        running = (t for t in self.targets if t.is_alive and t.host == host)
        return next(running, None)

    def last_renewal(self, target: SimTarget) -> float:
        """Return when a target last renewed its entry."""
        is_blocked = self.network.is_blocked
        if (
            target.is_alive
            and not target.is_unregistered
            and not (
                is_blocked(target.host, STORE_HOST)
                or is_blocked(STORE_HOST, target.host)
            )
        ):
            target.renewed_at = self.network.now - self.network.now % RENEWAL_INTERVAL_S
        return target.renewed_at

    def crash(self, target: SimTarget) -> None:
        """End a target's process."""
        target.is_alive = False

    def restart(self, target: SimTarget) -> None:
        """Start a target again; it becomes a replica unless it is the leader."""
        target.is_alive = True
        if self.leader is not target:
            target.is_primary = False

    def complete_promotion(self, target: SimTarget) -> None:
        """Make a target the primary of a new term, unless it is down."""
        if not target.is_alive or target is self.leader:
            return
        if target.received < self.acknowledged:
            self.lost.append(target.target_id)
        target.is_primary = True
        target.term = target.primary_term = max(t.term for t in self.targets) + 1


class SimDirectory(DirectorySource):
    """List of registered targets; entries expire with a delay."""

    def __init__(self, group: SimGroup, reactor: SimReactor) -> None:
        self._group = group
        self._table = SimTable(group.store, reactor)
        self._reactor = reactor

    async def read(self) -> TargetListing:
        """Return the entries."""
        reading = await self._table.read()
        now = self._reactor.network.now
        hosts = list(dict.fromkeys(target.host for target in self._group.targets))
        entries = [
            TargetEntry(
                target.target_id,
                SERVICE,
                target.domain,
                f"10.0.0.{1 + hosts.index(target.host)}",
                1,
                target.is_draining,
                target.is_listed_as_primary,
                born_ms=target.born_ms,
            )
            for target in self._group.targets
            if now - self._group.last_renewal(target) < ENTRY_TTL_S
        ]
        return TargetListing(entries, [], reading.version.era)


class SimAuthority(PromotionAuthority):
    """Promotes targets; answers before the promotion takes effect."""

    def __init__(self, group: SimGroup, reactor: SimReactor) -> None:
        self._group = group
        self._reactor = reactor

    async def promote(
        self,
        service: str,
        target_id: str,
        *,
        holder: str,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> None:
        """Request a promotion."""
        group = self._group
        target = next(t for t in group.targets if t.target_id == target_id)
        await deferLater(self._reactor, group.connect_s, lambda: None)
        if not may_send():
            raise PromotionWithdrawn(target_id)
        await deferLater(self._reactor, CALL_LATENCY_S, lambda: None)
        group.promotion_calls.append((holder, fencing_token))
        if not target.is_alive:
            raise PromotionRefused(target_id)
        clock = group.network.reactor_by_host[STORE_HOST]
        clock.callLater(PROMOTION_DELAY_S, group.complete_promotion, target)


class SimTargetAdminClient:
    """Queries to targets, without real connections."""

    def __init__(self, group: SimGroup, reactor: SimReactor) -> None:
        self._group = group
        self._reactor = reactor

    def can_reach(self, target: SimTarget) -> bool:
        """Return whether this VM can reach a target."""
        is_blocked = self._group.network.is_blocked
        own_host = self._reactor.host
        return not (
            is_blocked(own_host, target.host) or is_blocked(target.host, own_host)
        )

    async def open_connection(self, entry: TargetEntry) -> Any:
        """Open a connection."""
        target = self._find(entry)
        await deferLater(self._reactor, CALL_LATENCY_S, lambda: None)
        if not self.can_reach(target):
            await deferLater(self._reactor, 0.35, lambda: None)
            raise TargetUnreachable("silent")
        if not target.is_alive:
            successor = self._group.running_at(target.host)
            if successor is not None and self.can_reach(successor):
                raise TargetUnreachable("wrong_target", is_replaced=True)
            raise TargetUnreachable("refused", is_refused=True)
        return _Connection()

    async def status(self, entry: TargetEntry) -> TargetStatus | None:
        """Return the role, term and log position of a target, None if unreachable."""
        return (await self.ask([entry])).status_by_id.get(entry.target_id)

    async def statuses(self, entries: list[TargetEntry]) -> dict[str, TargetStatus]:
        """Return the statuses of the targets that answer."""
        return (await self.ask(entries)).status_by_id

    async def ask(self, entries: list[TargetEntry]) -> StatusRound:
        """Ask all targets at the same time."""
        self._group.status_rounds += 1
        answers = StatusRound(self._group.network.now, entries)
        asked = [Deferred.fromCoroutine(self._ask(e, answers)) for e in entries]
        await DeferredList(asked)
        return answers

    async def _ask(self, entry: TargetEntry, answers: StatusRound) -> None:
        target_id = entry.target_id
        try:
            await self.open_connection(entry)
        except TargetUnreachable as error:
            if error.is_refused or error.is_replaced:
                answers.ended_ids.add(target_id)
            if error.is_replaced:
                answers.replaced_ids.add(target_id)
            return
        target = self._find(entry)
        answers.status_by_id[target_id] = TargetStatus(
            target.is_primary, target.term, target.position
        )

    async def demote(self, entry: TargetEntry, term: int) -> None:
        """Demote a target."""
        target = self._find(entry)
        if self.can_reach(target) and target.is_alive and term > target.term:
            target.is_primary, target.term = False, term

    def _find(self, entry: TargetEntry) -> SimTarget:
        return next(t for t in self._group.targets if t.target_id == entry.target_id)


class _Connection:
    def close(self) -> None:
        pass
