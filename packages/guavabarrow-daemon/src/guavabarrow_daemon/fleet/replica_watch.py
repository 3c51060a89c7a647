"""Tracks the replicas of services with synchronous replicas, at the duty holder.

The set of replicas is kept in the shared table, because a new holder may never have
seen the entry of a replica that isn't listed at the moment, nor the end of one. A
process is added to the row when it is listed, and removed once it doesn't count any
more. While all replicas are listed and none is draining, nothing is asked and nothing
is written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavabarrow_core.exceptions import InvalidEntry
from guavabarrow_core.fleet_state import (
    LeadPhase,
    ReplicasRow,
    replicas_row_key,
)
from guavabarrow_core.replica_set import GONE_AFTER_S, ReplicaSet, process_identity
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.primary_watch import PrimaryWatch
from guavabarrow_daemon.fleet.row_codec import MAX_REPLICAS
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.targets.target_admin_client import TargetAdminClient

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.targets.target_admin_client import StatusRound

ROW_RETRY_S = 1.0
"""Pause after a write of a service's row."""


class ReplicaWatch(Service):
    """Replicas that a replacement of a primary must take into account."""

    name = "replica_watch"

    def __init__(self, kernel: Kernel, reactor: Any) -> None:
        super().__init__(kernel)
        self._fleet = kernel.find(FleetService)
        self._directory = kernel.find(DirectoryService)
        self._primary_watch = kernel.find(PrimaryWatch)
        self._duty = kernel.find(DutyService)
        self._metrics = kernel.find(SessionMetrics)
        self._admin_client = TargetAdminClient(self._directory.create_codec, reactor)
        self._set_by_service: dict[str, ReplicaSet] = {}
        self._checked_at_by_service: dict[str, float] = {}
        self._written_at_by_service: dict[str, float] = {}
        self._ended_ids_by_service: dict[str, set[str]] = {}
        self._checking: set[str] = set()

    async def start(self) -> None:
        """Subscribe to the checks of the duty holder and to relayed probes."""
        self._duty.on_check.append(self._check)
        self._duty.on_acquired.append(self._set_by_service.clear)
        self._primary_watch.on_relayed_answer.append(self._on_relayed_answer)

    def sync_replicas(self, service: str) -> int:
        """Return the number of synchronous replicas of a service."""
        configuration = self._fleet.configuration
        limits = configuration and configuration.limits_by_service.get(service)
        return limits.sync_replicas if limits else 0

    def replica_ids(self, service: str) -> tuple[str, ...]:
        """Return the replicas of a service whose logs matter, listed or not."""
        return self._updated_set(service).replica_ids(now_s())

    def ended_count(self, service: str) -> int:
        """Return the number of processes that have ended and still count."""
        return self._updated_set(service).ended_count(now_s())

    def copies(self, service: str) -> int:
        """Return how many logs of those that count have each acknowledged commit."""
        return self._updated_set(service).copies(now_s())

    def take_ended_ids(self, service: str) -> set[str]:
        """Return the targets whose process was found to have ended since last asked."""
        self._updated_set(service)
        return self._ended_ids_by_service.pop(service, set())

    def has_log(self, service: str) -> bool:
        """Return whether any target of a service is known to have held a commit."""
        replicas = self._set_by_service.get(service)
        return replicas is not None and replicas.has_log()

    def entry(self, target_id: str) -> TargetEntry | None:
        """Return the last known entry of a target, None if there is none."""
        entry = self._directory.last_known_entry(target_id)
        if entry is not None:
            return entry
        for replicas in self._set_by_service.values():
            if target_id in replicas.replica_by_id:
                return replicas.replica_by_id[target_id].entry
        return None

    def record(self, service: str, answers: StatusRound) -> None:
        """Record the statuses of a service's targets."""
        replicas = self._updated_set(service)
        now = now_s()
        replicas.record(
            answers.status_by_id,
            answers.ended_ids,
            answers.replaced_ids,
            asked=answers.asked,
            asked_at=answers.asked_at,
            now=now,
        )
        self._report_ended(service, replicas)
        for replica, reason in replicas.remove_gone(now):
            self._metrics.replicas_gone.labels(service, reason).inc()
            log_decision(
                "replica_gone",
                service=service,
                target=replica.entry.target_id,
                born_ms=replica.entry.born_ms,
                reason=reason,
                ended_s=None if replica.ended_at is None else now - replica.ended_at,
            )

    def _report_ended(self, service: str, replicas: ReplicaSet) -> None:
        for replica in replicas.take_ended():
            target_id = replica.entry.target_id
            self._ended_ids_by_service.setdefault(service, set()).add(target_id)
            log_decision(
                "replica_ended",
                service=service,
                target=target_id,
                born_ms=replica.entry.born_ms,
                end=str(replica.end),
            )

    def _updated_set(self, service: str) -> ReplicaSet:
        now = now_s()
        replicas = self._set_by_service.get(service)
        primary_row = self._fleet.state.primary_row(service)
        listed = self._directory.directory.of_service(service)
        if replicas is None:
            replicas = ReplicaSet(self.sync_replicas(service))
            self._set_by_service[service] = replicas
        replicas.sync_replicas = self.sync_replicas(service)
        if primary_row is not None and not replicas.primary_id:
            row = self._fleet.state.replicas_row(service)
            counted = self._valid_entries(service, row.entries if row else ())
            replicas.restore(primary_row.primary_id, primary_row.term, counted, now)
            # The row may lack a target that registered while there was no holder.
            recent = self._directory.recently_removed(service, GONE_AFTER_S)
            replicas.add_unlisted(self._valid_entries(service, recent), now)
        elif primary_row is not None and primary_row.phase is LeadPhase.SETTLED:
            replicas.follow_primary(primary_row.primary_id, primary_row.term, now)
        replicas.update(listed, now)
        self._report_ended(service, replicas)
        return replicas

    def _valid_entries(
        self, service: str, entries: Iterable[TargetEntry]
    ) -> list[TargetEntry]:
        valid = []
        for entry in entries:
            try:
                entry.validate()
                valid.append(entry)
            except InvalidEntry as error:
                log_decision("replica_left_out", service=service, detail=str(error))
        return valid

    def _on_relayed_answer(self, target_id: str) -> None:
        for replicas in self._set_by_service.values():
            replicas.record_life(target_id, now_s())

    def _check(self, now: float) -> None:
        configuration = self._fleet.configuration
        if configuration is None:
            return
        for service, limits in configuration.limits_by_service.items():
            if limits.sync_replicas > 0:
                self._check_service(service, now)

    def _check_service(self, service: str, now: float) -> None:
        if self._fleet.state.primary_row(service) is None:
            return
        replicas = self._updated_set(service)
        self._store(service, replicas, now)
        checked_at = self._checked_at_by_service.get(service, float("-inf"))
        if (
            replicas.is_check_due()
            and service not in self._checking
            and now - checked_at >= replicas.check_interval_s
        ):
            self._checked_at_by_service[service] = now
            self._checking.add(service)
            self.kernel.tasks.start("replica_check", self._ask(service, replicas))

    async def _ask(self, service: str, replicas: ReplicaSet) -> None:
        entries = [replica.entry for replica in replicas.replica_by_id.values()]
        try:
            answers = await self._admin_client.ask(entries)
        finally:
            self._checking.discard(service)
        for entry in entries:
            target_id = entry.target_id
            is_listed = self._directory.entry(target_id) is not None
            if not is_listed and target_id not in answers.status_by_id:
                self._primary_watch.request_relayed_probes(target_id)
        if self._set_by_service.get(service) is replicas:
            self.record(service, answers)

    def _store(self, service: str, replicas: ReplicaSet, now: float) -> None:
        """Write the row of a service's replicas if it isn't up to date."""
        entries = replicas.counted_entries[:MAX_REPLICAS]
        row = self._fleet.state.replicas_row(service)
        key = replicas_row_key(service)
        is_stored = (
            row is not None
            and not self._fleet.state.is_former(key)
            and [*map(process_identity, row.entries)]
            == [*map(process_identity, entries)]
        )
        written_at = self._written_at_by_service.get(service, float("-inf"))
        if is_stored or now - written_at < ROW_RETRY_S:
            return
        self._written_at_by_service[service] = now
        self.kernel.tasks.start(
            "replicas_store", self._fleet.write(key, ReplicasRow(service, entries))
        )
