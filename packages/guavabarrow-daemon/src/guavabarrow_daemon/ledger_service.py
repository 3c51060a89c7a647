"""Enforces each team's rate and burst over the whole fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from guavabarrow_core.exceptions import Overloaded, RateExceeded
from guavabarrow_core.fleet import OPEN_TEAM, TeamLimits
from guavabarrow_core.rendezvous import rank_members
from guavabarrow_core.token_lending import GRANT_TTL_S, DomainBucket
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.lease_runner import LeaseRunner
from guavabarrow_daemon.membership_service import MembershipService
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.peer_messages import (
    AskLoan,
    AskTokens,
    GiveLoan,
    GrantTokens,
)
from guavabarrow_daemon.peers import Peers
from guavabarrow_daemon.state_log import log_state
from guavabarrow_daemon.team_admission import TeamAdmission, Waiter

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Fleet
    from guavabarrow_core.membership import Heartbeat
    from guavabarrow_daemon.settings import Settings
    from guavabarrow_daemon.store.interface import TableService

TICK_S = 0.1
LOAN_TIMEOUT_S = 0.05
LOAN_RETRY_DELAY_S = 0.1
MAX_WAITERS = 2000
OPEN_LIMITS = TeamLimits(rate_per_s=200.0, burst=200.0, weight=1.0, read_max_age_s=None)


@dataclass(slots=True)
class LoanRound:
    """Token request for which the holder borrows from other domains' ledgers."""

    reply_to: str
    ask: AskTokens
    pending: int
    received: float = 0.0


