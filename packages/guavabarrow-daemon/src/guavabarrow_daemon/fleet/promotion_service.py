"""Replaces primaries while this VM holds the duty."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    PrimaryPhase,
    PrimaryRow,
    VersionedRow,
    primary_row_key,
)
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
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.watched_table import (
    PromotionRefused,
    PromotionUnanswered,
)
from guavabarrow_daemon.targets.target_questions import TargetQuestions

if TYPE_CHECKING:
    from guavabarrow_core.target_directory import TargetEntry
    from guavabarrow_daemon.store.watched_table import PromotionAuthority

RETRY_S = 0.1
ROLE_LAG_S = 3.0
"""Time that the list of targets may lag behind a promotion."""

MAX_CONFIRMATIONS = 64
"""Marked rows for which confirmations are kept."""


class PromotionService(Service):
    """Replacements of primaries."""

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
        self._watch = kernel.find(PrimaryWatch)
        self._questions = TargetQuestions(self._directory.create_codec, reactor)
        self._promotion_by_service: dict[str, Promotion] = {}
        self._stopped: dict[tuple[str, int], dict[str, str]] = {}
        self._founding: set[str] = set()
        self._elsewhere_since: dict[str, float] = {}

    async def start(self) -> None:
        """Begin to check."""
        self._links.on_peer_message.append(self._on_message)
        self._fleet.on_rows.append(self._on_rows)
        self._primary_service.on_stopped.append(self._on_own_stopped)
        self._duty.on_check.append(self._check)
        self._duty.on_taken.append(self._promotion_by_service.clear)

    @property
    def is_busy(self) -> bool:
        """Whether a replacement is under way."""
        return any(
            promotion.stage is not PromotionStage.DONE
            for promotion in self._promotion_by_service.values()
        )

    def _check(self, now: float) -> None:
        configuration = self._fleet.configuration
        if configuration is None:
            return
        for service in configuration.limits_by_service:
            promotion = self._promotion_by_service.get(service)
            if promotion is None or promotion.stage is PromotionStage.DONE:
                self._check_service(service, now)
            else:
                self._check_stopped(promotion, now)

    def _check_service(self, service: str, now: float) -> None:
        lead = self._fleet.state.primary_row(service)
        if lead is None:
            self._found(service)
            return
        if lead.phase is PrimaryPhase.MOVING:
            self._begin(lead, is_planned=False, reason="unfinished", is_resumed=True)
            return
        replicas = [
            entry
            for entry in self._directory.usable_targets(service)
            if entry.target_id != lead.primary_id
        ]
        if not replicas:
            return
        entry = self._directory.entry(lead.primary_id)
        if entry is None:
            # It left the list without other evidence, so it is not taken back.
            self._begin(lead, is_planned=False, reason="gone", is_resumed=True)
        elif self._watch.is_failed(lead.primary_id, now):
            reason = self._watch.describe(lead.primary_id, now)
            self._begin(lead, is_planned=False, reason=reason)
        elif not self._directory.is_usable(lead.primary_id):
            self._begin(lead, is_planned=True, reason="draining or evacuated")
        elif self._leads_elsewhere(entry, replicas, now):
            self._begin(
                lead, is_planned=False, reason="another target leads", is_resumed=True
            )

    def _leads_elsewhere(
        self, entry: TargetEntry, replicas: list[TargetEntry], now: float
    ) -> bool:
        others = [other for other in replicas if other.is_primary]
        if entry.is_primary or not others:
            self._elsewhere_since.pop(entry.service, None)
            return False
        since = self._elsewhere_since.setdefault(entry.service, now)
        return now - since > ROLE_LAG_S

    def _found(self, service: str) -> None:
        primaries = [
            entry
            for entry in self._directory.directory.of_service(service)
            if entry.is_primary
        ]
        if len(primaries) != 1 or service in self._founding:
            return
        self._founding.add(service)

        async def found(entry: TargetEntry) -> None:
            status = await self._questions.status(entry)
            if (
                status is not None
                and status.is_primary
                and self._duty.may_order_promotions()
            ):
                term = status.term
                row = PrimaryRow(service, PrimaryPhase.SETTLED, entry.target_id, term)
                await self._fleet.write(primary_row_key(service), row)
            self._founding.discard(service)

        Deferred.fromCoroutine(found(primaries[0]))

    def _begin(
        self,
        lead: PrimaryRow,
        *,
        is_planned: bool,
        reason: str,
        is_resumed: bool = False,
    ) -> None:
        candidates = tuple(
            entry.target_id
            for entry in self._directory.usable_targets(lead.service)
            if entry.target_id != lead.primary_id
        )
        if not candidates:
            return
        promotion = Promotion(
            lead.service,
            lead.primary_id,
            lead.term,
            is_planned,
            candidates,
            is_resumed,
            is_failed_by_vote=self._watch.is_reachable(lead.primary_id, now_s()),
        )
        self._promotion_by_service[lead.service] = promotion
        log_decision(
            "promotion_begun",
            service=lead.service,
            old=lead.primary_id,
            term=lead.term,
            planned=is_planned,
            reason=reason,
            candidates=list(candidates),
        )
        self._run(promotion, promotion.start(now_s()))

    def _run(self, promotion: Promotion, actions: list[Any]) -> None:
        if actions:
            deferred = Deferred.fromCoroutine(self._perform(promotion, actions))
            deferred.addErrback(self._fail, promotion)

    def _fail(self, failure: Any, promotion: Promotion) -> None:
        log_decision(
            "promotion_failed",
            service=promotion.service,
            stage=promotion.stage.name,
            error=failure.getTraceback(),
        )
        self._promotion_by_service.pop(promotion.service, None)

    async def _perform(self, promotion: Promotion, actions: list[Any]) -> None:
        for action in actions:
            if not self._is_current(promotion):
                return
            match action:
                case MarkMoving():
                    await self._mark(promotion)
                case ReadStatuses(target_ids):
                    await self._compare(promotion, target_ids)
                case DemotePrimary(target_id, term):
                    entry = self._directory.last_known_entry(target_id)
                    if entry is not None:
                        Deferred.fromCoroutine(self._questions.demote(entry, term))
                case RequestPromotion(target_id):
                    await self._order(promotion, target_id)
                case MarkSettled(primary_id, term):
                    await self._settle(promotion, primary_id, term)

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

    async def _mark(self, promotion: Promotion) -> None:
        row = PrimaryRow(
            promotion.service,
            PrimaryPhase.MOVING,
            promotion.old_primary_id,
            promotion.term,
            promotion.is_planned,
        )
        written = await self._fleet.write(primary_row_key(promotion.service), row)
        if written is None or not written.is_applied:
            # The table tells whether the row was written after all.
            self._promotion_by_service.pop(promotion.service, None)
            await self._fleet.refresh()
            return
        promotion.marked_version = written.version
        promotion.marked_at = now_s()
        promotion.on_marked()
        self._check_stopped(promotion, now_s())

    def _check_stopped(self, promotion: Promotion, now: float) -> None:
        if promotion.stage is not PromotionStage.STOPPING:
            return
        state = self._fleet.state
        key = (promotion.service, promotion.marked_version)
        stopped = self._stopped.get(key, {})
        missing = [
            vm
            for vm, member in state.member_by_vm().items()
            if stopped.get(vm) != member.incarnation
            and not state.lease_has_expired(member, promotion.marked_at, now)
        ]
        is_reachable = self._watch.is_reachable(promotion.old_primary_id, now)
        waited_s = now - promotion.marked_at
        if is_reachable and promotion.can_revert and (not missing or waited_s > 0.5):
            log_decision(
                "promotion_taken_back",
                service=promotion.service,
                old=promotion.old_primary_id,
                missing=missing,
                reason=self._watch.describe(promotion.old_primary_id, now),
            )
            self._run(promotion, promotion.on_primary_recovered())
            return
        if missing:
            return
        log_decision(
            "primary_free",
            service=promotion.service,
            old=promotion.old_primary_id,
            stopped=sorted(stopped),
            waited_s=round(waited_s, 3),
        )
        self._run(promotion, promotion.on_stopped(now))

    async def _compare(self, promotion: Promotion, target_ids: tuple[str, ...]) -> None:
        asked_at = now_s()
        entries = [
            entry
            for entry in map(self._directory.last_known_entry, target_ids)
            if entry is not None
        ]
        statuses = await self._questions.statuses(entries)
        for entry in entries:
            if (
                entry.target_id == promotion.old_primary_id
                and entry.target_id in statuses
            ):
                self._directory.confirm_entry(entry)
        actions = promotion.on_statuses(statuses, now_s())
        log_decision(
            "replicas_compared",
            service=promotion.service,
            received={
                key: f"{status.received.term}.{status.received.index}"
                for key, status in statuses.items()
            },
            chosen=promotion.chosen_id,
        )
        pause_s = STATUS_INTERVAL_S - (now_s() - asked_at)
        if pause_s > 0 and any(isinstance(a, ReadStatuses) for a in actions):
            await deferLater(self._reactor, pause_s, lambda: None)
        await self._perform(promotion, actions)

    async def _order(self, promotion: Promotion, target_id: str) -> None:
        while self._is_current(promotion):
            try:
                await self._authority.promote(
                    promotion.service,
                    target_id,
                    holder=self._fleet.state.vm,
                    fencing_token=self._fleet.state.version_of(DUTY_KEY),
                )
                break
            except PromotionRefused as error:
                log_decision(
                    "promotion_refused",
                    service=promotion.service,
                    target=target_id,
                    detail=str(error),
                )
                await self._perform(promotion, promotion.on_refused(now_s()))
                return
            except PromotionUnanswered as error:
                log_decision(
                    "promotion_unanswered",
                    service=promotion.service,
                    target=target_id,
                    detail=str(error),
                )
                await deferLater(self._reactor, RETRY_S, lambda: None)
        await self._confirm(promotion, target_id)

    async def _confirm(self, promotion: Promotion, target_id: str) -> None:
        """Wait until the target itself says that it leads a newer term.

        The platform's answer may come before the promotion takes effect; until then
        the log still lacks the start of the new term.
        """
        until = now_s() + PROMOTION_TIMEOUT_S
        while self._is_current(promotion):
            entry = self._directory.entry(target_id)
            status = await self._questions.status(entry) if entry else None
            if status and status.is_primary and status.term > promotion.term:
                actions = promotion.on_promoted(status.term)
                await self._perform(promotion, actions)
                return
            if now_s() > until:
                await self._perform(promotion, promotion.on_refused(now_s()))
                return
            await deferLater(self._reactor, STATUS_INTERVAL_S, lambda: None)

    async def _settle(self, promotion: Promotion, primary_id: str, term: int) -> None:
        row = PrimaryRow(promotion.service, PrimaryPhase.SETTLED, primary_id, term)
        metrics = self.kernel.find(SessionMetrics)
        while self._is_current(promotion):
            written = await self._fleet.write(primary_row_key(promotion.service), row)
            lead = self._fleet.state.primary_row(promotion.service)
            if written is not None and written.is_applied:
                promotion.on_settled()
                is_moved = primary_id != promotion.old_primary_id
                result = "promoted" if is_moved else "taken back"
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
            await deferLater(self._reactor, RETRY_S, lambda: None)
            await self._fleet.refresh()
            lead = self._fleet.state.primary_row(promotion.service)
            if lead is not None and lead.phase is PrimaryPhase.SETTLED:
                promotion.on_settled()
                return

    # Confirmations of the VMs

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        if isinstance(message, PrimaryUseStopped):
            self._note_stopped(message)

    def _on_own_stopped(self, service: str, version: int) -> None:
        state = self._fleet.state
        self._note_stopped(
            PrimaryUseStopped(state.vm, state.incarnation, service, version)
        )

    def _note_stopped(self, message: PrimaryUseStopped) -> None:
        key = (message.service, message.version)
        self._stopped.setdefault(key, {})[message.vm] = message.incarnation
        if len(self._stopped) > MAX_CONFIRMATIONS:
            self._stopped.pop(next(iter(self._stopped)))
        promotion = self._promotion_by_service.get(message.service)
        if promotion is not None and self._duty.may_order_promotions():
            self._check_stopped(promotion, now_s())

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        if not self._duty.may_order_promotions():
            return
        for promotion in list(self._promotion_by_service.values()):
            self._check_stopped(promotion, now_s())
