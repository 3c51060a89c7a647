"""Orders promotions while this VM holds the duty, and takes the duty over."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, DeferredList, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.task import LoopingCall, deferLater

from guavabarrow_core.fleet_state import (
    DUTY_KEY,
    DUTY_RIGHT_S,
    DutyRow,
    LeadPhase,
    LeadRow,
    MemberRow,
    VersionedRow,
    lead_key,
    member_key,
)
from guavabarrow_core.promotion import (
    STATUS_INTERVAL_S,
    STATUS_PATIENCE_S,
    MarkMoving,
    OrderPromotion,
    Promotion,
    PromotionStage,
    ReadStatuses,
    Settle,
    StopPrimary,
)
from guavabarrow_core.rendezvous import rank_of
from guavabarrow_core.session_messages import OpenSession, TargetStatus
from guavabarrow_daemon.fleet.directory_service import DirectoryService
from guavabarrow_daemon.fleet.fleet_messages import FleetMessage, Pulse, Stopped
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.lead_service import LeadService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics
from guavabarrow_daemon.store.watched_table import (
    PromotionRefused,
    PromotionUnanswered,
)
from guavabarrow_daemon.targets.target_connection import TargetConnection

if TYPE_CHECKING:
    from guavabarrow_daemon.store.watched_table import PromotionAuthority

CHECK_S = 0.1
OUT_AFTER_S = 2.0
"""Silence after which a VM is marked as out, so that a later replacement of a
primary need not wait for it."""

SUSPECT_SHARE = 0.4
"""Part of the VMs that must fail to use a primary before it is replaced."""

CONFIRM_S = 0.25
"""Time for which the evidence must hold; a restart of the network stack is shorter."""

PROBE_S = 0.7
"""Pace at which the holder of the duty tries the primaries' addresses."""

CONNECT_TIMEOUT_S = 0.5
HOLDER_SILENT_S = 1.0
TAKEOVER_STEP_S = 0.3
"""Later candidates for the duty wait this much longer each."""


