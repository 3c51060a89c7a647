"""Keeps the rates of teams over all VMs, with the other VMs of the failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, TimeoutError

from guavabarrow_core.exceptions import SessionError
from guavabarrow_core.pooled_rate_limiter import (
    AdmissionDecision,
    PeerPoolState,
    PooledRateLimiter,
)
from guavabarrow_core.rate_limiter import RateTolerance
from guavabarrow_core.session_messages import FailureCode
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

SILENCED_AFTER_S = 9.0
"""A VM that is out of contact can't reach targets any longer after this time: its right
to use primaries has lapsed, and its observations are older than any stated age."""

FULL_HEARTBEAT_EVERY = 8
"""Every so many pulses all demand is told, whatever was missed."""

UNKNOWN_HOST = "?"
"""Stands for the host of a VM that was linked and has not told it yet."""

GRANT_TIMEOUT_S = 0.15
"""Many times a crossing and the host's own work; a statement still has most of its
time left."""


class DemandNews:
    """Finds what changed of a demand since it was told last."""

    def __init__(self) -> None:
        self._told: dict[str, float] | None = None
        self._count = 0

    def forget(self) -> None:
        """Tell everything the next time."""
        self._told = None

    def take(self, demand_by_team: dict[str, float]) -> dict[str, Any]:
        """Return the fields of a pulse that tell a demand."""
        self._count += 1
        if self._count % FULL_HEARTBEAT_EVERY == 0:
            self._told = None
        told, self._told = self._told, demand_by_team
        known = told or {}
        changed = {
            team: demand_by_team.get(team, 0.0)
            for team in {*demand_by_team, *known}
            if demand_by_team.get(team, 0.0) != known.get(team)
        }
        return {"is_full": told is None, "demand_by_team": changed}


class RateService(Service):
    """Rates of teams.

    Attributes
    ----------
    rates : PooledRateLimiter
        Decides; this service tells it what others said.
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
        self._domain_by_vm: dict[str, str] = {}
        self._unheard: set[str] = set()
        self._news_inside = DemandNews()
        self._news_outside = DemandNews()
        self._number = 0
        self._waiting: dict[int, Deferred[TokenGrant]] = {}

    async def start(self) -> None:
        """Follow configuration, members and the other VMs' demand."""
        self._links.on_peer_up.append(self._on_peer_up)
        self._links.on_peer_message.append(self._on_message)
        self._fleet.on_orders.append(self._on_orders)
        self._fleet.on_heartbeat.append(self._on_heartbeat)
        self._fleet.on_rows.append(self._on_rows)
        self._fleet.heartbeat_fillers.append(self._fill_heartbeat)

    async def admit(self, team: str) -> None:
        """Let an operation start.

        Raises
        ------
        SessionError
            If the team is above its rate.
        """
        now = now_s()
        verdict = self.rates.admit(team, now)
        if verdict is AdmissionDecision.ASK_HOST:
            verdict = await self._ask_host(team, now)
        self._metrics.admissions.labels(verdict.value).inc()
        if verdict is AdmissionDecision.REFUSED:
            self._refuse(self.rates.describe(team), self.rates.wait_s(team))

    def return_token(self, team: str) -> None:
        """Return the token of an operation that reached no target."""
        self.rates.return_token(team, now_s())

    async def _ask_host(self, team: str, now: float) -> AdmissionDecision:
        host = self.rates.host
        if not self._links.is_linked(host):
            self.rates.on_host_unreachable(now)
            return self.rates.admit(team, now)
        self._number += 1
        number = self._number
        answer: Deferred[TokenGrant] = Deferred()
        answer.addTimeout(GRANT_TIMEOUT_S, self._reactor)
        self._waiting[number] = answer
        count = self.rates.tokens_to_request(team, now)
        self._links.send(host, TokenRequest(number, team, count))
        try:
            grant = await answer
        except TimeoutError:
            now = now_s()
            log_decision("pool_unanswered", host=host, team=team)
            self.rates.on_host_unreachable(now)
            return self.rates.admit(team, now)
        finally:
            self._waiting.pop(number, None)
        if self.rates.accept_grant(team, grant.count, now_s()):
            return AdmissionDecision.ADMITTED
        self._metrics.admissions.labels(AdmissionDecision.REFUSED.value).inc()
        self._refuse(grant.detail, grant.wait_s)
        return AdmissionDecision.REFUSED

    @staticmethod
    def _refuse(detail: str, wait_s: float) -> None:
        raise SessionError(
            FailureCode.OVERLOADED,
            f"above its rate: {detail}",
            retry_after_s=wait_s,
        )

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        match message:
            case TokenRequest(number, team, count):
                granted = self.rates.grant(team, count, now_s())
                grant = TokenGrant(number, granted)
                if not granted:
                    grant = TokenGrant(
                        number, 0, self.rates.wait_s(team), self.rates.describe(team)
                    )
                self._links.send(vm, grant)
            case TokenGrant(number):
                answer = self._waiting.pop(number, None)
                if answer is not None and not answer.called:
                    answer.callback(message)

    def _on_orders(self) -> None:
        if self._fleet.configuration is not None:
            self.rates.configure(self._fleet.configuration.rates())

    def _on_peer_up(self, vm: str) -> None:
        # A VM that is linked anew knows none of the demand told before.
        self._news_inside.forget()
        self._news_outside.forget()
        self._unheard.add(vm)
        self._fleet.send_heartbeat_soon()

    def _on_rows(self, rows: list[VersionedRow]) -> None:
        self._set_members()

    def _set_members(self) -> None:
        now = now_s()
        state = self._fleet.state
        near: set[str] = set()
        vms_by_domain: dict[str, int] = {}
        members = state.member_by_vm()
        self._domain_by_vm = {vm: member.domain for vm, member in members.items()}
        for vm, member in members.items():
            known_out_s = now - state.out_since.get(vm, now)
            if member.is_out and known_out_s >= SILENCED_AFTER_S:
                continue
            if member.domain == self._domain:
                near.add(vm)
            else:
                count = vms_by_domain.get(member.domain, 0)
                vms_by_domain[member.domain] = count + 1
        self.rates.set_members(frozenset(near), vms_by_domain)

    def _on_heartbeat(self, vm: str, heartbeat: PeerHeartbeat) -> None:
        now = now_s()
        self._unheard.discard(vm)
        domain = self._domain_by_vm.get(vm)
        if domain == self._domain:
            self.rates.local.update_peer_demand(
                vm, heartbeat.demand_by_team, now, is_full=heartbeat.is_full
            )
            is_news = heartbeat.has_pool != (self.rates.host == vm)
            if is_news or self._fleet.observer() == self._vm != self.rates.host:
                self._follow(now)
        elif domain is not None and heartbeat.has_pool:
            self.rates.update_domain_demand(
                domain, heartbeat.demand_by_team, now, is_full=heartbeat.is_full
            )

    def _follow(self, now: float) -> None:
        if not self._fleet.state.is_registered():
            # Who the neighbours are is not known yet.
            return
        former = self.rates.host
        had_pool = self.rates.pool is not None
        view_by_vm = {}
        for vm in self._links.live_peers():
            if self._domain_by_vm.get(vm) == self._domain:
                _, heartbeat = self._fleet.last_heartbeat(vm)
                host = UNKNOWN_HOST if vm in self._unheard else heartbeat.pool_host
                view_by_vm[vm] = PeerPoolState(host, heartbeat.has_pool)
        self.rates.update_pool(self._fleet.observer(), view_by_vm, now)
        if self.rates.host != former:
            log_decision("pool_host_changed", host=self.rates.host, former=former)
        if self.rates.pool is not None and not had_pool:
            self._news_outside.forget()
        if self.rates.host != former:
            self._fleet.send_heartbeat_now()

    def _fill_heartbeat(self, draft: HeartbeatDraft) -> None:
        now = now_s()
        self._set_members()
        self._follow(now)
        draft.inside.update(
            self._news_inside.take(self.rates.local.publish_demand(now))
        )
        draft.inside["pool_host"] = self.rates.host
        if self.rates.pool is None:
            return
        draft.common["has_pool"] = True
        draft.outside.update(
            self._news_outside.take(self.rates.pool.publish_demand(now))
        )
