"""Gathers the counts of all VMs at the duty holder, through the domains' observers.

A VM sends its counts to the observer of its failure domain, and the observer sends
those of the windows that have ended to the duty holder. The observer's own counts also
go to another hub, because they would be lost if the observer is killed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavabarrow_core.usage_counts import (
    STOPPED_WINDOW,
    InvalidUsageCount,
    UnknownUsageTeam,
    UsageCursor,
    UsageEntry,
    UsageSource,
    UsageTally,
    UsageWindowOutOfRange,
    check_teams,
    window_at,
)
from guavabarrow_daemon.fleet.fleet_messages import FleetMessage, UsageCounts
from guavabarrow_daemon.fleet.fleet_service import FleetService
from guavabarrow_daemon.fleet.peer_links import PeerLinks
from guavabarrow_daemon.kernel import Kernel, Service
from guavabarrow_daemon.operations.clock import now_s
from guavabarrow_daemon.operations.decision_log import log_decision
from guavabarrow_daemon.usage.counting_service import UsageCounting
from guavabarrow_daemon.usage.true_clock import TrueClock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from twisted.internet.task import LoopingCall

    from guavabarrow_core.fleet_state import MemberRow

SEND_INTERVAL_S = 0.5
"""A killed VM takes the counts of this time along. With 1 s that is up to 7% of a
window of 5 s of a team whose service is run by one VM in each of three domains, more
than the 5% that are allowed."""


class UsageGathering(Service):
    """Sends and receives counts.

    Parameters
    ----------
    kernel : Kernel
        Registry of services.
    reactor : object
        Twisted reactor.
    window_s, late_s : float
        Length of a window, and the time after its end at which its report is due, in s.

    Attributes
    ----------
    tally : UsageTally
        What this VM knows of all processes.
    """

    name = "usage_gathering"

    def __init__(
        self, kernel: Kernel, reactor: Any, *, window_s: float, late_s: float
    ) -> None:
        super().__init__(kernel)
        self.tally = UsageTally()
        self._reactor = reactor
        self._window_s = window_s
        self._late_s = late_s
        self._fleet = kernel.find(FleetService)
        self._links = kernel.find(PeerLinks)
        self._clock = kernel.find(TrueClock)
        self._counter = kernel.find(UsageCounting).counter
        self._own = UsageSource(self._fleet.state.vm, self._fleet.state.incarnation)
        self._cursors_by_vm: dict[str, dict[UsageSource | None, UsageCursor]] = {}
        self._known_teams: set[str] = set()
        self._loop: LoopingCall | None = None

    async def start(self) -> None:
        """Start to send and receive."""
        self._links.on_peer_message.append(self._on_message)
        self._links.on_peer_up.append(self._on_peer_up)
        self._fleet.orders.on_changed.append(self._learn_teams)
        self._loop = self.kernel.tasks.create_periodic(
            "usage_changes", self._send_changes, self._reactor
        )
        self._loop.start(SEND_INTERVAL_S, now=False)

    async def stop(self) -> None:
        """Send what is left; targets are disconnected already."""
        if self._loop is not None and self._loop.running:
            self._loop.stop()
        self._counter.stop()
        self._merge_own()
        for vm, _, _ in self._destinations():
            self._send(vm, None, STOPPED_WINDOW)

    @property
    def current_window(self) -> int:
        """Window of the present moment."""
        return window_at(self._clock.true_s(), self._window_s)

    # Counts for reports

    def has_data(self, window: int) -> bool:
        """Return whether any process reported on a window."""
        return self.tally.has_data(window)

    def is_complete(self, window: int) -> bool:
        """Return whether the counts of a window are final, as far as is known."""
        if self.tally.incomplete(window, self._expected_sources()):
            return False
        try:
            self._check_teams(self.tally.totals(window))
        except UnknownUsageTeam:
            # This VM's configuration may be older than the counting VM's.
            return False
        return True

    def totals(self, window: int) -> dict[str, int]:
        """Return the operations of each known team in a window."""
        totals = self.tally.totals(window)
        try:
            self._check_teams(totals)
        except UnknownUsageTeam as error:
            log_decision("usage_team_unknown", window=window, detail=str(error))
            return {t: n for t, n in totals.items() if t not in error.count_by_team}
        return totals

    def missing_domains(self, window: int) -> list[str]:
        """Return failure domains none of whose VMs has complete counts of a window."""
        members = self._fleet.state.member_by_vm().values()
        running = [m for m in members if self._fleet.departed_at(m.vm) is None]
        present = {
            member.domain
            for member in running
            if self.tally.is_final(UsageSource(member.vm, member.incarnation), window)
        }
        return sorted({member.domain for member in running} - present)

    def _expected_sources(self) -> Iterator[UsageSource]:
        return (
            UsageSource(member.vm, member.incarnation)
            for member in self._expected_members()
        )

    def _expected_members(self) -> Iterator[MemberRow]:
        """Yield the VMs whose counts may still come.

        A VM that is marked unavailable may be cut off and return before its counts are
        due.
        """
        state = self._fleet.state
        now = now_s()
        for vm, member in state.member_by_vm().items():
            out_s = now - state.out_since.get(vm, now)
            if self._fleet.departed_at(vm) is None and out_s < self._late_s:
                yield member

    def _learn_teams(self) -> None:
        configuration = self._fleet.configuration
        if configuration is not None:
            # Teams that were removed may still have operations to report.
            self._known_teams.update(configuration.team_by_key.values())

    def _check_teams(self, count_by_team: dict[str, int]) -> None:
        if self._fleet.configuration is not None:
            check_teams(count_by_team, self._known_teams)

    # Messages

    def _send_changes(self) -> None:
        self._counter.advance(self._clock.true_s())
        self._merge_own()
        self.tally.prune(self.current_window)
        for vm, only, through in self._destinations():
            self._send(vm, only, through)

    def _merge_own(self) -> None:
        self._merge(self._own.vm, self._counter.entry(self._own))

    def _destinations(self) -> Iterator[tuple[str, UsageSource | None, int]]:
        """Yield VMs to send to.

        Yields
        ------
        tuple of str, UsageSource or None, and int
            The VM, the only process whose counts it gets, if any, and the last window
            whose counts it gets.
        """
        own = self._own.vm
        duty = self._fleet.state.duty()
        holder = duty.holder if duty is not None else ""
        observer = self._fleet.observer()
        if observer != own:
            yield observer, self._own if holder == own else None, STOPPED_WINDOW
            return
        if holder not in ("", own):
            # The links between domains are scarce, and nobody reports an open window.
            yield holder, None, self.current_window - 1
        live_peers = self._links.live_peers()
        for hub in self._fleet.hubs_by_domain.get(self._fleet.domain, ()):
            if hub not in (own, holder) and hub in live_peers:
                yield hub, self._own, STOPPED_WINDOW
                return

    def _send(self, vm: str, only: UsageSource | None, through: int) -> None:
        # Builds without usage reports close the link on a message of unknown type.
        _, heartbeat = self._fleet.last_heartbeat(vm)
        if heartbeat.clock_offset_s is None or not self._links.is_linked(vm):
            return
        cursors = self._cursors_by_vm.setdefault(vm, {})
        entries = self.tally.take_changes(
            cursors.setdefault(only, UsageCursor()),
            without_vm=vm,
            only=only,
            through=through,
        )
        if entries:
            self._links.send(vm, UsageCounts(entries))

    def _on_peer_up(self, vm: str) -> None:
        """Send everything again over a new link: messages may have been lost."""
        self._cursors_by_vm.pop(vm, None)

    def _on_message(self, vm: str, message: FleetMessage) -> None:
        if isinstance(message, UsageCounts):
            for entry in message.entries:
                self._merge(vm, entry)

    def _merge(self, vm: str, entry: UsageEntry) -> None:
        try:
            self.tally.merge(entry, self.current_window)
        except (UsageWindowOutOfRange, InvalidUsageCount) as error:
            log_decision("usage_counts_rejected", peer=vm, detail=str(error))