class PromotionService(Service):
    """Duty of ordering promotions."""

    name = "promotion"

    def __init__(
        self,
        kernel: Kernel,
        authority: PromotionAuthority,
        reactor: Any,
    ) -> None:
        super().__init__(kernel)
        self._authority = authority
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._directory = kernel.find(DirectoryService)
        self._lead = kernel.find(LeadService)
        self._links = kernel.find(PeerLinks)
        self._promotion_by_service: dict[str, Promotion] = {}
        self._stopped: dict[tuple[str, int], dict[str, str]] = {}
        self._suspects_by_vm: dict[str, tuple[float, dict[str, str]]] = {}
        self._suspect_since: dict[str, float] = {}
        self._probe_evidence: dict[str, str] = {}
        self._probed_at = 0.0
        self._probing: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._holder_lost_at: float | None = None
        self._duty_taken_at = float("inf")
        self._is_writing = False
        self._checks: LoopingCall | None = None

    async def start(self) -> None:
        """Begin to check."""
        self._links.on_peer_message.append(self._on_message)
        self._fleet.on_pulse.append(self._on_pulse)
        self._fleet.on_rows.append(self._on_rows)
        self._lead.on_stopped.append(self._on_own_stopped)
        self._checks = LoopingCall(self._check)
        self._checks.clock = self._reactor
        self._checks.start(CHECK_S, now=False)

    async def stop(self) -> None:
        """Stop checking and give the duty up."""
        if self._checks is not None and self._checks.running:
            self._checks.stop()

    async def hand_over(self) -> None:
        """Give the duty up, so that another VM takes it at once."""
        if not self._fleet.state.holds_duty(now_s()):
            return
        if any(
            promotion.stage is not PromotionStage.DONE
            for promotion in self._promotion_by_service.values()
        ):
            return
        self._duty_taken_at = float("inf")
        await self._fleet.write(DUTY_KEY, DutyRow("", ""))

    def _check(self) -> None:
        state = self._fleet.state
        if state.version == 0 or not state.is_registered():
            return
        now = now_s()
        if not state.holds_duty(now):
            self._consider_duty(now)
            return
        if now < self._duty_taken_at:
            return
        self._mark_silent_members(now)
        self._probe_primaries(now)
        self._check_services(now)
        for promotion in list(self._promotion_by_service.values()):
            self._check_stopped(promotion, now)

    # Duty

    def _consider_duty(self, now: float) -> None:
        state = self._fleet.state
        duty = state.duty()
        if self._is_writing or self._fleet.is_stopping:
            return
        contacts = self._links.contacts()
        if duty is not None and duty.holder == state.vm:
            if duty.incarnation != state.incarnation:
                self._take_duty(now, waits=False)
            return
        if duty is not None and duty.holder:
            is_restarted = (
                duty.holder in contacts
                and self._links.incarnation_of(duty.holder) != duty.incarnation
            )
            if duty.holder in contacts and not is_restarted:
                self._holder_lost_at = None
                return
        if self._holder_lost_at is None:
            self._holder_lost_at = now
        rank = rank_of("duty", state.vm, contacts)
        patience_s = HOLDER_SILENT_S if duty is not None and duty.holder else 0.1
        if now - self._holder_lost_at < patience_s + rank * TAKEOVER_STEP_S:
            return
        has_holder = duty is not None and bool(duty.holder)
        self._take_duty(now, waits=has_holder)

    def _take_duty(self, now: float, *, waits: bool) -> None:
        self._is_writing = True
        state = self._fleet.state

        async def take() -> None:
            written = await self._fleet.write(
                DUTY_KEY, DutyRow(state.vm, state.incarnation)
            )
            self._is_writing = False
            self._holder_lost_at = None
            if written is not None and written.is_applied:
                wait_s = DUTY_RIGHT_S if waits else 0.0
                self._duty_taken_at = now_s() + wait_s
                self._promotion_by_service.clear()
                log_decision("duty_taken", version=written.version, acts_in_s=wait_s)

        Deferred.fromCoroutine(take())

    # Members

    def _mark_silent_members(self, now: float) -> None:
        contacts = self._links.contacts()
        for vm, member in self._fleet.state.member_by_vm().items():
            if vm == self._fleet.state.vm or vm in contacts or member.is_out:
                self._silent_since.pop(vm, None)
                continue
            since = self._silent_since.setdefault(vm, now)
            if now - since > OUT_AFTER_S:
                self._silent_since[vm] = now
                out = MemberRow(
                    member.vm,
                    member.zone,
                    member.host,
                    member.port,
                    member.incarnation,
                    is_out=True,
                )
                Deferred.fromCoroutine(self._fleet.write(member_key(vm), out))

    # Evidence

    def _on_pulse(self, vm: str, pulse: Pulse) -> None:
        self._suspects_by_vm[vm] = (now_s(), pulse.suspected)

    def _probe_primaries(self, now: float) -> None:
        if now - self._probed_at < PROBE_S:
            return
        self._probed_at = now
        for known in list(self._fleet.state.row_by_key.values()):
            lead = known.row
            if isinstance(lead, LeadRow) and lead.primary_id not in self._probing:
                self._probing.add(lead.primary_id)
                Deferred.fromCoroutine(self._probe(lead.primary_id))

    async def _probe(self, target_id: str) -> None:
        pool = self._directory.pool_by_id.get(target_id)
        entry = self._directory.entry(target_id)
        if entry is None or (pool is not None and pool.is_answering(now_s())):
            self._probe_evidence.pop(target_id, None)
            self._probing.discard(target_id)
            return
        connection = await self._dial(target_id)
        if isinstance(connection, str):
            self._probe_evidence[target_id] = connection
        else:
            self._probe_evidence.pop(target_id, None)
            connection.close()
        self._probing.discard(target_id)

    def _is_suspected(self, target_id: str, now: float) -> bool:
        contacts = self._links.contacts()
        votes = 0
        for vm in contacts:
            at, suspected = self._suspects_by_vm.get(vm, (0.0, {}))
            if now - at < 1.2 and target_id in suspected:
                votes += 1
        own = self._directory.suspected().get(target_id)
        probe = self._probe_evidence.get(target_id)
        if own or probe:
            votes += 1
        if "refused" in (own, probe):
            return True
        return votes > 0 and votes >= SUSPECT_SHARE * (len(contacts) + 1)

    # Decisions

    def _check_services(self, now: float) -> None:
        configuration = self._fleet.configuration
        if configuration is None:
            return
        for service in configuration.limits_by_service:
            promotion = self._promotion_by_service.get(service)
            if promotion is not None and promotion.stage is not PromotionStage.DONE:
                continue
            self._check_service(service, now)

    def _check_service(self, service: str, now: float) -> None:
        lead = self._fleet.state.lead(service)
        if lead is None:
            self._found(service)
            return
        if lead.phase is LeadPhase.MOVING:
            self._begin(lead, is_planned=False, reason="unfinished")
            return
        entry = self._directory.entry(lead.primary_id)
        usable = self._directory.usable(service)
        replicas = [e for e in usable if e.target_id != lead.primary_id]
        if not replicas:
            return
        if entry is not None and not self._directory.may_use(lead.primary_id):
            self._begin(lead, is_planned=True, reason="draining")
            return
        if entry is None or self._is_suspected(lead.primary_id, now):
            since = self._suspect_since.setdefault(service, now)
            if now - since >= CONFIRM_S:
                self._suspect_since.pop(service)
                self._begin(lead, is_planned=False, reason="unreachable")
            return
        self._suspect_since.pop(service, None)

    def _found(self, service: str) -> None:
        primaries = [
            entry
            for entry in self._directory.directory.of_service(service)
            if entry.is_primary
        ]
        if len(primaries) != 1 or self._is_writing:
            return
        self._is_writing = True
        target_id = primaries[0].target_id

        async def found() -> None:
            statuses = await self._read_statuses((target_id,))
            status = statuses.get(target_id)
            if status is not None and status.is_primary:
                row = LeadRow(
                    service, LeadPhase.SETTLED, target_id, status.received.term
                )
                await self._fleet.write(lead_key(service), row)
            self._is_writing = False

        Deferred.fromCoroutine(found())

    def _begin(self, lead: LeadRow, *, is_planned: bool, reason: str) -> None:
        candidates = tuple(
            entry.target_id
            for entry in self._directory.usable(lead.service)
            if entry.target_id != lead.primary_id
        )
        if not candidates:
            return
        promotion = Promotion(
            lead.service, lead.primary_id, lead.term, is_planned, candidates
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
                case StopPrimary(target_id, term):
                    Deferred.fromCoroutine(self._demote(target_id, term))
                case OrderPromotion(target_id):
                    await self._order(promotion, target_id)
                case Settle(primary_id, term):
                    await self._settle(promotion, primary_id, term)

    def _is_current(self, promotion: Promotion) -> bool:
        is_current = self._promotion_by_service.get(promotion.service) is promotion
        if is_current and self._fleet.state.holds_duty(now_s()):
            return True
        if is_current:
            log_decision(
                "promotion_dropped",
                service=promotion.service,
                stage=promotion.stage.name,
            )
            del self._promotion_by_service[promotion.service]
        return False

    async def _mark(self, promotion: Promotion) -> None:
        row = LeadRow(
            promotion.service,
            LeadPhase.MOVING,
            promotion.old_id,
            promotion.term,
            promotion.is_planned,
        )
        written = await self._fleet.write(lead_key(promotion.service), row)
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
        missing = []
        for vm, member in state.member_by_vm().items():
            if stopped.get(vm) == member.incarnation:
                continue
            if state.has_lapsed(member, promotion.marked_at, now):
                continue
            missing.append(vm)
        if missing:
            if now - promotion.started_at > 0.5 and not self._is_suspected(
                promotion.old_id, now
            ):
                self._run(promotion, promotion.on_primary_back())
            return
        log_decision(
            "primary_free",
            service=promotion.service,
            old=promotion.old_id,
            stopped=sorted(stopped),
            waited_s=round(now - promotion.marked_at, 3),
        )
        self._run(promotion, promotion.on_stopped(now))

    async def _compare(self, promotion: Promotion, target_ids: tuple[str, ...]) -> None:
        asked_at = now_s()
        statuses = await self._read_statuses(target_ids)
        pause_s = STATUS_INTERVAL_S - (now_s() - asked_at)
        actions = promotion.on_statuses(statuses, now_s())
        log_decision(
            "replicas_compared",
            service=promotion.service,
            received={
                key: f"{s.received.term}.{s.received.index}"
                for key, s in statuses.items()
            },
            chosen=promotion.chosen_id,
        )
        if pause_s > 0 and any(isinstance(a, ReadStatuses) for a in actions):
            await deferLater(self._reactor, pause_s, lambda: None)
        await self._perform(promotion, actions)

    async def _order(self, promotion: Promotion, target_id: str) -> None:
        state = self._fleet.state
        try:
            await self._authority.promote(
                promotion.service,
                target_id,
                holder=state.vm,
                fencing_token=state.version_of(DUTY_KEY),
            )
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
            await deferLater(self._reactor, CHECK_S, lambda: None)
            if self._is_current(promotion):
                await self._order(promotion, target_id)
            return
        statuses = await self._read_statuses((target_id,))
        status = statuses.get(target_id)
        term = (
            status.received.term
            if status and status.is_primary
            else (promotion.term + 1)
        )
        await self._perform(promotion, promotion.on_promoted(term))

    async def _settle(self, promotion: Promotion, primary_id: str, term: int) -> None:
        row = LeadRow(promotion.service, LeadPhase.SETTLED, primary_id, term)
        while self._is_current(promotion):
            written = await self._fleet.write(lead_key(promotion.service), row)
            if written is not None and written.is_applied:
                promotion.on_settled()
                duration_s = round(now_s() - promotion.started_at, 3)
                self.kernel.find(SessionMetrics).promotions.labels("settled").inc()
                log_decision(
                    "promotion_settled",
                    service=promotion.service,
                    primary=primary_id,
                    term=term,
                    duration_s=duration_s,
                )
                return
            await deferLater(self._reactor, CHECK_S, lambda: None)
            await self._fleet.refresh()
            lead = self._fleet.state.lead(promotion.service)
            if lead is not None and lead.phase is LeadPhase.SETTLED:
                promotion.on_settled()
                return

    # Confirmations

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        if isinstance(message, Stopped):
            self._note_stopped(message)

    def _on_own_stopped(self, service: str, version: int) -> None:
        state = self._fleet.state
        self._note_stopped(Stopped(state.vm, state.incarnation, service, version))

    def _note_stopped(self, message: Stopped) -> None:
        key = (message.service, message.version)
        self._stopped.setdefault(key, {})[message.vm] = message.incarnation
        if len(self._stopped) > 64:
            self._stopped.pop(next(iter(self._stopped)))
        promotion = self._promotion_by_service.get(message.service)
        if promotion is not None and self._fleet.state.holds_duty(now_s()):
            self._check_stopped(promotion, now_s())

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        now = now_s()
        if not self._fleet.state.holds_duty(now):
            return
        for promotion in list(self._promotion_by_service.values()):
            self._check_stopped(promotion, now)

    # Targets

    async def _dial(self, target_id: str) -> TargetConnection | str:
        entry = self._directory.entry(target_id)
        if entry is None:
            return "gone"
        # Status questions are the proxy's own and name no team.
        opening = OpenSession(entry.service, "", target_id)
        connection = TargetConnection(self._directory.create_codec(), opening)
        endpoint = TCP4ClientEndpoint(
            self._reactor, entry.host, entry.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            await connectProtocol(endpoint, connection)
            connection.opened.addTimeout(CONNECT_TIMEOUT_S, self._reactor)
            await connection.opened
        except Exception as error:
            connection.abort()
            name = type(error).__name__
            log_decision("target_not_dialled", target=target_id, detail=str(error))
            return "refused" if name == "ConnectionRefusedError" else "silent"
        return connection

    async def _read_statuses(
        self, target_ids: tuple[str, ...]
    ) -> dict[str, TargetStatus]:
        asked = [
            Deferred.fromCoroutine(self._read_status(target_id))
            for target_id in target_ids
        ]
        results = await DeferredList(asked, consumeErrors=True)
        return {
            target_id: status
            for target_id, (_, status) in zip(target_ids, results, strict=True)
            if isinstance(status, TargetStatus)
        }

    async def _read_status(self, target_id: str) -> TargetStatus | None:
        dialled = Deferred.fromCoroutine(self._dial(target_id))
        dialled.addTimeout(STATUS_PATIENCE_S, self._reactor)
        try:
            connection = await dialled
        except TimeoutError:
            return None
        if isinstance(connection, str):
            return None
        codec = self._directory.create_codec()
        asked = connection.send(codec.encode_status(), 0, now_s())
        asked.addTimeout(STATUS_PATIENCE_S, self._reactor)
        try:
            reply = await asked
            return codec.decode_status(reply.rows)
        except Exception as error:
            log_decision("status_unknown", target=target_id, detail=str(error))
            return None
        finally:
            connection.close()

    async def _demote(self, target_id: str, term: int) -> None:
        connection = await self._dial(target_id)
        if isinstance(connection, str):
            return
        codec = self._directory.create_codec()
        asked = connection.send(codec.encode_demote(term), 0, now_s())
        asked.addTimeout(STATUS_PATIENCE_S, self._reactor)
        try:
            reply = await asked
            log_decision(
                "primary_demoted", target=target_id, term=term, answer=list(reply.rows)
            )
        except Exception as error:
            log_decision("demotion_unanswered", target=target_id, detail=str(error))
        finally:
            connection.close()
