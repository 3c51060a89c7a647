"""Reachability of VMs that this one may have no working connection to.

Answers the pattern of a cut between two failure domains that a third one still reaches:
without the third one's reports, each side would take the other for lost, and the
promotion duty would move back and forth. Between domains the hubs, a few VMs of each
domain, report; see ``peer_topology``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

REPORT_VALID_S = 1.8
"""Age up to which a report is valid: two heartbeat intervals and a margin."""

DIRECT_HOPS = 1
"""Hops to the duty holder of a VM that is in contact with it."""


@dataclass(frozen=True, slots=True)
class HolderReport:
    """One VM's distance from the duty holder.

    Parameters
    ----------
    hops : int
        1 if it is in contact with the holder, 2 through another VM, 0 if it is not.
    at : float
        Local time of receipt, in s.
    """

    hops: int
    at: float


@dataclass(frozen=True, slots=True)
class DomainReport:
    """Which VMs of a failure domain one of its hubs does not reach.

    Parameters
    ----------
    domain : str
        The failure domain.
    unreachable : frozenset of str
        Its registered VMs that the hub is not in contact with.
    at : float
        Local time, in s, that is not after the receipt of the hub's message.
    """

    domain: str
    unreachable: frozenset[str]
    at: float


@dataclass(slots=True)
class FleetContact:
    """Reports that this VM has received from others.

    Examples
    --------
    >>> contact = FleetContact()
    >>> contact.record_domain("hub", DomainReport("north", frozenset({"n-7"}), 1.0))
    >>> [contact.is_reached(vm, "north", 2.0) for vm in ("n-6", "n-7")]
    [True, False]
    >>> contact.is_reached("n-6", "north", 9.0)
    False
    """

    _holder_report_by_vm: dict[str, HolderReport] = field(default_factory=dict)
    _domain_report_by_source: dict[str, DomainReport] = field(default_factory=dict)

    def record_holder(self, vm: str, hops: int, now: float) -> bool:
        """Store a VM's distance from the duty holder.

        Returns
        -------
        bool
            Whether the VM has just lost contact with the holder.
        """
        previous = self._holder_report_by_vm.get(vm)
        self._holder_report_by_vm[vm] = HolderReport(hops, now)
        return previous is not None and previous.hops == DIRECT_HOPS != hops

    def record_domain(self, source: str, report: DomainReport) -> None:
        """Store a report on a failure domain.

        Parameters
        ----------
        source : str
            Distinguishes the hubs, and reports that were relayed.
        report : DomainReport
            The report.
        """
        known = self._domain_report_by_source.get(source)
        if known is None or known.at <= report.at:
            self._domain_report_by_source[source] = report

    def is_holder_reached(
        self, peers: Iterable[str], *, since: float, now: float, max_hops: int
    ) -> bool:
        """Return whether another VM has reported contact with the duty holder.

        Parameters
        ----------
        peers : iterable of str
            VMs that this one is in contact with.
        since : float
            Local time, in s, at which this VM lost its own contact; earlier reports
            may describe the time before the holder failed.
        now : float
            Local time, in s.
        max_hops : int
            Longest distance that counts.
        """
        oldest = max(since, now - REPORT_VALID_S)
        for vm in peers:
            report = self._holder_report_by_vm.get(vm)
            if report is None or report.at <= oldest:
                continue
            if 0 < report.hops <= max_hops:
                return True
        return False

    def is_reached(self, vm: str, domain: str, now: float) -> bool:
        """Return whether a hub of its domain is known to reach a VM."""
        return any(vm not in report.unreachable for report in self._valid(domain, now))

    def is_reported_unreachable(self, vm: str, domain: str, now: float) -> bool:
        """Return whether the hubs of its domain report that they do not reach a VM."""
        reports = self._valid(domain, now)
        return bool(reports) and all(vm in report.unreachable for report in reports)

    def summary(self, domain: str, now: float) -> DomainReport | None:
        """Return the combined valid reports on a domain, None without any."""
        reports = self._valid(domain, now)
        if not reports:
            return None
        unreachable = frozenset.intersection(*(r.unreachable for r in reports))
        return DomainReport(domain, unreachable, max(r.at for r in reports))

    def _valid(self, domain: str, now: float) -> list[DomainReport]:
        oldest = now - REPORT_VALID_S
        return [
            report
            for report in self._domain_report_by_source.values()
            if report.domain == domain and report.at > oldest
        ]
