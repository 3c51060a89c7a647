"""Keeps the list of registered targets and a connection pool for each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.task import deferLater
from xxhash import xxh3_64_intdigest

from guavabarrow_core.connection_budget import divide_connections
from guavabarrow_core.exceptions import InvalidEntry
from guavabarrow_core.fleet_state import LeadRow, VersionedRow
from guavabarrow_core.paced_load import PacedLoad
from guavabarrow_core.target_directory import TargetDirectory, TargetEntry
from guavabarrow_core.target_load import LoadEstimate, TargetLoad
from guavabarrow_core.target_pace import TargetPace
from guavabarrow_daemon.decoding import shorten
from guavabarrow_daemon.fleet.fleet_messages import UNKNOWN_AGE_S
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.exceptions import StoreUnavailable
from guavabarrow_daemon.targets.pool_view import publish_pools
from guavabarrow_daemon.targets.session_driver import SessionDriver
from guavabarrow_daemon.targets.session_pool import SessionPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.task import LoopingCall

    from guavabarrow_core.service_host import HostPlan
    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft
    from guavabarrow_daemon.session_codec import TargetCodec
    from guavabarrow_daemon.store.watched_table import DirectorySource

READ_INTERVAL_S = 1.5
"""Interval between reads of the list; a draining target stays for several seconds."""

MAX_RELAY_AGE_S = 4.0
"""Age of the list up to which a VM leaves reading it to the duty holder."""

TRIM_INTERVAL_S = 0.25
EVIDENCE_TTL_S = 0.7
"""Evidence against a target expires after this long unless it is renewed."""

OPEN_TIMEOUT_S = 2.0
"""A reachable target that is slow to accept a session is at capacity, not down."""

MIN_WEIGHT, MAX_WEIGHT = 0.1, 10.0
"""Bounds of the weight of a team, which is its rate relative to the mean rate."""


class DirectoryService(Service):
    """Registered targets with their connection pools.

    Attributes
    ----------
    directory : TargetDirectory
        Registered targets.
    pool_by_id : dict of str to SessionPool
        Pools of the targets that have been used.
    on_changed : list of callable
        Called after the list changed.
    list_digest : int
        Digest of the current list.
    host_plan_of : callable
        Returns the role of this VM for a service.
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
            create_codec, reactor, open_timeout_s=OPEN_TIMEOUT_S
        )
        self._source = source
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self.host_plan_of: Callable[[str], HostPlan] = self._fleet.host_selection.plan
        self._links = kernel.find(PeerLinks)
        self._suspected: dict[str, tuple[str, float]] = {}
        self._last_entry_by_id: dict[str, TargetEntry] = {}
        self._removed_at_by_id: dict[str, float] = {}
        self.list_digest = 0
        self._unusable_since: dict[str, float] = {}
        self._evacuated_since: dict[str, float] = {}
        self._is_stopping = False
        self._reported_problems: set[str] = set()
        self._trim_loop: LoopingCall | None = None

    async def start(self) -> None:
        """Start to poll the list."""
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)
        self._fleet.on_rows.append(self._on_rows)
        self._fleet.on_era.append(lambda: self.directory.record_return(now_s()))
        tasks = self.kernel.tasks
        tasks.start_loop("directory_poll", self._poll, self._reactor)
        self._trim_loop = tasks.create_periodic(
            "directory_trim", self._trim, self._reactor
        )
        self._trim_loop.start(TRIM_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Close all connections."""
        self._is_stopping = True
        if self._trim_loop is not None and self._trim_loop.running:
            self._trim_loop.stop()
        for pool in self.pool_by_id.values():
            pool.close("The VM is shutting down.")

    def entry(self, target_id: str) -> TargetEntry | None:
        """Return a registered target, None if there is none."""
        return self.directory.entry_by_id.get(target_id)

    def usable_targets(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that accept new work."""
        return [
            entry
            for entry in self.directory.of_service(service)
            if not entry.is_draining and entry.domain not in self._fleet.evacuated
        ]

    def is_usable(self, target_id: str) -> bool:
        """Return whether a target accepts new work."""
        entry = self.entry(target_id)
        return (
            entry is not None
            and not entry.is_draining
            and entry.domain not in self._fleet.evacuated
        )

    def evacuated_s(self, target_id: str) -> float:
        """Return for how long a target's failure domain has been evacuated, in s."""
        entry = self.entry(target_id)
        if entry is None or entry.domain not in self._fleet.evacuated:
            return 0.0
        since = self._evacuated_since.get(entry.domain)
        return 0.0 if since is None else now_s() - since

    def unusable_s(self, target_id: str) -> float:
        """Return for how long a target has been excluded from new work, in s."""
        since = self._unusable_since.get(target_id)
        return 0.0 if since is None else now_s() - since

    def pool(self, entry: TargetEntry) -> SessionPool:
        """Return the pool of a target, a new one if its address changed."""
        pool = self.pool_by_id.get(entry.target_id)
        if pool is not None and self._is_same_process(pool.entry, entry):
            pool.entry = entry
            return pool
        if pool is not None:
            pool.close("The target has restarted.")
        metrics = self.kernel.find(SessionMetrics)
        pool = SessionPool(
            entry,
            self._driver,
            self._reactor,
            on_evidence=self.record_evidence,
            count_handshake=lambda result: metrics.handshakes.labels(result).inc(),
            count_refusal=lambda priority, reason: metrics.pool_refusals.labels(
                entry.service, priority, reason
            ).inc(),
            count_eviction=metrics.pool_evictions.labels(entry.service).inc,
            tasks=self.kernel.tasks,
        )
        pool.weight_of = self._weight_of
        self.pool_by_id[entry.target_id] = pool
        self._set_limits(pool)
        return pool

    def current_pool(self, entry: TargetEntry) -> SessionPool | None:
        """Return the pool of a target, None if it has not been used."""
        pool = self.pool_by_id.get(entry.target_id)
        is_current = pool is not None and self._is_same_process(pool.entry, entry)
        return pool if is_current else None

    def new_load(self, entry: TargetEntry) -> LoadEstimate:
        """Return the load estimate that a target has before it is used."""
        if self.host_plan_of(entry.service).is_hosted:
            return PacedLoad(TargetPace(entry.slots))
        return TargetLoad()

    def record_evidence(self, target_id: str, evidence: str) -> None:
        """Record the outcome of a connection: answered, refused, silent or lost."""
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
        cutoff = now_s() - EVIDENCE_TTL_S
        return {
            target_id: evidence
            for target_id, (evidence, at) in self._suspected.items()
            if at > cutoff
        }

    def entries(self) -> list[TargetEntry]:
        """Return all registered targets in the order of their ids."""
        return [entry for _, entry in sorted(self.directory.entry_by_id.items())]

    async def refresh(self) -> None:
        """Read the list once."""
        try:
            listing = await self._source.read()
        except StoreUnavailable:
            self.directory.record_outage(now_s())
            return
        self._fleet.follow_era(listing.era, "store")
        if listing.era != self._fleet.state.era:
            # An answer of a former era that was overtaken.
            return
        self._report_problems(listing.problems)
        self._apply_listing(listing.entries, 0.0)

    def _report_problems(self, problems: list[str]) -> None:
        for problem in set(problems) - self._reported_problems:
            log_decision("entry_left_out", problem=problem)
        self._reported_problems = set(problems)

    def _apply_listing(self, entries: list[TargetEntry], age_s: float) -> None:
        outage_at = max(self._fleet.store_failed_at, self._fleet.stale_at)
        if outage_at > self.directory.as_of:
            self.directory.record_outage(outage_at)
        previous = dict(self.directory.entry_by_id)
        changed, removed = self.directory.apply_listing(entries, now_s() - age_s)
        if not changed and not removed:
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
        for target_id in removed:
            log_decision("target_gone", target=target_id)
            self._last_entry_by_id[target_id] = previous[target_id]
            self._removed_at_by_id[target_id] = now_s()
            pool = self.pool_by_id.pop(target_id, None)
            if pool is not None:
                pool.close("The target is no longer registered.")
        self._publish_change()

    def last_known_entry(self, target_id: str) -> TargetEntry | None:
        """Return a target's entry, or its last one if it has expired."""
        return self.entry(target_id) or self._last_entry_by_id.get(target_id)

    def recently_removed(self, service: str, max_age_s: float) -> list[TargetEntry]:
        """Return the last entries of a service's targets that are no longer listed."""
        horizon = now_s() - max_age_s
        return [
            self._last_entry_by_id[target_id]
            for target_id, at in self._removed_at_by_id.items()
            if at > horizon
            and target_id not in self.directory.entry_by_id
            and self._last_entry_by_id[target_id].service == service
        ]

    def confirm_entry(self, entry: TargetEntry) -> None:
        """Keep a target in the list after it answered under its own id."""
        if self.directory.confirm(entry, now_s()):
            log_decision("target_proven", target=entry.target_id)
            self._publish_change()

    def _publish_change(self) -> None:
        self.list_digest = xxh3_64_intdigest(msgspec.msgpack.encode(self.entries()))
        for callback in self.on_changed:
            callback()
        self._fleet.send_heartbeat_now()

    @property
    def age_s(self) -> float:
        """Age of the list, in s."""
        return min(UNKNOWN_AGE_S, now_s() - self.directory.as_of)

    def apply_relayed_listing(self, entries: list[TargetEntry], age_s: float) -> None:
        """Apply a list that another VM has read, if it is newer.

        Entries are checked again, as the VM may run a version that accepts others.
        """
        if age_s >= self.age_s:
            return
        valid, problems = [], []
        for entry in entries:
            try:
                entry.validate()
                valid.append(entry)
            except InvalidEntry as error:
                problems.append(shorten(f"{entry.target_id}: {error}"))
        self._report_problems(problems)
        self._apply_listing(valid, age_s)

    def confirm_relayed_listing(self, age_s: float) -> None:
        """Record that another VM has read the same list more recently."""
        self.directory.as_of = max(self.directory.as_of, now_s() - age_s)

    async def _poll(self) -> None:
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
            heartbeat_age_s + heartbeat.directory_age_s < MAX_RELAY_AGE_S
            and self.age_s < MAX_RELAY_AGE_S
        )

    def _trim(self) -> None:
        self._track_unusable()
        for pool in list(self.pool_by_id.values()):
            self._set_limits(pool)
            pool.trim()
        publish_pools(
            self.kernel.find(SessionMetrics),
            [pool.describe() for pool in self.pool_by_id.values()],
        )

    def _track_unusable(self) -> None:
        now = now_s()
        for target_id in self.directory.entry_by_id:
            if self.is_usable(target_id):
                self._unusable_since.pop(target_id, None)
            else:
                self._unusable_since.setdefault(target_id, now)
        for domain in self._fleet.evacuated:
            self._evacuated_since.setdefault(domain, now)
        for domain in set(self._evacuated_since) - self._fleet.evacuated:
            del self._evacuated_since[domain]
        for target_id in set(self._unusable_since) - set(self.directory.entry_by_id):
            del self._unusable_since[target_id]

    def _set_limits(self, pool: SessionPool) -> None:
        configuration = self._fleet.configuration
        if configuration is None:
            return
        limits = configuration.limits_by_service.get(pool.entry.service)
        if limits is None:
            return
        plan = self.host_plan_of(pool.entry.service)
        pool.set_limits(
            divide_connections(
                limits.max_connections, len(self._fleet.state.member_by_vm()), plan
            )
        )
        pool.set_paced(plan.is_hosted)

    def _weight_of(self, team: str) -> float:
        """Return a team's rate relative to the mean, 1 if it has no rate."""
        configuration = self._fleet.configuration
        rates = configuration.rates() if configuration is not None else {}
        if team not in rates:
            return 1.0
        mean = sum(rate.per_s for rate in rates.values()) / len(rates)
        return max(MIN_WEIGHT, min(MAX_WEIGHT, rates[team].per_s / max(mean, 1e-9)))

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        for row in rows:
            if isinstance(row.row, LeadRow):
                for callback in self.on_changed:
                    callback()
                return

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        draft.common["suspected"] = self.suspected()
        draft.common["directory_age_s"] = round(self.age_s, 3)
        draft.common["directory_change"] = self.list_digest

    @staticmethod
    def _is_same_process(previous: TargetEntry, entry: TargetEntry) -> bool:
        return (previous.host, previous.port, previous.born_ms, previous.service) == (
            entry.host,
            entry.port,
            entry.born_ms,
            entry.service,
        )
