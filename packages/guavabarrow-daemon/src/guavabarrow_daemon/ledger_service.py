"""Admits requests within a team's rate and burst over the whole fleet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

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
LOAN_RETRY_S = 0.1
MAX_WAITING = 2000
OPEN_LIMITS = TeamLimits(rate_per_s=200.0, burst=200.0, weight=1.0, read_max_age_s=None)


@dataclass(slots=True)
class LoanRound:
    """An ask that the holder could not meet from its own bucket."""

    reply_to: str
    ask: AskTokens
    pending: int
    received: float = 0.0


class LedgerService(Service):
    """Spends tokens of this VM and, as the holder, keeps the domain's buckets.

    Parameters
    ----------
    kernel : Kernel
        Registry.
    settings : Settings
        Own name and domain.
    table : TableService
        Holds the lease of the ledger.
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
            settings, table, self._membership, reactor, self._notice_role
        )
        self._admission_by_team: dict[str, TeamAdmission] = {}
        self._bucket_by_team: dict[str, DomainBucket] = {}
        self._loan_rounds: dict[int, LoanRound] = {}
        self._no_loan_until: dict[str, float] = {}
        self._was_holder = False
        self._held_epoch = 0
        self._opens_at = 0.0
        self._ask_id = 0
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor

    @property
    def is_holder(self) -> bool:
        """Whether this VM keeps its domain's ledger now."""
        return self._lease.is_holder

    @property
    def is_initial_holder(self) -> bool:
        """Whether nobody has held the lease before, so nothing can be granted."""
        return self._lease.is_initial_holder

    async def start(self) -> None:
        """Start to contend for the lease."""
        self._configuration.on_change.append(self._apply)
        self._loop.start(TICK_S)

    async def stop(self) -> None:
        """Give the lease back, so that the successor need not wait."""
        if self._loop.running:
            self._loop.stop()
        await self.release_lease()

    async def release_lease(self) -> None:
        """Release the lease and take it no more."""
        await self._lease.release()

    async def admit(self, team: str, *, cost: float, deadline: float) -> None:
        """Take tokens for a request, asking the ledger before refusing.

        Parameters
        ----------
        team : str
            Team that is charged.
        cost : float
            Tokens.
        deadline : float
            Monotonic time after which waiting is useless.

        Raises
        ------
        RateExceeded
            If the team is above its rate and burst.
        Overloaded
            If no ledger could be asked.
        """
        now = self._reactor.seconds()
        if self._settings.policies.rates == "static":
            self._admit_static(team, cost, now)
            return
        admission = self._admission_by_team.setdefault(team, TeamAdmission())
        if not admission.waiters and admission.cache.spend(cost, now):
            return
        if len(admission.waiters) >= MAX_WAITING:
            raise Overloaded("Too many requests wait for tokens.", retry_after_s=0.5)
        waiter = Waiter(cost, deadline, Deferred())
        admission.waiters.append(waiter)
        self._ask(team, admission)
        await waiter.turn

    def _admit_static(self, team: str, cost: float, now: float) -> None:
        """Admit within an equal share for each live VM, as a baseline."""
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
        """Handle asks as the holder and answers as a borrower."""
        match message:
            case AskTokens():
                self._on_ask(reply_to, message)
            case GrantTokens():
                self._on_grant(message)
            case AskLoan():
                self._on_ask_loan(reply_to, message)
            case GiveLoan():
                self._on_loan(message)

    def _ask(self, team: str, admission: TeamAdmission) -> None:
        now = self._reactor.seconds()
        holder = self._find_ledger(team)
        if holder is None or admission.is_asking(holder.vm, now):
            return
        wanted = admission.cache.wanted(admission.waiting_cost, now)
        if wanted <= 0:
            return
        self._ask_id += 1
        admission.note_ask(self._ask_id, holder.vm, now)
        returned = admission.cache.take_returned()
        message = AskTokens(
            admission.ask_id, team, wanted, admission.cache.tokens, returned
        )
        if holder.vm == self._settings.vm:
            self._on_ask("", message)
        else:
            self._peers.send(holder.peer_address, message)

    def _find_ledger(self, team: str) -> Heartbeat | None:
        """Return the holder to ask: of the own domain, else of another one."""
        own = self._membership.ledger_holder(self._settings.domain)
        if own is not None:
            return own
        others = {beat.vm: beat for beat in self._lenders()}
        names = rank_members(f"{team}/{self._settings.vm}", others)
        return others[names[0]] if names else None

    def _on_grant(self, grant: GrantTokens) -> None:
        admission = self._admission_by_team.get(grant.team)
        if (
            admission is None
            or not admission.asking
            or grant.ask_id != admission.ask_id
        ):
            return
        now = self._reactor.seconds()
        admission.asking = False
        if not grant.is_holder:
            return
        expires_at = admission.asked_at + grant.ttl_s
        admission.cache.add(grant.tokens, expires_at=expires_at, now=now)
        self._metrics.tokens.labels("granted").inc(grant.tokens)
        admission.serve_waiters(now)
        if grant.retry_after_s > 0:
            refused = admission.refuse_waiters(grant.retry_after_s)
            self._metrics.tokens.labels("refused").inc(refused)
        elif admission.waiters:
            self._ask(grant.team, admission)

    def _on_ask(self, reply_to: str, ask: AskTokens) -> None:
        now = self._reactor.seconds()
        is_open = self.is_holder and now >= self._opens_at
        if not is_open or not self._has_team(ask.team):
            if reply_to:
                no_holder = GrantTokens(ask.ask_id, ask.team, 0.0, 0.0, 0.0, False)
                self._peers.send(reply_to, no_holder)
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
            self._on_grant(message)

    def _borrow(self, reply_to: str, ask: AskTokens, missing: float) -> bool:
        now = self._reactor.seconds()
        lenders = self._lenders()
        if not lenders or now < self._no_loan_until.get(ask.team, 0.0):
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
        self._reactor.callLater(LOAN_TIMEOUT_S, self._end_round, round_id)
        return True

    def _lenders(self) -> list[Heartbeat]:
        domains = {beat.domain for beat in self._membership.table.alive()} - {
            self._settings.domain
        }
        holders = [self._membership.ledger_holder(domain) for domain in sorted(domains)]
        return [holder for holder in holders if holder is not None]

    def _on_ask_loan(self, reply_to: str, ask: AskLoan) -> None:
        tokens = 0.0
        if self.is_holder and self._has_team(ask.team):
            now = self._reactor.seconds()
            tokens = self._bucket(ask.team).lend(ask.wanted, now)
        self._metrics.tokens.labels("lent").inc(tokens)
        self._peers.send(reply_to, GiveLoan(ask.ask_id, ask.team, tokens))

    def _on_loan(self, loan: GiveLoan) -> None:
        if not self.is_holder or not self._has_team(loan.team):
            return
        now = self._reactor.seconds()
        self._bucket(loan.team).receive(loan.tokens, now)
        loan_round = self._loan_rounds.get(loan.ask_id)
        if loan_round is None:
            return
        loan_round.received += loan.tokens
        loan_round.pending -= 1
        if loan_round.pending == 0:
            self._end_round(loan.ask_id)

    def _end_round(self, round_id: int) -> None:
        loan_round = self._loan_rounds.pop(round_id, None)
        if loan_round is None or not self.is_holder:
            return
        if loan_round.received <= 0:
            retry_at = self._reactor.seconds() + LOAN_RETRY_S
            self._no_loan_until[loan_round.ask.team] = retry_at
        self._grant(loan_round.reply_to, loan_round.ask)

    def _has_team(self, team: str) -> bool:
        return team == OPEN_TEAM or team in self._configuration.fleet.teams

    def _bucket(self, team: str) -> DomainBucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            limits = self._domain_limits(team)
            level = limits.burst if self.is_initial_holder else 0.0
            bucket = DomainBucket(
                limits.rate_per_s, limits.burst, self._opens_at, level
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

    def _apply(self, fleet: Fleet) -> None:
        now = self._reactor.seconds()
        for team in list(self._bucket_by_team):
            if not self._has_team(team):
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
            admission.serve_waiters(now)
            if admission.waiters:
                self._ask(team, admission)

    def _notice_role(self) -> None:
        is_holder = self.is_holder
        changed = is_holder != self._was_holder or (
            is_holder and self._lease.epoch != self._held_epoch
        )
        if not changed:
            return
        self._was_holder = is_holder
        self._held_epoch = self._lease.epoch
        self._opens_at = self._reactor.seconds()
        if not self.is_initial_holder:
            self._opens_at += GRANT_TTL_S
        self._bucket_by_team.clear()
        self._loan_rounds.clear()
        self._membership.announce(
            ledger_holder=is_holder, ledger_epoch=self._lease.epoch
        )
        event = "ledger_held" if is_holder else "ledger_left"
        log_state(self._settings.vm, event, epoch=self._lease.epoch)
