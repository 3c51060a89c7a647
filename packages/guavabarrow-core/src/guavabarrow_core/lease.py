"""A lease in the platform's table service, timed with monotonic clocks.

Clocks of different VMs are never compared. The holder measures its lease from before it
sent the renewal; a successor measures from after it read the last change of the row.
The successor therefore always waits until after the holder's lease has expired.
"""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 1.5
RENEW_S = 0.5
CLOCK_MARGIN_S = 0.2
MAX_TICK_GAP_S = 0.6
TAKEOVER_WITHOUT_STORE_S = 3.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Row of the lease in the table service.

    Parameters
    ----------
    holder : str
        VM that holds the lease, empty if released.
    epoch : int
        Incremented with every change of holder.
    renewal : int
        Incremented with every renewal.
    revision : int
        Version of the row for conditional writes, 0 if it does not exist.
    """

    holder: str = ""
    epoch: int = 0
    renewal: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class RowRead:
    """The table service answered a read or a conditional write with the row.

    Parameters
    ----------
    row : LeaseRow
        Current row.
    sent_at : float
        Monotonic time before the operation was sent.
    written : bool
        Whether this operation wrote the row. Only then is ``sent_at`` earlier than
        the first time at which a successor can have read it.
    """

    row: LeaseRow
    sent_at: float
    written: bool = False


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The table service did not answer; a write may have taken effect."""


@dataclass(frozen=True, order=True, slots=True)
class Claim:
    """Statement in a VM's heartbeat that it holds the lease."""

    epoch: int
    vm: str


@dataclass(frozen=True, slots=True)
class LeaseTick:
    """Periodic event with the state of the other VMs.

    Parameters
    ----------
    is_candidate : bool
        Whether this VM should acquire the lease if it has no holder.
    is_preferred : bool
        Whether it is the preferred successor among the live VMs.
    holder_unreachable : bool
        Whether no live VM claims the lease and the row's holder sends no heartbeats.
    max_heartbeat_epoch : int
        Highest epoch in the heartbeats of the domain.
    rival_claim : Claim or None
        Claim of another live VM with the highest epoch.
    """

    is_candidate: bool
    is_preferred: bool
    holder_unreachable: bool
    max_heartbeat_epoch: int = 0
    rival_claim: Claim | None = None


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row."""


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row on condition that its revision is ``row.revision``."""

    row: LeaseRow


LeaseEvent = RowRead | StoreFailed | LeaseTick
LeaseAction = ReadRow | WriteRow


