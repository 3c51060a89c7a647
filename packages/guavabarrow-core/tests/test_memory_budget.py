"""Callers that make a VM hold much, beside callers that hold next to nothing."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavabarrow_core.memory_budget import (
    LARGE_ACCOUNTS_SHARE,
    SMALL_ACCOUNT_BYTES,
    MemoryAccount,
    MemoryBudget,
    MemoryExceeded,
)

LIMIT_BYTES = 64 * 1024 * 1024


def grow(account: MemoryAccount, step: int) -> None:
    """Grow an account until it is refused."""
    with pytest.raises(MemoryExceeded):
        while True:
            account.resize(account.held_bytes + step)


def test_hostile_sessions_leave_room_for_small_ones():
    """120 sessions grow as far as they can; 1,000 others still set a few values."""
    budget = MemoryBudget(LIMIT_BYTES)
    for _ in range(120):
        grow(MemoryAccount(budget), 100_000)
    assert budget.held_bytes <= LARGE_ACCOUNTS_SHARE * LIMIT_BYTES + 120 * 16_384
    for _ in range(1000):
        MemoryAccount(budget).resize(10_000)


def test_one_session_can_not_use_the_whole_budget():
    budget = MemoryBudget(LIMIT_BYTES)
    grow(MemoryAccount(budget), 100_000)
    assert budget.held_bytes <= LIMIT_BYTES / 16
    MemoryAccount(budget).resize(1_000_000)


def test_what_is_released_can_be_used_again():
    budget = MemoryBudget(LIMIT_BYTES)
    accounts = [MemoryAccount(budget) for _ in range(40)]
    for account in accounts:
        grow(account, 100_000)
    for account in accounts:
        account.resize(0)
    assert (budget.held_bytes, budget.large_bytes) == (0, 0)
    MemoryAccount(budget).resize(1_000_000)


def test_a_refused_account_keeps_what_it_has_and_may_shrink():
    budget = MemoryBudget(LIMIT_BYTES)
    account = MemoryAccount(budget)
    account.resize(1_000_000)
    with pytest.raises(MemoryExceeded):
        account.resize(LIMIT_BYTES)
    assert account.held_bytes == budget.held_bytes == 1_000_000
    assert budget.refusals == 1
    account.resize(500)
    assert budget.large_bytes == 0


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 200_000)), max_size=60))
def test_the_budget_is_the_sum_of_its_accounts(steps):
    budget = MemoryBudget(1_000_000)
    accounts = [MemoryAccount(budget) for _ in range(10)]
    for number, size in steps:
        try:
            accounts[number].resize(size)
        except MemoryExceeded:
            pass
        sizes = [account.held_bytes for account in accounts]
        assert budget.held_bytes == sum(sizes) <= budget.limit_bytes
        assert budget.large_bytes == sum(s for s in sizes if s > SMALL_ACCOUNT_BYTES)
