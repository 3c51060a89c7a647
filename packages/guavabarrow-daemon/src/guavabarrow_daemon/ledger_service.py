"""Admits requests within a team's rate and burst over the whole fleet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from guavabarrow_core.allowance import GRANT_TTL_S, DomainBucket, TokenCache
from guavabarrow_core.exceptions import Overloaded, RateExceeded
from guavabarrow_core.fleet import OPEN_TEAM, TeamLimits
from guavabarrow_core.lease import (
    Claim,
    Lease,
    LeaseTick,
    RowRead,
    StoreFailed,
    WriteRow,
)
from guavabarrow_core.rendezvous import ranked
from guavabarrow_daemon.configuration_service import ConfigurationService
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.lease_store import LeaseStore
from guavabarrow_daemon.membership_service import MembershipService
from guavabarrow_daemon.metrics import Metrics
from guavabarrow_daemon.peer_messages import (
    AskLoan,
    AskTokens,
    GiveLoan,
    GrantTokens,
)
from guavabarrow_daemon.peers import Peers
from guavabarrow_daemon.platform.interface import PlatformUnavailable
from guavabarrow_daemon.state_log import log_state

if TYPE_CHECKING:
    from guavabarrow_core.fleet import Fleet
    from guavabarrow_core.lease import LeaseAction
    from guavabarrow_core.membership import Heartbeat
    from guavabarrow_daemon.platform.interface import TableService
    from guavabarrow_daemon.settings import Settings

TICK_S = 0.1
ASK_TIMEOUT_S = 0.5
LOAN_TIMEOUT_S = 0.05
LOAN_RETRY_S = 0.1
HOLDER_SILENT_S = 1.6
STANDBYS = 2
MAX_WAITING = 2000
OPEN_LIMITS = TeamLimits(rate_per_s=200.0, burst=200.0, weight=1.0, read_max_age_s=None)


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for tokens."""

    cost: float
    deadline: float
    turn: Deferred[None]


@dataclass(slots=True)
class TeamDesk:
    """Tokens and waiting requests of one team at this VM."""

    cache: TokenCache = field(default_factory=TokenCache)
    waiters: deque[Waiter] = field(default_factory=deque)
    ask_id: int = 0
    asked_at: float = 0.0
    asked_vm: str = ""
    asking: bool = False


