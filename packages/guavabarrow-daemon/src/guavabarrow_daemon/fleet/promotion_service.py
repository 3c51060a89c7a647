"""Replaces primaries while this VM holds the promotion duty."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    SPONSORSHIP_S,
    LeadPhase,
    LeadRow,
    VersionedRow,
    primary_row_key,
)
from guavabarrow_core.log_position import reaches
from guavabarrow_core.promotion import (
    PROMOTION_TIMEOUT_S,
    STATUS_INTERVAL_S,
    DemotePrimary,
    MarkMoving,
    MarkSettled,
    Promotion,
    PromotionStage,
    ReadStatuses,
    RequestPromotion,
)
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.duty_service import DutyService
from guavabarrow_daemon.fleet.fleet_messages import FleetMessage, PrimaryUseStopped
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.fleet.primary_service import PrimaryService
from guavabarrow_daemon.fleet.primary_watch import PrimaryWatch
from guavabarrow_daemon.fleet.replica_watch import ReplicaWatch
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.watched_table import (
    PromotionRefused,
    PromotionUnanswered,
    PromotionWithdrawn,
)
from guavabarrow_daemon.targets.target_admin_client import TargetAdminClient

if TYPE_CHECKING:
    from guavabarrow_core.session_messages import TargetStatus
    from guavabarrow_core.store_position import StorePosition
    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.store.watched_table import PromotionAuthority
    from guavabarrow_daemon.targets.target_admin_client import StatusRound

RETRY_DELAY_S = 0.1
FAST_COMPARISON_S = 2.0
SLOW_STATUS_INTERVAL_S = 0.25
"""Interval between status queries if a replica with all acknowledged commits is awaited
for longer than ``FAST_COMPARISON_S``, as each query takes a slot."""

SILENT_PRIMARY_WAIT_S = 3.0
"""Time for which the first primary of a service is not settled while another target
that is listed as primary does not answer."""

SWITCHOVER_RETRY_S = 2.0
"""Pause after a switchover that was reverted because no replica had caught up."""

LISTING_LAG_S = 3.0
"""Time by which the list of targets may lag behind a promotion."""

CATCH_UP_RETRY_S = 0.4
"""Pause before the replicas are asked again; each query opens a connection."""

CATCH_UP_CHECK_S = 0.1
"""Time within which a replica that receives the log gets what was at the primary."""

SWITCHOVER_REASON = "draining or evacuated"
MAX_TRACKED_ACKNOWLEDGEMENTS = 64
"""Number of marked rows for which acknowledgements are kept."""


class PromotionService(Service):
    """Runs one replacement at a time for each service."""

    name = "promotion"

    def __init__(
        self, kernel: Kernel, authority: PromotionAuthority, reactor: Any
    ) -> None:
        super().__init__(kernel)
        self._authority = authority
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._directory = kernel.find(DirectoryService)
        self._primary_service = kernel.find(PrimaryService)
        self._links = kernel.find(PeerLinks)
        self._duty = kernel.find(DutyService)
        self._primary_watch = kernel.find(PrimaryWatch)
        self._replica_watch = kernel.find(ReplicaWatch)
        self._admin_client = TargetAdminClient(self._directory.create_codec, reactor)
        self._promotion_by_service: dict[str, Promotion] = {}
        self._acknowledgements: dict[tuple[str, StorePosition], dict[str, str]] = {}
        self._initializing: set[str] = set()
        self._initializing_since: dict[str, float] = {}
        self._other_primary_since: dict[str, float] = {}
        self._replica_since: dict[str, float] = {}
        self._retry_at_by_service: dict[str, float] = {}
        self._preparing: set[str] = set()

    async def start(self) -> None:
        """Subscribe to the events that start or advance a replacement."""
        self._links.on_peer_message.append(self._on_message)
        self._fleet.on_rows.append(self._on_rows)
        self._primary_service.on_stopped.append(self._on_local_stop)
        self._duty.on_check.append(self._check)
        self._duty.on_acquired.append(self._promotion_by_service.clear)
        self._duty.is_request_pending = self._has_pending_request

    @property
    def is_busy(self) -> bool:
        """Whether a replacement is in progress."""
        return any(
            promotion.stage is not PromotionStage.DONE
            for promotion in self._promotion_by_service.values()
        )

    def _has_pending_request(self) -> bool:
        return any(
            promotion.stage is PromotionStage.PROMOTING
            for promotion in self._promotion_by_service.values()
        )

    def _check(self, now: float) -> None:
        configuration = self._fleet.configuration
        if configuration is None:
            return
        for service in configuration.limits_by_service:
            if self._is_replacing(service):
                self._check_acknowledgements(self._promotion_by_service[service], now)
            else:
                self._check_service(service, now)

    def _check_service(self, service: str, now: float) -> None:
        primary_row = self._fleet.state.primary_row(service)
        if primary_row is None or self._fleet.state.is_former(primary_row_key(service)):
            self._initialize_row(service, primary_row)
            return
        if primary_row.phase is LeadPhase.MOVING:
            self._start_promotion(
                primary_row, is_planned=False, reason="unfinished", is_resumed=True
            )
            return
        sync_replicas = self._replica_watch.sync_replicas(service)
        candidates, others = self._replicas(service, primary_row.primary_id)
        if not (candidates or others):
            return
        entry = self._directory.entry(primary_row.primary_id)
        if entry is None:
            # Its absence from the list is the only evidence, so a successful probe must
            # not revert the replacement.
            self._start_promotion(
                primary_row,
                is_planned=False,
                reason="gone",
                is_resumed=not sync_replicas,
                is_absent=sync_replicas > 0,
            )
        elif self._primary_watch.is_failed(primary_row.primary_id, now):
            reason = self._primary_watch.describe(primary_row.primary_id, now)
            self._start_promotion(primary_row, is_planned=False, reason=reason)
        elif not self._directory.is_usable(primary_row.primary_id):
            if not sync_replicas:
                self._start_promotion(
                    primary_row, is_planned=True, reason=SWITCHOVER_REASON
                )
            elif now >= self._retry_at_by_service.get(service, float("-inf")):
                self._prepare_switchover(primary_row, entry)
        elif self._is_other_primary_listed(entry, (*candidates, *others), now):
            self._start_promotion(
                primary_row,
                is_planned=False,
                reason="another target leads",
                is_resumed=True,
            )
        elif self._is_listed_as_replica(entry, now):
            self._confirm_demotion(primary_row, entry)

    def _is_listed_as_replica(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a primary has reported another role for some time."""
        if entry.is_primary:
            self._replica_since.pop(entry.service, None)
            return False
        since = self._replica_since.setdefault(entry.service, now)
        return now - since > LISTING_LAG_S

    def _confirm_demotion(self, primary_row: LeadRow, entry: TargetEntry) -> None:
        """Replace a primary that has started again and doesn't lead any more."""
        service = primary_row.service
        if service in self._preparing:
            return
        self._preparing.add(service)

        async def confirm() -> None:
            try:
                status = await self._admin_client.status(entry)
                if status is None or status.is_primary:
                    await deferLater(self._reactor, CATCH_UP_RETRY_S, lambda: None)
                    return
            finally:
                self._preparing.discard(service)
            if self._may_start(primary_row):
                self._start_promotion(
                    primary_row,
                    is_planned=False,
                    reason="it doesn't lead",
                    is_resumed=True,
                )

        self.kernel.tasks.start("demotion_confirm", confirm())

    def _may_start(self, primary_row: LeadRow) -> bool:
        """Return whether a replacement may start from a row that was read before."""
        service = primary_row.service
        return (
            self._duty.may_order_promotions()
            and self._fleet.state.primary_row(service) == primary_row
            and not self._is_replacing(service)
        )

    def _is_other_primary_listed(
        self, entry: TargetEntry, replica_ids: tuple[str, ...], now: float
    ) -> bool:
        listed = (self._directory.entry(target_id) for target_id in replica_ids)
        is_other_listed = any(other and other.is_primary for other in listed)
        if entry.is_primary or not is_other_listed:
            self._other_primary_since.pop(entry.service, None)
            return False
        since = self._other_primary_since.setdefault(entry.service, now)
        return now - since > LISTING_LAG_S

    def _initialize_row(self, service: str, former: LeadRow | None) -> None:
        """Write the first row of a service in this era of the store.

        Parameters
        ----------
        service : str
            The service.
        former : LeadRow or None
            Newest row of a former era.
        """
        listed = [
            entry
            for entry in self._directory.directory.of_service(service)
            if entry.is_primary
        ]
        if not (listed or former) or service in self._initializing:
            return
        self._initializing.add(service)

        async def initialize() -> None:
            try:
                statuses = await self._admin_client.statuses(listed)
                row = self._first_row(service, listed, statuses, former)
                if row is not None and self._duty.may_order_promotions():
                    await self._fleet.write(primary_row_key(service), row)
            finally:
                self._initializing.discard(service)

        self.kernel.tasks.start("primary_row_initialize", initialize())

    def _first_row(
        self,
        service: str,
        listed: list[TargetEntry],
        statuses: dict[str, TargetStatus],
        former: LeadRow | None,
    ) -> LeadRow | None:
        """Return a service's first row in an era, None if it isn't known yet.

        A target that leads a newer term than the remembered one was promoted under a
        row that is lost. A replacement that was in progress is resumed.
        """
        if former is None:
            primary_id = self._first_primary(service, listed, statuses)
            if primary_id is None:
                return None
            term = statuses[primary_id].term
            return LeadRow(service, LeadPhase.SETTLED, primary_id, term)
        newer = {
            status.term: target_id
            for target_id, status in statuses.items()
            if status.is_primary and status.term > former.term
        }
        if not newer:
            return former
        term = max(newer)
        return LeadRow(service, LeadPhase.SETTLED, newer[term], term)

    def _first_primary(
        self,
        service: str,
        listed: list[TargetEntry],
        statuses: dict[str, TargetStatus],
    ) -> str | None:
        """Return the target that leads the newest term, None if it isn't known yet.

        A listed primary that does not answer may lead a newer term, so it is waited
        for, but not for good: its entry may come from another writer.
        """
        leaders = {key: s.term for key, s in statuses.items() if s.is_primary}
        now = now_s()
        since = self._initializing_since.setdefault(service, now)
        is_complete = len(statuses) == len(listed)
        if not leaders or not (is_complete or now - since > SILENT_PRIMARY_WAIT_S):
            return None
        return max(leaders, key=lambda key: leaders[key])

    def _start_promotion(
        self,
        primary_row: LeadRow,
        *,
        is_planned: bool,
        reason: str,
        is_resumed: bool = False,
        is_absent: bool = False,
    ) -> None:
        service = primary_row.service
        sync_replicas = self._replica_watch.sync_replicas(service)
        candidates, others = self._replicas(service, primary_row.primary_id)
        if not candidates and not others:
            return
        promotion = Promotion(
            service,
            primary_row.primary_id,
            primary_row.term,
            is_planned,
            candidates,
            others,
            sync_replicas,
            is_resumed,
            is_failed_by_vote=self._primary_watch.is_reachable(
                primary_row.primary_id, now_s()
            ),
            is_absent=is_absent,
            has_log=(
                self._primary_service.history(service).newest is not None
                or self._replica_watch.has_log(service)
            ),
        )
        self._promotion_by_service[service] = promotion
        self._other_primary_since.pop(service, None)
        self._replica_since.pop(service, None)
        log_decision(
            "promotion_begun",
            service=service,
            old=primary_row.primary_id,
            term=primary_row.term,
            planned=is_planned,
            reason=reason,
            candidates=list(candidates),
            other_replicas=list(promotion.other_replicas),
            sync_replicas=sync_replicas,
        )
        self._start_actions(promotion, promotion.start(now_s()))

    def _replicas(
        self, service: str, primary_id: str
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the replicas that accept new work, and others whose logs matter."""
        usable = self._directory.usable_targets(service)
        candidates = [e.target_id for e in usable if e.target_id != primary_id]
        others: list[str] = []
        if self._replica_watch.sync_replicas(service) > 0:
            counted = self._replica_watch.replica_ids(service)
            candidates = [key for key in candidates if key in counted]
            others = [key for key in counted if key not in (*candidates, primary_id)]
        return tuple(candidates), tuple(others)

    def _prepare_switchover(self, primary_row: LeadRow, entry: TargetEntry) -> None:
        """Start a planned switchover once a replica has nearly caught up.

        A replica that receives nothing would stop the service for as long as the
        replacement waits for it.
        """
        service = primary_row.service
        if service in self._preparing:
            return
        self._preparing.add(service)

        async def prepare() -> None:
            try:
                replicas = [
                    replica
                    for replica in self._directory.usable_targets(service)
                    if replica.target_id != entry.target_id
                ]
                status = await self._admin_client.status(entry)
                if status is not None and status.is_primary:
                    await deferLater(self._reactor, CATCH_UP_CHECK_S, lambda: None)
                    received = await self._admin_client.statuses(replicas)
                    if not any(
                        reaches(replica.received, status.received)
                        for replica in received.values()
                    ):
                        await deferLater(self._reactor, CATCH_UP_RETRY_S, lambda: None)
                        return
            finally:
                self._preparing.discard(service)
            if self._may_start(primary_row):
                self._start_promotion(
                    primary_row, is_planned=True, reason=SWITCHOVER_REASON
                )

        self.kernel.tasks.start("switchover_prepare", prepare())

    def _is_replacing(self, service: str) -> bool:
        promotion = self._promotion_by_service.get(service)
        return promotion is not None and promotion.stage is not PromotionStage.DONE

    def _start_actions(self, promotion: Promotion, actions: list[Any]) -> None:
        if actions:
            deferred = Deferred.fromCoroutine(self._perform(promotion, actions))
            deferred.addErrback(self._abort_promotion, promotion)

    def _abort_promotion(self, failure: Any, promotion: Promotion) -> None:
        log_decision(
            "promotion_failed",
            service=promotion.service,
            stage=promotion.stage.name,
            error=failure.getTraceback(),
        )
        self._promotion_by_service.pop(promotion.service, None)

    async def _perform(self, promotion: Promotion, actions: list[Any]) -> None:
        # A replacement may compare replicas for long, so actions don't nest.
        pending = deque(actions)
        while pending and self._is_current(promotion):
            match pending.popleft():
                case MarkMoving():
                    await self._mark_moving(promotion)
                case ReadStatuses(target_ids):
                    pending.extend(await self._compare_replicas(promotion, target_ids))
                case DemotePrimary(target_id, term):
                    entry = self._replica_watch.entry(target_id)
                    if entry is not None:
                        self.kernel.tasks.start(
                            "demotion", self._admin_client.demote(entry, term)
                        )
                case RequestPromotion(target_id):
                    pending.extend(await self._request_promotion(promotion, target_id))
                case MarkSettled(primary_id, term):
                    await self._mark_settled(promotion, primary_id, term)

    def _is_current(self, promotion: Promotion) -> bool:
        if self._promotion_by_service.get(promotion.service) is not promotion:
            return False
        if self._duty.may_order_promotions():
            return True
        log_decision(
            "promotion_dropped",
            service=promotion.service,
            stage=promotion.stage.name,
        )
        del self._promotion_by_service[promotion.service]
        return False

    def _may_order(self, promotion: Promotion, token: StorePosition) -> bool:
        """Return whether a promotion may be requested under a fencing token."""
        return (
            self._is_current(promotion)
            and self._fleet.state.version_of(DUTY_KEY) == token
        )

    async def _mark_moving(self, promotion: Promotion) -> None:
        row = LeadRow(
            promotion.service,
            LeadPhase.MOVING,
            promotion.old_primary_id,
            promotion.term,
            promotion.is_planned,
        )
        written = await self._fleet.write(primary_row_key(promotion.service), row)
        if written is None or not written.is_applied:
            # The write may still have been applied; the table shows whether it was.
            self._promotion_by_service.pop(promotion.service, None)
            await self._fleet.refresh()
            return
        promotion.marked_version = written.version
        promotion.marked_at = now_s()
        promotion.on_marked()
        self._check_acknowledgements(promotion, now_s())

    def _check_acknowledgements(self, promotion: Promotion, now: float) -> None:
        if promotion.stage is not PromotionStage.STOPPING:
            return
        state = self._fleet.state
        key = (promotion.service, promotion.marked_version)
        stopped = self._acknowledgements.get(key, {})
        missing = [
            vm
            for vm, member in state.member_by_vm().items()
            if state.is_current_member(vm)
            and stopped.get(vm) != member.incarnation
            and not self._has_departed(vm, now)
            and not state.lease_has_expired(member, promotion.marked_at, now)
        ]
        is_reachable = self._primary_watch.is_reachable(promotion.old_primary_id, now)
        waited_s = now - promotion.marked_at
        if is_reachable and promotion.can_revert and (not missing or waited_s > 0.5):
            log_decision(
                "promotion_taken_back",
                service=promotion.service,
                old=promotion.old_primary_id,
                missing=missing,
                reason=self._primary_watch.describe(promotion.old_primary_id, now),
            )
            self._start_actions(promotion, promotion.on_primary_recovered())
            return
        if missing or now < self._duty.former_leases_until():
            return
        log_decision(
            "primary_free",
            service=promotion.service,
            old=promotion.old_primary_id,
            stopped=sorted(stopped),
            waited_s=round(waited_s, 3),
        )
        self._start_actions(promotion, promotion.on_stopped(now))

    def _has_departed(self, vm: str, now: float) -> bool:
        """Return whether a VM has stopped, and its sponsorships have expired."""
        departed_at = self._fleet.departed_at(vm)
        return departed_at is not None and now >= departed_at + SPONSORSHIP_S

    async def _compare_replicas(
        self, promotion: Promotion, target_ids: tuple[str, ...]
    ) -> list[Any]:
        """Read the replicas' statuses and return the actions that follow."""
        asked_at = now_s()
        entries = [
            entry
            for entry in map(self._replica_watch.entry, target_ids)
            if entry is not None
        ]
        answers = await self._admin_client.ask(entries)
        statuses = answers.status_by_id
        for entry in entries:
            if (
                entry.target_id == promotion.old_primary_id
                and entry.target_id in statuses
            ):
                self._directory.confirm_entry(entry)
        self._update_replicas(promotion, answers)
        actions = promotion.on_statuses(statuses, now_s())
        if promotion.sync_replicas > 0 and promotion.stage is PromotionStage.PROMOTING:
            # A target that has just started again may have answered under its id.
            await self._directory.refresh()
            if self._forget_ended(promotion):
                actions = promotion.on_restarted()
        log_decision(
            "replicas_compared",
            service=promotion.service,
            received={
                key: f"{status.received.term}.{status.received.index}"
                if status.received
                else "nothing"
                for key, status in statuses.items()
            },
            chosen=promotion.chosen_id,
            unanswered=[key for key in target_ids if key not in statuses],
            ended=promotion.ended_count,
            copies=promotion.copies,
        )
        if promotion.is_planned and promotion.stage is PromotionStage.REVERTING:
            self._retry_at_by_service[promotion.service] = now_s() + SWITCHOVER_RETRY_S
        if any(isinstance(action, ReadStatuses) for action in actions):
            is_long = asked_at - promotion.compared_at > FAST_COMPARISON_S
            interval_s = (
                SLOW_STATUS_INTERVAL_S
                if promotion.sync_replicas > 0 and is_long
                else STATUS_INTERVAL_S
            )
            pause_s = max(0.0, interval_s - (now_s() - asked_at))
            await deferLater(self._reactor, pause_s, lambda: None)
        return actions

    def _update_replicas(self, promotion: Promotion, answers: StatusRound) -> None:
        """Let a replacement consider replicas that joined, and ignore those gone."""
        service = promotion.service
        if promotion.sync_replicas > 0:
            self._replica_watch.record(service, answers)
            if self._directory.directory.is_listed(promotion.old_primary_id):
                promotion.is_absent = False
        candidates, others = self._replicas(service, promotion.old_primary_id)
        if promotion.sync_replicas > 0:
            for target_id in self._forget_ended(promotion):
                answers.status_by_id.pop(target_id, None)
            promotion.set_replicas(
                candidates,
                others,
                ended_count=self._replica_watch.ended_count(service),
                copies=self._replica_watch.copies(service),
            )
        else:
            joined = dict.fromkeys([*promotion.candidates, *candidates])
            promotion.set_replicas(tuple(joined), ())

    def _forget_ended(self, promotion: Promotion) -> set[str]:
        """Drop what targets answered before their process ended; return the targets."""
        ended_ids = self._replica_watch.take_ended_ids(promotion.service)
        promotion.forget(ended_ids)
        return ended_ids

    async def _request_promotion(
        self, promotion: Promotion, target_id: str
    ) -> list[Any]:
        """Request a promotion until it is answered; return what follows."""
        token = self._fleet.state.version_of(DUTY_KEY)
        while self._is_current(promotion):
            try:
                await self._authority.promote(
                    promotion.service,
                    target_id,
                    holder=self._fleet.state.vm,
                    fencing_token=int(token),
                    may_send=lambda: self._may_order(promotion, token),
                )
                break
            except PromotionWithdrawn as error:
                log_decision(
                    "promotion_withdrawn",
                    service=promotion.service,
                    target=target_id,
                    detail=str(error),
                )
                return []
            except PromotionRefused as error:
                log_decision(
                    "promotion_refused",
                    service=promotion.service,
                    target=target_id,
                    detail=str(error),
                )
                return promotion.on_refused(now_s())
            except PromotionUnanswered as error:
                log_decision(
                    "promotion_unanswered",
                    service=promotion.service,
                    target=target_id,
                    detail=str(error),
                )
                await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)
        return await self._confirm_promotion(promotion, target_id)

    async def _confirm_promotion(
        self, promotion: Promotion, target_id: str
    ) -> list[Any]:
        """Wait until the target itself reports that it is primary of a newer term.

        The platform's answer may arrive before the promotion takes effect; until then
        the log does not contain the start of the new term.
        """
        until = now_s() + PROMOTION_TIMEOUT_S
        while self._is_current(promotion):
            entry = self._replica_watch.entry(target_id)
            status = await self._admin_client.status(entry) if entry else None
            if status and status.is_primary and status.term > promotion.term:
                return promotion.on_promoted(status.term)
            if now_s() > until:
                return promotion.on_refused(now_s())
            await deferLater(self._reactor, STATUS_INTERVAL_S, lambda: None)
        return []

    async def _mark_settled(
        self, promotion: Promotion, primary_id: str, term: int
    ) -> None:
        row = LeadRow(promotion.service, LeadPhase.SETTLED, primary_id, term)
        metrics = self.kernel.find(SessionMetrics)
        while self._is_current(promotion):
            written = await self._fleet.write(primary_row_key(promotion.service), row)
            primary_row = self._fleet.state.primary_row(promotion.service)
            if written is not None and written.is_applied:
                promotion.on_settled()
                is_promoted = primary_id != promotion.old_primary_id
                result = "promoted" if is_promoted else "taken back"
                metrics.promotions.labels(result).inc()
                log_decision(
                    "promotion_settled",
                    service=promotion.service,
                    primary=primary_id,
                    term=term,
                    result=result,
                    duration_s=round(now_s() - promotion.started_at, 3),
                )
                return
            await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)
            await self._fleet.refresh()
            primary_row = self._fleet.state.primary_row(promotion.service)
            if primary_row is not None and primary_row.phase is LeadPhase.SETTLED:
                promotion.on_settled()
                return

    # Acknowledgements from VMs that stopped using a primary

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        if isinstance(message, PrimaryUseStopped):
            self._record_acknowledgement(message)

    def _on_local_stop(self, service: str, version: StorePosition) -> None:
        state = self._fleet.state
        self._record_acknowledgement(
            PrimaryUseStopped(state.vm, state.incarnation, service, version)
        )

    def _record_acknowledgement(self, message: PrimaryUseStopped) -> None:
        key = (message.service, message.version)
        self._acknowledgements.setdefault(key, {})[message.vm] = message.incarnation
        if len(self._acknowledgements) > MAX_TRACKED_ACKNOWLEDGEMENTS:
            self._acknowledgements.pop(next(iter(self._acknowledgements)))
        promotion = self._promotion_by_service.get(message.service)
        if promotion is not None and self._duty.may_order_promotions():
            self._check_acknowledgements(promotion, now_s())

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        if not self._duty.may_order_promotions():
            return
        for promotion in list(self._promotion_by_service.values()):
            self._check_acknowledgements(promotion, now_s())
