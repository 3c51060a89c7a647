"""Platform and targets in memory under virtual time, with their troubles."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from guavabarrow_core.log_position import LogPosition
from guavabarrow_core.session_configuration import ServiceLimits, SessionConfiguration
from guavabarrow_core.session_messages import TargetStatus
from guavabarrow_core.target_directory import TargetEntry
from guavabarrow_daemon.store.exceptions import HistoryDropped, StoreUnavailable
from guavabarrow_daemon.store.watched_table import (
    DirectorySource,
    OperatorOrders,
    OperatorSource,
    PromotionAuthority,
    PromotionRefused,
    TableReading,
    TableRow,
    WatchedTable,
    Written,
)
from guavabarrow_daemon.targets.interface import TargetUnreachable

if TYPE_CHECKING:
    from sim_network import SimNetwork, SimReactor

CALL_S = 0.004
BASE64_GROWTH = 4 / 3
TIMEOUT_S = 1.0
POLL_S = 0.02
PROMOTION_S = 0.3
STORE_HOST = "store"
BEAT_S = 1.2
ENTRY_LAG_S = 2.0
SERVICE = "orders"
CONFIGURATION_KEY = "configuration"


class SimStore:
    """The platform's table.

    Attributes
    ----------
    unreachable_from : set of str
        Hosts that get no answer.
    write_delay_s : float
        How long writes take effect after their caller has given up, 0 for at once.
    drops_write_replies : bool
        Whether answers to writes are lost.
    extra_latency_s : float
        How much longer each call takes.
    compacted_version : int
        Changes up to this version are no longer known.
    """

    def __init__(self, network: SimNetwork) -> None:
        self.network = network
        self.row_by_key: dict[str, TableRow] = {}
        self.version = 1
        self.unreachable_from: set[str] = set()
        self.write_delay_s = 0.0
        self.drops_write_replies = False
        self.extra_latency_s = 0.0
        self.compacted_version = 0

    def answers(self, host: str) -> bool:
        """Tell whether a host gets answers."""
        is_blocked = self.network.is_blocked
        return not (
            host in self.unreachable_from
            or is_blocked(host, STORE_HOST)
            or is_blocked(STORE_HOST, host)
        )

    def apply(self, key: str, value: bytes | None, expected: int) -> Written:
        """Write a row under its condition."""
        known = self.row_by_key.get(key)
        current = known.version if known is not None and known.value is not None else 0
        if current != expected:
            return Written(False, 0, self.network.now)
        self.version += 1
        self.row_by_key[key] = TableRow(key, value, self.version)
        return Written(True, self.version, self.network.now)

    def reading(self, after: int, *, with_dropped: bool) -> TableReading:
        """Return rows that changed after a version."""
        rows = [
            row
            for row in self.row_by_key.values()
            if row.version > after and (with_dropped or row.value is not None)
        ]
        return TableReading(rows, self.version, self.network.now)


class SimTable(WatchedTable):
    """One VM's client of the table."""

    def __init__(self, store: SimStore, reactor: SimReactor) -> None:
        self._store = store
        self._reactor = reactor

    async def read(self) -> TableReading:
        """Read all rows."""
        await self._reach()
        return await self._return(self._store.reading(0, with_dropped=False))

    async def watch(self, after: int, wait_s: float) -> TableReading:
        """Wait for changes."""
        await self._reach()
        if after < self._store.compacted_version:
            raise HistoryDropped
        until = self._reactor.seconds() + wait_s
        while self._store.version <= after and self._reactor.seconds() < until:
            await self._pause(POLL_S)
        return await self._return(self._store.reading(after, with_dropped=True))

    async def write(self, key: str, value: bytes | None, expected: int) -> Written:
        """Write a row."""
        store = self._store
        if store.write_delay_s > 0.0:
            clock = store.network.reactor_by_host[STORE_HOST]
            clock.callLater(store.write_delay_s, store.apply, key, value, expected)
            await self._pause(TIMEOUT_S)
            raise StoreUnavailable("no answer", is_undone=False)
        await self._reach()
        written = store.apply(key, value, expected)
        if store.drops_write_replies:
            await self._pause(TIMEOUT_S)
            raise StoreUnavailable("the answer was lost", is_undone=False)
        return await self._return(written)

    async def _reach(self) -> None:
        if not self._store.answers(self._reactor.host):
            await self._pause(TIMEOUT_S)
            raise StoreUnavailable("no answer", is_undone=True)
        await self._pause(CALL_S / 2 + self._store.extra_latency_s)

    async def _return(self, answer: Any) -> Any:
        rows = answer.rows if isinstance(answer, TableReading) else []
        size = 200 + sum(len(row.value or b"") for row in rows) * BASE64_GROWTH
        host = self._reactor.host
        crossing_s = self._store.network.crossing_s(STORE_HOST, host, int(size))
        await self._pause(CALL_S / 2 + crossing_s)
        if not self._store.answers(self._reactor.host):
            raise StoreUnavailable("no answer", is_undone=False)
        return answer

    async def _pause(self, duration_s: float) -> None:
        await deferLater(self._reactor, duration_s, lambda: None)


class SimOrders(OperatorSource):
    """Operators' table: one row that holds a configuration of some size."""

    def __init__(self, store: SimStore, reactor: SimReactor) -> None:
        self._table = SimTable(store, reactor)

    async def read(self) -> tuple[OperatorOrders | None, TableReading]:
        """Read everything."""
        reading = await self._table.read()
        return self.decode(reading.rows), reading

    async def watch(
        self, after: int, wait_s: float
    ) -> tuple[OperatorOrders | None, TableReading]:
        """Wait for changes."""
        reading = await self._table.watch(after, wait_s)
        return self.decode(reading.rows), reading

    def decode(self, rows: list[TableRow]) -> OperatorOrders | None:
        """Translate the row, whose version is the configuration's."""
        versions = [row.version for row in rows if row.key == CONFIGURATION_KEY]
        if not versions:
            return None
        limits = {SERVICE: ServiceLimits()}
        configuration = SessionConfiguration(max(versions), limits_by_service=limits)
        return OperatorOrders(configuration, frozenset())


