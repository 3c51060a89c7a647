"""Enforces team rates over all VMs, in cooperation with the failure domain's VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NoReturn

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.task import deferLater

from guavabarrow_core.admission_queue import (
    MAX_WAIT_FRACTION,
    TRANSITION_S,
    AdmissionQueue,
)
from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.heartbeat_delta import HeartbeatDelta
from guavabarrow_core.pooled_rate_limiter import AdmissionDecision, PooledRateLimiter
from guavabarrow_core.rate_limiter import RateTolerance
from guavabarrow_core.session_messages import FailureCode
from guavabarrow_core.share_lease import ArrivalClock, PeerPoolState
from guavabarrow_daemon.fleet.fleet_messages import (
    FleetMessage,
    PeerHeartbeat,
    TokenGrant,
    TokenRequest,
)
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.operations.session_metrics import SessionMetrics

if TYPE_CHECKING:
    from guavabarrow_core.fleet_state import VersionedRow
    from guavabarrow_daemon.fleet.fleet_service import HeartbeatDraft
    from guavabarrow_daemon.session_settings import SessionVmSettings

EXCLUDE_AFTER_S = 9.0
"""A VM that has been marked unavailable for this long is excluded from the division of
rates. It can't use targets any more: its lease on primaries has expired, and its data
is older than any staleness bound that a read may state."""

UNKNOWN_HOST = "?"
"""Pool host of a connected VM until its first heartbeat arrives."""

POOL_POLL_INTERVAL_S = 0.03
"""Interval at which an operation that waits for a pool to open tries again."""

GRANT_TIMEOUT_S = 0.15
"""Many times the network latency plus the host's processing time; a statement still has
most of its deadline left."""


@dataclass(frozen=True, slots=True)
class AdmissionAnswer:
    """Outcome of one attempt to admit an operation.

    Parameters
    ----------
    is_admitted : bool
        Whether the operation may start.
    next_token_s, interval_s : float
        Time until the team's next token, and between further ones, in s.
    may_wait : bool
        Whether the shares of the rate changed recently, so that waiting helps.
    detail : str
        Inputs of a refusal.
    """

    is_admitted: bool
    next_token_s: float = 0.0
    interval_s: float = 0.0
    may_wait: bool = False
    detail: str = ""


class DemandDelta(HeartbeatDelta[float]):
    """Computes the changes of a demand since the last heartbeat."""

    def __init__(self) -> None:
        super().__init__(removed=0.0)

    def next_fields(self, demand_by_team: dict[str, float]) -> dict[str, Any]:
        """Return the heartbeat fields for a demand, and record it as sent."""
        is_full, changed = self.next_changes(demand_by_team)
        return {"is_full": is_full, "demand_by_team": changed}


class RateService(Service):
    """Admits operations within the rates of their teams.

    Attributes
    ----------
    rates : PooledRateLimiter
        Makes the decisions, from the messages that this service receives.
    """

    name = "rates"

    def __init__(
        self, kernel: Kernel, settings: SessionVmSettings, reactor: Any
    ) -> None:
        super().__init__(kernel)
        self._vm = settings.vm
        self._domain = settings.domain
        self._reactor = reactor
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._metrics = kernel.find(SessionMetrics)
        tolerance = RateTolerance(
            settings.rate_window_s, settings.rate_over, settings.rate_slack
        )
        self.rates = PooledRateLimiter(settings.vm, settings.domain, tolerance)
        self._queue = AdmissionQueue()
        self._changed_at = now_s()
        self._serving_vms: frozenset[str] = frozenset()
        self._domain_by_vm: dict[str, str] = {}
        self._new_peers: set[str] = set()
        self._arrival_clock_by_vm: dict[str, ArrivalClock] = {}
        self._delta_inside = DemandDelta()
        self._delta_between_hubs = DemandDelta()
        self._last_number = 0
        self._pending_requests: dict[int, Deferred[TokenGrant]] = {}

    async def start(self) -> None:
        """Subscribe to the configuration, the members and the other VMs' demand."""
        self._links.on_peer_up.append(self._on_peer_up)
        self._links.on_peer_message.append(self._on_message)
        self._fleet.orders.on_changed.append(self._on_orders)
        self._fleet.on_heartbeat.append(self._on_heartbeat)
        self._fleet.on_rows.append(self._on_rows)
        self._fleet.on_departure.append(self._on_departure)
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)

    async def admit(self, team: str, *, objective_s: float = 0.0) -> None:
        """Admit an operation, which may wait for its token for a moment.

        Parameters
        ----------
        team : str
            The team.
        objective_s : float
            Latency objective of the operation, in s.

        Raises
        ------
        SessionError
            If the team exceeds its rate.
        """
        until = now_s() + MAX_WAIT_FRACTION * objective_s
        answer = await self._try_admit(team, is_retry=False)
        while not answer.is_admitted:
            now = now_s()
            wait_s = self._queue.enter(
                team,
                now,
                next_token_s=answer.next_token_s,
                interval_s=answer.interval_s,
                limit_s=until - now if answer.may_wait else 0.0,
            )
            if wait_s is None:
                self._refuse(team, answer)
            try:
                await deferLater(self._reactor, wait_s, lambda: None)
            finally:
                self._queue.leave(team)
            answer = await self._try_admit(team, is_retry=True)
        self._count(AdmissionDecision.ADMITTED)

    def return_token(self, team: str) -> None:
        """Put back the token of an operation that reached no target."""
        self.rates.return_token(team, now_s())

    async def _try_admit(self, team: str, *, is_retry: bool) -> AdmissionAnswer:
        now = now_s()
        decision = self.rates.admit(team, now, is_retry=is_retry)
        if decision is AdmissionDecision.ASK_HOST:
            self._count(decision)
            return await self._request_token(team, now, is_retry=is_retry)
        return self._local_answer(team, decision)

    def _local_answer(self, team: str, decision: AdmissionDecision) -> AdmissionAnswer:
        if decision is AdmissionDecision.ADMITTED:
            return AdmissionAnswer(is_admitted=True)
        now = now_s()
        next_token_s = self.rates.wait_s(team, now)
        interval_s = self.rates.interval_s(team, now)
        if not self.rates.host:
            # The pool that is about to open has more than this VM's own share.
            next_token_s, interval_s = min(next_token_s, POOL_POLL_INTERVAL_S), 0.0
        return AdmissionAnswer(
            is_admitted=False,
            next_token_s=next_token_s,
            interval_s=interval_s,
            may_wait=self._is_in_transition(),
            detail=self.rates.describe(team),
        )

    def _is_in_transition(self) -> bool:
        return now_s() < self._changed_at + TRANSITION_S

    async def _request_token(
        self, team: str, now: float, *, is_retry: bool
    ) -> AdmissionAnswer:
        host = self.rates.host
        if not self._links.is_linked(host):
            return self._admit_without_host(team)
        self._last_number += 1
        number = self._last_number
        reply: Deferred[TokenGrant] = Deferred()
        reply.addTimeout(GRANT_TIMEOUT_S, self._reactor)
        self._pending_requests[number] = reply
        count = self.rates.tokens_to_request(team, now)
        self._links.send(host, TokenRequest(number, team, count, is_retry))
        try:
            grant = await reply
        except TimeoutError:
            log_decision("pool_unanswered", host=host, team=team)
            return self._admit_without_host(team)
        finally:
            self._pending_requests.pop(number, None)
        if self.rates.accept_grant(team, grant.count, now_s()):
            return AdmissionAnswer(is_admitted=True)
        return AdmissionAnswer(
            is_admitted=False,
            next_token_s=grant.wait_s,
            interval_s=grant.interval_s,
            may_wait=grant.may_wait,
            detail=grant.detail,
        )

    def _admit_without_host(self, team: str) -> AdmissionAnswer:
        now = now_s()
        host = self.rates.host
        self.rates.on_host_unreachable(now)
        if self.rates.host != host:
            self._changed_at = now
            log_decision(
                "pool_left", host=host, held_s=round(self.rates.free_at - now, 3)
            )
        # The demand was counted when the host was chosen.
        return self._local_answer(team, self.rates.admit(team, now, is_retry=True))

    def _count(self, decision: AdmissionDecision) -> None:
        self._metrics.admissions.labels(decision.value).inc()

    def _refuse(self, team: str, answer: AdmissionAnswer) -> NoReturn:
        self._count(AdmissionDecision.REFUSED)
        raise SessionError(
            FailureCode.OVERLOADED,
            f"above its rate: {answer.detail} waiting={self._queue.waiting(team)}",
            retry_after_s=self._queue.expected_wait_s(
                team,
                next_token_s=answer.next_token_s,
                interval_s=answer.interval_s,
            ),
        )

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        match message:
            case TokenRequest(number, team, count, is_retry):
                now = now_s()
                granted = self.rates.grant(team, count, now, is_retry=is_retry)
                grant = TokenGrant(number, granted)
                if not granted:
                    grant = TokenGrant(
                        number,
                        0,
                        self.rates.wait_s(team, now),
                        self.rates.interval_s(team, now),
                        self._is_in_transition(),
                        self.rates.describe(team),
                    )
                self._links.send(vm, grant)
            case TokenGrant(number):
                reply = self._pending_requests.pop(number, None)
                if reply is not None and not reply.called:
                    reply.callback(message)

    def _on_orders(self) -> None:
        if self._fleet.configuration is not None:
            self.rates.configure(self._fleet.configuration.rates())

    def _on_peer_up(self, vm: str) -> None:
        # A newly connected VM has none of the demand that was sent before.
        self._delta_inside.reset()
        self._delta_between_hubs.reset()
        self._new_peers.add(vm)
        self._arrival_clock_by_vm[vm] = ArrivalClock()
        self._fleet.send_heartbeat_soon()

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        self._set_members()

    def _on_departure(self, vm: str) -> None:
        # The share of a VM that runs nothing any more is for the others at once.
        self._set_members()
        self._update_pool(now_s())

    def _set_members(self) -> None:
        now = now_s()
        state = self._fleet.state
        domain_vms: set[str] = set()
        vms_by_domain: dict[str, int] = {}
        members = state.member_by_vm()
        self._domain_by_vm = {vm: member.domain for vm, member in members.items()}
        for vm, member in members.items():
            unavailable_s = now - state.out_since.get(vm, now)
            if member.is_out and unavailable_s >= EXCLUDE_AFTER_S:
                continue
            if self._fleet.departed_at(vm) is not None:
                continue
            if member.domain == self._domain:
                domain_vms.add(vm)
            else:
                count = vms_by_domain.get(member.domain, 0)
                vms_by_domain[member.domain] = count + 1
        if domain_vms != self._serving_vms:
            self._serving_vms = frozenset(domain_vms)
            self._changed_at = now
        self.rates.set_members(frozenset(domain_vms), vms_by_domain)

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        now = now_s()
        self._new_peers.discard(vm)
        domain = self._domain_by_vm.get(vm)
        if domain == self._domain:
            arrived_at = self._undelayed_arrival(vm, heartbeat, now)
            self.rates.local.update_peer_demand(
                vm,
                heartbeat.demand_by_team,
                arrived_at,
                is_full=heartbeat.is_full,
            )
            pool_changed = heartbeat.has_pool != (self.rates.host == vm)
            if self.rates.pool is not None:
                is_user = heartbeat.pool_host == self._vm
                pool_changed |= is_user != self.rates.is_pool_user(vm)
            if pool_changed or self._fleet.observer() == self._vm != self.rates.host:
                self._update_pool(now)
        elif domain is not None and heartbeat.has_pool:
            self.rates.update_domain_demand(
                domain, heartbeat.demand_by_team, now, is_full=heartbeat.is_full
            )

    def _undelayed_arrival(
        self, vm: str, heartbeat: PeerHeartbeat, now: float
    ) -> float:
        if not heartbeat.sent_s:
            # The sender does not know this VM yet, and names no pool host.
            return now
        clock = self._arrival_clock_by_vm.setdefault(vm, ArrivalClock())
        return clock.undelayed(heartbeat.sent_s, now)

    def _update_pool(self, now: float) -> None:
        if not self._fleet.state.is_member(now):
            # The VMs of this failure domain are not known before registration.
            return
        previous = self.rates.host
        had_pool = self.rates.pool is not None
        pool_state_by_vm = {}
        for vm in self._links.live_peers():
            if self._domain_by_vm.get(vm) == self._domain:
                age_s, heartbeat = self._fleet.last_heartbeat(vm)
                pool_state_by_vm[vm] = PeerPoolState(
                    UNKNOWN_HOST if vm in self._new_peers else heartbeat.pool_host,
                    heartbeat.has_pool,
                    now - age_s + heartbeat.share_held_s,
                )
        self.rates.update_pool(self._fleet.observer(), pool_state_by_vm, now)
        if self.rates.host != previous:
            self._changed_at = now
            log_decision("pool_host_changed", host=self.rates.host, former=previous)
        if self.rates.pool is not None and not had_pool:
            self._delta_between_hubs.reset()
        if self.rates.host != previous:
            self._fleet.send_heartbeat_now()

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        now = now_s()
        draft.inside["sent_s"] = now
        if draft.is_greeting:
            draft.common["has_pool"] = self.rates.pool is not None
            draft.inside["pool_host"] = self.rates.host
            draft.inside["share_held_s"] = max(0.0, self.rates.free_at - now)
            self.rates.on_renewal_sent(now)
            return
        self._set_members()
        self._update_pool(now)
        draft.inside.update(
            self._delta_inside.next_fields(self.rates.local.publish_demand(now))
        )
        draft.inside["pool_host"] = self.rates.host
        draft.inside["share_held_s"] = max(0.0, self.rates.free_at - now)
        if self.rates.pool is None:
            return
        draft.common["has_pool"] = True
        draft.between_hubs.update(
            self._delta_between_hubs.next_fields(self.rates.pool.publish_demand(now))
        )
