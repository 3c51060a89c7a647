"""The shared table in the platform's store and the leases that it grants.

The shared table has a row for each VM, one for the promotion duty (the lease of the
one VM that may order promotions), and one for the primary of each service. A service
with synchronous replicas also has one for its replicas. A VM may
use a primary only while it is registered and its copy of the table is less than
``PRIMARY_LEASE_S`` old. To replace a primary, the duty holder marks its row as moving
and then waits until each registered VM has confirmed that it stopped using the primary
or its lease has expired.

A VM that starts while the store is unavailable can't register. A registered VM, its
sponsor, lets it use primaries for ``SPONSORSHIP_S`` at a time, and confirms a stop only
after the sponsorships that it granted before have expired. A process that replaces a
sponsor confirms nothing for as long after its start. So the duty holder, which waits
for registered VMs only, waits for sponsored ones too.

Rows belong to the era of the store in which they were written. Rows of a former era are
not in force: a VM may use a primary that one names until its last lease of that era
ends, and treats the others as hints.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from guavabarrow_core.store_position import NO_POSITION, StorePosition

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from guavabarrow_core.target_directory import TargetEntry

PRIMARY_LEASE_S = 6.0
"""Long enough to survive store outages of a few seconds; also the longest wait for an
unreachable VM before a primary is replaced."""

SPONSORSHIP_S = 1.0
"""How long a sponsorship lasts from the moment it was requested: two renewals and a
margin, and not longer than a process takes to end, start and register again."""

DUTY_LEASE_S = 1.6
"""How long the promotion duty stays valid after the last answer of the store: two polls
of the holder and one slow answer. A successor waits as long before it orders
promotions."""


class LeadPhase(Enum):
    """Whether a service's primary may be used."""

    SETTLED = "settled"
    MOVING = "moving"


@dataclass(frozen=True, slots=True)
class MemberRow:
    """Registration of one VM.

    Parameters
    ----------
    vm, domain : str
        Name and failure domain.
    host, port : str, int
        Address for messages between VMs.
    incarnation : str
        Id of the process incarnation, new at each start.
    is_out : bool
        Whether it was marked unavailable after a long time without contact.
    cpu_cores : float
        Processor capacity, in cores; 0 if unknown.
    """

    vm: str
    domain: str
    host: str
    port: int
    incarnation: str
    is_out: bool = False
    cpu_cores: float = 0.0

    @property
    def relay_order(self) -> tuple[float, str]:
        """Sort key of VMs that may relay messages: the largest first, then by name."""
        return (-self.cpu_cores, self.vm)


@dataclass(frozen=True, slots=True)
class LeadRow:
    """Primary of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    phase : LeadPhase
        Whether the primary may be used.
    primary_id : str
        Current primary; while the row is moving, the one being replaced.
    term : int
        Term of that primary.
    is_planned : bool
        Whether running work may finish before the replacement.
    """

    service: str
    phase: LeadPhase
    primary_id: str
    term: int
    is_planned: bool = False


@dataclass(frozen=True, slots=True)
class DutyRow:
    """Holder of the promotion duty.

    Parameters
    ----------
    holder, incarnation : str
        VM and its process incarnation.
    era_since_store_s : float or None
        Store time, in s, after which no lease of a former era was granted; None if
        there was no duty before this era.
    """

    holder: str
    incarnation: str
    era_since_store_s: float | None = None


@dataclass(frozen=True, slots=True)
class ReplicasRow:
    """Targets of a service whose logs a replacement of its primary must consider.

    Parameters
    ----------
    service : str
        Name of the service.
    entries : tuple of TargetEntry
        Last known entries, also of targets that are no longer listed.
    """

    service: str
    entries: tuple[TargetEntry, ...]


FleetRow = MemberRow | LeadRow | DutyRow | ReplicasRow


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row with its position in the store; ``row`` is None if it was deleted."""

    key: str
    version: StorePosition
    row: FleetRow | None


def member_key(vm: str) -> str:
    """Return the key of a VM's row."""
    return f"vm/{vm}"