class Lease:
    """State machine of one lease at one VM.

    While the table service is unavailable, the holder keeps the lease unless it was
    paused. If the holder's heartbeats stop too, the preferred live VM takes over
    without writing the row and claims a higher epoch in its heartbeats. This is safe
    because network partitions separate failure domains and only VMs of one domain
    compete for a lease: a VM that receives a claim never takes over, and a VM that
    resumes from a pause receives the newer claim before it acts as the holder again.

    Parameters
    ----------
    vm : str
        Name of this VM.

    Attributes
    ----------
    is_initial_holder : bool
        Whether this process created the row and was not paused since, so that no
        earlier holder can have granted anything.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self.row = LeaseRow()
        self._row_changed_at: float | None = None
        self._valid_until = float("-inf")
        self._sent_at = float("-inf")
        self._pending = False
        self._store_down_since: float | None = None
        self._suspended_until = float("-inf")
        self._ticked_at: float | None = None
        self._superseded = False
        self.is_initial_holder = False

    def holds(self, now: float) -> bool:
        """Return whether this VM may act as the holder at ``now``."""
        if self.row.holder != self._vm or self._superseded:
            return False
        if self._ticked_at is None or now - self._ticked_at > MAX_TICK_GAP_S:
            return False
        if now < self._valid_until:
            return True
        return self._store_down_since is not None and now >= self._suspended_until

    @property
    def epoch(self) -> int:
        """Epoch of the last row that was read."""
        return self.row.epoch

    def step(self, event: LeaseEvent, now: float) -> list[LeaseAction]:
        """Process one event.

        Parameters
        ----------
        event : LeaseEvent
            Tick or result of a store operation.
        now : float
            Monotonic time.

        Returns
        -------
        list of LeaseAction
            Store operations to perform; at most one is in progress at a time.
        """
        match event:
            case RowRead():
                self._on_row(event, now)
                return []
            case StoreFailed():
                self._pending = False
                if self._store_down_since is None:
                    self._store_down_since = now
                return []
            case LeaseTick():
                return self._on_tick(event, now)

    def release(self, now: float) -> list[LeaseAction]:
        """Release the lease, so that a successor does not have to wait."""
        if not self.holds(now):
            return []
        released = LeaseRow("", self.row.epoch, self.row.renewal, self.row.revision)
        self._valid_until = float("-inf")
        self._superseded = True
        return [WriteRow(released)]

    def _on_row(self, event: RowRead, now: float) -> None:
        self._pending = False
        self._store_down_since = None
        changed = event.row != self.row
        self.row = event.row
        if changed or self._row_changed_at is None:
            self._row_changed_at = now
        if event.row.holder != self._vm:
            self._superseded = False
            return
        if event.written:
            self._superseded = False
            if event.row.epoch == 1 and event.row.renewal == 0:
                self.is_initial_holder = True
            self._valid_until = max(self._valid_until, event.sent_at + LEASE_S)

    def _on_tick(self, event: LeaseTick, now: float) -> list[LeaseAction]:
        self._detect_pause(now)
        own_claim = Claim(self.row.epoch, self._vm)
        if (
            self.row.holder == self._vm
            and event.rival_claim
            and event.rival_claim > own_claim
        ):
            self._superseded = True
        if self._may_take_over_without_store(event, now):
            self._take_over_without_store(event, now)
        if self._pending or now - self._sent_at < RENEW_S:
            return []
        self._sent_at = now
        self._pending = True
        if self.row.holder == self._vm and not self._superseded:
            return [WriteRow(self._renewed_row())]
        if event.is_candidate and self._may_take_over(event, now):
            return [WriteRow(self._takeover_row(event.max_heartbeat_epoch))]
        if event.is_candidate:
            return [ReadRow()]
        self._pending = False
        return []

    def _detect_pause(self, now: float) -> None:
        paused = self._ticked_at is not None and now - self._ticked_at > MAX_TICK_GAP_S
        if paused:
            self._suspended_until = now + LEASE_S
            self._valid_until = float("-inf")
            self._row_changed_at = None
            if self._store_down_since is not None:
                self._store_down_since = now
            self.is_initial_holder = False
        self._ticked_at = now

    def _may_take_over(self, event: LeaseTick, now: float) -> bool:
        if self._row_changed_at is None:
            return False
        if not self.row.holder:
            return True
        unchanged_s = now - self._row_changed_at
        return event.holder_unreachable and unchanged_s >= LEASE_S + CLOCK_MARGIN_S

    def _renewed_row(self) -> LeaseRow:
        return LeaseRow(
            self._vm, self.row.epoch, self.row.renewal + 1, self.row.revision
        )

    def _takeover_row(self, max_heartbeat_epoch: int) -> LeaseRow:
        epoch = max(self.row.epoch, max_heartbeat_epoch) + 1
        return LeaseRow(self._vm, epoch, 0, self.row.revision)

    def _may_take_over_without_store(self, event: LeaseTick, now: float) -> bool:
        if self._store_down_since is None or self.holds(now):
            return False
        store_down_s = now - self._store_down_since
        is_eligible = (
            event.is_candidate and event.is_preferred and event.holder_unreachable
        )
        return is_eligible and store_down_s >= TAKEOVER_WITHOUT_STORE_S

    def _take_over_without_store(self, event: LeaseTick, now: float) -> None:
        self.row = self._takeover_row(event.max_heartbeat_epoch)
        self._superseded = False
        self._suspended_until = now
