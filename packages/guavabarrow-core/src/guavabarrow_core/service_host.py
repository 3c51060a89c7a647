"""Service hosts: one VM per failure domain that runs the statements of a service.

Where a target accepts fewer connections than two per VM, a VM's connection of a team is
hardly ever needed again before it is closed, and VMs that decide independently refuse
callers at a limit that they share. There, one VM of each failure domain runs the
statements of a service on behalf of the domain's other VMs. Each VM selects it by
itself from the table of registered VMs; two VMs that disagree for a moment do no harm,
because a host serves any VM that asks.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from guavabarrow_core.connection_budget import RESERVED_CONNECTIONS
from guavabarrow_core.rendezvous import rank_members

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from guavabarrow_core.fleet_state import MemberRow
    from guavabarrow_core.session_configuration import ServiceLimits

MIN_SHARE = 2
"""Connections to a target per VM below which a service is hosted. A VM with two can
keep one for a transaction and still run single statements."""

MIN_CAPACITY_FRACTION = 0.5
"""Fraction of the largest candidate's processor capacity that a host needs; a small VM
would be saturated by the statements of twenty others."""

SILENCE_S = 0.15
"""Time without any message of a host, while statements are pending there, after which
it is pinged. Most statements are answered sooner, so pings are rare."""

PING_TIMEOUT_S = 0.2
"""Time after a ping without any message after which a host is bypassed; many times the
network latency."""

BYPASS_S = 2.0
"""Time for which an unresponsive host is bypassed."""

LATE_CHECK_S = 0.1
"""A check that runs later than due by this much shows that this VM itself was suspended
or overloaded; messages of the host may be waiting to be read."""

LATE_LIMIT = 3
"""Statements in a row that reach their deadline without an answer, after which a host
is bypassed although it sends other messages."""

DELAY_PERIOD_S = 30.0
"""Period of the minimum of message delays. Clocks of two machines drift apart by at
most a few ms in this time."""


@dataclass(frozen=True, slots=True)
class HostPlan:
    """Role of this VM for one service.

    Parameters
    ----------
    is_hosted : bool
        Whether one VM of each failure domain runs the statements of the service.
    is_host : bool
        Whether this VM runs statements for others of its domain.
    host_count : int
        Number of hosts that connect to the targets of the service, at least 1.
    """

    is_hosted: bool = False
    is_host: bool = False
    host_count: int = 1


NOT_HOSTED = HostPlan()


class HostSelection:
    """Which services are hosted, and by which VM of a failure domain.

    Parameters
    ----------
    vm, domain : str
        This VM and its failure domain.
    is_available : callable
        Returns whether a VM of this failure domain, named by its argument, can host
        now: it is linked and not about to stop.

    Attributes
    ----------
    acting : set of str
        Services that this VM runs statements of for other VMs at present, whether or
        not it selects itself.

    Examples
    --------
    >>> plan = HostSelection("a", "north", lambda vm: True)
    >>> plan.is_hosted("orders"), plan.host_count("orders")
    (False, 0)
    """

    def __init__(
        self, vm: str, domain: str, is_available: Callable[[str], bool]
    ) -> None:
        self.acting: set[str] = set()
        self._vm = vm
        self._domain = domain
        self._is_available = is_available
        self._limits_by_service: Mapping[str, ServiceLimits] = {}
        self._vm_count = 0
        self._candidates_by_domain: dict[str, tuple[str, ...]] = {}
        self._hosted: frozenset[str] = frozenset()
        self._ranking_by_service: dict[str, list[str]] = {}

    def configure(self, limits_by_service: Mapping[str, ServiceLimits]) -> None:
        """Set the limits of all services."""
        self._limits_by_service = limits_by_service
        self._update()

    def set_members(
        self,
        members: Mapping[str, MemberRow],
        hubs_by_domain: Mapping[str, tuple[str, ...]],
    ) -> None:
        """Set the registered VMs and the hubs of each failure domain."""
        self._vm_count = len(members)
        self._candidates_by_domain = {}
        for domain, hubs in hubs_by_domain.items():
            largest = max((members[vm].cpu_cores for vm in hubs), default=0.0)
            minimum = MIN_CAPACITY_FRACTION * largest
            self._candidates_by_domain[domain] = tuple(
                vm for vm in hubs if members[vm].cpu_cores >= minimum
            )
        self._update()

    def is_hosted(self, service: str) -> bool:
        """Return whether hosts run the statements of a service."""
        return service in self._hosted

    def ranking(self, service: str) -> list[str]:
        """Return the candidates of this failure domain, the preferred one first."""
        ranking = self._ranking_by_service.get(service)
        if ranking is None:
            candidates = self._candidates_by_domain.get(self._domain, ())
            ranking = self._ranking_by_service[service] = rank_members(
                service, candidates
            )
        return ranking

    def select(
        self, service: str, is_bypassed: Callable[[str], bool] = lambda vm: False
    ) -> str:
        """Return the VM that runs the statements of a service for this VM.

        Parameters
        ----------
        service : str
            The service.
        is_bypassed : callable
            Returns whether this VM bypasses the VM named by its argument.

        Returns
        -------
        str
            This VM's own name if the service isn't hosted or there is no host.
        """
        if service not in self._hosted:
            return self._vm
        for vm in self.ranking(service):
            if self._is_available(vm) and not is_bypassed(vm):
                return vm
        return self._vm

    def is_host(self, service: str) -> bool:
        """Return whether this VM hosts a service, by its own or another VM's choice."""
        if service not in self._hosted:
            return False
        if service in self.acting:
            return True
        ranking = self.ranking(service)
        return self._vm in ranking and self.select(service) == self._vm

    def plan(self, service: str) -> HostPlan:
        """Return the role of this VM for a service."""
        if service not in self._hosted:
            return NOT_HOSTED
        return HostPlan(True, self.is_host(service), max(1, self.host_count(service)))

    def host_count(self, service: str) -> int:
        """Return the number of hosts: one per failure domain with a candidate."""
        if service not in self._hosted:
            return 0
        return sum(bool(vms) for vms in self._candidates_by_domain.values())

    def _update(self) -> None:
        self._ranking_by_service = {}
        vm_count = max(1, self._vm_count)
        self._hosted = frozenset(
            service
            for service, limits in self._limits_by_service.items()
            if (limits.max_connections - RESERVED_CONNECTIONS) // vm_count < MIN_SHARE
        )


