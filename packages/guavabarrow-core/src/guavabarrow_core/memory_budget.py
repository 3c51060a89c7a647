"""Memory that callers may make a VM hold.

The load that it answers: a few callers that set many or large session values, prepare
many statements or send messages ahead, beside thousands that hold next to nothing. An
account that holds little is served as long as any of the budget is left. Those that
hold more share a part of it, and none of them gets more than a fixed fraction.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from guavabarrow_core.exceptions import GuavabarrowError

SMALL_ACCOUNT_BYTES = 16 * 1024
"""Size up to which an account is small. Callers set a few short values each."""

LARGE_ACCOUNTS_SHARE = 0.75
"""Part of the budget for accounts that aren't small; the rest is for small ones."""

LARGEST_ACCOUNT_SHARE = 1 / 16
"""Part of the budget that one account may have."""


class MemoryExceeded(GuavabarrowError):
    """An account may not grow; what it holds is unchanged.

    Parameters
    ----------
    detail : str
        Human-readable explanation.
    is_own_size : bool
        Whether the account is at the limit of its own, and not the budget at its.
    """

    def __init__(self, detail: str, *, is_own_size: bool = False) -> None:
        super().__init__(detail)
        self.is_own_size = is_own_size


@dataclass(slots=True)
class MemoryBudget:
    """Bytes that all callers of a VM together may make it hold.

    Parameters
    ----------
    limit_bytes : int
        Size of the budget.

    Attributes
    ----------
    held_bytes, large_bytes : int
        What all accounts hold, and what those hold that aren't small.
    refusals : int
        Number of times that an account was kept from growing.

    Examples
    --------
    >>> budget = MemoryBudget(limit_bytes=1_000_000)
    >>> account = MemoryAccount(budget)
    >>> account.resize(50_000)
    >>> account.resize(70_000)
    Traceback (most recent call last):
    ...
    guavabarrow_core.memory_budget.MemoryExceeded: 70000 bytes of 62500 for one session
    >>> account.resize(0)
    >>> budget.held_bytes
    0
    """

    limit_bytes: int
    held_bytes: int = 0
    large_bytes: int = 0
    refusals: int = 0

    def check(self, former: int, size: int) -> None:
        """Check that an account may grow.

        Parameters
        ----------
        former, size : int
            Present and requested size of the account, in bytes.

        Raises
        ------
        MemoryExceeded
            If it may not.
        """
        if size <= former:
            return
        if self.held_bytes + size - former > self.limit_bytes:
            self._refuse(f"the VM's {self.limit_bytes} bytes for sessions are in use")
        if size <= SMALL_ACCOUNT_BYTES:
            return
        largest = int(self.limit_bytes * LARGEST_ACCOUNT_SHARE)
        if size > largest:
            self._refuse(f"{size} bytes of {largest} for one session", is_own_size=True)
        large_bytes = self.large_bytes + size - _large(former)
        if large_bytes > self.limit_bytes * LARGE_ACCOUNTS_SHARE:
            self._refuse("large sessions use their part of the VM's memory")

    def _refuse(self, detail: str, *, is_own_size: bool = False) -> None:
        self.refusals += 1
        raise MemoryExceeded(detail, is_own_size=is_own_size)

    def record(self, former: int, size: int) -> None:
        """Record the new size of an account."""
        self.held_bytes += size - former
        self.large_bytes += _large(size) - _large(former)


@dataclass(slots=True)
class MemoryAccount:
    """What one caller makes the VM hold."""

    budget: MemoryBudget
    held_bytes: int = field(default=0, init=False)

    def resize(self, size: int) -> None:
        """Change the size of the account.

        Raises
        ------
        MemoryExceeded
            If it may not grow so far.
        """
        self.budget.check(self.held_bytes, size)
        self.budget.record(self.held_bytes, size)
        self.held_bytes = size


def _large(size: int) -> int:
    return size if size > SMALL_ACCOUNT_BYTES else 0