def publish_configuration(store: SimStore, size: int = 100) -> int:
    """Write the next configuration and return its version."""
    row = store.row_by_key.get(CONFIGURATION_KEY)
    expected = row.version if row is not None else 0
    lines = (f"route-{number} to service-{number % 7}" for number in range(size // 20))
    value = "\n".join(lines).encode()
    return store.apply(CONFIGURATION_KEY, value, expected).version


@dataclass
class SimTarget:
    """One target of the group."""

    target_id: str
    domain: str
    host: str
    is_primary: bool
    term: int = 1
    term_led: int = 0
    is_alive: bool = True
    beat_at: float = 0.0
    is_unregistered: bool = False


@dataclass
class SimGroup:
    """A service of three targets, and the call that promotes one."""

    network: SimNetwork
    store: SimStore
    targets: list[SimTarget]
    promotion_calls: list[tuple[str, int]] = field(default_factory=list)

    @property
    def leader(self) -> SimTarget:
        """Target whose term is the newest among those that ever led."""
        return max((t for t in self.targets if t.term_led), key=lambda t: t.term_led)

    def last_beat(self, target: SimTarget) -> float:
        """Return when a target last wrote its entry."""
        is_blocked = self.network.is_blocked
        if (
            target.is_alive
            and not target.is_unregistered
            and not (
                is_blocked(target.host, STORE_HOST)
                or is_blocked(STORE_HOST, target.host)
            )
        ):
            target.beat_at = self.network.now - self.network.now % BEAT_S
        return target.beat_at

    def crash(self, target: SimTarget) -> None:
        """End a target's process."""
        target.is_alive = False

    def restart(self, target: SimTarget) -> None:
        """Start it again; it follows whoever leads."""
        target.is_alive = True
        if self.leader is not target:
            target.is_primary = False

    def lead(self, target: SimTarget) -> None:
        """Let a promotion take effect."""
        if not target.is_alive or target is self.leader:
            return
        target.is_primary = True
        target.term = target.term_led = max(t.term for t in self.targets) + 1


class SimDirectory(DirectorySource):
    """List of registered targets, which lags."""

    def __init__(self, group: SimGroup, reactor: SimReactor) -> None:
        self._group = group
        self._table = SimTable(group.store, reactor)
        self._reactor = reactor

    async def read(self) -> tuple[list[TargetEntry], list[str]]:
        """Return the entries."""
        await self._table.read()
        now = self._reactor.network.now
        entries = [
            TargetEntry(
                target.target_id,
                SERVICE,
                target.domain,
                target.host,
                1,
                False,
                target.is_primary,
            )
            for target in self._group.targets
            if now - self._group.last_beat(target) < ENTRY_LAG_S
        ]
        return entries, []


class SimAuthority(PromotionAuthority):
    """The call that promotes; it answers before the promotion takes effect."""

    def __init__(self, group: SimGroup, reactor: SimReactor) -> None:
        self._group = group
        self._reactor = reactor

    async def promote(
        self, service: str, target_id: str, *, holder: str, fencing_token: int
    ) -> None:
        """Order a promotion."""
        group = self._group
        target = next(t for t in group.targets if t.target_id == target_id)
        await deferLater(self._reactor, CALL_S, lambda: None)
        group.promotion_calls.append((holder, fencing_token))
        if not target.is_alive:
            raise PromotionRefused(target_id)
        clock = group.network.reactor_by_host[STORE_HOST]
        clock.callLater(PROMOTION_S, group.lead, target)


class SimQuestions:
    """Questions to targets without connections."""

    def __init__(self, group: SimGroup, reactor: SimReactor) -> None:
        self._group = group
        self._reactor = reactor

    def reaches(self, target: SimTarget) -> bool:
        """Tell whether a target can be reached from this VM."""
        is_blocked = self._group.network.is_blocked
        own = self._reactor.host
        return not (is_blocked(own, target.host) or is_blocked(target.host, own))

    async def dial(self, entry: TargetEntry) -> Any:
        """Open a connection."""
        target = self._find(entry)
        await deferLater(self._reactor, CALL_S, lambda: None)
        if not self.reaches(target):
            await deferLater(self._reactor, 0.35, lambda: None)
            raise TargetUnreachable("silent")
        if not target.is_alive:
            raise TargetUnreachable("refused", is_refused=True)
        return _Closable()

    async def status(self, entry: TargetEntry) -> TargetStatus | None:
        """Ask where a log ends."""
        try:
            await self.dial(entry)
        except TargetUnreachable:
            return None
        target = self._find(entry)
        return TargetStatus(target.is_primary, target.term, LogPosition(1, 1))

    async def statuses(self, entries: list[TargetEntry]) -> dict[str, TargetStatus]:
        """Ask several."""
        found = {}
        for entry in entries:
            status = await self.status(entry)
            if status is not None:
                found[entry.target_id] = status
        return found

    async def demote(self, entry: TargetEntry, term: int) -> None:
        """Tell a target to stop leading."""
        target = self._find(entry)
        if self.reaches(target) and target.is_alive and term > target.term:
            target.is_primary, target.term = False, term

    def _find(self, entry: TargetEntry) -> SimTarget:
        return next(t for t in self._group.targets if t.target_id == entry.target_id)


class _Closable:
    def close(self) -> None:
        pass