class LedgerService(Service):
    """Spends this VM's tokens and, as the holder, manages the domain's buckets.

    Parameters
    ----------
    kernel : Kernel
        Registry.
    settings : Settings
        Own name and domain.
    table : TableService
        Stores the lease of the ledger.
    reactor : object
        Clock.
    """

    name = "ledger"

    def __init__(
        self, kernel: Kernel, settings: Settings, table: TableService, reactor: Any
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._reactor = reactor
        self._peers = kernel.find(Peers)
        self._membership = kernel.find(MembershipService)
        self._configuration = kernel.find(ConfigurationService)
        self._metrics = kernel.find(Metrics)
        self._lease = LeaseRunner(
            settings, table, self._membership, reactor, self._handle_role_change
        )
        self._admission_by_team: dict[str, TeamAdmission] = {}
        self._bucket_by_team: dict[str, DomainBucket] = {}
        self._loan_rounds: dict[int, LoanRound] = {}
        self._next_loan_at: dict[str, float] = {}
        self._was_holder = False
        self._held_epoch = 0
        self._grants_from = 0.0
        self._ask_id = 0
        self._loop = kernel.tasks.create_periodic("ledger_tick", self._tick, reactor)

    @property
    def is_holder(self) -> bool:
        """Whether this VM holds its domain's ledger now."""
        return self._lease.is_holder

    @property
    def is_initial_holder(self) -> bool:
        """Whether no VM held the lease before, so that no grants are outstanding."""
        return self._lease.is_initial_holder

    async def start(self) -> None:
        """Start contending for the lease."""
        self._configuration.on_change.append(self._apply_configuration)
        self._loop.start(TICK_S)

    async def stop(self) -> None:
        """Release the lease, so that the successor does not wait for its expiry."""
        if self._loop.running:
            self._loop.stop()
        await self.release_lease()

    async def release_lease(self) -> None:
        """Release the lease and stop contending for it."""
        await self._lease.release()

    async def admit(self, team: str, *, cost: float, deadline: float) -> None:
        """Spend tokens for a request; ask the ledger for more before refusing it.

        Parameters
        ----------
        team : str
            Team whose tokens are spent.
        cost : float
            Tokens to spend.
        deadline : float
            Monotonic time after which the request no longer waits, in s.

        Raises
        ------
        RateExceeded
            If the team is above its rate and burst.
        Overloaded
            If too many requests wait or no ledger answered in time.
        """
        now = self._reactor.seconds()
        if self._settings.policies.rates == "static":
            self._admit_static(team, cost, now)
            return
        admission = self._admission_by_team.setdefault(team, TeamAdmission())
        if not admission.waiters and admission.cache.spend(cost, now):
            return
        if len(admission.waiters) >= MAX_WAITERS:
            raise Overloaded("Too many requests wait for tokens.", retry_after_s=0.5)
        waiter = Waiter(cost, deadline, Deferred())
        admission.waiters.append(waiter)
        self._request_tokens(team, admission)
        await waiter.admitted

    def _admit_static(self, team: str, cost: float, now: float) -> None:
        """Admit within an equal share per live VM; a baseline for measurements."""
        fleet = self._configuration.fleet
        limits = OPEN_LIMITS if team == OPEN_TEAM else fleet.limits_of(team)
        share = 1.0 / len(self._membership.table.alive())
        rate_per_s, burst = limits.rate_per_s * share, limits.burst * share
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            bucket = DomainBucket(rate_per_s, burst, now, burst)
            self._bucket_by_team[team] = bucket
        bucket.set_limits(rate_per_s=rate_per_s, burst=burst, now=now)
        if bucket.level < cost:
            raise RateExceeded(
                "The team is above this VM's share of its rate.",
                retry_after_s=(cost - bucket.level) / rate_per_s,
            )
        bucket.level -= cost

    def receive(self, reply_to: str, message: object) -> None:
        """Handle requests as the holder and answers as a requester."""
        match message:
            case AskTokens():
                self._handle_token_request(reply_to, message)
            case GrantTokens():
                self._handle_grant(message)
            case AskLoan():
                self._handle_loan_request(reply_to, message)
            case GiveLoan():
                self._handle_loan(message)

    def _request_tokens(self, team: str, admission: TeamAdmission) -> None:
        now = self._reactor.seconds()
        holder = self._find_holder(team)
        if holder is None or admission.is_ask_pending(holder.vm, now):
            return
        wanted = admission.cache.wanted(admission.waiting_cost, now)
        if wanted <= 0:
            return
        self._ask_id += 1
        admission.record_ask(self._ask_id, holder.vm, now)
        returned = admission.cache.take_returned()
        message = AskTokens(
            admission.ask_id, team, wanted, admission.cache.tokens, returned
        )
        if holder.vm == self._settings.vm:
            self._handle_token_request("", message)
        else:
            self._peers.send(holder.peer_address, message)

    def _find_holder(self, team: str) -> Heartbeat | None:
        """Return the ledger holder of this domain, or else of another domain."""
        own = self._membership.ledger_holder(self._settings.domain)
        if own is not None:
            return own
        others = {beat.vm: beat for beat in self._other_holders()}
        names = rank_members(f"{team}/{self._settings.vm}", others)
        return others[names[0]] if names else None

    def _handle_grant(self, grant: GrantTokens) -> None:
        admission = self._admission_by_team.get(grant.team)
        if (
            admission is None
            or not admission.ask_pending
            or grant.ask_id != admission.ask_id
        ):
            return
        now = self._reactor.seconds()
        admission.ask_pending = False
        if not grant.is_holder:
            return
        expires_at = admission.asked_at + grant.ttl_s
        admission.cache.add(grant.tokens, expires_at=expires_at, now=now)
        self._metrics.tokens.labels("granted").inc(grant.tokens)
        admission.admit_waiters(now)
        if grant.retry_after_s > 0:
            refused = admission.refuse_waiters(grant.retry_after_s)
            self._metrics.tokens.labels("refused").inc(refused)
        elif admission.waiters:
            self._request_tokens(grant.team, admission)

    def _handle_token_request(self, reply_to: str, ask: AskTokens) -> None:
        now = self._reactor.seconds()
        can_grant = self.is_holder and now >= self._grants_from
        if not can_grant or not self._is_configured_team(ask.team):
            if reply_to:
                not_holder = GrantTokens(ask.ask_id, ask.team, 0.0, 0.0, 0.0, False)
                self._peers.send(reply_to, not_holder)
            return
        bucket = self._bucket(ask.team)
        bucket.refill(now)
        missing = ask.wanted - bucket.level
        if missing > 0 and self._borrow(reply_to, ask, missing):
            return
        self._grant(reply_to, ask)

    def _grant(self, reply_to: str, ask: AskTokens) -> None:
        now = self._reactor.seconds()
        grant = self._bucket(ask.team).grant(
            reply_to,
            wanted=ask.wanted,
            held=ask.held,
            returned=ask.returned,
            now=now,
        )
        message = GrantTokens(
            ask.ask_id, ask.team, grant.tokens, grant.ttl_s, grant.retry_after_s, True
        )
        if reply_to:
            self._peers.send(reply_to, message)
        else:
            self._handle_grant(message)

    def _borrow(self, reply_to: str, ask: AskTokens, missing: float) -> bool:
        now = self._reactor.seconds()
        lenders = self._other_holders()
        if not lenders or now < self._next_loan_at.get(ask.team, 0.0):
            return False
        self._ask_id += 1
        round_id = self._ask_id
        sent = 0
        for lender in lenders:
            loan = AskLoan(round_id, ask.team, missing)
            sent += self._peers.send(lender.peer_address, loan)
        if not sent:
            return False
        self._loan_rounds[round_id] = LoanRound(reply_to, ask, sent)
        self._reactor.callLater(LOAN_TIMEOUT_S, self._end_loan_round, round_id)
        return True

    def _other_holders(self) -> list[Heartbeat]:
        domains = {beat.domain for beat in self._membership.table.alive()} - {
            self._settings.domain
        }
        holders = [self._membership.ledger_holder(domain) for domain in sorted(domains)]
        return [holder for holder in holders if holder is not None]

    def _handle_loan_request(self, reply_to: str, ask: AskLoan) -> None:
        tokens = 0.0
        if self.is_holder and self._is_configured_team(ask.team):
            now = self._reactor.seconds()
            tokens = self._bucket(ask.team).lend(ask.wanted, now)
        self._metrics.tokens.labels("lent").inc(tokens)
        self._peers.send(reply_to, GiveLoan(ask.ask_id, ask.team, tokens))

    def _handle_loan(self, loan: GiveLoan) -> None:
        if not self.is_holder or not self._is_configured_team(loan.team):
            return
        now = self._reactor.seconds()
        self._bucket(loan.team).receive(loan.tokens, now)
        loan_round = self._loan_rounds.get(loan.ask_id)
        if loan_round is None:
            return
        loan_round.received += loan.tokens
        loan_round.pending -= 1
        if loan_round.pending == 0:
            self._end_loan_round(loan.ask_id)

    def _end_loan_round(self, round_id: int) -> None:
        loan_round = self._loan_rounds.pop(round_id, None)
        if loan_round is None or not self.is_holder:
            return
        if loan_round.received <= 0:
            retry_at = self._reactor.seconds() + LOAN_RETRY_DELAY_S
            self._next_loan_at[loan_round.ask.team] = retry_at
        self._grant(loan_round.reply_to, loan_round.ask)

    def _is_configured_team(self, team: str) -> bool:
        return team == OPEN_TEAM or team in self._configuration.fleet.teams

    def _bucket(self, team: str) -> DomainBucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            limits = self._domain_limits(team)
            level = limits.burst if self.is_initial_holder else 0.0
            bucket = DomainBucket(
                limits.rate_per_s, limits.burst, self._grants_from, level
            )
            self._bucket_by_team[team] = bucket
        return bucket

    def _domain_limits(self, team: str) -> TeamLimits:
        fleet = self._configuration.fleet
        limits = OPEN_LIMITS if team == OPEN_TEAM else fleet.limits_of(team)
        share = 1.0 / max(1, len(fleet.domains))
        return TeamLimits(
            limits.rate_per_s * share,
            limits.burst * share,
            limits.weight,
            limits.read_max_age_s,
        )

    def _apply_configuration(self, fleet: Fleet) -> None:
        now = self._reactor.seconds()
        for team in list(self._bucket_by_team):
            if not self._is_configured_team(team):
                del self._bucket_by_team[team]
                continue
            limits = self._domain_limits(team)
            self._bucket_by_team[team].set_limits(
                rate_per_s=limits.rate_per_s, burst=limits.burst, now=now
            )

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self._lease.tick()
        for team, admission in list(self._admission_by_team.items()):
            admission.admit_waiters(now)
            if admission.waiters:
                self._request_tokens(team, admission)

    def _handle_role_change(self) -> None:
        is_holder = self.is_holder
        changed = is_holder != self._was_holder or (
            is_holder and self._lease.epoch != self._held_epoch
        )
        if not changed:
            return
        self._was_holder = is_holder
        self._held_epoch = self._lease.epoch
        self._grants_from = self._reactor.seconds()
        if not self.is_initial_holder:
            self._grants_from += GRANT_TTL_S
        self._bucket_by_team.clear()
        self._loan_rounds.clear()
        self._membership.announce(
            ledger_holder=is_holder, ledger_epoch=self._lease.epoch
        )
        event = "ledger_held" if is_holder else "ledger_left"
        log_state(self._settings.vm, event, epoch=self._lease.epoch)
