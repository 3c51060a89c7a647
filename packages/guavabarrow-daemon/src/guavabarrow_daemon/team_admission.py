"""Rate tokens of one team at this VM and the requests that wait for them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavabarrow_core.exceptions import Overloaded, RateExceeded
from guavabarrow_core.token_lending import GRANT_TTL_S, TokenCache

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

ASK_TIMEOUT_S = 0.5


@dataclass(eq=False, slots=True)
class Waiter:
    """Request that waits for tokens."""

    cost: float
    deadline: float
    admitted: Deferred[None]


@dataclass(slots=True)
class TeamAdmission:
    """Token cache and queue of waiting requests of one team at this VM."""

    cache: TokenCache = field(default_factory=TokenCache)
    waiters: deque[Waiter] = field(default_factory=deque)
    ask_id: int = 0
    asked_at: float = 0.0
    asked_vm: str = ""
    ask_pending: bool = False

    @property
    def waiting_cost(self) -> float:
        """Number of tokens that the waiting requests need."""
        return sum(waiter.cost for waiter in self.waiters)

    def is_ask_pending(self, holder: str, now: float) -> bool:
        """Return whether a token request to ``holder`` is pending, not timed out."""
        in_time = now - self.asked_at < ASK_TIMEOUT_S
        return self.ask_pending and in_time and self.asked_vm == holder

    def is_current_ask(self, ask_id: int) -> bool:
        """Return whether this token request is the pending one."""
        return self.ask_pending and ask_id == self.ask_id

    def record_ask(self, ask_id: int, holder: str, now: float) -> None:
        """Record the pending token request; answers to earlier ones are ignored."""
        self.ask_id = ask_id
        self.asked_at = now
        self.asked_vm = holder
        self.ask_pending = True

    def admit_waiters(self, now: float) -> None:
        """Admit requests in order of arrival while tokens last; fail expired ones."""
        while self.waiters:
            waiter = self.waiters[0]
            if waiter.deadline <= now:
                self.waiters.popleft()
                waiter.admitted.errback(_create_ledger_timeout())
            elif self.cache.spend(waiter.cost, now):
                self.waiters.popleft()
                waiter.admitted.callback(None)
            else:
                return

    def refuse_waiters(self, retry_after_s: float) -> int:
        """Refuse all waiting requests as above the rate and return their number."""
        refused, self.waiters = self.waiters, deque()
        for waiter in refused:
            waiter.admitted.errback(
                RateExceeded(
                    "The team is above its rate and burst in the whole fleet.",
                    retry_after_s=retry_after_s,
                )
            )
        return len(refused)


def _create_ledger_timeout() -> Overloaded:
    return Overloaded(
        "No ledger granted tokens for the team before the deadline.",
        retry_after_s=GRANT_TTL_S,
    )
