"""Keeps the list of registered targets and a pool of connections for each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater
from xxhash import xxh3_64_intdigest

from guavabarrow_core.fleet_state import PrimaryRow, VersionedRow
from guavabarrow_core.target_directory import TargetDirectory, TargetEntry
from guavabarrow_daemon.fleet.fleet_messages import UNKNOWN_AGE_S
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.targets.session_driver import SessionDriver
from guavabarrow_daemon.targets.session_pool import SessionPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft
    from guavabarrow_daemon.session_codec import TargetCodec
    from guavabarrow_daemon.store.watched_table import DirectorySource

READ_INTERVAL_S = 1.5
"""Pace of looks at the list; a leaving target has several seconds."""

RELAY_LIMIT_S = 4.0
"""Age of the list up to which a VM leaves reading it to the holder of the duty."""

TRIM_INTERVAL_S = 0.25
SUSPECT_S = 0.7
"""Evidence against a target is withdrawn after this long without more of it."""

OPENING_LIMIT_S = 2.0
"""A reachable target that is slow to take a session is full, not gone."""

CONNECTION_RESERVE = 2
"""Connections of each target left for VMs that join and for status questions."""


class DirectoryService(Service):
    """Known targets with their pools.

    Attributes
    ----------
    directory : TargetDirectory
        Registered targets.
    pool_by_id : dict of str to SessionPool
        Pools of targets that were used.
    on_changed : list of callable
        Called after the list changed.
    change : int
        Names the present contents of the list.
    """

    name = "directory"

    def __init__(
        self,
        kernel: Kernel,
        source: DirectorySource,
        create_codec: Callable[[], TargetCodec],
        reactor: Any,
        *,
        domain: str,
    ) -> None:
        super().__init__(kernel)
        self.domain = domain
        self.directory = TargetDirectory()
        self.pool_by_id: dict[str, SessionPool] = {}
        self.on_changed: list[Callable[[], None]] = []
        self.create_codec = create_codec
        self._driver = SessionDriver(
            create_codec, reactor, opening_limit_s=OPENING_LIMIT_S
        )
        self._source = source
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._suspected: dict[str, tuple[str, float]] = {}
        self._last_entry_by_id: dict[str, TargetEntry] = {}
        self.change = 0
        self._leaving_since: dict[str, float] = {}
        self._is_stopping = False
        self._problems: set[str] = set()
        self._trims: LoopingCall | None = None

    async def start(self) -> None:
        """Begin to follow the list."""
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)
        self._fleet.on_rows.append(self._on_rows)
        Deferred.fromCoroutine(self._follow())
        self._trims = LoopingCall(self._trim)
        self._trims.clock = self._reactor
        self._trims.start(TRIM_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Close all connections."""
        self._is_stopping = True
        if self._trims is not None and self._trims.running:
            self._trims.stop()
        for pool in self.pool_by_id.values():
            pool.shut("The VM stops.")

    def entry(self, target_id: str) -> TargetEntry | None:
        """Return a registered target, None if there is none."""
        return self.directory.entry_by_id.get(target_id)

    def usable_targets(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that may get work."""
        return [
            entry
            for entry in self.directory.of_service(service)
            if not entry.is_draining and entry.domain not in self._fleet.evacuated
        ]

    def is_usable(self, target_id: str) -> bool:
        """Tell whether a target may get work."""
        entry = self.entry(target_id)
        return (
            entry is not None
            and not entry.is_draining
            and entry.domain not in self._fleet.evacuated
        )

    def unusable_s(self, target_id: str) -> float:
        """Return for how long a target is known to get no new work, in s."""
        since = self._leaving_since.get(target_id)
        return 0.0 if since is None else now_s() - since

    def pool(self, entry: TargetEntry) -> SessionPool:
        """Return the pool of a target, a new one if its address changed."""
        pool = self.pool_by_id.get(entry.target_id)
        if pool is not None and self._is_same(pool.entry, entry):
            pool.entry = entry
            return pool
        if pool is not None:
            pool.shut("The target was started again.")
        metrics = self.kernel.find(SessionMetrics)
        pool = SessionPool(
            entry,
            self._driver,
            self._reactor,
            on_evidence=self.note_evidence,
            count_handshake=lambda result: metrics.handshakes.labels(result).inc(),
        )
        self.pool_by_id[entry.target_id] = pool
        self._set_limits(pool)
        return pool

    def note_evidence(self, target_id: str, evidence: str) -> None:
        """Take what a connection told about a target: answered, refused, silent."""
        if evidence == "answered":
            if self._suspected.pop(target_id, None):
                log_decision("target_trusted", target=target_id)
            return
        if evidence == "lost":
            return
        is_new = target_id not in self.suspected()
        self._suspected[target_id] = (evidence, now_s())
        if is_new:
            log_decision("target_suspected", target=target_id, evidence=evidence)
            self._fleet.send_heartbeat_now()

    def suspected(self) -> dict[str, str]:
        """Return recent evidence by target."""
        horizon = now_s() - SUSPECT_S
        return {
            target_id: evidence
            for target_id, (evidence, at) in self._suspected.items()
            if at > horizon
        }

    def entries(self) -> list[TargetEntry]:
        """Return all registered targets in the order of their ids."""
        return [entry for _, entry in sorted(self.directory.entry_by_id.items())]

    async def refresh(self) -> None:
        """Read the list once."""
        try:
            entries, problems = await self._source.read()
        except StoreUnavailable:
            self.directory.record_outage(now_s())
            return
        for problem in set(problems) - self._problems:
            log_decision("entry_left_out", problem=problem)
        self._problems = set(problems)
        self._take(entries, 0.0)

    def _take(self, entries: list[TargetEntry], age_s: float) -> None:
        outage_at = max(self._fleet.store_failed_at, self._fleet.stale_at)
        if outage_at > self.directory.as_of:
            self.directory.record_outage(outage_at)
        known = dict(self.directory.entry_by_id)
        changed, gone = self.directory.apply_listing(entries, now_s() - age_s)
        if not changed and not gone:
            return
        for target_id in changed:
            entry = self.directory.entry_by_id[target_id]
            log_decision(
                "target_entry",
                target=target_id,
                service=entry.service,
                domain=entry.domain,
                draining=entry.is_draining,
                primary=entry.is_primary,
                born_ms=entry.born_ms,
            )
            if target_id in self.pool_by_id:
                self.pool(entry)
        for target_id in gone:
            log_decision("target_gone", target=target_id)
            self._last_entry_by_id[target_id] = known[target_id]
            pool = self.pool_by_id.pop(target_id, None)
            if pool is not None:
                pool.shut("The target is gone.")
        self._tell_change()

    def last_known_entry(self, target_id: str) -> TargetEntry | None:
        """Return a target's entry, or the last one if it lapsed."""
        return self.entry(target_id) or self._last_entry_by_id.get(target_id)

    def confirm_entry(self, entry: TargetEntry) -> None:
        """Take note that a target answered under its own name."""
        if self.directory.confirm(entry, now_s()):
            log_decision("target_proven", target=entry.target_id)
            self._tell_change()

    def _tell_change(self) -> None:
        self.change = xxh3_64_intdigest(msgspec.msgpack.encode(self.entries()))
        for callback in self.on_changed:
            callback()
        self._fleet.send_heartbeat_now()

    @property
    def age_s(self) -> float:
        """Age of the list, in s."""
        return min(UNKNOWN_AGE_S, now_s() - self.directory.as_of)

    def take_relayed(self, entries: list[TargetEntry], age_s: float) -> None:
        """Take the list as another VM read it."""
        if age_s < self.age_s:
            self._take(entries, age_s)

    def confirm_relayed(self, age_s: float) -> None:
        """Take note that another VM read the same list later."""
        self.directory.as_of = max(self.directory.as_of, now_s() - age_s)

    async def _follow(self) -> None:
        while not self._is_stopping:
            if not self._is_relayed():
                await self.refresh()
            await deferLater(self._reactor, READ_INTERVAL_S, lambda: None)

    def _is_relayed(self) -> bool:
        duty = self._fleet.state.duty()
        if duty is None or duty.holder == self._fleet.state.vm:
            return False
        heartbeat_age_s, heartbeat = self._fleet.last_heartbeat(duty.holder)
        return (
            heartbeat_age_s + heartbeat.directory_age_s < RELAY_LIMIT_S
            and self.age_s < RELAY_LIMIT_S
        )

    def _trim(self) -> None:
        self._track_leaving()
        for pool in list(self.pool_by_id.values()):
            self._set_limits(pool)
            pool.trim()

    def _track_leaving(self) -> None:
        now = now_s()
        for target_id in self.directory.entry_by_id:
            if self.is_usable(target_id):
                self._leaving_since.pop(target_id, None)
            else:
                self._leaving_since.setdefault(target_id, now)
        for target_id in set(self._leaving_since) - set(self.directory.entry_by_id):
            del self._leaving_since[target_id]

    def _set_limits(self, pool: SessionPool) -> None:
        configuration = self._fleet.configuration
        if configuration is None:
            return
        limits = configuration.limits_by_service.get(pool.entry.service)
        if limits is None:
            return
        members = max(1, len(self._fleet.state.member_by_vm()))
        available = max(1, limits.max_connections - CONNECTION_RESERVE)
        pool.even_part = max(1, available // members)
        pool.most = max(pool.even_part, min(available, pool.even_part + 1))

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        for row in rows:
            if isinstance(row.row, PrimaryRow):
                for callback in self.on_changed:
                    callback()
                return

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        draft.common["suspected"] = self.suspected()
        draft.common["directory_age_s"] = round(self.age_s, 3)
        draft.common["directory_change"] = self.change

    @staticmethod
    def _is_same(known: TargetEntry, entry: TargetEntry) -> bool:
        return (known.host, known.port, known.born_ms, known.service) == (
            entry.host,
            entry.port,
            entry.born_ms,
            entry.service,
        )
