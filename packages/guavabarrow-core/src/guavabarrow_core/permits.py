"""Connection permits of one target, managed by the ledger holder of its domain.

A failure domain that cannot reach the holder cannot reach the target either, so one VM
manages the whole budget. The database's own connection limit remains the last check.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PERMIT_TTL_S = 3.0
REGISTRATION_S = 1.0


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Result of a renewal.

    Parameters
    ----------
    total : int
        Permits that the VM holds now.
    recall : int
        Permits that the VM should return when idle, because other VMs wait for them.
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
    """Permits of one target by VM.

    Parameters
    ----------
    budget : int
        Connections that the target accepts.
    created_at : float
        Monotonic time of creation. For ``REGISTRATION_S`` only permits that VMs
        already hold are confirmed, since the previous ledger holder may have granted
        all. A VM that is paused during this time may resume with more permits than are
        free; the database then refuses its next connection.

    Examples
    --------
    >>> table = PermitTable(budget=3, created_at=-10.0)
    >>> table.renew("a", held=0, wanted=3, now=0.0).total
    3
    >>> table.renew("b", held=0, wanted=1, now=0.0).total
    0
    >>> table.renew("a", held=3, wanted=3, now=0.1).recall
    1
    """

    budget: int
    created_at: float
    holding_by_vm: dict[str, Holding] = field(default_factory=dict)

    def renew(self, vm: str, *, held: int, wanted: int, now: float) -> PermitGrant:
        """Confirm a VM's permits and grant free ones.

        Parameters
        ----------
        vm : str
            VM that holds the permits.
        held : int
            Permits it holds; if fewer than recorded, the others are released.
        wanted : int
            Permits it can use now.
        now : float
            Monotonic time.

        Returns
        -------
        PermitGrant
            Permits that the VM holds now and should return.
        """
        self._expire(now)
        previous = self.holding_by_vm.pop(vm, None)
        confirmed = held
        if previous is not None and now >= self.created_at + REGISTRATION_S:
            confirmed = min(held, previous.total)
        elif previous is None and now >= self.created_at + REGISTRATION_S:
            confirmed = min(held, self.free)
        total = confirmed
        if wanted > confirmed and now >= self.created_at + REGISTRATION_S:
            total += max(0, min(wanted - confirmed, self.free - confirmed))
        holding = Holding(total, wanted, now + PERMIT_TTL_S)
        self.holding_by_vm[vm] = holding
        return PermitGrant(total, self._recall(vm, holding))

    @property
    def free(self) -> int:
        """Permits that no VM holds."""
        return self.budget - sum(
            holding.total for holding in self.holding_by_vm.values()
        )

    def _recall(self, vm: str, holding: Holding) -> int:
        unmet = sum(
            max(0, other.wanted - other.total)
            for name, other in self.holding_by_vm.items()
            if name != vm
        )
        fair_share = max(1, self.budget // max(1, self._count_requesting()))
        return max(0, min(unmet, holding.total - fair_share))

    def _count_requesting(self) -> int:
        return sum(1 for holding in self.holding_by_vm.values() if holding.wanted > 0)

    def _expire(self, now: float) -> None:
        expired = [
            vm
            for vm, holding in self.holding_by_vm.items()
            if holding.expires_at <= now
        ]
        for vm in expired:
            del self.holding_by_vm[vm]
