"""Simulated fleet whose VMs count operations and report them, and its platform."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace
from typing import TYPE_CHECKING

from sim_fleet import SimFleet, SimVm
from sim_platform import SimStore, SimTable
from twisted.internet.task import deferLater

from guavabarrow_core.usage_counts import window_at
from guavabarrow_daemon.front.target_exchange import TargetExchange
from guavabarrow_daemon.store.watched_table import (
    UsageAuthority,
    UsageReportRefused,
    UsageReportUnanswered,
    UsageReportWithdrawn,
)
from guavabarrow_daemon.usage.counting_service import UsageCounting
from guavabarrow_daemon.usage.register import register_usage_services
from guavabarrow_daemon.usage.reporting_service import UsageReporting

if TYPE_CHECKING:
    from collections.abc import Callable

    from sim_network import SimReactor

WALL_START_S = 1_767_225_600.0
WINDOW_S = 5.0
LATE_S = 10.0
LEASE_S = 3.0
TEAM_RATES = {"red": 1, "blue": 4}
"""Operations per VM and tick."""

TICK_S = 0.05
CONNECT_S = 0.002


@dataclass(frozen=True)
class UsageCall:
    """A report that arrived at the platform."""

    at: float
    holder: str
    token: int
    window: int
    counts: dict[str, int]


class SimUsagePlatform:
    """Accepts reports.

    Attributes
    ----------
    calls : list of UsageCall
        Reports in the order of their arrival.
    drops_answers : bool
        Whether reports are accepted but their answers are lost.
    refused_windows : set of int
        Windows whose reports are refused.
    on_connect : callable or None
        Called with each holder that begins to connect.
    """

    def __init__(self) -> None:
        self.calls: list[UsageCall] = []
        self.drops_answers = False
        self.refused_windows: set[int] = set()
        self.on_connect: Callable[[str], None] | None = None

    def counts_by_window(self) -> dict[int, dict[str, int]]:
        """Return the reported counts, after checking that repeats are equal."""
        counts: dict[int, dict[str, int]] = {}
        for call in self.calls:
            known = counts.setdefault(call.window, call.counts)
            assert known == call.counts, f"window {call.window} has two reports"
        return counts

    def assert_holders(self) -> None:
        """Check the order of the fencing tokens and of their holders."""
        holder_by_token: dict[int, str] = {}
        newest = 0
        for index, call in enumerate(self.calls):
            assert holder_by_token.setdefault(call.token, call.holder) == call.holder
            assert call.token >= newest, "a token is lower than one before"
            newest = call.token
            recent = [c for c in self.calls[:index] if call.at - c.at < LEASE_S]
            own = [i for i, c in enumerate(recent) if c.holder == call.holder]
            between = recent[own[0] :] if own else []
            assert {c.holder for c in between} <= {call.holder}, "holders A, B, A"


class SimUsageAuthority(UsageAuthority):
    """A VM's client of the platform."""

    def __init__(self, platform: SimUsagePlatform, reactor: SimReactor) -> None:
        self._platform = platform
        self._reactor = reactor

    async def report(
        self, window, count_by_team, *, holder, fencing_token, may_send
    ) -> None:
        """Report a window."""
        if self._platform.on_connect is not None:
            self._platform.on_connect(holder)
        await deferLater(self._reactor, CONNECT_S, lambda: None)
        if not may_send():
            raise UsageReportWithdrawn("withdrawn")
        platform = self._platform
        now = self._reactor.network.now
        call = UsageCall(now, holder, fencing_token, window, dict(count_by_team))
        platform.calls.append(call)
        if platform.drops_answers:
            await deferLater(self._reactor, LEASE_S, lambda: None)
            raise UsageReportUnanswered("no answer")
        await deferLater(self._reactor, CONNECT_S, lambda: None)
        if window in platform.refused_windows:
            raise UsageReportRefused(400)