@dataclass(slots=True)
class LoanRound:
    """An ask that the holder could not meet from its own bucket."""

    reply_to: str
    ask: AskTokens
    pending: int
    asked_at: float
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
        self._store = LeaseStore(table, f"ledger/{settings.domain}", reactor)
        self._lease = Lease(settings.vm)
        self._desk_by_team: dict[str, TeamDesk] = {}
        self._bucket_by_team: dict[str, DomainBucket] = {}
        self._loan_rounds: dict[int, LoanRound] = {}
        self._no_loan_until: dict[str, float] = {}
        self._was_holder = False
        self._held_epoch = 0
        self._opens_at = 0.0
        self._ask_id = 0
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor
        self._is_leaving = False

    @property
    def is_holder(self) -> bool:
        """Whether this VM keeps its domain's ledger now."""
        return self._lease.holds(self._reactor.seconds())

    @property
    def is_founder(self) -> bool:
        """Whether nobody has held the lease before, so nothing can be granted."""
        return self._lease.is_founder

    async def start(self) -> None:
        """Start to contend for the lease."""
        self._configuration.on_change.append(self._apply)
        self._loop.start(TICK_S)

    async def stop(self) -> None:
        """Give the lease back, so that the successor need not wait."""
        if self._loop.running:
            self._loop.stop()
        await self.hand_back()

    async def hand_back(self) -> None:
        """Release the lease and take it no more."""
        self._is_leaving = True
        for action in self._lease.release(self._reactor.seconds()):
            await self._perform(action)

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
        desk = self._desk_by_team.setdefault(team, TeamDesk())
        if not desk.waiters and desk.cache.spend(cost, now):
            return
        if len(desk.waiters) >= MAX_WAITING:
            raise Overloaded("Too many requests wait for tokens.", retry_after_s=0.5)
        waiter = Waiter(cost, deadline, Deferred())
        desk.waiters.append(waiter)
        self._ask(team, desk)
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

    def _ask(self, team: str, desk: TeamDesk) -> None:
        now = self._reactor.seconds()
        holder = self._find_ledger(team)
        is_pending = desk.asking and now - desk.asked_at < ASK_TIMEOUT_S
        if holder is None or (is_pending and desk.asked_vm == holder.vm):
            return
        waiting = sum(waiter.cost for waiter in desk.waiters)
        wanted = desk.cache.wanted(waiting, now)
        if wanted <= 0:
            return
        self._ask_id += 1
        desk.ask_id = self._ask_id
        desk.asked_at = now
        desk.asking = True
        desk.asked_vm = holder.vm
        returned = desk.cache.take_returned()
        held = desk.cache.tokens
        message = AskTokens(desk.ask_id, team, wanted, held, returned)
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
        names = ranked(f"{team}/{self._settings.vm}", others)
        return others[names[0]] if names else None

    def _on_grant(self, grant: GrantTokens) -> None:
        desk = self._desk_by_team.get(grant.team)
        if desk is None or not desk.asking or grant.ask_id != desk.ask_id:
            return
        now = self._reactor.seconds()
        desk.asking = False
        if not grant.is_holder:
            return
        expires_at = desk.asked_at + grant.ttl_s
        desk.cache.add(grant.tokens, expires_at=expires_at, now=now)
        self._metrics.tokens.labels("granted").inc(grant.tokens)
        self._serve_waiters(desk, now)
        if grant.retry_after_s > 0:
            self._refuse_waiters(desk, grant.retry_after_s)
        elif desk.waiters:
            self._ask(grant.team, desk)

    def _serve_waiters(self, desk: TeamDesk, now: float) -> None:
        while desk.waiters:
            waiter = desk.waiters[0]
            if waiter.deadline <= now:
                desk.waiters.popleft()
                waiter.turn.errback(_no_ledger())
            elif desk.cache.spend(waiter.cost, now):
                desk.waiters.popleft()
                waiter.turn.callback(None)
            else:
                return

    def _refuse_waiters(self, desk: TeamDesk, retry_after_s: float) -> None:
        refused, desk.waiters = desk.waiters, deque()
        self._metrics.tokens.labels("refused").inc(len(refused))
        for waiter in refused:
            waiter.turn.errback(
                RateExceeded(
                    "The team is above its rate and burst over the whole fleet.",
                    retry_after_s=retry_after_s,
                )
            )

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
        self._loan_rounds[round_id] = LoanRound(reply_to, ask, sent, now)
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
            level = limits.burst if self.is_founder else 0.0
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
        for action in self._lease.step(self._lease_tick(), now):
            Deferred.fromCoroutine(self._perform(action))
        self._notice_role()
        for team, desk in list(self._desk_by_team.items()):
            self._serve_waiters(desk, now)
            if desk.waiters:
                self._ask(team, desk)

    def _lease_tick(self) -> LeaseTick:
        table = self._membership.table
        rank = self._membership.rank("ledger", self._settings.domain)
        claim = self._membership.ledger_holder(self._settings.domain)
        epochs = [
            beat.ledger_epoch
            for beat in table.by_vm.values()
            if beat.domain == self._settings.domain
        ]
        rival = None
        if claim is not None and claim.vm != self._settings.vm:
            rival = Claim(claim.ledger_epoch, claim.vm)
        is_silent = table.silent_s(self._lease.row.holder) > HOLDER_SILENT_S
        return LeaseTick(
            wants=rank < STANDBYS and not self._is_leaving,
            is_first=rank == 0,
            holder_silent=claim is None and is_silent,
            known_epoch=max(epochs, default=0),
            rival=rival,
        )

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
        if not self.is_founder:
            self._opens_at += GRANT_TTL_S
        self._bucket_by_team.clear()
        self._loan_rounds.clear()
        self._membership.announce(
            ledger_holder=is_holder, ledger_epoch=self._lease.epoch
        )
        event = "ledger_held" if is_holder else "ledger_left"
        log_state(self._settings.vm, event, epoch=self._lease.epoch)

    async def _perform(self, action: LeaseAction) -> None:
        asked_at = self._reactor.seconds()
        try:
            if isinstance(action, WriteRow):
                row, written = await self._store.write(action.row)
            else:
                row, written = await self._store.read(), False
            event: RowRead | StoreFailed = RowRead(row, asked_at, written)
        except PlatformUnavailable:
            event = StoreFailed()
        self._lease.step(event, self._reactor.seconds())
        self._notice_role()


def _no_ledger() -> Overloaded:
    return Overloaded(
        "The ledger of the team's rate did not answer in time.",
        retry_after_s=GRANT_TTL_S,
    )
