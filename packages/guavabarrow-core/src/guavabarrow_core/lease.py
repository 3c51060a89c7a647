"""A lease in the platform's table service, counted on monotonic clocks.

No clock is compared with another VM's. The holder counts from the moment before it
asked for the renewal; a successor counts from the moment after it saw the last
change of the row. The successor therefore always waits longer than the holder acts.
"""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 1.5
RENEW_S = 0.5
CLOCK_MARGIN_S = 0.2
MAX_TICK_GAP_S = 0.6
STORELESS_TAKEOVER_S = 3.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Row of the lease in the table service.

    Parameters
    ----------
    holder : str
        VM that holds the lease, empty if released.
    epoch : int
        Advances with every change of holder.
    renewal : int
        Advances with every renewal.
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
        Row as it is now.
    asked_at : float
        Monotonic time before the operation was sent.
    written : bool
        Whether this operation wrote the row. Only then is ``asked_at`` earlier than
        the moment at which a successor can have seen it.
    """

    row: LeaseRow
    asked_at: float
    written: bool = False


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The table service did not answer; a write may have taken effect."""


@dataclass(frozen=True, order=True, slots=True)
class Claim:
    """A heartbeat in which a VM says that it holds the lease."""

    epoch: int
    vm: str


@dataclass(frozen=True, slots=True)
class LeaseTick:
    """Time has passed.

    Parameters
    ----------
    is_candidate : bool
        Whether this VM should hold the lease if nobody does.
    is_preferred : bool
        Whether it is the first choice among the live VMs.
    holder_unreachable : bool
        Whether no live VM claims the lease and the holder of the row is silent.
    max_heartbeat_epoch : int
        Highest epoch that heartbeats mention.
    rival_claim : Claim or None
        Newest claim of another live VM.
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

    While the table service is down the holder goes on as long as it was never
    paused. If the holder falls silent too, the first choice among the live VMs takes
    over without the row and claims a higher epoch in its heartbeats. That is safe
    because partitions separate failure domains and a lease is contested only inside
    one: a VM that hears a claim never takes over, and a VM that resumes from a pause
    hears the newer claim before it acts.

    Parameters
    ----------
    vm : str
        Name of this VM.

    Attributes
    ----------
    is_initial_holder : bool
        Whether this process created the row and was never paused since, so that
        no earlier holder can have granted anything.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self.row = LeaseRow()
        self._row_changed_at: float | None = None
        self._valid_until = float("-inf")
        self._asked_at = float("-inf")
        self._pending = False
        self._store_down_since: float | None = None
        self._suspended_until = float("-inf")
        self._ticked_at: float | None = None
        self._superseded = False
        self.is_initial_holder = False

    def holds(self, now: float) -> bool:
        """Tell whether this VM may act as the holder at ``now``."""
        if self.row.holder != self._vm or self._superseded:
            return False
        if self._ticked_at is None or now - self._ticked_at > MAX_TICK_GAP_S:
            return False
        if now < self._valid_until:
            return True
        return self._store_down_since is not None and now >= self._suspended_until

    @property
    def epoch(self) -> int:
        """Epoch of the lease as last read."""
        return self.row.epoch

    def step(self, event: LeaseEvent, now: float) -> list[LeaseAction]:
        """Take one event.

        Parameters
        ----------
        event : LeaseEvent
            What happened.
        now : float
            Monotonic time.

        Returns
        -------
        list of LeaseAction
            At most one store operation is outstanding.
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
        """Give the lease up, so that a successor need not wait."""
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
            self._valid_until = max(self._valid_until, event.asked_at + LEASE_S)

    def _on_tick(self, event: LeaseTick, now: float) -> list[LeaseAction]:
        self._notice_pause(now)
        own = Claim(self.row.epoch, self._vm)
        if (
            self.row.holder == self._vm
            and event.rival_claim
            and event.rival_claim > own
        ):
            self._superseded = True
        if self._may_take_over_storeless(event, now):
            self._take_over_storeless(event, now)
        if self._pending or now - self._asked_at < RENEW_S:
            return []
        self._asked_at = now
        self._pending = True
        if self.row.holder == self._vm and not self._superseded:
            return [WriteRow(self._renewed())]
        if event.is_candidate and self._may_take_over(event, now):
            return [WriteRow(self._taken_over(event.max_heartbeat_epoch))]
        if event.is_candidate:
            return [ReadRow()]
        self._pending = False
        return []

    def _notice_pause(self, now: float) -> None:
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

    def _renewed(self) -> LeaseRow:
        return LeaseRow(
            self._vm, self.row.epoch, self.row.renewal + 1, self.row.revision
        )

    def _taken_over(self, max_heartbeat_epoch: int) -> LeaseRow:
        epoch = max(self.row.epoch, max_heartbeat_epoch) + 1
        return LeaseRow(self._vm, epoch, 0, self.row.revision)

    def _may_take_over_storeless(self, event: LeaseTick, now: float) -> bool:
        if self._store_down_since is None or self.holds(now):
            return False
        waited_s = now - self._store_down_since
        is_eligible = (
            event.is_candidate and event.is_preferred and event.holder_unreachable
        )
        return is_eligible and waited_s >= STORELESS_TAKEOVER_S

    def _take_over_storeless(self, event: LeaseTick, now: float) -> None:
        self.row = self._taken_over(event.max_heartbeat_epoch)
        self._superseded = False
        self._suspended_until = now