def primary_row_key(service: str) -> str:
    """Return the key of a service's row."""
    return f"lead/{service}"


def replicas_row_key(service: str) -> str:
    """Return the key of the row of a service's replicas."""
    return f"replicas/{service}"


DUTY_KEY = "duty"


@dataclass(slots=True)
class FleetState:
    """This VM's copy of the shared table.

    Parameters
    ----------
    vm, incarnation : str
        Name of this VM and id of its process incarnation.

    Attributes
    ----------
    era : int
        Era of the store whose rows are in force.
    era_since : float
        Local time, in s, at which this VM learned of the era.
    version : StorePosition
        Position up to which the copy is complete, 0 if the table was never read.
    rows_version : StorePosition
        Position of the newest row up to which no row is missing from the copy.
    as_of : float
        Local time, in s, not later than the moment at which the table had this content;
        minus infinity if it wasn't read in this era.
    former_as_of : dict of int to float
        The same of the last copy of each former era.
    row_by_key : dict of str to VersionedRow
        Newest version of each row, including deleted ones and those of former eras.
    out_since : dict of str to float
        Local time, in s, at which this VM first saw another VM marked unavailable.
    sponsor, sponsor_incarnation : str
        Registered VM that last granted this one a sponsorship, empty if none did.
    sponsored_until : float
        Local time, in s, at which that sponsorship expires.
    """

    vm: str
    incarnation: str
    era: int = 0
    era_since: float = float("-inf")
    version: StorePosition = NO_POSITION
    rows_version: StorePosition = NO_POSITION
    as_of: float = float("-inf")
    former_as_of: dict[int, float] = field(default_factory=dict)
    row_by_key: dict[str, VersionedRow] = field(default_factory=dict)
    out_since: dict[str, float] = field(default_factory=dict)
    sponsor: str = ""
    sponsor_incarnation: str = ""
    sponsored_until: float = float("-inf")
    _member_by_vm: dict[str, MemberRow] = field(default_factory=dict, init=False)
    _primary_row_by_key: dict[str, LeadRow] = field(default_factory=dict, init=False)

    def __post_init__(self) -> None:
        for row in self.row_by_key.values():
            self._index_row(row)

    def enter_era(self, era: int, now: float) -> None:
        """Treat all rows as those of a former era.

        Parameters
        ----------
        era : int
            Present era of the store, newer than the known one.
        now : float
            Local time, in s.
        """
        self.former_as_of[self.era] = self.as_of
        self.era = era
        self.era_since = now
        self.as_of = float("-inf")
        if self.version != NO_POSITION:
            self.version = StorePosition.at(era, 0)

    def is_former(self, key: str) -> bool:
        """Return whether a row is known of a former era only."""
        known = self.row_by_key.get(key)
        return known is not None and self._era_of(known) < self.era

    def former_primary_rows(self) -> list[VersionedRow]:
        """Return the rows of primaries that were not written in this era."""
        return [
            row
            for row in self.row_by_key.values()
            if isinstance(row.row, LeadRow) and self._era_of(row) < self.era
        ]

    def forget_former_members(self, in_contact: Collection[str]) -> bool:
        """Delete registrations of former eras; their leases must have ended.

        Parameters
        ----------
        in_contact : collection of str
            VMs that run, and may not reach the store to register again.

        Returns
        -------
        bool
            Whether such registrations remain.
        """
        former = [vm for vm in self._member_by_vm if self.is_former(member_key(vm))]
        kept = [vm for vm in former if vm == self.vm or vm in in_contact]
        for vm in set(former).difference(kept):
            del self._member_by_vm[vm]
            del self.row_by_key[member_key(vm)]
        return bool(kept)

    @staticmethod
    def _era_of(row: VersionedRow) -> int:
        return StorePosition(row.version).era

    def apply(
        self,
        rows: list[VersionedRow],
        version: StorePosition,
        *,
        as_of: float,
        now: float,
        is_full: bool = False,
    ) -> list[VersionedRow]:
        """Apply the whole table, or all of its changes since the cached version.

        Parameters
        ----------
        rows : list of VersionedRow
            All rows, or those that changed.
        version : StorePosition
            Position of the whole table, in the present era.
        as_of : float
            Local time, in s, not later than the moment of that version.
        now : float
            Local time, in s.
        is_full : bool
            Whether ``rows`` is the whole table, so that missing rows are deleted.

        Returns
        -------
        list of VersionedRow
            Rows that changed.
        """
        changed = self.merge(rows, now)
        if is_full:
            keys = {row.key for row in rows}
            for key, known in list(self.row_by_key.items()):
                is_replaced = known.version <= version and not self.is_former(key)
                if key not in keys and is_replaced and known.row:
                    deleted = VersionedRow(key, version, None)
                    self._store_row(deleted)
                    changed.append(deleted)
        self.version = max(self.version, version)
        newest = (known.version for known in self.row_by_key.values())
        complete = [number for number in newest if number <= self.version]
        self.rows_version = max([self.rows_version, *complete])
        self.as_of = max(self.as_of, as_of)
        return changed

    def merge(self, rows: list[VersionedRow], now: float) -> list[VersionedRow]:
        """Apply single rows that are newer than the cached ones."""
        changed = []
        for row in rows:
            known = self.row_by_key.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            self._store_row(row)
            changed.append(row)
            if isinstance(row.row, MemberRow):
                self._record_availability(row.row, now)
        return changed

    def _store_row(self, row: VersionedRow) -> None:
        previous = self.row_by_key.get(row.key)
        if previous is not None and isinstance(previous.row, MemberRow):
            self._member_by_vm.pop(previous.row.vm, None)
        self._primary_row_by_key.pop(row.key, None)
        self.row_by_key[row.key] = row
        self._index_row(row)

    def _index_row(self, row: VersionedRow) -> None:
        if isinstance(row.row, LeadRow):
            self._primary_row_by_key[row.key] = row.row
        if isinstance(row.row, MemberRow):
            self._member_by_vm[row.row.vm] = row.row

    def member_by_vm(self) -> Mapping[str, MemberRow]:
        """Return the rows of all registered VMs, keyed by VM.

        The mapping is updated in place when rows change.
        """
        return self._member_by_vm

    def observer(self, domain: str, contacts: frozenset[str]) -> str:
        """Return the VM of a failure domain that polls the store for the others.

        Parameters
        ----------
        domain : str
            This VM's failure domain.
        contacts : frozenset of str
            VMs that were recently in contact with this one.
        """
        members = self._member_by_vm
        own = members.get(self.vm)
        candidates = [own.relay_order if own is not None else (0.0, self.vm)]
        for vm in contacts:
            member = members.get(vm)
            if member and member.domain == domain and not member.is_out:
                candidates.append(member.relay_order)
        return min(candidates)[1]

    def primary_row(self, service: str) -> LeadRow | None:
        """Return the row of a service's primary, None if there is none."""
        return self._primary_row_by_key.get(primary_row_key(service))

    def replicas_row(self, service: str) -> ReplicasRow | None:
        """Return the newest row of a service's replicas, also of a former era."""
        known = self.row_by_key.get(replicas_row_key(service))
        return known.row if known and isinstance(known.row, ReplicasRow) else None

    def primary_rows(self) -> list[LeadRow]:
        """Return the rows of all services' primaries."""
        return list(self._primary_row_by_key.values())

    def position_of(self, key: str) -> StorePosition:
        """Return the position of a row, also of a former era, 0 if it isn't known."""
        known = self.row_by_key.get(key)
        return StorePosition(known.version) if known is not None else NO_POSITION

    def version_of(self, key: str) -> StorePosition:
        """Return the position of a row, 0 if it does not exist in this era."""
        known = self.row_by_key.get(key)
        if known is None or known.row is None or self.is_former(key):
            return NO_POSITION
        return known.version

    def duty(self) -> DutyRow | None:
        """Return the newest row of the promotion duty, None if there is none."""
        known = self.row_by_key.get(DUTY_KEY)
        return known.row if known and isinstance(known.row, DutyRow) else None

    def is_registered(self) -> bool:
        """Return whether this incarnation is registered and not marked unavailable."""
        return self._is_available(self.vm, self.incarnation)

    def accept_sponsorship(
        self, sponsor: str, incarnation: str, requested_at: float
    ) -> None:
        """Record a sponsorship, which lasts from the time of its request.

        Parameters
        ----------
        sponsor, incarnation : str
            Registered VM that granted it, and its process incarnation.
        requested_at : float
            Local time of the request, in s.
        """
        self.sponsor = sponsor
        self.sponsor_incarnation = incarnation
        self.sponsored_until = requested_at + SPONSORSHIP_S

    def is_sponsored(self, now: float) -> bool:
        """Return whether a registered VM's sponsorship of this VM is valid."""
        return now < self.sponsored_until and self._is_available(
            self.sponsor, self.sponsor_incarnation
        )

    def is_current_member(self, vm: str) -> bool:
        """Return whether a VM is registered in this era of the store."""
        return vm in self._member_by_vm and not self.is_former(member_key(vm))

    def is_member(self, now: float) -> bool:
        """Return whether this VM is registered or sponsored."""
        return self.is_registered() or self.is_sponsored(now)

    def _is_available(self, vm: str, incarnation: str) -> bool:
        return not self.is_former(member_key(vm)) and self._was_available(
            vm, incarnation
        )

    def _was_available(self, vm: str, incarnation: str) -> bool:
        member = self._member_by_vm.get(vm)
        return (
            member is not None
            and member.incarnation == incarnation
            and not member.is_out
        )

    def may_use_primary(self, service: str, now: float) -> bool:
        """Return whether statements may be sent to the service's primary.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Local time, in s, on a clock that advances while the machine is suspended.
        """
        row = self.primary_row(service)
        if row is None or row.phase is not LeadPhase.SETTLED:
            return False
        return self.has_lease_of(service, now)

    def has_lease_of(self, service: str, now: float) -> bool:
        """Return whether the lease under the row of a service's primary is valid."""
        era = self.position_of(primary_row_key(service)).era
        if era < self.era:
            return self._has_former_lease(era, now)
        return self.has_primary_lease(now)

    def has_primary_lease(self, now: float) -> bool:
        """Return whether this VM may use the primaries that rows of this era name."""
        return self.is_member(now) and now < self.as_of + PRIMARY_LEASE_S

    def _has_former_lease(self, era: int, now: float) -> bool:
        was_member = self._was_available(self.vm, self.incarnation) or (
            now < self.sponsored_until
            and self._was_available(self.sponsor, self.sponsor_incarnation)
        )
        as_of = self.former_as_of.get(era, float("-inf"))
        return was_member and now < as_of + PRIMARY_LEASE_S

    def holds_duty(self, now: float) -> bool:
        """Return whether this VM may order promotions."""
        duty = self.duty()
        if duty is None or duty.holder != self.vm or self.is_former(DUTY_KEY):
            return False
        if duty.incarnation != self.incarnation:
            return False
        return now < self.as_of + DUTY_LEASE_S

    def lease_has_expired(
        self, member: MemberRow, marked_at: float, now: float
    ) -> bool:
        """Return whether a VM's lease on a primary has certainly expired.

        Parameters
        ----------
        member : MemberRow
            Row of the VM.
        marked_at : float
            Local time, in s, not earlier than the marking of the primary's row.
        now : float
            Local time, in s.
        """
        since = marked_at
        if member.is_out:
            since = min(since, self.out_since.get(member.vm, marked_at))
        return now >= since + PRIMARY_LEASE_S

    def _record_availability(self, member: MemberRow, now: float) -> None:
        if member.is_out:
            self.out_since.setdefault(member.vm, now)
        else:
            self.out_since.pop(member.vm, None)