class UsageFleet(SimFleet):
    """Fleet whose VMs send operations of two teams to targets all the time.

    Attributes
    ----------
    true_counts : dict of int to Counter
        Operations that targets began to run, by window of true time.
    wall_step_by_vm : dict of str to float
        Error of the VMs' wall clocks, in s.
    other_builds : frozenset of str
        VMs whose build doesn't know usage reports.
    """

    def __init__(
        self,
        monkeypatch,
        per_domain: int = 3,
        *,
        is_on: bool = True,
        other_builds: frozenset[str] = frozenset(),
    ) -> None:
        self.platform = SimUsagePlatform()
        self.usage_store: SimStore | None = None
        self.true_counts: dict[int, Counter[str]] = {}
        self.wall_step_by_vm: dict[str, float] = {}
        self.is_on = is_on
        self.other_builds = other_builds
        self._next_tick = 0.0
        super().__init__(monkeypatch, per_domain, self._register)
        self.operator_store.team_by_key.update({team: team for team in TEAM_RATES})
        self.wait_until_serving()

    def _register(self, vm: SimVm) -> None:
        if self.usage_store is None:
            self.usage_store = SimStore(self.network)
        if vm.name in self.other_builds:
            return
        settings = vm.settings.model_copy(
            update={
                "usage_window_s": WINDOW_S if self.is_on else None,
                "usage_late_s": LATE_S,
                "duty_lease_s": LEASE_S,
            }
        )
        vm.kernel.register(TargetExchange(vm.kernel, vm.reactor))
        register_usage_services(
            vm.kernel,
            settings,
            SimTable(self.usage_store, vm.reactor),
            SimUsageAuthority(self.platform, vm.reactor),
            vm.reactor,
            wall_clock=lambda: (
                WALL_START_S + self.network.now + self.wall_step_by_vm.get(vm.name, 0.0)
            ),
        )

    @property
    def window(self) -> int:
        """The window of the present moment."""
        return window_at(WALL_START_S + self.network.now, WINDOW_S)

    def run(self, duration_s: float) -> None:
        """Advance time while all VMs send operations."""
        until = self.network.now + duration_s
        while self.network.now < until - 1e-9:
            if self.network.now >= self._next_tick:
                self._next_tick = self.network.now + TICK_S
                self._send_operations()
            super().run(0.009)

    def _send_operations(self) -> None:
        counts = self.true_counts.setdefault(self.window, Counter())
        for vm in self.vm_by_name.values():
            if vm.host in self.network.suspended or vm.name in self.other_builds:
                continue
            for team, operations in TEAM_RATES.items():
                counts[team] += operations
                if self.is_on:
                    for _ in range(operations):
                        context = SimpleNamespace(team=team)
                        vm.kernel.find(UsageCounting).on_sent(context, None)(True)

    def reporting(self, name: str) -> UsageReporting:
        """Return a VM's reporting service."""
        return self.vm_by_name[name].kernel.find(UsageReporting)

    def duty_vm(self) -> str:
        """Return the VM that reports or is about to."""
        return next(
            name for name in self.vm_by_name if self.reporting(name).reporter.token
        )

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Make the whole store answer all VMs, or none."""
        stores = (self.store, self.operator_store, self.usage_store)
        for store in stores:
            store.unreachable_from = set() if is_reachable else set(self.vm_by_name)

    def assert_reports(
        self,
        windows: range,
        *,
        off: float = 0.05,
        late_s: float = LATE_S,
    ) -> None:
        """Check that all windows were reported in time, and the platform's rules."""
        self.platform.assert_holders()
        counts = self.platform.counts_by_window()
        for window in windows:
            assert window in counts, f"window {window} was not reported"
            first = next(c for c in self.platform.calls if c.window == window)
            end = (window + 1) * WINDOW_S - WALL_START_S
            assert first.at <= end + late_s, f"window {window} is late"
            for team, count in self.true_counts[window].items():
                reported = counts[window].get(team, 0)
                assert abs(reported - count) <= off * count, (window, team)
