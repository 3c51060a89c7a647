"""Connection permits of one target, kept by the ledger holder of its domain.

A failure domain that cannot reach the holder cannot reach the target either, so the
whole budget is kept in one place. The database's own limit remains the last check.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PERMIT_TTL_S = 3.0
REGISTRATION_S = 1.0


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Permits that a VM holds from now on.

    Parameters
    ----------
    total : int
        Permits held.
    recall : int
        Permits that other VMs wait for and this VM should give back when idle.
    """

    total: int
    recall: int


@dataclass(slots=True)
class Holding:
    """Permits held by one VM."""

    total: int
    wanted: int
    expires_at: float


@dataclass(slots=True)
class PermitTable:
    """The holder's record of one target.

    Parameters
    ----------
    budget : int
        Connections that the target accepts.
    opened_at : float
        Monotonic time of creation. For ``REGISTRATION_S`` only permits that VMs
        already hold are confirmed, since the predecessor may have granted all. A VM
        that is paused meanwhile may come back with more than is left; the database
        then refuses its next connection.

    Examples
    --------
    >>> table = PermitTable(budget=3, opened_at=-10.0)
    >>> table.renew("a", held=0, wanted=3, now=0.0).total
    3
    >>> table.renew("b", held=0, wanted=1, now=0.0).total
    0
    >>> table.renew("a", held=3, wanted=3, now=0.1).recall
    1
    """

    budget: int
    opened_at: float
    holding_by_vm: dict[str, Holding] = field(default_factory=dict)

    def renew(self, vm: str, *, held: int, wanted: int, now: float) -> PermitGrant:
        """Confirm what a VM holds and grant what is free.

        Parameters
        ----------
        vm : str
            Holder of the permits.
        held : int
            Permits it holds; fewer than known gives the rest back.
        wanted : int
            Permits it can use now.
        now : float
            Monotonic time.

        Returns
        -------
        PermitGrant
            What it holds from now on.
        """
        self._expire(now)
        known = self.holding_by_vm.pop(vm, None)
        confirmed = held
        if known is not None and now >= self.opened_at + REGISTRATION_S:
            confirmed = min(held, known.total)
        elif known is None and now >= self.opened_at + REGISTRATION_S:
            confirmed = min(held, self.free)
        total = confirmed
        if wanted > confirmed and now >= self.opened_at + REGISTRATION_S:
            total += max(0, min(wanted - confirmed, self.free - confirmed))
        holding = Holding(total, wanted, now + PERMIT_TTL_S)
        self.holding_by_vm[vm] = holding
        return PermitGrant(total, self._recall(vm, holding))

    @property
    def free(self) -> int:
        """Permits that nobody holds."""
        return self.budget - sum(
            holding.total for holding in self.holding_by_vm.values()
        )

    def _recall(self, vm: str, holding: Holding) -> int:
        missing = sum(
            max(0, other.wanted - other.total)
            for name, other in self.holding_by_vm.items()
            if name != vm
        )
        fair = max(1, self.budget // max(1, self._wanting()))
        return max(0, min(missing, holding.total - fair))

    def _wanting(self) -> int:
        return sum(1 for holding in self.holding_by_vm.values() if holding.wanted > 0)

    def _expire(self, now: float) -> None:
        gone = [
            vm
            for vm, holding in self.holding_by_vm.items()
            if holding.expires_at <= now
        ]
        for vm in gone:
            del self.holding_by_vm[vm]
