"""Retry budget: limits the load that retries add while a database is slow."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_RATIO = 0.1
RETRY_RESERVE = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Parameters
    ----------
    ratio : float
        Retries allowed per first attempt.
    reserve : float
        Maximum balance, and thus retries allowed at once.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, reserve=1.0)
    >>> budget.withdraw(), budget.withdraw()
    (True, False)
    >>> budget.deposit(); budget.deposit(); budget.withdraw()
    True
    """

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    _balance: float = -1.0

    def __post_init__(self) -> None:
        self._balance = self.reserve

    def deposit(self) -> None:
        """Add the credit of one first attempt."""
        self._balance = min(self.reserve, self._balance + self.ratio)

    def withdraw(self) -> bool:
        """Spend one retry, False if the budget is exhausted."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