class HostCheck(Enum):
    """What a check of a host calls for."""

    NOTHING = "nothing"
    PING = "ping"
    BYPASS = "bypass"


@dataclass(slots=True)
class HostWatch:
    """Responsiveness of one host as seen by a VM that sends it statements.

    Parameters
    ----------
    pending : int
        Statements that the host hasn't answered.
    heard_at : float
        Local time of its last message, in s.

    Examples
    --------
    >>> watch = HostWatch()
    >>> watch.begin(10.0)
    >>> watch.check(10.0 + SILENCE_S), watch.check(10.0 + SILENCE_S + PING_TIMEOUT_S)
    (<HostCheck.PING: 'ping'>, <HostCheck.BYPASS: 'bypass'>)
    >>> watch.is_bypassed(10.5)
    True
    """

    pending: int = 0
    heard_at: float = float("-inf")
    _silent_since: float = 0.0
    _pinged_at: float | None = None
    _late_count: int = 0
    _bypassed_at: float | None = None

    @property
    def due_at(self) -> float:
        """Local time of the next check while statements are pending, in s."""
        if self._pinged_at is not None:
            return self._pinged_at + PING_TIMEOUT_S
        return self._silent_since + SILENCE_S

    def begin(self, now: float) -> None:
        """Record that a statement is sent."""
        self.pending += 1
        if self.pending == 1:
            self._silent_since = now
            self._pinged_at = None

    def end(self) -> None:
        """Record that a statement isn't awaited any more."""
        self.pending -= 1

    def record_heard(self, now: float) -> None:
        """Record the arrival of any message of the host."""
        self.heard_at = now
        self._silent_since = now
        self._pinged_at = None

    def record_answer(self) -> None:
        """Record the arrival of an answer to a statement."""
        self._late_count = 0

    def record_late(self, now: float) -> bool:
        """Record that a statement got no answer by its deadline.

        Returns
        -------
        bool
            Whether the host is to be bypassed for it.
        """
        self._late_count += 1
        if self._late_count < LATE_LIMIT:
            return False
        self._bypass(now)
        return True

    def check(self, now: float) -> HostCheck:
        """Return what the host's silence calls for, and record that it is done."""
        if self.pending == 0 or now < self.due_at:
            return HostCheck.NOTHING
        if now > self.due_at + LATE_CHECK_S:
            self._silent_since = now
            self._pinged_at = None
            return HostCheck.NOTHING
        if self._pinged_at is None:
            self._pinged_at = now
            return HostCheck.PING
        self._bypass(now)
        return HostCheck.BYPASS

    def is_bypassed(self, now: float) -> bool:
        """Return whether the host is bypassed: for a time, and until it is heard."""
        if self._bypassed_at is None:
            return False
        if now < self._bypassed_at + BYPASS_S or self.heard_at <= self._bypassed_at:
            return True
        self._bypassed_at = None
        return False

    def _bypass(self, now: float) -> None:
        self._bypassed_at = now
        self._late_count = 0
        self._pinged_at = None
        self._silent_since = now


class MessageDelay:
    """How much later than usual the messages of another VM arrive.

    The clocks of two VMs have an unknown offset. The smallest difference between the
    arrival of a message and its sender's time stamp is the offset plus the shortest
    delay; what exceeds it was spent in a queue, or while this VM was suspended.

    Examples
    --------
    >>> delay = MessageDelay()
    >>> delay.excess_s(sent_at=100.0, now=7.0)
    0.0
    >>> delay.excess_s(sent_at=101.0, now=9.5)
    1.5
    """

    def __init__(self) -> None:
        self._current = self._previous = float("inf")
        self._period_end: float | None = None

    def excess_s(self, *, sent_at: float, now: float) -> float:
        """Return the delay of a message beyond the shortest one, in s.

        Parameters
        ----------
        sent_at : float
            Time at which it was sent, on the sender's clock, in s.
        now : float
            Local time of its arrival, in s.
        """
        if self._period_end is None:
            self._period_end = now + DELAY_PERIOD_S
        elif now >= self._period_end:
            self._previous, self._current = self._current, float("inf")
            self._period_end = now + DELAY_PERIOD_S
        difference = now - sent_at
        self._current = min(self._current, difference)
        return difference - min(self._current, self._previous)
