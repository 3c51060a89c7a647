"""What VMs agree on through the platform's store, and the rights that follow.

The shared table holds a row for each VM, one for the duty of ordering promotions, and
one for the primary of each service. A VM may use a primary only while it is registered
and knows the table as it was at most ``PRIMARY_LEASE_S`` ago. Whoever wants to replace
a primary first marks its row as moving, and then waits until each registered VM has
confirmed that it stopped or its right has lapsed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

PRIMARY_LEASE_S = 6.0
"""Bridges outages of the store of a few seconds; also the longest wait for a VM that
can't be reached before a primary is replaced."""

DUTY_LEASE_S = 1.6
"""How long the duty outlives the last answer of the store; two looks of the holder and
a slow answer. A successor waits as long before it acts."""


class PrimaryPhase(Enum):
    """Whether a service's primary may be used."""

    SETTLED = "settled"
    MOVING = "moving"


@dataclass(frozen=True, slots=True)
class MemberRow:
    """Registration of one VM.

    Parameters
    ----------
    vm, domain : str
        Its name and failure domain.
    host, port : str, int
        Address for messages between VMs.
    incarnation : str
        Differs in each lifetime of the process.
    is_out : bool
        Whether it was silent for so long that others no longer count on it.
    """

    vm: str
    domain: str
    host: str
    port: int
    incarnation: str
    is_out: bool = False


@dataclass(frozen=True, slots=True)
class PrimaryRow:
    """Primary of one service.

    Parameters
    ----------
    service : str
        Its name.
    phase : PrimaryPhase
        Whether the primary may be used.
    primary_id : str
        Target that leads, or led until the move began.
    term : int
        Its term.
    is_planned : bool
        Whether running work may end before the move.
    """

    service: str
    phase: PrimaryPhase
    primary_id: str
    term: int
    is_planned: bool = False


@dataclass(frozen=True, slots=True)
class DutyRow:
    """Who orders promotions."""

    holder: str
    incarnation: str


FleetRow = MemberRow | PrimaryRow | DutyRow


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row with the store's version; ``row`` is None if it was dropped."""

    key: str
    version: int
    row: FleetRow | None


def member_key(vm: str) -> str:
    """Return the key of a VM's row."""
    return f"vm/{vm}"


def primary_row_key(service: str) -> str:
    """Return the key of a service's row."""
    return f"lead/{service}"


DUTY_KEY = "duty"


@dataclass(slots=True)
class FleetState:
    """The shared table as this VM knows it.

    Parameters
    ----------
    vm, incarnation : str
        This VM and its lifetime.

    Attributes
    ----------
    version : int
        Version up to which the table is known in full, 0 if it was never read.
    rows_version : int
        Version of the newest row up to which all rows are known.
    as_of : float
        Local time not after the moment at which the table was as known.
    """

    vm: str
    incarnation: str
    version: int = 0
    rows_version: int = 0
    as_of: float = float("-inf")
    row_by_key: dict[str, VersionedRow] = field(default_factory=dict)
    out_since: dict[str, float] = field(default_factory=dict)

    def apply(
        self,
        rows: list[VersionedRow],
        version: int,
        *,
        as_of: float,
        now: float,
        is_full: bool = False,
    ) -> list[VersionedRow]:
        """Take the table, or all of its changes since the known version.

        Parameters
        ----------
        rows : list of VersionedRow
            Rows.
        version : int
            Version of the whole table.
        as_of : float
            Local time not after the moment of the version, in s.
        now : float
            Local time, in s.
        is_full : bool
            Whether rows that are missing do not exist.

        Returns
        -------
        list of VersionedRow
            Rows that changed.
        """
        changed = self.merge(rows, now)
        if is_full:
            keys = {row.key for row in rows}
            for key, known in list(self.row_by_key.items()):
                if key not in keys and known.version <= version and known.row:
                    gone = VersionedRow(key, version, None)
                    self.row_by_key[key] = gone
                    changed.append(gone)
        self.version = max(self.version, version)
        newest = (known.version for known in self.row_by_key.values())
        complete = [number for number in newest if number <= self.version]
        self.rows_version = max([self.rows_version, *complete])
        self.as_of = max(self.as_of, as_of)
        return changed

    def merge(self, rows: list[VersionedRow], now: float) -> list[VersionedRow]:
        """Take single rows that are newer than the known ones."""
        changed = []
        for row in rows:
            known = self.row_by_key.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            self.row_by_key[row.key] = row
            changed.append(row)
            if isinstance(row.row, MemberRow):
                self._note_member(row.row, now)
        return changed

    def member_by_vm(self) -> dict[str, MemberRow]:
        """Return all registered VMs."""
        return {
            known.row.vm: known.row
            for known in self.row_by_key.values()
            if isinstance(known.row, MemberRow)
        }

    def observer(self, domain: str, contacts: frozenset[str]) -> str:
        """Return the VM of a failure domain that follows the store for the others.

        Parameters
        ----------
        domain : str
            This VM's failure domain.
        contacts : frozenset of str
            VMs that were heard lately.
        """
        candidates = [
            member.vm
            for member in self.member_by_vm().values()
            if member.domain == domain and member.vm in contacts and not member.is_out
        ]
        return min([*candidates, self.vm])

    def primary_row(self, service: str) -> PrimaryRow | None:
        """Return the row of a service's primary."""
        known = self.row_by_key.get(primary_row_key(service))
        return known.row if known and isinstance(known.row, PrimaryRow) else None

    def version_of(self, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        known = self.row_by_key.get(key)
        return known.version if known is not None and known.row is not None else 0

    def duty(self) -> DutyRow | None:
        """Return who orders promotions."""
        known = self.row_by_key.get(DUTY_KEY)
        return known.row if known and isinstance(known.row, DutyRow) else None

    def is_registered(self) -> bool:
        """Tell whether this lifetime of this VM is registered and counted on."""
        own = self.member_by_vm().get(self.vm)
        return (
            own is not None and own.incarnation == self.incarnation and not own.is_out
        )

    def may_use_primary(self, service: str, now: float) -> bool:
        """Tell whether statements may go to the service's primary.

        Parameters
        ----------
        service : str
            Its name.
        now : float
            Local time on a clock that counts suspension, in s.
        """
        row = self.primary_row(service)
        if row is None or row.phase is not PrimaryPhase.SETTLED:
            return False
        return self.is_registered() and now < self.as_of + PRIMARY_LEASE_S

    def holds_duty(self, now: float) -> bool:
        """Tell whether this VM may order promotions."""
        duty = self.duty()
        if duty is None or duty.holder != self.vm:
            return False
        if duty.incarnation != self.incarnation:
            return False
        return now < self.as_of + DUTY_LEASE_S

    def lease_has_expired(
        self, member: MemberRow, marked_at: float, now: float
    ) -> bool:
        """Tell whether a VM's right to use a primary has surely ended.

        Parameters
        ----------
        member : MemberRow
            The VM.
        marked_at : float
            Local time not before the moment at which the primary's row was marked.
        now : float
            Local time.
        """
        since = marked_at
        if member.is_out:
            since = min(since, self.out_since.get(member.vm, marked_at))
        return now >= since + PRIMARY_LEASE_S

    def _note_member(self, member: MemberRow, now: float) -> None:
        if member.is_out:
            self.out_since.setdefault(member.vm, now)
        else:
            self.out_since.pop(member.vm, None)
