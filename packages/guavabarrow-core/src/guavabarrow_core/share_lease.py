"""Leases on the shares of a rate that VMs transfer to the host of a pool.

A VM transfers its share with each heartbeat that names the host, for ``LEASE_TERM_S``.
The host counts the term from the arrival of the heartbeat, the VM from its sending and
with a margin, so the host stops admitting the share before the VM begins with it. This
needs no answer from the other side and so holds if messages are lost in one direction.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

LEASE_TERM_S = 1.2
"""Term of a lease, in s: one heartbeat interval (0.7 s) and half a second for a late
heartbeat. A longer term refuses callers longer after a host has failed."""

LEASE_MARGIN_S = 0.1
"""Time after the term for which a VM still waits, in s: several one-way delays of a
slow link, which the host can't tell from the sending time."""

JOIN_S = 0.8
"""Time after the opening of a pool for which it includes VMs that have not yet said
that they use it, in s: one heartbeat interval and a margin."""

MAX_CLOCK_DRIFT = 2e-4
"""Relative difference in speed assumed between the clocks of two VMs at most."""


@dataclass(frozen=True, slots=True)
class PeerPoolState:
    """Pool state in the last heartbeat of a VM of the same failure domain.

    Parameters
    ----------
    host : str
        VM whose pool it uses, empty if it admits from its own share.
    has_pool : bool
        Whether it hosts an open pool.
    free_at : float
        Local time, in s, until which a pool that it left may admit its share.
    """

    host: str
    has_pool: bool
    free_at: float = float("-inf")


@dataclass(slots=True)
class PoolLeases:
    """The leases that the host of a pool has on the shares of its VMs.

    Parameters
    ----------
    host : str
        The VM that hosts the pool.
    opened_at : float
        Local time at which the pool was opened, in s.
    heard_at : callable
        Returns the local time, in s, at which a VM was last heard.
    """

    host: str
    opened_at: float
    heard_at: Callable[[str], float]
    _free_at_by_user: dict[str, float] = field(default_factory=dict)
    _joining: set[str] = field(default_factory=set)

    def update(self, state_by_peer: dict[str, PeerPoolState]) -> None:
        """Store the states of the reachable VMs; the leases of the others run out."""
        for vm, state in state_by_peer.items():
            self._joining.discard(vm)
            self._free_at_by_user.pop(vm, None)
            if state.host in ("", self.host):
                self._free_at_by_user[vm] = state.free_at
            if not state.host:
                self._joining.add(vm)

    def is_user(self, vm: str) -> bool:
        """Return whether a VM has said that it uses the pool."""
        return vm in self._free_at_by_user and vm not in self._joining

    def is_leased(self, vm: str, now: float) -> bool:
        """Return whether the pool may admit the share of a VM."""
        if vm not in self._free_at_by_user or now < self._free_at_by_user[vm]:
            return False
        if vm in self._joining and now >= self.opened_at + JOIN_S:
            return False
        return now < self.heard_at(vm) + LEASE_TERM_S

    def free_times(self) -> Iterable[float]:
        """Return the times from which the shares of the users are free."""
        return self._free_at_by_user.values()


@dataclass(slots=True)
class TransferredShare:
    """Leases on this VM's own share that pools which it left may still have."""

    _free_at_by_host: dict[str, float] = field(default_factory=dict)

    def on_joined(self, host: str) -> None:
        """The share is in this pool again."""
        self._free_at_by_host.pop(host, None)

    def on_left(self, host: str, renewed_at: float) -> None:
        """The lease on the share runs out.

        Parameters
        ----------
        host : str
            Host of the pool.
        renewed_at : float
            Local time of the last heartbeat that named the host, in s.
        """
        self._free_at_by_host[host] = renewed_at + LEASE_TERM_S + LEASE_MARGIN_S

    def update(
        self, members: frozenset[str], state_by_peer: dict[str, PeerPoolState]
    ) -> None:
        """End the leases of hosts that have departed or have said they have no pool."""
        for host in list(self._free_at_by_host):
            state = state_by_peer.get(host)
            if host not in members or (state is not None and not state.has_pool):
                del self._free_at_by_host[host]

    @property
    def free_at(self) -> float:
        """Local time from which no pool admits the share, in s."""
        return max(self._free_at_by_host.values(), default=float("-inf"))


@dataclass(slots=True)
class ArrivalClock:
    """Corrects the arrival times of one VM's heartbeats for delays.

    A heartbeat that waited in a queue, or for a suspended receiver, must not renew a
    lease from its arrival. The smallest difference between arrival and sending is that
    of an undelayed heartbeat, whatever the offset between the clocks.

    Examples
    --------
    >>> clock = ArrivalClock()
    >>> clock.undelayed(sent_s=100.0, now=5.0)
    5.0
    >>> round(clock.undelayed(sent_s=100.7, now=7.0), 2)
    5.7
    """

    _offset_s: float = float("inf")
    _observed_at: float = 0.0

    def undelayed(self, sent_s: float, now: float) -> float:
        """Return when a heartbeat would have arrived without a delay.

        Parameters
        ----------
        sent_s : float
            Time of sending on the sender's clock, in s.
        now : float
            Local time of arrival, in s.
        """
        elapsed_s = max(0.0, now - self._observed_at)
        self._observed_at = now
        drifted_s = self._offset_s + elapsed_s * MAX_CLOCK_DRIFT
        self._offset_s = min(drifted_s, now - sent_s)
        return min(now, sent_s + self._offset_s)
